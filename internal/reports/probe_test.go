package reports

import (
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/placement"
)

var _ = describe("the way to an upstream that lags behind a newer version", func() {
	it("is proven again and again: stamps go out more often, to lagging ones alone", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := facts.New(clock)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		stager := socket()
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Domain: "d", Address: "127.0.0.1:9", Held: []facts.Held{{Model: "m", Revision: 1}}})
		s := NewSubscriber(socket(), port(stager), "d", f, clock, quiet)
		comes := func() bool {
			_ = stager.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			b := make([]byte, datagramBytes)
			n, err := stager.Read(b)
			var q pb.ReportSubscription
			return err == nil && proto.Unmarshal(b[:n], &q) == nil && q.GetStamp() > 0
		}
		s.probe()
		Expect(comes()).To(BeFalse(), "nothing newer is named")
		f.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		s.probe()
		Expect(comes()).To(BeTrue())
		s.tracker.SetReport("127.0.0.1:9", placement.LoadReport{ReceivedAt: now, Held: []facts.Held{{Model: "m", Revision: 2}}})
		s.probe()
		Expect(comes()).To(BeFalse(), "it serves the newest")
	})

	it("is proven in another failure domain too where this process has sent requests there lately, and each report is wanted from there", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := facts.New(clock)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		stager := socket()
		i := &facts.Instance{ID: "i", Pool: "p", Domain: "elsewhere", Address: "127.0.0.1:9", Held: []facts.Held{{Model: "m", Revision: 1}}}
		f.SetInstance(i)
		f.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		s := NewSubscriber(socket(), port(stager), "d", f, clock, quiet)
		comes := func() *pb.ReportSubscription {
			_ = stager.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			b := make([]byte, datagramBytes)
			n, err := stager.Read(b)
			q := &pb.ReportSubscription{}
			if err != nil || proto.Unmarshal(b[:n], q) != nil {
				return nil
			}
			return q
		}
		s.probe()
		Expect(comes()).To(BeNil())
		s.tracker.Begin(i.Address, 1).End()
		s.probe()
		Expect(comes().GetEach()).To(BeTrue())
		s.renew()
		Expect(comes().GetEach()).To(BeTrue(), "the usual renewal does not take it back")
		now = now.Add(3 * time.Second)
		s.probe()
		Expect(comes()).To(BeNil())
	})

	it("is timed without the time for which its stager had the stamp", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		own := socket()
		s := NewSubscriber(own, 1, "d", facts.New(clock), clock, quiet)
		r := NewReporter(socket(), "d", facts.New(clock), clock, quiet)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: own.LocalAddr().String(), Domain: "d", Stamp: s.stamps.at(now)})
		sent := now
		now = now.Add(30 * time.Millisecond)
		r.take(b)
		now = now.Add(180 * time.Millisecond)
		r.Publish(&pb.UpstreamReport{Address: "a"}, now)
		text := make([]byte, datagramBytes)
		n, err := own.Read(text)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(20 * time.Millisecond)
		s.take(text[:n])
		l, _ := s.tracker.FreshReport("a")
		Expect(l.EchoedStamp).To(Equal(sent))
		Expect(l.StampHeldFor).To(Equal(180 * time.Millisecond))
		Expect(l.Interval).To(Equal(nearEvery))
	})

	it("is told which configuration its stager has: it is behind while that is older than this process's", func() {
		f, far := facts.New(time.Now), facts.New(time.Now)
		own := socket()
		s := NewSubscriber(own, 1, "d", f, time.Now, quiet)
		r := NewReporter(socket(), "d", far, time.Now, quiet)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: own.LocalAddr().String(), Domain: "d"})
		r.take(b)
		config := func() uint64 {
			r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
			text := make([]byte, datagramBytes)
			n, err := own.Read(text)
			Expect(err).NotTo(HaveOccurred())
			s.take(text[:n])
			l, _ := s.tracker.FreshReport("a")
			return l.ConfigVersion
		}
		Expect(config()).To(BeZero())
		far.SetCatalog(catalog.New(2, nil, nil, nil, catalog.Limits{}))
		Expect(config()).To(BeEquivalentTo(2))
		far.SetCatalog(catalog.New(4, nil, nil, nil, catalog.Limits{}))
		Expect(config()).To(BeEquivalentTo(4))
	})
})
