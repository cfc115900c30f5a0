package transfer

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// ReachableShare returns the share of the chunks that this VM or a neighbour holds, from 0 to 1.
func (d *Download) ReachableShare() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.rarity) == 0 {
		return 0
	}
	return float64(d.reachable()) / float64(len(d.rarity))
}

// MinRemaining returns how long the source takes for the chunks that neither this VM nor a neighbour holds, at the mean
// pace up to the last new chunk. An outage since then does not count.
func (d *Download) MinRemaining() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	reachable := d.reachable()
	if reachable == 0 || d.progressAt.Before(d.startedAt) {
		return 0
	}
	return d.progressAt.Sub(d.startedAt) * time.Duration(len(d.rarity)-reachable) / time.Duration(reachable)
}

// reachable returns the number of chunks that this VM or a neighbour holds. The caller holds the lock.
func (d *Download) reachable() int {
	reachable := 0
	for c, n := range d.rarity {
		if n > 0 || d.have.Has(id.Chunk(c)) {
			reachable++
		}
	}
	return reachable
}
