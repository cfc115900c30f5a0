// Package rendezvous implements rendezvous hashing (highest random weight): processes with the same list of VMs compute the
// same order of them for a key without communication, and adding or removing a VM moves only the keys assigned to it.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/springrail/springrail/internal/id"
)

// Weight returns the hash weight of a VM for a key.
func Weight(key string, v id.VM) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(string(v))
	return d.Sum64()
}

// weighted is a VM with its weight for a key.
type weighted struct {
	vm     id.VM
	weight uint64
}

// Order returns the VMs sorted by descending weight for the key. VMs of equal weight are sorted by name.
func Order(key string, vms []id.VM) []id.VM {
	l := make([]weighted, len(vms))
	for i, v := range vms {
		l[i] = weighted{vm: v, weight: Weight(key, v)}
	}
	slices.SortFunc(l, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
	})
	ordered := make([]id.VM, len(l))
	for i, w := range l {
		ordered[i] = w.vm
	}
	return ordered
}

// Rank returns the index of a VM in the order for a key, or -1 if it is not in the list.
func Rank(key string, vms []id.VM, v id.VM) int {
	return slices.Index(Order(key, vms), v)
}
