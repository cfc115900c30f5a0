package callerapi

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatencyMs is the maximum of the latency histogram in ms.
	maxLatencyMs = 600_000
	// histogramDigits is the precision of the latency histogram in significant digits.
	histogramDigits = 2
)

// metrics counts requests by outcome and measures their latency.
type metrics struct {
	outcomes  *expvar.Map
	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{outcomes: new(expvar.Map), latencies: hdrhistogram.New(1, maxLatencyMs, histogramDigits)}
}

// record counts a request that started at the given time.
func (t *metrics) record(outcome string, start time.Time) {
	t.outcomes.Add(outcome, 1)
	t.mu.Lock()
	defer t.mu.Unlock()
	_ = t.latencies.RecordValue(min(maxLatencyMs, time.Since(start).Milliseconds()))
}

// quantiles holds latency percentiles in ms.
type quantiles struct {
	P50 int64 `json:"p50"`
	P95 int64 `json:"p95"`
	P99 int64 `json:"p99"`
}

func (t *metrics) quantiles() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	return quantiles{P50: t.latencies.ValueAtQuantile(50), P95: t.latencies.ValueAtQuantile(95), P99: t.latencies.ValueAtQuantile(99)}
}
