package gateway

import (
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// beginGuard is taken off a version's time: the upstream needs to see that the request is given up.
const beginGuard = 200 * time.Millisecond

// lookAgain is how often the end of a version's time is looked at while a request waits: a date that was too late may
// be withdrawn, and a newer version that is read of late may leave no time. A look takes 1 us where 256 versions are
// remembered.
const lookAgain = beginGuard

// beginBy is when a request that has not begun by then must be given up at an upstream, because the version there may begin
// none any more; zero where nothing ends. It guards against an upstream that freezes with the request in its queue and
// begins it when it wakes, and costs nothing while none does: upstreams that lag behind need not be left out for it in the
// second half of the time for a swap.
func (f *flight) beginBy(c placement.Choice) time.Time {
	return f.gateway.desk().BeginDeadline(f.ask.Model, c.Revision)
}

// BeginDeadline is when a request that has not begun on a version by then must be given up; zero where nothing ends.
func (d *Balancer) BeginDeadline(m id.Model, r id.Revision) time.Time {
	until := d.Facts.ServableUntil(m, r, d.SwapWithin)
	if until.IsZero() {
		return until
	}
	return until.Add(-beginGuard)
}

// watchVersion gives the request up at an upstream that has not begun it when its version's time is over, also where the
// newer version is named only while the request waits.
func (t *attempt) watchVersion() {
	t.versionEnd = time.AfterFunc(t.flight.gateway.settings.SwapWithin, t.checkVersion)
	t.checkVersion()
}

// checkVersion gives the request up, or says when to look again.
func (t *attempt) checkVersion() {
	if t.answering.Load() || t.ctx.Err() != nil {
		return
	}
	g := t.flight.gateway
	until, now := t.flight.beginBy(t.choice), g.now()
	switch {
	case until.IsZero():
		t.versionEnd.Reset(lookAgain)
	case now.Before(until):
		t.versionEnd.Reset(min(until.Sub(now), lookAgain))
	default:
		g.tally.add("version_ended_before_begin")
		t.stop(errVersionOver)
	}
}
