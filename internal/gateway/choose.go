package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// balancer returns a Balancer with the gateway's current state.
func (g *Gateway) balancer() *Balancer {
	return &Balancer{Facts: g.facts, Load: g.loadSources, Location: g.location, SwapWithin: g.settings.SwapWithin, Now: g.now, Random: g.random}
}

// maxPermitRequests bounds the upstreams at which one request asks for a permit, as each costs a round trip.
const maxPermitRequests = 3

// choose selects the upstream for the next attempt and acquires a permit of the stager on its VM if one is
// required. It returns an error if no upstream can be chosen.
func (f *callerRequest) choose(ctx context.Context) (placement.Choice, *attemptError) {
	f.permit, f.permitExpiry, f.reservation = 0, time.Time{}, reservationLog{}
	f.permitSearchEnd = f.gateway.now().Add(permitSearchTimeout)
	q := f.query()
	if f.needsReservation() {
		if c, refusal := f.reserve(ctx, q); refusal != nil || f.permit > 0 {
			return c, f.refusalError(refusal)
		}
	}
	for {
		c, refusal := f.gateway.balancer().Choose(q)
		f.decision = q.decision
		if refusal != nil {
			return c, f.refusalError(refusal)
		}
		if f.acquirePermit(ctx, &c) {
			return c, nil
		}
		q.PermitDenied[c.Instance] = true
		q.NoMorePermits = len(q.PermitDenied) >= maxPermitRequests || !f.gateway.now().Before(f.permitSearchEnd)
	}
}

// refusalError returns the error of a request that no upstream may take; nil for no refusal.
func (f *callerRequest) refusalError(refusal *Refusal) *attemptError {
	if refusal == nil {
		return nil
	}
	if refusal.Predicted > 0 {
		f.predictedFirst = refusal.Predicted
	}
	return &attemptError{text: refusal.Reason, notRun: true, final: true, retryAfter: refusal.RetryAfter}
}

// query returns the request in the form that the Balancer takes.
func (f *callerRequest) query() *Query {
	return &Query{
		Catalog: f.catalog, Pool: f.pool, Model: f.meta.Model, PromptTokens: f.meta.PromptTokens, Arrived: f.arrived, ElapsedBefore: f.elapsedBefore, CallerDeadline: f.callerDeadline,
		Tried: f.tried, Attempts: f.attempts, PermitDenied: map[id.Instance]bool{}, HeadSent: f.headSent, Revision: f.revision, Regions: f.regions,
	}
}

// retryAfterElsewhere returns the Retry-After of a request that its upstream turned away: short if another upstream
// would take it, otherwise the time until the first one is expected to.
func (f *callerRequest) retryAfterElsewhere() time.Duration {
	q := f.query()
	// The request already counts as offered load, and the upstreams that it was sent to may be available for the next
	// try.
	q.Tried, q.Attempts = nil, max(1, f.attempts)
	if _, refusal := f.gateway.balancer().Choose(q); refusal != nil {
		return refusal.RetryAfter
	}
	return refusedRetryAfter
}
