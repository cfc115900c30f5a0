package router

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/activation"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
)

// rolloutDomain identifies a rollout in a failure domain.
type rolloutDomain struct {
	rollout id.Rollout
	domain  id.Domain
}

// Gates records which rollouts receive traffic in which failure domains. Once open, a gate stays open until the
// rollout is cancelled, so that failing VMs do not close it.
type Gates struct {
	opened map[rolloutDomain]bool
}

// NewGates returns gates that are all closed.
func NewGates() *Gates {
	return &Gates{opened: map[rolloutDomain]bool{}}
}

// Update opens the gates whose conditions are met and returns the newly opened ones.
func (g *Gates) Update(s *config.State, statuses []*pb.VMStatus, now time.Time) []*pb.DomainProgress {
	var opened []*pb.DomainProgress
	rollouts := s.Rollouts()
	for _, r := range rollouts {
		for d, ready := range readyByDomain(r, s, statuses) {
			k := rolloutDomain{rollout: id.Rollout(r.GetId()), domain: d}
			if !g.opened[k] && activation.AcceptsTraffic(r, ready, now) {
				g.opened[k] = true
				opened = append(opened, &pb.DomainProgress{Rollout: r.GetId(), Domain: string(d), Ready: uint32(ready)})
			}
		}
	}
	for k := range g.opened {
		r := s.Rollout(k.rollout)
		if r == nil || r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED {
			delete(g.opened, k)
		}
	}
	return opened
}

// IsOpen reports whether a failure domain sends traffic to a rollout.
func (g *Gates) IsOpen(r id.Rollout, d id.Domain) bool {
	return g.opened[rolloutDomain{rollout: r, domain: d}]
}

// readyByDomain counts, per failure domain, the VMs that serve a rollout or a later one of the same model. The
// latter count so that an entry that starts during a version swap does not close the gate of the old version.
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
