package transfer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/swarm"
)

const (
	// haveWait is how long a question for a neighbour's chunks may wait there.
	haveWait = time.Second
	// silentLimit is the number of questions without an answer after which a neighbour counts as dead.
	silentLimit = 2
	// manifestPause is the wait before the manifest is asked for again.
	manifestPause = 50 * time.Millisecond
)

// listen keeps a neighbour's chunks up to date until the context ends.
func (d *Download) listen(ctx context.Context, n *neighbour) {
	for ctx.Err() == nil {
		d.stats.questions.Add(1)
		ask, stop := context.WithTimeout(ctx, haveWait+stallFloor)
		a, err := d.links.Have(ask, n.address, &pb.HaveRequest{
			Rollout: d.rollout.GetId(), From: n.from, Epoch: n.epoch, WaitMs: haveWait.Milliseconds(),
		})
		stop()
		switch {
		case err != nil:
			d.noteSilent(ctx, n)
			kernel.Pause(ctx, tick)
		case a.GetMissing():
			kernel.Pause(ctx, tick)
		default:
			d.noteHave(n, a)
			kernel.Pause(ctx, d.pauseForNews())
		}
	}
}

// pauseForNews is the wait before a neighbour is asked again. A VM that has few transfers asks at once, as at the start
// of a burst each hop's wait would add up over the whole swarm; a busy one has time.
func (d *Download) pauseForNews() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.transfers() < d.settings.Downloads/2 {
		return 0
	}
	return d.settings.HaveInterval
}

// transfers is the number of chunks on their way; the caller holds the lock.
func (d *Download) transfers() int {
	n := 0
	for _, k := range d.inFlight {
		n += k
	}
	return n
}

func (d *Download) noteSilent(ctx context.Context, n *neighbour) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countSilent(n)
}

// countSilent notes a question or a transfer without an answer; the caller holds the lock.
func (d *Download) countSilent(n *neighbour) {
	n.silent++
	if n.silent == silentLimit {
		d.dead[n.VM] = time.Now()
		select {
		case d.renew <- struct{}{}:
		default:
		}
	}
}

func (d *Download) noteHave(n *neighbour, a *pb.HaveResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.silent = 0
	if d.neighbours[n.VM] != n {
		return
	}
	if a.GetEpoch() != n.epoch {
		d.forget(n)
	}
	n.epoch, n.from = a.GetEpoch(), a.GetNext()
	for _, c := range a.GetChunks() {
		if int(c) < len(d.rarity) && n.Has.Add(id.Chunk(c)) {
			d.noteSeen(id.Chunk(c))
			if d.rarity[c] == 0 {
				d.seen[c] = time.Now()
			}
			d.rarity[c]++
		}
	}
	d.poke()
}

// forget drops what a neighbour said before it started anew.
func (d *Download) forget(n *neighbour) {
	for c := range d.rarity {
		if n.Has.Has(id.Chunk(c)) {
			d.rarity[c]--
		}
	}
	n.Has = swarm.NewSet(len(d.rarity))
}

// noteSeen notes that a chunk's lane moves, if the chunk is new to this VM. What this VM draws itself does not count: a
// VM that has taken a lane over goes on until somebody else moves it.
func (d *Download) noteSeen(c id.Chunk) {
	if d.rarity[c] == 0 && !d.have.Has(c) {
		d.moved(d.lanes.Lane(c))
	}
}

// moved notes that others have brought a new chunk of a lane, unless the lane lags behind the others.
func (d *Download) moved(lane int) {
	d.laneCount[lane]++
	if !swarm.Lagging(d.laneCount, lane) {
		d.laneSeen[lane] = time.Now()
	}
}

// fetch takes a chunk from a neighbour.
func (d *Download) fetch(ctx context.Context, n *neighbour, c id.Chunk) {
	start := time.Now()
	ask, stop := context.WithTimeout(ctx, d.patienceForTransfer())
	defer stop()
	data, err := d.links.FetchChunk(ask, n.address, id.Rollout(d.rollout.GetId()), c, d.holding.Size(c))
	o := swarm.Delivered
	switch {
	case errors.Is(err, ErrBusy):
		o = swarm.Busy
	case err != nil:
		o = swarm.Failed
		if ctx.Err() == nil {
			// A second transfer of a chunk ends with the download that asked for it, through no fault of anybody's.
			d.stats.failed.Add(1)
		}
		d.stats.broken.Add(int64(len(data)))
	default:
		d.stats.received.Add(int64(len(data)))
		if !d.keep(c, data, string(n.VM)) {
			o = swarm.Corrupt
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sharing := d.transfers()
	n.InFlight--
	d.release(c)
	if ctx.Err() == nil {
		n.RecordOutcome(o, time.Now(), d.settings.BusyRetry)
	}
	switch o {
	case swarm.Delivered:
		n.silent = 0
		d.delivered++
		d.link.note(time.Since(start), sharing)
		d.usual += (time.Since(start) - d.usual) / time.Duration(min(d.delivered, usualOver))
	case swarm.Failed:
		if errors.Is(ask.Err(), context.DeadlineExceeded) {
			d.usual += d.usual / 2
			d.link.note(time.Since(start), sharing)
		}
		if ctx.Err() == nil {
			d.countSilent(n)
		}
	}
	d.poke()
}

func (d *Download) release(c id.Chunk) {
	d.inFlight[c]--
	if d.inFlight[c] <= 0 {
		delete(d.inFlight, c)
	}
}

// patienceForTransfer is when a transfer counts as too slow, from the usual time of one. Before some have been delivered
// the usual time is not known, and only a transfer that brings nothing at all is given up (stallAfter): a chunk of a
// large version takes longer than any fixed time that would serve for small ones.
func (d *Download) patienceForTransfer() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delivered < usualKnown {
		return d.settings.SourceTimeout
	}
	return max(stallFloor, stallFactor*d.usual)
}

const (
	// usualOver is the number of deliveries that the usual time of a chunk is taken over.
	usualOver = 4
	// usualKnown is the number of deliveries from which on it is believed.
	usualKnown = 3
)

// keep verifies and holds a chunk, and says whether it was good.
func (d *Download) keep(c id.Chunk, data []byte, from string) bool {
	_, err := d.holding.Add(c, data)
	if err != nil {
		d.stats.corrupt.Add(1)
		d.event(kernel.EventChunkRejected, fmt.Sprintf("chunk %d from %s", c, from))
		d.log.Warn().Err(err).Str("from", from).Msg("corrupt chunk thrown away")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.have.Add(c)
	return true
}

// objectContent and objectManifest are the objects of a version at the store and the origin.
const (
	objectContent  = "content"
	objectManifest = "manifest"
)

// fetchManifest brings the manifest: the lanes' first VMs take it from the origin, the others from neighbours and
// only after their patience from the origin.
func (d *Download) fetchManifest(ctx context.Context) bool {
	d.mu.Lock()
	rank := 0
	if len(d.ranks) > 0 {
		rank = slices.Min(d.ranks)
	}
	d.mu.Unlock()
	due := time.Now().Add(time.Duration(rank) * d.settings.TakeoverDelay)
	for ctx.Err() == nil && d.holding.Manifest() == nil {
		if rank == 0 || time.Now().After(due) {
			d.drawManifest(ctx)
		}
		if d.holding.Manifest() == nil {
			d.askManifest(ctx)
		}
		if d.holding.Manifest() == nil {
			kernel.Pause(ctx, manifestPause)
		}
	}
	if ctx.Err() != nil {
		return false
	}
	d.event(kernel.EventManifestVerified, "")
	return true
}

func (d *Download) drawManifest(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, d.settings.SourceTimeout)
	defer stop()
	got, err := d.links.FetchFromSource(ctx, d.rollout, objectManifest, 0, -1)
	if err == nil {
		err = d.holding.SetManifest(got.Data)
	}
	if errors.Is(err, ErrCorrupt) {
		d.event(kernel.EventChunkRejected, "manifest from the origin")
		d.setReason("the origin serves another manifest than the rollout pins")
		return
	}
	if err != nil {
		d.setReason("the origin gives no manifest")
	}
}

// askManifest asks all neighbours at once and takes the first good answer.
func (d *Download) askManifest(ctx context.Context) {
	d.mu.Lock()
	var addresses []string
	for _, n := range d.neighbours {
		addresses = append(addresses, n.address)
	}
	d.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, d.settings.TakeoverDelay)
	defer stop()
	answers := make(chan []byte, len(addresses))
	for _, a := range addresses {
		go func() {
			raw, err := d.links.FetchManifest(ctx, a, id.Rollout(d.rollout.GetId()))
			if err != nil {
				raw = nil
			}
			answers <- raw
		}()
	}
	for range addresses {
		if raw := <-answers; raw != nil && d.holding.SetManifest(raw) == nil {
			return
		}
	}
}
