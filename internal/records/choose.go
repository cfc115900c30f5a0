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

// choose picks the source to follow: a preferred one, or any other while this process does not get through to the store;
// empty is none.
func (f *Follower) choose() (address string, preferred bool) {
	f.viaPeer, f.lookedWithList = false, f.listed()
	known := f.gateways()
	first, others := Sources(f.domain, known, f.self)
	if a := f.hinted(); a != "" {
		return a, len(known) == 0 || slices.Contains(first, a)
	}
	if a := f.sound(first); a != "" {
		return a, true
	}
	// A gateway that is known itself is to read the store where none goes before it.
	if !f.started() || len(known) == 0 {
		if a := f.sound(f.peerOrder()); a != "" {
			f.viaPeer = true
			return a, true
		}
	}
	if f.now().Sub(f.origin.ownAt()) > freshMost {
		if slices.Contains(others, f.source) && f.sound([]string{f.source}) != "" {
			// The others may follow this process by now.
			return f.source, false
		}
		return f.sound(others), false
	}
	return "", false
}

// hinted is a process that is known to read the store while this one has no fresh records; empty is none.
func (f *Follower) hinted() string {
	a, news := f.hint.get()
	if a == f.self || f.age() < freshMost {
		return ""
	}
	if news {
		delete(f.blamed, a)
	}
	return f.sound([]string{a})
}

// peerOrder lists the peers in an order of this process's own, so that processes that start together ask different ones.
func (f *Follower) peerOrder() []string {
	var vms []id.VM
	for _, a := range f.peers() {
		vms = append(vms, id.VM(a))
	}
	var l []string
	for _, v := range rendezvous.Order(peerKey+f.self, vms) {
		l = append(l, string(v))
	}
	return l
}

// peerKey sets the order of peers apart from other orders of the same processes.
const peerKey = "records/peers/"

// started says whether all topics have been read.
func (f *Follower) started() bool {
	for _, l := range f.logs {
		if _, ok := l.Position(); !ok {
			return false
		}
	}
	return true
}

// sound returns the first address that is not blamed.
func (f *Follower) sound(l []string) string {
	now := f.now()
	fresh := f.age() < freshMost
	for _, a := range l {
		if a != "" && now.After(f.blamed[a]) && (!fresh || !now.Before(f.behind[a])) {
			return a
		}
	}
	return ""
}
