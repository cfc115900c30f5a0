package transfer

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/swarm"
)

// originCheckShare is the part of the takeover delay after which the origin is checked again, for each rank. After an
// outage the delay of a lane begins with the first successful check, so a longer interval postpones the takeover of a
// dead VM's lane.
const originCheckShare = 8

// maxOriginGap returns the longest time between two answers of the origin during which it counts as answering. It is
// shorter than the takeover delay, so that lanes do not become due by an outage, and covers the interval at which a busy
// VM polls its neighbours. The caller holds the lock.
func (d *Download) maxOriginGap() time.Duration {
	return max(d.takeoverDelay()/2, minTakeoverDelay)
}

// checkOriginIfDue requests the manifest from the source if a lane is about to be due for this VM and nothing else shows
// whether the origin answers. The request is small, so that the VMs of higher ranks do not fetch chunks that the first
// rank fetches as well when an outage ends. The caller holds the lock.
func (d *Download) checkOriginIfDue(ctx context.Context, v *swarm.View) {
	if v.Now.Before(d.originCheckAt) || !d.originAnswers.Unknown(v.Now, d.maxOriginGap()) {
		return
	}
	delay, copies := d.takeoverDelay(), swarm.OriginCopyBudget(d.rollout)
	for lane := range d.ranks {
		// Checks begin half a delay early: a lane whose VM is dead is then due in time although no other lane has new chunks.
		rank, stalled := d.laneRank(lane), v.Now.Sub(d.laneProgressAt[lane])+delay/2
		if rank == 0 || !d.sourceFetchAllowed(lane, v.Now) || !swarm.MayFetchFromOrigin(rank, copies, stalled, delay) {
			continue
		}
		if _, ok := swarm.PickOriginChunk(v, d.lanes, lane, rank); ok {
			d.originCheckAt = v.Now.Add(d.settings.SourceTimeout)
			go d.checkOrigin(ctx, rank)
			return
		}
	}
}

// checkOrigin requests the manifest and records whether the origin answers. One check at a time is in progress.
func (d *Download) checkOrigin(ctx context.Context, rank int) {
	checkCtx, stop := context.WithTimeout(ctx, d.settings.TakeoverDelay)
	defer stop()
	got, err := d.transport.FetchFromSource(checkCtx, d.rollout, objectManifest, 0, -1)
	d.originBytes.Add(got.OriginBytes)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.originCheckAt = now.Add(time.Duration(rank) * d.settings.TakeoverDelay / originCheckShare)
	switch {
	case err == nil:
		d.originAnswers.RecordOwn(now, d.maxOriginGap())
	case ctx.Err() == nil:
		d.originAnswers.RecordFailure(now)
	}
	d.wakeScheduler()
}
