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
	// haveWait is the duration of a long poll for a neighbour's chunks.
	haveWait = time.Second
	// maxUnanswered is the number of consecutive unanswered requests after which a neighbour counts as unresponsive.
	maxUnanswered = 2
	// manifestRetryDelay is the delay before the manifest is requested again.
	manifestRetryDelay = 50 * time.Millisecond
)

// pollNeighbour keeps the list of a neighbour's chunks up to date until the context ends.
func (d *Download) pollNeighbour(ctx context.Context, n *neighbour) {
	for ctx.Err() == nil {
		d.stats.polls.Add(1)
		requestCtx, stop := context.WithTimeout(ctx, haveWait+minTransferTimeout)
		a, err := d.transport.Have(requestCtx, n.address, &pb.HaveRequest{
			Rollout: d.rollout.GetId(), From: n.offset, Epoch: n.epoch, WaitMs: haveWait.Milliseconds(),
		})
		stop()
		switch {
		case err != nil:
			d.recordUnanswered(ctx, n)
			kernel.Pause(ctx, scheduleInterval)
		case a.GetMissing():
			kernel.Pause(ctx, scheduleInterval)
		default:
			d.recordHeldChunks(n, a)
			kernel.Pause(ctx, d.pollDelay())
		}
	}
}

// pollDelay returns the delay before the next poll of a neighbour. A VM with few transfers polls at once, as early in a
// distribution the delays of all hops would add up; a busy one can wait.
func (d *Download) pollDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.activeTransfers() < d.settings.Downloads/2 {
		return 0
	}
	return d.settings.HaveInterval
}

// activeTransfers returns the number of chunk transfers in progress. The caller holds the lock.
func (d *Download) activeTransfers() int {
	n := 0
	for _, k := range d.inFlight {
		n += k
	}
	return n
}

func (d *Download) recordUnanswered(ctx context.Context, n *neighbour) {
	if ctx.Err() != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.countUnanswered(n)
}

// countUnanswered records an unanswered poll or transfer. The caller holds the lock.
func (d *Download) countUnanswered(n *neighbour) {
	n.unanswered++
	if n.unanswered == maxUnanswered {
		d.unresponsiveAt[n.VM] = time.Now()
		select {
		case d.refreshNow <- struct{}{}:
		default:
		}
	}
}

func (d *Download) recordHeldChunks(n *neighbour, a *pb.HaveResponse) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n.unanswered = 0
	if d.neighbours[n.VM] != n {
		return
	}
	if a.GetEpoch() != n.epoch {
		d.resetNeighbour(n)
	}
	n.epoch, n.offset = a.GetEpoch(), a.GetNext()
	for _, c := range a.GetChunks() {
		if int(c) < len(d.rarity) && n.Has.Add(id.Chunk(c)) {
			d.recordArrival(id.Chunk(c))
			if d.rarity[c] == 0 {
				d.firstHeldAt[c] = time.Now()
			}
			d.rarity[c]++
		}
	}
	d.wakeScheduler()
}

// resetNeighbour discards the chunk list that a neighbour announced before it restarted.
func (d *Download) resetNeighbour(n *neighbour) {
	for c := range d.rarity {
		if n.Has.Has(id.Chunk(c)) {
			d.rarity[c]--
		}
	}
	n.Has = swarm.NewSet(len(d.rarity))
}

// recordArrival records progress of a chunk's lane if the chunk is new to this VM. This VM's fetches do not count: a VM
// that has taken over a lane continues until another VM makes progress on it.
func (d *Download) recordArrival(c id.Chunk) {
	if d.rarity[c] == 0 && !d.have.Has(c) {
		d.progressAt = time.Now()
		d.fetchedTotal++
		d.originAnswers.Record(d.progressAt, d.maxOriginGap())
		d.recordLaneProgress(d.lanes.Lane(c))
	}
}

// recordLaneProgress records that other VMs have fetched a new chunk of a lane. It does not reset the stall timer of a
// lane that lags behind the others.
func (d *Download) recordLaneProgress(lane int) {
	d.laneDelivered[lane]++
	if !swarm.Lagging(d.laneDelivered, lane) {
		d.laneProgressAt[lane], d.laneProgressTotal[lane] = time.Now(), d.fetchedTotal
	}
}

// fetchChunk fetches a chunk from a neighbour.
func (d *Download) fetchChunk(ctx context.Context, n *neighbour, c id.Chunk) {
	start := time.Now()
	requestCtx, stop := context.WithTimeout(ctx, d.transferTimeout())
	defer stop()
	data, err := d.transport.FetchChunk(requestCtx, n.address, id.Rollout(d.rollout.GetId()), c, d.holding.Size(c))
	o := swarm.Delivered
	switch {
	case errors.Is(err, ErrBusy):
		o = swarm.Busy
	case err != nil:
		o = swarm.Failed
		if ctx.Err() == nil {
			// A redundant transfer of a chunk is cancelled at the end of the download, which is not a failure of the
			// neighbour.
			d.stats.failed.Add(1)
		}
		d.stats.broken.Add(int64(len(data)))
	default:
		d.stats.received.Add(int64(len(data)))
		if !d.storeChunk(ctx, c, data, string(n.VM)) {
			o = swarm.Corrupt
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	sharing := d.activeTransfers()
	n.InFlight--
	d.releaseChunk(c)
	if ctx.Err() == nil {
		n.RecordOutcome(o, time.Now(), d.settings.BusyRetry)
	}
	switch o {
	case swarm.Delivered:
		n.unanswered = 0
		d.delivered++
		d.link.record(time.Since(start), sharing)
		d.meanTransferTime += (time.Since(start) - d.meanTransferTime) / time.Duration(min(d.delivered, meanSamples))
	case swarm.Failed:
		if errors.Is(requestCtx.Err(), context.DeadlineExceeded) {
			d.meanTransferTime += d.meanTransferTime / 2
			d.link.record(time.Since(start), sharing)
		}
		if ctx.Err() == nil {
			d.countUnanswered(n)
		}
	}
	d.wakeScheduler()
}

func (d *Download) releaseChunk(c id.Chunk) {
	d.inFlight[c]--
	if d.inFlight[c] <= 0 {
		delete(d.inFlight, c)
	}
}

// transferTimeout returns the timeout of a transfer, a multiple of the mean transfer time. Until enough chunks have been
// delivered for a mean, only stallTimeout applies, which cancels transfers that receive nothing: a fixed timeout for
// small versions would be too short for a chunk of a large one.
func (d *Download) transferTimeout() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.delivered < minMeanSamples {
		return d.settings.SourceTimeout
	}
	return max(minTransferTimeout, transferTimeoutFactor*d.meanTransferTime)
}

const (
	// meanSamples is the number of deliveries over which the mean transfer time is averaged.
	meanSamples = 4
	// minMeanSamples is the number of deliveries from which on the mean is used.
	minMeanSamples = 3
)

// storeChunk verifies and stores a chunk, and reports whether it was valid.
func (d *Download) storeChunk(ctx context.Context, c id.Chunk, data []byte, from string) bool {
	_, err := d.holding.Add(c, data)
	if err != nil {
		d.recheckManifest(ctx)
		d.stats.corrupt.Add(1)
		d.addEvent(kernel.EventChunkRejected, fmt.Sprintf("chunk %d from %s", c, from))
		d.log.Warn().Err(err).Str("from", from).Msg("discarded a corrupt chunk")
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.have.Add(c)
	return true
}

// objectContent and objectManifest are the names of a version's objects at the store and the origin.
const (
	objectContent  = "content"
	objectManifest = "manifest"
)

// fetchManifest fetches the manifest: VMs of rank 0 from a source, the others from neighbours and, after their takeover
// delay, from a source.
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
			d.fetchManifestFromSource(ctx)
		}
		if d.holding.Manifest() == nil {
			d.requestManifestFromPeers(ctx)
		}
		if d.holding.Manifest() == nil {
			kernel.Pause(ctx, manifestRetryDelay)
		}
	}
	if ctx.Err() != nil {
		return false
	}
	d.addEvent(kernel.EventManifestVerified, "")
	return true
}

func (d *Download) fetchManifestFromSource(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, d.settings.SourceTimeout)
	defer stop()
	got, err := d.transport.FetchFromSource(ctx, d.rollout, objectManifest, 0, -1)
	if err == nil {
		err = d.holding.SetManifest(got.Data)
	}
	if errors.Is(err, ErrCorrupt) {
		d.addEvent(kernel.EventChunkRejected, "manifest from the origin")
		d.setReason("the origin serves another manifest than the rollout pins")
		return
	}
	if err != nil {
		d.setReason("the origin gives no manifest")
	}
}

// requestManifestFromPeers requests the manifest from all neighbours at once and uses the first valid response.
func (d *Download) requestManifestFromPeers(ctx context.Context) {
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
			raw, err := d.transport.FetchManifest(ctx, a, id.Rollout(d.rollout.GetId()))
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
