package soak

import (
	"context"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// silentCrashTime is the duration of one step in which requests crash upstreams that fall silent, and silentCrashInterval the
	// mean interval at which the requests are sent.
	silentCrashTime, silentCrashInterval = 14 * time.Second, 200 * time.Millisecond
	// minSilence and maxSilence bound how long such an upstream is silent until the next process starts at its address.
	minSilence, maxSilence = 700 * time.Millisecond, 6 * time.Second
)

// silence is how upstreams crash that keep their connections open.
type silence struct {
	length time.Duration
	// closes is true if the connections close as the next process starts; otherwise they never do.
	closes bool
}

// drawSilentCrashes draws when requests crash upstreams that fall silent, if that is named, so that the steps of other seeds stay
// the same.
func (p *planner) drawSilentCrashes(allowed []string) {
	if slices.Contains(allowed, doSilentCrash) {
		p.drawSuccessive(doSilentCrash, silentCrashTime)
	}
}

// crashInSilence sends requests that crash upstreams for the same reason, each of which then keeps its connections open.
func (w *Fleet) crashInSilence(ctx context.Context, s Step) {
	ctx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	q := silence{length: minSilence + time.Duration(s.Magnitude*float64(maxSilence-minSilence)), closes: s.Selector>>8%3 == 0}
	w.history.setSilence(crashKind(crashingRequest(s, 0).body), q)
	w.history.RecordEvent("upstreams that crash are silent for %v, closes %t", q.length.Round(time.Millisecond), q.closes)
	w.sendCrashingRequestsEvery(ctx, s, time.Duration((0.3+1.4*float64(s.Selector>>16%16)/16)*float64(silentCrashInterval)))
}

// setSilence notes how upstreams crash under requests of a kind.
func (b *History) setSilence(kind string, q silence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.silences[kind] = q
}

// silenceOf returns how upstreams crash under requests of a kind; false if they close their connections at once.
func (b *History) silenceOf(kind string) (silence, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q, ok := b.silences[kind]
	return q, ok
}

// crashSilently ends the upstream without a sign, and starts a new one after a while.
func (s *Slot) crashSilently(ctx context.Context, l *Link, q silence) {
	defer s.history.BeginFault(s.address, "crashed in silence")()
	l.FallSilent()
	s.unlist(ctx)
	s.mu.Lock()
	s.history.RecordUpstreamEnd(s.id)
	s.mu.Unlock()
	kernel.Pause(ctx, q.length)
	l.EndSilence(q.closes)
	s.startAgain(ctx)
}
