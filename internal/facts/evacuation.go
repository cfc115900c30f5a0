package facts

import (
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
	if _, was := f.evacuated[d]; was == evacuated {
		return false
	}
	if evacuated {
		f.evacuated[d] = f.now()
	} else {
		delete(f.evacuated, d)
	}
	f.notify()
	return true
}

// Evacuated reports whether a failure domain is evacuated.
func (f *Facts) Evacuated(d id.Domain) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, ok := f.evacuated[d]
	return ok
}

// Evacuations returns the evacuated failure domains, sorted by name.
func (f *Facts) Evacuations() []Evacuation {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]Evacuation, 0, len(f.evacuated))
	for d, t := range f.evacuated {
		l = append(l, Evacuation{Domain: d, Since: t})
	}
	slices.SortFunc(l, func(a, b Evacuation) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return l
}
