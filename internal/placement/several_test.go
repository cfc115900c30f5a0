package placement

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("several choices from one assignment", func() {
	// A deployment without reservations must be served exactly as before.
	It("begin with the single choice that the same random numbers give, and are distinct and untried", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l []Candidate
			for i := range rapid.IntRange(0, 12).Draw(t, "upstreams") {
				l = append(l, Candidate{
					Instance: id.Instance(fmt.Sprint(i)), Domain: id.Domain(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "domain")), Slots: 16, Fresh: true,
					Running: rapid.IntRange(0, 16).Draw(t, "running"), Waiting: rapid.IntRange(0, 3).Draw(t, "waiting"), Slowdown: 1,
					Suspect: rapid.Bool().Draw(t, "suspect"),
				})
			}
			tried := map[id.Instance]bool{"0": rapid.Bool().Draw(t, "tried")}
			m := NewLatencyModel(engine())
			w := &Forecast{
				PredictFirstEvent: func(c *Candidate) time.Duration { return m.FirstEvent(c, 900) }, Advance: m.Advance, UsualPrompt: 900, Domain: "a",
				Demand: Demand{"a": {OnTime: 300}, "b": {OnTime: 100}}, Horizon: 200e6,
			}
			single, ok := Choose(l, tried, w, seededRandom())
			several := ChooseSeveral(l, tried, w, 3, seededRandom())
			if ok != (len(several) > 0) || ok && several[0] != single {
				t.Fatalf("%v, %v differ from %v", single, ok, several)
			}
			seen := map[id.Instance]bool{}
			for _, c := range several {
				if seen[c.Instance] || tried[c.Instance] || c.Suspect != single.Suspect {
					t.Fatalf("%v is chosen twice, or should not be chosen", c.Instance)
				}
				seen[c.Instance] = true
			}
		})
	})

	It("include upstreams of the own failure domain beyond those that expect requests", func() {
		m := NewLatencyModel(engine())
		w := &Forecast{PredictFirstEvent: func(c *Candidate) time.Duration { return m.FirstEvent(c, 900) }, Domain: "a"}
		l := []Candidate{
			{Instance: "t", Domain: "a", Slots: 16, Running: 16, Waiting: 8}, {Instance: "u", Domain: "a", Slots: 16}, {Instance: "v", Domain: "a", Slots: 16, Running: 16},
			{Instance: "w", Domain: "b", Slots: 16},
		}
		several := ChooseSeveral(l, nil, w, 4, seededRandom())
		Expect(several).To(HaveLen(3))
		for i, n := range []string{"u", "v", "t"} {
			Expect(several[i].Instance).To(BeEquivalentTo(n), "the cheapest first")
		}
	})
})
