package stager

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/transfer"
)

// takeOverStagedChunks adds the chunks that an earlier process left staged at the upstream to the holding. Chunks whose
// hash does not match are skipped. It runs once per process.
func (s *Stager) takeOverStagedChunks(ctx context.Context, g *targetVersion, h *transfer.Holding) {
	if s.stagedChunksRead.Swap(true) {
		// From the second version on, only this process has staged chunks.
		return
	}
	l, err := s.ports.Upstream.StagedChunks(ctx, g.model)
	if err != nil {
		s.log.Info().Err(err).Str("version", g.rolloutID()).Msg("could not list the staged chunks of an earlier process")
		return
	}
	valid, corrupt := 0, 0
	for _, c := range l {
		if int(c) >= g.engine.Chunks || h.Chunk(c) != nil {
			continue
		}
		data, err := s.ports.Upstream.ReadChunk(ctx, g.model, c)
		if err == nil {
			_, err = h.Add(c, data)
		}
		if err != nil {
			corrupt++
			continue
		}
		valid++
	}
	s.log.Info().Str("version", g.rolloutID()).Int("chunks", valid).Int("other", corrupt).Msg("took over the chunks that an earlier process staged")
}

// servesVersion reports whether the upstream serves the version.
func (s *Stager) servesVersion(g *targetVersion) bool {
	state, up := s.upstreamState()
	return up && facts.HeldRevision(state.Held, g.model) == g.wanted.Revision
}

// stageChunks copies verified chunks to the upstream as they arrive, until all are staged.
func (s *Stager) stageChunks(ctx context.Context, g *targetVersion) error {
	staged := 0
	for ctx.Err() == nil && !s.servesVersion(g) {
		changed := g.holding.Changed()
		s.closeEarly(g)
		fresh := g.holding.AddedSince(g.holding.Epoch(), uint32(staged))
		for _, c := range fresh {
			if err := s.ports.Upstream.StageChunk(ctx, g.model, id.Chunk(c), g.holding.Chunk(id.Chunk(c))); err != nil {
				return trace.Wrap(err)
			}
			staged++
		}
		if staged == g.engine.Chunks {
			g.staged.Store(true)
			s.log.Info().Str("version", g.rolloutID()).Int64("since_named_ms", s.millisSinceLearnt(g)).
				Int64("origin_bytes", s.stats.Read().Origin).Msg("all chunks staged")
			return nil
		}
		if len(fresh) == 0 {
			waitForSignal(ctx, changed, reconcileInterval)
		}
	}
	return trace.Wrap(ctx.Err())
}

// closeEarly stops new requests to an upstream shortly before the last chunks of its next version are expected, so that
// the load order need not wait for requests that are already on their way. If the remaining chunks are late, it accepts
// requests again and does not close early a second time.
func (s *Stager) closeEarly(g *targetVersion) {
	state, up := s.upstreamState()
	if !up || facts.HeldRevision(state.Held, g.model) == 0 || g.wanted.LearntAt.IsZero() || s.isSuperseded(g) {
		return
	}
	if g.closedEarly {
		s.mu.Lock()
		late := s.closed && s.now().Sub(s.closedAt) > maxEarlyClose
		s.mu.Unlock()
		if late {
			s.log.Warn().Str("version", g.rolloutID()).Msg("accepting requests again: the remaining chunks are late")
			s.setClosed(false)
		}
		return
	}
	held, all := g.holding.Count()
	now := s.now()
	if held == 0 || all == 0 || s.loadAt(g, now).After(now) {
		return
	}
	remaining := s.now().Sub(g.wanted.LearntAt) / time.Duration(held) * time.Duration(all-held)
	if remaining <= swapplan.LateArrivalWait {
		g.closedEarly = true
		s.setClosed(true)
	}
}

// maxEarlyClose is how long an upstream that was closed early waits for the rest of its version.
const maxEarlyClose = time.Second

// millisSinceLearnt returns the milliseconds since this process learnt of the version, or 0 for a version that was
// published before the process started.
func (s *Stager) millisSinceLearnt(g *targetVersion) int64 {
	if g.wanted.LearntAt.IsZero() {
		return 0
	}
	return s.now().Sub(g.wanted.LearntAt).Milliseconds()
}

// loadTimeout bounds a load order from the moment when no request runs at the upstream.
const loadTimeout = 9 * time.Second

// drainQueue waits until no request is queued at the upstream, which has just stopped accepting new ones. Running
// requests are finished by the upstream itself: during a swap few other upstreams could continue a stream on its
// version.
func (s *Stager) drainQueue(ctx context.Context) {
	s.mu.Lock()
	closedAt := s.closedAt
	s.mu.Unlock()
	deadline := closedAt.Add(swapplan.MaxDrain)
	kernel.Pause(ctx, closedAt.Add(swapplan.LateArrivalWait).Sub(s.now()))
	for ctx.Err() == nil && s.now().Before(deadline) {
		state, err := s.ports.Upstream.State(ctx)
		if err != nil || state.Waiting == 0 {
			return
		}
		kernel.Pause(ctx, loadPollInterval)
	}
}

// load orders the upstream to load the staged chunks and waits until it serves the version.
func (s *Stager) load(ctx context.Context, g *targetVersion) error {
	if s.servesVersion(g) {
		return nil
	}
	s.waitForSwapSlot(ctx, g)
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	v, err := s.verify(ctx, g)
	if errors.Is(err, ErrNotVerified) {
		// The upstream may have been closed early.
		s.setClosed(false)
		v, err = s.verify(ctx, g)
	}
	if err != nil {
		return err
	}
	g.loading.Store(true)
	s.setClosed(true)
	before, _ := s.upstreamState()
	isSwap := facts.HeldRevision(before.Held, g.model) > 0
	if v, err = s.drainAndVerify(ctx, g, v, isSwap); err != nil {
		return err
	}
	if err := s.order(ctx, g, v); err != nil {
		return err
	}
	go s.checkTakenChunks(ctx, g)
	if err := s.waitUntilServed(ctx, g, v.state.Orders+1); err != nil {
		return err
	}
	if isSwap {
		s.recordSwapDuration()
	}
	return nil
}

// drainAndVerify waits until no request is queued at an upstream that serves another version, and returns a verification that
// an order may rely on: the given one, or a new one if that is outdated.
func (s *Stager) drainAndVerify(ctx context.Context, g *targetVersion, v verification, isSwap bool) (verification, error) {
	if isSwap {
		s.drainQueue(ctx)
	}
	state, err := s.ports.Upstream.State(ctx)
	if err != nil {
		return verification{}, trace.Wrap(err)
	}
	if v.covers(state, s.now()) {
		v.state = state
		return v, nil
	}
	// The upstream has restarted and may have lost chunks, or this process did not run for a while: gateways may have sent
	// requests since, and chunks may have turned corrupt.
	s.announceClosedAgain()
	if isSwap {
		s.drainQueue(ctx)
	}
	return s.verify(ctx, g)
}

// order orders the upstream to load the verified chunks.
func (s *Stager) order(ctx context.Context, g *targetVersion, v verification) error {
	o := Order{Model: g.model, Revision: g.wanted.Revision, OrdersBefore: v.state.Orders, Incarnation: v.state.Incarnation, ValidUntil: v.validUntil}
	sentAt := s.now()
	if err := s.ports.Upstream.Load(ctx, o); err != nil {
		s.orders.Add("failed", 1)
		if !s.orderTaken(ctx, o.OrdersBefore) {
			return trace.Wrap(err)
		}
	}
	s.orders.Add("taken", 1)
	s.log.Info().Str("version", g.rolloutID()).Uint64("after", o.OrdersBefore).Int("running", v.state.Running).
		Int64("since_named_ms", s.millisSinceLearnt(g)).Int64("verified_ms", sentAt.Sub(v.began).Milliseconds()).
		Int64("answer_ms", s.now().Sub(sentAt).Milliseconds()).Msg("load ordered")
	return nil
}

// orderTaken reports whether the upstream accepted an order whose response was lost.
func (s *Stager) orderTaken(ctx context.Context, before uint64) bool {
	state, err := s.ports.Upstream.State(ctx)
	return err == nil && state.Orders > before
}

// waitUntilServed waits until the upstream serves the version. It fails early if the upstream has restarted, or if it is
// idle without the version, as this order will then never be carried out.
func (s *Stager) waitUntilServed(ctx context.Context, g *targetVersion, orders uint64) error {
	deadline := s.now().Add(loadTimeout)
	idleDeadline := s.now().Add(idleTimeout)
	for ctx.Err() == nil && s.now().Before(deadline) {
		state, err := s.ports.Upstream.State(ctx)
		switch {
		case err != nil || state.Busy:
			idleDeadline = s.now().Add(idleTimeout)
			if err == nil && state.Running > 0 {
				deadline = s.now().Add(loadTimeout)
			}
		case facts.HeldRevision(state.Held, g.model) == g.wanted.Revision:
			s.log.Info().Str("version", g.rolloutID()).Int64("since_named_ms", s.millisSinceLearnt(g)).Msg("version served")
			s.pollUpstream(ctx)
			return nil
		case state.Orders < orders:
			return trace.Wrap(ErrOrderRefused, "the upstream has restarted")
		case s.now().After(idleDeadline):
			return trace.Wrap(ErrOrderRefused, "the upstream is idle and does not serve %s", g.rolloutID())
		}
		kernel.Pause(ctx, loadPollInterval)
	}
	return trace.Wrap(ErrOrderRefused, "the upstream does not serve %s in time", g.rolloutID())
}

// idleTimeout is how long an upstream may be idle before its load order counts as lost.
const idleTimeout = 400 * time.Millisecond

// loadPollInterval is the interval of state polls during a load. It is short because the upstream accepts no requests
// until a poll sees that the load is complete.
const loadPollInterval = 25 * time.Millisecond

// waitForChange waits until a newer version is published or the upstream no longer serves this one.
func (s *Stager) waitForChange(ctx context.Context, g *targetVersion) error {
	for ctx.Err() == nil && !s.isSuperseded(g) {
		state, up := s.upstreamState()
		if up && !state.Busy && facts.HeldRevision(state.Held, g.model) != g.wanted.Revision {
			s.log.Warn().Str("version", g.rolloutID()).Msg("the upstream no longer serves the version")
			return nil
		}
		kernel.Pause(ctx, pollInterval)
	}
	return nil
}
