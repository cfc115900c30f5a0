package config

import (
	"fmt"
	"regexp"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
)

const (
	defaultRollouts     = 64
	defaultVersionBytes = 1 << 40
	// maxEndedRollouts is the number of superseded and cancelled rollouts kept per model, so that a rollout can be rolled back.
	maxEndedRollouts = 8
	sha256Bytes      = 32
	maxChunks        = 1 << 17
	maxCopies        = 64
	maxNameBytes     = 128
)

var (
	idPattern   = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/:-]{0,127}$`)
)

// Apply applies the log record at an offset. A record that was applied before is ignored, and a record that skips an offset
// is rejected with ErrGap. A record that can't be decoded only advances the offset, so that every process skips it alike.
func (s *State) Apply(offset id.Offset, data []byte) error {
	if offset <= s.offset {
		return nil
	}
	if offset != s.offset+1 {
		return trace.Wrap(ErrGap, "have %d, got %d", s.offset, offset)
	}
	s.offset = offset
	r, err := Decode(data)
	if err != nil {
		return err
	}
	if c := r.GetChange(); c != nil {
		s.applyChange(offset, c)
	}
	return nil
}

func (s *State) applyChange(offset id.Offset, c *pb.Change) {
	if s.Outcome(id.Organisation(c.GetOrganisation()), id.Change(c.GetChangeId())) != nil {
		return
	}
	reason := s.applyOperation(offset, c)
	s.recordOutcome(&pb.ChangeOutcome{
		ChangeId: c.GetChangeId(), Offset: uint64(offset), Accepted: reason == "", Reason: reason,
		Organisation: c.GetOrganisation(),
	})
}

func (s *State) recordOutcome(o *pb.ChangeOutcome) {
	s.outcomes[keyOf(o)] = o
	s.outcomeOrder = append(s.outcomeOrder, keyOf(o))
	if len(s.outcomeOrder) > maxOutcomes {
		delete(s.outcomes, s.outcomeOrder[0])
		s.outcomeOrder = s.outcomeOrder[1:]
	}
}

// applyOperation executes a change, or returns the reason why it is rejected. The reason is stored in the outcome.
func (s *State) applyOperation(offset id.Offset, c *pb.Change) string {
	switch o := c.GetOperation().(type) {
	case *pb.Change_PutOrganisation:
		return s.putOrganisation(offset, c, o.PutOrganisation.GetOrganisation())
	case *pb.Change_CreateRollout:
		return s.createRollout(offset, c, o.CreateRollout.GetRollout())
	case *pb.Change_CancelRollout:
		return s.cancelRollout(offset, c, id.Rollout(o.CancelRollout.GetRollout()))
	default:
		return "this version of springrail does not know the operation"
	}
}

func revisionConflict(base, current uint64) string {
	if base == current {
		return ""
	}
	return fmt.Sprintf("based on revision %d, but the current revision is %d", base, current)
}

func (s *State) putOrganisation(offset id.Offset, c *pb.Change, o *pb.Organisation) string {
	if reason := CheckOrganisation(o); reason != "" {
		return reason
	}
	if o.GetId() != c.GetOrganisation() {
		return "the change is for another organisation"
	}
	name := id.Organisation(o.GetId())
	if reason := revisionConflict(c.GetBaseRevision(), s.organisations[name].GetRevision()); reason != "" {
		return reason
	}
	next := proto.CloneOf(o)
	next.Revision = uint64(offset)
	s.organisations[name] = next
	return ""
}

func (s *State) createRollout(offset id.Offset, c *pb.Change, r *pb.Rollout) string {
	org := s.organisations[id.Organisation(c.GetOrganisation())]
	if org == nil {
		return "the organisation does not exist"
	}
	if reason := CheckRollout(r); reason != "" {
		return reason
	}
	if r.GetOrganisation() != c.GetOrganisation() {
		return "the rollout is for another organisation"
	}
	if s.rollouts[id.Rollout(r.GetId())] != nil {
		return "a rollout of this ID exists"
	}
	current := s.Current(id.Organisation(org.GetId()), id.Model(r.GetVersion().GetModel()))
	if reason := revisionConflict(c.GetBaseRevision(), current.GetRevision()); reason != "" {
		return reason
	}
	if reason := s.checkQuotas(org, r, current); reason != "" {
		return reason
	}
	next := proto.CloneOf(r)
	next.State = pb.RolloutState_ROLLOUT_STATE_ACTIVE
	next.Revision, next.Fence = uint64(offset), uint64(offset)
	next.Operator = c.GetOperator()
	next.CreatedUnixMs = c.GetAtUnixMs()
	if next.GetObjective() == pb.Objective_OBJECTIVE_UNSPECIFIED {
		next.Objective = org.GetObjective()
	}
	if current != nil {
		s.endRollout(offset, current, pb.RolloutState_ROLLOUT_STATE_SUPERSEDED)
	}
	s.rollouts[id.Rollout(next.GetId())] = next
	s.removeOldEnded(next)
	return ""
}

func (s *State) checkQuotas(org *pb.Organisation, r, current *pb.Rollout) string {
	limit := org.GetQuotas().GetRollouts()
	if limit == 0 {
		limit = defaultRollouts
	}
	active := uint32(0)
	for _, a := range s.rollouts {
		if a.GetOrganisation() == org.GetId() && a.GetState() == pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			active++
		}
	}
	if current == nil && active >= limit {
		return fmt.Sprintf("the organisation may have %d active rollouts", limit)
	}
	bytes := org.GetQuotas().GetVersionBytes()
	if bytes == 0 {
		bytes = defaultVersionBytes
	}
	if r.GetVersion().GetTotalBytes() > bytes {
		return fmt.Sprintf("the organisation's versions may have %d bytes", bytes)
	}
	return ""
}

func (s *State) cancelRollout(offset id.Offset, c *pb.Change, name id.Rollout) string {
	r := s.rollouts[name]
	if r == nil || r.GetOrganisation() != c.GetOrganisation() {
		return "the rollout does not exist"
	}
	if r.GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE {
		return "the rollout has ended"
	}
	if reason := revisionConflict(c.GetBaseRevision(), r.GetRevision()); reason != "" {
		return reason
	}
	s.endRollout(offset, r, pb.RolloutState_ROLLOUT_STATE_CANCELLED)
	return ""
}

func (s *State) endRollout(offset id.Offset, r *pb.Rollout, state pb.RolloutState) {
	next := proto.CloneOf(r)
	next.State = state
	next.Revision = uint64(offset)
	s.rollouts[id.Rollout(r.GetId())] = next
}

// removeOldEnded removes the oldest ended rollouts of a model once there are more than maxEndedRollouts.
func (s *State) removeOldEnded(rollout *pb.Rollout) {
	var ended []*pb.Rollout
	for _, r := range s.Rollouts() {
		same := r.GetOrganisation() == rollout.GetOrganisation() && r.GetVersion().GetModel() == rollout.GetVersion().GetModel()
		if same && r.GetState() != pb.RolloutState_ROLLOUT_STATE_ACTIVE {
			ended = append(ended, r)
		}
	}
	for len(ended) > maxEndedRollouts {
		delete(s.rollouts, id.Rollout(ended[0].GetId()))
		ended = ended[1:]
	}
}

// CheckOrganisation validates an organisation. It returns the reason why it is invalid, or an empty string.
func CheckOrganisation(o *pb.Organisation) string {
	if !idPattern.MatchString(o.GetId()) {
		return "organisation.id wants 1 to 63 lower-case letters, digits and dashes"
	}
	for _, h := range append(o.GetOperatorTokenSha256(), o.GetCallerKeySha256()...) {
		if len(h) != sha256Bytes {
			return "token and key hashes want 32 bytes each"
		}
	}
	return ""
}

// CheckRollout validates a new rollout. It returns the reason why it is invalid, or an empty string.
func CheckRollout(r *pb.Rollout) string {
	v := r.GetVersion()
	switch {
	case len(r.GetId()) == 0 || len(r.GetId()) > maxNameBytes:
		return "rollout.id wants 1 to 128 characters"
	case !namePattern.MatchString(v.GetModel()):
		return "version.model wants 1 to 128 letters, digits and . _ / : -"
	case !namePattern.MatchString(v.GetName()):
		return "version.name wants 1 to 128 letters, digits and . _ / : -"
	case v.GetSource() == "":
		return "version.source wants the version's path at the origin"
	case len(v.GetManifestSha256()) != sha256Bytes:
		return "version.manifest_sha256 wants 32 bytes"
	case v.GetTotalBytes() == 0 || v.GetChunkBytes() == 0:
		return "version.total_bytes and version.chunk_bytes want to be above 0"
	case ChunkCount(v) > maxChunks:
		return fmt.Sprintf("a version may have %d chunks; take larger ones", maxChunks)
	case r.GetOriginCopies() < 0 || r.GetOriginCopies() > maxCopies:
		return "origin_copies wants a number from 0 to 64"
	case r.GetNotBeforeUnixMs() < 0:
		return "not_before wants a time after 1970"
	}
	return ""
}

// ChunkCount returns the number of chunks of a version.
func ChunkCount(v *pb.Version) uint64 {
	if v.GetChunkBytes() == 0 {
		return 0
	}
	return (v.GetTotalBytes()-1)/v.GetChunkBytes() + 1
}

// NotBefore returns the earliest time at which the rollout may receive traffic. The zero time means immediately.
func NotBefore(r *pb.Rollout) time.Time {
	if r.GetNotBeforeUnixMs() == 0 {
		return time.Time{}
	}
	return time.UnixMilli(r.GetNotBeforeUnixMs())
}

// IsTarget reports whether a VM should hold the rollout's version: it is an upstream with an engine, and in the pool and
// the failure domains that the rollout targets.
func IsTarget(r *pb.Rollout, v *pb.VM) bool {
	if v.GetRole() != "upstream" || !v.GetEngine() {
		return false
	}
	t := r.GetTargets()
	if t.GetPool() != "" && t.GetPool() != v.GetPool() {
		return false
	}
	for _, d := range t.GetDomains() {
		if d == v.GetDomain() {
			return true
		}
	}
	return len(t.GetDomains()) == 0
}
