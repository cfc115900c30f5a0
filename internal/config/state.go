// Package config computes the configuration from the records of the platform's log. It is deterministic: the same records
// produce the same state in every process, independent of the clock.
package config

import (
	"errors"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

var (
	// ErrGap is returned for a record that does not directly follow the last one. The record is not applied.
	ErrGap = errors.New("records are missing before this one")
	// ErrInvalidRecord is returned for a record that can't be decoded.
	ErrInvalidRecord = errors.New("record can't be decoded")
)

// maxOutcomes is the number of newest changes whose outcome can be queried: those of a week at 550 changes a day.
const maxOutcomes = 4096

// changeKey identifies a change. Change IDs are scoped to an organisation, as organisations don't see each other's changes.
type changeKey struct {
	organisation id.Organisation
	change       id.Change
}

func keyOf(o *pb.ChangeOutcome) changeKey {
	return changeKey{organisation: id.Organisation(o.GetOrganisation()), change: id.Change(o.GetChangeId())}
}

// State is the configuration as of a log offset. The messages that its methods return are shared and must not be modified.
type State struct {
	offset        id.Offset
	organisations map[id.Organisation]*pb.Organisation
	rollouts      map[id.Rollout]*pb.Rollout
	outcomes      map[changeKey]*pb.ChangeOutcome
	outcomeOrder  []changeKey
}

// NewState returns the state before the first record.
func NewState() *State {
	return &State{
		organisations: map[id.Organisation]*pb.Organisation{},
		rollouts:      map[id.Rollout]*pb.Rollout{},
		outcomes:      map[changeKey]*pb.ChangeOutcome{},
	}
}

// FromSnapshot restores the state from a snapshot.
func FromSnapshot(m *pb.State) *State {
	s := NewState()
	s.offset = id.Offset(m.GetOffset())
	for _, o := range m.GetOrganisations() {
		s.organisations[id.Organisation(o.GetId())] = o
	}
	for _, r := range m.GetRollouts() {
		s.rollouts[id.Rollout(r.GetId())] = r
	}
	for _, o := range m.GetOutcomes() {
		s.outcomes[keyOf(o)] = o
		s.outcomeOrder = append(s.outcomeOrder, keyOf(o))
	}
	return s
}

// Snapshot returns the state as a message. Its lists are sorted, so that equal states give equal messages.
func (s *State) Snapshot() *pb.State {
	m := &pb.State{Offset: uint64(s.offset), Organisations: s.Organisations(), Rollouts: s.Rollouts()}
	for _, c := range s.outcomeOrder {
		m.Outcomes = append(m.Outcomes, s.outcomes[c])
	}
	return m
}

// Clone returns an independent copy of the state. The messages are shared, as Apply replaces them and never modifies them.
func (s *State) Clone() *State {
	c := NewState()
	c.offset = s.offset
	for k, v := range s.organisations {
		c.organisations[k] = v
	}
	for k, v := range s.rollouts {
		c.rollouts[k] = v
	}
	for k, v := range s.outcomes {
		c.outcomes[k] = v
	}
	c.outcomeOrder = slices.Clone(s.outcomeOrder)
	return c
}

// Offset returns the offset of the last applied record.
func (s *State) Offset() id.Offset {
	return s.offset
}

// Organisation returns the organisation of the given name, or nil if there is none.
func (s *State) Organisation(o id.Organisation) *pb.Organisation {
	return s.organisations[o]
}

// Organisations returns all organisations, sorted by name.
func (s *State) Organisations() []*pb.Organisation {
	var l []*pb.Organisation
	for _, o := range s.organisations {
		l = append(l, o)
	}
	slices.SortFunc(l, func(a, b *pb.Organisation) int { return strings.Compare(a.GetId(), b.GetId()) })
	return l
}

// Rollout returns the rollout of the given ID, or nil if there is none.
func (s *State) Rollout(r id.Rollout) *pb.Rollout {
	return s.rollouts[r]
}

// Rollouts returns all rollouts, active and ended, oldest first.
func (s *State) Rollouts() []*pb.Rollout {
	var l []*pb.Rollout
	for _, r := range s.rollouts {
		l = append(l, r)
	}
	slices.SortFunc(l, func(a, b *pb.Rollout) int {
		if a.GetFence() != b.GetFence() {
			return int(int64(a.GetFence()) - int64(b.GetFence()))
		}
		return strings.Compare(a.GetId(), b.GetId())
	})
	return l
}

// Active returns the active rollouts, oldest first.
func (s *State) Active() []*pb.Rollout {
	return slices.DeleteFunc(s.Rollouts(), func(r *pb.Rollout) bool {
		return r.GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE
	})
}

// Current returns the active rollout of a model, or nil if there is none.
func (s *State) Current(o id.Organisation, m id.Model) *pb.Rollout {
	for _, r := range s.rollouts {
		if r.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE &&
			r.GetOrganisation() == string(o) && r.GetVersion().GetModel() == string(m) {
			return r
		}
	}
	return nil
}

// Previous returns the rollout to roll back to: the newest earlier one of the same model that has other content and was not
// cancelled. It returns nil if there is none.
func (s *State) Previous(r *pb.Rollout) *pb.Rollout {
	var found *pb.Rollout
	for _, p := range s.Rollouts() {
		same := p.GetOrganisation() == r.GetOrganisation() && p.GetVersion().GetModel() == r.GetVersion().GetModel()
		other := !slices.Equal(p.GetVersion().GetManifestSha256(), r.GetVersion().GetManifestSha256())
		ended := p.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED
		if same && other && !ended && p.GetFence() < r.GetFence() {
			found = p
		}
	}
	return found
}

// Outcome returns the outcome of a change, or nil if the change was not applied or its outcome is no longer kept.
func (s *State) Outcome(o id.Organisation, c id.Change) *pb.ChangeOutcome {
	return s.outcomes[changeKey{organisation: o, change: c}]
}

// Decode parses a record of the log.
func Decode(data []byte) (*pb.Record, error) {
	r := &pb.Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		return nil, trace.Wrap(errors.Join(ErrInvalidRecord, err))
	}
	return r, nil
}
