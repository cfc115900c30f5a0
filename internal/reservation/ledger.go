// Package reservation keeps the reservations for the upstream beside a stager. Together with the engine's own figures they
// give the load that the next request will find there. It does no network I/O.
package reservation

import (
	"slices"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

const (
	// heldFor is how long a reservation lasts that is neither taken nor released: longer than a gateway waits for answers,
	// so that only those of gateways that died and of lost datagrams end that way.
	heldFor = 40 * time.Millisecond
	// arrivalTime is the time after a reservation was taken within which its request has reached the engine, so that the
	// engine's own figures contain it.
	arrivalTime = 20 * time.Millisecond
	// takenFor is how long a taken reservation lasts while the engine's figures can't be read.
	takenFor = 500 * time.Millisecond
)

// Request asks for a reservation.
type Request struct {
	// Gateway is the address of the requesting gateway. It identifies the request together with Number, which the gateway
	// chooses.
	Gateway string
	Number  uint64
	// PromptTokens is the length of the prompt, and AnswerTokens the expected length of the answer; 0 if unknown.
	PromptTokens, AnswerTokens float64
	// Target is the latency target by which the request is admitted.
	Target time.Duration
	// Late requests can no longer be served within their latency target. Begun ones are streams of which the caller has a
	// part, or hedged attempts; they are never refused for load.
	Late, Begun bool
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank         int
	Organisation id.Organisation
	// Asked is the number of upstreams that the gateway asks at the same time.
	Asked int
	// Model and Revision are the version that the gateway expects; revision 0 stands for any.
	Model    id.Model
	Revision id.Revision
	// Padding is a number of bytes by which the message is extended, to measure the network path.
	Padding int
}

// offer returns the request as admission decides about it.
func (q *Request) offer() admission.Offer {
	return admission.Offer{Rank: q.Rank, Organisation: q.Organisation, Asked: q.Asked, Late: q.Late, Begun: q.Begun}
}

// Answer is the answer to a Request.
type Answer struct {
	// Permit is the number of the reservation and of the permit that it includes; 0 if none is held.
	Permit uint64
	// FirstEvent is the predicted time from now to the first event.
	FirstEvent time.Duration
	Refusal    admission.Refusal
	// RoomIn is the time until a refused request is expected to find room.
	RoomIn time.Duration
	// Overloaded is true while the offered load exceeds the capacity.
	Overloaded bool
}

// State is the state of the engine as read from it.
type State struct {
	// ReadAt is when the read began.
	ReadAt           time.Time
	Running, Waiting int
	// Slowdown is the factor by which the engine currently works slower than usual.
	Slowdown float64
	Held     []facts.Held
	// Closed is true while the engine is about to load weights, leaving or down.
	Closed bool
}

// Stats are figures for operators.
type Stats struct {
	// Held is the number of current reservations; the others count since the start.
	Held                                int
	Taken, Released, Expired, Duplicate uint64
}

// entry is a reservation.
type entry struct {
	request  Request
	answer   Answer
	decision admission.Decision
	// takenAt is zero until the reservation is taken.
	takenAt, expiresAt time.Time
}

// Ledger holds the reservations for one upstream. It is safe for concurrent use.
type Ledger struct {
	now       func() time.Time
	limiter   *throttle.Limiter
	admission *admission.Controller

	mu     sync.Mutex
	engine *catalog.Engine
	state  State
	// entries are the reservations whose requests the engine's figures don't contain yet, in the order of their permits.
	entries  []*entry
	answered answered
	arrivals arrivals
	stats    Stats
}

// New returns a ledger without reservations. Permits come from the limiter.
func New(now func() time.Time, l *throttle.Limiter, a *admission.Controller) *Ledger {
	return &Ledger{now: now, limiter: l, admission: a, answered: answered{answers: map[requestKey]Answer{}}}
}

// SetEngine sets the properties of the engine; nil for none.
func (l *Ledger) SetEngine(e *catalog.Engine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.engine = e
}

// Ready reports whether requests can be answered: the engine is closed, or its properties and its recent state are known,
// which predictions need. An engine looks idle once figures older than that have been extrapolated to now.
func (l *Ledger) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.engine == nil || l.state.ReadAt.IsZero() {
		return false
	}
	return l.state.Closed || l.now().Sub(l.state.ReadAt) <= takenFor
}

// RecordState replaces the engine's figures. Reservations whose requests they contain end.
func (l *Ledger) RecordState(s State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	l.sweep()
	var arrived []*entry
	l.removeWhere(func(e *entry) bool {
		contained := !e.takenAt.IsZero() && s.ReadAt.Sub(e.takenAt) > arrivalTime
		if contained {
			arrived = append(arrived, e)
		}
		return contained
	})
	slices.SortStableFunc(arrived, func(a, b *entry) int { return a.takenAt.Compare(b.takenAt) })
	for _, e := range arrived {
		l.arrivals.add(e)
	}
}

// sweep ends the reservations that have expired. The caller holds the lock.
func (l *Ledger) sweep() {
	now := l.now()
	l.removeWhere(func(e *entry) bool {
		expired := now.After(e.expiresAt)
		if expired {
			l.stats.Expired++
		}
		return expired
	})
}

// removeWhere removes the reservations for which a function returns true. The caller holds the lock.
func (l *Ledger) removeWhere(ended func(e *entry) bool) {
	l.entries = slices.DeleteFunc(l.entries, ended)
}

// current returns the reservation of a permit that has not been taken, or nil. The caller holds the lock.
func (l *Ledger) current(permit uint64) *entry {
	l.sweep()
	i := slices.IndexFunc(l.entries, func(e *entry) bool { return e.answer.Permit == permit && e.takenAt.IsZero() })
	if i < 0 {
		return nil
	}
	return l.entries[i]
}

// Reserve holds a reservation or says why there is none. A duplicate of a request gets the same answer and is not counted
// as offered load again, also after a refusal and after the reservation has ended.
func (l *Ledger) Reserve(q Request) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep()
	k := requestKey{q.Gateway, q.Number}
	if a, ok := l.answered.answers[k]; ok {
		l.stats.Duplicate++
		return a
	}
	a := l.reserve(q)
	l.answered.add(k, a, l.now())
	return a
}

// reserve decides about a request that is not a duplicate. The caller holds the lock.
func (l *Ledger) reserve(q Request) Answer {
	switch {
	case l.engine == nil || l.state.Closed:
		return Answer{Refusal: admission.Closed}
	case q.Revision > 0 && facts.HeldRevision(l.state.Held, q.Model) != q.Revision:
		return Answer{Refusal: admission.Version}
	}
	load, firstEvent := l.predict(&q)
	d := l.admission.Decide(q.offer(), q.Target, load)
	a := Answer{FirstEvent: firstEvent, Refusal: d.Refusal, RoomIn: d.RoomIn, Overloaded: d.Overloaded}
	if a.Refusal != admission.Admitted {
		return a
	}
	if a.Permit = l.limiter.IssuePermit(); a.Permit == 0 {
		a.Refusal = admission.Limit
		l.admission.Cancel(q.offer(), d)
		return a
	}
	l.entries = append(l.entries, &entry{request: q, answer: a, decision: d, expiresAt: l.now().Add(heldFor)})
	return a
}

// Take records that the gateway sends the request of a reservation.
func (l *Ledger) Take(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.current(permit); e != nil {
		now := l.now()
		l.stats.Taken++
		e.takenAt, e.expiresAt = now, now.Add(takenFor)
	}
}

// Release ends a reservation whose request the gateway sends to another upstream, and returns its permit.
func (l *Ledger) Release(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.current(permit); e != nil {
		l.stats.Released++
		l.removeWhere(func(o *entry) bool { return o == e })
		l.limiter.ReturnPermit(permit)
		l.admission.Cancel(e.request.offer(), e.decision)
	}
}

// Stats returns the current figures.
func (l *Ledger) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stats
	s.Held = len(l.entries)
	return s
}
