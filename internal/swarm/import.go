package swarm

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// ImportStep is how long each further VM of a failure domain waits before it takes a chunk from another domain that the
// VMs before it have not brought. A chunk of the users' crosses in about 50 ms where the links are free.
const ImportStep = 200 * time.Millisecond

// Importers shares among the VMs of one failure domain who brings which chunk there from other domains, so that links
// between domains carry each chunk about once for each domain.
type Importers struct {
	place, count int
}

// NewImporters makes the share of a VM among the members of its domain. Members with the same list agree.
func NewImporters(key string, self Member, members []Member) Importers {
	own := []id.VM{self.VM}
	for _, m := range members {
		if m.Domain == self.Domain && m.VM != self.VM {
			own = append(own, m.VM)
		}
	}
	order := rendezvous.Order(key+"/import", own)
	return Importers{place: slices.Index(order, self.VM), count: len(order)}
}

// Rank is the VM's place among those that may bring a chunk; rank 0 does so at once.
func (i Importers) Rank(c id.Chunk) int {
	if i.count == 0 {
		return 0
	}
	return (i.place + int(c)) % i.count
}

// May says whether the VM may take a chunk from another domain that it has known of for a time.
func (i Importers) May(c id.Chunk, known time.Duration) bool {
	return known >= time.Duration(i.Rank(c))*ImportStep
}
