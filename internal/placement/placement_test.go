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

// engine is like the users' engines.
func engine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 16, Step: 9270 * time.Microsecond, PerSequence: 23 * time.Microsecond, ContextPer1k: 32 * time.Microsecond,
		ReadPerSecond: 20700, ReadChunk: 2048, Stride: 5, UsualPrompt: 979, UsualAnswer: 92,
	}
}

// seeded is a random source of a spec.
func seeded() *rand.Rand {
	return rand.New(rand.NewPCG(1, 2))
}

var _ = Describe("the predicted first event", func() {
	It("never falls with more work at the upstream, a longer prompt or a slower pace", func() {
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
				t.Fatalf("less time for more work than %v", base)
			}
		})
	})

	It("grows by the engine's time for a request with each place in the queue", func() {
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

	It("takes one that is not tried, no suspect while another is left, and none clearly busier than the best", func() {
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
			c, ok := Choose(l, tried, &Forecast{PredictFirstEvent: predict}, seeded())
			sound, some, least := false, false, time.Hour
			for i := range l {
				if tried[l[i].Instance] {
					continue
				}
				some = true
				sound = sound || !l[i].Suspect
				if l[i].Suspect == c.Suspect {
					least = min(least, predict(&l[i]))
				}
			}
			if ok != some || (ok && (tried[c.Instance] || (c.Suspect && sound))) {
				t.Fatalf("chose %+v of %+v", c, l)
			}
			if ok && float64(c.Predicted)*(1-jitter) > float64(least) {
				t.Fatalf("predicted %v where %v was to be had", c.Predicted, least)
			}
		})
	})

	It("spreads equals, so that gateways with the same view do not all take the same one", func() {
		var l []Candidate
		for i := range 8 {
			l = append(l, Candidate{Instance: id.Instance(fmt.Sprint(i)), Slots: 16, Running: 4, Slowdown: 1, Fresh: true})
		}
		got := map[id.Instance]int{}
		r := seeded()
		for range 800 {
			c, _ := Choose(l, nil, &Forecast{PredictFirstEvent: predict}, r)
			got[c.Instance]++
		}
		for n, k := range got {
			Expect(k).To(BeNumerically("<", 200), string(n))
		}
		Expect(got).To(HaveLen(8))
	})

	It("stays in the own failure domain unless another saves more than the way costs", func() {
		near := Candidate{Instance: "near", Slots: 16, Running: 2, Slowdown: 1, Fresh: true, Domain: "d"}
		far := Candidate{Instance: "far", Slots: 16, Running: 2, Slowdown: 1, Fresh: true}
		for range 50 {
			c, _ := Choose([]Candidate{far, near}, nil, &Forecast{Domain: "d", PredictFirstEvent: func(*Candidate) time.Duration { return 100 * time.Millisecond }}, seeded())
			Expect(c.Instance).To(Equal(id.Instance("near")))
		}
		near.Running, near.Waiting = 16, 10
		c, _ := Choose([]Candidate{far, near}, nil, &Forecast{Domain: "d", PredictFirstEvent: predict}, seeded())
		Expect(c.Instance).To(Equal(id.Instance("far")))
	})
})

var _ = Describe("the mean age of figures", func() {
	aged := func(d id.Domain, age time.Duration, known bool) Candidate {
		return Candidate{Domain: d, Age: age, Fresh: known}
	}

	It("is that of the own failure domain, where any are known there", func() {
		l := []Candidate{aged("d", 100*time.Millisecond, true), aged("d", time.Hour, false), aged("e", time.Second, true)}
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

	It("adds its own sends to a report that is older, and not to one that is newer", func() {
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

	It("guesses from its own requests where the report is too old", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now})
		t.Begin("a", 500)
		now = now.Add(2 * reportLife)
		c := t.Candidate(one, 900)
		Expect(c.Fresh).To(BeFalse())
		Expect(c.load()).To(Equal(shareOfAll))
	})

	It("believes a report as long as that says", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now, ValidUntil: now.Add(3 * reportLife)})
		now = now.Add(3 * reportLife)
		Expect(t.Candidate(one, 900).Fresh).To(BeTrue())
		now = now.Add(time.Millisecond)
		Expect(t.Candidate(one, 900).Fresh).To(BeFalse())
		_, ok := t.FreshReport("a")
		Expect(ok).To(BeFalse())
	})

	It("leaves a failed upstream alone for longer each time, a stalled one for longer still, and forgives a success", func() {
		f := t.Begin("a", 1)
		f.RecordFailure()
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
		now = now.Add(suspectBase + time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeFalse())
		f.RecordFailure()
		now = now.Add(suspectBase + time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
		now = now.Add(suspectMost)
		t.Begin("a", 1).RecordFirstEvent()
		f.RecordStall()
		now = now.Add(stallBase - time.Millisecond)
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
	})

	It("takes an upstream to be as fast as its report says, however long its answers took of late", func() {
		t.SetReport("a", LoadReport{Slowdown: 1.5, ReceivedAt: now})
		for range 20 {
			f := t.Begin("a", 1)
			now = now.Add(20 * time.Millisecond)
			f.RecordFirstEvent()
			f.End()
		}
		Expect(t.Candidate(one, 0).Slowdown).To(Equal(1.5))
	})

	It("knows nothing of an upstream that has started again under its ID: no figures, requests or failures", func() {
		one := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		t.SetReport("a", LoadReport{Incarnation: 10, Running: 9, Held: []facts.Held{{Model: "m", Revision: 3}}, ReceivedAt: now})
		old := t.Begin("a", 500)
		old.RecordStall()
		Expect(t.Candidate(one, 900).Suspect).To(BeTrue())
		again := &facts.Instance{ID: "i", Born: 20, Address: "a", Slots: 16}
		_, fresh := t.Report(again)
		Expect(fresh).To(BeFalse())
		c := t.Candidate(again, 900)
		Expect(c.Suspect || c.Fresh || c.InFlight > 0).To(BeFalse())
		old.RecordFailure()
		old.RecordFirstEvent()
		old.End()
		t.SetReport("a", LoadReport{Incarnation: 10, Running: 9, ReceivedAt: now})
		c = t.Candidate(again, 900)
		Expect(c.Suspect || c.Fresh || c.InFlight > 0).To(BeFalse(), "a late report and an old request's end are of the start before")
	})

	It("learns of a new start by a report too, and takes an entry that lags behind for what was", func() {
		one := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		t.Report(one)
		t.Begin("a", 500)
		t.SetReport("a", LoadReport{Incarnation: 20, ReceivedAt: now})
		l, fresh := t.Report(one)
		Expect(fresh).To(BeTrue())
		Expect(l.Incarnation).To(Equal(id.Incarnation(20)))
		Expect(t.Candidate(one, 900).Incarnation).To(Equal(id.Incarnation(20)))
		Expect(t.Candidate(one, 900).InFlight).To(BeZero())
		now = now.Add(2 * reportLife)
		l, fresh = t.Report(one)
		Expect(fresh).To(BeFalse())
		Expect(l.Incarnation).To(Equal(id.Incarnation(20)), "that it has started again does not age")
	})

	It("keeps what it knows where neither list nor reports say when an upstream started", func() {
		t.SetReport("a", LoadReport{Running: 9, ReceivedAt: now})
		f := t.Begin("a", 500)
		Expect(t.Candidate(one, 900).Running).To(Equal(9))
		born := &facts.Instance{ID: "i", Born: 10, Address: "a", Slots: 16}
		Expect(t.Candidate(born, 900).InFlight).To(Equal(1), "the first start that is heard of is the one that was known")
		f.End()
	})

	It("takes an upstream behind a narrow link as suspect", func() {
		t.SetReport("a", LoadReport{Congested: true, ReceivedAt: now})
		Expect(t.Candidate(one, 0).Suspect).To(BeTrue())
	})
})

var _ = Describe("the budget for repeats", func() {
	It("is never passed by all gateways together, whatever the time of day does", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			rule := RetryBudgetRule{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}
			n := rapid.IntRange(1, 8).Draw(t, "gateways")
			now := time.Now()
			var all []*RetryBudget
			for range n {
				all = append(all, NewRetryBudget(rule, func() int { return n }, func() time.Time { return now }))
			}
			type event struct {
				at     time.Time
				repeat bool
			}
			var events []event
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
				b := all[rapid.IntRange(0, n-1).Draw(t, "gateway")]
				for range rapid.IntRange(0, 40).Draw(t, "requests") {
					b.RecordRequest("p")
					events = append(events, event{at: now})
				}
				for range rapid.IntRange(0, 40).Draw(t, "repeats") {
					if b.TakeRetry("p") {
						events = append(events, event{at: now, repeat: true})
					}
				}
				requests, repeats := 0, 0
				for _, e := range events {
					switch {
					case now.Sub(e.at) > rule.Window:
					case e.repeat:
						repeats++
					default:
						requests++
					}
				}
				if float64(repeats) > rule.Ratio*float64(requests)+rule.Slack {
					t.Fatalf("%d repeats for %d requests", repeats, requests)
				}
			}
		})
	})
})

var _ = Describe("an early refusal", func() {
	It("does not ask how long a prompt is: long ones are let in as often as short ones", func() {
		m := NewLatencyModel(engine())
		c := Candidate{Slots: 16, Running: 16, Waiting: 1, Slowdown: 1}
		Expect(m.FirstEvent(&c, 3800)).To(BeNumerically(">", m.FirstEvent(&c, 100)))
		Expect(InTime(m.AdmissionLatency(&c), 0, 400*time.Millisecond)).To(BeTrue())
		c.Waiting = 5
		Expect(InTime(m.AdmissionLatency(&c), 0, 400*time.Millisecond)).To(BeFalse())
	})

	It("names a time within what callers heed, whatever their patience", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			room := time.Duration(rapid.IntRange(-1000, 10000).Draw(t, "room")) * time.Millisecond
			left := time.Duration(rapid.IntRange(0, 60000).Draw(t, "left")) * time.Millisecond
			d := RetryAfter(room, left, seeded())
			if d < leastRetry || (d > left/3 && d > leastRetry) || (room < left/3 && d < room) {
				t.Fatalf("%v for room in %v and %v left", d, room, left)
			}
		})
	})

	It("is for what can't be in time", func() {
		Expect(InTime(300*time.Millisecond, 0, 400*time.Millisecond)).To(BeTrue())
		Expect(InTime(300*time.Millisecond, 150*time.Millisecond, 400*time.Millisecond)).To(BeFalse())
	})
})
