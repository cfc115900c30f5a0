package catalog

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("the rank of a request", func() {
	to := func(name id.Route, priority int, target time.Duration) *Route {
		return &Route{Name: name, Host: string(name), PathPrefix: "/", Priority: priority, LatencyTarget: target, Shares: []Share{{Pool: "p", Weight: 1}}}
	}
	first, second := &Organisation{Name: "first", Priority: 0}, &Organisation{Name: "second", Priority: 3}

	It("puts the organisation's priority before the route's, also for values out of range", func() {
		urgent, relaxed := to("a", 0, 0), to("b", 9, 0)
		Expect(NewRank(first, relaxed)).To(BeNumerically("<", NewRank(second, urgent)))
		Expect(NewRank(nil, urgent)).To(Equal(NewRank(first, urgent)))
		Expect(NewRank(second, to("c", 1000, 0))).To(Equal(NewRank(second, relaxed)))
		Expect(NewRank(first, to("d", -5, 0))).To(BeZero())
	})

	It("takes one of the ranks that the catalog lists for its pool", func() {
		c := New(1, []*Route{to("a", 2, 0), to("b", 0, 0)}, nil, []*Organisation{first, second}, Limits{})
		Expect(c.Ranks("p")).To(Equal([]Rank{0, 2, 30, 32}))
		Expect(c.Ranks("other")).To(BeEmpty())
	})

	It("has the shortest latency target of the pool's routes of the same priority", func() {
		a, b, long := to("a", 0, 400*time.Millisecond), to("b", 0, 300*time.Millisecond), to("c", 2, time.Second)
		c := New(1, []*Route{a, b, long}, nil, nil, Limits{})
		Expect(c.RankLatencyTarget("p", a)).To(Equal(300 * time.Millisecond))
		Expect(c.RankLatencyTarget("p", long)).To(Equal(time.Second))
		Expect(c.LatencyTarget("p")).To(Equal(300 * time.Millisecond))
	})

	// Guards against a route of which every request is refused as late.
	It("has the pool's latency target where no route of its priority has one, and that of the nearest priority in range", func() {
		a, none, high, higher := to("a", 0, 400*time.Millisecond), to("b", 2, 0), to("c", 9, time.Second), to("d", 12, 900*time.Millisecond)
		c := New(1, []*Route{a, none, high, higher}, nil, nil, Limits{})
		Expect(c.RankLatencyTarget("p", none)).To(Equal(400 * time.Millisecond))
		Expect(c.RankLatencyTarget("p", high)).To(Equal(900 * time.Millisecond))
		Expect(c.RankLatencyTarget("p", higher)).To(Equal(900 * time.Millisecond))
	})
})
