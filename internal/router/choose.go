// Package router tracks which upstreams can take requests from this entry and selects one for each request. An
// entry is a process that accepts callers' requests.
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
	// Local is true if the upstream is in the failure domain of this entry.
	Local bool
	// InFlight is the number of requests from this entry that the upstream is running.
	InFlight int
	// Unreachable is true for a short time after the VM refused a connection.
	Unreachable bool
	// ReportedInFlight is the number of requests in the upstream's last report, including those from other entries.
	ReportedInFlight int
}

// load estimates how busy a candidate is. The report lags, but it includes the requests of this entry at that time.
func (c Candidate) load() int {
	return max(c.InFlight, c.ReportedInFlight)
}

// maxLoadFactor is the load relative to the mean above which prefix affinity is ignored.
const maxLoadFactor = 1.25

// Choose selects the upstream for a request among the candidates not tried before, or returns false. An affinity
// key keeps requests with the same prompt prefix on one upstream while its load is below maxLoadFactor times the
// mean; other requests go to the less loaded of two random candidates.
func Choose(all []Candidate, tried map[id.VM]bool, affinity string, r *rand.Rand) (Candidate, bool) {
	l := preferLocal(reachable(all, tried), tried)
	switch {
	case len(l) == 0:
		return Candidate{}, false
	case len(l) == 1:
		return l[0], true
	case affinity != "":
		if c, ok := chooseByAffinity(l, affinity); ok {
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

// reachable excludes the candidates that have just refused a connection, unless all untried ones have. An idle VM
// that has terminated looks like the least loaded one until its status is updated.
func reachable(all []Candidate, tried map[id.VM]bool) []Candidate {
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

// preferLocal returns the untried candidates in the same failure domain, or if there are none, those in the others.
func preferLocal(all []Candidate, tried map[id.VM]bool) []Candidate {
	var local, remote []Candidate
	for _, c := range all {
		switch {
		case tried[c.VM]:
		case c.Local:
			local = append(local, c)
		default:
			remote = append(remote, c)
		}
	}
	if len(local) > 0 {
		return local
	}
	return remote
}

// chooseByAffinity returns the first candidate in the key's rendezvous order that is not overloaded.
func chooseByAffinity(l []Candidate, key string) (Candidate, bool) {
	total := 1
	byVM := map[id.VM]Candidate{}
	var vms []id.VM
	for _, c := range l {
		total += c.load()
		byVM[c.VM] = c
		vms = append(vms, c.VM)
	}
	maxLoad := maxLoadFactor * float64(total) / float64(len(l))
	for _, v := range rendezvous.Order(key, vms) {
		if c := byVM[v]; float64(c.load()) < maxLoad {
			return c, true
		}
	}
	return Candidate{}, false
}

// KeyOwner returns the only candidate that may run requests with an idempotency key. All entries with the same list
// of candidates choose the same one.
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
