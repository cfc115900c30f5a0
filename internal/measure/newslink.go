package measure

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// newsPiece is the size in bytes in which messages share a link.
	newsPiece = 16 << 10
	// newsGrain is the shortest wait for a link that is slept: below it timers are late by as much.
	newsGrain = time.Millisecond
	// newsLocalDelay is the way between two processes of a region.
	newsLocalDelay = 250 * time.Microsecond
)

// newsPipe is one direction of a link that messages share.
type newsPipe struct {
	// rate is in bytes a second.
	rate float64
	mu   sync.Mutex
	free time.Time
}

func newNewsPipe(mbps float64) *newsPipe {
	const bitsPerMegabyte = 8e-6
	return &newsPipe{rate: mbps / bitsPerMegabyte}
}

// take reserves the time of a number of bytes and returns when they are through.
func (p *newsPipe) take(bytes int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return p.free
}

// newsSend brings a message through some links, a piece after the other, and waits for the way's delay.
func newsSend(ctx context.Context, bytes int, delay time.Duration, way ...*newsPipe) error {
	for left := bytes; left > 0; left -= newsPiece {
		until := time.Time{}
		for _, p := range way {
			if t := p.take(min(left, newsPiece)); t.After(until) {
				until = t
			}
		}
		if wait := time.Until(until); wait >= newsGrain {
			kernel.Pause(ctx, wait)
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
	kernel.Pause(ctx, delay)
	return trace.Wrap(ctx.Err())
}
