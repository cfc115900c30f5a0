package upstream

import (
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// onceKept is how long the outcome of a request that may not be repeated is kept.
const onceKept = 10 * time.Minute

// onceState is where a recorded request stands.
type onceState int

const (
	onceRunning onceState = iota
	onceDone
	onceUnknown
	onceNotRun
)

// onceKey names a request that may run at most once.
type onceKey struct {
	organisation id.Organisation
	key          string
}

// onceEntry is a recorded request and its answer.
type onceEntry struct {
	mu      sync.Mutex
	state   onceState
	parts   []*pb.RunResponse
	expires time.Time
}

func (e *onceEntry) add(p *pb.RunResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.parts = append(e.parts, p)
}

func (e *onceEntry) finish(s onceState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

func (e *onceEntry) read() (onceState, []*pb.RunResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, e.parts
}

// IdempotencyCache remembers the outcomes of requests that may not be repeated, by organisation and idempotency key.
type IdempotencyCache struct {
	now     func() time.Time
	mu      sync.Mutex
	entries map[onceKey]*onceEntry
	swept   time.Time
}

// NewIdempotencyCache makes an empty memory.
func NewIdempotencyCache(now func() time.Time) *IdempotencyCache {
	return &IdempotencyCache{now: now, entries: map[onceKey]*onceEntry{}, swept: now()}
}

// begin claims a key. It returns the entry and whether the caller is the first and has to run the request.
func (o *IdempotencyCache) begin(k onceKey) (*onceEntry, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sweep()
	if e := o.entries[k]; e != nil {
		return e, false
	}
	e := &onceEntry{expires: o.now().Add(onceKept)}
	o.entries[k] = e
	return e, true
}

// end forgets an entry that was proved not run.
func (o *IdempotencyCache) end(k onceKey, e *onceEntry) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, _ := e.read(); state == onceNotRun {
		delete(o.entries, k)
	}
}

func (o *IdempotencyCache) sweep() {
	if o.now().Sub(o.swept) < onceKept/10 {
		return
	}
	o.swept = o.now()
	for k, e := range o.entries {
		if state, _ := e.read(); state != onceRunning && o.now().After(e.expires) {
			delete(o.entries, k)
		}
	}
}
