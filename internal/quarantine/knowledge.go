package quarantine

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// maxLearningTime is how long after it could first serve a gateway goes on without knowing what is held. It bounds how long
	// a store that doesn't answer keeps a gateway from serving.
	maxLearningTime = 3 * time.Second
	// maxAnswerTime is how long a gateway waits for the answers of stagers. One in another region takes 20 ms.
	maxAnswerTime = 250 * time.Millisecond
	// answerCheckInterval is how often a request that waits checks whether that time is over.
	answerCheckInterval = 20 * time.Millisecond
	// MinStop is the time without a tick from which on the process counts as having stood still.
	MinStop = 500 * time.Millisecond
)

// Knowledge is whether a gateway knows what is held. From its start on, and after it stood still, it doesn't, until the
// records in the store have been read, or can't be, and the stagers have said what they remember: the store may lack
// what was held in an outage. After maxLearningTime it goes on without. The zero value knows. It is safe for concurrent
// use.
type Knowledge struct {
	now func() time.Time
	log *log.Logger
	// ask makes the gateway ask stagers a question, until it is called with 0.
	ask func(question uint64)

	// OnStopped is called once the process runs again after it stood still; it must be set before the first tick.
	OnStopped func()
	// OnStoreBack is called when the records should be read at once, as the store answers other processes or topics.
	OnStoreBack func()
	// storeAnsweredAt returns when the store last answered for any topic, as far as known.
	storeAnsweredAt func() time.Time

	// ranAt is when the process was last known to run, in ns since base; 0 before the first tick.
	ranAt atomic.Int64
	base  time.Time
	// learning is true while the gateway doesn't know.
	learning atomic.Bool
	mu       sync.Mutex
	// question is the number of the question to stagers, and asked those that were asked and have not answered. It was first
	// asked at askedAt, and answered is true if no more answers are awaited.
	question uint64
	asked    map[string]bool
	askedAt  time.Time
	answered bool
	// complete is true once a stager has answered that knows what gateways hold, and incomplete once one has that has just
	// started.
	complete, incomplete bool
	// storeBy is how the records are known; empty while they are not.
	storeBy string
	// waivedAt is when the gateway ceased to wait for the records, as the store answered nobody; zero while it has not. waived is
	// true while it is set.
	waivedAt time.Time
	waived   atomic.Bool
	// begunAt is when that began, deadline when it ends at the latest, zero until upstreams are listed, and readyAt when the
	// gateway is ready at the latest, zero until it has a configuration.
	begunAt, deadline, readyAt time.Time
	// waitUntil is until when requests wait, as the answers are expected by then; zero until stagers are asked.
	waitUntil time.Time
	// changed is closed when the gateway knows.
	changed chan struct{}
}

// begin notes that the gateway doesn't know what is held.
func (k *Knowledge) begin(now func() time.Time, ask func(question uint64), g *log.Logger) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now, k.ask, k.log, k.OnStopped, k.OnStoreBack = now, ask, g, func() {}, func() {}
	k.storeAnsweredAt = func() time.Time { return time.Time{} }
	k.base = now().Add(-1)
	k.start()
}

// start begins to learn; the caller holds the lock.
func (k *Knowledge) start() {
	k.begunAt, k.changed = k.now(), make(chan struct{})
	k.question, k.asked = rand.Uint64()|1, map[string]bool{}
	k.askedAt, k.answered, k.storeBy, k.deadline = time.Time{}, false, "", time.Time{}
	k.complete, k.incomplete = false, false
	k.waitUntil = time.Time{}
	k.setWaived(time.Time{})
	k.learning.Store(true)
	k.ask(k.question)
}

// Tick notes that the process runs. It is called several times within MinStop.
func (k *Knowledge) Tick() {
	if k.now == nil {
		return
	}
	k.checkStop()
	k.ranAt.Store(int64(k.now().Sub(k.base)))
}

// checkStop begins to learn again if the process stood still. Requests that came meanwhile may be read before the news
// that did; the answers of stagers are read after these. The store is not waited for.
func (k *Knowledge) checkStop() {
	ran := k.ranAt.Load()
	if ran == 0 || int64(k.now().Sub(k.base))-ran < int64(MinStop) || !k.ranAt.CompareAndSwap(ran, int64(k.now().Sub(k.base))) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	by, waivedAt := k.storeBy, k.waivedAt
	if !k.learning.Load() {
		by = "stagers"
		go k.OnStopped()
	}
	k.start()
	k.storeBy = by
	k.setWaived(waivedAt)
}

// noteAsked notes that stagers, by the addresses of their upstreams, have been asked a question, and whether any
// upstream is listed: before, the gateway could not serve.
func (k *Knowledge) noteAsked(question uint64, stagers []string, listed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if question != k.question || k.answered || !listed {
		return
	}
	if k.askedAt.IsZero() {
		k.askedAt = k.now()
		k.deadline, k.waitUntil = k.askedAt.Add(maxLearningTime), k.askedAt.Add(maxAnswerTime)
	}
	for _, a := range stagers {
		if _, known := k.asked[a]; !known {
			k.asked[a] = false
		}
	}
}

// noteAnswer notes the answer of a stager to a question, and whether the stager knows what gateways hold.
func (k *Knowledge) noteAnswer(question uint64, stager string, complete bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if question == k.question && !k.answered {
		k.asked[stager] = true
		k.complete, k.incomplete = k.complete || complete, k.incomplete || !complete
		k.checkAnswers()
	}
}

// checkAnswers ends the question once all stagers have answered, or had time to. Without the records it goes on while only
// stagers have answered that have just started. The caller holds the lock.
func (k *Knowledge) checkAnswers() {
	if k.answered || k.askedAt.IsZero() || k.storeBy != "store" && k.incomplete && !k.complete {
		return
	}
	missing := 0
	for _, has := range k.asked {
		if !has {
			missing++
		}
	}
	if (missing > 0 || len(k.asked) == 0) && k.now().Sub(k.askedAt) < maxAnswerTime {
		return
	}
	k.answered = true
	k.ask(0)
	if k.storeBy != "" {
		k.end(k.storeBy)
	}
}

const (
	// readAgainPause is the pause after a read that failed although the store answers for other topics.
	readAgainPause = 200 * time.Millisecond
	// storeSilence is the time without an answer for any topic after which the store counts as away. Other topics are read
	// each 0.7 s.
	storeSilence = 1200 * time.Millisecond
)

// noteStore notes a read of the records: that they were read, or can't be. They are waited for unless the store is away.
func (k *Knowledge) noteStore(err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case err == nil:
		k.setWaived(time.Time{})
		k.storeBy = "store"
	case !k.learning.Load():
		return
	case k.now().Sub(k.storeAnsweredAt()) < storeSilence:
		time.AfterFunc(readAgainPause, k.OnStoreBack)
		return
	default:
		k.storeBy = "stagers"
		k.setWaived(k.now())
	}
	if k.answered {
		k.end(k.storeBy)
		return
	}
	k.checkAnswers()
}

// setWaived sets when the gateway ceased to wait for the records; the caller holds the lock.
func (k *Knowledge) setWaived(at time.Time) {
	k.waivedAt = at
	k.waived.Store(!at.IsZero())
}

// checkStore waits for the records again if the store has answered since the gateway ceased to wait for them.
func (k *Knowledge) checkStore() {
	if !k.waived.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waivedAt.IsZero() || !k.storeAnsweredAt().After(k.waivedAt) {
		return
	}
	k.setWaived(time.Time{})
	k.storeBy = ""
	if k.learning.CompareAndSwap(false, true) {
		k.begunAt, k.changed = k.now(), make(chan struct{})
		k.deadline = k.begunAt.Add(maxLearningTime)
	}
	k.waitUntil = k.now().Add(maxAnswerTime)
	go k.OnStoreBack()
}

// end notes that the gateway knows, or goes on without; the caller holds the lock.
func (k *Knowledge) end(how string) {
	if !k.learning.Load() {
		return
	}
	k.learning.Store(false)
	k.answered = true
	k.ask(0)
	close(k.changed)
	answers := 0
	for _, has := range k.asked {
		if has {
			answers++
		}
	}
	k.log.Info().Str("by", how).Int64("after_ms", k.now().Sub(k.begunAt).Milliseconds()).Int("stagers", len(k.asked)).Int("answers", answers).
		Msg("what is held is known")
}

// Known reports whether the gateway knows what is held, or goes on without.
func (k *Knowledge) Known() bool {
	k.checkStop()
	k.checkStore()
	if !k.learning.Load() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.checkAnswers()
	if !k.deadline.IsZero() && !k.now().Before(k.deadline) {
		k.end("deadline")
	}
	return !k.learning.Load()
}

// Ready reports whether the gateway should get requests: it knows what is held, or has had a configuration for
// maxLearningTime. It is called once the gateway has a configuration.
func (k *Knowledge) Ready() bool {
	if k.Known() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.readyAt.IsZero() {
		k.readyAt = k.now().Add(maxLearningTime)
	}
	return !k.now().Before(k.readyAt)
}

// Wait waits until the gateway knows what is held, for a time at most, and reports whether it does. It does not wait once the
// answers are overdue.
func (k *Knowledge) Wait(ctx context.Context, most time.Duration) bool {
	if k.Known() {
		return true
	}
	k.mu.Lock()
	changed := k.changed
	if !k.waitUntil.IsZero() {
		most = min(most, k.waitUntil.Sub(k.now()))
	}
	k.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, most)
	defer stop()
	for t := time.NewTicker(answerCheckInterval); ; {
		select {
		case <-ctx.Done():
			t.Stop()
			return k.Known()
		case <-changed:
			t.Stop()
			return true
		case <-t.C:
			k.Known()
		}
	}
}

// Remaining returns how long it takes at most until the gateway knows what is held, or goes on without.
func (k *Knowledge) Remaining() time.Duration {
	if k.Known() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.deadline.IsZero() {
		return maxLearningTime
	}
	return k.deadline.Sub(k.now())
}
