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

// small is a scenario of two failure domains for a few seconds.
func small() *Scenario {
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

// example is a scenario that is given away.
func example(name string) *Scenario {
	GinkgoHelper()
	s, err := Load("../../examples/decide/" + name + ".toml")
	Expect(err).NotTo(HaveOccurred())
	return s
}

// text is all that a result says.
func text(r *Result) string {
	GinkgoHelper()
	b, err := json.Marshal(r)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}

var _ = Describe("a play", func() {
	DescribeTable("of one seed is the same each time, and of another one it is not", func(name string) {
		s := example(name)
		s.Seconds = 30
		first := text(Simulate(s, VariantByName("standing"), 7))
		Expect(text(Simulate(s, VariantByName("standing"), 7))).To(Equal(first))
		Expect(text(Simulate(s, VariantByName("standing"), 8))).NotTo(Equal(first))
	}, Entry(nil, "quiet"), Entry(nil, "gap"), Entry(nil, "overload"), Entry(nil, "crashes"), Entry(nil, "peak"))

	It("brings the same callers whatever way is taken", func() {
		s := small()
		want := func(w *Variant) (l []request) {
			for _, q := range newPlay(s, w, 3).requests {
				l = append(l, request{at: q.at, domain: q.domain, home: q.home, prompt: q.prompt, events: q.events})
			}
			return l
		}
		Expect(want(VariantByName("no-layout"))).To(Equal(want(VariantByName("standing"))))
		Expect(want(VariantByName("standing"))).NotTo(BeEmpty())
	})

	It("ends each request once and leaves nothing behind, whatever fails", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			s := small()
			s.Domains[0].RequestsPerSecond = rapid.Float64Range(0, 80).Draw(t, "rate")
			s.Reports.LossShare = rapid.Float64Range(0, 0.9).Draw(t, "lost")
			s.AbusiveShare = rapid.Float64Range(0, 0.5).Draw(t, "abuse")
			s.SwapWithin = rapid.Float64Range(2, 8).Draw(t, "within")
			at := rapid.Float64Range(0, 5)
			for range rapid.IntRange(0, 2).Draw(t, "crashes") {
				s.Crashes = append(s.Crashes, Crash{At: at.Draw(t, "crash"), Share: rapid.Float64Range(0, 1).Draw(t, "share"), Duration: at.Draw(t, "for")})
			}
			named := 0.0
			for range rapid.IntRange(0, 2).Draw(t, "versions") {
				named += rapid.Float64Range(0.1, 3).Draw(t, "named")
				first := at.Draw(t, "first")
				s.Versions = append(s.Versions, Version{PublishedAt: named, FirstStagedAfter: first, LastStagedAfter: first + at.Draw(t, "last")})
			}
			w := rapid.SampledFrom(Variants()).Draw(t, "way")
			p := newPlay(s, w, rapid.Uint64().Draw(t, "seed"))
			p.run()
			for _, q := range p.requests {
				if q.ends != 1 || q.outcome == pending {
					t.Fatalf("%+v ended %d times", q, q.ends)
				}
			}
			for _, e := range p.engines {
				if len(e.queue)+len(e.places) > 0 || e.busy {
					t.Fatalf("%s still has %d and %d", e.name, len(e.queue), len(e.places))
				}
				for _, d := range p.doors {
					if c := d.tracker.Candidate(&facts.Instance{Address: e.address, Born: e.born}, 0); c.InFlight > 0 {
						t.Fatalf("a gateway still counts %d at %s", c.InFlight, e.name)
					}
				}
			}
		})
	})

	It("keeps within a minute with 300 gateways and 200 engines", func() {
		s := example("quiet")
		s.Seconds, s.WarmUp, s.Versions = 4, 1, nil
		for i := range s.Domains {
			s.Domains[i].Gateways, s.Domains[i].Upstreams, s.Domains[i].RequestsPerSecond = 100, 67, 600
		}
		began := time.Now()
		r := Simulate(s, VariantByName("standing"), 1)
		Expect(time.Since(began)).To(BeNumerically("<", time.Minute))
		Expect(r.InTime).To(BeNumerically(">", 0.8))
	})
})

var _ = Describe("the comparison of two ways", func() {
	It("pairs seeds, and gives the mean difference with its interval", func() {
		base := []*Result{{Worth: 0.5}, {Worth: 0.7}, {Worth: 0.6}}
		other := []*Result{{Variant: "w", Worth: 0.6}, {Variant: "w", Worth: 0.8}, {Variant: "w", Worth: 0.9}}
		d := ComparePaired(base, other)
		Expect(d.Variant).To(Equal("w"))
		Expect(d.Mean).To(BeNumerically("~", 0.5/3, 1e-9))
		// The differences are 0.1, 0.1 and 0.3: their deviation is 0.11547.
		Expect(d.HalfInterval).To(BeNumerically("~", 1.96*0.1154700538/1.7320508076, 1e-6))
		Expect(d.Base).To(BeNumerically("~", 0.6, 1e-9))
	})

	It("gives the same rows with any number of jobs, and nothing once it is stopped", func() {
		s := small()
		ways := []*Variant{VariantByName("standing"), VariantByName("no-layout")}
		one, err := Run(context.Background(), s, ways, 1, 3, 1)
		Expect(err).NotTo(HaveOccurred())
		four, err := Run(context.Background(), s, ways, 1, 3, 4)
		Expect(err).NotTo(HaveOccurred())
		Expect(four).To(Equal(one))
		ctx, stop := context.WithCancel(context.Background())
		stop()
		_, err = Run(ctx, s, ways, 1, 50, 1)
		Expect(err).To(HaveOccurred())
	})

	It("has the code as it stands first, and each name once", func() {
		names := map[string]bool{}
		for _, w := range Variants() {
			Expect(names).NotTo(HaveKey(w.Name))
			names[w.Name] = true
		}
		Expect(Variants()[0].Name).To(Equal("standing"))
		Expect(VariantByName("none")).To(BeNil())
	})
})
