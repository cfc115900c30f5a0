package reservation

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/placement"
)

var _ = Describe("a prediction", func() {
	// drawState draws the engine's figures and reservations.
	drawState := func(t *rapid.T, b *bench) (running, waiting int) {
		running, waiting = rapid.IntRange(0, 12).Draw(t, "running"), rapid.IntRange(0, 20).Draw(t, "waiting")
		b.RecordState(State{ReadAt: b.time, Running: running, Waiting: waiting, Slowdown: rapid.Float64Range(0, 3).Draw(t, "slowdown")})
		b.pass(time.Duration(rapid.IntRange(0, 120).Draw(t, "age")) * millisecond)
		return running, waiting
	}
	drawRequest := func(t *rapid.T, b *bench) Request {
		q := b.request()
		q.PromptTokens = rapid.Float64Range(1, 20_000).Draw(t, "prompt")
		q.AnswerTokens = rapid.Float64Range(0, 2000).Draw(t, "answer")
		q.Rank = rapid.IntRange(0, 3).Draw(t, "rank")
		return q
	}

	It("never falls with one more reservation", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench()
			drawState(t, b)
			q := drawRequest(t, b)
			load, firstEvent := b.predict(&q)
			for range rapid.IntRange(1, 20).Draw(t, "reservations") {
				b.Reserve(drawRequest(t, b))
				nextLoad, next := b.predict(&q)
				if next < firstEvent || nextLoad.Predicted < load.Predicted || nextLoad.Occupied != load.Occupied+1 || nextLoad.AheadInQueue < load.AheadInQueue {
					t.Fatalf("%v, %+v after %v, %+v", next, nextLoad, firstEvent, load)
				}
				load, firstEvent = nextLoad, next
			}
		})
	})

	// A gateway must get the same prediction from a stager as from its view while nothing is reserved.
	It("equals that of a gateway's view without reservations", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench()
			running, waiting := drawState(t, b)
			q := b.request()
			q.PromptTokens = rapid.Float64Range(1, 20_000).Draw(t, "prompt")
			e := testEngine()
			m := placement.NewLatencyModel(e)
			c := placement.Candidate{Slots: e.Slots, Running: running, Waiting: waiting, Backlog: float64(waiting) * e.MeanPromptTokens, Slowdown: max(1, b.state.Slowdown)}
			m.Advance(&c, b.time.Sub(b.state.ReadAt))
			load, firstEvent := b.predict(&q)
			if want := m.FirstEvent(&c, q.PromptTokens); (firstEvent - want).Abs() > time.Microsecond {
				t.Fatalf("%v instead of %v", firstEvent, want)
			}
			if want := m.AdmissionLatency(&c); (load.Predicted - want).Abs() > time.Microsecond {
				t.Fatalf("admission by %v instead of %v", load.Predicted, want)
			}
		})
	})

	It("counts each request once in figures read later than its arrival time", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			b := newBench()
			b.read(0, 0)
			var sent []time.Time
			for range rapid.IntRange(1, 12).Draw(t, "requests") {
				b.pass(time.Duration(rapid.IntRange(0, 15).Draw(t, "pause")) * millisecond)
				b.Take(b.Reserve(b.request()).Permit)
				sent = append(sent, b.time)
				if rapid.Bool().Draw(t, "read") {
					b.read(len(sent), 0)
				}
			}
			b.pass(time.Duration(rapid.IntRange(0, 40).Draw(t, "until the read")) * millisecond)
			b.read(len(sent), 0)
			recent := 0
			for _, at := range sent {
				if b.time.Sub(at) <= arrivalTime {
					recent++
				}
			}
			q := b.request()
			if load, _ := b.predict(&q); load.Occupied != len(sent)+recent {
				t.Fatalf("%d requests counted as %d, %d of them in their arrival time", len(sent), load.Occupied, recent)
			}
		})
	})

	// Requests that wait for a slot were counted with the usual prompt, whatever was known of them.
	It("grows with the prompts of the requests ahead once all slots are occupied", func() {
		behind := func(running int, promptTokens float64) time.Duration {
			b := newBench()
			b.read(running, 0)
			q := b.request()
			q.PromptTokens = promptTokens
			b.Reserve(q)
			return b.predicted()
		}
		Expect(behind(12, 900+1900) - behind(12, 900)).To(BeNumerically("~", 2*100*millisecond, time.Microsecond))
		Expect(behind(12, 1)).To(BeNumerically("<", behind(12, 900)))
		Expect(behind(12, 1)).To(BeNumerically(">", behind(11, 1)))
	})

	// The least urgent of the recent arrivals are assumed to wait; the order of arrivals must not depend on map order.
	It("takes the newest and least urgent arrivals for those that wait", func() {
		b := newBench()
		for i := range 6 {
			q := b.request()
			q.Rank, q.PromptTokens = i%2, float64(100*(i+1))
			b.Take(b.Reserve(q).Permit)
			b.pass(millisecond)
		}
		b.pass(arrivalTime)
		b.read(10, 2)
		Expect(b.arrivals.newest(2, 900)).To(Equal([]arrival{{600, 1}, {400, 1}}))
		Expect(b.arrivals.newest(7, 900)[6]).To(Equal(arrival{900, 0}))
		q := b.request()
		load, _ := b.predict(&q)
		Expect(load.AheadInQueue).To(BeZero())
		q.Rank = 1
		load, _ = b.predict(&q)
		Expect(load.AheadInQueue).To(Equal(2))
	})
})
