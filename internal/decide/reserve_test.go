package decide

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("gateways that ask for reservations", func() {
	// Map order or the time of day in the ledger would make comparisons of variants meaningless.
	It("have the same result for the same seed, also with uneven engines", func() {
		s := exampleScenario("reservations")
		s.Seconds, s.Engine.SlowShare = 12, 0.15
		first := resultJSON(Simulate(s, VariantByName("reserve-3"), 7))
		Expect(resultJSON(Simulate(s, VariantByName("reserve-3"), 7))).To(Equal(first))
	})

	It("have fewer late first events the more upstreams they ask", func() {
		s := exampleScenario("reservations")
		s.Seconds, s.Load = 12, []LoadStep{{Factor: 0.8}}
		late := func(name string) float64 { return Simulate(s, VariantByName(name), 3).LateFirst }
		Expect(late("reserve-3")).To(BeNumerically("<", late("reserve-1")))
		Expect(late("reserve-1")).To(BeNumerically("<", late("standing")))
	})

	// A reservation that is neither taken nor released would block its engine for 40 ms.
	It("take one reservation for each request sent, and release all others", func() {
		p := newSimulation(smallScenario(), VariantByName("reserve-3"), 1)
		p.run()
		var taken, released, expired, started uint64
		for _, e := range p.engines {
			s := e.ledger.Stats()
			taken, released, expired, started = taken+s.Taken, released+s.Released, expired+s.Expired, started+uint64(e.startedRequests)
		}
		Expect(taken).To(Equal(started))
		Expect(released).To(BeNumerically(">", 0))
		Expect(expired).To(BeZero())
	})
})

var _ = Describe("uneven engines", func() {
	It("are slow in their share, others in turn, and report it once they have run a pass", func() {
		s := smallScenario()
		s.Engine.SlowShare, s.Engine.SlowFactor, s.Engine.SlowSeconds = 0.4, 2.5, 0.6
		p := newSimulation(s, VariantByName("standing"), 1)
		wasSlow, reported := map[*engine]bool{}, false
		for at := 0.05; at < 6; at += 0.1 {
			p.schedule(seconds(at), func() {
				slow := 0
				for _, e := range p.engines {
					if e.slowdown > 1 {
						wasSlow[e] = true
						slow++
					}
					reported = reported || e.loadReport().Slowdown > 1
				}
				Expect(slow).To(Equal(2))
			})
		}
		p.run()
		Expect(wasSlow).To(HaveLen(5))
		Expect(reported).To(BeTrue())
	})

	It("are invalid without a factor and a time", func() {
		s := smallScenario()
		s.Engine.SlowShare = 0.1
		Expect(s.check()).To(MatchError(ErrInvalidScenario))
	})
})
