package throttle

import (
	"math"
	"time"
)

// burst is the most permits that lie ready: a caller's request comes some time after the permit that it takes, and one
// that nobody took by then is not lost.
const burst = 2

// bucket fills with permits at a rate. It begins empty: what had a permit just before it began is not known.
type bucket struct {
	rate Rate
	left float64
	at   time.Time
}

// fill brings the bucket to the present.
func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.left = min(b.left+float64(b.rate)*d.Seconds(), burst)
		b.at = now
	}
}

// set changes the rate from now on.
func (b *bucket) set(r Rate, now time.Time) {
	b.fill(now)
	b.rate = r
}

// take takes a permit if there is one.
func (b *bucket) take(now time.Time) bool {
	b.fill(now)
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// whole is how many permits are there.
func (b *bucket) whole(now time.Time) int {
	b.fill(now)
	return int(b.left)
}

// due is how long it takes until the next permit is there.
func (b *bucket) due(now time.Time) time.Duration {
	b.fill(now)
	if b.left >= 1 {
		return 0
	}
	if s := (1 - b.left) / float64(b.rate); s < never.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return never
}

// never is longer than any caller waits.
const never = time.Duration(math.MaxInt64 / 2)
