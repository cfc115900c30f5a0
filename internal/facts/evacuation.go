package facts

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Evacuation is a failure domain whose upstreams get no new requests.
type Evacuation struct {
	Domain id.Domain
	// Since is when this process learnt of the evacuation.
	Since time.Time
}

// SetEvacuated begins or ends the evacuation of a failure domain, and returns whether that changed anything.
func (f *Facts) SetEvacuated(d id.Domain, evacuated bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.Evacuated(d) == evacuated {
		return false
	}
	changed := maps.Clone(*f.evacuated.Load())
	if evacuated {
		changed[d] = f.now()
	} else {
		delete(changed, d)
	}
	f.evacuated.Store(&changed)
	f.notify()
	return true
}

// Evacuated reports whether a failure domain is evacuated.
func (f *Facts) Evacuated(d id.Domain) bool {
	_, ok := (*f.evacuated.Load())[d]
	return ok
}

// Evacuations returns the evacuated failure domains, sorted by name.
func (f *Facts) Evacuations() []Evacuation {
	evacuated := *f.evacuated.Load()
	l := make([]Evacuation, 0, len(evacuated))
	for d, t := range evacuated {
		l = append(l, Evacuation{Domain: d, Since: t})
	}
	slices.SortFunc(l, func(a, b Evacuation) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return l
}
