package placement

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// patienceWindow is how long the longest patience seen on a route counts at least, and twice that at most: long
	// against the time after which a refused caller comes back, short against changes of a route's callers.
	patienceWindow = 15 * time.Second
	// leastLost is the shortest lost time that is taken for a second try; less is the callers' own spread.
	leastLost = 50 * time.Millisecond
)

// PatienceTracker learns by route how long callers wait from their first try on. A caller that comes back says what is left of
// that, so the difference is the time that it has lost already. It is safe for concurrent use.
type PatienceTracker struct {
	now    func() time.Time
	mu     sync.Mutex
	routes map[id.Route]*longest
	turn   time.Time
}

// longest is the longest patience of the window before and of the current one.
type longest struct {
	before, current time.Duration
}

// NewPatienceTracker makes an empty record.
func NewPatienceTracker(now func() time.Time) *PatienceTracker {
	return &PatienceTracker{now: now, routes: map[id.Route]*longest{}, turn: now().Add(patienceWindow)}
}

// TimeLost notes a caller's patience and returns the time that it has lost before this try; 0 where it says none.
func (p *PatienceTracker) TimeLost(r id.Route, patience time.Duration) time.Duration {
	if patience <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance()
	l := p.routes[r]
	if l == nil {
		l = &longest{}
		p.routes[r] = l
	}
	l.current = max(l.current, patience)
	lost := max(l.before, l.current) - patience
	if lost < leastLost {
		return 0
	}
	return lost
}

// advance begins a new window where the current one is over, and forgets routes without callers in both. The caller
// holds the lock.
func (p *PatienceTracker) advance() {
	now := p.now()
	if now.Before(p.turn) {
		return
	}
	p.turn = now.Add(patienceWindow)
	for r, l := range p.routes {
		if l.current == 0 {
			delete(p.routes, r)
			continue
		}
		l.before, l.current = l.current, 0
	}
}
