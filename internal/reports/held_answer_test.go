package reports

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// numberedHolds returns holds with the fingerprints 1 to n.
func numberedHolds(n byte) (l []*pb.HeldNews) {
	for f := byte(1); f <= n; f++ {
		l = append(l, &pb.HeldNews{Fingerprint: []byte{f}, Recorded: true})
	}
	return l
}

var _ = describe("what a stager remembers of holds", func() {
	const address = "127.0.0.1:9"
	var ctx context.Context
	var r *Reporter
	var evidence *pb.CrashNews
	ginkgo.BeforeEach(func() {
		evidence = nil
		c, stop := context.WithCancel(context.Background())
		ginkgo.DeferCleanup(stop)
		p := NewReporter(newSocket(), "d", facts.New(time.Now), time.Now, discardLog)
		ctx, r = c, p
		go func() { _ = p.Run(c) }()
		go func() {
			for c.Err() == nil {
				p.Publish(&pb.UpstreamReport{Address: address}, time.Now())
				time.Sleep(10 * time.Millisecond)
			}
		}()
	})
	// join starts a gateway that holds something, and counts how often it lists that for an answer. A function stored in onNews
	// gets its news from then on.
	join := func(h []*pb.HeldNews, complete bool, delay time.Duration) (s *Subscriber, answers chan bool, onNews *atomic.Pointer[func(*pb.CrashNews)]) {
		f := facts.New(time.Now)
		f.SetCatalog(catalog.New(1, nil, []*catalog.Service{{Name: "p", Engine: &catalog.Engine{}}}, nil, catalog.Limits{}))
		f.SetInstance(&facts.Instance{ID: "i", Pool: "p", Address: address})
		s, answers = NewSubscriber(newSocket(), portOf(r.conn), id.Domain("d"), f, time.Now, discardLog), make(chan bool, 100)
		onNews = new(atomic.Pointer[func(*pb.CrashNews)])
		s.OnCrashNews = func(n *pb.CrashNews) {
			if take := onNews.Load(); take != nil {
				(*take)(n)
			}
		}
		s.Held = HeldSource{
			List:     func() []*pb.HeldNews { answers <- true; return append([]*pb.HeldNews(nil), h...) },
			Evidence: func() *pb.CrashNews { return evidence },
			Complete: func() bool { return complete }, Delay: func() time.Duration { return delay },
		}
		running := ctx
		go func() { _ = s.Run(running) }()
		return s, answers, onNews
	}
	count := func() int { return len(remembered(r)) }

	it("is sent by a gateway after the stager's start, once", func() {
		join(numberedHolds(7), true, 0)
		Eventually(count).Should(Equal(7))
		_, late, _ := join(numberedHolds(7), true, 100*time.Millisecond)
		Consistently(late).WithTimeout(300 * time.Millisecond).ShouldNot(Receive())
	})

	it("is sent by a gateway with the crashes that nothing held explains, and passed on to gateways that start", func() {
		evidence = &pb.CrashNews{Remembered: []*pb.UpstreamEnd{numberedCrash(1, time.Minute, 40)}}
		join(nil, true, 0)
		Eventually(func() int { return len(suspected(r)) }).Should(Equal(1))
		s, _, onNews := join(nil, true, 0)
		requests, known := make(chan *pb.PresentRequest, 1000), map[uint32]bool{}
		take := func(n *pb.CrashNews) {
			for _, e := range n.GetRemembered() {
				for _, p := range e.GetRequests() {
					requests <- p
				}
			}
		}
		onNews.Store(&take)
		s.AskHeld(5)
		Eventually(func() int {
			for len(requests) > 0 {
				known[(<-requests).GetTry()] = true
			}
			return len(known)
		}).WithTimeout(3 * time.Second).Should(Equal(40))
	})

	it("is sent by a gateway that does not know all records as well, but not taken for complete", func() {
		s, _, onNews := join(numberedHolds(2), false, 0)
		Eventually(count).Should(Equal(2))
		answers := make(chan *pb.CrashNews, 100)
		take := func(n *pb.CrashNews) { answers <- n }
		onNews.Store(&take)
		s.AskHeld(5)
		var n *pb.CrashNews
		Eventually(answers).WithTimeout(3 * time.Second).Should(Receive(&n))
		Expect(n.GetIncomplete()).To(BeTrue())
		_, complete, _ := join(numberedHolds(2), true, 0)
		Eventually(complete).WithTimeout(3 * time.Second).Should(Receive())
		Eventually(func() bool {
			for len(answers) > 0 {
				n = <-answers
			}
			return n.GetIncomplete()
		}).WithTimeout(3 * time.Second).Should(BeFalse())
	})
})

var _ = describe("a stager's memory of holds", func() {
	var now time.Time
	var m *heldMemory
	ginkgo.BeforeEach(func() { now, m = time.Unix(1000, 0), &heldMemory{} })
	// tell applies an answer to the memory's question in one datagram, and returns true if it is whole.
	tell := func(holds []*pb.HeldNews, all int) bool {
		n := &pb.CrashNews{Sender: "g", Held: holds, RememberOnly: true, Answer: &pb.HeldAnswer{Question: m.ask(now), Holds: uint32(all), Complete: true}}
		m.note(n, now)
		return m.noteAnswer(n, now)
	}

	it("does not expire while gateways hold what it remembers", func() {
		for range 5 {
			Expect(m.ask(now)).NotTo(BeZero())
			Expect(tell(numberedHolds(1), 1)).To(BeTrue())
			Expect(m.ask(now.Add(heldRefreshInterval - 1))).To(BeZero())
			now = now.Add(heldRefreshInterval)
			Expect(m.list(now)).To(HaveLen(1))
		}
		Expect(m.list(now.Add(heldMemoryTTL))).To(BeEmpty())
	})

	it("is not taken for complete while datagrams of an answer are missing", func() {
		all := numberedHolds(5)
		Expect(tell(all[:3], 5)).To(BeFalse())
		Expect(tell(all[:3], 5)).To(BeFalse())
		Expect(m.ask(now)).NotTo(BeZero())
		Expect(tell(all[3:], 5)).To(BeTrue())
	})

	it("becomes complete although many gateways have ended before their answers had arrived", func() {
		all := numberedHolds(4)
		for g := range 2 * maxAnswering {
			n := &pb.CrashNews{Sender: fmt.Sprint("g", g), Held: all[:3], Answer: &pb.HeldAnswer{Question: m.ask(now), Holds: 4, Complete: true}}
			Expect(m.noteAnswer(n, now)).To(BeFalse())
		}
		Expect(tell(all, 4)).To(BeTrue())
	})

	it("does not take back what was released by an answer sent before", func() {
		Expect(tell(numberedHolds(2), 2)).To(BeTrue())
		m.note(&pb.CrashNews{Released: [][]byte{{1}}}, now)
		now = now.Add(heldRefreshInterval)
		Expect(tell(numberedHolds(2), 2)).To(BeTrue())
		Expect(m.list(now)).To(HaveLen(1))
		m.note(&pb.CrashNews{Held: numberedHolds(1)}, now)
		Expect(m.list(now)).To(HaveLen(2), "it was held anew")
	})
})
