package placement

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// budgetParts is the number of parts that a window is counted in. Any span of the window's length touches one part
	// more, and has at least one part less whole: repeats are counted over the former, requests over the latter.
	budgetParts = 10
	keptParts   = budgetParts + 1
	// budgetShare is the part of the fleet's allowance that is used: requests are spread unevenly over gateways, and
	// the number of gateways is known only with a lag.
	budgetShare = 0.7
)

// RetryBudgetRule is what all gateways together may send beyond the first send of each request.
type RetryBudgetRule struct {
	// Ratio is the allowance for each request in the window, and Slack what is allowed on top.
	Ratio, Slack float64
	Window       time.Duration
}

// RetryBudget keeps this process within its part of the fleet's allowance without a message: the ratio counts its own
// requests only, and the slack is shared equally by the gateways known.
type RetryBudget struct {
	rule     RetryBudgetRule
	gateways func() int
	now      func() time.Time
	// start is the zero of the parts: differences of times follow the steady clock, whatever the time of day does.
	start time.Time
	mu    sync.Mutex
	pools map[id.Pool]*window
}

// window counts requests and repeats by parts of the window.
type window struct {
	newest   int64
	requests [keptParts]int
	repeats  [keptParts]int
}

// NewRetryBudget makes a budget; gateways returns how many processes share it.
func NewRetryBudget(r RetryBudgetRule, gateways func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{rule: r, gateways: gateways, now: now, start: now(), pools: map[id.Pool]*window{}}
}

func (b *RetryBudget) window(p id.Pool) (*window, int) {
	w := b.pools[p]
	if w == nil {
		w = &window{}
		b.pools[p] = w
	}
	part := keptParts + int64(b.now().Sub(b.start)/(b.rule.Window/budgetParts))
	for w.newest < part {
		w.newest = max(w.newest+1, part-keptParts)
		i := w.newest % keptParts
		w.requests[i], w.repeats[i] = 0, 0
	}
	return w, int(part % keptParts)
}

// RecordRequest notes a request for a pool.
func (b *RetryBudget) RecordRequest(p id.Pool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(p)
	w.requests[i]++
}

// TakeRetry allows a repeated send, or not.
func (b *RetryBudget) TakeRetry(p id.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, i := b.window(p)
	if !b.left(w, i) {
		return false
	}
	w.repeats[i]++
	return true
}

// RetryAvailable says whether a repeated send would be allowed now.
func (b *RetryBudget) RetryAvailable(p id.Pool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left(b.window(p))
}

func (b *RetryBudget) left(w *window, i int) bool {
	requests, repeats := 0, 0
	for back := range keptParts {
		k := (i + keptParts - back) % keptParts
		repeats += w.repeats[k]
		if back < budgetParts-1 {
			requests += w.requests[k]
		}
	}
	slack := b.rule.Slack / float64(max(1, b.gateways()))
	return float64(repeats+1) <= budgetShare*(b.rule.Ratio*float64(requests)+slack)
}
