package decide

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lone is one engine behind one gateway on links that take no time, with answers of one event of one token each.
func lone(slots int) *Scenario {
	s := small()
	s.Engine = EngineParams{Slots: slots, Queue: 10000, StepMs: 5, ReadPerS: 20000, Chunk: 10000, Stride: 1, LoadMs: 300, StallMs: 1500}
	s.Links = LinkParams{}
	s.Domains = []Domain{{Name: "a", Gateways: 1, Upstreams: 1, RequestsPerSecond: 50, Clients: 1}}
	s.Kinds = []Kind{{
		Name: "k", Share: 1, AimMs: 60000, PatienceMs: 60000, Worth: 1, MaxAttempts: 1, Prompt: Size{Mean: 200}, Events: Size{Mean: 1},
	}}
	return s
}

var _ = Describe("an engine", func() {
	It("keeps requests waiting as long as the queue of one server with equal work does", func() {
		s := lone(1)
		s.Seconds = 2000
		// 10 ms to read 200 tokens and 5 ms for the step, 50 a second: the mean wait is load x work / 2 (1 - load).
		const work, load = 0.015, 0.75
		p := newPlay(s, VariantByName("no-admission"), 1)
		p.run()
		sum := 0.0
		for _, q := range p.requests {
			Expect(q.outcome).To(Equal(inTime))
			sum += (q.firstAt - q.at).Seconds()
		}
		wait := sum/float64(len(p.requests)) - work
		Expect(wait).To(BeNumerically("~", work*load/(2*(1-load)), 0.0015))
	})

	// paced plays requests that come by a list and returns them.
	paced := func(s *Scenario, l ...*request) []*request {
		p := newPlay(s, VariantByName("no-admission"), 1)
		p.requests = l
		p.queue = nil
		for _, q := range l {
			p.on(q.at, func() { p.try(q, 0) })
		}
		p.run()
		return l
	}

	It("reads a prompt in pieces beside what it writes, which pauses for a piece at a time", func() {
		s := lone(4)
		s.Engine.Chunk, s.Engine.Stride = 1000, 2
		k := &s.Kinds[0]
		l := paced(s,
			&request{kind: k, prompt: 100, events: 20},
			&request{kind: k, at: 31 * time.Millisecond, prompt: 2500, events: 1})
		// The first reads for 5 ms and writes 2 tokens of 5 ms.
		Expect(l[0].firstAt).To(Equal(15 * time.Millisecond))
		// It is in a pass until 35 ms; then each pass reads 1000 tokens in 50 ms and writes 2 tokens.
		Expect(l[0].gap).To(Equal(60 * time.Millisecond))
		Expect(l[1].firstAt).To(Equal(35*time.Millisecond + 60*time.Millisecond + 60*time.Millisecond + 35*time.Millisecond))
	})

	It("runs no more at once than it has places, and says when its queue is full", func() {
		s := lone(1)
		s.Engine.Queue = 1
		k := &s.Kinds[0]
		l := paced(s,
			&request{kind: k, prompt: 200, events: 10},
			&request{kind: k, at: time.Millisecond, prompt: 200, events: 1},
			&request{kind: k, at: 2 * time.Millisecond, prompt: 200, events: 1})
		// 10 ms of reading and ten steps, and only then the next one.
		Expect(l[1].firstAt).To(Equal((10 + 50 + 15) * time.Millisecond))
		Expect(l[2].outcome).To(Equal(refused))
	})

	It("lets streams that a crash cuts go on elsewhere, after they have stood still", func() {
		s := small()
		s.Domains = s.Domains[:1]
		s.Domains[0].Upstreams, s.Domains[0].RequestsPerSecond = 2, 0
		s.Crashes = []Crash{{At: 2, Share: 0.5, Duration: 9}}
		var l []*request
		for i := range 6 {
			l = append(l, &request{kind: &s.Kinds[0], at: time.Second + time.Duration(i)*30*time.Millisecond, prompt: 500, events: 30, home: i % 2})
		}
		stood := 0
		p := newPlay(s, VariantByName("standing"), 1)
		p.requests = l
		for _, q := range l {
			p.on(q.at, func() { p.try(q, q.home) })
		}
		p.run()
		for _, q := range l {
			Expect(q.outcome).To(BeElementOf(inTime, late))
			if q.gap >= 1500*time.Millisecond {
				stood++
			}
		}
		Expect(stood).To(BeNumerically(">", 0))
	})
})

var _ = Describe("a version", func() {
	It("is on each engine at the end, and nothing begins on an older one whose time is over", func() {
		for _, name := range []string{"quiet", "gap"} {
			s := example(name)
			p := newPlay(s, VariantByName("standing"), 2)
			p.run()
			for _, e := range p.engines {
				Expect(e.held).To(BeEquivalentTo(len(s.Versions)+1), string(e.name))
			}
			Expect(p.over).To(BeZero())
		}
	})

	It("takes each engine out for its load", func() {
		s := small()
		s.Versions = []Version{{PublishedAt: 1, FirstStagedAfter: 1, LastStagedAfter: 2}}
		p := newPlay(s, VariantByName("all-at-once"), 1)
		p.run()
		for _, e := range p.engines {
			Expect(e.held).To(BeEquivalentTo(2))
			Expect(e.out).NotTo(BeZero())
		}
	})
})

var _ = Describe("a caller", func() {
	It("comes back once when it was told to, to another gateway, and is refused again where nothing has changed", func() {
		s := small()
		s.Domains[0].Upstreams, s.Domains[1].Upstreams = 0, 0
		p := newPlay(s, VariantByName("standing"), 1)
		p.run()
		Expect(p.requests).NotTo(BeEmpty())
		for _, q := range p.requests {
			Expect(q.tries).To(Equal(2))
			Expect(q.outcome).To(Equal(refusedAgain))
			Expect(q.triedAt - q.at).To(BeNumerically("<=", 2*time.Second+10*time.Millisecond))
		}
	})

	It("leaves when nothing has begun after the longest of its pauses", func() {
		k := &Kind{AimMs: 400, GapAimMs: 300}
		Expect(k.leaves()).To(Equal(2400 * time.Millisecond))
		Expect((&Kind{AimMs: 100}).leaves()).To(Equal(2 * time.Second))
	})

	It("earns less where it was late, and the mean where an early refusal sent it to one that was in time", func() {
		k := &Kind{AimMs: 400, GapAimMs: 300, Worth: 2, LateWorth: 1}
		earn := func(q *request) float64 {
			q.kind = k
			q.served()
			return q.earn
		}
		Expect(earn(&request{tries: 1, firstAt: 400 * time.Millisecond})).To(Equal(2.0))
		Expect(earn(&request{tries: 1, firstAt: 401 * time.Millisecond})).To(Equal(1.0))
		Expect(earn(&request{tries: 1, gap: 301 * time.Millisecond})).To(Equal(1.0))
		Expect(earn(&request{tries: 2, early: true, triedAt: time.Second, firstAt: 1300 * time.Millisecond})).To(Equal(1.5))
		Expect(earn(&request{tries: 2, triedAt: time.Second, firstAt: 1300 * time.Millisecond})).To(Equal(1.0))
	})
})

var _ = Describe("a scenario", func() {
	It("is refused where a figure is missing", func() {
		for _, spoil := range []func(s *Scenario){
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
			s := small()
			Expect(s.check()).To(Succeed())
			spoil(s)
			Expect(s.check()).To(MatchError(ErrInvalidScenario))
		}
	})
})
