package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/throttle"
)

// PermitClient is the way to the processes beside upstreams that name a limit; function fields so that tests and plays can
// replace each.
type PermitClient struct {
	// Acquire asks for a permit, and returns its number, or 0 where there is none, and whether an answer came before the context ended.
	Acquire func(ctx context.Context, address string, born id.Incarnation) (permit uint64, answered bool)
	// ReportLimit tells a limit that an answer named, and Ended the permit of a request whose answer named none.
	ReportLimit    func(address string, born id.Incarnation, r throttle.Rate)
	ReportLimitEnd func(address string, born id.Incarnation, permit uint64)
}

const (
	// permitTimeout is how long a permit may take to come: a request that waits longer is better sent elsewhere.
	permitTimeout = 150 * time.Millisecond
	// permitLife is how long after its question a permit may be used: a suspended process would send what others have had since.
	permitLife = 500 * time.Millisecond
)

// acquire gets what an upstream asks for before a request is sent: a permit where it names a limit, and a reply of the
// stager beside it where the link has to be proven. While that stager is silent, each gateway has a share of a limit,
// and no link is proven.
func (f *flight) acquire(ctx context.Context, c *placement.Choice) bool {
	f.asked = 0
	if c.Limit == nil && !c.NeedsProbe {
		return true
	}
	if c.Limit != nil {
		f.limit = *c.Limit
	}
	if !c.Fresh {
		return !c.NeedsProbe && f.takePart(c)
	}
	return f.askPermit(ctx, c)
}

// takePart takes a permit of this gateway's own part of a limit.
func (f *flight) takePart(c *placement.Choice) bool {
	g := f.gateway
	if !g.load.Tracker.TakeSharePermit(c.Address) {
		return false
	}
	g.tally.add("permits_of_own_part")
	return true
}

// askPermit asks the process beside an upstream.
func (f *flight) askPermit(ctx context.Context, c *placement.Choice) bool {
	g := f.gateway
	ctx, stop := context.WithTimeout(ctx, permitTimeout)
	defer stop()
	began := g.now()
	permit, answered := g.load.Permits.Acquire(ctx, c.Address, c.Incarnation)
	f.asked = g.now().Sub(began)
	switch {
	case !answered:
		g.tally.add("leave_unanswered")
		return false
	case permit == 0:
		g.tally.add("permits_refused")
		return false
	}
	f.permit, f.permitEnds = permit, began.Add(permitLife)
	if c.Limit != nil {
		g.tally.add("permits")
	}
	return true
}

// noteLimit takes what an answer says of its upstream's limit, and tells the process beside the upstream where that may not know.
func (t *attempt) noteLimit(w throttle.LimitInfo) {
	f := t.flight
	f.named = w
	if !t.mark.RecordLimitAnswer(w) {
		return
	}
	k := f.gateway.load.Permits
	switch {
	case w.State == throttle.Limited:
		k.ReportLimit(t.choice.Address, t.choice.Incarnation, w.Rate)
	case w.State == throttle.Unlimited && t.permit > 0:
		k.ReportLimitEnd(t.choice.Address, t.choice.Incarnation, t.permit)
	}
}

// logLimit adds to a request's line what it had to do with a limit.
func (f *flight) logLimit(e *log.Entry) *log.Entry {
	if f.named.State == throttle.Limited {
		e = e.Float64("limit_named", float64(f.named.Rate))
	}
	if f.limit.KnownSince.IsZero() {
		return e
	}
	return e.Float64("limit", float64(f.limit.Rate)).Int64("limit_age_ms", f.gateway.now().Sub(f.limit.KnownSince).Milliseconds()).
		Int("permits_left", f.limit.Permits).Uint64("permit", f.permit)
}
