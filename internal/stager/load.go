package stager

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
	"github.com/springrail/springrail/internal/transfer"
)

// adopt takes what lies staged beside the upstream from an earlier life of this process. Only verified chunks count.
func (s *Stager) adopt(ctx context.Context, g *goal, h *transfer.Holding) {
	if s.adopted.Swap(true) {
		// Whatever lies there now this process has put there itself.
		return
	}
	l, err := s.ports.Upstream.Staged(ctx, g.model)
	if err != nil {
		s.log.Info().Err(err).Str("version", g.name()).Msg("nothing staged to take over")
		return
	}
	good, bad := 0, 0
	for _, c := range l {
		if int(c) >= g.engine.Chunks || h.Chunk(c) != nil {
			continue
		}
		data, err := s.ports.Upstream.Get(ctx, g.model, c)
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
	return up && facts.Revision(state.Held, g.model) == g.wanted.Revision
}

// stage lays the chunks beside the upstream as they come, until all are there.
func (s *Stager) stage(ctx context.Context, g *goal) error {
	put := 0
	for ctx.Err() == nil && !s.served(g) {
		changed := g.holding.Changed()
		fresh := g.holding.Since(g.holding.Epoch(), uint32(put))
		for _, c := range fresh {
			if err := s.ports.Upstream.Put(ctx, g.model, id.Chunk(c), g.holding.Chunk(id.Chunk(c))); err != nil {
				return trace.Wrap(err)
			}
			put++
		}
		if put == g.engine.Chunks {
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

// sinceNamed is the time since this process read of the version in ms, or 0 for a version that was there before.
func (s *Stager) sinceNamed(g *goal) int64 {
	if g.wanted.Learnt.IsZero() {
		return 0
	}
	return s.now().Sub(g.wanted.Learnt).Milliseconds()
}

// verify compares what lies staged with the verified chunks and mends what has turned bad.
func (s *Stager) verify(ctx context.Context, g *goal) error {
	mended := 0
	for n := range g.engine.Chunks {
		c := id.Chunk(n)
		want := g.holding.Chunk(c)
		got, err := s.ports.Upstream.Get(ctx, g.model, c)
		if err == nil && bytes.Equal(got, want) {
			continue
		}
		mended++
		if err := s.ports.Upstream.Put(ctx, g.model, c, want); err != nil {
			return trace.Wrap(err)
		}
	}
	if mended > 0 {
		s.log.Warn().Str("version", g.name()).Int("chunks", mended).Msg("staged chunks had turned bad and were mended")
	}
	return nil
}

const (
	// waves is the number of groups in which the upstreams of a domain load a version, so that the others go on.
	waves = 3
	// waveStart is the part of the time for a swap that is left to the transfer; a burst of the users' weights needs
	// 2.6 s a link and 3.3 s in all.
	waveStart = 0.4
	// waveStep is the part of that time between two waves: loading needs the running requests to end, a second or two.
	waveStep = 0.14
	// loadTimeout is how long an order may take: requests run for up to 6 s, and loading takes less than one.
	loadTimeout = 9 * time.Second
)

// wave is the group of this upstream among those of its domain that serve an older version.
func (s *Stager) wave(g *goal) int {
	vms := []id.VM{s.env.Self.VM}
	for _, i := range s.facts.Instances() {
		if i.Pool == g.pool && i.Domain == s.env.Self.Domain && i.Address != s.ports.Address {
			vms = append(vms, id.VM(i.Address))
		}
	}
	return rendezvous.Rank(g.name(), vms, s.env.Self.VM) * waves / len(vms)
}

// turn waits until this upstream may load; one that serves nothing may at once.
func (s *Stager) turn(ctx context.Context, g *goal) {
	state, _ := s.current()
	if facts.Revision(state.Held, g.model) == 0 || g.wanted.Learnt.IsZero() {
		return
	}
	w := s.wave(g)
	share := waveStart + float64(w)*waveStep
	at := g.wanted.Learnt.Add(time.Duration(share * float64(s.settings.SwapWithin)))
	if w == 0 || !s.now().Before(at) {
		return
	}
	pause(ctx, at.Sub(s.now()))
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
	if err := s.verify(ctx, g); err != nil {
		return err
	}
	s.setClosed(true)
	defer s.setClosed(false)
	state, err := s.ports.Upstream.State(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	err = s.ports.Upstream.Load(ctx, Order{Model: g.model, Revision: g.wanted.Revision, After: state.Orders})
	if err != nil {
		s.orders.Add("failed", 1)
		if !s.taken(ctx, state.Orders) {
			return trace.Wrap(err)
		}
	}
	s.orders.Add("taken", 1)
	s.log.Info().Str("version", g.name()).Uint64("after", state.Orders).Int64("since_named_ms", s.sinceNamed(g)).
		Msg("load ordered")
	return s.waitServed(ctx, g)
}

// taken says whether the upstream has taken an order whose answer was lost.
func (s *Stager) taken(ctx context.Context, before uint64) bool {
	state, err := s.ports.Upstream.State(ctx)
	return err == nil && state.Orders > before
}

func (s *Stager) waitServed(ctx context.Context, g *goal) error {
	until := s.now().Add(loadTimeout)
	for ctx.Err() == nil && s.now().Before(until) {
		state, err := s.ports.Upstream.State(ctx)
		if err == nil && facts.Revision(state.Held, g.model) == g.wanted.Revision {
			s.log.Info().Str("version", g.name()).Int64("since_named_ms", s.sinceNamed(g)).Msg("version served")
			s.look(ctx)
			return nil
		}
		pause(ctx, servedLook)
	}
	return trace.Wrap(fmt.Errorf("the upstream does not serve %s: %w", g.name(), ErrRefused))
}

// servedLook is how often the upstream is asked whether it has loaded: what it waits costs capacity.
const servedLook = 25 * time.Millisecond

// keep waits until there is something to do again: a newer version, or an upstream that has lost this one.
func (s *Stager) keep(ctx context.Context, g *goal) error {
	for ctx.Err() == nil {
		state, up := s.current()
		if up && !state.Busy && facts.Revision(state.Held, g.model) != g.wanted.Revision {
			s.log.Warn().Str("version", g.name()).Msg("the upstream serves the version no longer")
			return nil
		}
		pause(ctx, lookEvery)
	}
	return nil
}
