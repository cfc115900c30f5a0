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

var _ = describe("reports to a gateway in another failure domain", func() {
	var now time.Time
	var f *facts.Facts
	var r *Reporter
	var gateway *net.UDPConn

	subscribe := func(each bool) {
		b, err := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "e", Each: each})
		Expect(err).NotTo(HaveOccurred())
		r.handleDatagram(b)
	}
	// publish publishes a report and returns it if the gateway received it, or nil.
	publish := func(p *pb.UpstreamReport) *pb.UpstreamReport {
		ginkgo.GinkgoHelper()
		p.Address = "a"
		r.Publish(p, time.Now())
		b := make([]byte, maxDatagramBytes)
		Expect(gateway.SetReadDeadline(time.Now().Add(20 * time.Millisecond))).To(Succeed())
		n, err := gateway.Read(b)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return nil
		}
		Expect(err).NotTo(HaveOccurred())
		var received pb.UpstreamReport
		Expect(proto.Unmarshal(b[:n], &received)).To(Succeed())
		return &received
	}
	// countSent returns how many of a number of reports that differ in their load only reach the gateway.
	countSent := func(reports int, p *pb.UpstreamReport) int {
		n := 0
		for k := range reports {
			q := proto.CloneOf(p)
			q.Running = uint32(k)
			if publish(q) != nil {
				n++
			}
		}
		return n
	}

	ginkgo.BeforeEach(func() {
		now = time.Unix(1000, 0)
		f = facts.New(func() time.Time { return now })
		gateway = newSocket()
		r = NewReporter(newSocket(), "d", f, func() time.Time { return now }, discardLog)
		subscribe(false)
		countSent(reportsInCycle, &pb.UpstreamReport{})
	})

	it("are sent once a second while only the load changes, and contain the demand and the report interval", func() {
		Expect(countSent(3*reportsInCycle, &pb.UpstreamReport{})).To(Equal(3))
		var last *pb.UpstreamReport
		for range reportsInCycle {
			if p := publish(&pb.UpstreamReport{}); p != nil {
				last = p
			}
		}
		Expect(last.GetEveryMs()).To(BeNumerically("==", cycle.Milliseconds()))
		Expect(last.GetDemand()).NotTo(BeEmpty())
		Expect(last.GetGateways()).To(BeEmpty())
	})

	it("are all sent while the gateway's subscription requests every report", func() {
		subscribe(true)
		Expect(countSent(2*reportsInCycle, &pb.UpstreamReport{})).To(Equal(2 * reportsInCycle))
		Expect(publish(&pb.UpstreamReport{}).GetEveryMs()).To(BeZero())
		subscribe(false)
		Expect(countSent(2*reportsInCycle, &pb.UpstreamReport{})).To(Equal(2))
	})

	ginkgo.DescribeTable("are sent twice at once when anything but the load changes", func(p *pb.UpstreamReport) {
		Expect(publish(p)).NotTo(BeNil())
		Expect(publish(p)).NotTo(BeNil(), "the first may have been lost")
		Expect(countSent(reportsInCycle-2, p)).To(BeNumerically("<=", 1))
	},
		ginkgo.Entry("the upstream is closed", &pb.UpstreamReport{Closed: true}),
		ginkgo.Entry("the upstream is down", &pb.UpstreamReport{Down: true}),
		ginkgo.Entry("the upstream's link is congested", &pb.UpstreamReport{Narrow: true}),
		ginkgo.Entry("the upstream serves another version", &pb.UpstreamReport{Held: []*pb.HeldWeights{{Model: "m", Revision: 2}}}),
		ginkgo.Entry("a version is published", &pb.UpstreamReport{Named: &pb.NamedWeights{Model: "m", Revision: 2}}),
	)

	it("are sent twice at once when an instance leaves", func() {
		f.SetInstance(&facts.Instance{ID: "i", Address: "a", ListPosition: 3})
		countSent(reportsInCycle, &pb.UpstreamReport{})
		f.SetInstance(&facts.Instance{ID: "i", Address: "a", ListPosition: 4, Leaving: true})
		Expect(publish(&pb.UpstreamReport{}).GetWords()).To(HaveLen(1))
		Expect(publish(&pb.UpstreamReport{}).GetWords()).To(HaveLen(1))
	})

	it("stay valid for two and a half intervals, and for three seconds at most", func() {
		s := NewSubscriber(newSocket(), 1, "e", facts.New(time.Now), func() time.Time { return now }, discardLog)
		fresh := func(number uint64, every time.Duration, after time.Duration) bool {
			receivedAt := now
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: number, EveryMs: uint32(every.Milliseconds())})
			Expect(err).NotTo(HaveOccurred())
			s.handleDatagram(b)
			now = now.Add(after)
			_, ok := s.Tracker().FreshReport("a")
			now = receivedAt
			return ok
		}
		Expect(fresh(1, cycle, 2*cycle)).To(BeTrue())
		Expect(fresh(2, cycle, 3*cycle)).To(BeFalse())
		Expect(fresh(3, time.Minute, maxRemoteValidity+time.Millisecond)).To(BeFalse())
		Expect(fresh(4, 0, cycle+time.Millisecond)).To(BeFalse(), "a report within the domain")
	})
})

var _ = describe("a gateway's subscription", func() {
	it("requests every report from other failure domains while more than a tenth of the requests goes there", func() {
		now := time.Unix(1000, 0)
		f := facts.New(func() time.Time { return now })
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		s := NewSubscriber(newSocket(), 1, "d", f, func() time.Time { return now }, discardLog)
		each := func() bool {
			var p pb.ReportSubscription
			Expect(proto.Unmarshal(s.encodeSubscription(subscriptionGroup{pool: "p", everyReport: s.wantsEveryReportOf(&facts.Instance{Address: "a", Domain: "d"})}).datagram, &p)).To(Succeed())
			return p.GetEach()
		}
		Expect(each()).To(BeFalse())
		for range 20 {
			s.DemandMeter().Record("p", false)
		}
		s.DemandMeter().CrossDomain.Record("p")
		Expect(each()).To(BeFalse())
		s.DemandMeter().CrossDomain.Record("p")
		s.DemandMeter().CrossDomain.Record("p")
		Expect(each()).To(BeTrue())
		now = now.Add(3 * time.Second)
		for range 20 {
			s.DemandMeter().Record("p", false)
		}
		Expect(each()).To(BeFalse())
	})
})

// reportsInCycle is the number of reports in a cycle without reservations.
const reportsInCycle = int(cycle / reportInterval)
