package catalog

import "github.com/springrail/springrail/internal/id"

// Regions is a set of regions. A nil set contains every region, an empty one none.
type Regions map[id.Region]struct{}

// NewRegions returns the set of the listed regions, or a nil set if none is listed.
func NewRegions(l []id.Region) Regions {
	if len(l) == 0 {
		return nil
	}
	s := Regions{}
	for _, r := range l {
		s[r] = struct{}{}
	}
	return s
}

// Contains reports whether the set contains a region.
func (s Regions) Contains(r id.Region) bool {
	if s == nil {
		return true
	}
	_, ok := s[r]
	return ok
}

// Intersect returns the regions that are in both sets.
func (s Regions) Intersect(o Regions) Regions {
	switch {
	case s == nil:
		return o
	case o == nil:
		return s
	}
	both := Regions{}
	for r := range s {
		if o.Contains(r) {
			both[r] = struct{}{}
		}
	}
	return both
}
