package records

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// Sources lists the gateways of a failure domain that a process follows, the best first. All order them alike, and a
// gateway prefers only those before it: so the first one reads the store and the others follow it, without a message.
// Those behind it are for a gateway that can't reach the store itself.
func Sources(d id.Domain, gateways []string, self string) (preferred, others []string) {
	vms := make([]id.VM, len(gateways))
	for i, a := range gateways {
		vms[i] = id.VM(a)
	}
	var order []string
	for _, v := range rendezvous.Order(orderKey+string(d), vms) {
		order = append(order, string(v))
	}
	i := slices.Index(order, self)
	if i < 0 {
		return order, nil
	}
	return order[:i], order[i+1:]
}

// orderKey sets the order of readers apart from other orders of the same processes.
const orderKey = "records/"
