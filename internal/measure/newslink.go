package measure

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// newsSegmentBytes is the size of the segments in which messages share a link.
	newsSegmentBytes = 16 << 10
	// newsMinSleep is the shortest wait for a link that is slept: timers are late by about as much.
	newsMinSleep = time.Millisecond
	// newsLocalDelay is the one-way latency between two processes of a region.
	newsLocalDelay = 250 * time.Microsecond
)

// newsLink is one direction of a network link that messages share.
type newsLink struct {
	// rate is in bytes a second.
	rate   float64
	mu     sync.Mutex
	freeAt time.Time
}

func newNewsLink(mbps float64) *newsLink {
	const bitsPerMegabyte = 8e-6
	return &newsLink{rate: mbps / bitsPerMegabyte}
}

// reserve queues a number of bytes on the link and returns when they will have been sent.
func (p *newsLink) reserve(bytes int) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); p.freeAt.Before(now) {
		p.freeAt = now
	}
	p.freeAt = p.freeAt.Add(time.Duration(float64(bytes) / p.rate * float64(time.Second)))
	return p.freeAt
}

// newsSend transmits a message over some links, one segment after another, then waits for the propagation delay.
func newsSend(ctx context.Context, bytes int, delay time.Duration, links ...*newsLink) error {
	for remaining := bytes; remaining > 0; remaining -= newsSegmentBytes {
		until := time.Time{}
		for _, p := range links {
			if t := p.reserve(min(remaining, newsSegmentBytes)); t.After(until) {
				until = t
			}
		}
		if wait := time.Until(until); wait >= newsMinSleep {
			kernel.Pause(ctx, wait)
		}
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
	kernel.Pause(ctx, delay)
	return trace.Wrap(ctx.Err())
}
