package swarm

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// remoteNeighbours is the number of neighbours in other failure domains.
const remoteNeighbours = 2

// Neighbours returns the members that a VM fetches chunks from, at most maxLocal in its failure domain and
// remoteNeighbours in others. The members of a domain form a ring in rendezvous order, and a VM fetches from those at
// distances 1, 2, 4 and so on. Each VM thus serves as many as it fetches from, and the number of hops to any chunk is
// logarithmic in the ring's size. A second ring connects all members, so that every VM and domain can reach every other.
func Neighbours(key string, self Member, members []Member, maxLocal int) []id.VM {
	var local, remote, all []id.VM
	for _, m := range members {
		all = append(all, m.VM)
		if m.Domain == self.Domain {
			local = append(local, m.VM)
		} else {
			remote = append(remote, m.VM)
		}
	}
	l := ringNeighbours(rendezvous.Order(key, local), self.VM, maxLocal)
	candidates := ringNeighbours(rendezvous.Order(key+"/all", all), self.VM, 1)
	candidates = append(candidates, rendezvous.Order(key+string(self.VM), remote)...)
	added := 0
	for _, v := range candidates {
		if added < remoteNeighbours && !slices.Contains(l, v) {
			l = append(l, v)
			added++
		}
	}
	return l
}

func ringNeighbours(ring []id.VM, self id.VM, limit int) []id.VM {
	at := slices.Index(ring, self)
	if at < 0 {
		ring = append(ring, self)
		at = len(ring) - 1
	}
	var l []id.VM
	for d := 1; d < len(ring) && len(l) < limit; d *= 2 {
		l = append(l, ring[(at+d)%len(ring)])
	}
	for d := 3; d < len(ring) && len(l) < limit; d++ {
		if v := ring[(at+d)%len(ring)]; !slices.Contains(l, v) {
			l = append(l, v)
		}
	}
	return l
}
