package reports

import (
	"context"
	"expvar"
	"net"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/spec"
)

func TestReports(t *testing.T) {
	spec.Run(t, "Reports")
}

var (
	discardLog = &log.Logger{Level: log.PanicLevel}
	describe   = ginkgo.Describe
	it         = ginkgo.It
)

func newSocket() *net.UDPConn {
	c, err := listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	return c
}

func portOf(c *net.UDPConn) int {
	return c.LocalAddr().(*net.UDPAddr).Port
}

var _ = describe("a process that stops", func() {
	it("leaves no socket open that its successor could not bind", func() {
		ctx, stop := context.WithCancel(context.Background())
		stop()
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		s := NewSubscriber(newSocket(), portOf(r.conn), "d", facts.New(time.Now), time.Now, discardLog)
		for _, run := range []func(context.Context) error{r.Run, s.Run} {
			Expect(run(ctx)).To(Succeed())
		}
		for _, c := range []*net.UDPConn{r.conn, s.conn} {
			_, err := c.WriteTo(nil, c.LocalAddr())
			Expect(err).To(MatchError(net.ErrClosed))
		}
	})
})

var _ = describe("reports", func() {
	it("reach the gateways that subscribe, until their subscriptions expire", func() {
		now := time.Now()
		r := NewReporter(newSocket(), "d", facts.New(time.Now), func() time.Time { return now }, discardLog)
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		go func() { _ = r.Run(ctx) }()
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}, {Name: "plain"}}, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "127.0.0.1:9"})
		f.SetInstance(&facts.Instance{ID: "j", Pool: "plain", Address: "127.0.0.2:9"})
		s := NewSubscriber(newSocket(), portOf(r.conn), "d", f, time.Now, discardLog)
		go func() { _ = s.Run(ctx) }()
		Eventually(func() bool {
			r.Publish(&pb.UpstreamReport{Address: "127.0.0.1:9", Running: 3, Held: []*pb.HeldWeights{{Model: "m", Revision: 2}}}, time.Now())
			l, ok := s.Tracker().FreshReport("127.0.0.1:9")
			return ok && l.Running == 3 && l.Held[0] == facts.Held{Model: "m", Revision: 2}
		}).Should(BeTrue())
		Expect(s.GatewayCount()).To(Equal(1))
		r.mu.Lock()
		now = now.Add(subscriptionTTL + time.Second)
		r.mu.Unlock()
		r.Publish(&pb.UpstreamReport{}, time.Now())
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.subscribers).To(BeEmpty())
	})

	it("that are late, duplicated, of an earlier incarnation or malformed have no effect", func() {
		s := NewSubscriber(newSocket(), 1, "d", facts.New(time.Now), time.Now, discardLog)
		send := func(incarnation, number uint64, running uint32) {
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: incarnation, Number: number, Running: running})
			Expect(err).NotTo(HaveOccurred())
			s.handleDatagram(b)
		}
		running := func() int {
			l, _ := s.Tracker().FreshReport("a")
			return l.Running
		}
		send(900, 1, 1)
		send(900, 2, 2)
		send(900, 1, 9)
		Expect(running()).To(Equal(2))
		send(5, 1, 3)
		Expect(running()).To(Equal(3), "a restart draws a new incarnation, which may be lower")
		send(900, 3, 9)
		s.handleDatagram([]byte("\xff\xff\xff"))
		s.handleDatagram(nil)
		Expect(running()).To(Equal(3))
	})

	it("of the newest incarnation are accepted again after a very late report of the one before the previous", func() {
		now := time.Now()
		s := NewSubscriber(newSocket(), 9, "d", facts.New(time.Now), func() time.Time { return now }, discardLog)
		report := func(incarnation, number uint64) bool {
			return s.acceptReport(&pb.UpstreamReport{Address: "a", Incarnation: incarnation, Number: number})
		}
		Expect([]bool{report(1, 7), report(2, 1), report(3, 1), report(1, 8), report(3, 2)}).
			To(Equal([]bool{true, true, true, true, false}))
		now = now.Add(maxDatagramDelay)
		Expect(report(3, 3)).To(BeTrue())
		Expect(report(1, 9)).To(BeFalse())
	})

	it("contain a demand that expires when their stager falls silent", func() {
		now := time.Now()
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "a"})
		s := NewSubscriber(newSocket(), 9, "d", f, func() time.Time { return now }, discardLog)
		s.acceptReport(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1, Demand: []*pb.Demand{{Domain: "e", Offered: 300}}})
		Expect(s.Demand("p")["e"].OnTime).To(Equal(300.0))
		now = now.Add(demandTTL)
		Expect(s.Demand("p")["e"].OnTime).To(BeZero())
	})

	it("reach gateways in other failure domains at once when an upstream declares that it leaves", func() {
		gateway := newSocket()
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Address: "a"})
		s := NewSubscriber(gateway, 9, "e", f, time.Now, discardLog)
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: gateway.LocalAddr().String(), Domain: "e"})
		r.handleDatagram(b)
		// publish sends a report and returns whether it reached the gateway.
		publish := func(leaving bool) bool {
			r.Publish(&pb.UpstreamReport{Address: "a", Leaving: leaving}, time.Now())
			b := make([]byte, maxDatagramBytes)
			Expect(gateway.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			n, err := gateway.Read(b)
			if err == nil {
				s.handleDatagram(b[:n])
			}
			return err == nil
		}
		leaving := func() bool {
			l, ok := s.Tracker().FreshReport("a")
			return ok && l.Leaving
		}
		Expect([]bool{publish(false), publish(false), publish(false)}).To(Equal([]bool{true, true, false}))
		Expect(leaving()).To(BeFalse())
		Expect(publish(true)).To(BeTrue())
		Expect(leaving()).To(BeTrue())
	})

	it("announce the newest offset of the operators' records that any process has read", func() {
		remote := facts.New(time.Now)
		r := NewReporter(newSocket(), "d", remote, time.Now, discardLog)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: "127.0.0.1:9", ConfigOffset: 7})
		r.handleDatagram(b)
		offset, changed := remote.ConfigOffset()
		Expect(offset).To(Equal(id.Position(7)))
		local := facts.New(time.Now)
		s := NewSubscriber(newSocket(), 1, "d", local, time.Now, discardLog)
		b, _ = proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1, ConfigOffset: 9})
		s.handleDatagram(b)
		offset, _ = local.ConfigOffset()
		Expect(offset).To(Equal(id.Position(9)))
		remote.NoteConfigOffset(5)
		Expect(changed).NotTo(BeClosed())
		remote.NoteConfigOffset(8)
		Expect(changed).To(BeClosed())
	})

	it("contain the number of gateways that share the rate limits; a default applies before the first report", func() {
		s := NewSubscriber(newSocket(), 1, "d", facts.New(time.Now), time.Now, discardLog)
		Expect(s.GatewayCount()).To(Equal(defaultGateways))
		for i, n := range []uint32{3, 7, 5} {
			b, _ := proto.Marshal(&pb.UpstreamReport{Address: string(rune('a' + i)), Incarnation: 1, Number: 1, Subscribers: n})
			s.handleDatagram(b)
		}
		Expect(s.GatewayCount()).To(Equal(7))
		s.forgetUnlisted(map[string]bool{"a": true})
		Expect(s.GatewayCount()).To(Equal(3))
	})

	it("contain the demand on all gateways per failure domain, at once if it changes considerably", func() {
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		gateway := newSocket()
		subscribe := func(name, domain string, offered float64) {
			b, _ := proto.Marshal(&pb.ReportSubscription{Sender: name, Domain: domain, Offered: offered, OfferedLate: 1})
			r.handleDatagram(b)
		}
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "a"})
		s := NewSubscriber(newSocket(), 1, "d", f, time.Now, discardLog)
		publish := func() {
			r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
			b := make([]byte, maxDatagramBytes)
			Expect(gateway.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			n, err := gateway.Read(b)
			Expect(err).NotTo(HaveOccurred())
			s.handleDatagram(b[:n])
		}
		subscribe(gateway.LocalAddr().String(), "d", 20)
		subscribe("127.0.0.1:2", "d", 30)
		subscribe("127.0.0.1:3", "e", 50)
		publish()
		Expect(s.Demand("p")).To(Equal(placement.Demand{"d": {OnTime: 50, Late: 2}, "e": {OnTime: 50, Late: 1}}))
		subscribe("127.0.0.1:3", "e", 52)
		publish()
		Expect(s.Demand("p")["e"].OnTime).To(Equal(50.0), "a small change waits for the next regular report with the demand")
		subscribe("127.0.0.1:3", "e", 90)
		publish()
		Expect(s.Demand("p")["e"].OnTime).To(Equal(90.0))
		Expect(s.Demand("other")).To(Equal(placement.Demand{"d": {}}))
	})

	it("add to the demand on this process, which counts before any stager reports it", func() {
		s := NewSubscriber(newSocket(), 1, "d", facts.New(time.Now), time.Now, discardLog)
		for range 10 {
			s.DemandMeter().Record("p", false)
		}
		Expect(s.Demand("p")["d"].OnTime).To(BeNumerically(">", 9))
	})

	it("are refused to more than the maximum number of subscribers, and to senders without a valid address", func() {
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		for i := range maxSubscribers + 5 {
			b, _ := proto.Marshal(&pb.ReportSubscription{Sender: net.JoinHostPort("127.0.0.1", itoa(i+1))})
			r.handleDatagram(b)
		}
		r.handleDatagram([]byte("\x0a\x05nowhe"))
		Expect(r.subscribers).To(HaveLen(maxSubscribers))
	})
})

func itoa(n int) string {
	return (&net.TCPAddr{Port: n}).String()[1:]
}

func FuzzReport(f *testing.F) {
	b, _ := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1})
	f.Add(b)
	b, _ = proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 2, Words: []*pb.ListWord{{Instance: "i", Left: true}}})
	f.Add(b)
	s := &Subscriber{facts: facts.New(time.Now), stagers: map[string]*stagerState{}, now: time.Now,
		log: discardLog, tracker: placement.NewTracker(time.Now), vars: new(expvar.Map)}
	f.Fuzz(func(_ *testing.T, b []byte) { s.handleDatagram(b) })
}

var _ = describe("a gateway that starts during a rollout", func() {
	it("learns the publish time of the version from a report, and serves no older version before that", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(newSocket(), 9, "d", f, func() time.Time { return now }, discardLog)
		stamp := s.stamps.encode(now)
		now = now.Add(300 * time.Millisecond)
		send := func(n uint64, w *pb.NamedWeights) {
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: n, Named: w, Echo: stamp})
			Expect(err).NotTo(HaveOccurred())
			s.handleDatagram(b)
		}
		send(1, &pb.NamedWeights{Model: "m", Revision: 3, AgeMs: 10})
		stampedAt := now.Add(-300 * time.Millisecond)
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(stampedAt), "the report is about a version that was not read here")
		send(2, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: -1})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(stampedAt))
		send(3, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 2000})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(stampedAt.Add(6 * time.Second)))
		send(4, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 10})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(stampedAt.Add(6*time.Second)), "a known publish time stays")
		send(5, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 5000, HadMs: 4000})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(stampedAt.Add(3*time.Second)), "another process knew of it 4 s ago")
	})
})

// A report that queues behind chunks of weights arrives seconds late, and the age in it counts from when it was made.
// Counted from its arrival, the publish time would be too late.
var _ = describe("a delayed report", func() {
	it("does not set the publish time of a version too late", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(newSocket(), 9, "d", f, func() time.Time { return now }, discardLog)
		publishedAt := now.Add(-2 * time.Second)
		b, err := proto.Marshal(&pb.UpstreamReport{
			Address: "a", Incarnation: 1, Number: 1, Named: &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 2000},
		})
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(4 * time.Second)
		s.handleDatagram(b)
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(BeTemporally("<=", publishedAt.Add(8*time.Second)))
	})
})

var _ = describe("a version that an upstream serves", func() {
	it("counts as published, whatever the newest record contains", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(newSocket(), 9, "d", f, func() time.Time { return now }, discardLog)
		b, err := proto.Marshal(&pb.UpstreamReport{
			Address: "a", Incarnation: 1, Number: 1, Held: []*pb.HeldWeights{{Model: "m", Revision: 3}},
		})
		Expect(err).NotTo(HaveOccurred())
		s.handleDatagram(b)
		Expect(f.MinRevision("m", 8*time.Second)).To(BeNumerically("==", 3))
	})
})
