package placement

import (
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
)

// PatienceTracker learns, for each route, how long callers wait in total, counted from their first attempt. A returning
// caller states the remaining part, so the difference to the total is the time that it has lost already. It is safe for
// concurrent use.
type PatienceTracker struct {
	now       func() time.Time
	mu        sync.Mutex
	routes    map[id.Route]*windowMaxima
	windowEnd time.Time
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
	lost := max(maxima.previous, maxima.current) - patience
	if lost < minTimeLost {
		return 0
	}
	return lost
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
