package config

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/spec"
)

func TestConfig(t *testing.T) {
	spec.Run(t, "The configuration state")
}

// organisations are the names that the generated changes use.
var organisations = []string{"gym", "hut", "fit"}

func encode(c *pb.Change) []byte {
	b, err := proto.Marshal(&pb.Record{Body: &pb.Record_Change{Change: c}})
	Expect(err).NotTo(HaveOccurred())
	return b
}

func rolloutOf(organisation, name, model string) *pb.Rollout {
	return &pb.Rollout{
		Id: name, Organisation: organisation,
		Version: &pb.Version{
			Model: model, Name: name, Source: "s", ManifestSha256: make([]byte, 32), TotalBytes: 10, ChunkBytes: 4,
		},
	}
}

// drawChange generates a change based on the current revision or on a stale one.
func drawChange(t *rapid.T, n int, s *State) *pb.Change {
	o := rapid.SampledFrom(organisations).Draw(t, "organisation")
	c := &pb.Change{ChangeId: fmt.Sprintf("c%d", rapid.IntRange(0, n).Draw(t, "change")), Organisation: o}
	stale := rapid.Uint64Range(0, 1).Draw(t, "stale")
	model := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "model")
	switch rapid.IntRange(0, 3).Draw(t, "operation") {
	case 0:
		c.BaseRevision = s.Organisation(id.Organisation(o)).GetRevision() - min(stale, s.Organisation(id.Organisation(o)).GetRevision())
		c.Operation = &pb.Change_PutOrganisation{PutOrganisation: &pb.PutOrganisation{Organisation: &pb.Organisation{Id: o}}}
	case 1, 2:
		c.BaseRevision = s.Current(id.Organisation(o), id.Model(model)).GetRevision() + stale
		c.Operation = &pb.Change_CreateRollout{CreateRollout: &pb.CreateRollout{
			Rollout: rolloutOf(o, fmt.Sprintf("%s-r%d", o, n), model),
		}}
	default:
		r := s.Current(id.Organisation(o), id.Model(model))
		c.BaseRevision = r.GetRevision() + stale
		c.Operation = &pb.Change_CancelRollout{CancelRollout: &pb.CancelRollout{Rollout: r.GetId()}}
	}
	return c
}

// checkState checks the invariant that each model has at most one active rollout.
func checkState(t *rapid.T, s *State) {
	current := map[string]int{}
	for _, r := range s.Rollouts() {
		if r.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			current[r.GetOrganisation()+"/"+r.GetVersion().GetModel()]++
		}
	}
	for k, n := range current {
		if n > 1 {
			t.Fatalf("%s has %d current rollouts", k, n)
		}
	}
}

var _ = Describe("applying records", func() {
	It("gives the same state with duplicate changes, repeated records and a restart from a snapshot, and keeps outcomes", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			full, restarted := NewState(), NewState()
			var log [][]byte
			accepted := map[string]bool{}
			for n := range rapid.IntRange(1, 40).Draw(t, "records") {
				c := drawChange(t, n, full)
				log = append(log, encode(c))
				known := full.Outcome(id.Organisation(c.GetOrganisation()), id.Change(c.GetChangeId()))
				before := proto.CloneOf(full.Snapshot())
				if err := full.Apply(id.Offset(len(log)), log[len(log)-1]); err != nil {
					t.Fatal(err)
				}
				o := full.Outcome(id.Organisation(c.GetOrganisation()), id.Change(c.GetChangeId()))
				key := c.GetOrganisation() + "/" + c.GetChangeId()
				if known != nil && !proto.Equal(known, o) {
					t.Fatalf("the outcome of %s changed", key)
				}
				if known == nil {
					accepted[key] = o.GetAccepted()
				}
				if accepted[key] != o.GetAccepted() {
					t.Fatalf("%s was both accepted and rejected", key)
				}
				if known != nil || !o.GetAccepted() {
					before.Offset, before.Outcomes = 0, nil
					after := proto.CloneOf(full.Snapshot())
					after.Offset, after.Outcomes = 0, nil
					if !proto.Equal(before, after) {
						t.Fatalf("%s was rejected or a duplicate and changed the state", key)
					}
				}
				checkState(t, full)
			}
			cut := rapid.IntRange(0, len(log)).Draw(t, "snapshot")
			for i := range cut {
				_ = restarted.Apply(id.Offset(i+1), log[i])
			}
			raw, _ := proto.Marshal(restarted.Snapshot())
			m := &pb.State{}
			_ = proto.Unmarshal(raw, m)
			restarted = FromSnapshot(m)
			from := rapid.IntRange(0, cut).Draw(t, "again")
			for i := from; i < len(log); i++ {
				if err := restarted.Apply(id.Offset(i+1), log[i]); err != nil {
					t.Fatal(err)
				}
			}
			if !proto.Equal(full.Snapshot(), restarted.Snapshot()) {
				t.Fatalf("a restart from a snapshot gives another state")
			}
		})
	})

	It("rejects a record after a gap", func() {
		s := NewState()
		Expect(s.Apply(2, encode(&pb.Change{}))).To(MatchError(ErrGap))
		Expect(s.Offset()).To(BeZero())
	})

	It("advances the offset past a record that can't be decoded and applies the next one", func() {
		s := NewState()
		Expect(s.Apply(1, []byte{0xff})).To(MatchError(ErrInvalidRecord))
		Expect(s.Offset()).To(Equal(id.Offset(1)))
		Expect(s.Apply(2, encode(&pb.Change{ChangeId: "x"}))).To(Succeed())
	})

	It("enforces the quotas of organisations", func() {
		s := NewState()
		Expect(s.Apply(1, encode(&pb.Change{ChangeId: "o", Organisation: "gym", Operation: &pb.Change_PutOrganisation{
			PutOrganisation: &pb.PutOrganisation{Organisation: &pb.Organisation{Id: "gym", Quotas: &pb.Quotas{Rollouts: 1, VersionBytes: 10}}},
		}}))).To(Succeed())
		create := func(offset id.Offset, model string, bytes uint64) string {
			r := rolloutOf("gym", fmt.Sprintf("r%d", offset), model)
			r.Version.TotalBytes = bytes
			c := &pb.Change{ChangeId: fmt.Sprint(offset), Organisation: "gym", Operation: &pb.Change_CreateRollout{CreateRollout: &pb.CreateRollout{Rollout: r}}}
			Expect(s.Apply(offset, encode(c))).To(Succeed())
			return s.Outcome("gym", id.Change(fmt.Sprint(offset))).GetReason()
		}
		Expect(create(2, "a", 11)).To(ContainSubstring("10 bytes"))
		Expect(create(3, "a", 10)).To(BeEmpty())
		Expect(create(4, "b", 10)).To(ContainSubstring("1 active rollouts"))
	})
})

func FuzzApply(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{0x0a, 0x02, 0x0a, 0x00})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		_ = s.Apply(1, data)
		if s.Offset() != 1 {
			t.Fatalf("offset %d", s.Offset())
		}
		if !proto.Equal(s.Snapshot(), FromSnapshot(s.Snapshot()).Snapshot()) {
			t.Fatal("a snapshot changes the state")
		}
	})
}
