// Package activation decides when an engine may swap to a new version and when a failure domain sends traffic to it. It
// is pure: each decision takes a snapshot of the known state.
package activation

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
)

// Replica is the known state of one rollout on one VM of the failure domain.
type Replica struct {
	VM    id.VM
	State pb.ReplicaState
	// ServesOther is true if the VM's engine serves another version of the model, which a swap would unload.
	ServesOther bool
}

// WaveSize returns the number of VMs of a failure domain that may swap at the same time.
func WaveSize(targets int, share float64) int {
	return max(1, int(float64(targets)*share))
}

// MaySwap reports whether a VM may order its engine to load the version, so that at most wave VMs are out of service at
// the same time. These are the VMs that are loading or have failed to load, and those in granted, which were permitted
// to swap but have not reported it yet. A VM whose engine serves no version of the model takes none out of service and
// loads as soon as its replica is complete.
func MaySwap(r *pb.Rollout, v id.VM, replicas []Replica, granted []id.VM, wave int, now time.Time) bool {
	unavailable := map[id.VM]bool{}
	serving := false
	for _, g := range granted {
		unavailable[g] = true
	}
	for _, p := range replicas {
		switch p.State {
		case pb.ReplicaState_REPLICA_STATE_LOADING:
			unavailable[p.VM] = true
		case pb.ReplicaState_REPLICA_STATE_READY:
			delete(unavailable, p.VM)
		}
		serving = serving || p.VM == v && p.ServesOther
	}
	if unavailable[v] || !serving {
		return true
	}
	return !now.Before(config.NotBefore(r)) && len(unavailable) < wave
}

// AcceptsTraffic reports whether a failure domain sends traffic to a rollout's version. The decision covers the whole
// domain, and a domain that is disconnected decides from its own replicas.
func AcceptsTraffic(r *pb.Rollout, ready int, now time.Time) bool {
	if r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED {
		return false
	}
	need := max(1, int(r.GetMinReady()))
	return ready >= need && !now.Before(config.NotBefore(r))
}
