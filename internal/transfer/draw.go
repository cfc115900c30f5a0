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

// mayDraw says whether this VM may draw a lane's next chunk from a source now. The caller holds the lock.
func (d *Download) mayDraw(lane int, now time.Time) bool {
	rank := d.ranks[lane]
	if d.narrow() {
		// Others would get what this VM draws late: it draws only where nobody else does.
		rank = max(rank, int(swarm.Copies(d.rollout))-1)
	}
	return d.canDraw(lane, now) && swarm.MayDraw(rank, swarm.Copies(d.rollout), d.laneSeen[lane], d.patience(), now)
}

// canDraw says whether a draw and the lane's budget are free. The caller holds the lock.
func (d *Download) canDraw(lane int, now time.Time) bool {
	if d.drawing >= drawsAtOnce || now.Before(d.drawRetry) {
		return false
	}
	return d.laneBytes[lane]+d.holding.Size(0) <= d.allowance(lane)
}

// allowance is this VM's part of the origin budget for a lane in bytes: the lane once.
func (d *Download) allowance(lane int) int64 {
	lanes := d.lanes.Count()
	return int64((len(d.rarity)-lane+lanes-1)/lanes) * d.holding.Size(0)
}

// patience is how long a lane may stand still before its next VM draws. An organisation that saves origin bytes waits
// longer, as a draw too many costs it more than the time.
func (d *Download) patience() time.Duration {
	seen := d.have.Len()
	for _, n := range d.laneCount {
		seen = max(seen, n*len(d.laneCount))
	}
	p := d.settings.Patience
	if seen > 0 {
		usual := time.Since(d.begun) * time.Duration(d.lanes.Count()) / time.Duration(seen)
		p = min(p, max(leastPatience, usualPatience*usual))
	}
	if d.rollout.GetObjective() == pb.Objective_OBJECTIVE_ORIGIN_BYTES {
		return bytesPatience * p
	}
	return p
}

const (
	// usualPatience is how many times the usual time between a lane's chunks it may stand still.
	usualPatience = 8
	// leastPatience covers the time that news takes.
	leastPatience = 300 * time.Millisecond
)

// bytesPatience multiplies the patience of organisations that save origin bytes.
const bytesPatience = 3

// draw takes a chunk from the store or the origin.
func (d *Download) draw(ctx context.Context, c id.Chunk) {
	size := d.holding.Size(c)
	from := int64(c) * int64(d.rollout.GetVersion().GetChunkBytes())
	ask, stop := context.WithTimeout(ctx, d.settings.DrawTimeout)
	defer stop()
	got, err := d.links.Draw(ask, d.rollout, objectContent, from, size)
	d.originBytes.Add(got.OriginBytes)
	good := err == nil && d.keep(c, got.Data, "the origin")
	if good {
		d.event(kernel.EventOriginFetched, fmt.Sprintf("chunk %d", c))
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drawing--
	d.release(c)
	switch {
	case good:
		d.drawFailures = 0
		d.reason = "fetching"
	case ctx.Err() == nil:
		// What the source did not send does not count: in a long outage failed draws would use up the whole budget.
		d.refund(d.lanes.Lane(c), size, got.OriginBytes)
		d.drawFailures++
		d.drawRetry = time.Now().Add(d.drawPause(err))
		d.reason = drawReason(err)
	}
	d.poke()
}

// refund gives the budget of a lane back for a draw that failed: what was not sent, and spoilt bytes up to once the lane,
// as the last VM that may draw would else never hold it whole. The caller holds the lock.
func (d *Download) refund(lane int, size, sent int64) {
	back := max(0, size-sent)
	if spoilt := size - back; d.laneSpoilt[lane]+spoilt <= d.allowance(lane) {
		d.laneSpoilt[lane] += spoilt
		back = size
	}
	d.laneBytes[lane] -= back
}

// drawPause is the wait after a draw that failed. Corrupt bytes cost the budget, so it doubles with each in a row; a
// source without an answer costs nothing and is asked steadily.
func (d *Download) drawPause(err error) time.Duration {
	if err != nil {
		return d.settings.Patience / 8
	}
	return d.settings.Patience / 16 << min(d.drawFailures, maxDoublings)
}

// maxDoublings bounds the pause after corrupt draws: 16 times the patience at the most.
const maxDoublings = 8

func drawReason(err error) string {
	if err == nil {
		return "the origin serves other bytes than the rollout pins"
	}
	return "the origin gives no answer"
}
