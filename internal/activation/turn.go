// Package activation decides when an engine may swap to a new version and when a failure domain sends traffic to it.
// It is pure: each decision takes a snapshot of what is known.
package activation

import (
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
)

// Replica is what is known of one VM and one rollout in the decider's failure domain.
type Replica struct {
	VM    id.VM
	State pb.ReplicaState
	// ServesOther is true when the VM's engine serves another version of the model, which a swap would take away.
	ServesOther bool
}

// WaveSize is the number of VMs of a failure domain that may swap at one time.
func WaveSize(targets int, share float64) int {
	return max(1, int(float64(targets)*share))
}

// MaySwap says whether a VM may order its engine to load, so that at most wave VMs are out of service at one time. Out
// are those that load or have failed to, and those whose turn was given and who have not said so yet. A VM whose engine
// serves nothing of the model takes nothing away and loads as soon as it is complete.
func MaySwap(r *pb.Rollout, v id.VM, replicas []Replica, given []id.VM, wave int, now time.Time) bool {
	out := map[id.VM]bool{}
	serving := false
	for _, g := range given {
		out[g] = true
	}
	for _, p := range replicas {
		switch p.State {
		case pb.ReplicaState_REPLICA_STATE_LOADING:
			out[p.VM] = true
		case pb.ReplicaState_REPLICA_STATE_READY:
			delete(out, p.VM)
		}
		serving = serving || p.VM == v && p.ServesOther
	}
	if out[v] || !serving {
		return true
	}
	return !now.Before(config.NotBefore(r)) && len(out) < wave
}

// AcceptsTraffic says whether a failure domain sends traffic to a rollout's version. It is all or nothing per domain, and a
// domain that is cut off decides from its own replicas.
func AcceptsTraffic(r *pb.Rollout, ready int, now time.Time) bool {
	if r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED {
		return false
	}
	need := max(1, int(r.GetMinReady()))
	return ready >= need && !now.Before(config.NotBefore(r))
}
