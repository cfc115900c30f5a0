package gateway

import (
	"net/http"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/placement"
)

// noteResponse records what a response states about its upstream.
func (t *attempt) noteResponse(v ResponseMeta) {
	f := t.request
	if t.exchange.StatusCode != http.StatusMisdirectedRequest {
		f.gateway.crashDetector.Answered(t.upstreamIncarnation(), t.startedAt)
	}
	t.noteLimit(v.Limit)
	f.upstreamLeaving, f.upstreamRest = v.Leaving, v.Rest
	if v.Leaving {
		f.gateway.noteLeaving(t.choice)
	}
	if v.Rest > 0 {
		t.noteBackoff(v.Rest)
	}
}

// noteLeaving excludes the process lifetime of an upstream whose response says that it is draining.
func (g *Gateway) noteLeaving(c placement.Choice) {
	g.metrics.count("answers_of_leaving_upstreams")
	if g.facts.MarkLeaving(c.Instance, c.Incarnation) {
		g.log.Info().Str("instance", string(c.Instance)).Str("upstream", c.Address).Msg("upstream is draining, as stated in its response")
	}
}

// noteBackoff excludes an upstream for the pause that it has asked for.
func (t *attempt) noteBackoff(d time.Duration) {
	g, c := t.request.gateway, t.choice
	g.metrics.count("answers_that_ask_for_rest")
	if t.tracked.RecordRest(c.Instance, d) {
		g.log.Info().Str("instance", string(c.Instance)).Str("upstream", c.Address).Int64("rest_ms", d.Milliseconds()).
			Msg("upstream asked for a pause in its response")
	}
}

// logUpstream adds what the newest response stated about its upstream to the request's log line.
func (f *callerRequest) logUpstream(e *log.Entry) *log.Entry {
	if f.upstreamLeaving {
		e = e.Bool("upstream_leaving", true)
	}
	if f.upstreamRest > 0 {
		e = e.Int64("upstream_rest_ms", f.upstreamRest.Milliseconds())
	}
	return e
}
