// Package reservation keeps the reservations for the upstream beside a stager. Together with the engine's own figures they
// give the load that the next request will find there. It does no network I/O.
package reservation

import (
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
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

// Ledger holds the reservations for one upstream. It is safe for concurrent use.
type Ledger struct {
	now       func() time.Time
	limiter   *throttle.Limiter
	admission *admission.Controller
}

// New returns a ledger without reservations. Permits come from the limiter.
func New(now func() time.Time, l *throttle.Limiter, a *admission.Controller) *Ledger {
	return &Ledger{now: now, limiter: l, admission: a}
}

// SetEngine sets the properties of the engine; nil for none.
func (l *Ledger) SetEngine(e *catalog.Engine) {}

// RecordState replaces the engine's figures.
func (l *Ledger) RecordState(s State) {}

// Reserve holds a reservation or says why there is none.
func (l *Ledger) Reserve(q Request) Answer {
	p := l.limiter.IssuePermit()
	if p == 0 {
		return Answer{Refusal: admission.Limit}
	}
	return Answer{Permit: p}
}

// Take records that the gateway sends the request of a reservation.
func (l *Ledger) Take(permit uint64) {}

// Release ends a reservation whose request the gateway sends to another upstream.
func (l *Ledger) Release(permit uint64) {}

// Stats returns the current figures.
func (l *Ledger) Stats() Stats {
	return Stats{}
}
