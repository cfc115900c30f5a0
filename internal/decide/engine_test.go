package decide

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// singleEngine is a scenario of one engine behind one gateway on links without delay, with responses of one event of one
// token each.
func singleEngine(slots int) *Scenario {
	s := smallScenario()
	s.Engine = EngineParams{Slots: slots, Queue: 10000, StepMs: 5, ReadPerS: 20000, Chunk: 10000, Stride: 1, LoadMs: 300, StallMs: 1500}
	s.Links = LinkParams{}
	s.Domains = []Domain{{Name: "a", Gateways: 1, Upstreams: 1, RequestsPerSecond: 50, Clients: 1}}
	s.Kinds = []Kind{{
		Name: "k", Share: 1, AimMs: 60000, PatienceMs: 60000, Worth: 1, MaxAttempts: 1, Prompt: Size{Mean: 200}, Events: Size{Mean: 1},
	}}
	return s
}

var _ = Describe("an engine", func() {
	It("has the mean waiting time of an M/D/1 queue", func() {
		s := singleEngine(1)
		s.Seconds = 2000
		// 10 ms to read 200 tokens and 5 ms for the step, at 50 requests a second: the mean wait of an M/D/1 queue is
		// load x work / 2 (1 - load).
		const work, load = 0.015, 0.75
		p := newSimulation(s, VariantByName("no-admission"), 1)
		p.run()
		sum := 0.0
		for _, q := range p.requests {
			Expect(q.outcome).To(Equal(inTime))
			sum += (q.firstEventAt - q.arrivedAt).Seconds()
		}
		wait := sum/float64(len(p.requests)) - work
		Expect(wait).To(BeNumerically("~", work*load/(2*(1-load)), 0.0015))
	})

	// simulateRequests simulates the given requests instead of random ones, and returns them.
	simulateRequests := func(s *Scenario, l ...*request) []*request {
		p := newSimulation(s, VariantByName("no-admission"), 1)
		p.requests = l
		p.timers = nil
		for _, q := range l {
			p.schedule(q.arrivedAt, func() { p.submit(q, 0) })
		}
		p.run()
		return l
	}

	It("reads a prompt in chunks between decoding steps, which delays running responses by one chunk at a time", func() {
		s := singleEngine(4)
		s.Engine.Chunk, s.Engine.Stride = 1000, 2
		k := &s.Kinds[0]
		l := simulateRequests(s,
			&request{kind: k, prompt: 100, events: 20},
			&request{kind: k, arrivedAt: 31 * time.Millisecond, prompt: 2500, events: 1})
		// The first request reads for 5 ms and decodes 2 tokens of 5 ms each.
		Expect(l[0].firstEventAt).To(Equal(15 * time.Millisecond))
		// It is in a pass until 35 ms; after that each pass reads 1000 tokens in 50 ms and decodes 2 tokens.
		Expect(l[0].longestGap).To(Equal(60 * time.Millisecond))
		Expect(l[1].firstEventAt).To(Equal(35*time.Millisecond + 60*time.Millisecond + 60*time.Millisecond + 35*time.Millisecond))
	})

	It("runs at most as many requests as it has slots, and refuses requests when its queue is full", func() {
		s := singleEngine(1)
		s.Engine.Queue = 1
		k := &s.Kinds[0]
		l := simulateRequests(s,
			&request{kind: k, prompt: 200, events: 10},
			&request{kind: k, arrivedAt: time.Millisecond, prompt: 200, events: 1},
			&request{kind: k, arrivedAt: 2 * time.Millisecond, prompt: 200, events: 1})
		// The next request starts after 10 ms of reading and ten steps.
		Expect(l[1].firstEventAt).To(Equal((10 + 50 + 15) * time.Millisecond))
		Expect(l[2].outcome).To(Equal(refused))
	})

	It("has streams that a crash cuts resume on another engine after a stall", func() {
		s := smallScenario()
		s.Domains = s.Domains[:1]
		s.Domains[0].Upstreams, s.Domains[0].RequestsPerSecond = 2, 0
		s.Crashes = []Crash{{At: 2, Share: 0.5, Duration: 9}}
		var l []*request
		for i := range 6 {
			l = append(l, &request{kind: &s.Kinds[0], arrivedAt: time.Second + time.Duration(i)*30*time.Millisecond, prompt: 500, events: 30, homeGateway: i % 2})
		}
		stalled := 0
		p := newSimulation(s, VariantByName("standing"), 1)
		p.requests = l
		for _, q := range l {
			p.schedule(q.arrivedAt, func() { p.submit(q, q.homeGateway) })
		}
		p.run()
		for _, q := range l {
			Expect(q.outcome).To(BeElementOf(inTime, late))
			if q.longestGap >= 1500*time.Millisecond {
				stalled++
			}
		}
		Expect(stalled).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a version", func() {
	It("is served by each engine at the end, and no request begins on an expired version", func() {
		for _, name := range []string{"quiet", "gap"} {
			s := exampleScenario(name)
			p := newSimulation(s, VariantByName("standing"), 2)
			p.run()
			for _, e := range p.engines {
				Expect(e.held).To(BeEquivalentTo(len(s.Versions)+1), string(e.name))
			}
			Expect(p.begunOnExpired).To(BeZero())
		}
	})

	It("makes each engine unavailable while it loads", func() {
		s := smallScenario()
		s.Versions = []Version{{PublishedAt: 1, FirstStagedAfter: 1, LastStagedAfter: 2}}
		p := newSimulation(s, VariantByName("all-at-once"), 1)
		p.run()
		for _, e := range p.engines {
			Expect(e.held).To(BeEquivalentTo(2))
			Expect(e.swapDuration).NotTo(BeZero())
		}
	})
})

var _ = Describe("a caller", func() {
	It("returns once to another gateway after the Retry-After, and is refused again if nothing has changed", func() {
		s := smallScenario()
		s.Domains[0].Upstreams, s.Domains[1].Upstreams = 0, 0
		p := newSimulation(s, VariantByName("standing"), 1)
		p.run()
		Expect(p.requests).NotTo(BeEmpty())
		for _, q := range p.requests {
			Expect(q.attempts).To(Equal(2))
			Expect(q.outcome).To(Equal(refusedAgain))
			Expect(q.lastAttemptAt - q.arrivedAt).To(BeNumerically("<=", 2*time.Second+10*time.Millisecond))
		}
	})

	It("leaves after the longest of its waiting times without a first event", func() {
		k := &Kind{AimMs: 400, GapAimMs: 300}
		Expect(k.firstEventPatience()).To(Equal(2400 * time.Millisecond))
		Expect((&Kind{AimMs: 100}).firstEventPatience()).To(Equal(2 * time.Second))
	})

	It("earns less for a late response, and the mean if an early refusal was followed by a response in time", func() {
		k := &Kind{AimMs: 400, GapAimMs: 300, Worth: 2, LateWorth: 1}
		earned := func(q *request) float64 {
			q.kind = k
			q.onServed()
			return q.earned
		}
		Expect(earned(&request{attempts: 1, firstEventAt: 400 * time.Millisecond})).To(Equal(2.0))
		Expect(earned(&request{attempts: 1, firstEventAt: 401 * time.Millisecond})).To(Equal(1.0))
		Expect(earned(&request{attempts: 1, longestGap: 301 * time.Millisecond})).To(Equal(1.0))
		Expect(earned(&request{attempts: 2, refusedEarly: true, lastAttemptAt: time.Second, firstEventAt: 1300 * time.Millisecond})).To(Equal(1.5))
		Expect(earned(&request{attempts: 2, lastAttemptAt: time.Second, firstEventAt: 1300 * time.Millisecond})).To(Equal(1.0))
	})
})

var _ = Describe("a scenario", func() {
	It("is invalid if a required value is missing", func() {
		for _, breakScenario := range []func(s *Scenario){
			func(s *Scenario) { s.Seconds = s.WarmUp },
			func(s *Scenario) { s.Engine.Slots = 0 },
			func(s *Scenario) { s.Reports.LossShare = 1 },
			func(s *Scenario) { s.Domains = nil },
			func(s *Scenario) { s.Kinds[0].Worth = 0 },
			func(s *Scenario) { s.Domains[0].Clients = 0 },
			func(s *Scenario) { s.Versions, s.SwapWithin = []Version{{}}, 0 },
			func(s *Scenario) { s.Weights.Domain = 1 },
			func(s *Scenario) { s.Engine.ReadPerS = 0 },
		} {
			s := smallScenario()
			Expect(s.check()).To(Succeed())
			breakScenario(s)
			Expect(s.check()).To(MatchError(ErrInvalidScenario))
		}
	})
})
