package swarm

import (
	"slices"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// minLanes is the minimum number of VMs that fetch from the origin at the same time, unless there are fewer VMs. The
	// link of each has to carry its chunks to all its neighbours: with 3 of them those links limited a distribution to
	// 20 VMs to 4.1 s, with 11 to 3.9 s (lower bound 2.6 s). With 64 VMs both took about the same, 1.28 and 1.27 times
	// the lower bound, with 1.29 and 1.01 origin copies.
	minLanes = 11
	// defaultCopiesTime and defaultCopiesBytes are the origin budgets, in copies of a version, of rollouts that set
	// none. Copies beyond the first are fetched only after a VM has stalled or a failure domain was cut off.
	defaultCopiesTime  = 3
	defaultCopiesBytes = 2
)

// Lanes divides the chunks of a version into lanes and ranks the VMs of each lane. The VM of rank 0 fetches the lane's
// chunks from the origin in order; the next rank takes over once the lane makes no progress.
type Lanes struct {
	order []id.VM
	count int
}

// Member is a VM that should hold a version.
type Member struct {
	VM     id.VM
	Domain id.Domain
}

// NewLanes returns the lanes of a version among its members. VMs with the same member list compute the same lanes.
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
	l := Lanes{count: laneCount(len(domains), len(members))}
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

// laneCount returns a number of lanes that is coprime to the number of failure domains, so that consecutive ranks of a
// lane are in different domains.
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

// Lane returns the lane of a chunk.
func (l Lanes) Lane(c id.Chunk) int {
	return int(c) % l.count
}

// Count returns the number of lanes.
func (l Lanes) Count() int {
	return l.count
}

// Ranks returns a VM's rank in each lane, or nil for a VM that is not a member. Every member has a rank in every lane,
// so that a lane continues whichever members remain: the lowest ranks go to the members assigned to the lane, in
// alternating failure domains, then to all others.
func (l Lanes) Ranks(v id.VM) []int {
	p := slices.Index(l.order, v)
	if p < 0 {
		return nil
	}
	ranks := make([]int, l.count)
	for lane := range ranks {
		ranks[lane] = l.rank(lane, p)
	}
	return ranks
}

func (l Lanes) rank(lane, position int) int {
	if position%l.count == lane {
		return position / l.count
	}
	assigned := (len(l.order) - lane + l.count - 1) / l.count
	for q := range position {
		if q%l.count != lane {
			assigned++
		}
	}
	return assigned
}

// lagSlack is the number of chunks by which lanes may differ before one counts as lagging.
const lagSlack = 3

// Lagging reports whether a lane has delivered less than half the chunks of the best lane. Its fetching VM is then alive
// but slow, and the next rank has to help.
func Lagging(counts []int, lane int) bool {
	return 2*counts[lane]+lagSlack < slices.Max(counts)
}

// OriginCopyBudget returns how many copies of a rollout's version all VMs together may fetch from the origin.
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

// takeoverRounds is the number of rounds, of one chunk of each lane, that the origin has to deliver per rank before a lane
// without a new chunk counts as stalled. On a saturated link a healthy lane takes one round for each of its chunks, and the
// announcement of a chunk takes several hops.
const takeoverRounds = 2

// OriginBusy reports whether the origin's link is busy with the chunks of other lanes, so that a lane without a new chunk
// may only wait for its share of the link. delivered is the number of chunks that any VM has got of the origin since the
// lane's last one, and idle the time since the last of them.
func (l Lanes) OriginBusy(rank, delivered int, idle, maxGap time.Duration) bool {
	return rank > 0 && idle <= maxGap/freshShare && delivered < rank*takeoverRounds*l.count
}

// MayFetchFromOrigin reports whether the VM of a rank may fetch from a lane without new chunks during a time in which
// the origin is known to answer, see OriginAnswers. Rank 0 may at once; each higher rank waits for one more takeover
// delay of that time. Ranks beyond the budget never may: as long as all VMs have the same member list, the origin sends
// each chunk at most as often as the budget has copies.
func MayFetchFromOrigin(rank int, copies float64, answering, takeoverDelay time.Duration) bool {
	if rank < 0 || rank >= max(1, int(copies)) {
		return false
	}
	return rank == 0 || answering >= time.Duration(rank)*takeoverDelay
}
