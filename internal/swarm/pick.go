package swarm

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Peer is what a VM knows of one neighbour.
type Peer struct {
	VM id.VM
	// Remote is true in another failure domain.
	Remote bool
	// Has holds the chunks that the neighbour has said it holds.
	Has *Set
	// InFlight is the number of transfers from it.
	InFlight int
	// RetryAt is when it may be asked again after it was busy, failed or served a corrupt chunk.
	RetryAt time.Time
	// Failures counts failures that have not yet faded.
	Failures int
}

// Limits bound the transfers of one VM.
type Limits struct {
	// PerPeer is the number of transfers at one time from one neighbour.
	PerPeer int
	// Total is the number of transfers at one time from all neighbours.
	Total int
	// EndgameChunks is the number of missing chunks below which one may be asked of a second neighbour.
	EndgameChunks int
}

// View is what a VM knows of one version when it decides.
type View struct {
	Now    time.Time
	Chunks int
	Have   *Set
	// InFlight is the number of transfers of a chunk under way.
	InFlight map[id.Chunk]int
	Peers    []*Peer
	// Rarity is the number of neighbours that hold a chunk.
	Rarity []int
	// MayImport says whether a chunk may be taken from another failure domain now; nil allows all.
	MayImport func(c id.Chunk) bool
	// KnownFor is how long a neighbour has been known to hold a chunk that this VM lacks; nil knows of none.
	KnownFor func(c id.Chunk) time.Duration
	Limits   Limits
}

// PickPeer chooses the next chunk and the neighbour to take it from: the rarest that a free neighbour holds, ties
// broken at random, from the neighbour with the fewest transfers. It returns nil when there is none.
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
	found, ties := 0, 0
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		n := v.Rarity[c]
		if n == 0 || v.InFlight[c] != inFlight || (found > 0 && n > found) || !anyGives(v, free, c) {
			return true
		}
		if n < found || found == 0 {
			best, found, ties = c, n, 1
			return true
		}
		ties++
		if r.IntN(ties) == 0 {
			best = c
		}
		return true
	})
	return best, found > 0
}

// gives says whether a neighbour may be asked for a chunk. One in another failure domain is left alone while the chunk
// is to be had in the own domain, or is another VM's to bring there.
func (v *View) gives(p *Peer, c id.Chunk) bool {
	if !p.Has.Has(c) {
		return false
	}
	return !p.Remote || v.MayImport == nil || (v.MayImport(c) && !v.near(c))
}

// near says whether a neighbour of the own failure domain holds a chunk.
func (v *View) near(c id.Chunk) bool {
	for _, p := range v.Peers {
		if !p.Remote && p.Has.Has(c) {
			return true
		}
	}
	return false
}

func anyGives(v *View, peers []*Peer, c id.Chunk) bool {
	for _, p := range peers {
		if v.gives(p, c) {
			return true
		}
	}
	return false
}

func leastBusy(v *View, peers []*Peer, c id.Chunk, r *rand.Rand) *Peer {
	var best *Peer
	ties := 0
	for _, p := range peers {
		if !v.gives(p, c) {
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

// PickOriginChunk chooses the lane's next chunk that no neighbour holds. The lane's first VM draws in order, so that the
// origin's link carries few chunks at a time and the first ones are soon in the swarm. A VM that helps out draws from the
// end: the first one may be slow rather than dead, and what it draws next is not drawn twice.
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
	// stuckStep is how long each further rank of a lane lets a chunk lie with neighbours that do not hand it on before it
	// draws the chunk itself. In a burst over the users' links a chunk reaches half of the VMs within 1.1 s of its draw.
	stuckStep = 1200 * time.Millisecond
	// stuckStepIdle is the same once all chunks have been drawn, when the source's link is free.
	stuckStepIdle = 500 * time.Millisecond
)

// PickStalledChunk chooses a chunk of the lane that neighbours have held for long without this VM getting it: its drawer's link
// may carry little, while the source's is free. The lane's first VM has what it drew, unless it has started anew since; then
// it waits no longer than the second.
func PickStalledChunk(v *View, l Lanes, lane, rank int) (id.Chunk, bool) {
	var next id.Chunk
	ok := false
	if rank < 0 || v.KnownFor == nil {
		return next, ok
	}
	step := stuckStepIdle
	if v.undrawn() {
		step = stuckStep
	}
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		ok = l.Lane(c) == lane && v.Rarity[c] > 0 && v.KnownFor(c) >= time.Duration(max(1, rank))*step
		next = c
		return !ok
	})
	return next, ok
}

// undrawn says whether there is a chunk that nobody is known to hold.
func (v *View) undrawn() bool {
	found := false
	v.Have.Missing(v.Chunks, func(c id.Chunk) bool {
		found = v.Rarity[c] == 0
		return !found
	})
	return found
}

const (
	// blameBase is how long a neighbour is left alone after its first failure.
	blameBase = 250 * time.Millisecond
	// blameMost bounds that.
	blameMost = 30 * time.Second
	// corruptFailures is how many failures a corrupt chunk counts as.
	corruptFailures = 6
)

// Outcome is how a transfer ended.
type Outcome int

// The outcomes of a transfer.
const (
	Delivered Outcome = iota
	Busy
	Failed
	Corrupt
)

// RecordOutcome updates a neighbour after a transfer. A delivered chunk halves its blame.
func (p *Peer) RecordOutcome(o Outcome, now time.Time, busyRetry time.Duration) {
	switch o {
	case Delivered:
		p.Failures /= 2
	case Busy:
		p.RetryAt = now.Add(busyRetry)
	case Failed:
		p.Failures++
		p.RetryAt = now.Add(blame(p.Failures))
	case Corrupt:
		p.Failures += corruptFailures
		p.RetryAt = now.Add(blame(p.Failures))
	}
}

func blame(failures int) time.Duration {
	d := blameBase
	for range failures - 1 {
		d = min(2*d, blameMost)
	}
	return d
}
