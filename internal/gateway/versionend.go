package gateway

import (
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// giveUpMargin is subtracted from the end of a version's grace period, as the upstream needs time to notice the
// cancellation.
const giveUpMargin = 200 * time.Millisecond

// versionCheckInterval is how often the end of a version's grace period is checked while a request waits, as it may move
// forward: the known publication time of the newer version may be corrected to an earlier one, and a newer version may
// become known only when no time is left. A check takes 1 us with 256 versions in memory.
const versionCheckInterval = giveUpMargin

// beginDeadline returns when a request that has not begun must be cancelled at an upstream because its version may
// begin no more requests; zero if there is no such time. It guards against an upstream that freezes with the
// request in its queue and begins it when it resumes. It costs nothing while upstreams respond: slow ones need not
// be excluded in the second half of a grace period because of such freezes.
func (f *callerRequest) beginDeadline(c placement.Choice) time.Time {
	return f.gateway.balancer().BeginDeadline(f.meta.Model, c.Revision)
}

// BeginDeadline returns when a request must be cancelled that an upstream with the given version has not begun;
// zero if there is no such time.
func (d *Balancer) BeginDeadline(m id.Model, r id.Revision) time.Time {
	versionEnd := d.Facts.ServableUntil(m, r, d.SwapWithin)
	if versionEnd.IsZero() {
		return versionEnd
	}
	return versionEnd.Add(-giveUpMargin)
}

// startVersionTimer cancels the request at an upstream that has not begun it when the grace period of its version
// ends, even if the newer version is published while the request waits.
func (t *attempt) startVersionTimer() {
	t.versionTimer = time.AfterFunc(t.request.gateway.settings.SwapWithin, t.checkVersionDeadline)
	t.checkVersionDeadline()
}

// checkVersionDeadline cancels the request if its version's grace period has ended, or schedules the next check.
func (t *attempt) checkVersionDeadline() {
	if t.answerStarted.Load() || t.ctx.Err() != nil {
		return
	}
	g := t.request.gateway
	deadline, now := t.request.beginDeadline(t.choice), g.now()
	switch {
	case deadline.IsZero():
		t.versionTimer.Reset(versionCheckInterval)
	case now.Before(deadline):
		t.versionTimer.Reset(min(deadline.Sub(now), versionCheckInterval))
	default:
		g.metrics.count("version_ended_before_begin")
		t.cancel(errVersionOver)
	}
}
