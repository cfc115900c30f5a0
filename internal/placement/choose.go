package placement

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// crossDomainCost is added to the cost of an upstream in another failure domain: the network round trip and the
	// price of the bytes, which at the users' prices is close to a hundredth of a request's worth.
	crossDomainCost = 25 * time.Millisecond
	// costJitter is the random share of a cost, so that several processes with the same view do not all choose the same
	// one of equal upstreams. A larger one sends requests to upstreams where they begin later.
	costJitter = 0.02
	// unreportedCost is added to the cost of an upstream without a fresh report. Reports are at most a fifth of a second
	// old while its stager runs.
	unreportedCost = 60 * time.Millisecond
)

// Choice is a selected upstream with its predicted time to the first event.
type Choice struct {
	Candidate
	Predicted time.Duration
	// HasCapacity is true if the upstream's engine can serve the request in time along with the other requests expected
	// there.
	HasCapacity bool
}

// Choose selects an upstream for a request among those not tried yet; suspects are used only if there is no other.
// Forecast describes how reported loads are projected to the present.
func Choose(candidates []Candidate, tried map[id.Instance]bool, forecast *Forecast, r *rand.Rand) (Choice, bool) {
	l := ChooseSeveral(candidates, tried, forecast, 1, r)
	if len(l) == 0 {
		return Choice{}, false
	}
	return l[0], true
}

// ChooseSeveral returns up to n distinct choices from one assignment; the first is the one that Choose returns for the
// same random numbers.
func ChooseSeveral(candidates []Candidate, tried map[id.Instance]bool, forecast *Forecast, n int, r *rand.Rand) []Choice {
	y := assignments.Get().(*assignment)
	defer assignments.Put(y)
	for _, suspects := range []bool{false, true} {
		if y.prepare(candidates, tried, forecast, r, suspects); len(y.options) > 0 {
			return y.choose(n, r)
		}
	}
	return nil
}

// plainServiceTime is the assumed time per request of an upstream that is not an engine; only ratios between upstreams
// matter.
const plainServiceTime = 60 * time.Millisecond

// PredictPlainService predicts the response time of an upstream that is not an engine from this process's requests in
// flight there.
func PredictPlainService(c *Candidate) time.Duration {
	return plainServiceTime * time.Duration(1+c.InFlight)
}

const (
	// targetShare is the share of the latency target that a prediction may use; the rest covers the network path back to
	// the caller.
	targetShare = 0.9
)

// InTime reports whether a predicted first event meets the latency target, given the time that has already elapsed.
func InTime(predicted, elapsed, target time.Duration) bool {
	return float64(predicted+elapsed) <= targetShare*float64(target)
}

const (
	// minRetryAfter is the shortest Retry-After of a refusal: an upstream's queue advances by three requests in it.
	minRetryAfter = 300 * time.Millisecond
	// maxRetryAfterShare is the largest share of a caller's remaining patience that it accepts as Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// NoUpstreamRetryAfter is the Retry-After where a pool has no upstream: a replacement takes about 3 s to load.
	NoUpstreamRetryAfter = 3 * time.Second
)

// RetryAfter returns the Retry-After of a refusal: the time until capacity is expected, bounded by what a caller with
// the given remaining patience accepts, and jittered so that callers do not return all at once.
func RetryAfter(capacityIn, remaining time.Duration, r *rand.Rand) time.Duration {
	longest := max(minRetryAfter, time.Duration(maxRetryAfterShare*float64(remaining)))
	d := min(max(capacityIn, minRetryAfter), longest)
	return min(d+time.Duration(r.Float64()*float64(minRetryAfter)), longest)
}
