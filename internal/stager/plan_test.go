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

var _ = Describe("the change-overs of a domain", func() {
	It("follow each other, each upstream at a moment of its own", func() {
		now := time.Now()
		at := map[time.Duration]int{}
		for i := range 9 {
			f := facts.New(func() time.Time { return now })
			f.SetWanted("m", namedAt(2, now))
			for k := range 9 {
				f.SetInstance(&facts.Instance{ID: id.Instance(rune('a' + k)), Address: string(rune('a' + k)), Pool: "p", Domain: "d"})
			}
			address := string(rune('a' + i))
			s := &Stager{
				facts: f, ports: &Ports{Address: address}, now: func() time.Time { return now },
				settings: &Settings{SwapWithin: 8 * time.Second}, out: swapplan.DefaultSwapDuration, state: State{Held: []facts.Held{{Model: "m", Revision: 1}}},
			}
			s.env.Self = swarm.Member{VM: id.VM(address), Domain: "d"}
			g := &goal{model: "m", pool: "p", wanted: f.Wanted("m")}
			at[s.loadAt(g, now.Add(3*time.Second)).Sub(now)]++
		}
		Expect(at).To(HaveLen(9))
		for d, n := range at {
			Expect(n).To(Equal(1))
			Expect(d).To(And(BeNumerically(">=", 3*time.Second), BeNumerically("<=", 8*time.Second-swapplan.CloseMargin)))
		}
	})

	It("end with a superseded version where the newer one can't be had", func() {
		e := newEngine(facts.Held{Model: "m", Revision: 1})
		e.away = map[id.Revision]bool{3: true}
		e.held = make(chan struct{})
		s, f := start(e, 4*time.Second)
		Eventually(func() bool { _, up := s.current(); return up }).Should(BeTrue())
		f.SetWanted("m", named(2))
		Eventually(func() int { e.mu.Lock(); defer e.mu.Unlock(); return len(e.staged) }).WithTimeout(soon).
			Should(BeNumerically(">=", chunks/2))
		f.SetWanted("m", named(3))
		time.Sleep(50 * time.Millisecond)
		close(e.held)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(2)))
		e.do(func() { e.away = nil })
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(3)))
	})
})

var _ = Describe("the time that a change-over takes", func() {
	It("is learnt from those that took place, and not from the first filling of an empty upstream", func() {
		e := newEngine()
		s, f := start(e, 4*time.Second)
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(1)))
		Expect(s.expectedOut()).To(Equal(swapplan.DefaultSwapDuration))
		f.SetWanted("m", named(2))
		Eventually(e.serves).WithTimeout(soon).Should(Equal(id.Revision(2)))
		Eventually(s.expectedOut).WithTimeout(soon).Should(BeNumerically("<", swapplan.DefaultSwapDuration), "nothing ran here, so it was quick")
	})
})
