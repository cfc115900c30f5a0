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
	// lossTime is how long an upstream is silent that is lost: nobody waits for its successor any more. Where upstreams are lost,
	// the requests are sent at the mean interval lossInterval, as nothing is known of a loss until its record has lapsed.
	lossTime, lossInterval = 20 * time.Second, time.Second
)

// silence is how upstreams crash that keep their connections open.
type silence struct {
	length time.Duration
	// closes is true if the connections close as the next process starts; otherwise they never do.
	closes bool
}

// drawSilentCrashes draws when requests crash upstreams that fall silent, or are lost, if that is named, so that the steps of
// other seeds stay the same.
func (p *planner) drawSilentCrashes(allowed []string) {
	for _, do := range []string{doSilentCrash, doSilentLoss} {
		if slices.Contains(allowed, do) {
			p.drawSuccessive(do, silentCrashTime)
		}
	}
}

// crashInSilence sends requests that crash upstreams for the same reason, each of which then keeps its connections open.
func (w *Fleet) crashInSilence(ctx context.Context, s Step) {
	ctx, stop := context.WithTimeout(ctx, s.Duration)
	defer stop()
	q := silence{length: minSilence + time.Duration(s.Magnitude*float64(maxSilence-minSilence)), closes: s.Selector>>8%3 == 0}
	interval := silentCrashInterval
	if s.Action == doSilentLoss {
		q, interval = silence{length: lossTime}, lossInterval
	}
	w.history.setSilence(crashKind(crashingRequest(s, 0).body), q)
	w.history.RecordEvent("upstreams that crash are silent for %v, closes %t", q.length.Round(time.Millisecond), q.closes)
	w.sendCrashingRequestsEvery(ctx, s, time.Duration((0.3+1.4*float64(s.Selector>>16%16)/16)*float64(interval)))
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
