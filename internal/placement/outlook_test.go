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

// fleetOf makes upstreams of one failure domain with a number of requests at each.
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

// outlookOf is the outlook of a usual request against an aim of 300 ms, 200 ms between two reports.
func outlookOf(d Demand) *Forecast {
	m := NewLatencyModel(engine())
	return &Forecast{
		PredictFirstEvent: func(c *Candidate) time.Duration { return m.FirstEvent(c, m.engine.MeanPromptTokens) },
		CanAdmit:          func(c *Candidate) bool { return InTime(m.AdmissionLatency(c), 0, 300*time.Millisecond) },
		Advance:           m.Advance, Horizon: 200 * time.Millisecond, UsualPrompt: m.engine.MeanPromptTokens, Demand: d, Domain: "d",
	}
}

// letIn is the share of requests for which a choice finds room.
func letIn(l []Candidate, w *Forecast) float64 {
	const tries = 2000
	r := seeded()
	n := 0
	for range tries {
		if c, _ := Choose(l, nil, w, r); c.HasCapacity {
			n++
		}
	}
	return float64(n) / tries
}

var _ = Describe("the outlook", func() {
	It("spreads what all gateways send on one view, where each taking the best would send all to one upstream", func() {
		l := fleetOf(10, 24)
		l[3].Running, l[3].Waiting = 2, 0
		most := func(w *Forecast) int {
			sent := map[id.Instance]int{}
			r := seeded()
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
		Expect(most(outlookOf(Demand{}))).To(Equal(20))
		Expect(most(outlookOf(Demand{"d": {OnTime: 300}}))).To(BeNumerically("<=", 10))
	})

	It("lets in all while there is room, and of what is too much the same number whatever is offered", func() {
		Expect(letIn(fleetOf(10, 4), outlookOf(Demand{"d": {OnTime: 90}}))).To(Equal(1.0))
		full := fleetOf(10, 17)
		let := func(perSecond float64) float64 {
			return perSecond * letIn(full, outlookOf(Demand{"d": {OnTime: perSecond}}))
		}
		Expect(let(300)).To(BeNumerically(">", 30))
		Expect(let(600)).To(BeNumerically("~", let(300), 0.2*let(300)))
	})

	It("lets callers that can still be served in time go first, and late ones into what is left", func() {
		full := fleetOf(10, 17)
		late := outlookOf(Demand{"d": {OnTime: 300, Late: 100}})
		late.Late = true
		Expect(letIn(full, late)).To(BeZero())
		spare := outlookOf(Demand{"d": {OnTime: 20, Late: 20}})
		spare.Late = true
		Expect(letIn(fleetOf(10, 8), spare)).To(Equal(1.0))
	})

	It("leaves the upstreams of other failure domains to the gateways there, and shares what one has to spare", func() {
		l := fleetOf(9, 8)
		for i := range l {
			l[i].Domain = id.Domain(fmt.Sprint("d", i/3))
		}
		sent := func(d Demand) map[id.Domain]int {
			n := map[id.Domain]int{}
			r := seeded()
			for range 300 {
				w := outlookOf(d)
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

	It("stands any figures that others send", func() {
		for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 1e300} {
			c, ok := Choose(fleetOf(3, 2), nil, outlookOf(Demand{"d": {OnTime: v, Late: v}, "e": {OnTime: v}}), seeded())
			Expect(ok).To(BeTrue())
			Expect(c.Instance).NotTo(BeEmpty())
		}
	})

	It("never makes more work of an upstream than it had, nor less than none", func() {
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
	It("is right soon after a start, steady under a steady load, and fades", func() {
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
		now = now.Add(5 * rateMemory)
		Expect(r.PerSecond("p")).To(BeNumerically("<", 1))
	})
})

var _ = Describe("the time that a caller has lost", func() {
	It("is what its patience lacks of the longest on its route, and nothing for a caller that says none", func() {
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

var _ = Describe("a layout over many upstreams", func() {
	// cheapest looks at each upstream, as a heap is to do without.
	cheapest := func(y *layout, d id.Domain) float64 {
		least := math.Inf(1)
		for i := range y.options {
			o := &y.options[i]
			cost := o.cost
			if o.Domain != d {
				cost += float64(farCost)
			}
			least = min(least, cost)
		}
		return least
	}

	It("lays each request where one more costs least, whatever has been laid before", func() {
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
			y := layouts.Get().(*layout)
			defer layouts.Put(y)
			y.fill(l, nil, w, rand.New(rand.NewPCG(1, 2)), false)
			for range 60 {
				d := id.Domain(fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "of")))
				want := cheapest(y, d)
				h := y.cheapest(d)
				got := h.heap[0].cost
				if h.domain != d {
					got += float64(farCost)
				}
				if got != want {
					t.Fatalf("cost %v, the least is %v", got, want)
				}
				y.put(d, rapid.IntRange(1, 3).Draw(t, "requests"), false)
			}
		})
	})
})
