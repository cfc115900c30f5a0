package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// desk is what decides on requests, with the gateway's present view.
func (g *Gateway) desk() *Balancer {
	return &Balancer{Facts: g.facts, Load: g.load, Domain: g.domain, SwapWithin: g.settings.SwapWithin, Now: g.now, Random: g.random}
}

// mostPermitAsks bounds the upstreams at which a request asks for a permit: each costs a round trip.
const mostPermitAsks = 3

// choose picks the upstream for the next attempt, or says why there is none. Some need a permit of the stager beside them.
func (f *flight) choose(ctx context.Context) (placement.Choice, *attemptError) {
	f.permit, f.permitEnds = 0, time.Time{}
	q := f.query()
	for {
		c, no := f.gateway.desk().Choose(q)
		f.decision = q.decision
		if no != nil {
			if no.Predicted > 0 {
				f.predicted = no.Predicted
			}
			return c, &attemptError{text: no.Reason, notRun: true, final: true, retry: no.RetryAfter}
		}
		if f.acquire(ctx, &c) {
			return c, nil
		}
		q.PermitDenied[c.Instance] = true
		q.NoMorePermits = len(q.PermitDenied) >= mostPermitAsks
	}
}

// query is the request as the desk sees it.
func (f *flight) query() *Query {
	return &Query{
		Catalog: f.catalog, Pool: f.pool, Model: f.ask.Model, PromptTokens: f.ask.PromptTokens, Arrived: f.arrived, ElapsedBefore: f.lost, CallerDeadline: f.callerGives,
		Tried: f.tried, Attempts: f.attempts, PermitDenied: map[id.Instance]bool{}, HeadSent: f.headSent, Revision: f.revision,
	}
}

// retryElsewhere is when the caller may come back whose request an upstream does not want: soon where another one would
// take it, otherwise when the first is due to.
func (f *flight) retryElsewhere() time.Duration {
	q := f.query()
	// The request has been counted as an offer, and the upstreams that it was sent to may be there for the next one.
	q.Tried, q.Attempts = nil, max(1, f.attempts)
	if _, no := f.gateway.desk().Choose(q); no != nil {
		return no.RetryAfter
	}
	return refusedRetry
}
