package placement

import (
	"slices"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// patienceWindow is the length of a window of observed patience. As the previous window counts too, a maximum is
	// kept for one to two windows. That is long compared with the time after which a refused caller returns, and short
	// compared with changes of a route's callers.
	patienceWindow = 15 * time.Second
	// minTimeLost is the shortest lost time that marks a request as a retry; smaller differences are the callers' own
	// variation.
	minTimeLost = 50 * time.Millisecond
	// maxVariationSamples is the number of first attempts from which the callers' own variation is learnt, and
	// minVariationSamples the number from which on it is used.
	maxVariationSamples, minVariationSamples = 128, 16
	// variationQuantile is the quantile of the samples that counts as the callers' variation. Some samples are not of first
	// attempts, as other gateways refuse callers too.
	variationQuantile = 0.98
)

// PatienceTracker learns, for each route, how long callers wait in total, counted from their first attempt. A returning
// caller states the remaining part, so the difference to the total is the time that it has lost already. Where callers
// differ in their patience, a difference that is usual among first attempts tells nothing. It is safe for concurrent use.
type PatienceTracker struct {
	now       func() time.Time
	mu        sync.Mutex
	routes    map[id.Route]*windowMaxima
	windowEnd time.Time
	// samples are the shares of their route's patience that first attempts lacked, the newest at the end, and variation is
	// their upper quantile. Attempts count as first ones from firstAttemptsFrom on.
	samples           []float64
	variation         float64
	firstAttemptsFrom time.Time
}

// windowMaxima is the longest patience of the previous window and of the current one.
type windowMaxima struct {
	previous, current time.Duration
}

// NewPatienceTracker returns a tracker without routes.
func NewPatienceTracker(now func() time.Time) *PatienceTracker {
	return &PatienceTracker{now: now, routes: map[id.Route]*windowMaxima{}, windowEnd: now().Add(patienceWindow)}
}

// TimeLost records a caller's stated patience and returns the time that it lost before this attempt; 0 if it states
// none.
func (p *PatienceTracker) TimeLost(r id.Route, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rotateWindow()
	maxima := p.routes[r]
	if maxima == nil {
		maxima = &windowMaxima{}
		p.routes[r] = maxima
	}
	maxima.current = max(maxima.current, patience)
	total := max(maxima.previous, maxima.current)
	lost := total - patience
	missing := float64(lost) / float64(total)
	if !p.now().Before(p.firstAttemptsFrom) {
		p.learnVariation(missing)
	}
	if lost < minTimeLost || missing <= p.variation {
		return 0
	}
	return lost - time.Duration(p.variation/2*float64(total))
}

// RecordRefusal records that a caller is about to return, so that the attempts of the next time may not be first ones.
func (p *PatienceTracker) RecordRefusal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	longest := time.Duration(0)
	for _, m := range p.routes {
		longest = max(longest, m.previous, m.current)
	}
	p.firstAttemptsFrom = p.now().Add(time.Duration(maxRetryAfterShare * float64(longest)))
}

// learnVariation adds the sample of a first attempt. The caller holds the lock.
func (p *PatienceTracker) learnVariation(missing float64) {
	p.samples = append(p.samples, missing)
	if len(p.samples) > maxVariationSamples {
		p.samples = p.samples[1:]
	}
	if len(p.samples) >= minVariationSamples {
		l := slices.Clone(p.samples)
		slices.Sort(l)
		p.variation = l[int(variationQuantile*float64(len(l)-1))]
	}
}

// rotateWindow begins a new window when the current one has ended, and drops routes without callers in both. The caller
// holds the lock.
func (p *PatienceTracker) rotateWindow() {
	now := p.now()
	if now.Before(p.windowEnd) {
		return
	}
	p.windowEnd = now.Add(patienceWindow)
	for r, maxima := range p.routes {
		if maxima.current == 0 {
			delete(p.routes, r)
			continue
		}
		maxima.previous, maxima.current = maxima.current, 0
	}
}
