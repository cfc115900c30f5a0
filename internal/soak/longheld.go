package soak

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// longHeldTime is the duration of one step in which stagers, and later all gateways, are killed after a hold.
	longHeldTime = maxHoldWait + holdDelay + maxStagerKills*stagerKillInterval + 2*maxBeforeKill + outageAfterKill + startTime
	// maxStagerKills is the largest number of times that stagers are killed, stagerKillInterval apart, while the store is there.
	maxStagerKills     = 2
	stagerKillInterval = 3 * time.Second
	// maxBeforeKill bounds the time from the beginning of the outage until all gateways are killed, and outageAfterKill is how
	// long the store stays away after that: longer than a read that it does not answer.
	maxBeforeKill   = 2 * time.Second
	outageAfterKill = 4 * time.Second
	// longHeldRequests is the interval at which the requests are sent.
	longHeldRequests = 20 * time.Millisecond
)

// drawLongHeld draws when stagers and gateways are killed in series while requests are held, if that is named: with all gateways
// killed before a hold as well, what is only suspected is lost (docs/incidents/0020).
func (p *planner) drawLongHeld(allowed []string) {
	if slices.Contains(allowed, doLongHeld) {
		p.drawSuccessive(doLongHeld, longHeldTime)
	}
}

// hurtLongAfterHold sends requests that crash upstreams. Once gateways hold them, stagers are killed while the store is there,
// and then all gateways, sometimes with stagers, in an outage of the store.
func (w *Fleet) hurtLongAfterHold(ctx context.Context, s Step) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	w.runningSteps.Go(func() { w.sendCrashingRequestsEvery(sending, s, longHeldRequests) })
	if !w.history.waitForCrashes(ctx, crashKind(crashingRequest(s, 0).body)) {
		return
	}
	kernel.Pause(ctx, holdDelay)
	draw := s.Selector >> 8
	for n := range 1 + draw%maxStagerKills {
		l := w.stagers
		if n > 0 || draw>>4%3 == 0 {
			l = l[:(len(l)+1)/2]
		}
		defer w.killAll(ctx, l)()
		kernel.Pause(ctx, stagerKillInterval)
	}
	end := w.beginOutage(refusesAfter+storeOutage(draw>>8%2), afterHold)
	kernel.Pause(ctx, time.Duration(s.Magnitude*float64(maxBeforeKill)))
	l := w.gateways
	if draw>>12%4 == 0 {
		l = append(l[:len(l):len(l)], w.stagers[:len(w.stagers)/2]...)
	}
	defer w.killAll(ctx, l)()
	kernel.Pause(ctx, outageAfterKill)
	end()
	kernel.Pause(ctx, startTime)
}

// killAll kills processes at once and starts them again. The returned function waits until they are ready.
func (w *Fleet) killAll(ctx context.Context, l []*Process) (wait func()) {
	var all sync.WaitGroup
	for _, p := range l {
		all.Go(func() { w.hurt(ctx, p, 0, minHurt) })
	}
	return all.Wait
}
