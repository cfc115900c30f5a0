package reservation

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/spec"
	"github.com/springrail/springrail/internal/throttle"
)

func TestReservation(t *testing.T) {
	spec.Run(t, "Reservation")
}

const millisecond = time.Millisecond

// bench is a ledger with its clock and rate limiter.
type bench struct {
	*Ledger
	time    time.Time
	limiter *throttle.Limiter
	numbers uint64
}

func newBench() *bench {
	b := &bench{time: time.Unix(1000, 0)}
	now := func() time.Time { return b.time }
	b.limiter = throttle.NewLimiter(now)
	b.Ledger = New(now, b.limiter, admission.New(now))
	b.SetEngine(testEngine())
	b.read(4, 0)
	return b
}

func testEngine() *catalog.Engine {
	return &catalog.Engine{
		Slots: 12, StepTime: 9 * millisecond, StepTimePerRequest: 40 * time.Microsecond, PrefillTokensPerSecond: 19_000, MaxPrefillTokens: 2048, StepsPerPass: 5,
		MeanPromptTokens: 900, MeanAnswerTokens: 100,
	}
}

func (b *bench) read(running, waiting int) {
	b.RecordState(State{ReadAt: b.time, Running: running, Waiting: waiting, Slowdown: 1, Held: []facts.Held{{Model: "m", Revision: 3}}})
}

func (b *bench) pass(d time.Duration) { b.time = b.time.Add(d) }

// request returns a request with a number of its own that is never refused for load.
func (b *bench) request() Request {
	b.numbers++
	return Request{Gateway: "g", Number: b.numbers, PromptTokens: 900, AnswerTokens: 100, Target: time.Hour, Asked: 3, Model: "m"}
}

// predicted returns the prediction for a typical request, without a reservation that remains.
func (b *bench) predicted() time.Duration {
	a := b.Reserve(b.request())
	b.Release(a.Permit)
	return a.FirstEvent
}

var _ = Describe("a reservation", func() {
	// A lost or late datagram, or the death of a gateway, must not occupy an engine for longer than the protocol says.
	It("ends after 40 ms if nothing more is received of its gateway, and can't be taken or released then", func() {
		b := newBench()
		a := b.Reserve(b.request())
		b.pass(heldFor)
		Expect(b.Stats().Held).To(Equal(1))
		b.pass(1)
		b.Take(a.Permit)
		b.Release(a.Permit)
		Expect(b.Stats()).To(Equal(Stats{Expired: 1}))
	})

	It("ends by the first figures that contain its request, and is known as an arrival from then on", func() {
		b := newBench()
		b.Take(b.Reserve(b.request()).Permit)
		b.pass(arrivalTime)
		b.read(4, 0)
		Expect(b.Stats().Held).To(Equal(1))
		b.pass(1)
		b.read(5, 0)
		Expect(b.Stats()).To(Equal(Stats{Taken: 1}))
		Expect(b.arrivals.list).To(HaveLen(1))
	})

	It("lasts for 500 ms after it was taken while the engine can't be read", func() {
		b := newBench()
		a := b.Reserve(b.request())
		b.Take(a.Permit)
		b.pass(takenFor)
		b.Take(a.Permit)
		Expect(b.Ready()).To(BeTrue())
		b.sweep()
		Expect(b.Stats().Held).To(Equal(1))
		b.pass(1)
		b.sweep()
		Expect(b.Stats()).To(Equal(Stats{Taken: 1, Expired: 1}))
		// Predictions from such figures would show the engine as idle.
		Expect(b.Ready()).To(BeFalse())
	})

	// A datagram that the network duplicates must not take a second place.
	It("is the same for a duplicate request, and another one for another gateway's request of that number", func() {
		b := newBench()
		q := b.request()
		first := b.Reserve(q)
		b.pass(5 * millisecond)
		Expect(b.Reserve(q)).To(Equal(first))
		Expect(b.Stats()).To(Equal(Stats{Held: 1, Duplicate: 1}))
		q.Gateway = "h"
		Expect(b.Reserve(q).Permit).NotTo(Equal(first.Permit))
		Expect(b.Stats().Held).To(Equal(2))
	})

	// A late duplicate must not take a second permit, nor count a second time as offered load.
	It("is decided once for a request, also after a refusal and after its end", func() {
		b := newBench()
		released, taken, refused := b.request(), b.request(), b.request()
		first, second := b.Reserve(released), b.Reserve(taken)
		b.Release(first.Permit)
		b.Take(second.Permit)
		b.pass(arrivalTime + 1)
		b.read(5, 0)
		refused.Target = 0
		refusal := b.Reserve(refused)
		Expect(refusal.Refusal).To(Equal(admission.Busy))
		b.read(0, 0)
		refused.Target = time.Hour
		b.pass(rememberedFor - arrivalTime - 1)
		Expect([]Answer{b.Reserve(released), b.Reserve(taken), b.Reserve(refused)}).To(Equal([]Answer{first, second, refusal}))
		Expect(b.Stats()).To(Equal(Stats{Taken: 1, Released: 1, Duplicate: 3}))
	})

	It("has its answer forgotten after a second, or once more than 1024 are newer", func() {
		b := newBench()
		q := b.request()
		q.Revision = 2
		b.Reserve(q)
		for range maxRemembered {
			other := b.request()
			other.Revision = 2
			b.Reserve(other)
		}
		Expect(b.answered.answers).To(HaveLen(maxRemembered))
		Expect(b.answered.answers).NotTo(HaveKey(requestKey{q.Gateway, q.Number}))
		b.pass(rememberedFor + 1)
		b.Reserve(q)
		Expect(b.answered.answers).To(HaveLen(1))
		Expect(b.answered.order).To(HaveLen(1))
	})

	It("ends once when it is released, and not when it has been taken", func() {
		b := newBench()
		first, second := b.Reserve(b.request()), b.Reserve(b.request())
		b.Release(first.Permit)
		b.Release(first.Permit)
		b.Take(second.Permit)
		b.Release(second.Permit)
		b.Take(12345)
		Expect(b.Stats()).To(Equal(Stats{Held: 1, Taken: 1, Released: 1}))
	})

	It("is not held while the engine is closed, for another version or without permit", func() {
		b := newBench()
		q := b.request()
		q.Revision = 2
		Expect(b.Reserve(q)).To(Equal(Answer{Refusal: admission.Version}))
		q = b.request()
		q.Revision = 3
		Expect(b.Reserve(q).Refusal).To(Equal(admission.Admitted))
		b.RecordState(State{ReadAt: b.time, Closed: true})
		// A stream that has begun is not refused for load, but this engine would not run it.
		q = b.request()
		q.Begun = true
		Expect(b.Reserve(q)).To(Equal(Answer{Refusal: admission.Closed}))
		b.SetEngine(nil)
		Expect(b.Reserve(b.request()).Refusal).To(Equal(admission.Closed))
	})

	// An engine that is loading may not answer polls. A stager that is not ready grants permits without a reservation.
	It("is refused while the engine is closed, however old its figures are", func() {
		b := newBench()
		b.RecordState(State{ReadAt: b.time, Closed: true})
		b.pass(takenFor + 1)
		Expect(b.Ready()).To(BeTrue())
		Expect(b.Reserve(b.request())).To(Equal(Answer{Refusal: admission.Closed}))
	})

	It("has room again once an engine that closed after a reservation has opened", func() {
		b := newBench()
		before := b.predicted()
		b.Take(b.Reserve(b.request()).Permit)
		b.RecordState(State{ReadAt: b.time, Closed: true})
		b.pass(arrivalTime + 1)
		b.read(4, 0)
		Expect(b.predicted()).To(Equal(before))
	})

	// An expired permit may have been used; returning it would exceed the upstream's limit.
	It("returns its permit to the rate limit when it is released, and not when it expires", func() {
		b := newBench()
		b.limiter.RecordUpstreamReport(throttle.LimitInfo{State: throttle.Limited, Rate: 1}, 1)
		Expect(b.Reserve(b.request()).Refusal).To(Equal(admission.Limit))
		b.pass(time.Second)
		a := b.Reserve(b.request())
		Expect(b.Reserve(b.request()).Refusal).To(Equal(admission.Limit))
		b.Release(a.Permit)
		a = b.Reserve(b.request())
		Expect(a.Refusal).To(Equal(admission.Admitted))
		b.pass(heldFor + 1)
		b.Release(a.Permit)
		Expect(b.Reserve(b.request()).Refusal).To(Equal(admission.Limit))
	})

	It("is not held by a ledger that has started again, which predicts from the first read on", func() {
		b := newBench()
		old := b.Reserve(b.request())
		restarted := New(b.now, throttle.NewLimiter(b.now), admission.New(b.now))
		Expect(restarted.Ready()).To(BeFalse())
		restarted.SetEngine(testEngine())
		Expect(restarted.Ready()).To(BeFalse())
		b.Ledger = restarted
		b.Take(old.Permit)
		b.Release(old.Permit)
		b.read(5, 0)
		Expect(b.Ready()).To(BeTrue())
		Expect(b.Stats()).To(Equal(Stats{}))
	})

	// internal/clock advances by the time of a suspension at once.
	It("ends when the clock jumps over its deadline, and nothing is answered from figures of before the jump", func() {
		b := newBench()
		b.Take(b.Reserve(b.request()).Permit)
		b.Reserve(b.request())
		b.pass(time.Hour)
		Expect(b.Ready()).To(BeFalse())
		b.read(0, 0)
		Expect(b.Stats()).To(Equal(Stats{Taken: 1, Expired: 2}))
		// A read that began after the clock's present value is not extrapolated.
		b.RecordState(State{ReadAt: b.time.Add(time.Second), Running: 4, Slowdown: 1})
		Expect(b.predicted()).To(BeNumerically(">", 0))
	})
})
