// Package router decides which upstream a request goes to. It is pure.
package router

import (
	"math/rand/v2"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// Candidate is an upstream that may take a request.
type Candidate struct {
	VM      id.VM
	Address string
	// Rollout is the rollout that the upstream serves; empty for a plain service.
	Rollout id.Rollout
	// Local is true in the entry's own failure domain.
	Local bool
	// InFlight is the number of requests that this entry has there.
	InFlight int
	// Unreachable is true shortly after the VM took no connection.
	Unreachable bool
	// ReportedInFlight is the number that the upstream had by its last report, others' included.
	ReportedInFlight int
}

// load estimates how busy a candidate is: the lagging report covers what this entry had there then.
func (c Candidate) load() int {
	return max(c.InFlight, c.ReportedInFlight)
}

// boundedLoad is the load above the mean, as a factor, beyond which affinity to a prompt prefix gives way.
const boundedLoad = 1.25

// Choose picks the upstream for a request among candidates not tried before, or returns false. An affinity key keeps
// requests of one prompt prefix together while that upstream is at most boundedLoad times as busy as the mean; other
// requests take the less busy of two at random.
func Choose(all []Candidate, tried map[id.VM]bool, affinity string, r *rand.Rand) (Candidate, bool) {
	l := nearest(taking(all, tried), tried)
	switch {
	case len(l) == 0:
		return Candidate{}, false
	case len(l) == 1:
		return l[0], true
	case affinity != "":
		if c, ok := affine(l, affinity); ok {
			return c, true
		}
	}
	a := l[r.IntN(len(l))]
	b := l[r.IntN(len(l))]
	if b.load() < a.load() {
		return b, true
	}
	return a, true
}

// taking leaves out the candidates that took no connection a moment ago, unless all untried ones did. An idle VM that has
// ended looks like the least busy one until its status says so.
func taking(all []Candidate, tried map[id.VM]bool) []Candidate {
	var l []Candidate
	for _, c := range all {
		if !c.Unreachable && !tried[c.VM] {
			l = append(l, c)
		}
	}
	if len(l) > 0 {
		return l
	}
	return all
}

// nearest returns the untried candidates of the own failure domain, or where there are none, of the others.
func nearest(all []Candidate, tried map[id.VM]bool) []Candidate {
	var near, far []Candidate
	for _, c := range all {
		switch {
		case tried[c.VM]:
		case c.Local:
			near = append(near, c)
		default:
			far = append(far, c)
		}
	}
	if len(near) > 0 {
		return near
	}
	return far
}

// affine walks the rendezvous order of the key to the first candidate that is not too busy.
func affine(l []Candidate, key string) (Candidate, bool) {
	total := 1
	byVM := map[id.VM]Candidate{}
	var vms []id.VM
	for _, c := range l {
		total += c.load()
		byVM[c.VM] = c
		vms = append(vms, c.VM)
	}
	limit := boundedLoad * float64(total) / float64(len(l))
	for _, v := range rendezvous.Order(key, vms) {
		if c := byVM[v]; float64(c.load()) < limit {
			return c, true
		}
	}
	return Candidate{}, false
}

// KeyOwner is the one candidate that a request of an idempotency key may go to: entries with the same list agree.
func KeyOwner(all []Candidate, key string) (Candidate, bool) {
	byVM := map[id.VM]Candidate{}
	var vms []id.VM
	for _, c := range all {
		byVM[c.VM] = c
		vms = append(vms, c.VM)
	}
	if len(vms) == 0 {
		return Candidate{}, false
	}
	return byVM[rendezvous.Order(key, vms)[0]], true
}
