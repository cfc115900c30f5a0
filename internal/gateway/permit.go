package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/throttle"
)

// PermitClient calls the stagers of rate-limited upstreams. A stager is the process on an upstream's VM that stages
// weights, reports load and grants permits. The methods are function fields so that tests and simulations can
// replace them.
type PermitClient struct {
	// Acquire requests a permit. It returns the permit's number, or 0 if none is available, and whether a reply
	// arrived before the context ended.
	Acquire func(ctx context.Context, address string, incarnation id.Incarnation) (permit uint64, answered bool)
	// ReportLimit reports the rate limit that a response stated. ReportLimitEnd reports that the response to the
	// request with the given permit stated no limit.
	ReportLimit    func(address string, incarnation id.Incarnation, r throttle.Rate)
	ReportLimitEnd func(address string, incarnation id.Incarnation, permit uint64)
}

const (
	// permitTimeout bounds the wait for a permit: a request that would wait longer is better sent to another upstream.
	permitTimeout = 150 * time.Millisecond
	// permitSearchTimeout bounds the wait for reservations and for permits of several upstreams, one after another, so that a
	// request that gets none is refused soon.
	permitSearchTimeout = 200 * time.Millisecond
	// permitLifetime is how long a permit is valid after it was requested. After a suspension, its share of the limit
	// may have been given to others.
	permitLifetime = 500 * time.Millisecond
)

// acquirePermit obtains what an upstream requires before a request is sent: a permit if it is rate-limited, and a
// reply of the stager on its VM if the link has to be probed. While that stager does not respond, each gateway uses
// its share of the limit, and probes fail.
func (f *callerRequest) acquirePermit(ctx context.Context, c *placement.Choice) bool {
	f.permitWait = 0
	if c.Limit == nil && !c.NeedsProbe {
		return true
	}
	if c.Limit != nil {
		f.knownLimit = *c.Limit
	}
	if !c.Fresh {
		return !c.NeedsProbe && f.takeSharePermit(c)
	}
	return f.requestPermit(ctx, c)
}

// takeSharePermit takes a permit of this gateway's share of the limit.
func (f *callerRequest) takeSharePermit(c *placement.Choice) bool {
	g := f.gateway
	if !g.loadSources.Tracker.TakeSharePermit(c.Address) {
		return false
	}
	g.metrics.count("permits_of_own_part")
	return true
}

// requestPermit requests a permit of the stager on the upstream's VM.
func (f *callerRequest) requestPermit(ctx context.Context, c *placement.Choice) bool {
	g := f.gateway
	start := g.now()
	ctx, stop := context.WithTimeout(ctx, min(permitTimeout, f.permitSearchEnd.Sub(start)))
	defer stop()
	permit, answered := g.loadSources.Permits.Acquire(ctx, c.Address, c.Incarnation)
	f.permitWait = g.now().Sub(start)
	switch {
	case !answered:
		g.metrics.count("leave_unanswered")
		return false
	case permit == 0:
		g.metrics.count("permits_refused")
		return false
	}
	f.permit, f.permitExpiry = permit, start.Add(permitLifetime)
	if c.Limit != nil {
		g.metrics.count("permits")
	}
	return true
}

// noteLimit records the rate limit that a response states, and reports it to the stager on the upstream's VM if
// that may not know it.
func (t *attempt) noteLimit(w throttle.LimitInfo) {
	f := t.request
	f.responseLimit = w
	if !t.tracked.RecordLimitAnswer(w) {
		return
	}
	k := f.gateway.loadSources.Permits
	switch {
	case w.State == throttle.Limited:
		k.ReportLimit(t.choice.Address, t.choice.Incarnation, w.Rate)
	case w.State == throttle.Unlimited && t.permit > 0:
		k.ReportLimitEnd(t.choice.Address, t.choice.Incarnation, t.permit)
	}
}

// logLimit adds the rate limit and permit of a request to its log line.
func (f *callerRequest) logLimit(e *log.Entry) *log.Entry {
	if f.responseLimit.State == throttle.Limited {
		e = e.Float64("limit_named", float64(f.responseLimit.Rate))
	}
	if f.knownLimit.KnownSince.IsZero() {
		return e
	}
	return e.Float64("limit", float64(f.knownLimit.Rate)).Int64("limit_age_ms", f.gateway.now().Sub(f.knownLimit.KnownSince).Milliseconds()).
		Int("permits_left", f.knownLimit.Permits).Uint64("permit", f.permit)
}
