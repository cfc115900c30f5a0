package activation

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestActivation(t *testing.T) {
	spec.Run(t, "Activation")
}

// countLoading returns the number of VMs whose old version is out of service and whose new one is not ready yet.
func countLoading(l []Replica) int {
	n := 0
	for _, p := range l {
		if p.State == pb.ReplicaState_REPLICA_STATE_LOADING {
			n++
		}
	}
	return n
}

var _ = Describe("swaps", func() {
	It("never take more VMs than the wave out of service, and all VMs swap eventually, in any order of requests and loads", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			n := rapid.IntRange(1, 12).Draw(t, "vms")
			wave := WaveSize(n, rapid.Float64Range(0.01, 1).Draw(t, "share"))
			var l []Replica
			for i := range n {
				l = append(l, Replica{VM: id.VM(fmt.Sprint(i)), State: pb.ReplicaState_REPLICA_STATE_COMPLETE, ServesOther: true})
			}
			r := &pb.Rollout{}
			var granted []id.VM
			step := func(i int, ask bool) {
				switch {
				case ask && l[i].State == pb.ReplicaState_REPLICA_STATE_COMPLETE:
					if MaySwap(r, l[i].VM, l, granted, wave, time.Unix(1, 0)) {
						granted = append(granted, l[i].VM)
						l[i].State = pb.ReplicaState_REPLICA_STATE_LOADING
					}
				case !ask && l[i].State == pb.ReplicaState_REPLICA_STATE_LOADING:
					l[i].State, l[i].ServesOther = pb.ReplicaState_REPLICA_STATE_READY, false
				}
				if countLoading(l) > wave {
					t.Fatalf("%d VMs are loading with a wave of %d", countLoading(l), wave)
				}
			}
			for range rapid.IntRange(0, 60).Draw(t, "steps") {
				step(rapid.IntRange(0, n-1).Draw(t, "vm"), rapid.Bool().Draw(t, "ask"))
			}
			for range n {
				for i := range n {
					step(i, true)
					step(i, false)
				}
			}
			for _, p := range l {
				if p.State != pb.ReplicaState_REPLICA_STATE_READY {
					t.Fatalf("%s never swapped", p.VM)
				}
			}
		})
	})

	It("wait for the rollout's start time if they would unload a version, and not otherwise", func() {
		r := &pb.Rollout{NotBeforeUnixMs: 2000}
		serving := []Replica{{VM: "a", State: pb.ReplicaState_REPLICA_STATE_COMPLETE, ServesOther: true}}
		fresh := []Replica{{VM: "a", State: pb.ReplicaState_REPLICA_STATE_COMPLETE}}
		Expect(MaySwap(r, "a", serving, nil, 1, time.UnixMilli(1999))).To(BeFalse())
		Expect(MaySwap(r, "a", serving, nil, 1, time.UnixMilli(2000))).To(BeTrue())
		Expect(MaySwap(r, "a", fresh, nil, 1, time.UnixMilli(1))).To(BeTrue())
	})

	DescribeTable("let a domain accept traffic", func(want bool, ready int, at int64, state pb.RolloutState) {
		r := &pb.Rollout{MinReady: 2, NotBeforeUnixMs: 1000, State: state}
		Expect(AcceptsTraffic(r, ready, time.UnixMilli(at))).To(Equal(want))
	},
		Entry("ready and in time", true, 2, int64(1000), pb.RolloutState_ROLLOUT_STATE_ACTIVE),
		Entry("too few", false, 1, int64(1000), pb.RolloutState_ROLLOUT_STATE_ACTIVE),
		Entry("too early", false, 2, int64(999), pb.RolloutState_ROLLOUT_STATE_ACTIVE),
		Entry("cancelled", false, 2, int64(1000), pb.RolloutState_ROLLOUT_STATE_CANCELLED))
})
