package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/throttle"
)

// Permits is the way to the processes beside upstreams that name a limit; function fields so that tests and plays can replace each.
type Permits struct {
	// Ask asks for a permit, and returns its number, or 0 where there is none, and whether an answer came before the context ended.
	Ask func(ctx context.Context, address string, born id.Birth) (permit uint64, answered bool)
	// Named tells a limit that an answer named, and Ended the permit of a request whose answer named none.
	Named func(address string, born id.Birth, r throttle.Rate)
	Ended func(address string, born id.Birth, permit uint64)
}

const (
	// askWithin is how long leave may take to come: a way there and back is 12 ms on the longest of today's platforms, and what takes longer than
	// this is better sent elsewhere.
	askWithin = 150 * time.Millisecond
	// leaveLife is how long after its question leave may be used. A process that stood still meanwhile would send what others have had since.
	leaveLife = 500 * time.Millisecond
)

// leave gets leave to send to an upstream, where that needs any: a permit for one that is limited, as all gateways together may send it no more than it
// takes, and an answer from beside it where the way there is to be proven. The process beside the upstream gives both; while it is silent each
// gateway has its part of a limit, and no way is proven.
func (f *flight) leave(ctx context.Context, c *placement.Choice) bool {
	f.asked = 0
	if c.Limit == nil && !c.Prove {
		return true
	}
	if c.Limit != nil {
		f.limit = *c.Limit
	}
	if !c.Known {
		return !c.Prove && f.takePart(c)
	}
	return f.askLeave(ctx, c)
}

// takePart takes a permit of this gateway's own part of a limit.
func (f *flight) takePart(c *placement.Choice) bool {
	g := f.gateway
	if !g.load.Tracker.TakePart(c.Address) {
		return false
	}
	g.tally.add("permits_of_own_part")
	return true
}

// askLeave asks the process beside an upstream.
func (f *flight) askLeave(ctx context.Context, c *placement.Choice) bool {
	g := f.gateway
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	began := g.now()
	permit, answered := g.load.Permits.Ask(ctx, c.Address, c.Born)
	f.asked = g.now().Sub(began)
	switch {
	case !answered:
		g.tally.add("leave_unanswered")
		return false
	case permit == 0:
		g.tally.add("permits_refused")
		return false
	}
	f.permit, f.leaveEnds = permit, began.Add(leaveLife)
	if c.Limit != nil {
		g.tally.add("permits")
	}
	return true
}

// hearLimit takes what an answer says of its upstream's limit, and tells the process beside the upstream where that may not know.
func (t *try) hearLimit(w throttle.Word) {
	f := t.flight
	f.named = w
	if !t.mark.Answered(w) {
		return
	}
	k := f.gateway.load.Permits
	switch {
	case w.Said == throttle.Limited:
		k.Named(t.choice.Address, t.choice.Born, w.Rate)
	case w.Said == throttle.Unlimited && t.permit > 0:
		k.Ended(t.choice.Address, t.choice.Born, t.permit)
	}
}

// logLimit adds to a request's line what it had to do with a limit.
func (f *flight) logLimit(e *log.Entry) *log.Entry {
	if f.named.Said == throttle.Limited {
		e = e.Float64("limit_named", float64(f.named.Rate))
	}
	if f.limit.Since.IsZero() {
		return e
	}
	return e.Float64("limit", float64(f.limit.Rate)).Int64("limit_age_ms", f.gateway.now().Sub(f.limit.Since).Milliseconds()).
		Int("permits_left", f.limit.Permits).Uint64("permit", f.permit)
}
