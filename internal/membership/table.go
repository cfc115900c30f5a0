// Package membership holds what an entry knows of VMs: the platform's list, which lags, and the statuses that agents
// send to their home entry and that entries pass on to each other.
package membership

import (
	"slices"
	"strings"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

const (
	// HeartbeatTimeout is how long a home entry waits for an agent's next heartbeat.
	HeartbeatTimeout = 5 * time.Second
	// OwnerTimeout is how long an owner's statuses are believed without a sign of the owner.
	OwnerTimeout = 10 * time.Second
)

// owned is a status with the owner's number for it.
type owned struct {
	status *pb.VMStatus
	update uint64
	gone   bool
	heard  time.Time
}

// owner is an entry and the statuses that it heard itself.
type owner struct {
	domain      id.Domain
	incarnation uint64
	update      uint64
	heard       time.Time
	vms         map[id.VM]*owned
}

// Table merges the statuses of all owners. The newest status of a VM counts.
type Table struct {
	self   id.VM
	now    func() time.Time
	mu     sync.Mutex
	owners map[id.VM]*owner
	change chan struct{}
}

// NewTable makes the table of an entry.
func NewTable(self id.VM, d id.Domain, now func() time.Time) *Table {
	t := &Table{self: self, now: now, owners: map[id.VM]*owner{}, change: make(chan struct{})}
	t.owners[self] = &owner{domain: d, incarnation: uint64(now().UnixNano()), heard: now(), vms: map[id.VM]*owned{}}
	return t
}

// Changed returns a channel that closes when a status changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.change
}

func (t *Table) notify() {
	close(t.change)
	t.change = make(chan struct{})
}

// RecordHeartbeat notes a status that an agent sent to this entry.
func (t *Table) RecordHeartbeat(s *pb.VMStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[t.self]
	v := id.VM(s.GetVm().GetId())
	have := o.vms[v]
	if have != nil && !have.gone && !newer(s, have.status) {
		have.heard = t.now()
		return
	}
	o.update++
	o.vms[v] = &owned{status: s, update: o.update, heard: t.now()}
	t.notify()
}

// newer says whether a follows b from the same VM.
func newer(a, b *pb.VMStatus) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// Tick marks agents that have fallen silent and shows that this entry lives.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[t.self]
	o.update++
	o.heard = t.now()
	for _, h := range o.vms {
		if !h.gone && t.now().Sub(h.heard) > HeartbeatTimeout {
			o.update++
			h.gone, h.update = true, o.update
			t.notify()
		}
	}
}

// Versions says what the table has; a domain keeps the owners of one domain, empty keeps all.
func (t *Table) Versions(d id.Domain) []*pb.OwnerVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []*pb.OwnerVersion
	for name, o := range t.owners {
		if d == "" || o.domain == d {
			l = append(l, &pb.OwnerVersion{Owner: string(name), Incarnation: o.incarnation, Update: o.update})
		}
	}
	return l
}

// UpdatesSince returns what the table has beyond the versions.
func (t *Table) UpdatesSince(versions []*pb.OwnerVersion, d id.Domain) []*pb.OwnerUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	have := map[id.VM]*pb.OwnerVersion{}
	for _, v := range versions {
		have[id.VM(v.GetOwner())] = v
	}
	var l []*pb.OwnerUpdate
	for name, o := range t.owners {
		if d != "" && o.domain != d {
			continue
		}
		known := have[name]
		if known.GetIncarnation() > o.incarnation ||
			known.GetIncarnation() == o.incarnation && known.GetUpdate() >= o.update {
			continue
		}
		l = append(l, o.since(name, known))
	}
	return l
}

func (o *owner) since(name id.VM, known *pb.OwnerVersion) *pb.OwnerUpdate {
	after := known.GetUpdate()
	if known.GetIncarnation() != o.incarnation {
		after = 0
	}
	u := &pb.OwnerUpdate{
		Version: &pb.OwnerVersion{Owner: string(name), Incarnation: o.incarnation, Update: o.update},
		Domain:  string(o.domain),
	}
	for _, h := range o.vms {
		if h.update > after {
			u.Statuses = append(u.Statuses, &pb.OwnedStatus{Status: h.status, Update: h.update, Gone: h.gone})
		}
	}
	return u
}

// Merge takes what another entry returned from UpdatesSince.
func (t *Table) Merge(updates []*pb.OwnerUpdate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range updates {
		if id.VM(u.GetVersion().GetOwner()) != t.self {
			t.mergeOwner(u)
		}
	}
}

func (t *Table) mergeOwner(u *pb.OwnerUpdate) {
	v := u.GetVersion()
	o := t.owners[id.VM(v.GetOwner())]
	if o == nil || v.GetIncarnation() > o.incarnation {
		o = &owner{domain: id.Domain(u.GetDomain()), incarnation: v.GetIncarnation(), vms: map[id.VM]*owned{}}
		t.owners[id.VM(v.GetOwner())] = o
	}
	if v.GetIncarnation() < o.incarnation || v.GetUpdate() <= o.update {
		return
	}
	o.update, o.heard = v.GetUpdate(), t.now()
	for _, s := range u.GetStatuses() {
		name := id.VM(s.GetStatus().GetVm().GetId())
		if have := o.vms[name]; have == nil || have.update < s.GetUpdate() {
			o.vms[name] = &owned{status: s.GetStatus(), update: s.GetUpdate(), gone: s.GetGone()}
		}
	}
	if len(u.GetStatuses()) > 0 {
		t.notify()
	}
}

// RemoveSilentOwners drops owners that have been silent for much longer than they are believed.
func (t *Table) RemoveSilentOwners(after time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, o := range t.owners {
		if name != t.self && t.now().Sub(o.heard) > after {
			delete(t.owners, name)
		}
	}
}

// Alive says whether an owner has shown itself lately.
func (t *Table) Alive(v id.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[v]
	return o != nil && t.now().Sub(o.heard) < OwnerTimeout
}

// Statuses returns the newest status of each VM that an owner believed alive vouches for, by name.
func (t *Table) Statuses() []*pb.VMStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	best := map[id.VM]*owned{}
	for _, o := range t.owners {
		if t.now().Sub(o.heard) > OwnerTimeout {
			continue
		}
		for name, h := range o.vms {
			if b := best[name]; b == nil || newer(h.status, b.status) || (b.gone && !newer(b.status, h.status)) {
				best[name] = h
			}
		}
	}
	var l []*pb.VMStatus
	for _, h := range best {
		if !h.gone {
			l = append(l, h.status)
		}
	}
	slices.SortFunc(l, func(a, b *pb.VMStatus) int { return strings.Compare(a.GetVm().GetId(), b.GetVm().GetId()) })
	return l
}

// Progress sums the replicas of a rollout by failure domain, in the order of the domains' names. Targets counts the
// VMs of the list that should hold it.
func Progress(r *pb.Rollout, targets []*pb.VM, statuses []*pb.VMStatus) []*pb.DomainProgress {
	byDomain := map[string]*pb.DomainProgress{}
	at := func(d string) *pb.DomainProgress {
		if byDomain[d] == nil {
			byDomain[d] = &pb.DomainProgress{Rollout: r.GetId(), Domain: d}
		}
		return byDomain[d]
	}
	for _, v := range targets {
		at(v.GetDomain()).Targets++
	}
	for _, s := range statuses {
		for _, p := range s.GetReplicas() {
			if p.GetRollout() == r.GetId() {
				count(at(s.GetVm().GetDomain()), s, p)
			}
		}
	}
	var l []*pb.DomainProgress
	for _, p := range byDomain {
		l = append(l, p)
	}
	slices.SortFunc(l, func(a, b *pb.DomainProgress) int { return strings.Compare(a.GetDomain(), b.GetDomain()) })
	return l
}

func count(d *pb.DomainProgress, s *pb.VMStatus, p *pb.ReplicaProgress) {
	switch p.GetState() {
	case pb.ReplicaState_REPLICA_STATE_COMPLETE:
		d.Complete++
	case pb.ReplicaState_REPLICA_STATE_LOADING:
		d.Loading++
	case pb.ReplicaState_REPLICA_STATE_READY:
		d.Ready++
	default:
		d.Fetching++
	}
	d.ChunksHeld += uint64(p.GetChunksHeld())
	d.ChunksTotal += uint64(p.GetChunksTotal())
	d.OriginBytes += p.GetOriginBytes()
	if p.GetReason() != "" {
		d.Waiting = append(d.Waiting, s.GetVm().GetId()+": "+p.GetReason())
	}
}
