// Package membership tracks the VMs of the fleet in an entry. Its sources are the platform's list, which lags, and the
// statuses that agents send to their home entry in heartbeats and that entries spread by gossip. The entry that receives an
// agent's heartbeats is the owner of that status.
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
	// HeartbeatTimeout is the time without a heartbeat after which the home entry of an agent marks its VM as gone.
	HeartbeatTimeout = 5 * time.Second
	// OwnerTimeout is the time without an update from an owner after which its statuses are ignored.
	OwnerTimeout = 10 * time.Second
)

// ownedStatus is a status with the update number that its owner gave it.
type ownedStatus struct {
	status     *pb.VMStatus
	update     uint64
	gone       bool
	receivedAt time.Time
}

// owner is an entry with the statuses that it received in heartbeats. The number update rises with each change and each tick.
type owner struct {
	domain      id.Domain
	incarnation uint64
	update      uint64
	updatedAt   time.Time
	statuses    map[id.VM]*ownedStatus
}

// Table merges the statuses of all owners. For each VM the newest status applies.
type Table struct {
	self    id.VM
	now     func() time.Time
	mu      sync.Mutex
	owners  map[id.VM]*owner
	changed chan struct{}
}

// NewTable returns the table of the entry self in the failure domain d.
func NewTable(self id.VM, d id.Domain, now func() time.Time) *Table {
	t := &Table{self: self, now: now, owners: map[id.VM]*owner{}, changed: make(chan struct{})}
	t.owners[self] = &owner{domain: d, incarnation: uint64(now().UnixNano()), updatedAt: now(), statuses: map[id.VM]*ownedStatus{}}
	return t
}

// Changed returns a channel that is closed when a status next changes.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// RecordHeartbeat stores a status that an agent sent to this entry.
func (t *Table) RecordHeartbeat(s *pb.VMStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[t.self]
	v := id.VM(s.GetVm().GetId())
	known := o.statuses[v]
	if known != nil && !known.gone && !isNewer(s, known.status) {
		known.receivedAt = t.now()
		return
	}
	o.update++
	o.statuses[v] = &ownedStatus{status: s, update: o.update, receivedAt: t.now()}
	t.notify()
}

// isNewer reports whether a is isNewer than b, of the same VM: a later incarnation, or a higher sequence number in the same one.
func isNewer(a, b *pb.VMStatus) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSequence() > b.GetSequence()
}

// Tick marks the VMs whose heartbeats have timed out as gone, and raises this entry's update number, by which other entries
// see that it is alive.
func (t *Table) Tick() {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[t.self]
	o.update++
	o.updatedAt = t.now()
	for _, h := range o.statuses {
		if !h.gone && t.now().Sub(h.receivedAt) > HeartbeatTimeout {
			o.update++
			h.gone, h.update = true, o.update
			t.notify()
		}
	}
}

// Versions returns the update number of each owner in a failure domain, or of all owners if d is empty.
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

// UpdatesSince returns the statuses that are newer than the given versions, of the owners in a failure domain, or of all
// owners if d is empty.
func (t *Table) UpdatesSince(versions []*pb.OwnerVersion, d id.Domain) []*pb.OwnerUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	knownVersions := map[id.VM]*pb.OwnerVersion{}
	for _, v := range versions {
		knownVersions[id.VM(v.GetOwner())] = v
	}
	var l []*pb.OwnerUpdate
	for name, o := range t.owners {
		if d != "" && o.domain != d {
			continue
		}
		known := knownVersions[name]
		if known.GetIncarnation() > o.incarnation ||
			known.GetIncarnation() == o.incarnation && known.GetUpdate() >= o.update {
			continue
		}
		l = append(l, o.updatesSince(name, known))
	}
	return l
}

func (o *owner) updatesSince(name id.VM, known *pb.OwnerVersion) *pb.OwnerUpdate {
	after := known.GetUpdate()
	if known.GetIncarnation() != o.incarnation {
		after = 0
	}
	u := &pb.OwnerUpdate{
		Version: &pb.OwnerVersion{Owner: string(name), Incarnation: o.incarnation, Update: o.update},
		Domain:  string(o.domain),
	}
	for _, h := range o.statuses {
		if h.update > after {
			u.Statuses = append(u.Statuses, &pb.OwnedStatus{Status: h.status, Update: h.update, Gone: h.gone})
		}
	}
	return u
}

// Merge adds the updates that another entry returned from UpdatesSince.
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
		o = &owner{domain: id.Domain(u.GetDomain()), incarnation: v.GetIncarnation(), statuses: map[id.VM]*ownedStatus{}}
		t.owners[id.VM(v.GetOwner())] = o
	}
	if v.GetIncarnation() < o.incarnation || v.GetUpdate() <= o.update {
		return
	}
	o.update, o.updatedAt = v.GetUpdate(), t.now()
	for _, s := range u.GetStatuses() {
		name := id.VM(s.GetStatus().GetVm().GetId())
		if known := o.statuses[name]; known == nil || known.update < s.GetUpdate() {
			o.statuses[name] = &ownedStatus{status: s.GetStatus(), update: s.GetUpdate(), gone: s.GetGone()}
		}
	}
	if len(u.GetStatuses()) > 0 {
		t.notify()
	}
}

// RemoveSilentOwners removes the owners without an update for the given time, which should be much longer than OwnerTimeout.
func (t *Table) RemoveSilentOwners(maxSilence time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, o := range t.owners {
		if name != t.self && t.now().Sub(o.updatedAt) > maxSilence {
			delete(t.owners, name)
		}
	}
}

// Alive reports whether an owner has sent an update within OwnerTimeout.
func (t *Table) Alive(v id.VM) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.owners[v]
	return o != nil && t.now().Sub(o.updatedAt) < OwnerTimeout
}

// Statuses returns the newest status of each VM, sorted by VM. It omits VMs that are gone, and statuses whose owner has not
// sent an update within OwnerTimeout.
func (t *Table) Statuses() []*pb.VMStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	newest := map[id.VM]*ownedStatus{}
	for _, o := range t.owners {
		if t.now().Sub(o.updatedAt) > OwnerTimeout {
			continue
		}
		for name, h := range o.statuses {
			if b := newest[name]; b == nil || isNewer(h.status, b.status) || (b.gone && !isNewer(b.status, h.status)) {
				newest[name] = h
			}
		}
	}
	var l []*pb.VMStatus
	for _, h := range newest {
		if !h.gone {
			l = append(l, h.status)
		}
	}
	slices.SortFunc(l, func(a, b *pb.VMStatus) int { return strings.Compare(a.GetVm().GetId(), b.GetVm().GetId()) })
	return l
}

// Progress sums up the replicas of a rollout in each failure domain, sorted by domain. The targets are the VMs that should
// hold the rollout's version.
func Progress(r *pb.Rollout, targets []*pb.VM, statuses []*pb.VMStatus) []*pb.DomainProgress {
	byDomain := map[string]*pb.DomainProgress{}
	domainProgress := func(d string) *pb.DomainProgress {
		if byDomain[d] == nil {
			byDomain[d] = &pb.DomainProgress{Rollout: r.GetId(), Domain: d}
		}
		return byDomain[d]
	}
	for _, v := range targets {
		domainProgress(v.GetDomain()).Targets++
	}
	for _, s := range statuses {
		for _, p := range s.GetReplicas() {
			if p.GetRollout() == r.GetId() {
				addReplica(domainProgress(s.GetVm().GetDomain()), s, p)
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

func addReplica(d *pb.DomainProgress, s *pb.VMStatus, p *pb.ReplicaProgress) {
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
