package stager

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/swarm"
)

var _ = Describe("the swaps of a failure domain", func() {
	It("are staggered, each upstream at a different time", func() {
		now := time.Now()
		at := map[time.Duration]int{}
		for i := range 9 {
			f := facts.New(func() time.Time { return now })
			f.SetWanted("m", publishedAt(2, now))
			for k := range 9 {
				f.SetInstance(&facts.Instance{ID: id.Instance(rune('a' + k)), Address: string(rune('a' + k)), Pool: "p", Domain: "d"})
			}
			address := string(rune('a' + i))
			s := &Stager{
				facts: f, ports: &Ports{Address: address}, now: func() time.Time { return now },
				settings: &Settings{SwapWithin: 8 * time.Second}, swapDuration: swapplan.DefaultSwapDuration, state: State{Held: []facts.Held{{Model: "m", Revision: 1}}},
			}
			s.dependencies.Self = swarm.Member{VM: id.VM(address), Domain: "d"}
			g := &targetVersion{model: "m", pool: "p", wanted: f.Wanted("m")}
			at[s.loadAt(g, now.Add(3*time.Second)).Sub(now)]++
		}
		Expect(at).To(HaveLen(9))
		for d, n := range at {
			Expect(n).To(Equal(1))
			Expect(d).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 8*time.Second-swapplan.CloseMargin)))
		}
	})

	It("finish a superseded version while the newer one is unavailable", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.unavailable = map[id.Revision]bool{3: true}
		e.releaseSecondHalf = make(chan struct{})
		s, f := startStager(e, 4*time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.staged) }).WithTimeout(waitTimeout).
			Should(BeNumerically(">=", chunks/2))
		f.SetWanted("m", publishedNow(3))
		time.Sleep(50 * time.Millisecond)
		close(e.releaseSecondHalf)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		e.withLock(func() { e.unavailable = nil })
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(3)))
	})

	It("stop fetching a superseded version at once if the origin cannot send the rest in time", func() {
		e := newFakeUpstream(facts.Held{Model: "m", Revision: 1})
		e.releaseSecondHalf, e.chunkDelay = make(chan struct{}), 350*time.Millisecond
		s, f := startStager(e, 4*time.Second)
		Eventually(func() bool { _, up := s.upstreamState(); return up }).Should(BeTrue())
		f.SetWanted("m", publishedNow(2))
		Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.staged) }).WithTimeout(waitTimeout).
			Should(Equal(chunks / 2))
		// The rest takes 1.4 s. The version would bridge until 3 s after its publication.
		time.Sleep(500 * time.Millisecond)
		f.SetWanted("m", publishedNow(3))
		fetching := func() (n int) { e.withLock(func() { n = e.fetching[2] }); return }
		Eventually(fetching).WithTimeout(500 * time.Millisecond).Should(BeZero())
		Consistently(fetching).WithTimeout(300 * time.Millisecond).Should(BeZero())
		close(e.releaseSecondHalf)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(3)))
	})
})

var _ = Describe("the expected swap duration", func() {
	It("is updated by swaps and not by the first load of an empty upstream", func() {
		e := newFakeUpstream()
		s, f := startStager(e, 4*time.Second)
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(1)))
		Expect(s.expectedSwapDuration()).To(Equal(swapplan.DefaultSwapDuration))
		f.SetWanted("m", publishedNow(2))
		Eventually(e.servedRevision).WithTimeout(waitTimeout).Should(Equal(id.Revision(2)))
		Eventually(s.expectedSwapDuration).WithTimeout(waitTimeout).Should(BeNumerically("<", swapplan.DefaultSwapDuration), "no request ran, so the swap was short")
	})
})
