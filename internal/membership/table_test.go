package membership

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

func TestMembership(t *testing.T) {
	spec.Run(t, "Membership")
}

func statusOf(vm string, incarnation, sequence uint64) *pb.VMStatus {
	return &pb.VMStatus{Vm: &pb.VM{Id: vm, Domain: "a"}, Incarnation: incarnation, Sequence: sequence}
}

var _ = Describe("statuses", func() {
	It("converge to the newest in all tables, in any order of messages and with changing home entries", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			clock := func() time.Time { return now }
			var tables []*Table
			for i := range 3 {
				now = now.Add(time.Millisecond)
				tables = append(tables, NewTable(id.VM(fmt.Sprintf("e%d", i)), "a", clock))
			}
			newest := map[string]*pb.VMStatus{}
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				i, j := rapid.IntRange(0, 2).Draw(t, "to"), rapid.IntRange(0, 2).Draw(t, "from")
				if rapid.Bool().Draw(t, "gossip") {
					tables[i].Merge(tables[j].UpdatesSince(tables[i].Versions("a"), "a"))
					continue
				}
				vm := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "vm")
				s := statusOf(vm, newest[vm].GetIncarnation(), newest[vm].GetSequence()+1)
				if rapid.Bool().Draw(t, "restart") {
					s = statusOf(vm, newest[vm].GetIncarnation()+1, 0)
				}
				newest[vm] = s
				tables[i].RecordHeartbeat(s)
			}
			for range 2 {
				for i := range tables {
					for j := range tables {
						tables[i].Merge(tables[j].UpdatesSince(tables[i].Versions(""), ""))
					}
				}
			}
			for _, b := range tables {
				for _, s := range b.Statuses() {
					if want := newest[s.GetVm().GetId()]; s.GetSequence() != want.GetSequence() || s.GetIncarnation() != want.GetIncarnation() {
						t.Fatalf("%s is at %d, not %d", s.GetVm().GetId(), s.GetSequence(), want.GetSequence())
					}
				}
				if len(b.Statuses()) != len(newest) {
					t.Fatalf("%d of %d VMs", len(b.Statuses()), len(newest))
				}
			}
		})
	})

	It("are dropped when heartbeats time out, reappear at a new home entry, and are dropped when the owner times out", func() {
		now := time.Unix(1000, 0)
		clock := func() time.Time { return now }
		a, b := NewTable("a", "d", clock), NewTable("b", "d", clock)
		a.RecordHeartbeat(statusOf("x", 1, 1))
		b.Merge(a.UpdatesSince(b.Versions(""), ""))
		Expect(b.Statuses()).To(HaveLen(1))
		now = now.Add(HeartbeatTimeout + time.Second)
		a.Tick()
		b.Merge(a.UpdatesSince(b.Versions(""), ""))
		Expect(b.Statuses()).To(BeEmpty())
		b.RecordHeartbeat(statusOf("x", 1, 2))
		Expect(b.Statuses()).To(HaveLen(1))
		a.Merge(b.UpdatesSince(a.Versions(""), ""))
		Expect(a.Statuses()).To(HaveLen(1))
		now = now.Add(OwnerTimeout + time.Second)
		a.Tick()
		Expect(a.Statuses()).To(BeEmpty())
	})
})
