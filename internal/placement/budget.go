package placement

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// budgetBuckets is the number of buckets that a window is counted in. Any span of the window's length touches one
	// bucket more, and covers at least one bucket less in full: retries are counted over the former, requests over the
	// latter, so the budget is never exceeded in any span.
	budgetBuckets = 10
	keptBuckets   = budgetBuckets + 1
	// budgetUtilisation is the share of the fleet's allowance that is used: requests are spread unevenly over gateways,
	// and the number of gateways is known only with a lag.
	budgetUtilisation = 0.7
	// startUtilisation and startSlackShare replace budgetUtilisation for the ratio and for the slack in the first window after a
	// process's start, as its predecessor may just have used its share. Requests count for one process only, but each start
	// has its slack: the rest of it suffices for three starts in a window.
	startUtilisation = 1 - budgetUtilisation
	startSlackShare  = startUtilisation / 3
	// gatewayMemory is how long the largest number of known gateways is used after fewer are known: a process that is cut off
	// from others can't tell that from their end.
	gatewayMemory = 10 * time.Minute
)

// RetryBudgetRule is the fleet-wide limit on retries: what all gateways together may send beyond the first attempt of
// each request.
type RetryBudgetRule struct {
	// Ratio is the number of retries allowed per request in the window, and Slack the number allowed in addition.
	Ratio, Slack float64
	Window       time.Duration
}

// RetryBudget keeps this process within its share of the fleet's retry allowance without coordination: the ratio counts
// only its own requests, and the slack is divided equally by the number of known gateways.
type RetryBudget struct {
	rule     RetryBudgetRule
	gateways func() int
	now      func() time.Time
	// origin is the time from which buckets are numbered. Differences to it use the monotonic clock, so that changes of
	// the wall clock have no effect.
	origin time.Time
	mu     sync.Mutex
	pools  map[id.Pool]*window
	// gatewayCount is the number that the slack is divided by, and countedAt when so many were last known.
	gatewayCount int
	countedAt    time.Time
	countBucket  int64
}

// window counts requests and retries of one pool in a ring of buckets.
type window struct {
	newestBucket int64
	requests     [keptBuckets]int
	retries      [keptBuckets]int
}

// NewRetryBudget returns an unused retry budget; gateways returns how many processes share the rule.
func NewRetryBudget(r RetryBudgetRule, gateways func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{rule: r, gateways: gateways, now: now, origin: now(), pools: map[id.Pool]*window{}}
}

func (b *RetryBudget) window(p id.Pool) (*window, int) {
	w := b.pools[p]
	if w == nil {
		w = &window{}
		b.pools[p] = w
	}
	now := b.now()
	bucket := keptBuckets + int64(now.Sub(b.origin)/(b.rule.Window/budgetBuckets))
	b.countGateways(bucket, now)
	for w.newestBucket < bucket {
		w.newestBucket = max(w.newestBucket+1, bucket-keptBuckets)
		i := w.newestBucket % keptBuckets
		w.requests[i], w.retries[i] = 0, 0
	}
	return w, int(bucket % keptBuckets)
}

// countGateways updates the number of gateways once in each bucket. The caller holds the lock.
func (b *RetryBudget) countGateways(bucket int64, now time.Time) {
	if b.countBucket == bucket {
		return
	}
	b.countBucket = bucket
	n := max(1, b.gateways())
	if n >= b.gatewayCount || now.Sub(b.countedAt) > gatewayMemory || b.justStarted(now) {
		b.gatewayCount, b.countedAt = n, now
	}
}

// justStarted reports whether the window reaches back to a predecessor of this process.
func (b *RetryBudget) justStarted(now time.Time) bool {
	return now.Sub(b.origin) < b.rule.Window
}

// RecordRequest counts a first attempt for a pool.
func (b *RetryBudget) RecordRequest(p id.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(p)
	w.requests[i]++
}

// TakeRetry consumes one retry for a pool, or returns false if the budget is exhausted.
func (b *RetryBudget) TakeRetry(p id.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(p)
	if !b.hasRetry(w, i) {
		return false
	}
	w.retries[i]++
	return true
}

// RetryAvailable reports whether the budget would allow a retry for a pool now.
func (b *RetryBudget) RetryAvailable(p id.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.hasRetry(b.window(p))
}

func (b *RetryBudget) hasRetry(w *window, i int) bool {
	u := b.usage(w, i)
	return float64(u.Retries+1) <= u.Allowed
}

// RetryUsage is the state of the budget for one pool: the requests and retries of this process in the window, the number
// of retries that it may make in it, and the number of processes that the slack is divided by.
type RetryUsage struct {
	Requests, Retries int
	Allowed           float64
	Gateways          int
}

// Usage returns the state of the budget by pool.
func (b *RetryBudget) Usage() map[id.Pool]RetryUsage {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := map[id.Pool]RetryUsage{}
	for p := range b.pools {
		all[p] = b.usage(b.window(p))
	}
	return all
}

func (b *RetryBudget) usage(w *window, i int) RetryUsage {
	u := RetryUsage{Gateways: b.gatewayCount}
	for age := range keptBuckets {
		k := (i + keptBuckets - age) % keptBuckets
		u.Retries += w.retries[k]
		if age < budgetBuckets-1 {
			u.Requests += w.requests[k]
		}
	}
	share, slackShare := budgetUtilisation, budgetUtilisation
	if b.justStarted(b.now()) {
		share, slackShare = startUtilisation, startSlackShare
	}
	u.Allowed = share*b.rule.Ratio*float64(u.Requests) + slackShare*b.rule.Slack/float64(u.Gateways)
	return u
}
