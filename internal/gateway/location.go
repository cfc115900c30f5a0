package gateway

import "github.com/springrail/springrail/internal/id"

// Location is where a gateway runs, and in which region each failure domain is.
type Location struct {
	Domain id.Domain
	// Region returns the region of a failure domain, or an empty one if it is unknown.
	Region func(d id.Domain) id.Region
}

// mayServe reports whether the upstreams of a failure domain may get the request. An upstream whose region is unknown
// gets no request that is restricted to some regions.
func (d *Balancer) mayServe(q *Query, domain id.Domain) bool {
	switch {
	case d.Facts.Evacuated(domain):
		q.decision.excluded.evacuated++
	case q.Regions != nil && !q.Regions.Contains(d.Location.Region(domain)):
		q.decision.excluded.region++
	default:
		return true
	}
	return false
}

// DomainScope is a set of failure domains, relative to that of this process.
type DomainScope uint8

// The failure domains whose upstreams may be chosen.
const (
	AnyDomain DomainScope = iota
	OwnDomain
	OtherDomains
)

// contains reports whether upstreams of a failure domain are considered by a gateway in the domain own.
func (s DomainScope) contains(d, own id.Domain) bool {
	return s == AnyDomain || (s == OwnDomain) == (d == own)
}
