package reports

import (
	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// mostDomains bounds the failure domains whose demand a report tells; the users' target has 8.
const mostDomains = 16

// sum is what is known of the gateways of a failure domain.
type sum struct {
	// subscribe and brings add up those that subscribe, told and whole are what they say of all: beyond their own domain only
	// some subscribe. The larger figure counts.
	subscribe, told int
	brings, whole   placement.Offered
}

// sums adds the subscribers up by failure domain; the caller holds the lock.
func (r *Reporter) sums() map[id.Domain]*sum {
	by := map[id.Domain]*sum{}
	for _, s := range r.subscribers {
		u := by[s.domain]
		if u == nil {
			u = &sum{}
			by[s.domain] = u
		}
		u.subscribe++
		u.told = max(u.told, s.gateways)
		u.brings.First += s.offered.First
		u.brings.Late += s.offered.Late
		u.whole.First = max(u.whole.First, s.whole.First)
		u.whole.Late = max(u.whole.Late, s.whole.Late)
	}
	return by
}

// gateways is how many gateways share what is bounded for all of them.
func gateways(by map[id.Domain]*sum) uint32 {
	n := 0
	for _, u := range by {
		n += max(u.subscribe, u.told)
	}
	return uint32(n)
}

// tell is what callers bring, as reports tell it.
func tell(by map[id.Domain]*sum) []*pb.Demand {
	var l []*pb.Demand
	for d, u := range by {
		if len(l) >= mostDomains {
			break
		}
		l = append(l, &pb.Demand{
			Domain: string(d), Offered: max(u.brings.First, u.whole.First), OfferedLate: max(u.brings.Late, u.whole.Late),
		})
	}
	return l
}
