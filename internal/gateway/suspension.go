package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/quarantine"
)

const (
	// suspensionPollInterval is how often a gateway checks whether its VM was suspended. It bounds the delay of
	// responses to requests whose deadline passed meanwhile; users allow 0.5 s.
	suspensionPollInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is acted upon: timers on a busy VM are late by as much anyway.
	minSuspension = 20 * time.Millisecond
	// wakeGracePeriod is how long after a suspension a request past its deadline may still receive a response that
	// arrived meanwhile.
	wakeGracePeriod = 200 * time.Millisecond
)

// watchSuspensions detects suspensions of the VM until the context ends. Timers stop during a suspension, so that a
// request would otherwise outlive its deadline by the length of the suspension.
func (g *Gateway) watchSuspensions(ctx context.Context) {
	known, ranAt := g.suspended(), g.now()
	for ; ctx.Err() == nil; kernel.Pause(ctx, suspensionPollInterval) {
		g.knowledge.Tick()
		now, suspended := g.now(), g.suspended()
		if stopped := now.Sub(ranAt) - (suspended - known) - suspensionPollInterval; stopped >= quarantine.MinStop {
			g.log.Warn().Int64("stopped_ms", stopped.Milliseconds()).Msg("this process did not run for a time")
		}
		ranAt = now
		if suspended-known >= minSuspension {
			g.resetDeadlines(suspended - known)
			known = suspended
		}
	}
}

// resetDeadlines restarts the deadline timers of all requests after a suspension.
func (g *Gateway) resetDeadlines(suspended time.Duration) {
	g.metrics.count("suspensions")
	g.log.Warn().Int64("suspended_ms", suspended.Milliseconds()).Int("in_flight", g.inFlight.count()).Msg("this VM was suspended")
	g.requests.each(func(f *callerRequest) {
		if f.resumeTimer != nil {
			f.resumeTimer.Stop()
		}
		f.resumeTimer = time.AfterFunc(max(f.remaining(), wakeGracePeriod), func() { f.cancel(context.DeadlineExceeded) })
	})
}

// each calls a function for each request in flight while holding the mutex.
func (l *requestRegistry) each(visit func(f *callerRequest)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, same := range l.byUse {
		for f := range same {
			visit(f)
		}
	}
}
