package gateway

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// choicesBeforeReservations is the hash of the choices below by the release before reservations (commit ede97c9).
const choicesBeforeReservations = "7b120ecf1156a6b2"

// Guards against a change of the choices of deployments that do not use reservations.
var _ = Describe("choices without reservations", func() {
	It("are those of the release before them, on the same random numbers", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		f := facts.New(clock)
		e := &catalog.Engine{
			Slots: 4, StepTime: 9 * time.Millisecond, PrefillTokensPerSecond: 19100, MaxPrefillTokens: 2048, StepsPerPass: 5, MeanPromptTokens: 900, MeanAnswerTokens: 100,
		}
		c := catalog.New(1, []*catalog.Route{route(catalog.Streaming, "engines")}, []*catalog.Service{{Name: "engines", Engine: e}, {Name: "plain"}}, nil, catalog.Limits{})
		f.SetCatalog(c)
		t := placement.NewTracker(clock)
		held := []facts.Held{{Model: "m", Revision: 1}}
		for n := range 40 {
			a := fmt.Sprintf("10.0.0.%d:8000", n)
			i := &facts.Instance{ID: id.Instance(a), Pool: "engines", Address: a, Domain: id.Domain(fmt.Sprint(n % 3)), Slots: 4, Held: held}
			if n%10 == 9 {
				i.Pool = "plain"
			}
			f.SetInstance(i)
			t.SetReport(a, placement.LoadReport{Running: n % 5, Waiting: n % 3, Slowdown: 1, Held: held, Closed: n%11 == 7, ReceivedAt: now})
		}
		random := rand.New(rand.NewPCG(7, 11))
		b := &Balancer{
			Facts: f, Location: Location{Domain: "0"}, SwapWithin: 8 * time.Second, Now: clock, Random: func() *rand.Rand { return random },
			Load: LoadSources{Tracker: t, Offers: placement.NewDemandMeter(clock), Demand: func(id.Pool) placement.Demand {
				return placement.Demand{"0": {OnTime: 180, Late: 5}, "1": {OnTime: 120}}
			}},
		}
		hash := fnv.New64a()
		for n := range 2000 {
			q := &Query{Catalog: c, Pool: []id.Pool{"engines", "plain"}[n/8%2], Model: "m", PromptTokens: float64(n % 1500), Arrived: now, CallerDeadline: now.Add(6 * time.Second)}
			q.ElapsedBefore, q.HeadSent = time.Duration(n%13/12)*time.Second, n%17 == 0
			choice, refusal := b.Choose(q)
			_, _ = fmt.Fprintln(hash, choice.Instance, choice.Predicted, choice.HasCapacity)
			if refusal != nil {
				_, _ = fmt.Fprintln(hash, *refusal)
			}
			if n%3 == 0 && refusal == nil {
				t.Begin(choice.Address, q.PromptTokens)
			}
			now = now.Add(time.Millisecond / 4)
		}
		Expect(fmt.Sprintf("%x", hash.Sum64())).To(Equal(choicesBeforeReservations))
	})
})
