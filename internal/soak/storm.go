package soak

import (
	"bytes"
	"context"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// meanStormInterval is the mean time between two periods in which plain upstreams lose answers; minStorm and maxStorm bound
	// one, and minLostShare is the least share of answers that are lost.
	meanStormInterval  = 12 * time.Second
	minStorm, maxStorm = 5 * time.Second, 10 * time.Second
	minLostShare       = 0.5
	// stormKillShare is the share of these periods in which all gateways are killed in series.
	stormKillShare = 0.6
	// maxHerdKills is the largest number of times that all gateways are killed in a series, herdKillInterval apart.
	maxHerdKills     = 3
	herdKillInterval = 2 * time.Second
	herdDowntime     = 100 * time.Millisecond
)

// drawStorms draws when plain upstreams lose answers, so that many requests are retried, and when all gateways are killed in
// series meanwhile. It is drawn after all other steps, so that a seed's other steps stay the same.
func (p *planner) drawStorms(allowed []string) {
	if len(keepAllowed([]string{doAnswersLost}, allowed)) == 0 {
		return
	}
	kills := len(keepAllowed([]string{doHerdKill}, allowed)) > 0
	for at := p.between(0, 2*meanStormInterval); at < p.end; at += p.between(0, 2*meanStormInterval) {
		d := p.between(minStorm, maxStorm)
		if p.add(at, doAnswersLost, d) && kills && p.random.Float64() < stormKillShare {
			p.add(at+p.between(time.Second, minStorm/2), doHerdKill, 0)
		}
	}
}

// injectStorm carries out a step of such a period.
func (w *Fleet) injectStorm(ctx context.Context, s Step) {
	if s.Action == doHerdKill {
		w.killHerd(ctx, s)
		return
	}
	w.loseAnswers(ctx, s)
}

// loseAnswers makes all plain upstreams lose a share of their answers for a while.
func (w *Fleet) loseAnswers(ctx context.Context, s Step) {
	share := minLostShare + s.Magnitude*(1-minLostShare)
	for _, u := range w.plain {
		defer w.history.BeginFault(u.address, s.Action)()
	}
	w.history.setLostShare(share)
	kernel.Pause(ctx, s.Duration)
	w.history.setLostShare(0)
}

// killHerd kills all gateways at once, and again some seconds later.
func (w *Fleet) killHerd(ctx context.Context, s Step) {
	for range 1 + s.Selector%maxHerdKills {
		var all sync.WaitGroup
		for _, g := range w.gateways {
			all.Go(func() {
				if g.busy.TryLock() {
					defer g.busy.Unlock()
					g.Kill(ctx, herdDowntime)
				}
			})
		}
		kernel.Pause(ctx, herdKillInterval)
		all.Wait()
	}
}

// setLostShare sets the share of answers that plain upstreams lose.
func (b *History) setLostShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostShare, b.lostSum = share, 0
}

// isLosingAnswers reports whether plain upstreams lose a share of their answers.
func (b *History) isLosingAnswers() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lostShare > 0
}

// losesAnswer reports whether a plain upstream loses its next answer.
func (b *History) losesAnswer() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lostSum += b.lostShare
	if b.lostSum < 1 {
		return false
	}
	b.lostSum--
	return true
}

// lostAnswer is an answer that is lost if the request ran. A refusal is kept.
type lostAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (l *lostAnswer) Header() http.Header { return l.header }

// Write implements http.ResponseWriter.
func (l *lostAnswer) Write(b []byte) (int, error) { return l.body.Write(b) }

// WriteHeader implements http.ResponseWriter.
func (l *lostAnswer) WriteHeader(status int) { l.status = status }

// serveLost serves a request and loses the answer if it ran.
func (h *recorder) serveLost(w http.ResponseWriter, r *http.Request) {
	l := &lostAnswer{header: http.Header{}, status: http.StatusOK}
	h.server.ServeHTTP(l, r)
	if l.header.Get("Not-Executed") == "" {
		h.history.Count("answers lost")
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), l.header)
	w.WriteHeader(l.status)
	_, _ = w.Write(l.body.Bytes())
}
