package placement

import (
	"math"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// rateMemory is the time over which requests are averaged: some tens of a gateway's at the users' load, and short against
// a burst.
const rateMemory = time.Second

// RateMeter follows how many requests of a kind a second come to this process for each pool. It is safe for concurrent use.
type RateMeter struct {
	now   func() time.Time
	mu    sync.Mutex
	pools map[id.Pool]*decayed
}

// decayed is a count that decays by e in a rateMemory, and how much of a steady count would be there by now.
type decayed struct {
	count, whole float64
	at           time.Time
}

// NewRateMeter makes an empty record.
func NewRateMeter(now func() time.Time) *RateMeter {
	return &RateMeter{now: now, pools: map[id.Pool]*decayed{}}
}

// Record notes a request.
func (r *RateMeter) Record(p id.Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at(p).count++
}

// PerSecond is the present rate of requests for a pool.
func (r *RateMeter) PerSecond(p id.Pool) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at(p).perSecond()
}

// Total is the present rate over all pools.
func (r *RateMeter) Total() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for p := range r.pools {
		sum += r.at(p).perSecond()
	}
	return sum
}

// leastWhole keeps the first few requests of a process from counting as a flood: a tenth of rateMemory has passed.
const leastWhole = 0.1

// perSecond is the rate that the count stands for.
func (d *decayed) perSecond() float64 {
	return d.count / (max(d.whole, leastWhole) * rateMemory.Seconds())
}

// at brings a pool's count to the present; the caller holds the lock.
func (r *RateMeter) at(p id.Pool) *decayed {
	now := r.now()
	d := r.pools[p]
	if d == nil {
		d = &decayed{at: now}
		r.pools[p] = d
	}
	if passed := now.Sub(d.at); passed > 0 {
		left := math.Exp(-passed.Seconds() / rateMemory.Seconds())
		d.count *= left
		d.whole = 1 - (1-d.whole)*left
		d.at = now
	}
	return d
}
