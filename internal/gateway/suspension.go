package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// suspensionLook is how often a gateway looks whether its VM was suspended: requests whose time has passed
	// meanwhile get their answer so late at most, and 0.5 s is what users allow.
	suspensionLook = 100 * time.Millisecond
	// suspensionLeast is the shortest suspension that is acted upon: timers are late by as much anyway on a busy VM.
	suspensionLeast = 20 * time.Millisecond
	// wakingGrace is how long after waking a request may still get the answer that came meanwhile although its time is over.
	wakingGrace = 200 * time.Millisecond
)

// watchSuspensions looks for suspensions of the VM until the context ends. Timers stand still in one, so that without
// this a request would be held beyond its time by as long as the suspension was.
func (g *Gateway) watchSuspensions(ctx context.Context) {
	for known := g.suspended(); ctx.Err() == nil; kernel.Pause(ctx, suspensionLook) {
		if now := g.suspended(); now-known >= suspensionLeast {
			g.woke(now - known)
			known = now
		}
	}
}

// woke sets the ends of all requests anew after a suspension.
func (g *Gateway) woke(d time.Duration) {
	g.tally.add("suspensions")
	g.log.Warn().Int64("suspended_ms", d.Milliseconds()).Int64("in_flight", g.inFlight.Load()).Msg("this VM was suspended")
	g.flights.each(func(f *flight) {
		if f.over != nil {
			f.over.Stop()
		}
		f.over = time.AfterFunc(max(f.left(), wakingGrace), func() { f.stop(context.DeadlineExceeded) })
	})
}

// each calls a function with each request under way, under the lock.
func (l *flights) each(do func(f *flight)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, same := range l.of {
		for f := range same {
			do(f)
		}
	}
}
