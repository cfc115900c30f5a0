package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// desk is what decides on requests, with the gateway's present view.
func (g *Gateway) desk() *Desk {
	return &Desk{Facts: g.facts, Load: g.load, Domain: g.domain, SwapWithin: g.settings.SwapWithin, Now: g.now, Random: g.random}
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
			return c, &attemptError{text: no.Why, notRun: true, final: true, retry: no.Retry}
		}
		if f.acquire(ctx, &c) {
			return c, nil
		}
		q.Declined[c.Instance] = true
		q.AskNone = len(q.Declined) >= mostPermitAsks
	}
}

// query is the request as the desk sees it.
func (f *flight) query() *Query {
	return &Query{
		Catalog: f.catalog, Pool: f.pool, Model: f.ask.Model, Prompt: f.ask.Prompt, Arrived: f.arrived, Lost: f.lost, CallerGives: f.callerGives,
		Tried: f.tried, Attempts: f.attempts, Declined: map[id.Instance]bool{}, HeadSent: f.headSent, Revision: f.revision,
	}
}

// retryElsewhere is when the caller may come back whose request an upstream does not want: soon where another one would
// take it, otherwise when the first is due to.
func (f *flight) retryElsewhere() time.Duration {
	q := f.query()
	// The request has been counted as an offer, and the upstreams that it was sent to may be there for the next one.
	q.Tried, q.Attempts = nil, max(1, f.attempts)
	if _, no := f.gateway.desk().Choose(q); no != nil {
		return no.Retry
	}
	return refusedRetry
}
