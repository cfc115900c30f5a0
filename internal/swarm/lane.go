package swarm

import (
	"slices"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// minLanes is the fewest VMs that draw from the origin at one time, where there are as many. Each drawer's link has
	// to carry its chunks to all its neighbours: with 3 drawers those links bound a burst over 20 VMs at 4.1 s, with 11
	// at 3.9 s (bound 2.6 s), and 64 VMs took 1.28 and 1.27 of the bound, with 1.29 and 1.01 origin copies.
	minLanes = 11
	// defaultCopiesTime and defaultCopiesBytes are the origin budgets where a rollout sets none. The reserve beyond
	// the first copy is drawn only after a drawer has stalled or a domain has been cut off.
	defaultCopiesTime  = 3
	defaultCopiesBytes = 2
)

// Lanes shares the drawing of a version from the origin: the chunks of a lane are drawn by the lane's first VM, in
// order, and by the next one once the lane has stalled.
type Lanes struct {
	order []id.VM
	lanes int
}

// Member is a VM that should hold a version.
type Member struct {
	VM     id.VM
	Domain id.Domain
}

// NewLanes shares a version's chunks among its members. Members with the same list make the same lanes.
func NewLanes(key string, members []Member) Lanes {
	byDomain := map[id.Domain][]id.VM{}
	var domains []id.VM
	for _, m := range members {
		if byDomain[m.Domain] == nil {
			domains = append(domains, id.VM(m.Domain))
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m.VM)
	}
	for d, l := range byDomain {
		byDomain[d] = rendezvous.Order(key, l)
	}
	l := Lanes{lanes: laneCount(len(domains), len(members))}
	domains = rendezvous.Order(key, domains)
	for i := 0; len(l.order) < len(members); i++ {
		for _, d := range domains {
			if vms := byDomain[id.Domain(d)]; i < len(vms) {
				l.order = append(l.order, vms[i])
			}
		}
	}
	return l
}

// laneCount has no divisor in common with the number of domains, so that a lane's next VM is in another domain.
func laneCount(domains, members int) int {
	n := minLanes
	for gcd(n, domains) > 1 {
		n++
	}
	return max(1, min(n, members))
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// Lane is the lane of a chunk.
func (l Lanes) Lane(c id.Chunk) int {
	return int(c) % l.lanes
}

// Count is the number of lanes.
func (l Lanes) Count() int {
	return l.lanes
}

// Ranks returns a VM's rank in each lane; rank 0 draws first. Every member has a rank in every lane, so that a lane
// goes on whoever is left: first those whose place falls to the lane, which stand in turn in different domains, then
// the others. A VM that is not a member has no ranks.
func (l Lanes) Ranks(v id.VM) []int {
	p := slices.Index(l.order, v)
	if p < 0 {
		return nil
	}
	ranks := make([]int, l.lanes)
	for lane := range ranks {
		ranks[lane] = l.rank(lane, p)
	}
	return ranks
}

func (l Lanes) rank(lane, place int) int {
	if place%l.lanes == lane {
		return place / l.lanes
	}
	before := (len(l.order) - lane + l.lanes - 1) / l.lanes
	for q := range place {
		if q%l.lanes != lane {
			before++
		}
	}
	return before
}

// lagSlack is the number of chunks by which lanes may differ without one being behind.
const lagSlack = 3

// Lagging says whether a lane has brought less than half of the best lane's chunks. Its drawer is alive but slow, and
// the next one has to help.
func Lagging(counts []int, lane int) bool {
	return 2*counts[lane]+lagSlack < slices.Max(counts)
}

// OriginCopyBudget is the most that all VMs together may draw from the origin, in copies.
func OriginCopyBudget(r *pb.Rollout) float64 {
	switch {
	case r.GetOriginCopies() > 0:
		return r.GetOriginCopies()
	case r.GetObjective() == pb.Objective_OBJECTIVE_ORIGIN_BYTES:
		return defaultCopiesBytes
	default:
		return defaultCopiesTime
	}
}

// MayFetchFromOrigin says whether a VM of a rank may draw from a lane whose last new chunk was seen at a time. Rank 0 may at
// once; each further rank waits for the patience once more. Ranks beyond the budget never may, so that with one list
// of members the origin gives each chunk at most as many times as the budget has copies.
func MayFetchFromOrigin(rank int, copies float64, lastNew time.Time, patience time.Duration, now time.Time) bool {
	if rank < 0 || rank >= max(1, int(copies)) {
		return false
	}
	return rank == 0 || now.Sub(lastNew) >= time.Duration(rank)*patience
}
