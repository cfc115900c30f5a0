package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/placement"
)

// noteUpstream takes what an answer says of its upstream itself.
func (t *attempt) noteUpstream(v ResponseMeta) {
	f := t.flight
	t.noteLimit(v.Limit)
	f.upstreamLeaving, f.upstreamRest = v.Leaving, v.Rest
	if v.Leaving {
		f.gateway.noteLeaving(t.choice)
	}
	if v.Rest > 0 {
		t.noteRest(v.Rest)
	}
}

// noteLeaving has nothing more sent to a start of an upstream whose answer says that it leaves.
func (g *Gateway) noteLeaving(c placement.Choice) {
	g.tally.add("answers_of_leaving_upstreams")
	if g.facts.MarkLeaving(c.Instance, c.Incarnation) {
		g.log.Info().Str("instance", string(c.Instance)).Str("upstream", c.Address).Msg("upstream leaves by its own answer")
	}
}

// noteRest has nothing sent to an upstream for a time that it has asked for.
func (t *attempt) noteRest(d time.Duration) {
	g, c := t.flight.gateway, t.choice
	g.tally.add("answers_that_ask_for_rest")
	if t.mark.RecordRest(c.Instance, d) {
		g.log.Info().Str("instance", string(c.Instance)).Str("upstream", c.Address).Int64("rest_ms", d.Milliseconds()).
			Msg("upstream asks for rest")
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
