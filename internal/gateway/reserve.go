package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
)

// ReservationClient asks the stagers beside upstreams for reservations. The methods are function fields so that tests and
// simulations can replace them.
type ReservationClient struct {
	// Reserve asks for a reservation. It returns the answer, and whether one came before the context ended. offered is false
	// if the stager knows no reservations.
	Reserve func(ctx context.Context, address string, incarnation id.Incarnation, q reservation.Request) (a reservation.Answer, offered, answered bool)
	// Take notifies the stager that the request is about to be sent, Release that it is not sent there.
	Take, Release func(address string, permit uint64)
}

const (
	// maxReservationRequests is the number of upstreams that are asked at the same time. With three, the time to the first
	// event in simulations is close to that with a perfect view of all; with two, four times as many requests are late.
	maxReservationRequests = 3
	// reservationRounds bounds how often a request asks upstreams of its own failure domain, as others may be about to load.
	reservationRounds = 2
	// stragglerTimeout bounds the wait for all answers, and reservationTimeout that for the first one. A round trip within a
	// failure domain takes less than a millisecond, unless chunks of weights queue on the link.
	stragglerTimeout   = 8 * time.Millisecond
	reservationTimeout = 30 * time.Millisecond
)

// reservationLog is what the log line of a request says of its reservation.
type reservationLog struct {
	asked, answered int
	took            time.Duration
}

// needsReservation reports whether the request asks for a reservation: the pool is one of engines, and so many gateways
// share the upstreams of the failure domain that this one's own count of what it has sent covers a small part.
func (f *callerRequest) needsReservation() bool {
	g := f.gateway
	s := f.catalog.Services[f.pool]
	return s != nil && s.Engine != nil && g.settings.ReservationMinGateways > 0 && len(g.facts.Gateways()) >= g.settings.ReservationMinGateways
}

// reserve asks a few upstreams for a reservation and takes the one with the soonest first event: upstreams of the own failure
// domain, and others only if none there has room. It returns neither a permit nor a Refusal if the answers don't decide.
func (f *callerRequest) reserve(ctx context.Context, q *Query) (placement.Choice, *Refusal) {
	q.PathsProven = true
	defer func() { q.PathsProven = false }()
	refused, silent := []reservationOffer(nil), false
	for range reservationRounds {
		own := f.ownChoices(q)
		if len(own) == 0 {
			break
		}
		offers := f.askAll(ctx, own)
		if c, ok := f.takeSoonest(ctx, offers); ok {
			return c, nil
		}
		if ctx.Err() != nil {
			return placement.Choice{}, &Refusal{Reason: endedWhileAsking}
		}
		refused, silent = append(refused, offers...), len(offers) == 0
		if !q.excludeClosed(offers) {
			break
		}
	}
	if silent {
		return placement.Choice{}, nil
	}
	if l := f.otherChoices(q); len(l) > 0 {
		offers := f.askAll(ctx, l)
		if c, ok := f.takeSoonest(ctx, offers); ok {
			return c, nil
		}
		if ctx.Err() != nil {
			return placement.Choice{}, &Refusal{Reason: endedWhileAsking}
		}
		refused = append(refused, offers...)
	}
	switch {
	case len(refused) == 0:
		return placement.Choice{}, nil
	case f.headSent:
		f.includeAllIfNone(q)
		return placement.Choice{}, nil
	}
	return placement.Choice{}, f.refuseReservation(q, refused)
}

// ownChoices returns the upstreams of the own failure domain that are asked. The assignment may place the request in another
// domain by a view that is older than the answers; the own ones are then drawn separately.
func (f *callerRequest) ownChoices(q *Query) []placement.Choice {
	b := f.gateway.balancer()
	l, _ := b.Choices(q, maxReservationRequests)
	f.decision = q.decision
	if q.Excluded == nil {
		q.Excluded = map[id.Instance]bool{}
	}
	isOther := func(c placement.Choice) bool { return c.Domain != b.Location.Domain }
	if !slices.ContainsFunc(l, isOther) {
		return l
	}
	own := slices.DeleteFunc(l, isOther)
	q.Scope = OwnDomain
	defer func() { q.Scope = AnyDomain }()
	more, _ := b.Choices(q, maxReservationRequests)
	for _, c := range more {
		same := func(o placement.Choice) bool { return o.Instance == c.Instance }
		if len(own) < maxReservationRequests && !slices.ContainsFunc(own, same) {
			own = append(own, c)
		}
	}
	return own
}

// otherChoices returns the upstreams of other failure domains that are asked, if the view shows capacity there.
func (f *callerRequest) otherChoices(q *Query) []placement.Choice {
	q.Scope = OtherDomains
	defer func() { q.Scope = AnyDomain }()
	l, refusal := f.gateway.balancer().Choices(q, maxReservationRequests)
	if refusal != nil {
		return nil
	}
	return l
}

// includeAllIfNone includes the excluded upstreams again where no other is left. A stream that has begun is not refused: it
// is sent to one of them, which may have reopened since its answer.
func (f *callerRequest) includeAllIfNone(q *Query) {
	if l, _ := f.gateway.balancer().Choices(q, 1); len(l) == 0 {
		clear(q.Excluded)
	}
}

// endedWhileAsking is the reason for a request whose caller has left, or whose deadline has passed, before an answer came.
const endedWhileAsking = "ended while it asked for a reservation"

// takeSoonest takes the reservation with the soonest first event and releases the others; all of them if the request has
// ended meanwhile.
func (f *callerRequest) takeSoonest(ctx context.Context, offers []reservationOffer) (placement.Choice, bool) {
	g := f.gateway
	var soonest *reservationOffer
	for i := range offers {
		o := &offers[i]
		if ctx.Err() == nil && o.answer.Refusal == admission.Admitted && (soonest == nil || o.answer.FirstEvent < soonest.answer.FirstEvent) {
			soonest = o
		}
	}
	for i := range offers {
		o := &offers[i]
		switch {
		case o == soonest:
			g.loadSources.Reservations.Take(o.choice.Address, o.answer.Permit)
		case o.answer.Permit > 0:
			g.loadSources.Reservations.Release(o.choice.Address, o.answer.Permit)
			g.metrics.count("reservations_released")
		}
	}
	if soonest == nil {
		return placement.Choice{}, false
	}
	c := soonest.choice
	c.Predicted = soonest.answer.FirstEvent
	c.ExpectedWait = max(c.ExpectedWait, time.Duration(waitSafetyFactor*float64(c.Predicted)))
	c.Margin = max(c.Margin, c.ExpectedWait+minTransitTime)
	f.permit, f.permitExpiry, f.permitWait = soonest.answer.Permit, soonest.askedAt.Add(permitLifetime), f.reservation.took
	if c.Limit != nil {
		f.knownLimit = *c.Limit
	}
	g.metrics.count("reservations_taken")
	return c, true
}
