package reports

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
)

var _ = describe("reports to a gateway of another failure domain", func() {
	var now time.Time
	var f *facts.Facts
	var r *Reporter
	var own *net.UDPConn

	subscribe := func(each bool) {
		b, err := proto.Marshal(&pb.ReportSubscription{Sender: own.LocalAddr().String(), Domain: "e", Each: each})
		Expect(err).NotTo(HaveOccurred())
		r.take(b)
	}
	// got publishes a report and returns it where it goes to the gateway, or nil.
	got := func(p *pb.UpstreamReport) *pb.UpstreamReport {
		ginkgo.GinkgoHelper()
		p.Address = "a"
		r.Publish(p, time.Now())
		b := make([]byte, datagramBytes)
		Expect(own.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
		n, err := own.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		Expect(err).NotTo(HaveOccurred())
		var back pb.UpstreamReport
		Expect(proto.Unmarshal(b[:n], &back)).To(Succeed())
		return &back
	}
	// count says how many of a number of reports with the same news go to the gateway.
	count := func(reports int, p *pb.UpstreamReport) int {
		n := 0
		for k := range reports {
			q := proto.CloneOf(p)
			q.Running = uint32(k)
			if got(q) != nil {
				n++
			}
		}
		return n
	}

	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = facts.New(func() time.Time { return now })
		own = socket()
		r = NewReporter(socket(), "d", f, func() time.Time { return now }, quiet)
		subscribe(false)
		count(farEvery, &pb.UpstreamReport{})
	})

	it("come once a second while only the load changes, with the demand, and say when the next one comes", func() {
		Expect(count(3*farEvery, &pb.UpstreamReport{})).To(Equal(3))
		var last *pb.UpstreamReport
		for range farEvery {
			if p := got(&pb.UpstreamReport{}); p != nil {
				last = p
			}
		}
		Expect(last.GetEveryMs()).To(BeNumerically("==", farTime.Milliseconds()))
		Expect(last.GetDemand()).NotTo(BeEmpty())
		Expect(last.GetGateways()).To(BeEmpty())
	})

	it("come each time where it asks for that, and no longer than it does", func() {
		subscribe(true)
		Expect(count(2*farEvery, &pb.UpstreamReport{})).To(Equal(2 * farEvery))
		Expect(got(&pb.UpstreamReport{}).GetEveryMs()).To(BeZero())
		subscribe(false)
		Expect(count(2*farEvery, &pb.UpstreamReport{})).To(Equal(2))
	})

	ginkgo.DescribeTable("come at once and once more when anything but the load changes", func(p *pb.UpstreamReport) {
		Expect(got(p)).NotTo(BeNil())
		Expect(got(p)).NotTo(BeNil(), "the first may have been lost")
		Expect(count(farEvery-2, p)).To(BeNumerically("<=", 1))
	},
		ginkgo.Entry("it takes no new work", &pb.UpstreamReport{Closed: true}),
		ginkgo.Entry("it is down", &pb.UpstreamReport{Down: true}),
		ginkgo.Entry("its link has become narrow", &pb.UpstreamReport{Narrow: true}),
		ginkgo.Entry("it serves another version", &pb.UpstreamReport{Held: []*pb.HeldWeights{{Model: "m", Revision: 2}}}),
		ginkgo.Entry("a version is named", &pb.UpstreamReport{Named: &pb.NamedWeights{Model: "m", Revision: 2}}),
	)

	it("come at once and once more when an instance leaves", func() {
		f.SetInstance(&facts.Instance{ID: "i", Address: "a", ListPosition: 3})
		count(farEvery, &pb.UpstreamReport{})
		f.SetInstance(&facts.Instance{ID: "i", Address: "a", ListPosition: 4, Leaving: true})
		Expect(got(&pb.UpstreamReport{}).GetWords()).To(HaveLen(1))
		Expect(got(&pb.UpstreamReport{}).GetWords()).To(HaveLen(1))
	})

	it("are believed until one after the next is due, and never for longer than three seconds", func() {
		s := NewSubscriber(socket(), 1, "e", facts.New(time.Now), func() time.Time { return now }, quiet)
		fresh := func(number uint64, every time.Duration, after time.Duration) bool {
			came := now
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: number, EveryMs: uint32(every.Milliseconds())})
			Expect(err).NotTo(HaveOccurred())
			s.take(b)
			now = now.Add(after)
			_, ok := s.Tracker().FreshReport("a")
			now = came
			return ok
		}
		Expect(fresh(1, farTime, 2*farTime)).To(BeTrue())
		Expect(fresh(2, farTime, 3*farTime)).To(BeFalse())
		Expect(fresh(3, time.Minute, farMost+time.Millisecond)).To(BeFalse())
		Expect(fresh(4, 0, farTime+time.Millisecond)).To(BeFalse(), "one of the own domain")
	})
})

var _ = describe("a gateway", func() {
	it("asks for each report beyond its failure domain while a tenth of its requests goes there", func() {
		now := time.Unix(1000, 0)
		f := facts.New(func() time.Time { return now })
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		s := NewSubscriber(socket(), 1, "d", f, func() time.Time { return now }, quiet)
		each := func() bool {
			var p pb.ReportSubscription
			Expect(proto.Unmarshal(s.subscription(group{pool: "p", each: s.each(&facts.Instance{Address: "a", Domain: "d"})}).bytes, &p)).To(Succeed())
			return p.GetEach()
		}
		Expect(each()).To(BeFalse())
		for range 20 {
			s.Offers().Record("p", false)
		}
		s.Offers().CrossDomain.Record("p")
		Expect(each()).To(BeFalse())
		s.Offers().CrossDomain.Record("p")
		s.Offers().CrossDomain.Record("p")
		Expect(each()).To(BeTrue())
		now = now.Add(3 * time.Second)
		for range 20 {
			s.Offers().Record("p", false)
		}
		Expect(each()).To(BeFalse())
	})
})
