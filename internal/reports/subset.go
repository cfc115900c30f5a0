package reports

import (
	"math"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// maxReportsPerSecond bounds the reports of one pool that a gateway subscribes to, about 150 B each. Where all
	// stagers send more, a gateway subscribes to a subset, so that the cost does not grow with the number of stagers.
	maxReportsPerSecond = 240
	// localReportsShare is the share of maxReportsPerSecond for stagers of the gateway's own failure domain.
	localReportsShare = 2.0 / 3
	// minRemoteStagers is the number of stagers of each other failure domain that a subset contains while few requests go
	// to other domains.
	minRemoteStagers = 2
	// localReportsPerSecond is the rate of a stager's reports to a gateway that gets every one.
	localReportsPerSecond = 5
)

// stagerGroup is the set of stagers of one pool in one failure domain.
type stagerGroup struct {
	pool   id.Pool
	domain id.Domain
}

// groupStagers groups the upstreams that have a stager.
func (s *Subscriber) groupStagers() map[stagerGroup][]*facts.Instance {
	by := map[stagerGroup][]*facts.Instance{}
	c := s.facts.Catalog()
	if c == nil {
		return by
	}
	for _, i := range s.facts.Instances() {
		if p := c.Services[i.Pool]; p != nil && p.Engine != nil {
			g := stagerGroup{pool: i.Pool, domain: i.Domain}
			by[g] = append(by[g], i)
		}
	}
	return by
}

// subsetSizes are the numbers of stagers that a gateway subscribes to: in its own failure domain, and in each other one.
type subsetSizes struct {
	local, remote int
}

// everyStager are the sizes of a subset that contains all stagers.
var everyStager = subsetSizes{local: math.MaxInt, remote: math.MaxInt}

// sizesFor returns the sizes of the subset of a pool's stagers. A gateway without usable stagers in its own domain, or that
// sends many requests to other domains, uses its whole allowance. Evacuated domains take no part in a subset, as their
// upstreams get no requests.
func (s *Subscriber) sizesFor(p id.Pool, by map[stagerGroup][]*facts.Instance) subsetSizes {
	local, remote, domains := 0, 0, 0
	for g, l := range by {
		switch {
		case g.pool != p || s.facts.Evacuated(g.domain):
		case g.domain == s.domain:
			local = len(l)
		default:
			remote += len(l)
			domains++
		}
	}
	if localReportsPerSecond*local+remote <= maxReportsPerSecond {
		return everyStager
	}
	n := subsetSizes{local: int(localReportsShare * maxReportsPerSecond / localReportsPerSecond), remote: minRemoteStagers}
	if s.wantsEveryReport() || local == 0 {
		left := maxReportsPerSecond/localReportsPerSecond - min(local, n.local)
		n.remote = max(minRemoteStagers, left/max(1, domains))
	}
	return n
}

// subset returns the stagers that the gateway subscribes to, by the address of their upstream. It is drawn by rendezvous
// hashing with the gateway's address as the key: gateways get different subsets, of which each stager is in about as
// many, and a change of the list moves few of them. A stager beyond the subset is added while the gateway uses its
// upstream, as only its reports tell about closing and rate limits at once.
func (s *Subscriber) subset() map[string]*facts.Instance {
	by := s.groupStagers()
	sizes := map[id.Pool]subsetSizes{}
	chosen := map[string]*facts.Instance{}
	for g, l := range by {
		n, ok := sizes[g.pool]
		if !ok {
			n = s.sizesFor(g.pool, by)
			sizes[g.pool] = n
		}
		size := n.remote
		switch {
		case n != everyStager && s.facts.Evacuated(g.domain):
			size = 0
		case g.domain == s.domain:
			size = n.local
		}
		for _, i := range firstInOrder(s.self(), l, size) {
			chosen[i.Address] = i
		}
		for _, i := range l {
			if s.tracker.RecentlyUsed(i.Address) {
				chosen[i.Address] = i
			}
		}
	}
	return chosen
}

// self returns the address to which stagers send reports.
func (s *Subscriber) self() string {
	return s.conn.LocalAddr().String()
}

// firstInOrder returns the first n upstreams of a list in the rendezvous order of a key.
func firstInOrder(key string, l []*facts.Instance, n int) []*facts.Instance {
	if len(l) <= n {
		return l
	}
	byAddress := make(map[id.VM]*facts.Instance, len(l))
	addresses := make([]id.VM, 0, len(l))
	for _, i := range l {
		byAddress[id.VM(i.Address)] = i
		addresses = append(addresses, id.VM(i.Address))
	}
	var first []*facts.Instance
	for _, a := range rendezvous.Order(key, addresses)[:n] {
		first = append(first, byAddress[a])
	}
	return first
}
