package quarantine

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

// maxLearningTime is how long after it could first serve a gateway goes on without knowing what is held. It bounds how long a
// store that doesn't answer keeps a gateway from serving; another 3 s later all rules apply to the gateway.
const maxLearningTime = 3 * time.Second

// Knowledge is whether a gateway knows what is held. From its start on it doesn't, until the records have been read, or can't be.
// After maxLearningTime it goes on without. The zero value knows. It is safe for concurrent use.
type Knowledge struct {
	now func() time.Time
	log *log.Logger

	// learning is true while the gateway doesn't know.
	learning atomic.Bool
	mu       sync.Mutex
	// begunAt is when that began, and deadline when it ends at the latest; zero until the gateway could serve.
	begunAt, deadline time.Time
	// changed is closed when the gateway knows.
	changed chan struct{}
}

// begin notes that the gateway doesn't know what is held.
func (k *Knowledge) begin(now func() time.Time, g *log.Logger) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.now, k.log = now, g
	k.begunAt, k.changed = now(), make(chan struct{})
	k.learning.Store(true)
}

// noteStore notes a read of the records: that they were read, or can't be.
func (k *Knowledge) noteStore(err error) {
	if !k.learning.Load() {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	how := "store"
	if err != nil {
		how = "the store can't be read"
	}
	k.end(how)
}

// end notes that the gateway knows, or goes on without; the caller holds the lock.
func (k *Knowledge) end(how string) {
	if !k.learning.Load() {
		return
	}
	k.learning.Store(false)
	close(k.changed)
	k.log.Info().Str("by", how).Int64("after_ms", k.now().Sub(k.begunAt).Milliseconds()).Msg("what is held is known")
}

// Known reports whether the gateway knows what is held, or goes on without. It is called once the gateway could serve.
func (k *Knowledge) Known() bool {
	if !k.learning.Load() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.now()
	if k.deadline.IsZero() {
		k.deadline = now.Add(maxLearningTime)
	}
	if !now.Before(k.deadline) {
		k.end("deadline")
	}
	return !k.learning.Load()
}

// Wait waits until the gateway knows what is held, for a time at most, and reports whether it does.
func (k *Knowledge) Wait(ctx context.Context, most time.Duration) bool {
	if k.Known() {
		return true
	}
	k.mu.Lock()
	changed := k.changed
	k.mu.Unlock()
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-changed:
	}
	return k.Known()
}

// Remaining returns how long it takes at most until the gateway knows what is held, or goes on without.
func (k *Knowledge) Remaining() time.Duration {
	if k.Known() {
		return 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deadline.Sub(k.now())
}
