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

// drainForSwap bounds the wait for requests on the version that a swap takes away.
const drainForSwap = 30 * time.Second

// progressSteps is the number of steps in which fetching is reported, so that a burst's heartbeats stay few.
const progressSteps = 8

// Activator orders the engine to load what this VM should serve, and announces only what the engine says it serves.
type Activator struct {
	live   *LiveVersions
	log    *log.Logger
	events *kernel.EventRing
	// engineState and load are the engine's; replicas, config, askTurn and report are the agent's other parts.
	engineState func(ctx context.Context) (engine.State, error)
	load        func(ctx context.Context, o engine.Order) error
	replicas    func() []transfer.Replica
	config      func() *config.State
	askTurn     func(ctx context.Context, r id.Rollout) bool
	report      func(change func(s *pb.VMStatus))
	localURL    string

	reported *pb.VMStatus
	// swapping holds the rollouts whose load has been ordered or is about to be, until the engine has them ready. They
	// count as out of service, also where the load failed, so that a version that can't be loaded stops the wave.
	swapping map[id.Rollout]bool
	// asking holds the rollouts whose turn is being asked for; granted brings those whose turn has come.
	asking  map[id.Rollout]bool
	granted chan turn
	// failed counts the loads of a rollout that failed in a row, and retry is when the next may be ordered.
	failed map[id.Rollout]int
	retry  map[id.Rollout]time.Time
}

// turn is the answer to a question for a turn.
type turn struct {
	rollout id.Rollout
	ok      bool
}

// NewActivator makes an activator with its seams.
func NewActivator(l *LiveVersions, g *log.Logger, e *kernel.EventRing) *Activator {
	return &Activator{
		live: l, log: g, events: e, swapping: map[id.Rollout]bool{}, asking: map[id.Rollout]bool{},
		failed: map[id.Rollout]int{}, retry: map[id.Rollout]time.Time{}, granted: make(chan turn, 16),
	}
}

// Reconcile looks at the engine once, gives the orders that are due and reports what changed.
func (a *Activator) Reconcile(ctx context.Context) {
	state, err := a.engineState(ctx)
	up := err == nil
	a.announce(state, up)
	replicas := a.replicas()
	for _, r := range replicas {
		if up && a.isDue(state, r) {
			a.ask(ctx, id.Rollout(r.Rollout.GetId()))
		}
	}
	a.publish(state, up, replicas)
}

func keyOf(r *pb.Rollout) modelKey {
	return modelKey{organisation: id.Organisation(r.GetOrganisation()), model: id.Model(r.GetVersion().GetModel())}
}

// loadedRollout finds the rollout whose exact content the engine says it has loaded for a model.
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

// announce makes the live versions those that the engine has ready, and no other.
func (a *Activator) announce(s engine.State, up bool) {
	ready := map[modelKey]bool{}
	for _, l := range s.Models {
		r := a.loadedRollout(l)
		if !up || l.Status != engine.StatusReady || r == nil || a.leaves(r) {
			continue
		}
		ready[keyOf(r)] = true
		if a.live.Announce(keyOf(r), l.Version, id.Rollout(r.GetId())) {
			a.event(kernel.EventVersionLive, r, "")
		}
	}
	for _, v := range a.live.List() {
		k := modelKey{organisation: id.Organisation(v.GetOrganisation()), model: id.Model(v.GetModel())}
		if !ready[k] && a.live.Withdraw(k) {
			a.event(kernel.EventVersionLost, a.config().Rollout(id.Rollout(v.GetRollout())), "the engine no longer serves it")
		}
	}
}

// leaves says whether a rollout's version may no longer be served at all.
func (a *Activator) leaves(r *pb.Rollout) bool {
	return r.GetState() == pb.RolloutState_ROLLOUT_STATE_CANCELLED
}

func (a *Activator) event(k kernel.EventKind, r *pb.Rollout, detail string) {
	if r == nil {
		return
	}
	a.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(r.GetOrganisation()), Rollout: id.Rollout(r.GetId()), Detail: detail,
	})
}

// ask asks for a rollout's turn, once at a time.
func (a *Activator) ask(ctx context.Context, r id.Rollout) {
	if a.asking[r] {
		return
	}
	a.asking[r] = true
	go func() {
		ok := a.askTurn(ctx, r)
		select {
		case a.granted <- turn{rollout: r, ok: ok}:
		case <-ctx.Done():
		}
	}()
}

// HandleTurn carries out a turn, if it was given and the load is still due.
func (a *Activator) HandleTurn(ctx context.Context, t turn) {
	delete(a.asking, t.rollout)
	state, err := a.engineState(ctx)
	if !t.ok || err != nil {
		return
	}
	replicas := a.replicas()
	for _, p := range replicas {
		if id.Rollout(p.Rollout.GetId()) == t.rollout && a.isDue(state, p) {
			a.swap(ctx, state, p, replicas)
		}
	}
}

// isDue says whether a version is whole and the engine has nothing newer.
func (a *Activator) isDue(s engine.State, p transfer.Replica) bool {
	r := p.Rollout
	if !p.Complete {
		return false
	}
	l, ok := s.FindModel(id.Organisation(r.GetOrganisation()), id.Model(r.GetVersion().GetModel()))
	if !ok || l.Fence < id.Fence(r.GetFence()) {
		return true
	}
	failed := l.Fence == id.Fence(r.GetFence()) && l.Status == engine.StatusFailed
	return failed && time.Now().After(a.retry[id.Rollout(r.GetId())])
}

// noteLoad sets the pause before a load that failed is ordered again: it doubles with each failure.
func (a *Activator) noteLoad(r id.Rollout) {
	a.retry[r] = time.Now().Add(min(loadRetry<<min(a.failed[r], maxLoadDoublings), loadRetryMost))
	a.failed[r]++
}

const (
	// loadRetry is the pause after the first order, loadRetryMost the longest one.
	loadRetry        = 500 * time.Millisecond
	loadRetryMost    = 30 * time.Second
	maxLoadDoublings = 6
)

// swap takes the old version out of service, says so, waits for the requests on it, and orders the load.
func (a *Activator) swap(ctx context.Context, s engine.State, p transfer.Replica, all []transfer.Replica) {
	r := p.Rollout
	k := keyOf(r)
	a.swapping[id.Rollout(r.GetId())] = true
	if old := a.live.Rollout(k); old != "" && a.live.Withdraw(k) {
		a.event(kernel.EventVersionLost, a.config().Rollout(old), "swap to "+r.GetVersion().GetName())
	}
	a.publish(s, true, all)
	ctx, stop := context.WithTimeout(ctx, drainForSwap)
	defer stop()
	a.live.WaitIdle(ctx, k)
	a.order(ctx, r)
}

func (a *Activator) order(ctx context.Context, r *pb.Rollout) {
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
		a.event(kernel.EventLoadRefused, r, "the engine has obeyed a later order")
	case err != nil:
		a.log.Warn().Err(err).Str("rollout", r.GetId()).Msg("the engine took no order")
	default:
		a.noteLoad(id.Rollout(r.GetId()))
		a.event(kernel.EventLoadOrdered, r, "")
	}
}

// publish reports the status if it differs from the last one.
func (a *Activator) publish(s engine.State, up bool, replicas []transfer.Replica) {
	next := &pb.VMStatus{
		Live: a.live.List(), UpstreamUp: up,
		Load: &pb.Load{Running: uint32(s.Load.Running), Queued: uint32(s.Load.Queued), Capacity: uint32(s.Load.Capacity)},
	}
	for _, r := range replicas {
		next.Replicas = append(next.Replicas, a.progress(s, r))
	}
	if a.reported != nil && sameStatus(next, a.reported) {
		return
	}
	a.reported = next
	a.report(func(m *pb.VMStatus) {
		m.Live, m.UpstreamUp, m.Load, m.Replicas = next.GetLive(), next.GetUpstreamUp(), next.GetLoad(), next.GetReplicas()
	})
}

func (a *Activator) progress(s engine.State, p transfer.Replica) *pb.ReplicaProgress {
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
		delete(a.failed, id.Rollout(r.GetId()))
	case engine.StatusLoading:
		m.State, m.Reason = pb.ReplicaState_REPLICA_STATE_LOADING, "the engine loads"
	case engine.StatusFailed:
		m.Reason = "the engine failed to load: " + l.Reason
	}
	return m
}

// sameStatus compares what others decide by; chunk counts only in steps.
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
		step(a) == step(b)
}

func step(p *pb.ReplicaProgress) uint32 {
	if p.GetChunksTotal() == 0 {
		return 0
	}
	return p.GetChunksHeld() * progressSteps / p.GetChunksTotal()
}
