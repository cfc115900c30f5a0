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
	// grantFor is how long a turn is remembered; by then the VM's own status says that it loads.
	grantFor = 5 * time.Second
	// turnRecheck is the longest time between two looks, for turns that fall due by the clock.
	turnRecheck = 200 * time.Millisecond
)

// Turns remembers the turns that this entry has given. One entry of a failure domain is asked for a rollout's turns,
// so that two VMs that ask at one time can't both be the first.
type Turns struct {
	share    float64
	state    func() *config.State
	statuses func() []*pb.VMStatus
	now      func() time.Time
	mu       sync.Mutex
	given    map[id.Rollout]map[id.VM]time.Time
}

// NewTurns makes a giver of turns; share is the part of a domain's VMs that may swap at one time.
func NewTurns(share float64, state func() *config.State, statuses func() []*pb.VMStatus, now func() time.Time) *Turns {
	return &Turns{share: share, state: state, statuses: statuses, now: now, given: map[id.Rollout]map[id.VM]time.Time{}}
}

// Ask gives a VM its turn if the wave has room.
func (t *Turns) Ask(r *pb.Rollout, s *pb.VMStatus) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	name, v := id.Rollout(r.GetId()), id.VM(s.GetVm().GetId())
	replicas := Replicas(r, s, t.statuses())
	given := t.current(name)
	wave := activation.WaveSize(len(replicas), t.share)
	if !activation.MaySwap(r, v, replicas, given, wave, t.now()) {
		return false
	}
	if t.given[name] == nil {
		t.given[name] = map[id.VM]time.Time{}
	}
	t.given[name][v] = t.now().Add(grantFor)
	return true
}

// current lists the VMs whose turn still counts, and forgets the others and rollouts that have ended.
func (t *Turns) current(name id.Rollout) []id.VM {
	for r := range t.given {
		if t.state().Rollout(r).GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			delete(t.given, r)
		}
	}
	var l []id.VM
	for v, until := range t.given[name] {
		if t.now().After(until) {
			delete(t.given[name], v)
			continue
		}
		l = append(l, v)
	}
	return l
}

// Replicas lists what is known of a rollout in one failure domain; the asking VM's own word is the newest of it.
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

// AskTurn implements the configuration service.
func (p *Part) AskTurn(ctx context.Context, r *pb.AskTurnRequest) (*pb.AskTurnResponse, error) {
	ctx, stop := context.WithTimeout(ctx, min(time.Duration(r.GetWaitMs())*time.Millisecond, maxWait))
	defer stop()
	for {
		moved := p.members.Table.Changed()
		m := p.config.State().Rollout(id.Rollout(r.GetRollout()))
		if m.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE && p.turns.Ask(m, r.GetStatus()) {
			p.host.Events.Add(kernel.Event{
				Kind: kernel.EventSwapPermitGranted, Rollout: id.Rollout(r.GetRollout()),
				Organisation: id.Organisation(m.GetOrganisation()), Detail: r.GetStatus().GetVm().GetId(),
			})
			return &pb.AskTurnResponse{Granted: true}, nil
		}
		if ctx.Err() != nil {
			return &pb.AskTurnResponse{}, nil
		}
		select {
		case <-ctx.Done():
		case <-moved:
		case <-time.After(turnRecheck):
		}
	}
}
