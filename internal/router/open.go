package router

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/activation"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
)

// gate names a rollout in a failure domain.
type gate struct {
	rollout id.Rollout
	domain  id.Domain
}

// Gates remembers which rollouts a failure domain sends traffic to. Once open, a gate stays open until the rollout
// is cancelled, so that VMs that fail do not close it.
type Gates struct {
	open map[gate]bool
}

// NewGates makes closed gates.
func NewGates() *Gates {
	return &Gates{open: map[gate]bool{}}
}

// Update opens the gates that may open and returns those that are new.
func (g *Gates) Update(s *config.State, statuses []*pb.VMStatus, now time.Time) []*pb.DomainProgress {
	var opened []*pb.DomainProgress
	rollouts := s.Rollouts()
	for _, r := range rollouts {
		for d, ready := range readyByDomain(r, s, statuses) {
			k := gate{rollout: id.Rollout(r.GetId()), domain: d}
			if !g.open[k] && activation.AcceptsTraffic(r, ready, now) {
				g.open[k] = true
				opened = append(opened, &pb.DomainProgress{Rollout: r.GetId(), Domain: string(d), Ready: uint32(ready)})
			}
		}
	}
	for k := range g.open {
		r := s.Rollout(k.rollout)
		if r == nil || r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED {
			delete(g.open, k)
		}
	}
	return opened
}

// IsOpen says whether a failure domain sends traffic to a rollout.
func (g *Gates) IsOpen(r id.Rollout, d id.Domain) bool {
	return g.open[gate{rollout: r, domain: d}]
}

// readyByDomain counts the VMs that serve a rollout or have moved on from it to a later one of the same model. The
// latter count so that an entry that starts during a swap does not close the old version's gate.
func readyByDomain(r *pb.Rollout, s *config.State, statuses []*pb.VMStatus) map[id.Domain]int {
	n := map[id.Domain]int{}
	for _, m := range statuses {
		for _, v := range m.GetLive() {
			if v.GetOrganisation() != r.GetOrganisation() || v.GetModel() != r.GetVersion().GetModel() {
				continue
			}
			if s.Rollout(id.Rollout(v.GetRollout())).GetFence() >= r.GetFence() {
				n[id.Domain(m.GetVm().GetDomain())]++
			}
		}
	}
	return n
}
