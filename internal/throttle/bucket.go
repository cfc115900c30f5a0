package throttle

import (
	"math"
	"time"
)

// burst is the maximum number of unused permits: a request arrives some time after a permit became available for it, and
// a permit that was not taken by then is not lost.
const burst = 2

// bucket is a token bucket of permits. It starts empty, since permits issued just before its start are not known.
type bucket struct {
	rate      Rate
	tokens    float64
	updatedAt time.Time
}

// refill adds the permits that have become available by now.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.tokens = min(b.tokens+float64(b.rate)*d.Seconds(), burst)
		b.updatedAt = now
	}
}

// setRate changes the rate from now on.
func (b *bucket) setRate(r Rate, now time.Time) {
	b.refill(now)
	b.rate = r
}

// take consumes a permit if one is available.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// giveBack returns a permit that was not used.
func (b *bucket) giveBack(now time.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, burst)
}

// available returns the number of whole permits.
func (b *bucket) available(now time.Time) int {
	b.refill(now)
	return int(b.tokens)
}

// untilNext returns the time until a permit is available; 0 if one is.
func (b *bucket) untilNext(now time.Time) time.Duration {
	b.refill(now)
	if b.tokens >= 1 {
		return 0
	}
	if s := (1 - b.tokens) / float64(b.rate); s < maxWait.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxWait
}

// maxWait bounds the result of untilNext, which a low rate would raise beyond a Duration. No caller waits as long.
const maxWait = time.Duration(math.MaxInt64 / 2)
