package stager

import (
	"bytes"
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/id"
)

// verification is the result of comparing all staged chunks with the verified ones during a single incarnation of the
// upstream.
type verification struct {
	incarnation uint64
	// began is when the first chunk was read. Any chunk may have changed since.
	began time.Time
}

// verify compares all staged chunks with the verified ones and replaces those that differ. It starts over if the upstream
// restarts in between.
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
		l := s.log.Info().Str("version", g.rolloutID()).Int64("took_ms", s.now().Sub(began).Milliseconds()).Int("replaced", replaced)
		if after.Incarnation == before.Incarnation {
			l.Msg("staged chunks verified")
			return verification{incarnation: after.Incarnation, began: began}, nil
		}
		l.Uint64("life", after.Incarnation).Msg("the upstream may have restarted; verifying its staged chunks again")
	}
	return verification{}, trace.Wrap(ErrOrderRefused, "the upstream restarted during each verification of its staged chunks")
}

// maxVerifyRounds bounds the verification rounds for one order. An upstream that has not restarted may still close a
// connection, but rarely twice while a hundred chunks are read.
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
