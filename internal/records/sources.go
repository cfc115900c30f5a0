package records

import (
	"slices"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

// Sources returns the other gateways of a failure domain in the order in which a process follows them. All processes
// compute the same order, and a gateway prefers only those before it: without any message the first one reads the store
// and the others follow it. Those after it are for a gateway that cannot reach the store itself.
func Sources(d id.Domain, gateways []string, self string) (preferred, others []string) {
	vms := make([]id.VM, len(gateways))
	for i, a := range gateways {
		vms[i] = id.VM(a)
	}
	var order []string
	for _, v := range rendezvous.Order(sourceOrderKey+string(d), vms) {
		order = append(order, string(v))
	}
	i := slices.Index(order, self)
	if i < 0 {
		return order, nil
	}
	return order[:i], order[i+1:]
}

// sourceOrderKey makes the order of readers independent of other rendezvous orders of the same processes.
const sourceOrderKey = "records/"

// chooseSource returns the source to follow: a preferred one, or any other while this process cannot reach the store;
// empty if there is none.
func (f *Follower) chooseSource() (address string, preferred bool) {
	f.viaPeer, f.choseWithList = false, f.upstreamsRead()
	known := f.gateways()
	preferredSources, fallbacks := Sources(f.domain, known, f.self)
	if a := f.hintedSource(); a != "" {
		return a, len(known) == 0 || slices.Contains(preferredSources, a)
	}
	if a := f.firstUsable(preferredSources); a != "" {
		return a, true
	}
	if len(known) == 0 && f.source != "" && f.firstUsable([]string{f.source}) != "" {
		// A process that has the records is better than a peer, which at a joint start may not have them yet.
		return f.source, true
	}
	// A gateway that is itself listed must read the store if no gateway precedes it.
	if !f.allRead() || len(known) == 0 {
		if a := f.firstUsable(f.peerOrder()); a != "" {
			f.viaPeer = true
			return a, true
		}
	}
	noStoreRead := f.now().Sub(f.origin.lastStoreRead()) > maxFreshAge
	if (noStoreRead || f.hint.refusedBy(f.source)) && slices.Contains(fallbacks, f.source) && f.firstUsable([]string{f.source}) != "" {
		// The other gateways may follow this process by now, so the current source is kept. One that has refused this
		// process's lease request for one topic is kept also if this process has just read the other topic. Otherwise this
		// process opens its gates after each answer, and both read the store.
		return f.source, false
	}
	if noStoreRead {
		return f.firstUsable(fallbacks), false
	}
	return "", false
}

// hintedSource returns a process that is known to read the store, while this one has no fresh records; empty if there
// is none. A process that has just refused this one's lease request is returned once even so: this one has lost its source
// and may not read the store itself.
func (f *Follower) hintedSource() string {
	a, isNew, reads := f.hint.get()
	justRefused := isNew && reads
	if a == f.self || (f.oldestAge() < maxFreshAge && !justRefused) {
		return ""
	}
	if isNew {
		delete(f.avoidUntil, a)
	}
	return f.firstUsable([]string{a})
}

// peerOrder returns the peers in an order that differs between processes, so that those that start together do not all
// ask the same peer.
func (f *Follower) peerOrder() []string {
	var vms []id.VM
	for _, a := range f.peers() {
		vms = append(vms, id.VM(a))
	}
	var l []string
	for _, v := range rendezvous.Order(peerOrderKey+f.self, vms) {
		l = append(l, string(v))
	}
	return l
}

// peerOrderKey makes the order of peers independent of other rendezvous orders of the same processes.
const peerOrderKey = "records/peers/"

// allRead reports whether every topic has been read.
func (f *Follower) allRead() bool {
	for _, l := range f.logs {
		if _, ok := l.Position(); !ok {
			return false
		}
	}
	return true
}

// firstUsable returns the first address that is not avoided at present; empty if there is none.
func (f *Follower) firstUsable(l []string) string {
	now := f.now()
	fresh := f.oldestAge() < maxFreshAge
	for _, a := range l {
		if a != "" && now.After(f.avoidUntil[a]) && (!fresh || !now.Before(f.followsThisUntil[a])) {
			return a
		}
	}
	return ""
}
