package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// freeBufferBytes is what a request may buffer of its body without a reservation. Usual bodies are a few KB, so a
	// gateway over its budget still serves usual requests.
	freeBufferBytes = 16 << 10
	// bufferWait is how long a request that has begun may wait for buffer space in total. It then continues with the
	// buffers that it has. It is short enough for the caller not to take the answer for stalled.
	bufferWait = 250 * time.Millisecond
	// bufferRetryAfter is the Retry-After of a request that is refused for lack of buffer space. Bodies and answers
	// of usual callers leave their buffers within this time.
	bufferRetryAfter = 500 * time.Millisecond
)

// bufferBudget counts the bytes that requests hold in buffers, and bounds those beyond the fixed buffers of each
// request.
type bufferBudget struct {
	limit int64

	mu         sync.Mutex
	used, peak int64
	// freed is closed when bytes are released; nil while no request waits for space.
	freed chan struct{}
}

func newBufferBudget(limit int64) *bufferBudget {
	return &bufferBudget{limit: limit}
}

// add counts bytes whether or not there is space for them. A negative number releases bytes.
func (b *bufferBudget) add(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used += n
	b.peak = max(b.peak, b.used)
	if n < 0 && b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// tryReserve counts bytes if there is space for them. Otherwise it returns a channel that is closed when bytes are
// released.
func (b *bufferBudget) tryReserve(n int64) (freed <-chan struct{}, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n <= b.limit {
		b.used += n
		b.peak = max(b.peak, b.used)
		return nil, true
	}
	if b.freed == nil {
		b.freed = make(chan struct{})
	}
	return b.freed, false
}

// stats returns the bytes in buffers now, the highest number so far and the limit, for the metrics.
func (b *bufferBudget) stats() map[string]int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return map[string]int64{"now": b.used, "peak": b.peak, "limit": b.limit}
}

// bufferAccount is what one request holds of the budget. One goroutine at a time uses it.
type bufferAccount struct {
	budget   *bufferBudget
	held     int64
	waitLeft time.Duration
}

func newBufferAccount(b *bufferBudget) *bufferAccount {
	return &bufferAccount{budget: b, waitLeft: bufferWait}
}

// add counts bytes whether or not there is space for them. A negative number releases bytes.
func (a *bufferAccount) add(n int64) {
	a.held += n
	a.budget.add(n)
}

// tryReserve counts bytes if there is space for them.
func (a *bufferAccount) tryReserve(n int64) bool {
	_, ok := a.budget.tryReserve(n)
	if ok {
		a.held += n
	}
	return ok
}

// reserve counts bytes as soon as there is space for them. It returns false if there is none within what is left of
// bufferWait, or before the context ends.
func (a *bufferAccount) reserve(ctx context.Context, n int64, now func() time.Time) bool {
	end := now().Add(a.waitLeft)
	defer func() { a.waitLeft = max(0, min(a.waitLeft, end.Sub(now()))) }()
	timer := time.NewTimer(a.waitLeft)
	defer timer.Stop()
	for {
		freed, ok := a.budget.tryReserve(n)
		if ok {
			a.held += n
			return true
		}
		select {
		case <-freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// release releases all that the request holds.
func (a *bufferAccount) release() {
	a.add(-a.held)
}
