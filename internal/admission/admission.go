// Package admission decides which requests an engine admits while the load offered to it exceeds its capacity. The more
// urgent requests come first, and organisations of equal urgency share what is left fairly. It does no network I/O.
package admission

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Refusal is the reason why an engine takes no request.
type Refusal uint8

// The reasons for a refusal; Admitted stands for none.
const (
	Admitted Refusal = iota
	// Busy requests could not begin in time.
	Busy
	// Rank requests would take room that more urgent requests need.
	Rank
	// Share requests are of an organisation that already uses its share of the room.
	Share
	// Limit requests get no permit of the upstream's rate limit.
	Limit
	// Closed upstreams are about to load weights, leaving or down.
	Closed
	// Version requests expect another version than the upstream serves.
	Version
)

// Offer is a request that a gateway wants to send.
type Offer struct {
	// Rank is the urgency of the request; 0 is the most urgent.
	Rank         int
	Organisation id.Organisation
	// Asked is the number of upstreams that the gateway asks at the same time.
	Asked int
	// Late requests can no longer be served within their latency target. Begun ones are streams of which the caller has a
	// part, or hedged attempts; they are never refused for load.
	Late, Begun bool
}

// Load is the load of an engine, including reservations.
type Load struct {
	// Slots is the number of requests that run concurrently, and Occupied the number of running and waiting requests and
	// reservations.
	Slots, Occupied int
	// AheadInQueue is the number of waiting requests and reservations that are at least as urgent as the offer.
	AheadInQueue int
	// PerSecond is the number of requests that the engine completes per second with all slots occupied.
	PerSecond float64
	// ReadTime is the time to the first event of a usual request that has a slot.
	ReadTime time.Duration
	// Predicted is the predicted time to the first event of a usual request where ranks don't matter.
	Predicted time.Duration
}

// Decision is the answer to an offer.
type Decision struct {
	Refusal Refusal
	// RoomIn is the time until a refused request is expected to find room.
	RoomIn time.Duration
	// Overloaded is true while the offered load exceeds the capacity.
	Overloaded bool
	// fromReserve and fromShare are true if an admitted offer took a token of its rank's reserve and of its organisation's
	// share, which Cancel returns.
	fromReserve, fromShare bool
}

// Controller decides about the offers for one engine. It is safe for concurrent use.
type Controller struct {
	now func() time.Time

	mu       sync.Mutex
	ranks    ranks
	shares   shares
	refusals [Version + 1]uint64
}

// New returns a controller that has seen no load.
func New(now func() time.Time) *Controller {
	return &Controller{now: now, shares: shares{entries: map[shareKey]*shareEntry{}}}
}

// targetShare is the share of the latency target that a prediction may use.
const targetShare = 0.9

// offered is an offer with the figures that decide about it.
type offered struct {
	Offer
	load   Load
	target time.Duration
	now    time.Time
	// demand is what compares with the offer. It is set in overload only.
	demand demand
}

// limit returns the latest predicted time to the first event with which an offer of a target is admitted.
func limit(target time.Duration) time.Duration {
	return time.Duration(targetShare * float64(target))
}

func (f *offered) free() int {
	return f.load.Slots - f.load.Occupied
}

// newOffered returns an offer with its rank within the bounds.
func newOffered(o Offer, target time.Duration, l Load, now time.Time) *offered {
	o.Rank = min(max(o.Rank, 0), maxRank)
	return &offered{Offer: o, load: l, target: target, now: now}
}

// Decide counts an offer and decides about it. Cancel is to be called for an admitted offer that is not used.
func (c *Controller) Decide(o Offer, target time.Duration, l Load) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := newOffered(o, target, l, c.now())
	c.ranks.record(f)
	e := c.shares.record(f)
	overloaded := c.ranks.exceed(l.PerSecond, f.now)
	var d Decision
	switch {
	case f.Begun:
	case overloaded:
		d = c.decideOverloaded(f, e)
	default:
		f.demand.moreUrgent = c.ranks.moreUrgent(f.Rank, f.now)
		d = c.decideCalm(f)
	}
	d.Overloaded = overloaded
	c.refusals[d.Refusal]++
	if d.Refusal == Admitted {
		d.fromReserve, d.fromShare = c.ranks.reserves[f.Rank].take(), e.bucket.take()
	}
	return d
}

// decideCalm decides while the engine can serve all that is offered within the shares. It holds nobody back for others,
// and less urgent requests that wait don't count for more urgent ones.
func (c *Controller) decideCalm(f *offered) Decision {
	shortest := c.ranks.shortestTarget(f)
	d := f.decideByPrediction(shortest)
	if d.Refusal == Admitted || c.ranks.active(f.now) < 2 {
		return d
	}
	return c.ranks.decide(f, 0)
}

// decideOverloaded decides while more is offered than the engine can serve. Where organisations that ask for more than
// their shares are the reason, limiting them is enough.
func (c *Controller) decideOverloaded(f *offered, e *shareEntry) Decision {
	f.demand = c.shares.demand(f, &c.ranks)
	ranked := c.ranks.active(f.now) > 1
	d := e.decide(f)
	switch {
	case d.Refusal != Admitted:
	case !f.demand.all.exceeds(f.load.PerSecond):
		return c.decideCalm(f)
	case ranked:
		d = c.ranks.decide(f, f.keptSlots())
	default:
		return f.decideByPrediction(f.target)
	}
	if d.Refusal != Admitted && !f.Late && c.ranks.takeReserve(f) {
		return Decision{}
	}
	return d
}

// decideByPrediction admits an offer whose predicted time is within a target, without regard to ranks.
func (f *offered) decideByPrediction(target time.Duration) Decision {
	if f.load.Predicted <= limit(target) && (!f.Late || f.free() > 0) {
		return Decision{}
	}
	return Decision{Refusal: Busy, RoomIn: f.load.Predicted - target}
}

// Cancel returns what an admitted offer took, as its request is sent to another engine.
func (c *Controller) Cancel(o Offer, d Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := newOffered(o, 0, Load{}, c.now())
	if d.fromReserve {
		b := &c.ranks.reserves[f.Rank]
		b.tokens = min(1, b.tokens+1)
	}
	if e := c.shares.entries[shareKey{f.Rank, f.Organisation}]; e != nil && d.fromShare {
		e.bucket.tokens++
	}
}
