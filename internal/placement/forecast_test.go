package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

// fleetOf returns n upstreams of one failure domain with a number of requests at each.
func fleetOf(n, load int) []Candidate {
	var l []Candidate
	for i := range n {
		l = append(l, Candidate{
			Instance: id.Instance(fmt.Sprint(i)), Slots: 16, Running: min(load, 16), Waiting: max(0, load-16),
			Slowdown: 1, Fresh: true, Domain: "d",
		})
	}
	return l
}

// forecastOf returns the forecast for a usual request with a latency target of 300 ms and 200 ms between reports.
func forecastOf(d Demand) *Forecast {
	m := NewLatencyModel(engine())
	return &Forecast{
		PredictFirstEvent: func(c *Candidate) time.Duration { return m.FirstEvent(c, m.engine.MeanPromptTokens) },
		CanAdmit:          func(c *Candidate) bool { return InTime(m.AdmissionLatency(c), 0, 300*time.Millisecond) },
		Advance:           m.Advance, Horizon: 200 * time.Millisecond, UsualPrompt: m.engine.MeanPromptTokens, Demand: d, Domain: "d",
	}
}

// admittedShare is the share of requests for which Choose finds capacity.
func admittedShare(l []Candidate, w *Forecast) float64 {
	const tries = 2000
	r := seededRandom()
	n := 0
	for range tries {
		if c, _ := Choose(l, nil, w, r); c.HasCapacity {
			n++
		}
	}
	return float64(n) / tries
}

var _ = Describe("the forecast", func() {
	It("spreads the requests of gateways with the same reports, which would otherwise all choose one upstream", func() {
		l := fleetOf(10, 24)
		l[3].Running, l[3].Waiting = 2, 0
		maxSent := func(w *Forecast) int {
			sent := map[id.Instance]int{}
			r := seededRandom()
			for range 20 {
				c, _ := Choose(l, nil, w, r)
				sent[c.Instance]++
			}
			n := 0
			for _, k := range sent {
				n = max(n, k)
			}
			return n
		}
		Expect(maxSent(forecastOf(Demand{}))).To(Equal(20))
		Expect(maxSent(forecastOf(Demand{"d": {OnTime: 300}}))).To(BeNumerically("<=", 10))
	})

	It("admits everything below capacity, and a constant rate under any overload", func() {
		Expect(admittedShare(fleetOf(10, 4), forecastOf(Demand{"d": {OnTime: 90}}))).To(Equal(1.0))
		full := fleetOf(10, 17)
		admittedPerSecond := func(perSecond float64) float64 {
			return perSecond * admittedShare(full, forecastOf(Demand{"d": {OnTime: perSecond}}))
		}
		Expect(admittedPerSecond(300)).To(BeNumerically(">", 30))
		Expect(admittedPerSecond(600)).To(BeNumerically("~", admittedPerSecond(300), 0.2*admittedPerSecond(300)))
	})

	It("gives on-time requests precedence, and the remaining capacity to late ones", func() {
		full := fleetOf(10, 17)
		late := forecastOf(Demand{"d": {OnTime: 300, Late: 100}})
		late.Late = true
		Expect(admittedShare(full, late)).To(BeZero())
		lateWithCapacity := forecastOf(Demand{"d": {OnTime: 20, Late: 20}})
		lateWithCapacity.Late = true
		Expect(admittedShare(fleetOf(10, 8), lateWithCapacity)).To(Equal(1.0))
	})

	It("prefers local upstreams, and divides the spare capacity of another failure domain", func() {
		l := fleetOf(9, 8)
		for i := range l {
			l[i].Domain = id.Domain(fmt.Sprint("d", i/3))
		}
		sent := func(d Demand) map[id.Domain]int {
			n := map[id.Domain]int{}
			r := seededRandom()
			for range 300 {
				w := forecastOf(d)
				w.Domain = "d0"
				c, _ := Choose(l, nil, w, r)
				n[c.Domain]++
			}
			return n
		}
		Expect(sent(Demand{"d0": {OnTime: 40}, "d1": {OnTime: 40}, "d2": {OnTime: 40}})).To(HaveKeyWithValue(id.Domain("d0"), BeNumerically(">=", 280)))
		idle := sent(Demand{"d0": {OnTime: 120}, "d1": {OnTime: 120}, "d2": {OnTime: 5}})
		Expect(idle["d2"]).To(BeNumerically("~", 100, 60))
		Expect(idle["d1"]).To(BeNumerically("<", 15))
	})

	It("tolerates invalid rates from other processes", func() {
		for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
			c, ok := Choose(fleetOf(3, 2), nil, forecastOf(Demand{"d": {OnTime: v, Late: v}, "e": {OnTime: v}}), seededRandom())
			Expect(ok).To(BeTrue())
			Expect(c.Instance).NotTo(BeEmpty())
		}
	})

	It("never raises an upstream's load as time advances, nor makes it negative", func() {
		m := NewLatencyModel(engine())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := Candidate{
				Slots: 16, Running: rapid.IntRange(0, 20).Draw(t, "running"), Waiting: rapid.IntRange(0, 40).Draw(t, "waiting"),
				Backlog: rapid.Float64Range(0, 40000).Draw(t, "backlog"), Slowdown: rapid.Float64Range(1, 8).Draw(t, "pace"),
			}
			was := c
			m.Advance(&c, time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond)
			if c.Running < 0 || c.Waiting < 0 || c.Backlog < 0 || c.load() > was.load() || c.Backlog > was.Backlog {
				t.Fatalf("%+v became %+v", was, c)
			}
		})
	})
})

var _ = Describe("the rate of requests", func() {
	It("is accurate soon after the start, steady under a steady load, and decays", func() {
		now := time.Unix(0, 0)
		r := NewRateMeter(func() time.Time { return now })
		r.PerSecond("p")
		for i := range 100 {
			now = now.Add(20 * time.Millisecond)
			r.Record("p")
			if i > 20 {
				Expect(r.PerSecond("p")).To(BeNumerically("~", 50, 5))
			}
		}
		now = now.Add(5 * rateTimeConstant)
		Expect(r.PerSecond("p")).To(BeNumerically("<", 1))
	})
})

var _ = Describe("the time that a caller lost in earlier attempts", func() {
	It("is the difference to the longest patience on its route, and 0 for a caller that states none", func() {
		now := time.Unix(0, 0)
		p := NewPatienceTracker(func() time.Time { return now })
		Expect(p.TimeLost("r", 6*time.Second)).To(BeZero())
		Expect(p.TimeLost("r", 5500*time.Millisecond)).To(Equal(500 * time.Millisecond))
		Expect(p.TimeLost("r", 5990*time.Millisecond)).To(BeZero())
		Expect(p.TimeLost("r", 0)).To(BeZero())
		Expect(p.TimeLost("other", time.Second)).To(BeZero())
		now = now.Add(patienceWindow)
		Expect(p.TimeLost("r", 5500*time.Millisecond)).To(Equal(500 * time.Millisecond))
		now = now.Add(patienceWindow)
		Expect(p.TimeLost("r", 5500*time.Millisecond)).To(BeZero(), "the callers of the route have become less patient")
		now = now.Add(2 * patienceWindow)
		p.TimeLost("other", time.Second)
		now = now.Add(2 * patienceWindow)
		p.TimeLost("other", time.Second)
		Expect(p.routes).NotTo(HaveKey(id.Route("r")))
	})
})

var _ = Describe("an assignment over many upstreams", func() {
	// lowestCost compares all upstreams, as a reference for the heap.
	lowestCost := func(y *assignment, d id.Domain) float64 {
		lowest := math.Inf(1)
		for i := range y.options {
			o := &y.options[i]
			cost := o.cost
			if o.Domain != d {
				cost += float64(crossDomainCost)
			}
			lowest = min(lowest, cost)
		}
		return lowest
	}

	It("assigns each request to the upstream where it costs least, after any earlier ones", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l []Candidate
			for n := range rapid.IntRange(1, 40).Draw(t, "upstreams") {
				l = append(l, Candidate{
					Instance: id.Instance(fmt.Sprint(n)), Domain: id.Domain(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "domain"))),
					Slots: 4, Waiting: rapid.IntRange(0, 6).Draw(t, "waiting"), Fresh: rapid.Bool().Draw(t, "known"),
				})
			}
			w := &Forecast{
				PredictFirstEvent: func(c *Candidate) time.Duration { return time.Duration(1+c.load()) * 10 * time.Millisecond },
				UsualPrompt:       100, Domain: "0",
			}
			y := assignments.Get().(*assignment)
			defer assignments.Put(y)
			y.prepare(l, nil, w, rand.New(rand.NewPCG(1, 2)), false)
			for range 60 {
				d := id.Domain(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "of")))
				want := lowestCost(y, d)
				h := y.cheapestDomain(d)
				got := h.heap[0].cost
				if h.domain != d {
					got += float64(crossDomainCost)
				}
				if got != want {
					t.Fatalf("cost %v, but the lowest is %v", got, want)
				}
				y.assignBatch(d, rapid.IntRange(1, 3).Draw(t, "requests"), false)
			}
		})
	})
})
