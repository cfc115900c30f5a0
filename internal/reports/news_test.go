package reports

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

var _ = describe("a gateway's crash news", func() {
	engines := []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}, {Name: "plain"}}

	it("reaches all other gateways once through each stager, and is not taken for a load report", func() {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		go func() { _ = r.Run(ctx) }()
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "127.0.0.1:9"})
		var mu sync.Mutex
		received := map[int]int{}
		var gateways []*Subscriber
		for n := range 3 {
			s := NewSubscriber(newSocket(), portOf(r.conn), "d", f, time.Now, discardLog)
			s.OnCrashNews = func(m *pb.CrashNews) {
				mu.Lock()
				defer mu.Unlock()
				received[n] += len(m.GetServed())
			}
			go func() { _ = s.Run(ctx) }()
			gateways = append(gateways, s)
		}
		Eventually(func() int {
			r.mu.Lock()
			defer r.mu.Unlock()
			return len(r.subscribers)
		}).Should(Equal(3))
		gateways[0].BroadcastCrashNews(&pb.CrashNews{Served: [][]byte{{1}}})
		Eventually(func() map[int]int {
			mu.Lock()
			defer mu.Unlock()
			return map[int]int{0: received[0], 1: received[1], 2: received[2]}
		}).Should(Equal(map[int]int{0: 0, 1: 1, 2: 1}))
		_, ok := gateways[1].Tracker().FreshReport("127.0.0.1:9")
		Expect(ok).To(BeFalse())
	})

	it("of what is held reaches gateways that subscribe later, until it is released or served", func() {
		ctx, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		r := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		r.upstreamAddress = "127.0.0.1:9"
		go func() { _ = r.Run(ctx) }()
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: "127.0.0.1:9"})
		join := func(question uint64) chan *pb.CrashNews {
			s := NewSubscriber(newSocket(), portOf(r.conn), "d", f, time.Now, discardLog)
			got := make(chan *pb.CrashNews, 10)
			s.OnCrashNews = func(m *pb.CrashNews) { got <- m }
			s.AskHeld(question)
			go func() { _ = s.Run(ctx) }()
			return got
		}
		first := NewSubscriber(newSocket(), portOf(r.conn), "d", f, time.Now, discardLog)
		hold := func(name, part byte, recorded bool) {
			first.BroadcastCrashNews(&pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: []byte{name}, Recorded: recorded, Request: &pb.HeldRequest{Parts: [][]byte{{part}}}}}})
		}
		hold(1, 11, false)
		hold(2, 12, true)
		hold(2, 12, false)
		hold(3, 13, false)
		first.BroadcastCrashNews(&pb.CrashNews{Released: [][]byte{{1}}})
		fingerprints := func() (l []byte) {
			for _, h := range remembered(r) {
				l = append(l, h.GetFingerprint()...)
			}
			return l
		}
		Eventually(fingerprints).Should(ConsistOf(byte(2), byte(3)))
		Expect(r.vars.Get("news").String()).To(Equal("4"), "releases are not forwarded")
		first.BroadcastCrashNews(&pb.CrashNews{Served: [][]byte{{13}}})
		Eventually(func() int { return len(remembered(r)) }).Should(Equal(1))
		var m *pb.CrashNews
		// What was served is in a datagram of its own.
		holds := WithTransform((*pb.CrashNews).GetHeld, HaveLen(1))
		Eventually(join(7)).Should(Receive(&m, holds))
		Expect(m.GetAnswers()).To(BeEquivalentTo(7))
		Expect(m.GetSender()).To(Equal("127.0.0.1:9"))
		Expect(m.GetHeld()[0].GetFingerprint()).To(Equal([]byte{2}))
		Expect(m.GetHeld()[0].GetRecorded()).To(BeTrue())
		Eventually(join(0)).Should(Receive(&m, holds), "a gateway that does not ask")
		Expect(m.GetAnswers()).To(BeZero())
	})

	it("of what is held is remembered up to a bound, for a time", func() {
		now := time.Now()
		m := &heldMemory{}
		for n := range maxHeldRemembered + 1 {
			m.note(&pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: []byte{byte(n), byte(n >> 8)}}}}, now)
		}
		Expect(m.list(now)).To(HaveLen(maxHeldRemembered))
		Expect(m.list(now)[0].GetFingerprint()).To(Equal([]byte{1, 0}))
		Expect(m.list(now.Add(heldMemoryTTL))).To(BeEmpty())
	})

	it("of what is held is remembered by stagers that do not forward it", func() {
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		for n := range maxHeldCopies + 3 {
			f.SetInstance(&facts.Instance{ID: id.Instance(fmt.Sprint(n)), Pool: "p", Address: fmt.Sprintf("127.0.0.%d:9", n+1), Domain: id.Domain(fmt.Sprint("d", n%4))})
		}
		s := NewSubscriber(newSocket(), 1, "d0", f, time.Now, discardLog)
		relays := s.pickRelays("key")
		more := s.pickMoreToRemember("key", relays)
		Expect(len(relays) + len(more)).To(Equal(maxHeldCopies))
		for _, i := range relays {
			Expect(more).NotTo(ContainElement(i))
		}
		r := NewReporter(newSocket(), "d", f, time.Now, discardLog)
		r.forwardNews(&pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: []byte{1}}}, RememberOnly: true})
		Expect(remembered(r)).To(HaveLen(1))
		Expect(r.vars.Get("news")).To(BeNil())
	})

	it("of what is held goes through the same stagers from each gateway", func() {
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		for n := range 12 {
			f.SetInstance(&facts.Instance{ID: id.Instance(fmt.Sprint(n)), Pool: "p", Address: fmt.Sprintf("127.0.0.%d:9", n+1), Domain: id.Domain(fmt.Sprint("d", n%4))})
		}
		a, b := NewSubscriber(newSocket(), 1, "d0", f, time.Now, discardLog), NewSubscriber(newSocket(), 1, "d1", f, time.Now, discardLog)
		Expect(a.pickRelays("key")).To(Equal(b.pickRelays("key")))
	})

	it("goes through stagers in different failure domains that have reported recently", func() {
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, engines, nil, catalog.Limits{}))
		s := NewSubscriber(newSocket(), 1, "d0", f, time.Now, discardLog)
		for n := range 12 {
			i := &facts.Instance{ID: id.Instance(fmt.Sprint(n)), Pool: "p", Address: fmt.Sprintf("127.0.0.%d:9", n+1), Domain: id.Domain(fmt.Sprint("d", n%4))}
			f.SetInstance(i)
		}
		f.SetInstance(&facts.Instance{ID: "plain", Pool: "plain", Address: "127.0.0.99:9", Domain: "d9"})
		Expect(s.pickRelays("")).To(HaveLen(newsRelays), "any stager is used while none has reported")
		for n := range 8 {
			s.Tracker().SetReport(fmt.Sprintf("127.0.0.%d:9", n+1), placement.LoadReport{ReceivedAt: time.Now()})
		}
		for range 50 {
			domains := map[id.Domain]bool{}
			for _, i := range s.pickRelays("") {
				domains[i.Domain] = true
				_, fresh := s.Tracker().FreshReport(i.Address)
				Expect(fresh).To(BeTrue())
			}
			Expect(domains).To(HaveLen(newsRelays))
		}
	})

	it("is rate-limited at the sender and at the stagers that forward it", func() {
		now := time.Now()
		f := facts.New(time.Now)
		s := NewSubscriber(newSocket(), 1, "d", f, func() time.Time { return now }, discardLog)
		for range newsBurst + 7 {
			s.BroadcastCrashNews(&pb.CrashNews{})
		}
		Expect(s.vars.Get("news_over_rate").String()).To(Equal("7"))
		r := NewReporter(newSocket(), "d", f, func() time.Time { return now }, discardLog)
		for range forwardedBurst + 5 {
			r.forwardNews(&pb.CrashNews{})
		}
		Expect(r.vars.Get("news_over_rate").String()).To(Equal("5"))
	})

	it("of what is held is not dropped for many reports of crashes", func() {
		now := time.Now()
		f := facts.New(time.Now)
		s := NewSubscriber(newSocket(), 1, "d", f, func() time.Time { return now }, discardLog)
		r := NewReporter(newSocket(), "d", f, func() time.Time { return now }, discardLog)
		for range newsBurst {
			s.BroadcastCrashNews(&pb.CrashNews{})
		}
		for range forwardedBurst {
			r.forwardNews(&pb.CrashNews{})
		}
		held := &pb.CrashNews{Held: []*pb.HeldNews{{Fingerprint: []byte{1}}}}
		s.BroadcastCrashNews(held)
		r.forwardNews(held)
		Expect(s.vars.Get("news_over_rate")).To(BeNil())
		Expect(r.vars.Get("news_over_rate")).To(BeNil())
	})
})

// remembered returns what a stager remembers of what gateways hold.
func remembered(r *Reporter) []*pb.HeldNews {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heldMemory.list(r.now())
}
