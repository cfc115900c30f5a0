package swarm

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Peer is the state of one neighbour as this VM knows it.
type Peer struct {
	VM id.VM
	// Remote is true if the neighbour is in another failure domain.
	Remote bool
	// Has is the set of chunks that the neighbour has announced.
	Has *Set
	// InFlight is the number of transfers in progress from the neighbour.
	InFlight int
	// RetryAt is when the neighbour may be used again after it was busy, failed or sent a corrupt chunk.
	RetryAt time.Time
	// Failures counts recent failures; deliveries halve it.
	Failures int
}

// Limits bounds the concurrent transfers of one VM.
type Limits struct {
	// PerPeer is the maximum number of concurrent transfers from one neighbour.
	PerPeer int
	// Total is the maximum number of concurrent transfers from all neighbours.
	Total int
	// EndgameChunks is the number of missing chunks from which on a chunk in transfer may also be requested from a
	// second neighbour.
	EndgameChunks int
}

// View is the state of a version's transfer on which a VM bases its decisions.
type View struct {
	Now    time.Time
	Chunks int
	Have   *Set
	// InFlight is the number of transfers in progress by chunk.
	InFlight map[id.Chunk]int
	Peers    []*Peer
	// Rarity is the number of neighbours that hold each chunk.
	Rarity []int
	// MayImport reports whether a chunk may be fetched from another failure domain now; nil allows all chunks.
	MayImport func(c id.Chunk) bool
	// KnownFor returns for how long a neighbour has been known to hold a chunk that this VM lacks; nil means that no
	// such times are known.
	KnownFor func(c id.Chunk) time.Duration
	Limits   Limits
}

// PickPeer returns the next chunk and the neighbour to fetch it from: the rarest chunk that an available neighbour
// holds, ties broken at random, from the neighbour with the fewest transfers. It returns a nil neighbour if there is
// none.
func PickPeer(v *View, r *rand.Rand) (id.Chunk, *Peer) {
	free := freePeers(v)
	if len(free) == 0 {
		return 0, nil
	}
	if c, ok := rarest(v, free, r, 0); ok {
		return c, leastBusy(v, free, c, r)
	}
	if v.Chunks-v.Have.Len() > v.Limits.EndgameChunks {
		return 0, nil
	}
	if c, ok := rarest(v, free, r, 1); ok {
		return c, leastBusy(v, free, c, r)
	}
	return 0, nil
}

func freePeers(v *View) []*Peer {
	total := 0
	var free []*Peer
	for _, p := range v.Peers {
		total += p.InFlight
		if p.InFlight < v.Limits.PerPeer && !v.Now.Before(p.RetryAt) {
			free = append(free, p)
		}
	}
	if total >= v.Limits.Total {
		return nil
	}
	return free
}

// rarest returns the missing chunk with exactly inFlight transfers that the fewest neighbours hold.
func rarest(v *View, free []*Peer, r *rand.Rand, inFlight int) (id.Chunk, bool) {
	var best id.Chunk
	lowest, ties := 0, 0
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		n := v.Rarity[c]
		if n == 0 || v.InFlight[c] != inFlight || (lowest > 0 && n > lowest) || !anyCanServe(v, free, c) {
			return true
		}
		if n < lowest || lowest == 0 {
			best, lowest, ties = c, n, 1
			return true
		}
		ties++
		if r.IntN(ties) == 0 {
			best = c
		}
		return true
	})
	return best, lowest > 0
}

// canServe reports whether a chunk may be requested from a neighbour. A neighbour in another failure domain is not used
// while the chunk is available in this VM's domain or another VM has to import it.
func (v *View) canServe(p *Peer, c id.Chunk) bool {
	if !p.Has.Has(c) {
		return false
	}
	return !p.Remote || v.MayImport == nil || (v.MayImport(c) && !v.heldLocally(c))
}

// heldLocally reports whether a neighbour in this VM's failure domain holds a chunk.
func (v *View) heldLocally(c id.Chunk) bool {
	for _, p := range v.Peers {
		if !p.Remote && p.Has.Has(c) {
			return true
		}
	}
	return false
}

func anyCanServe(v *View, peers []*Peer, c id.Chunk) bool {
	for _, p := range peers {
		if v.canServe(p, c) {
			return true
		}
	}
	return false
}

func leastBusy(v *View, peers []*Peer, c id.Chunk, r *rand.Rand) *Peer {
	var best *Peer
	ties := 0
	for _, p := range peers {
		if !v.canServe(p, c) {
			continue
		}
		switch {
		case best == nil || p.InFlight < best.InFlight:
			best, ties = p, 1
		case p.InFlight == best.InFlight:
			ties++
			if r.IntN(ties) == 0 {
				best = p
			}
		}
	}
	return best
}

// PickOriginChunk returns the lane's next chunk to fetch from the origin, one that no neighbour holds. The VM of rank 0
// fetches in order, so that the origin's link carries few chunks at a time and the first ones spread early. A VM of a
// higher rank starts from the end: rank 0 may only be slow, and its next chunks should not be fetched twice.
func PickOriginChunk(v *View, l Lanes, lane, rank int) (id.Chunk, bool) {
	var next id.Chunk
	ok := false
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		if l.Lane(c) == lane && v.Rarity[c] == 0 && v.InFlight[c] == 0 {
			next, ok = c, true
		}
		return !ok || rank > 0
	})
	return next, ok
}

const (
	// stalledRankDelay is how long, per rank, neighbours may hold a chunk without sending it before a VM of the lane
	// fetches it from the origin. On typical links a chunk reaches half of the VMs within 1.1 s of its fetch.
	stalledRankDelay = 1200 * time.Millisecond
	// stalledRankDelayIdle replaces stalledRankDelay once all chunks have been fetched from the origin and its link is
	// free.
	stalledRankDelayIdle = 500 * time.Millisecond
)

// PickStalledChunk returns a chunk of the lane that neighbours have held for long without this VM receiving it: the link
// of the VM that fetched it may be slow while the origin's is free. The VM of rank 0 usually fetched the lane's chunks itself
// and lacks one only after a restart; it then waits as long as the VM of rank 1.
func PickStalledChunk(v *View, l Lanes, lane, rank int) (id.Chunk, bool) {
	var next id.Chunk
	ok := false
	if rank < 0 || v.KnownFor == nil {
		return next, ok
	}
	delay := stalledRankDelayIdle
	if v.anyUnfetched() {
		delay = stalledRankDelay
	}
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		ok = l.Lane(c) == lane && v.Rarity[c] > 0 && v.KnownFor(c) >= time.Duration(max(1, rank))*delay
		next = c
		return !ok
	})
	return next, ok
}

// anyUnfetched reports whether there is a chunk that no known VM holds.
func (v *View) anyUnfetched() bool {
	found := false
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		found = v.Rarity[c] == 0
		return !found
	})
	return found
}

const (
	// backoffBase is the backoff after a neighbour's first failure.
	backoffBase = 250 * time.Millisecond
	// maxBackoff bounds the exponential backoff.
	maxBackoff = 30 * time.Second
	// corruptFailures is the number of failures that a corrupt chunk counts as.
	corruptFailures = 6
)

// Outcome is the result of a transfer.
type Outcome int

// The outcomes of a transfer.
const (
	Delivered Outcome = iota
	Busy
	Failed
	Corrupt
)

// RecordOutcome updates a neighbour's failure count and backoff after a transfer. A delivered chunk halves the failure
// count.
func (p *Peer) RecordOutcome(o Outcome, now time.Time, busyRetry time.Duration) {
	switch o {
	case Delivered:
		p.Failures /= 2
	case Busy:
		p.RetryAt = now.Add(busyRetry)
	case Failed:
		p.Failures++
		p.RetryAt = now.Add(backoff(p.Failures))
	case Corrupt:
		p.Failures += corruptFailures
		p.RetryAt = now.Add(backoff(p.Failures))
	}
}

func backoff(failures int) time.Duration {
	d := backoffBase
	for range failures - 1 {
		d = min(2*d, maxBackoff)
	}
	return d
}
