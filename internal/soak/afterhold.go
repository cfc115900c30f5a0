package soak

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// afterHoldTime is the duration of one step in which requests crash upstreams and gateways are then hurt; minHurt and
	// maxHurt bound how long these are down or suspended.
	afterHoldTime    = maxHoldWait + holdDelay + drainTime + maxHurt + 2*startTime
	minHurt, maxHurt = 200 * time.Millisecond, 3 * time.Second
	// maxHoldWait bounds the wait for the crashes, and holdDelay is the time from the last of these until gateways are hurt.
	maxHoldWait, holdDelay = 5 * time.Second, time.Second
	// startTime is how long the store stays away after processes have been started again, and how long requests are sent after
	// that.
	startTime = 2 * time.Second
	// afterHoldRequests is the interval at which the requests are sent.
	afterHoldRequests = 80 * time.Millisecond
)

// drawAfterHold draws when gateways are hurt while others hold requests that crash upstreams. It is drawn after all other
// steps, so that a seed's other steps stay the same.
func (p *planner) drawAfterHold(allowed []string) {
	if len(keepAllowed([]string{doHurtAfterHold}, allowed)) > 0 {
		p.drawSuccessive(doHurtAfterHold, afterHoldTime)
	}
}

// drawSuccessive draws steps of a duration that follow each other without an overlap.
func (p *planner) drawSuccessive(do string, d time.Duration) {
	last := p.end - d
	if last <= 0 {
		return
	}
	for at := p.between(0, last); at < last; at += d + p.between(0, maxHurt) {
		p.add(at, do, d)
	}
}

// hurtAfterHold sends requests that crash upstreams. Once gateways hold them, some or all gateways are killed, stopped or
// suspended, beside an outage of the store or not, which may begin before the hold.
func (w *Fleet) hurtAfterHold(ctx context.Context, s Step) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	w.runningSteps.Go(func() { w.sendCrashingRequestsEvery(sending, s, afterHoldRequests) })
	draw := s.Selector >> 8
	outage := storeOutage(draw % outageChoices)
	end := w.beginOutage(outage, beforeHold)
	if !w.history.waitForCrashes(ctx, crashKind(crashingRequest(s, 0).body)) {
		end()
		return
	}
	kernel.Pause(ctx, holdDelay)
	endLater := w.beginOutage(outage, afterHold)
	how, down := int(draw>>20%3), minHurt+time.Duration(s.Magnitude*float64(maxHurt-minHurt))
	var all sync.WaitGroup
	for _, p := range w.pickHurt(draw >> 8) {
		all.Go(func() { w.hurt(ctx, p, how, down) })
	}
	kernel.Pause(ctx, down+runTime(how))
	end()
	endLater()
	all.Wait()
	kernel.Pause(ctx, startTime)
}

// runTime returns how long processes that are hurt run before or after that while the store may be away.
func runTime(how int) time.Duration {
	if how == 1 {
		return drainTime + startTime
	}
	return startTime
}

// pickHurt picks a third of the gateways or all, and sometimes half of the stagers too.
func (w *Fleet) pickHurt(draw uint64) (l []*Process) {
	first, n := int(draw>>4)%len(w.gateways), len(w.gateways)
	if draw%3 > 0 {
		n = (n + 2) / 3
	}
	for i := range n {
		l = append(l, w.gateways[(first+i)%len(w.gateways)])
	}
	if draw>>8%4 == 0 {
		l = append(l, w.stagers[:len(w.stagers)/2]...)
	}
	return l
}

// hurt kills, terminates or suspends a process unless another fault affects it already.
func (w *Fleet) hurt(ctx context.Context, p *Process, how int, d time.Duration) {
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	w.history.Count("processes hurt after a hold")
	switch how {
	case 0:
		p.Kill(ctx, d)
	case 1:
		p.Terminate(ctx, d)
	default:
		p.Pause(ctx, d)
	}
}

// storeOutage is an outage of the store beside a hold.
type storeOutage uint64

// The outages that are drawn: the store refuses or does not answer, from before the hold or from after it on. Others are none.
const (
	refusesBefore storeOutage = iota
	silentBefore
	refusesAfter
	silentAfter
	outageChoices = 6
)

const (
	beforeHold = true
	afterHold  = false
)

// beginOutage makes the store fail for all processes, if the outage is one that begins then, until the returned function is
// called.
func (w *Fleet) beginOutage(o storeOutage, before bool) (end func()) {
	var f standin.KeyedFaults
	switch {
	case before && o == refusesBefore, !before && o == refusesAfter:
		f.Status = http.StatusServiceUnavailable
	case before && o == silentBefore, !before && o == silentAfter:
		f.Silent = true
	default:
		return func() {}
	}
	ended := w.history.BeginFault(storeTarget, "outage beside a hold")
	for _, p := range w.processes() {
		p.store.SetFaults(f)
	}
	return func() {
		for _, p := range w.processes() {
			p.store.SetFaults(standin.KeyedFaults{})
		}
		ended()
	}
}

// waitForCrashes waits until enough upstreams have crashed under requests of a kind, and returns whether they have.
func (b *History) waitForCrashes(ctx context.Context, kind string) bool {
	for until := time.Now().Add(maxHoldWait); ctx.Err() == nil && time.Now().Before(until); kernel.Pause(ctx, lagCheckInterval) {
		b.mu.Lock()
		c := b.crashes[kind]
		enough := c != nil && c.count >= thresholdOf(kind)
		b.mu.Unlock()
		if enough {
			return true
		}
	}
	return false
}
