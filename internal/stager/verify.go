package stager

import (
	"bytes"
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/id"
)

// verification is the result of comparing all staged chunks with the verified ones during a single incarnation of the
// upstream. Staged chunks may turn corrupt at any time after they were read, so it is valid only for a short time.
type verification struct {
	// state is the newest state of the upstream, in the incarnation whose chunks were read.
	state State
	// began is when the first chunk was read, and validUntil when a load order may no longer be sent that relies on it.
	began, validUntil time.Time
}

// verificationLifetime is how long after its first read a verification is valid.
const verificationLifetime = 1500 * time.Millisecond

// covers reports whether an order to the upstream in the given state may rely on the verification.
func (v *verification) covers(state State, now time.Time) bool {
	return state.Incarnation == v.state.Incarnation && now.Before(v.validUntil)
}

// verify compares all staged chunks with the verified ones and replaces those that differ. It starts over if it has replaced
// any, as the upstream does not check what it stages, or if the upstream restarts in between. It fails if it takes so long that
// its result is no longer valid.
func (s *Stager) verify(ctx context.Context, g *targetVersion) (verification, error) {
	for range maxVerifyRounds {
		began := s.now()
		before, err := s.ports.Upstream.State(ctx)
		if err != nil {
			return verification{}, trace.Wrap(err)
		}
		replaced, err := s.replaceCorruptChunks(ctx, g)
		if err != nil {
			return verification{}, err
		}
		after, err := s.ports.Upstream.State(ctx)
		if err != nil {
			return verification{}, trace.Wrap(err)
		}
		took := s.now().Sub(began)
		s.log.Info().Str("version", g.rolloutID()).Int64("took_ms", took.Milliseconds()).Int("replaced", replaced).
			Bool("restarted", after.Incarnation != before.Incarnation).Uint64("life", after.Incarnation).Msg("staged chunks compared")
		switch {
		case took >= verificationLifetime:
			return verification{}, trace.Wrap(ErrNotVerified, "reading them took %d ms", took.Milliseconds())
		case replaced == 0 && after.Incarnation == before.Incarnation:
			return verification{state: after, began: began, validUntil: began.Add(verificationLifetime)}, nil
		}
	}
	return verification{}, trace.Wrap(ErrNotVerified, "they changed, or the upstream restarted, in each of %d rounds", maxVerifyRounds)
}

// maxVerifyRounds bounds the rounds of one verification. An upstream that has not restarted may still close a connection, but
// rarely twice while a hundred chunks are read; the same holds for chunks that turn corrupt.
const maxVerifyRounds = 3

// replaceCorruptChunks compares the staged chunks with the verified ones, replaces those that differ and returns their
// number.
func (s *Stager) replaceCorruptChunks(ctx context.Context, g *targetVersion) (int, error) {
	replaced := 0
	for n := range g.engine.Chunks {
		c := id.Chunk(n)
		want := g.holding.Chunk(c)
		got, err := s.ports.Upstream.ReadChunk(ctx, g.model, c)
		if err == nil && bytes.Equal(got, want) {
			continue
		}
		replaced++
		if err := s.ports.Upstream.StageChunk(ctx, g.model, c, want); err != nil {
			return replaced, trace.Wrap(err)
		}
	}
	if replaced > 0 {
		s.log.Warn().Str("version", g.rolloutID()).Int("chunks", replaced).Msg("staged chunks were corrupt and have been replaced")
	}
	return replaced, nil
}

// checkTakenChunks compares the staged chunks once more after the upstream has taken an order, and reports those that are
// corrupt: they may have been so when the upstream took them, which nothing else shows.
func (s *Stager) checkTakenChunks(ctx context.Context, g *targetVersion) {
	corrupt := 0
	for n := range g.engine.Chunks {
		c := id.Chunk(n)
		got, err := s.ports.Upstream.ReadChunk(ctx, g.model, c)
		if err != nil && !errors.Is(err, ErrChunkNotStaged) {
			return
		}
		if !bytes.Equal(got, g.holding.Chunk(c)) {
			corrupt++
		}
	}
	if corrupt == 0 || ctx.Err() != nil {
		return
	}
	s.orders.Add("corrupt", 1)
	s.log.Warn().Str("version", g.rolloutID()).Int("chunks", corrupt).
		Msg("the upstream may have loaded corrupt chunks; restart it to load them again")
}
