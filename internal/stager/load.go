package stager

import (
	"bytes"
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/transfer"
)

// adopt takes what lies staged beside the upstream from an earlier life of this process. Only verified chunks count.
func (s *Stager) adopt(ctx context.Context, g *goal, h *transfer.Holding) {
	if s.adopted.Swap(true) {
		// Whatever lies there now this process has put there itself.
		return
	}
	l, err := s.ports.Upstream.StagedChunks(ctx, g.model)
	if err != nil {
		s.log.Info().Err(err).Str("version", g.name()).Msg("nothing staged to take over")
		return
	}
	good, bad := 0, 0
	for _, c := range l {
		if int(c) >= g.engine.Chunks || h.Chunk(c) != nil {
			continue
		}
		data, err := s.ports.Upstream.ReadChunk(ctx, g.model, c)
		if err == nil {
			_, err = h.Add(c, data)
		}
		if err != nil {
			bad++
			continue
		}
		good++
	}
	s.log.Info().Str("version", g.name()).Int("chunks", good).Int("other", bad).Msg("staged chunks taken over")
}

// served says whether the upstream serves the version.
func (s *Stager) served(g *goal) bool {
	state, up := s.current()
	return up && facts.HeldRevision(state.Held, g.model) == g.wanted.Revision
}

// stage lays the chunks beside the upstream as they come, until all are there.
func (s *Stager) stage(ctx context.Context, g *goal) error {
	put := 0
	for ctx.Err() == nil && !s.served(g) {
		changed := g.holding.Changed()
		s.closeAhead(g)
		fresh := g.holding.AddedSince(g.holding.Epoch(), uint32(put))
		for _, c := range fresh {
			if err := s.ports.Upstream.StageChunk(ctx, g.model, id.Chunk(c), g.holding.Chunk(id.Chunk(c))); err != nil {
				return trace.Wrap(err)
			}
			put++
		}
		if put == g.engine.Chunks {
			g.staged.Store(true)
			s.log.Info().Str("version", g.name()).Int64("since_named_ms", s.sinceNamed(g)).
				Int64("origin_bytes", s.stats.Read().Origin).Msg("all chunks staged")
			return nil
		}
		if len(fresh) == 0 {
			waitFor(ctx, changed, workPause)
		}
	}
	return trace.Wrap(ctx.Err())
}

// closeAhead lets an upstream that is to load as soon as it can take nothing new shortly before its version is there,
// so that the order need not wait for requests that are on their way. It opens again where the rest of the version is
// late.
func (s *Stager) closeAhead(g *goal) {
	state, up := s.current()
	if !up || facts.HeldRevision(state.Held, g.model) == 0 || g.wanted.LearntAt.IsZero() || s.superseded(g) {
		return
	}
	if g.closedAhead {
		s.mu.Lock()
		late := s.closed && s.now().Sub(s.closedAt) > aheadMost
		s.mu.Unlock()
		if late {
			s.log.Warn().Str("version", g.name()).Msg("open again: the rest of the version is late")
			s.setClosed(false)
		}
		return
	}
	held, all := g.holding.Count()
	now := s.now()
	if held == 0 || all == 0 || s.loadAt(g, now).After(now) {
		return
	}
	left := s.now().Sub(g.wanted.LearntAt) / time.Duration(held) * time.Duration(all-held)
	if left <= swapplan.LateArrivalWait {
		g.closedAhead = true
		s.setClosed(true)
	}
}

// aheadMost is how long an upstream that was closed ahead waits for the rest of its version.
const aheadMost = time.Second

// sinceNamed is the time since this process read of the version in ms, or 0 for a version that was there before.
func (s *Stager) sinceNamed(g *goal) int64 {
	if g.wanted.LearntAt.IsZero() {
		return 0
	}
	return s.now().Sub(g.wanted.LearntAt).Milliseconds()
}

// verified compares what lies staged with the verified chunks until one life of the upstream has been looked at from the first
// chunk to the last, and returns that life.
func (s *Stager) verified(ctx context.Context, g *goal) (uint64, error) {
	for range verifyMost {
		before, err := s.ports.Upstream.State(ctx)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if err := s.verify(ctx, g); err != nil {
			return 0, err
		}
		after, err := s.ports.Upstream.State(ctx)
		if err != nil {
			return 0, trace.Wrap(err)
		}
		if after.Incarnation == before.Incarnation {
			return after.Incarnation, nil
		}
		s.log.Info().Str("version", g.name()).Uint64("life", after.Incarnation).Msg("the upstream may have started anew; verified again")
	}
	return 0, trace.Wrap(ErrOrderRefused, "the upstream starts anew again and again")
}

// verifyMost bounds how often chunks are verified for one order: an upstream that has not started anew closes a
// connection now and then, and hardly twice while a hundred chunks are read.
const verifyMost = 3

// verify compares the staged chunks with the verified ones and replaces what differs.
func (s *Stager) verify(ctx context.Context, g *goal) error {
	repaired := 0
	for n := range g.engine.Chunks {
		c := id.Chunk(n)
		want := g.holding.Chunk(c)
		got, err := s.ports.Upstream.ReadChunk(ctx, g.model, c)
		if err == nil && bytes.Equal(got, want) {
			continue
		}
		repaired++
		if err := s.ports.Upstream.StageChunk(ctx, g.model, c, want); err != nil {
			return trace.Wrap(err)
		}
	}
	if repaired > 0 {
		s.log.Warn().Str("version", g.name()).Int("chunks", repaired).Msg("staged chunks were corrupt and have been replaced")
	}
	return nil
}

// loadTimeout is how long an order may take once no request runs any more.
const loadTimeout = 9 * time.Second

// drain waits until no request waits at the upstream, which was closed a moment ago. Those that run are finished by the
// upstream itself: in a swap hardly any other one may continue a stream on its version.
func (s *Stager) drain(ctx context.Context) {
	s.mu.Lock()
	closedAt := s.closedAt
	s.mu.Unlock()
	until := closedAt.Add(swapplan.MaxDrain)
	kernel.Pause(ctx, closedAt.Add(swapplan.LateArrivalWait).Sub(s.now()))
	for ctx.Err() == nil && s.now().Before(until) {
		state, err := s.ports.Upstream.State(ctx)
		if err != nil || state.Waiting == 0 {
			return
		}
		kernel.Pause(ctx, servedLook)
	}
}

// load orders the upstream to load what is staged and waits until it serves the version.
func (s *Stager) load(ctx context.Context, g *goal) error {
	if s.served(g) {
		return nil
	}
	s.turn(ctx, g)
	if ctx.Err() != nil {
		return trace.Wrap(ctx.Err())
	}
	life, err := s.verified(ctx, g)
	if err != nil {
		return err
	}
	g.loading.Store(true)
	s.setClosed(true)
	before, _ := s.current()
	swaps := facts.HeldRevision(before.Held, g.model) > 0
	if swaps {
		s.drain(ctx)
	}
	state, err := s.ports.Upstream.State(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if state.Incarnation != life {
		// What was verified before the drain may be gone.
		if life, err = s.verified(ctx, g); err != nil {
			return err
		}
		if state, err = s.ports.Upstream.State(ctx); err != nil {
			return trace.Wrap(err)
		}
	}
	o := Order{Model: g.model, Revision: g.wanted.Revision, OrdersBefore: state.Orders, Incarnation: life}
	if err := s.ports.Upstream.Load(ctx, o); err != nil {
		s.orders.Add("failed", 1)
		if !s.taken(ctx, state.Orders) {
			return trace.Wrap(err)
		}
	}
	s.orders.Add("taken", 1)
	s.log.Info().Str("version", g.name()).Uint64("after", state.Orders).Int("running", state.Running).
		Int64("since_named_ms", s.sinceNamed(g)).
		Msg("load ordered")
	if err := s.waitServed(ctx, g, state.Orders+1); err != nil {
		return err
	}
	if swaps {
		s.noteOut()
	}
	return nil
}

// taken says whether the upstream has taken an order whose answer was lost.
func (s *Stager) taken(ctx context.Context, before uint64) bool {
	state, err := s.ports.Upstream.State(ctx)
	return err == nil && state.Orders > before
}

// waitServed waits until the upstream serves the version. One that has started anew in between, or that carries out
// nothing and does not serve it, never will by this order.
func (s *Stager) waitServed(ctx context.Context, g *goal, taken uint64) error {
	until := s.now().Add(loadTimeout)
	idleUntil := s.now().Add(idleMost)
	for ctx.Err() == nil && s.now().Before(until) {
		state, err := s.ports.Upstream.State(ctx)
		switch {
		case err != nil || state.Busy:
			idleUntil = s.now().Add(idleMost)
			if err == nil && state.Running > 0 {
				until = s.now().Add(loadTimeout)
			}
		case facts.HeldRevision(state.Held, g.model) == g.wanted.Revision:
			s.log.Info().Str("version", g.name()).Int64("since_named_ms", s.sinceNamed(g)).Msg("version served")
			s.look(ctx)
			return nil
		case state.Orders < taken:
			return trace.Wrap(ErrOrderRefused, "the upstream has started anew")
		case s.now().After(idleUntil):
			return trace.Wrap(ErrOrderRefused, "the upstream is idle without %s", g.name())
		}
		kernel.Pause(ctx, servedLook)
	}
	return trace.Wrap(ErrOrderRefused, "the upstream does not serve %s", g.name())
}

// idleMost is how long an upstream may carry out nothing before the order is taken for lost.
const idleMost = 400 * time.Millisecond

// servedLook is how often the upstream is asked whether it has loaded: what it waits costs capacity.
const servedLook = 25 * time.Millisecond

// keep waits until there is something to do again: a newer version, or an upstream that has lost this one.
func (s *Stager) keep(ctx context.Context, g *goal) error {
	for ctx.Err() == nil && !s.superseded(g) {
		state, up := s.current()
		if up && !state.Busy && facts.HeldRevision(state.Held, g.model) != g.wanted.Revision {
			s.log.Warn().Str("version", g.name()).Msg("the upstream serves the version no longer")
			return nil
		}
		kernel.Pause(ctx, lookEvery)
	}
	return nil
}
