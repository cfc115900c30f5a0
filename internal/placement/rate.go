package placement

import (
	"math"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// rateTimeConstant is the time constant of the average: it spans some tens of requests of a gateway at the users' load,
// and is short compared with a burst.
const rateTimeConstant = time.Second

// RateMeter measures the requests per second that this process receives for each pool, as an exponentially decaying
// average. It is safe for concurrent use.
type RateMeter struct {
	now   func() time.Time
	mu    sync.Mutex
	pools map[id.Pool]*decayingCount
}

// decayingCount is a count that decays by the factor e in each rateTimeConstant. fillFraction is the share of its steady
// state that it would have reached by now under a constant rate.
type decayingCount struct {
	count, fillFraction float64
	at                  time.Time
}

// NewRateMeter returns a meter without requests.
func NewRateMeter(now func() time.Time) *RateMeter {
	return &RateMeter{now: now, pools: map[id.Pool]*decayingCount{}}
}

// Record counts a request for a pool.
func (r *RateMeter) Record(p id.Pool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current(p).count++
}

// PerSecond returns the current rate of requests for a pool.
func (r *RateMeter) PerSecond(p id.Pool) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current(p).perSecond()
}

// Total returns the current rate over all pools.
func (r *RateMeter) Total() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0.0
	for p := range r.pools {
		sum += r.current(p).perSecond()
	}
	return sum
}

// minFillFraction keeps the first few requests of a process from being extrapolated to a burst: it is reached after a
// tenth of rateTimeConstant.
const minFillFraction = 0.1

// perSecond returns the rate that corresponds to the count.
func (d *decayingCount) perSecond() float64 {
	return d.count / (max(d.fillFraction, minFillFraction) * rateTimeConstant.Seconds())
}

// current returns a pool's count, decayed to the present. The caller holds the lock.
func (r *RateMeter) current(p id.Pool) *decayingCount {
	now := r.now()
	d := r.pools[p]
	if d == nil {
		d = &decayingCount{at: now}
		r.pools[p] = d
	}
	if elapsed := now.Sub(d.at); elapsed > 0 {
		decay := math.Exp(-elapsed.Seconds() / rateTimeConstant.Seconds())
		d.count *= decay
		d.fillFraction = 1 - (1-d.fillFraction)*decay
		d.at = now
	}
	return d
}
