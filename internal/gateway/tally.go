package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the latency histograms in ms, and their precision in digits.
const (
	leastMs      = 1
	mostMs       = 60_000
	digits       = 2
	histTime     = "time_to_first_event_ms"
	histDecision = "prediction_error_ms"
)

// tally counts outcomes and times.
type tally struct {
	vars  *expvar.Map
	mu    sync.Mutex
	hists map[string]*hdrhistogram.Histogram
}

func newTally() *tally {
	t := &tally{vars: new(expvar.Map), hists: map[string]*hdrhistogram.Histogram{}}
	for _, name := range []string{histTime, histDecision} {
		t.hists[name] = hdrhistogram.New(leastMs, mostMs, digits)
		t.vars.Set(name, expvar.Func(func() any { return t.quantiles(name) }))
	}
	return t
}

func (t *tally) add(name string) {
	t.vars.Add(name, 1)
}

// observe records a time; a negative one counts as its size.
func (t *tally) observe(name string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.hists[name].RecordValue(min(max(d.Abs().Milliseconds(), leastMs), mostMs))
}

func (t *tally) quantiles(name string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hists[name]
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95),
		"p99": h.ValueAtQuantile(99), "max": h.Max(),
	}
}
