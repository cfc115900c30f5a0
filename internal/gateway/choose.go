package gateway

import (
	"github.com/springrail/springrail/internal/placement"
)

// desk is what decides on requests, with the gateway's present view.
func (g *Gateway) desk() *Desk {
	return &Desk{Facts: g.facts, Load: g.load, Domain: g.domain, SwapWithin: g.settings.SwapWithin, Now: g.now, Random: g.random}
}

// choose picks the upstream for the next attempt, or says why there is none.
func (f *flight) choose() (placement.Choice, *problem) {
	q := &Query{
		Catalog: f.catalog, Pool: f.pool, Model: f.ask.Model, Prompt: f.ask.Prompt, Arrived: f.arrived, Lost: f.lost, CallerGives: f.callerGives,
		Tried: f.tried, Attempts: f.attempts, HeadSent: f.headSent, Revision: f.revision,
	}
	c, no := f.gateway.desk().Choose(q)
	f.reckoning = q.reckoning
	if no == nil {
		return c, nil
	}
	if no.Predicted > 0 {
		f.predicted = no.Predicted
	}
	return c, &problem{text: no.Why, notRun: true, final: true, retry: no.Retry}
}
