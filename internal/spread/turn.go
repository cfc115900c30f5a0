package spread

import (
	"context"
	"sync"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/activation"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
)

const (
	// grantLifetime is how long a granted permit counts; by then the VM's reported status shows that it loads.
	grantLifetime = 5 * time.Second
	// permitRecheckInterval is the longest time between two checks of a waiting request, for permits that become
	// available with time alone.
	permitRecheckInterval = 200 * time.Millisecond
)

// SwapPermits grants and tracks the permits of VMs to swap to a rollout's version. All VMs of a failure domain request a
// rollout's permits from the same entry. Two entries could otherwise each grant a permit and together exceed the limit.
type SwapPermits struct {
	share    float64
	state    func() *config.State
	statuses func() []*pb.VMStatus
	now      func() time.Time
	mu       sync.Mutex
	granted  map[id.Rollout]map[id.VM]time.Time
}

// NewSwapPermits returns a SwapPermits without grants; share is the share of a failure domain's VMs that may swap at the
// same time.
func NewSwapPermits(share float64, state func() *config.State, statuses func() []*pb.VMStatus, now func() time.Time) *SwapPermits {
	return &SwapPermits{share: share, state: state, statuses: statuses, now: now, granted: map[id.Rollout]map[id.VM]time.Time{}}
}

// TryGrant grants a VM a swap permit if the current wave, the set of VMs that swap at the same time, has room.
func (t *SwapPermits) TryGrant(r *pb.Rollout, s *pb.VMStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, v := id.Rollout(r.GetId()), id.VM(s.GetVm().GetId())
	replicas := Replicas(r, s, t.statuses())
	granted := t.activeGrants(name)
	wave := activation.WaveSize(len(replicas), t.share)
	if !activation.MaySwap(r, v, replicas, granted, wave, t.now()) {
		return false
	}
	if t.granted[name] == nil {
		t.granted[name] = map[id.VM]time.Time{}
	}
	t.granted[name][v] = t.now().Add(grantLifetime)
	return true
}

// activeGrants returns the VMs whose permits have not expired, and removes expired ones and those of rollouts that are
// no longer active.
func (t *SwapPermits) activeGrants(name id.Rollout) []id.VM {
	for r := range t.granted {
		if t.state().Rollout(r).GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			delete(t.granted, r)
		}
	}
	var l []id.VM
	for v, until := range t.granted[name] {
		if t.now().After(until) {
			delete(t.granted[name], v)
			continue
		}
		l = append(l, v)
	}
	return l
}

// Replicas returns the known replica states of a rollout in one failure domain; for the asking VM its status in the
// request takes precedence as the newest.
func Replicas(r *pb.Rollout, asking *pb.VMStatus, statuses []*pb.VMStatus) []activation.Replica {
	l := []activation.Replica{replicaOf(r, asking)}
	for _, s := range statuses {
		same := s.GetVm().GetDomain() == asking.GetVm().GetDomain() && s.GetVm().GetId() != asking.GetVm().GetId()
		if same && !s.GetLeaving() && config.IsTarget(r, s.GetVm()) {
			l = append(l, replicaOf(r, s))
		}
	}
	return l
}

func replicaOf(r *pb.Rollout, s *pb.VMStatus) activation.Replica {
	p := activation.Replica{VM: id.VM(s.GetVm().GetId())}
	for _, m := range s.GetReplicas() {
		if m.GetRollout() == r.GetId() {
			p.State = m.GetState()
		}
	}
	for _, v := range s.GetLive() {
		if v.GetOrganisation() == r.GetOrganisation() && v.GetModel() == r.GetVersion().GetModel() &&
			v.GetRollout() != r.GetId() {
			p.ServesOther = true
		}
	}
	return p
}

// AskTurn implements the ConfigService: it waits until the VM is granted a swap permit or the long poll times out.
func (p *Part) AskTurn(ctx context.Context, r *pb.AskTurnRequest) (*pb.AskTurnResponse, error) {
	ctx, stop := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxPollWait))
	defer stop()
	arrived := p.permits.now()
	for {
		changed := p.members.Table.Changed()
		m := p.config.State().Rollout(id.Rollout(r.GetRollout()))
		if m.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE && p.permits.TryGrant(m, r.GetStatus()) {
			p.host.Events.Add(kernel.Event{
				Kind: kernel.EventSwapPermitGranted, Rollout: id.Rollout(r.GetRollout()),
				Organisation: id.Organisation(m.GetOrganisation()), Detail: r.GetStatus().GetVm().GetId(),
			})
			return &pb.AskTurnResponse{Granted: true, ValidMs: (p.permits.now().Sub(arrived) + grantLifetime).Milliseconds()}, nil
		}
		if ctx.Err() != nil {
			return &pb.AskTurnResponse{}, nil
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(permitRecheckInterval):
		}
	}
}
