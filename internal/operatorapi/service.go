package operatorapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	rpcs "github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/platform"
)

type (
	eventsRequest = pb.EventsRequest
	event         = pb.Event
)

// Service implements the procedures of the operator API. AuthInterceptor has authorised each call before.
type Service struct {
	state         func() *config.State
	configChanged func() <-chan struct{}
	ready         func() bool
	submit        func(ctx context.Context, m *pb.Change) (*pb.ChangeOutcome, error)
	changeTimeout time.Duration
	events        *kernel.EventRing
	clock         *kernel.Clock
	statuses      func() []*pb.VMStatus
	statusChanged func() <-chan struct{}
	vms           func() *pb.VMList
	processClient func(address string) rpcs.ProcessServiceClient
	isOpen        func(r id.Rollout, d id.Domain) bool
	localEvents   func(q *eventsRequest) []*event
	readManifest  func(ctx context.Context, source string) ([]byte, error)
	now           func() time.Time
}

// submitChange appends a change to the log and waits for its outcome.
func (s *Service) submitChange(ctx context.Context, c *pb.Change) error {
	if c.GetChangeId() == "" {
		c.ChangeId = uuid.NewString()
	}
	c.Operator = principalOf(ctx).name
	c.AtUnixMs = s.now().UnixMilli()
	s.addEvent(kernel.EventChangeRequested, c, "")
	at := s.clock.Now()
	c.At = &pb.Timestamp{WallUnixMs: at.WallUnixMs, Logical: at.Logical}
	ctx, stop := context.WithTimeout(ctx, s.changeTimeout)
	defer stop()
	_, err := s.submit(ctx, c)
	if err != nil {
		s.addEvent(kernel.EventChangeApplied, c, err.Error())
		return toConnectError(err)
	}
	s.addEvent(kernel.EventChangeApplied, c, "accepted")
	return nil
}

func (s *Service) addEvent(k kernel.EventKind, c *pb.Change, detail string) {
	rollout := c.GetCreateRollout().GetRollout().GetId() + c.GetCancelRollout().GetRollout()
	s.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(c.GetOrganisation()), Rollout: id.Rollout(rollout),
		Detail: fmt.Sprintf("change %s by %s %s", c.GetChangeId(), c.GetOperator(), detail),
	})
}

// PutOrganisation creates or replaces an organisation.
func (s *Service) PutOrganisation(ctx context.Context, r *pb.PutOrganisationRequest) (*pb.PutOrganisationResponse, error) {
	if reason := config.CheckOrganisation(r.GetOrganisation()); reason != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New(reason))
	}
	name := r.GetOrganisation().GetId()
	err := s.submitChange(ctx, &pb.Change{
		ChangeId: r.GetChangeId(), Organisation: name, BaseRevision: r.GetBaseRevision(),
		Operation: &pb.Change_PutOrganisation{PutOrganisation: &pb.PutOrganisation{Organisation: r.GetOrganisation()}},
	})
	if err != nil {
		return nil, err
	}
	return &pb.PutOrganisationResponse{Organisation: s.state().Organisation(id.Organisation(name))}, nil
}

// GetOrganisation returns one organisation.
func (s *Service) GetOrganisation(_ context.Context, r *pb.GetOrganisationRequest) (*pb.GetOrganisationResponse, error) {
	o := s.state().Organisation(id.Organisation(r.GetOrganisation()))
	if o == nil {
		return nil, toConnectError(ErrNotFound)
	}
	return &pb.GetOrganisationResponse{Organisation: o}, nil
}

// ListOrganisations returns the organisations that the caller has access to.
func (s *Service) ListOrganisations(ctx context.Context, _ *pb.ListOrganisationsRequest) (*pb.ListOrganisationsResponse, error) {
	p := principalOf(ctx)
	a := &pb.ListOrganisationsResponse{}
	for _, o := range s.state().Organisations() {
		if p.admin || p.organisation == id.Organisation(o.GetId()) {
			a.Organisations = append(a.Organisations, o)
		}
	}
	return a, nil
}

// CreateRollout makes a version the current one of its model. If the request lacks the version's sizes, they are read from
// the manifest at the origin, which must match the hash of the request if that has one.
func (s *Service) CreateRollout(ctx context.Context, r *pb.CreateRolloutRequest) (*pb.CreateRolloutResponse, error) {
	if r.GetRollout().GetVersion() == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("rollout.version is missing"))
	}
	wanted := proto.CloneOf(r.GetRollout())
	wanted.Id = rolloutID(wanted.GetOrganisation(), r.GetChangeId())
	if err := s.fillVersion(ctx, wanted.GetVersion()); err != nil {
		return nil, err
	}
	if reason := config.CheckRollout(wanted); reason != "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New(reason))
	}
	return s.create(ctx, r.GetChangeId(), r.GetBaseRevision(), wanted)
}

// rolloutID derives the rollout ID from the change ID, so that a retried call creates the same rollout, and from the
// organisation, so that equal change IDs of two organisations don't collide.
func rolloutID(organisation, change string) string {
	if change == "" {
		change = uuid.NewString()
	}
	return "r-" + uuid.NewSHA1(uuid.NameSpaceOID, []byte(organisation+"/"+change)).String()
}

func (s *Service) create(ctx context.Context, change string, base uint64, r *pb.Rollout) (*pb.CreateRolloutResponse, error) {
	err := s.submitChange(ctx, &pb.Change{
		ChangeId: change, Organisation: r.GetOrganisation(), BaseRevision: base,
		Operation: &pb.Change_CreateRollout{CreateRollout: &pb.CreateRollout{Rollout: r}},
	})
	if err != nil {
		return nil, err
	}
	return &pb.CreateRolloutResponse{Rollout: s.state().Rollout(id.Rollout(r.GetId()))}, nil
}

func (s *Service) fillVersion(ctx context.Context, v *pb.Version) error {
	if v.GetSource() == "" || v.GetTotalBytes() > 0 {
		return nil
	}
	raw, err := s.readManifest(ctx, v.GetSource())
	if err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, fmt.Errorf("the origin gives no manifest at %s", v.GetSource()))
	}
	sum := sha256.Sum256(raw)
	m := &pb.Manifest{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the origin's manifest can't be decoded"))
	}
	if len(v.GetManifestSha256()) > 0 && string(v.GetManifestSha256()) != string(sum[:]) {
		return connect.NewError(connect.CodeFailedPrecondition, errors.New("the origin's manifest is not the pinned one"))
	}
	v.ManifestSha256, v.TotalBytes, v.ChunkBytes = sum[:], m.GetTotalBytes(), m.GetChunkBytes()
	return nil
}

// manifestReader returns a function that reads a manifest from the origin, or from the store if the origin fails.
func manifestReader(p *platform.Client) func(ctx context.Context, source string) ([]byte, error) {
	const limit = 8 << 20
	return func(ctx context.Context, source string) ([]byte, error) {
		body, err := p.OpenObject(ctx, platform.SourceOrigin, source+"/manifest", 0, -1)
		if err != nil && p.HasStore() {
			body, err = p.OpenObject(ctx, platform.SourceStore, source+"/manifest", 0, -1)
		}
		if err != nil {
			return nil, err
		}
		defer body.Close()
		return io.ReadAll(io.LimitReader(body, limit))
	}
}

// findRollout returns a rollout of an organisation, or a "not found" error.
func (s *Service) findRollout(organisation, name string) (*pb.Rollout, error) {
	r := s.state().Rollout(id.Rollout(name))
	if r == nil || r.GetOrganisation() != organisation {
		return nil, toConnectError(ErrNotFound)
	}
	return r, nil
}

// progress returns the progress of a rollout in each failure domain, as far as this entry knows it.
func (s *Service) progress(r *pb.Rollout) []*pb.DomainProgress {
	var targets []*pb.VM
	for _, v := range s.vms().GetVms() {
		if config.IsTarget(r, v) {
			targets = append(targets, v)
		}
	}
	l := membership.Progress(r, targets, s.statuses())
	for _, d := range l {
		d.Open = s.isOpen(id.Rollout(r.GetId()), id.Domain(d.GetDomain()))
	}
	return l
}

// GetRollout returns one rollout and its progress.
func (s *Service) GetRollout(_ context.Context, r *pb.GetRolloutRequest) (*pb.GetRolloutResponse, error) {
	m, err := s.findRollout(r.GetOrganisation(), r.GetRollout())
	if err != nil {
		return nil, err
	}
	return &pb.GetRolloutResponse{Rollout: m, Progress: s.progress(m)}, nil
}

// ListRollouts returns the rollouts of an organisation, oldest first.
func (s *Service) ListRollouts(_ context.Context, r *pb.ListRolloutsRequest) (*pb.ListRolloutsResponse, error) {
	a := &pb.ListRolloutsResponse{}
	for _, m := range s.state().Rollouts() {
		if m.GetOrganisation() == r.GetOrganisation() {
			a.Rollouts = append(a.Rollouts, m)
		}
	}
	return a, nil
}

// watchInterval is the minimum time between two messages to a watcher.
const watchInterval = 200 * time.Millisecond

// WatchRollout streams the state of a rollout: now, and after each change of the configuration or of its progress.
func (s *Service) WatchRollout(ctx context.Context, r *pb.WatchRolloutRequest, out *connect.ServerStream[pb.WatchRolloutResponse]) error {
	var last *pb.WatchRolloutResponse
	for ctx.Err() == nil {
		configChanged, statusChanged := s.configChanged(), s.statusChanged()
		m, err := s.findRollout(r.GetOrganisation(), r.GetRollout())
		if err != nil {
			return err
		}
		next := &pb.WatchRolloutResponse{Rollout: m, Progress: s.progress(m)}
		if !proto.Equal(next, last) {
			if err := out.Send(next); err != nil {
				return err
			}
			last = next
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchInterval):
		}
		select {
		case <-ctx.Done():
		case <-configChanged:
		case <-statusChanged:
		case <-time.After(time.Second):
		}
	}
	return nil
}

// CancelRollout ends an active rollout.
func (s *Service) CancelRollout(ctx context.Context, r *pb.CancelRolloutRequest) (*pb.CancelRolloutResponse, error) {
	m, err := s.findRollout(r.GetOrganisation(), r.GetRollout())
	if err != nil {
		return nil, err
	}
	err = s.submitChange(ctx, &pb.Change{
		ChangeId: r.GetChangeId(), Organisation: r.GetOrganisation(), BaseRevision: baseOf(r.GetBaseRevision(), m),
		Operation: &pb.Change_CancelRollout{CancelRollout: &pb.CancelRollout{Rollout: r.GetRollout()}},
	})
	if err != nil {
		return nil, err
	}
	m, err = s.findRollout(r.GetOrganisation(), r.GetRollout())
	return &pb.CancelRolloutResponse{Rollout: m}, err
}

// baseOf returns the base revision of the request, or if it has none, the revision that this entry knows.
func baseOf(base uint64, r *pb.Rollout) uint64 {
	if base == 0 {
		return r.GetRevision()
	}
	return base
}

// RollBackRollout creates a rollout of the version that was current before the given rollout.
func (s *Service) RollBackRollout(ctx context.Context, r *pb.RollBackRolloutRequest) (*pb.RollBackRolloutResponse, error) {
	m, err := s.findRollout(r.GetOrganisation(), r.GetRollout())
	if err != nil {
		return nil, err
	}
	previous := s.state().Previous(m)
	if previous == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no earlier version of the model is known"))
	}
	next := proto.CloneOf(previous)
	next.Id, next.RolledBackFrom, next.NotBeforeUnixMs = rolloutID(m.GetOrganisation(), r.GetChangeId()), m.GetId(), 0
	current := s.state().Current(id.Organisation(m.GetOrganisation()), id.Model(m.GetVersion().GetModel()))
	a, err := s.create(ctx, r.GetChangeId(), baseOf(r.GetBaseRevision(), current), next)
	if err != nil {
		return nil, err
	}
	return &pb.RollBackRolloutResponse{Rollout: a.GetRollout()}, nil
}

// ListVMs returns the VMs that hold or serve an organisation's versions. The statuses omit those of other organisations.
func (s *Service) ListVMs(_ context.Context, r *pb.ListVMsRequest) (*pb.ListVMsResponse, error) {
	a := &pb.ListVMsResponse{}
	for _, m := range s.statuses() {
		v := &pb.VMStatus{
			Vm: m.GetVm(), Incarnation: m.GetIncarnation(), Sequence: m.GetSequence(), Leaving: m.GetLeaving(),
			UpstreamUp: m.GetUpstreamUp(),
		}
		for _, p := range m.GetReplicas() {
			if p.GetOrganisation() == r.GetOrganisation() {
				v.Replicas = append(v.Replicas, p)
			}
		}
		for _, l := range m.GetLive() {
			if l.GetOrganisation() == r.GetOrganisation() {
				v.Live = append(v.Live, l)
			}
		}
		if len(v.GetReplicas())+len(v.GetLive()) > 0 {
			a.Vms = append(a.Vms, v)
		}
	}
	return a, nil
}

// GetChange returns the outcome of a change.
func (s *Service) GetChange(_ context.Context, r *pb.GetChangeRequest) (*pb.GetChangeResponse, error) {
	o := s.state().Outcome(id.Organisation(r.GetOrganisation()), id.Change(r.GetChangeId()))
	if o == nil {
		return nil, toConnectError(ErrNotFound)
	}
	return &pb.GetChangeResponse{Outcome: o}, nil
}
