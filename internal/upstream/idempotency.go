package upstream

import (
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

// outcomeRetention is how long the outcome of a non-repeatable request is kept.
const outcomeRetention = 10 * time.Minute

// recordState is the state of a recorded request.
type recordState int

const (
	recordRunning recordState = iota
	recordDone
	recordUnknown
	recordNotRun
)

// idempotencyKey identifies a request that may run at most once.
type idempotencyKey struct {
	organisation id.Organisation
	key          string
}

// idempotencyRecord is a recorded request and its response.
type idempotencyRecord struct {
	mu        sync.Mutex
	state     recordState
	responses []*pb.RunResponse
	expires   time.Time
}

func (e *idempotencyRecord) add(p *pb.RunResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.responses = append(e.responses, p)
}

func (e *idempotencyRecord) setState(s recordState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state = s
}

func (e *idempotencyRecord) snapshot() (recordState, []*pb.RunResponse) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state, e.responses
}

// IdempotencyCache keeps the outcomes of non-repeatable requests by organisation and idempotency key.
type IdempotencyCache struct {
	now       func() time.Time
	mu        sync.Mutex
	records   map[idempotencyKey]*idempotencyRecord
	lastSweep time.Time
}

// NewIdempotencyCache returns an empty cache.
func NewIdempotencyCache(now func() time.Time) *IdempotencyCache {
	return &IdempotencyCache{now: now, records: map[idempotencyKey]*idempotencyRecord{}, lastSweep: now()}
}

// claim returns the record of a key, and whether it is new, so that the caller has to run the request.
func (o *IdempotencyCache) claim(k idempotencyKey) (*idempotencyRecord, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.removeExpired()
	if e := o.records[k]; e != nil {
		return e, false
	}
	e := &idempotencyRecord{expires: o.now().Add(outcomeRetention)}
	o.records[k] = e
	return e, true
}

// removeIfNotRun removes the record of a request that was proved not to have run.
func (o *IdempotencyCache) removeIfNotRun(k idempotencyKey, e *idempotencyRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if state, _ := e.snapshot(); state == recordNotRun {
		delete(o.records, k)
	}
}

func (o *IdempotencyCache) removeExpired() {
	if o.now().Sub(o.lastSweep) < outcomeRetention/10 {
		return
	}
	o.lastSweep = o.now()
	for k, e := range o.records {
		if state, _ := e.snapshot(); state != recordRunning && o.now().After(e.expires) {
			delete(o.records, k)
		}
	}
}
