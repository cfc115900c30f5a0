package stager

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/manifest"
	"github.com/springrail/springrail/internal/swarm"
	"github.com/springrail/springrail/internal/transfer"
)

// targetVersion is a version of a model that the upstream should serve.
type targetVersion struct {
	model    id.Model
	wanted   facts.Wanted
	engine   *catalog.Engine
	pool     id.Pool
	origin   string
	rollout  *pb.Rollout
	holding  *transfer.Holding
	download *transfer.Download
	// staged is true once all chunks are staged at the upstream.
	staged atomic.Bool
	// loading is true once the upstream accepts no new requests because it is about to load the version.
	loading atomic.Bool
	// successor is a version that was published while this one was being fetched, set once the transfer of the successor
	// has started.
	successor atomic.Pointer[targetVersion]
	startedAt time.Time
	// closedEarly is true once the upstream has stopped accepting requests before the version was staged.
	closedEarly bool
}

// rolloutID returns the rollout ID, which is the same at all stagers.
func (g *targetVersion) rolloutID() string {
	return fmt.Sprintf("%s@%d", g.model, g.wanted.Revision)
}

const (
	// reconcileInterval is the longest time between two checks for a target version.
	reconcileInterval = 500 * time.Millisecond
	// retryDelay is the delay before the deployment of a version is retried.
	retryDelay = 200 * time.Millisecond
)

// reconcile deploys the newest published version to the upstream until the context ends.
func (s *Stager) reconcile(ctx context.Context) {
	var previous *targetVersion
	for ctx.Err() == nil {
		changed := s.facts.Changed()
		g, ok := s.findTarget()
		if !ok {
			waitForSignal(ctx, changed, reconcileInterval)
			continue
		}
		if _, up := s.upstreamState(); !up {
			// The chunks that are staged at the upstream may suffice; a download without them would fetch them from the
			// origin again.
			kernel.Pause(ctx, pollInterval)
			continue
		}
		switch {
		case previous == nil:
		case previous.rolloutID() == g.rolloutID():
			g.closedEarly = previous.closedEarly
		default:
			s.dependencies.Holdings.MarkEvictable(id.Rollout(previous.rolloutID()))
		}
		previous = g
		if err := s.deploy(ctx, g); err != nil && ctx.Err() == nil {
			s.log.Warn().Err(err).Str("model", string(g.model)).Uint64("revision", uint64(g.wanted.Revision)).
				Msg("could not deploy the version yet; trying again")
			kernel.Pause(ctx, retryDelay)
		}
	}
}

// waitForSignal waits until the channel is closed, the timeout has passed or the context ends.
func waitForSignal(ctx context.Context, changed <-chan struct{}, timeout time.Duration) {
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
}

// findTarget returns the newest published version of the model that the upstream's pool serves.
func (s *Stager) findTarget() (*targetVersion, bool) {
	c := s.facts.Catalog()
	if c == nil {
		return nil, false
	}
	for _, p := range c.Services {
		if p.Engine == nil || string(p.Name) != s.settings.Pool || len(p.Engine.Models) == 0 {
			continue
		}
		m := p.Engine.Models[0]
		return &targetVersion{model: m, wanted: s.facts.Wanted(m), engine: p.Engine, pool: p.Name, origin: c.Origin()}, true
	}
	return nil, false
}

// errSuperseded means that a newer version was published.
var errSuperseded = errors.New("a newer version was published")

// deploy fetches, stages and loads a version. After success it returns once a newer version is published or the upstream
// no longer serves this one.
func (s *Stager) deploy(ctx context.Context, g *targetVersion) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if err := s.prepareDownload(g); err != nil {
		return err
	}
	go s.watchForSuccessor(ctx, g, cancel)
	go g.download.Run(ctx)
	err := s.stageChunks(ctx, g)
	if err == nil {
		err = s.load(ctx, g)
	}
	s.setClosed(false)
	if err != nil {
		if cause := context.Cause(ctx); errors.Is(cause, errSuperseded) {
			s.log.Info().Str("version", g.rolloutID()).Msg("superseded by a newer version")
			return nil
		}
		return err
	}
	return s.waitForChange(ctx, g)
}

// finishThreshold is the share of a superseded version that this VM and its neighbours must hold for its download to
// continue: the rest then takes less time than the newer version, whose first chunks have to come from the origin.
const finishThreshold = 0.5

// finishPollInterval is the interval of checks whether a superseded version is still worth finishing.
const finishPollInterval = 100 * time.Millisecond

// watchForSuccessor cancels a deployment once a newer version is published, unless this VM and its neighbours hold most
// of this one and the rest can come in time. In that case the newer one is fetched in parallel and the swap schedule
// decides whether this one is still loaded: nothing else could serve between the end of the old version's servable time
// and the end of the newer one's transfer.
func (s *Stager) watchForSuccessor(ctx context.Context, g *targetVersion, cancel context.CancelCauseFunc) {
	for ctx.Err() == nil {
		changed := s.facts.Changed()
		if s.isSuperseded(g) {
			break
		}
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	held, _ := g.holding.Count()
	if ctx.Err() != nil || s.servesVersion(g) ||
		(!g.staged.Load() && (g.download.ReachableShare() < finishThreshold || !s.canFinishInTime(g))) {
		cancel(errSuperseded)
		return
	}
	next, ok := s.findTarget()
	if !ok || s.prepareDownload(next) != nil {
		cancel(errSuperseded)
		return
	}
	s.log.Info().Str("version", g.rolloutID()).Int("chunks", held).Msg("a newer version was published; finishing this one first")
	go next.download.Run(ctx)
	g.successor.Store(next)
	for ctx.Err() == nil && !g.loading.Load() {
		if !s.canFinishInTime(g) || s.isSuperseded(next) {
			cancel(errSuperseded)
			return
		}
		kernel.Pause(ctx, finishPollInterval)
	}
}

// canFinishInTime reports whether a superseded version can be whole before the one that the upstream serves ends. If not,
// its requests to the origin only take up the link that the newest version needs.
func (s *Stager) canFinishInTime(g *targetVersion) bool {
	v, ok := s.planInputs(g, s.now())
	if !ok {
		return false
	}
	ready := s.now()
	if !g.staged.Load() {
		ready = ready.Add(g.download.MinRemaining())
	}
	return !ready.After(v.ServableUntil)
}

// isSuperseded reports whether a newer version was published.
func (s *Stager) isSuperseded(g *targetVersion) bool {
	return s.facts.Wanted(g.model).Revision != g.wanted.Revision
}

// prepareDownload creates the holding and the download of a version.
func (s *Stager) prepareDownload(g *targetVersion) error {
	e := g.engine
	if e.Chunks <= 0 || e.ChunkBytes <= 0 {
		return trace.Errorf("the configuration has no chunk count or chunk size for the weights of %s", g.model)
	}
	g.rollout = &pb.Rollout{Id: g.rolloutID(), Version: &pb.Version{
		Model: string(g.model), Name: fmt.Sprint(g.wanted.Revision),
		TotalBytes: uint64(e.Chunks) * uint64(e.ChunkBytes), ChunkBytes: uint64(e.ChunkBytes),
	}}
	h, err := s.dependencies.Holdings.Open(g.rollout)
	if err != nil {
		return err
	}
	g.holding, g.startedAt = h, s.now()
	links := s.peerTransport
	links.Members = func() []transfer.Member { return s.members(g) }
	links.FetchFromSource = func(ctx context.Context, _ *pb.Rollout, _ string, from, length int64) (transfer.SourceData, error) {
		return s.fetchFromOrigin(ctx, g, from, length)
	}
	dependencies := s.dependencies
	dependencies.LoadLocalChunks = func(ctx context.Context, h *transfer.Holding) { s.takeOverStagedChunks(ctx, g, h) }
	g.download = transfer.NewDownload(dependencies, g.rollout, h, links)
	s.mu.Lock()
	if s.currentDownload != nil {
		g.download.InheritLinkEstimate(s.currentDownload)
	}
	s.currentDownload = g.download
	s.mu.Unlock()
	return nil
}

// members returns the upstreams of the pool with the addresses of their stagers.
func (s *Stager) members(g *targetVersion) []transfer.Member {
	l := []transfer.Member{{Member: s.dependencies.Self, Address: s.peerAddress(s.ports.Address)}}
	for _, i := range s.facts.Instances() {
		if i.Pool == g.pool && i.Address != s.ports.Address {
			l = append(l, transfer.Member{
				Member:  swarm.Member{VM: id.VM(i.Address), Domain: i.Domain},
				Address: s.peerAddress(i.Address),
			})
		}
	}
	return l
}

// fetchManifest fetches a version's manifest from the origin. If the publication time of the version is unknown, it
// requests the newest manifest instead: the newest record may be of an older version, if it was written late, and after a
// power failure no upstream serves the newer version, which would show that it has been published.
func (s *Stager) fetchManifest(ctx context.Context, g *targetVersion) (*pb.Manifest, error) {
	r := g.wanted.Revision
	if g.wanted.PublishTime.After.IsZero() && !s.isSuperseded(g) {
		r = 0
	}
	m, is, err := s.ports.Origin.Manifest(ctx, g.origin, g.model, r)
	switch {
	case err != nil:
		return nil, err
	case r == 0 && is > g.wanted.Revision:
		if err := s.confirmNewest(ctx, g, is); err != nil {
			return nil, err
		}
		s.observeRevision(g.model, is, "origin")
		return nil, trace.Wrap(errSuperseded)
	case r == 0 && is != g.wanted.Revision:
		m, _, err = s.ports.Origin.Manifest(ctx, g.origin, g.model, g.wanted.Revision)
	}
	return m, err
}

// errUnconfirmed means that the origin did not state the same newest version twice.
var errUnconfirmed = errors.New("the origin states another newest version than before")

// confirmNewest asks the origin for its newest version again, as the first answer may be corrupt.
func (s *Stager) confirmNewest(ctx context.Context, g *targetVersion, r id.Revision) error {
	_, is, err := s.ports.Origin.Manifest(ctx, g.origin, g.model, 0)
	if err != nil {
		return err
	}
	if is != r {
		s.log.Warn().Str("model", string(g.model)).Uint64("first", uint64(r)).Uint64("then", uint64(is)).Msg("the origin states two newest versions")
		return trace.Wrap(errUnconfirmed)
	}
	return nil
}

// fetchFromOrigin fetches a chunk from the origin, or the manifest if the length is negative.
func (s *Stager) fetchFromOrigin(ctx context.Context, g *targetVersion, from, length int64) (transfer.SourceData, error) {
	if length < 0 {
		m, err := s.fetchManifest(ctx, g)
		if err != nil {
			return transfer.SourceData{}, err
		}
		raw, err := manifest.Encode(m)
		return transfer.SourceData{Data: raw, OriginBytes: int64(len(raw))}, err
	}
	c := id.Chunk(from / int64(g.engine.ChunkBytes))
	data, err := s.ports.Origin.Chunk(ctx, g.origin, g.model, g.wanted.Revision, c)
	s.stats.AddOrigin(int64(len(data)))
	return transfer.SourceData{Data: data, OriginBytes: int64(len(data))}, err
}
