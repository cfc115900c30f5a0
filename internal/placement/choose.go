package placement

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// farCost is what a send beyond the own failure domain is counted as: two ways through the network and the price
	// of the bytes, which at the users' prices is near a hundredth of a request's worth.
	farCost = 25 * time.Millisecond
	// jitter is the share of a cost that is drawn at random, so that several processes with the same view do not all
	// choose the same one of equals (BenchmarkChoiceOnOldViews); more of it sends requests where others would begin sooner.
	jitter = 0.02
	// unknownCost is added where an upstream's own figures are missing: they are a fifth of a second old at the most
	// while its stager lives.
	unknownCost = 60 * time.Millisecond
)

// Choice is an upstream with the time until the first event that it was chosen for.
type Choice struct {
	Candidate
	Predicted time.Duration
	// HasCapacity says that the upstream's engine has time for the request beside what else is expected to be sent.
	HasCapacity bool
}

// Choose returns an upstream for a request among those not tried; suspects only where nothing else is left. See Forecast
// for how the upstreams' figures are carried on to the present.
func Choose(l []Candidate, tried map[id.Instance]bool, w *Forecast, r *rand.Rand) (Choice, bool) {
	y := layouts.Get().(*layout)
	defer layouts.Put(y)
	for _, suspects := range []bool{false, true} {
		if y.fill(l, tried, w, r, suspects); len(y.options) > 0 {
			return y.draw(r), true
		}
	}
	return Choice{}, false
}

// usualWork is the time that a plain upstream is taken to need for a request; only ratios between upstreams matter.
const usualWork = 60 * time.Millisecond

// PredictPlainService predicts the answer of an upstream that is no engine from this process's own requests there.
func PredictPlainService(c *Candidate) time.Duration {
	return usualWork * time.Duration(1+c.InFlight)
}

const (
	// aimShare is the part of the aim that a prediction may fill: what is left covers the way back.
	aimShare = 0.9
)

// InTime says whether a predicted first event keeps the aim after what has passed already.
func InTime(predicted, passed, aim time.Duration) bool {
	return float64(predicted+passed) <= aimShare*float64(aim)
}

const (
	// leastRetry is the shortest time after which a refused caller is asked to come back: the queue of an upstream moves by
	// three requests in it.
	leastRetry = 300 * time.Millisecond
	// retryShare is the part of the time that they have left that callers heed.
	retryShare = 1.0 / 3
	// NoUpstreamRetryAfter is when a caller may come back where no upstream is there: an empty one is filled in about 3 s.
	NoUpstreamRetryAfter = 3 * time.Second
)

// RetryAfter is when there is expected to be room again, within what a caller heeds that has a time left, and spread so that
// callers do not come back at once.
func RetryAfter(room, left time.Duration, r *rand.Rand) time.Duration {
	most := max(leastRetry, time.Duration(retryShare*float64(left)))
	d := min(max(room, leastRetry), most)
	return min(d+time.Duration(r.Float64()*float64(leastRetry)), most)
}
