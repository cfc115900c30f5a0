package decide

import (
	"context"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/facts"
)

// smallScenario is a scenario of two failure domains for a few seconds.
func smallScenario() *Scenario {
	return &Scenario{
		Name: "small", Seconds: 6, WarmUp: 1, SwapWithin: 8,
		Engine:  EngineParams{Slots: 4, Queue: 8, StepMs: 7, PerSeqMs: 0.02, ReadPerS: 30000, Chunk: 2048, Stride: 6, LoadMs: 300, StallMs: 1500},
		Reports: ReportParams{IntervalMs: 200, RemoteIntervalMs: 1000, LossShare: 0.01, VersionDelayMs: 200},
		Links:   LinkParams{CallerMs: 3, LocalMs: 0.2, RemoteMs: 2.8},
		Weights: Weights{Window: 0.1, Kind: 0.2, Domain: 0.3, WindowS: 2},
		Domains: []Domain{{Name: "a", Gateways: 2, Upstreams: 3, RequestsPerSecond: 15, Clients: 5}, {Name: "b", Gateways: 1, Upstreams: 2, RequestsPerSecond: 10, Clients: 3}},
		Kinds: []Kind{{
			Name: "k", Share: 1, AimMs: 400, PatienceMs: 6000, GapAimMs: 300, Worth: 2, LateWorth: 0.5, MaxAttempts: 2, CallerRetries: 1,
			Prompt: Size{Mean: 800, RelativeDeviation: 1, Max: 3000}, Events: Size{Mean: 15, RelativeDeviation: 0.8, Max: 50},
		}},
	}
}

// exampleScenario loads one of the published example scenarios.
func exampleScenario(name string) *Scenario {
	GinkgoHelper()
	s, err := Load("../../examples/decide/" + name + ".toml")
	Expect(err).NotTo(HaveOccurred())
	return s
}

// resultJSON encodes a result.
func resultJSON(r *Result) string {
	GinkgoHelper()
	b, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = Describe("a simulation", func() {
	DescribeTable("is deterministic for a seed, and differs for another one", func(name string) {
		s := exampleScenario(name)
		s.Seconds = 30
		first := resultJSON(Simulate(s, VariantByName("standing"), 7))
		Expect(resultJSON(Simulate(s, VariantByName("standing"), 7))).To(Equal(first))
		Expect(resultJSON(Simulate(s, VariantByName("standing"), 8))).NotTo(Equal(first))
	}, Entry(nil, "quiet"), Entry(nil, "gap"), Entry(nil, "overload"), Entry(nil, "crashes"), Entry(nil, "peak"))

	It("has the same arrivals for all variants", func() {
		s := smallScenario()
		arrivals := func(w *Variant) (l []request) {
			for _, q := range newSimulation(s, w, 3).requests {
				l = append(l, request{arrivedAt: q.arrivedAt, domain: q.domain, homeGateway: q.homeGateway, prompt: q.prompt, events: q.events})
			}
			return l
		}
		Expect(arrivals(VariantByName("no-layout"))).To(Equal(arrivals(VariantByName("standing"))))
		Expect(arrivals(VariantByName("standing"))).NotTo(BeEmpty())
	})

	It("ends each request once and leaves nothing in flight, whatever fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := smallScenario()
			s.Domains[0].RequestsPerSecond = rapid.Float64Range(0, 80).Draw(t, "rate")
			s.Reports.LossShare = rapid.Float64Range(0, 0.9).Draw(t, "lost")
			s.AbusiveShare = rapid.Float64Range(0, 0.5).Draw(t, "abuse")
			s.SwapWithin = rapid.Float64Range(2, 8).Draw(t, "within")
			at := rapid.Float64Range(0, 5)
			for range rapid.IntRange(0, 2).Draw(t, "crashes") {
				s.Crashes = append(s.Crashes, Crash{At: at.Draw(t, "crash"), Share: rapid.Float64Range(0, 1).Draw(t, "share"), Duration: at.Draw(t, "for")})
			}
			publishedAt := 0.0
			for range rapid.IntRange(0, 2).Draw(t, "versions") {
				publishedAt += rapid.Float64Range(0.1, 3).Draw(t, "named")
				first := at.Draw(t, "first")
				s.Versions = append(s.Versions, Version{PublishedAt: publishedAt, FirstStagedAfter: first, LastStagedAfter: first + at.Draw(t, "last")})
			}
			w := rapid.SampledFrom(Variants()).Draw(t, "way")
			p := newSimulation(s, w, rapid.Uint64().Draw(t, "seed"))
			p.run()
			for _, q := range p.requests {
				if q.finishCount != 1 || q.outcome == pending {
					t.Fatalf("%+v ended %d times", q, q.finishCount)
				}
			}
			for _, e := range p.engines {
				if len(e.queue)+len(e.running) > 0 || e.busy {
					t.Fatalf("%s still has %d queued and %d running requests", e.name, len(e.queue), len(e.running))
				}
				if e.ledger != nil && e.ledger.Stats().Held > 0 {
					t.Fatalf("%s still has reservations: %+v", e.name, e.ledger.Stats())
				}
				for _, d := range p.gateways {
					if c := d.tracker.Candidate(&facts.Instance{Address: e.address, Born: e.born}, 0); c.InFlight > 0 {
						t.Fatalf("a gateway still counts %d requests at %s", c.InFlight, e.name)
					}
				}
			}
		})
	})

	It("takes less than a minute with 300 gateways and 200 engines", func() {
		s := exampleScenario("quiet")
		s.Seconds, s.WarmUp, s.Versions = 4, 1, nil
		for i := range s.Domains {
			s.Domains[i].Gateways, s.Domains[i].Upstreams, s.Domains[i].RequestsPerSecond = 100, 67, 600
		}
		startedAt := time.Now()
		r := Simulate(s, VariantByName("standing"), 1)
		Expect(time.Since(startedAt)).To(BeNumerically("<", time.Minute))
		Expect(r.InTime).To(BeNumerically(">", 0.8))
	})
})

var _ = Describe("the comparison of two variants", func() {
	It("pairs seeds, and gives the mean difference with its interval", func() {
		base := []*Result{{Worth: 0.5}, {Worth: 0.7}, {Worth: 0.6}}
		other := []*Result{{Variant: "w", Worth: 0.6}, {Variant: "w", Worth: 0.8}, {Variant: "w", Worth: 0.9}}
		d := ComparePaired(base, other)
		Expect(d.Variant).To(Equal("w"))
		Expect(d.Mean).To(BeNumerically("~", 0.5/3, 1e-9))
		// The differences are 0.1, 0.1 and 0.3, with a standard deviation of 0.11547.
		Expect(d.HalfInterval).To(BeNumerically("~", 1.96*0.1154700538/1.7320508076, 1e-6))
		Expect(d.Base).To(BeNumerically("~", 0.6, 1e-9))
	})

	It("returns the same results with any number of jobs, and an error once cancelled", func() {
		s := smallScenario()
		variants := []*Variant{VariantByName("standing"), VariantByName("no-layout")}
		one, err := Run(context.Background(), s, variants, 1, 3, 1)
		Expect(err).NotTo(HaveOccurred())
		four, err := Run(context.Background(), s, variants, 1, 3, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(four).To(Equal(one))
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_, err = Run(ctx, s, variants, 1, 50, 1)
		Expect(err).To(HaveOccurred())
	})

	It("lists the current code first, and each name once", func() {
		names := map[string]bool{}
		for _, w := range Variants() {
			Expect(names).NotTo(HaveKey(w.Name))
			names[w.Name] = true
		}
		Expect(Variants()[0].Name).To(Equal("standing"))
		Expect(VariantByName("none")).To(BeNil())
	})
})
