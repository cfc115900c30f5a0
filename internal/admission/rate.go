package admission

import (
	"math"
	"time"
)

const (
	// rateTimeConstant is the time constant of offered rates. It spans about 20 questions of an engine, and a burst of a
	// few seconds shows before most of it has passed.
	rateTimeConstant = 700 * time.Millisecond
	// minQuestions is the number of questions below which a rate shows nothing.
	minQuestions = 10
	// significance is the number of standard errors by which a rate must exceed a bound. With a sample of 30 questions a
	// second the standard error is about 0.15 of the rate.
	significance = 0.5
)

// rate is an exponentially decaying rate of weighted events. It starts at zero and isn't extrapolated, so that the first
// events after a pause don't look like a burst.
type rate struct {
	// sum is the decayed sum of the weights, and squares that of their squares, which gives the standard error.
	sum, squares float64
	at           time.Time
}

// advance decays the rate to the present.
func (r *rate) advance(now time.Time) {
	if d := now.Sub(r.at); d > 0 {
		decay := math.Exp(-float64(d) / float64(rateTimeConstant))
		r.sum *= decay
		r.squares *= decay * decay
		r.at = now
	}
}

// add counts an event.
func (r *rate) add(weight float64, now time.Time) {
	r.advance(now)
	r.sum += weight
	r.squares += weight * weight
}

// merge adds the events of another rate.
func (r *rate) merge(o *rate, now time.Time) {
	if o.sum > 0 {
		o.advance(now)
		r.advance(now)
		r.sum += o.sum
		r.squares += o.squares
	}
}

// perSecond returns the rate as of the last change.
func (r *rate) perSecond() float64 {
	return r.sum / rateTimeConstant.Seconds()
}

// exceeds reports whether the rate as of the last change is higher than a bound by more than its noise.
func (r *rate) exceeds(perSecond float64) bool {
	return r.sum*r.sum >= minQuestions*r.squares && (r.sum-significance*math.Sqrt(r.squares))/rateTimeConstant.Seconds() > perSecond
}

// excess returns by how much the rate exceeds a bound, 0 if it does not.
func (r *rate) excess(perSecond float64) float64 {
	if !r.exceeds(perSecond) {
		return 0
	}
	return r.perSecond() - perSecond
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time
}

// refill adds the tokens of the time since the last refill, up to a depth.
func (b *bucket) refill(perSecond, depth float64, now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(depth, b.tokens+perSecond*d.Seconds())
		b.at = now
	}
}

// take takes a token and reports whether there was one. Admissions for which there is none leave no debt.
func (b *bucket) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
