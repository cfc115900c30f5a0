package swarm

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// ImportRankDelay is how much longer each VM of a failure domain waits than the VM of the next lower rank before it
// imports a chunk that the others have not. A typical chunk crosses an idle link in about 50 ms.
const ImportRankDelay = 200 * time.Millisecond

// ImportSchedule ranks the VMs of a failure domain for the import of each chunk from other domains, so that links
// between domains carry each chunk about once per domain.
type ImportSchedule struct {
	position, count int
}

// NewImportSchedule returns the schedule of a VM among the members of its domain. VMs with the same member list compute
// consistent schedules.
func NewImportSchedule(key string, self Member, members []Member) ImportSchedule {
	local := []id.VM{self.VM}
	for _, m := range members {
		if m.Domain == self.Domain && m.VM != self.VM {
			local = append(local, m.VM)
		}
	}
	order := rendezvous.Order(key+"/import", local)
	return ImportSchedule{position: slices.Index(order, self.VM), count: len(order)}
}

// Rank returns the VM's rank among those that may import a chunk; rank 0 imports without delay.
func (i ImportSchedule) Rank(c id.Chunk) int {
	if i.count == 0 {
		return 0
	}
	return (i.position + int(c)) % i.count
}

// Allowed reports whether the VM may import a chunk that it has known for the given time to be held in another domain.
func (i ImportSchedule) Allowed(c id.Chunk, known time.Duration) bool {
	return known >= time.Duration(i.Rank(c))*ImportRankDelay
}
