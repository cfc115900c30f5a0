package transfer

import (
	"context"
	"fmt"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/swarm"
)

// mayFetchFromSource reports whether this VM may fetch the next chunk of a lane from a source (the store or the origin)
// now. A lane is a group of chunks that one VM at a time fetches, see swarm.Lanes. The caller holds the lock.
func (d *Download) mayFetchFromSource(lane int, now time.Time) bool {
	rank, maxGap := d.laneRank(lane), d.maxOriginGap()
	if !d.sourceFetchAllowed(lane, now) || d.lanes.OriginBusy(rank, d.fetchedTotal-d.laneProgressTotal[lane], now.Sub(d.progressAt), maxGap) {
		return false
	}
	answering := d.originAnswers.AnsweringSince(d.laneProgressAt[lane], maxGap, now)
	return swarm.MayFetchFromOrigin(rank, swarm.OriginCopyBudget(d.rollout), answering, d.takeoverDelay())
}

// laneRank returns the rank of this VM in a lane. Other VMs would receive late what this VM fetches over a slow link, so
// it then takes the last rank of the budget. The caller holds the lock.
func (d *Download) laneRank(lane int) int {
	if d.linkTooSlow() {
		return max(d.ranks[lane], int(swarm.OriginCopyBudget(d.rollout))-1)
	}
	return d.ranks[lane]
}

// sourceFetchAllowed reports whether the number of concurrent source fetches, the backoff and the lane's byte budget
// permit another fetch. The caller holds the lock.
func (d *Download) sourceFetchAllowed(lane int, now time.Time) bool {
	if d.sourceFetches >= maxSourceFetches || now.Before(d.sourceRetryAt) {
		return false
	}
	return d.laneBytes[lane]+d.holding.Size(0) <= d.laneBudget(lane)
}

// laneBudget returns this VM's origin budget for a lane in bytes: the size of the lane, once.
func (d *Download) laneBudget(lane int) int64 {
	lanes := d.lanes.Count()
	return int64((len(d.rarity)-lane+lanes-1)/lanes) * d.holding.Size(0)
}

// takeoverDelay returns how long a lane may make no progress before its next VM fetches from the source. Organisations
// that save origin bytes wait longer, as a redundant fetch costs them more than the delay.
func (d *Download) takeoverDelay() time.Duration {
	delivered := d.have.Len()
	for _, n := range d.laneDelivered {
		delivered = max(delivered, n*len(d.laneDelivered))
	}
	p := d.settings.TakeoverDelay
	if delivered > 0 {
		interval := time.Since(d.startedAt) * time.Duration(d.lanes.Count()) / time.Duration(delivered)
		p = min(p, max(minTakeoverDelay, takeoverFactor*interval))
	}
	if d.rollout.GetObjective() == pb.Objective_OBJECTIVE_ORIGIN_BYTES {
		return originBytesDelayFactor * p
	}
	return p
}

const (
	// takeoverFactor is the multiple of the mean time between a lane's chunks after which the lane counts as stalled.
	takeoverFactor = 8
	// minTakeoverDelay covers the time that chunk announcements take to arrive.
	minTakeoverDelay = 300 * time.Millisecond
)

// originBytesDelayFactor multiplies the takeover delay of organisations that save origin bytes.
const originBytesDelayFactor = 3

// scheduleStalled fetches chunks from a source that neighbours hold but do not send. The caller holds the lock.
func (d *Download) scheduleStalled(ctx context.Context, v *swarm.View) {
	for lane, rank := range d.ranks {
		if rank >= int(swarm.OriginCopyBudget(d.rollout)) || !d.sourceFetchAllowed(lane, v.Now) {
			continue
		}
		if c, ok := swarm.PickStalledChunk(v, d.lanes, lane, rank); ok {
			d.startSourceFetch(ctx, lane, c)
		}
	}
}

// startSourceFetch starts a fetch from a source. The caller holds the lock.
func (d *Download) startSourceFetch(ctx context.Context, lane int, c id.Chunk) {
	d.sourceFetches++
	d.laneBytes[lane] += d.holding.Size(c)
	d.inFlight[c]++
	go d.fetchFromSource(ctx, c)
}

// fetchFromSource fetches a chunk from the store or the origin.
func (d *Download) fetchFromSource(ctx context.Context, c id.Chunk) {
	size := d.holding.Size(c)
	from := int64(c) * int64(d.rollout.GetVersion().GetChunkBytes())
	fetchCtx, stop := context.WithTimeout(ctx, d.settings.SourceTimeout)
	defer stop()
	got, err := d.transport.FetchFromSource(fetchCtx, d.rollout, objectContent, from, size)
	d.originBytes.Add(got.OriginBytes)
	valid := err == nil && d.storeChunk(ctx, c, got.Data, "the origin")
	if valid {
		d.addEvent(kernel.EventOriginFetched, fmt.Sprintf("chunk %d", c))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sourceFetches--
	d.releaseChunk(c)
	if err == nil {
		d.originAnswers.RecordOwn(time.Now(), d.maxOriginGap())
	}
	switch {
	case valid:
		d.progressAt = time.Now()
		d.fetchedTotal++
		d.sourceFailures = 0
		d.reason = "fetching"
	case ctx.Err() == nil:
		// Only bytes that were sent count: in a long outage, failed fetches would otherwise use up the whole budget.
		d.refund(d.lanes.Lane(c), size, got.OriginBytes)
		if err != nil {
			d.originAnswers.RecordFailure(time.Now())
		}
		d.sourceFailures++
		d.sourceRetryAt = time.Now().Add(d.sourceRetryDelay(err))
		d.reason = sourceFailureReason(err)
	}
	d.wakeScheduler()
}

// refund returns a failed fetch to the budget of its lane: all bytes that were not sent, and corrupt bytes up to the
// size of the lane, as otherwise the last VM that may fetch could never complete it. The caller holds the lock.
func (d *Download) refund(lane int, size, sent int64) {
	refunded := max(0, size-sent)
	if corrupt := size - refunded; d.laneCorruptBytes[lane]+corrupt <= d.laneBudget(lane) {
		d.laneCorruptBytes[lane] += corrupt
		refunded = size
	}
	d.laneBytes[lane] -= refunded
}

// sourceRetryDelay returns the delay after a failed fetch. Corrupt bytes use up the budget, so the delay doubles with
// each consecutive failure; a source that does not respond uses none and is retried at a fixed interval.
func (d *Download) sourceRetryDelay(err error) time.Duration {
	if err != nil {
		return d.settings.TakeoverDelay / 8
	}
	return d.settings.TakeoverDelay / 16 << min(d.sourceFailures, maxDoublings)
}

// maxDoublings bounds the delay after corrupt bytes to 16 times the takeover delay.
const maxDoublings = 8

func sourceFailureReason(err error) string {
	if err == nil {
		return "the origin serves other bytes than the rollout pins"
	}
	return "the origin gives no answer"
}
