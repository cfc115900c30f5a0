package gateway

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// The range of the latency histograms in ms, their precision in significant digits, and their names.
const (
	minLatencyMs        = 1
	maxLatencyMs        = 60_000
	histogramDigits     = 2
	histFirstEvent      = "time_to_first_event_ms"
	histPredictionError = "prediction_error_ms"
)

// metrics holds the counters of outcomes and the latency histograms.
type metrics struct {
	vars       *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	t := &metrics{vars: new(expvar.Map), histograms: map[string]*hdrhistogram.Histogram{}}
	for _, name := range []string{histFirstEvent, histPredictionError} {
		t.histograms[name] = hdrhistogram.New(minLatencyMs, maxLatencyMs, histogramDigits)
		t.vars.Set(name, expvar.Func(func() any { return t.quantiles(name) }))
	}
	return t
}

func (t *metrics) count(name string) {
	t.vars.Add(name, 1)
}

func (t *metrics) add(name string, n int) {
	t.vars.Add(name, int64(n))
}

// observe records the absolute value of a duration.
func (t *metrics) observe(name string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.histograms[name].RecordValue(min(max(d.Abs().Milliseconds(), minLatencyMs), maxLatencyMs))
}

func (t *metrics) quantiles(name string) map[string]int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.histograms[name]
	return map[string]int64{
		"count": h.TotalCount(), "p50": h.ValueAtQuantile(50), "p95": h.ValueAtQuantile(95),
		"p99": h.ValueAtQuantile(99), "max": h.Max(),
	}
}
