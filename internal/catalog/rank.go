package catalog

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Rank is the urgency of a request; 0 is the most urgent. The priority of the organisation takes precedence over that of
// the route.
type Rank int

// maxPriority is the least urgent priority of a route or an organisation.
const maxPriority = 9

// NewRank returns the rank of an organisation's requests on a route; a nil organisation has priority 0.
func NewRank(o *Organisation, r *Route) Rank {
	rank := clampPriority(r.Priority)
	if o != nil {
		rank += (maxPriority + 1) * clampPriority(o.Priority)
	}
	return Rank(rank)
}

func clampPriority(p int) int {
	return min(max(p, 0), maxPriority)
}

// poolRank identifies the routes of one priority to a pool.
type poolRank struct {
	pool     id.Pool
	priority int
}

// poolRanks returns the ranks that requests for each pool can have, in ascending order.
func poolRanks(routes []*Route, orgs []*Organisation) map[id.Pool][]Rank {
	ranks := map[id.Pool][]Rank{}
	for _, r := range routes {
		var l []Rank
		for _, o := range orgs {
			l = append(l, NewRank(o, r))
		}
		if len(orgs) == 0 || r.Public {
			l = append(l, NewRank(nil, r))
		}
		for _, s := range r.Shares {
			ranks[s.Pool] = append(ranks[s.Pool], l...)
		}
	}
	for p, l := range ranks {
		slices.Sort(l)
		ranks[p] = slices.Compact(l)
	}
	return ranks
}

// rankTargets returns the shortest latency target of the routes of each priority to each pool.
func rankTargets(routes []*Route) map[poolRank]time.Duration {
	targets := map[poolRank]time.Duration{}
	for _, r := range routes {
		for _, p := range r.Shares {
			k := poolRank{p.Pool, clampPriority(r.Priority)}
			if shortest, ok := targets[k]; r.LatencyTarget > 0 && (!ok || r.LatencyTarget < shortest) {
				targets[k] = r.LatencyTarget
			}
		}
	}
	return targets
}

// Ranks returns the ranks that requests for a pool can have, in ascending order. The caller must not change them.
func (c *Catalog) Ranks(p id.Pool) []Rank {
	return c.ranks[p]
}

// RankLatencyTarget returns the shortest latency target of the routes to a pool that have a route's priority, so that a
// route with a long target does not fill the queue of the others of its priority. Where none of them has a target, that of the
// pool applies: without any, each request would be refused as late.
func (c *Catalog) RankLatencyTarget(p id.Pool, r *Route) time.Duration {
	if target, ok := c.rankTargets[poolRank{p, clampPriority(r.Priority)}]; ok {
		return target
	}
	return c.LatencyTarget(p)
}
