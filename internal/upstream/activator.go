package upstream

import (
	"context"
	"encoding/hex"
	"errors"
	"slices"
	"time"

	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/transfer"
)

// swapDrainTimeout bounds the wait for requests on the version that a swap replaces.
const swapDrainTimeout = 30 * time.Second

// progressSteps is the number of steps in which a download's progress is reported, which bounds the number of status reports
// during a rollout.
const progressSteps = 8

// Activator orders the engine to load the versions that this VM should serve, and announces only those that the engine reports
// as ready.
type Activator struct {
	live   *LiveVersions
	log    *log.Logger
	events *kernel.EventRing
	// engineState and load call the engine; replicas, config, requestPermit and report call other parts of the agent.
	engineState   func(ctx context.Context) (engine.State, error)
	load          func(ctx context.Context, o engine.Order) error
	replicas      func() []transfer.Replica
	config        func() *config.State
	requestPermit func(ctx context.Context, r id.Rollout) (granted bool, validUntil time.Time)
	report        func(change func(s *pb.VMStatus))
	localURL      string

	lastReported *pb.VMStatus
	// swapping holds the rollouts from shortly before their load is ordered until the engine reports them as ready. They count
	// as out of service even if the load fails, so that a version that can't be loaded stops the rollout on further VMs.
	swapping map[id.Rollout]bool
	// pendingPermits holds the rollouts for which a swap permit has been requested; permitResults delivers the results.
	pendingPermits map[id.Rollout]bool
	permitResults  chan permitResult
	// failedLoads counts the load orders of a rollout since it was last ready, and retryAt is the earliest time of the next
	// one.
	failedLoads map[id.Rollout]int
	retryAt     map[id.Rollout]time.Time
}

// permitResult tells whether the permit to swap to a rollout's version on this VM was granted. It may be used until validUntil;
// zero means that the entry did not say.
type permitResult struct {
	rollout    id.Rollout
	granted    bool
	validUntil time.Time
}

// NewActivator returns an activator. Its function fields have to be set before use.
func NewActivator(l *LiveVersions, g *log.Logger, e *kernel.EventRing) *Activator {
	return &Activator{
		live: l, log: g, events: e, swapping: map[id.Rollout]bool{}, pendingPermits: map[id.Rollout]bool{},
		failedLoads: map[id.Rollout]int{}, retryAt: map[id.Rollout]time.Time{}, permitResults: make(chan permitResult, 16),
	}
}

// Reconcile reads the engine's state, requests swap permits for the loads that are due and reports changes.
func (a *Activator) Reconcile(ctx context.Context) {
	state, err := a.engineState(ctx)
	up := err == nil
	a.announce(state, up)
	replicas := a.replicas()
	for _, r := range replicas {
		if up && a.isLoadDue(state, r) {
			a.acquirePermit(ctx, id.Rollout(r.Rollout.GetId()))
		}
	}
	a.reportStatus(state, up, replicas)
}

func modelKeyOf(r *pb.Rollout) modelKey {
	return modelKey{organisation: id.Organisation(r.GetOrganisation()), model: id.Model(r.GetVersion().GetModel())}
}

// loadedRollout returns the rollout with exactly the content that the engine has loaded for a model, or nil.
func (a *Activator) loadedRollout(l engine.ModelState) *pb.Rollout {
	for _, r := range a.config().Rollouts() {
		v := r.GetVersion()
		if r.GetOrganisation() == string(l.Organisation) && v.GetModel() == string(l.Model) &&
			id.Fence(r.GetFence()) == l.Fence && hex.EncodeToString(v.GetManifestSha256()) == l.ManifestSHA256 {
			return r
		}
	}
	return nil
}

// announce makes exactly those versions live that the engine reports as ready.
func (a *Activator) announce(s engine.State, up bool) {
	ready := map[modelKey]bool{}
	for _, l := range s.Models {
		r := a.loadedRollout(l)
		if !up || l.Status != engine.StatusReady || r == nil || a.isCancelled(r) {
			continue
		}
		ready[modelKeyOf(r)] = true
		if a.live.Announce(modelKeyOf(r), l.Version, id.Rollout(r.GetId())) {
			a.addEvent(kernel.EventVersionLive, r, "")
		}
	}
	for _, v := range a.live.List() {
		k := modelKey{organisation: id.Organisation(v.GetOrganisation()), model: id.Model(v.GetModel())}
		if !ready[k] && a.live.Withdraw(k) {
			a.addEvent(kernel.EventVersionLost, a.config().Rollout(id.Rollout(v.GetRollout())), "the engine no longer serves it")
		}
	}
}

// isCancelled reports whether a rollout is cancelled, so that its version may no longer be served.
func (a *Activator) isCancelled(r *pb.Rollout) bool {
	return r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED
}

func (a *Activator) addEvent(k kernel.EventKind, r *pb.Rollout, detail string) {
	if r == nil {
		return
	}
	a.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(r.GetOrganisation()), Rollout: id.Rollout(r.GetId()), Detail: detail,
	})
}

// acquirePermit requests a rollout's swap permit in the background, unless a request is pending.
func (a *Activator) acquirePermit(ctx context.Context, r id.Rollout) {
	if a.pendingPermits[r] {
		return
	}
	a.pendingPermits[r] = true
	go func() {
		granted, validUntil := a.requestPermit(ctx, r)
		select {
		case a.permitResults <- permitResult{rollout: r, granted: granted, validUntil: validUntil}:
		case <-ctx.Done():
		}
	}()
}

// HandleTurn swaps to a rollout's version if its swap permit was granted and is valid, and the load is still due.
func (a *Activator) HandleTurn(ctx context.Context, t permitResult) {
	delete(a.pendingPermits, t.rollout)
	state, err := a.engineState(ctx)
	if !t.granted || err != nil {
		return
	}
	replicas := a.replicas()
	if !t.validUntil.IsZero() && !time.Now().Before(t.validUntil) {
		a.log.Info().Str("rollout", string(t.rollout)).Msg("the swap permit has expired; asking again")
		return
	}
	for _, p := range replicas {
		if id.Rollout(p.Rollout.GetId()) == t.rollout && a.isLoadDue(state, p) {
			a.swap(ctx, state, p, replicas)
		}
	}
}

// isLoadDue reports whether a version is completely downloaded, and the engine either has neither it nor a newer one, or
// failed to load it and the retry delay has passed.
func (a *Activator) isLoadDue(s engine.State, p transfer.Replica) bool {
	r := p.Rollout
	if !p.Complete {
		return false
	}
	l, ok := s.FindModel(id.Organisation(r.GetOrganisation()), id.Model(r.GetVersion().GetModel()))
	if !ok || l.Fence < id.Fence(r.GetFence()) {
		return true
	}
	failed := l.Fence == id.Fence(r.GetFence()) && l.Status == engine.StatusFailed
	return failed && time.Now().After(a.retryAt[id.Rollout(r.GetId())])
}

// scheduleRetry sets the delay before the load is ordered again if it fails. The delay doubles with each order.
func (a *Activator) scheduleRetry(r id.Rollout) {
	a.retryAt[r] = time.Now().Add(min(loadRetryDelay<<min(a.failedLoads[r], maxLoadDoublings), maxLoadRetryDelay))
	a.failedLoads[r]++
}

const (
	// loadRetryDelay is the delay after the first order, and maxLoadRetryDelay the upper bound of the backoff.
	loadRetryDelay    = 500 * time.Millisecond
	maxLoadRetryDelay = 30 * time.Second
	maxLoadDoublings  = 6
)

// swap takes the old version out of service, reports it, waits for the requests on the old version, and orders the load.
func (a *Activator) swap(ctx context.Context, s engine.State, p transfer.Replica, all []transfer.Replica) {
	r := p.Rollout
	k := modelKeyOf(r)
	a.swapping[id.Rollout(r.GetId())] = true
	if old := a.live.Rollout(k); old != "" && a.live.Withdraw(k) {
		a.addEvent(kernel.EventVersionLost, a.config().Rollout(old), "swap to "+r.GetVersion().GetName())
	}
	a.reportStatus(s, true, all)
	waitContext, stop := context.WithTimeout(ctx, swapDrainTimeout)
	defer stop()
	a.live.WaitIdle(waitContext, k)
	a.orderLoad(ctx, r)
}

func (a *Activator) orderLoad(ctx context.Context, r *pb.Rollout) {
	v := r.GetVersion()
	err := a.load(ctx, engine.Order{
		Organisation: id.Organisation(r.GetOrganisation()), Model: id.Model(v.GetModel()),
		BaseModel: id.Model(v.GetBaseModel()), Version: id.Version(v.GetName()), Fence: id.Fence(r.GetFence()),
		ManifestSHA256: hex.EncodeToString(v.GetManifestSha256()),
		ManifestURL:    a.localURL + "/local/" + r.GetId() + "/manifest",
		ContentURL:     a.localURL + "/local/" + r.GetId() + "/content",
	})
	switch {
	case errors.Is(err, engine.ErrStaleFence):
		a.addEvent(kernel.EventLoadRefused, r, "the engine has obeyed a later order")
	case err != nil:
		a.log.Warn().Err(err).Str("rollout", r.GetId()).Msg("the engine did not accept the order to load")
	default:
		a.scheduleRetry(id.Rollout(r.GetId()))
		a.addEvent(kernel.EventLoadOrdered, r, "")
	}
}

// reportStatus reports the status if it differs from the last one reported.
func (a *Activator) reportStatus(s engine.State, up bool, replicas []transfer.Replica) {
	next := &pb.VMStatus{
		Live: a.live.List(), UpstreamUp: up,
		Load: &pb.Load{Running: uint32(s.Load.Running), Queued: uint32(s.Load.Queued), Capacity: uint32(s.Load.Capacity)},
	}
	for _, r := range replicas {
		next.Replicas = append(next.Replicas, a.replicaProgress(s, r))
	}
	if a.lastReported != nil && sameStatus(next, a.lastReported) {
		return
	}
	a.lastReported = next
	a.report(func(m *pb.VMStatus) {
		m.Live, m.UpstreamUp, m.Load, m.Replicas = next.GetLive(), next.GetUpstreamUp(), next.GetLoad(), next.GetReplicas()
	})
}

func (a *Activator) replicaProgress(s engine.State, p transfer.Replica) *pb.ReplicaProgress {
	r := p.Rollout
	m := &pb.ReplicaProgress{
		Rollout: r.GetId(), Organisation: r.GetOrganisation(), State: pb.ReplicaState_REPLICA_STATE_FETCHING,
		ChunksHeld: uint32(p.Held), ChunksTotal: uint32(p.Total), OriginBytes: uint64(p.OriginBytes), Reason: p.Reason,
	}
	if p.Complete {
		m.State, m.Reason = pb.ReplicaState_REPLICA_STATE_COMPLETE, "waits for its turn to swap"
	}
	if a.swapping[id.Rollout(r.GetId())] {
		m.State, m.Reason = pb.ReplicaState_REPLICA_STATE_LOADING, "the engine is about to load"
	}
	l, ok := s.FindModel(id.Organisation(r.GetOrganisation()), id.Model(r.GetVersion().GetModel()))
	if !ok || l.Fence != id.Fence(r.GetFence()) {
		return m
	}
	switch l.Status {
	case engine.StatusReady:
		m.State, m.Reason = pb.ReplicaState_REPLICA_STATE_READY, ""
		delete(a.swapping, id.Rollout(r.GetId()))
		delete(a.failedLoads, id.Rollout(r.GetId()))
	case engine.StatusLoading:
		m.State, m.Reason = pb.ReplicaState_REPLICA_STATE_LOADING, "the engine loads"
	case engine.StatusFailed:
		m.Reason = "the engine failed to load: " + l.Reason
	}
	return m
}

// sameStatus compares the fields that other processes act on, and chunk counts only in steps.
func sameStatus(a, b *pb.VMStatus) bool {
	if a.GetUpstreamUp() != b.GetUpstreamUp() || !slices.EqualFunc(a.GetLive(), b.GetLive(), sameLive) {
		return false
	}
	return slices.EqualFunc(a.GetReplicas(), b.GetReplicas(), sameReplica)
}

func sameLive(a, b *pb.LiveVersion) bool {
	return a.GetOrganisation() == b.GetOrganisation() && a.GetModel() == b.GetModel() && a.GetRollout() == b.GetRollout()
}

func sameReplica(a, b *pb.ReplicaProgress) bool {
	return a.GetRollout() == b.GetRollout() && a.GetState() == b.GetState() && a.GetReason() == b.GetReason() &&
		progressStep(a) == progressStep(b)
}

func progressStep(p *pb.ReplicaProgress) uint32 {
	if p.GetChunksTotal() == 0 {
		return 0
	}
	return p.GetChunksHeld() * progressSteps / p.GetChunksTotal()
}
