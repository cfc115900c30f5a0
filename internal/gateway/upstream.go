package gateway

import (
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/placement"
)

// noteUpstream takes what an answer says of its upstream itself.
func (t *attempt) noteUpstream(v Verdict) {
	f := t.flight
	t.noteLimit(v.Limit)
	f.upstreamLeaving, f.upstreamRest = v.Leaving, v.Rest
	if v.Leaving {
		f.gateway.noteLeaving(t.choice)
	}
	if v.Rest > 0 {
		f.gateway.tally.add("answers_that_ask_for_rest")
	}
}

// noteLeaving has nothing more sent to a start of an upstream whose answer says that it leaves.
func (g *Gateway) noteLeaving(c placement.Choice) {
	g.tally.add("answers_of_leaving_upstreams")
	if g.facts.Leaves(c.Instance, c.Born) {
		g.log.Info().Str("instance", string(c.Instance)).Str("upstream", c.Address).Msg("upstream leaves by its own answer")
	}
}

// logUpstream adds to a request's line what its newest answer said of the upstream itself.
func (f *flight) logUpstream(e *log.Entry) *log.Entry {
	if f.upstreamLeaving {
		e = e.Bool("upstream_leaving", true)
	}
	if f.upstreamRest > 0 {
		e = e.Int64("upstream_rest_ms", f.upstreamRest.Milliseconds())
	}
	return e
}
