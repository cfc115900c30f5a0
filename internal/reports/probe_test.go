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

var _ = describe("the connection to an upstream that serves an outdated version", func() {
	it("is probed by additional subscriptions, while the version is outdated", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := facts.New(clock)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		stager := newSocket()
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Domain: "d", Address: "127.0.0.1:9", Held: []facts.Held{{Model: "m", Revision: 1}}})
		s := NewSubscriber(newSocket(), portOf(stager), "d", f, clock, discardLog)
		receive := func() bool {
			_ = stager.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			b := make([]byte, maxDatagramBytes)
			n, err := stager.Read(b)
			var q pb.ReportSubscription
			return err == nil && proto.Unmarshal(b[:n], &q) == nil && q.GetStamp() > 0
		}
		s.renewOutdated()
		Expect(receive()).To(BeFalse(), "no newer version is published")
		f.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		s.renewOutdated()
		Expect(receive()).To(BeTrue())
		s.tracker.SetReport("127.0.0.1:9", placement.LoadReport{ReceivedAt: now, Held: []facts.Held{{Model: "m", Revision: 2}}})
		s.renewOutdated()
		Expect(receive()).To(BeFalse(), "the upstream serves the newest version")
	})

	it("is probed in another failure domain too while this process sends requests there, and every report is requested", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := facts.New(clock)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		stager := newSocket()
		i := &facts.Instance{ID: "i", Pool: "p", Domain: "elsewhere", Address: "127.0.0.1:9", Held: []facts.Held{{Model: "m", Revision: 1}}}
		f.SetInstance(i)
		f.SetWanted("m", facts.Publication{Revision: 2, PublishTime: dating.TimeBounds{After: now}})
		s := NewSubscriber(newSocket(), portOf(stager), "d", f, clock, discardLog)
		receive := func() *pb.ReportSubscription {
			_ = stager.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			b := make([]byte, maxDatagramBytes)
			n, err := stager.Read(b)
			q := &pb.ReportSubscription{}
			if err != nil || proto.Unmarshal(b[:n], q) != nil {
				return nil
			}
			return q
		}
		s.renewOutdated()
		Expect(receive()).To(BeNil())
		s.tracker.Begin(i.Address, 1).End()
		s.renewOutdated()
		Expect(receive().GetEach()).To(BeTrue())
		s.renew()
		Expect(receive().GetEach()).To(BeTrue(), "the regular renewal requests every report, too")
		now = now.Add(3 * time.Second)
		s.renewOutdated()
		Expect(receive()).To(BeNil())
	})

	it("has a round-trip time that excludes the time for which the stager held the stamp", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		gateway := newSocket()
		s := NewSubscriber(gateway, 1, "d", facts.New(clock), clock, discardLog)
		r := NewReporter(newSocket(), "d", facts.New(clock), clock, discardLog)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "d", Stamp: s.stamps.encode(now)})
		sentAt := now
		now = now.Add(30 * time.Millisecond)
		r.handleDatagram(b)
		now = now.Add(180 * time.Millisecond)
		r.Publish(&pb.UpstreamReport{Address: "a"}, now)
		datagram := make([]byte, maxDatagramBytes)
		n, err := gateway.Read(datagram)
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(20 * time.Millisecond)
		s.handleDatagram(datagram[:n])
		l, _ := s.tracker.FreshReport("a")
		Expect(l.EchoedStamp).To(Equal(sentAt))
		Expect(l.StampHeldFor).To(Equal(180 * time.Millisecond))
		Expect(l.Interval).To(Equal(localReportInterval))
	})

	it("is known with the configuration version that the stager has", func() {
		f, remote := facts.New(time.Now), facts.New(time.Now)
		gateway := newSocket()
		s := NewSubscriber(gateway, 1, "d", f, time.Now, discardLog)
		r := NewReporter(newSocket(), "d", remote, time.Now, discardLog)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "d"})
		r.handleDatagram(b)
		config := func() uint64 {
			r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
			datagram := make([]byte, maxDatagramBytes)
			n, err := gateway.Read(datagram)
			Expect(err).NotTo(HaveOccurred())
			s.handleDatagram(datagram[:n])
			l, _ := s.tracker.FreshReport("a")
			return l.ConfigVersion
		}
		Expect(config()).To(BeZero())
		remote.SetCatalog(catalog.New(2, nil, nil, nil, catalog.Limits{}))
		Expect(config()).To(BeEquivalentTo(2))
		remote.SetCatalog(catalog.New(4, nil, nil, nil, catalog.Limits{}))
		Expect(config()).To(BeEquivalentTo(4))
	})
})
