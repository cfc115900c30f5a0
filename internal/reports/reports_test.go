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
	quiet    = &log.Logger{Level: log.PanicLevel}
	describe = ginkgo.Describe
	it       = ginkgo.It
)

func socket() *net.UDPConn {
	c, err := listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(func() { _ = c.Close() })
	return c
}

func port(c *net.UDPConn) int {
	return c.LocalAddr().(*net.UDPAddr).Port
}

var _ = describe("reports", func() {
	it("reach the gateways that subscribe, and only as long as they do", func() {
		now := time.Now()
		r := NewReporter(socket(), "d", facts.New(time.Now), func() time.Time { return now }, quiet)
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		go func() { _ = r.Run(ctx) }()
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}, {Name: "plain"}}, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "127.0.0.1:9"})
		f.SetInstance(&facts.Instance{ID: "j", Pool: "plain", Address: "127.0.0.2:9"})
		s := NewSubscriber(socket(), port(r.conn), "d", f, time.Now, quiet)
		go func() { _ = s.Run(ctx) }()
		Eventually(func() bool {
			r.Publish(&pb.UpstreamReport{Address: "127.0.0.1:9", Running: 3, Held: []*pb.HeldWeights{{Model: "m", Revision: 2}}}, time.Now())
			l, ok := s.Tracker().FreshReport("127.0.0.1:9")
			return ok && l.Running == 3 && l.Held[0] == facts.Held{Model: "m", Revision: 2}
		}).Should(BeTrue())
		Expect(s.GatewayCount()).To(Equal(1))
		r.mu.Lock()
		now = now.Add(subscriptionLife + time.Second)
		r.mu.Unlock()
		r.Publish(&pb.UpstreamReport{}, time.Now())
		r.mu.Lock()
		defer r.mu.Unlock()
		Expect(r.subscribers).To(BeEmpty())
	})

	it("that are late, doubled, of an earlier start or no reports change nothing", func() {
		s := NewSubscriber(socket(), 1, "d", facts.New(time.Now), time.Now, quiet)
		send := func(incarnation, number uint64, running uint32) {
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: incarnation, Number: number, Running: running})
			Expect(err).NotTo(HaveOccurred())
			s.take(b)
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
		s.take([]byte("\xff\xff\xff"))
		s.take(nil)
		Expect(running()).To(Equal(3))
	})

	it("of the newest start are taken again after a very late one of two starts before", func() {
		now := time.Now()
		s := NewSubscriber(socket(), 9, "d", facts.New(time.Now), func() time.Time { return now }, quiet)
		report := func(incarnation, number uint64) bool {
			return s.newer(&pb.UpstreamReport{Address: "a", Incarnation: incarnation, Number: number})
		}
		Expect([]bool{report(1, 7), report(2, 1), report(3, 1), report(1, 8), report(3, 2)}).
			To(Equal([]bool{true, true, true, true, false}))
		now = now.Add(lateMost)
		Expect(report(3, 3)).To(BeTrue())
		Expect(report(1, 9)).To(BeFalse())
	})

	it("tell a demand that counts no longer once their stager is silent", func() {
		now := time.Now()
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "a"})
		s := NewSubscriber(socket(), 9, "d", f, func() time.Time { return now }, quiet)
		s.newer(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1, Demand: []*pb.Demand{{Domain: "e", Offered: 300}}})
		Expect(s.Demand("p")["e"].OnTime).To(Equal(300.0))
		now = now.Add(demandLife)
		Expect(s.Demand("p")["e"].OnTime).To(BeZero())
	})

	it("tell at once, also beyond the own failure domain, that an upstream says that it leaves", func() {
		own := socket()
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Address: "a"})
		s := NewSubscriber(own, 9, "e", f, time.Now, quiet)
		r := NewReporter(socket(), "d", facts.New(time.Now), time.Now, quiet)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: own.LocalAddr().String(), Domain: "e"})
		r.take(b)
		// publish says whether a report has come to the gateway.
		publish := func(leaving bool) bool {
			r.Publish(&pb.UpstreamReport{Address: "a", Leaving: leaving}, time.Now())
			b := make([]byte, datagramBytes)
			Expect(own.SetReadDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
			n, err := own.Read(b)
			if err == nil {
				s.take(b[:n])
			}
			return err == nil
		}
		leaves := func() bool {
			l, ok := s.Tracker().FreshReport("a")
			return ok && l.Leaving
		}
		Expect([]bool{publish(false), publish(false), publish(false)}).To(Equal([]bool{true, true, false}))
		Expect(leaves()).To(BeFalse())
		Expect(publish(true)).To(BeTrue())
		Expect(leaves()).To(BeTrue())
	})

	it("tell a process that others have read newer records of the operators", func() {
		far := facts.New(time.Now)
		r := NewReporter(socket(), "d", far, time.Now, quiet)
		b, _ := proto.Marshal(&pb.ReportSubscription{Sender: "127.0.0.1:9", ConfigOffset: 7})
		r.take(b)
		heard, hearing := far.ConfigOffset()
		Expect(heard).To(Equal(id.Position(7)))
		near := facts.New(time.Now)
		s := NewSubscriber(socket(), 1, "d", near, time.Now, quiet)
		b, _ = proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: 1, ConfigOffset: 9})
		s.take(b)
		heard, _ = near.ConfigOffset()
		Expect(heard).To(Equal(id.Position(9)))
		far.NoteConfigOffset(5)
		Expect(hearing).NotTo(BeClosed())
		far.NoteConfigOffset(8)
		Expect(hearing).To(BeClosed())
	})

	it("say how many gateways share the budgets, and a safe number before that", func() {
		s := NewSubscriber(socket(), 1, "d", facts.New(time.Now), time.Now, quiet)
		Expect(s.GatewayCount()).To(Equal(defaultGateways))
		for i, n := range []uint32{3, 7, 5} {
			b, _ := proto.Marshal(&pb.UpstreamReport{Address: string(rune('a' + i)), Incarnation: 1, Number: 1, Subscribers: n})
			s.take(b)
		}
		Expect(s.GatewayCount()).To(Equal(7))
		s.sweep(map[string]bool{"a": true})
		Expect(s.GatewayCount()).To(Equal(3))
	})

	it("tell gateways what callers bring to all of them, by failure domain, and at once when it jumps", func() {
		r := NewReporter(socket(), "d", facts.New(time.Now), time.Now, quiet)
		own := socket()
		subscribe := func(name, domain string, offered float64) {
			b, _ := proto.Marshal(&pb.ReportSubscription{Sender: name, Domain: domain, Offered: offered, OfferedLate: 1})
			r.take(b)
		}
		f := facts.New(time.Now)
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "a"})
		s := NewSubscriber(socket(), 1, "d", f, time.Now, quiet)
		publish := func() {
			r.Publish(&pb.UpstreamReport{Address: "a"}, time.Now())
			b := make([]byte, datagramBytes)
			Expect(own.SetReadDeadline(time.Now().Add(time.Second))).To(Succeed())
			n, err := own.Read(b)
			Expect(err).NotTo(HaveOccurred())
			s.take(b[:n])
		}
		subscribe(own.LocalAddr().String(), "d", 20)
		subscribe("127.0.0.1:2", "d", 30)
		subscribe("127.0.0.1:3", "e", 50)
		publish()
		Expect(s.Demand("p")).To(Equal(placement.Demand{"d": {OnTime: 50, Late: 2}, "e": {OnTime: 50, Late: 1}}))
		subscribe("127.0.0.1:3", "e", 52)
		publish()
		Expect(s.Demand("p")["e"].OnTime).To(Equal(50.0), "a small change waits for the next report that tells the demand")
		subscribe("127.0.0.1:3", "e", 90)
		publish()
		Expect(s.Demand("p")["e"].OnTime).To(Equal(90.0))
		Expect(s.Demand("other")).To(Equal(placement.Demand{"d": {}}))
	})

	it("count what comes to the own process, whatever stagers know of it yet", func() {
		s := NewSubscriber(socket(), 1, "d", facts.New(time.Now), time.Now, quiet)
		for range 10 {
			s.Offers().Record("p", false)
		}
		Expect(s.Demand("p")["d"].OnTime).To(BeNumerically(">", 9))
	})

	it("are refused beyond a bounded number of subscribers, and to senders that are no addresses", func() {
		r := NewReporter(socket(), "d", facts.New(time.Now), time.Now, quiet)
		for i := range maxSubscribers + 5 {
			b, _ := proto.Marshal(&pb.ReportSubscription{Sender: net.JoinHostPort("127.0.0.1", itoa(i+1))})
			r.take(b)
		}
		r.take([]byte("\x0a\x05nowhe"))
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
	s := &Subscriber{facts: facts.New(time.Now), stagers: map[string]*heard{}, now: time.Now,
		log: quiet, tracker: placement.NewTracker(time.Now), vars: new(expvar.Map)}
	f.Fuzz(func(_ *testing.T, b []byte) { s.take(b) })
}

var _ = describe("a gateway that has started while a version is brought out", func() {
	it("learns by a report since when it is named, and gives older versions no time before that", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(socket(), 9, "d", f, func() time.Time { return now }, quiet)
		asked := s.stamps.at(now)
		now = now.Add(300 * time.Millisecond)
		send := func(n uint64, w *pb.NamedWeights) {
			b, err := proto.Marshal(&pb.UpstreamReport{Address: "a", Incarnation: 1, Number: n, Named: w, Echo: asked})
			Expect(err).NotTo(HaveOccurred())
			s.take(b)
		}
		send(1, &pb.NamedWeights{Model: "m", Revision: 3, AgeMs: 10})
		learnt := now.Add(-300 * time.Millisecond)
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(learnt), "the report speaks of weights that were not read here")
		send(2, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: -1})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(learnt))
		send(3, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 2000})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(learnt.Add(6 * time.Second)))
		send(4, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 10})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(learnt.Add(6*time.Second)), "what is known stays")
		send(5, &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 5000, HadMs: 4000})
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(Equal(learnt.Add(3*time.Second)), "somebody had it 4 s ago")
	})
})

// A report that waits on a link behind chunks of weights is seconds late, and the age in it is that of the moment at
// which it was made.
var _ = describe("a report that was long on its way", func() {
	it("does not date the naming of weights after it", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(socket(), 9, "d", f, func() time.Time { return now }, quiet)
		named := now.Add(-2 * time.Second)
		b, err := proto.Marshal(&pb.UpstreamReport{
			Address: "a", Incarnation: 1, Number: 1, Named: &pb.NamedWeights{Model: "m", Revision: 2, AgeMs: 2000},
		})
		Expect(err).NotTo(HaveOccurred())
		now = now.Add(4 * time.Second)
		s.take(b)
		Expect(f.ServableUntil("m", 1, 8*time.Second)).To(BeTemporally("<=", named.Add(8*time.Second)))
	})
})

var _ = describe("a version that an upstream serves", func() {
	it("has been named, whatever the newest record of its naming says", func() {
		now := time.Now()
		f := facts.New(func() time.Time { return now })
		f.SetWanted("m", facts.Publication{Revision: 2})
		s := NewSubscriber(socket(), 9, "d", f, func() time.Time { return now }, quiet)
		b, err := proto.Marshal(&pb.UpstreamReport{
			Address: "a", Incarnation: 1, Number: 1, Held: []*pb.HeldWeights{{Model: "m", Revision: 3}},
		})
		Expect(err).NotTo(HaveOccurred())
		s.take(b)
		Expect(f.MinRevision("m", 8*time.Second)).To(BeNumerically("==", 3))
	})
})
