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
	// Ask asks for a permit, and returns its number, or 0 where there is none or no answer comes before the context ends.
	Ask func(ctx context.Context, address string, born id.Birth) uint64
	// Named tells a limit that an answer named, and Ended the permit of a request whose answer named none.
	Named func(address string, born id.Birth, r throttle.Rate)
	Ended func(address string, born id.Birth, permit uint64)
}

const (
	// askWithin is how long a permit may take to come: a way there and back is 12 ms on the longest of today's platforms, and what takes longer than
	// this is better sent elsewhere.
	askWithin = 150 * time.Millisecond
	// permitLife is how long after its question a permit may be used. A process that stood still meanwhile would send what others have had since.
	permitLife = 500 * time.Millisecond
)

// permitted gets a permit for a limited upstream. All gateways together may send it no more than it takes, so that none sends without one: the
// process beside the upstream gives them, and while that is silent each gateway has its part of the limit.
func (f *flight) permitted(ctx context.Context, c *placement.Choice) bool {
	g := f.gateway
	f.limit = *c.Limit
	if !c.Known {
		if !g.load.Tracker.TakePart(c.Address) {
			return false
		}
		g.tally.add("permits_of_own_part")
		return true
	}
	ctx, stop := context.WithTimeout(ctx, askWithin)
	defer stop()
	asked := g.now()
	f.permit = g.load.Permits.Ask(ctx, c.Address, c.Born)
	switch {
	case f.permit > 0:
		f.permitEnds = asked.Add(permitLife)
		g.tally.add("permits")
		return true
	case ctx.Err() != nil:
		g.tally.add("permits_unanswered")
	default:
		g.tally.add("permits_refused")
	}
	return false
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
