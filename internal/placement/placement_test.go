package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestPlacement(t *testing.T) {
	spec.Run(t, "Placement")
}

// engine returns an engine with the users' parameters.
func engine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 16, StepTime: 9270 * time.Microsecond, StepTimePerRequest: 23 * time.Microsecond, StepTimePer1kContext: 32 * time.Microsecond,
		PrefillTokensPerSecond: 20700, MaxPrefillTokens: 2048, StepsPerPass: 5, MeanPromptTokens: 979, MeanAnswerTokens: 92,
	}
}

// seeded returns a random source with a fixed seed.
func seededRandom() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

var _ = Describe("the predicted first event", func() {
	It("never decreases with more load at the upstream, a longer prompt or a larger slowdown", func() {
		m := NewLatencyModel(engine())
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			c := Candidate{
				Slots: 16, Running: rapid.IntRange(0, 16).Draw(t, "running"), Waiting: rapid.IntRange(0, 40).Draw(t, "waiting"),
				Backlog: rapid.Float64Range(0, 20000).Draw(t, "backlog"), Slowdown: rapid.Float64Range(1, 4).Draw(t, "pace"),
			}
			prompt := rapid.Float64Range(1, 4000).Draw(t, "prompt")
			base := m.FirstEvent(&c, prompt)
			slower, longer := c, c
			slower.Slowdown *= 2
			if m.FirstEvent(&slower, prompt) < base || m.FirstEvent(&longer, prompt+500) < base {
				t.Fatalf("a larger slowdown or a longer prompt lowered the prediction from %v", base)
			}
		})
	})

	It("grows by the engine time per request with each queued request", func() {
		m := NewLatencyModel(engine())
		full := Candidate{Slots: 16, Running: 16, Slowdown: 1}
		queue := Candidate{Slots: 16, Running: 16, Waiting: 4, Slowdown: 1}
		Expect(m.FirstEvent(&queue, 100) - m.FirstEvent(&full, 100)).To(Equal(4 * m.TimePerRequest(16)))
		Expect(m.TimePerRequest(16)).To(BeNumerically("~", 107*time.Millisecond, 15*time.Millisecond))
	})
})

var _ = Describe("the choice of an upstream", func() {
	m := NewLatencyModel(engine())
	predict := func(c *Candidate) time.Duration { return m.FirstEvent(c, 900) }

	It("is an untried one, a suspect only as the last resort, and none clearly slower than the best", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			var l []Candidate
			tried := map[id.Instance]bool{}
			for i := range rapid.IntRange(0, 8).Draw(t, "upstreams") {
				n := id.Instance(fmt.Sprint(i))
				l = append(l, Candidate{
					Instance: n, Slots: 16, Running: rapid.IntRange(0, 16).Draw(t, "running"), Slowdown: 1, Fresh: true,
					Suspect: rapid.Bool().Draw(t, "suspect"),
				})
				tried[n] = rapid.Bool().Draw(t, "tried")
			}
			c, ok := Choose(l, tried, &Forecast{PredictFirstEvent: predict}, seededRandom())
			hasSound, hasUntried, lowest := false, false, time.Hour
			for i := range l {
				if tried[l[i].Instance] {
					continue
				}
				hasUntried = true
				hasSound = hasSound || !l[i].Suspect
				if l[i].Suspect == c.Suspect {
					lowest = min(lowest, predict(&l[i]))
				}
			}
			if ok != hasUntried || (ok && (tried[c.Instance] || (c.Suspect && hasSound))) {
				t.Fatalf("chose %+v of %+v", c, l)
			}
			if ok && float64(c.Predicted)*(1-costJitter) > float64(lowest) {
				t.Fatalf("chose a predicted time of %v although %v was available", c.Predicted, lowest)
			}
		})
	})

	It("spreads over equal upstreams, so that gateways with the same reports do not all choose the same one", func() {
		var l []Candidate
		for i := range 8 {
			l = append(l, Candidate{Instance: id.Instance(fmt.Sprint(i)), Slots: 16, Running: 4, Slowdown: 1, Fresh: true})
		}
		got := map[id.Instance]int{}
		r := seededRandom()
		for range 800 {
			c, _ := Choose(l, nil, &Forecast{PredictFirstEvent: predict}, r)
			got[c.Instance]++
		}
		for n, k := range got {
			Expect(k).To(BeNumerically("<", 200), string(n))
		}
		Expect(got).To(HaveLen(8))
	})

	It("stays in the local failure domain unless another saves more than the network path costs", func() {
		local := Candidate{Instance: "near", Slots: 16, Running: 2, Slowdown: 1, Fresh: true, Domain: "d"}
		remote := Candidate{Instance: "far", Slots: 16, Running: 2, Slowdown: 1, Fresh: true}
		for range 50 {
			c, _ := Choose([]Candidate{remote, local}, nil, &Forecast{Domain: "d", PredictFirstEvent: func(*Candidate) time.Duration { return 100 * time.Millisecond }}, seededRandom())
			Expect(c.Instance).To(Equal(id.Instance("near")))
		}
		local.Running, local.Waiting = 16, 10
		c, _ := Choose([]Candidate{remote, local}, nil, &Forecast{Domain: "d", PredictFirstEvent: predict}, seededRandom())
		Expect(c.Instance).To(Equal(id.Instance("far")))
	})
})

var _ = Describe("the mean age of reports", func() {
	candidateOfAge := func(d id.Domain, age time.Duration, fresh bool) Candidate {
		return Candidate{Domain: d, Age: age, Fresh: fresh}
	}

	It("is that of the local failure domain if it has fresh reports", func() {
		l := []Candidate{candidateOfAge("d", 100*time.Millisecond, true), candidateOfAge("d", time.Hour, false), candidateOfAge("e", time.Second, true)}
		Expect(MeanReportAge(l, "d")).To(Equal(100 * time.Millisecond))
		Expect(MeanReportAge(l[1:], "d")).To(Equal(time.Second))
		Expect(MeanReportAge(nil, "d")).To(BeZero())
	})
})

var _ = Describe("the tracker", func() {
	var now time.Time
	var t *Tracker
	one := &facts.Instance{ID: "i", Address: "a", Slots: 16}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		t = NewTracker(func() time.Time { return now })
	})

	It("adds this process's requests to an older report, and not to a newer one", func() {
		t.SetReport("a", LoadReport{Running: 3, Waiting: 1, ReceivedAt: now})
		now = now.Add(10 * time.Millisecond)
		f := t.Begin("a", 500)
		Expect(t.Candidate(one, 900).Waiting).To(Equal(2))
		now = now.Add(10 * time.Millisecond)
		t.SetReport("a", LoadReport{Running: 4, Waiting: 1, ReceivedAt: now})
		Expect(t.Candidate(one, 900).Waiting).To(Equal(1))
		f.End()
		Expect(t.Candidate(one, 900).InFlight).To(BeZero())
	})

	It("estimates the load from this process's requests once the report has expired", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now})
		t.Begin("a", 500)
		now = now.Add(2 * reportTTL)
		c := t.Candidate(one, 900)
		Expect(c.Fresh).To(BeFalse())
		Expect(c.load()).To(Equal(assumedPeers))
	})

	It("uses a report until its ValidUntil", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now, ValidUntil: now.Add(3 * reportTTL)})
		now = now.Add(3 * reportTTL)
		Expect(t.Candidate(one, 900).Fresh).To(BeTrue())
		now = now.Add(time.Millisecond)
		Expect(t.Candidate(one, 900).Fresh).To(BeFalse())
		_, ok := t.FreshReport("a")
		Expect(ok).To(BeFalse())
	})

	It("doubles the backoff after each failure, starts higher after a stall, and resets it on success", func() {
		f := t.Begin("a", 1)
		f.RecordFailure()
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
		now = now.Add(suspectBackoff + time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeFalse())
		f.RecordFailure()
		now = now.Add(suspectBackoff + time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
		now = now.Add(maxSuspectBackoff)
		t.Begin("a", 1).RecordFirstEvent()
		f.RecordStall()
		now = now.Add(stallBackoff - time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
	})

	It("takes an upstream's slowdown from its report, whatever its recent response times", func() {
		t.SetReport("a", LoadReport{Slowdown: 1.5, ReceivedAt: now})
		for range 20 {
			f := t.Begin("a", 1)
			now = now.Add(20 * time.Millisecond)
			f.RecordFirstEvent()
			f.End()
		}
		Expect(t.Candidate(one, 0).Slowdown).To(Equal(1.5))
	})

	It("drops reports, requests and failures when an upstream restarts under the same ID", func() {
		one := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		t.SetReport("a", LoadReport{Incarnation: 10, Running: 9, Held: []facts.Held{{Model: "m", Revision: 3}}, ReceivedAt: now})
		old := t.Begin("a", 500)
		old.RecordStall()
		Expect(t.Candidate(one, 900).Suspect).To(BeTrue())
		restarted := &facts.Instance{ID: "i", Born: 20, Address: "a", Slots: 16}
		_, fresh := t.Report(restarted)
		Expect(fresh).To(BeFalse())
		c := t.Candidate(restarted, 900)
		Expect(c.Suspect || c.Fresh || c.InFlight > 0).To(BeFalse())
		old.RecordFailure()
		old.RecordFirstEvent()
		old.End()
		t.SetReport("a", LoadReport{Incarnation: 10, Running: 9, ReceivedAt: now})
		c = t.Candidate(restarted, 900)
		Expect(c.Suspect || c.Fresh || c.InFlight > 0).To(BeFalse(), "a late report and the end of an old request belong to the previous process lifetime")
	})

	It("learns of a restart from a report too, and ignores a list entry of the previous lifetime", func() {
		one := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		t.Report(one)
		t.Begin("a", 500)
		t.SetReport("a", LoadReport{Incarnation: 20, ReceivedAt: now})
		l, fresh := t.Report(one)
		Expect(fresh).To(BeTrue())
		Expect(l.Incarnation).To(Equal(id.Incarnation(20)))
		Expect(t.Candidate(one, 900).Incarnation).To(Equal(id.Incarnation(20)))
		Expect(t.Candidate(one, 900).InFlight).To(BeZero())
		now = now.Add(2 * reportTTL)
		l, fresh = t.Report(one)
		Expect(fresh).To(BeFalse())
		Expect(l.Incarnation).To(Equal(id.Incarnation(20)), "the knowledge of a restart does not expire")
	})

	It("keeps an entry where neither the list nor reports give the upstream's incarnation", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now})
		f := t.Begin("a", 500)
		Expect(t.Candidate(one, 900).Running).To(Equal(9))
		born := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		Expect(t.Candidate(born, 900).InFlight).To(Equal(1), "the first incarnation received belongs to the existing entry")
		f.End()
	})

	It("treats an upstream behind a congested link as a suspect", func() {
		t.SetReport("a", LoadReport{Congested: true, ReceivedAt: now})
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
	})
})

var _ = Describe("the retry budget", func() {
	It("is never exceeded by all gateways together in any window", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rule := RetryBudgetRule{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
			n := rapid.IntRange(1, 8).Draw(t, "gateways")
			now := time.Now()
			var budgets []*RetryBudget
			for range n {
				budgets = append(budgets, NewRetryBudget(rule, func() int { return n }, func() time.Time { return now }))
			}
			type event struct {
				at     time.Time
				repeat bool
			}
			var events []event
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				b := budgets[rapid.IntRange(0, n-1).Draw(t, "gateway")]
				for range rapid.IntRange(0, 40).Draw(t, "requests") {
					b.RecordRequest("p")
					events = append(events, event{at: now})
				}
				for range rapid.IntRange(0, 40).Draw(t, "repeats") {
					if b.TakeRetry("p") {
						events = append(events, event{at: now, repeat: true})
					}
				}
				requests, retries := 0, 0
				for _, e := range events {
					switch {
					case now.Sub(e.at) > rule.Window:
					case e.repeat:
						retries++
					default:
						requests++
					}
				}
				if float64(retries) > rule.Ratio*float64(requests)+rule.Slack {
					t.Fatalf("%d retries for %d requests", retries, requests)
				}
			}
		})
	})
})

var _ = Describe("an early refusal", func() {
	It("does not depend on the prompt length: long prompts are admitted as often as short ones", func() {
		m := NewLatencyModel(engine())
		c := Candidate{Slots: 16, Running: 16, Waiting: 1, Slowdown: 1}
		Expect(m.FirstEvent(&c, 3800)).To(BeNumerically(">", m.FirstEvent(&c, 100)))
		Expect(InTime(m.AdmissionLatency(&c), 0, 400*time.Millisecond)).To(BeTrue())
		c.Waiting = 5
		Expect(InTime(m.AdmissionLatency(&c), 0, 400*time.Millisecond)).To(BeFalse())
	})

	It("has a Retry-After that callers accept, whatever their remaining patience", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacityIn := time.Duration(rapid.IntRange(-1000, 10000).Draw(t, "room")) * time.Millisecond
			remaining := time.Duration(rapid.IntRange(0, 60000).Draw(t, "left")) * time.Millisecond
			d := RetryAfter(capacityIn, remaining, seededRandom())
			if d < minRetryAfter || (d > remaining/3 && d > minRetryAfter) || (capacityIn < remaining/3 && d < capacityIn) {
				t.Fatalf("Retry-After is %v for capacity in %v and a remaining patience of %v", d, capacityIn, remaining)
			}
		})
	})

	It("applies to requests that can't meet the latency target", func() {
		Expect(InTime(300*time.Millisecond, 0, 400*time.Millisecond)).To(BeTrue())
		Expect(InTime(300*time.Millisecond, 150*time.Millisecond, 400*time.Millisecond)).To(BeFalse())
	})
})
