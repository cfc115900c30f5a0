package swarm

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// ImportRankDelay is how long each further VM of a failure domain waits before it takes a chunk from another domain that the
// VMs before it have not brought. A chunk of the users' crosses in about 50 ms where the links are free.
const ImportRankDelay = 200 * time.Millisecond

// ImportSchedule shares among the VMs of one failure domain who brings which chunk there from other domains, so that links
// between domains carry each chunk about once for each domain.
type ImportSchedule struct {
	place, count int
}

// NewImportSchedule makes the share of a VM among the members of its domain. Members with the same list agree.
func NewImportSchedule(key string, self Member, members []Member) ImportSchedule {
	own := []id.VM{self.VM}
	for _, m := range members {
		if m.Domain == self.Domain && m.VM != self.VM {
			own = append(own, m.VM)
		}
	}
	order := rendezvous.Order(key+"/import", own)
	return ImportSchedule{place: slices.Index(order, self.VM), count: len(order)}
}

// Rank is the VM's place among those that may bring a chunk; rank 0 does so at once.
func (i ImportSchedule) Rank(c id.Chunk) int {
	if i.count == 0 {
		return 0
	}
	return (i.place + int(c)) % i.count
}

// Allowed says whether the VM may take a chunk from another domain that it has known of for a time.
func (i ImportSchedule) Allowed(c id.Chunk, known time.Duration) bool {
	return known >= time.Duration(i.Rank(c))*ImportRankDelay
}
