package decide

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
	"github.com/springrail/springrail/internal/swapplan"
)

// transfer is the transfer of a version to an engine's VM.
type transfer struct {
	revision           id.Revision
	publishedAt        time.Time
	startsAt, stagedAt time.Duration
}

// versionSwap is the part of an engine's stager that replaces the served version.
type versionSwap struct {
	transfers []transfer
	stagedAt  time.Time
	// swapDuration is the learnt time that an engine is closed for a swap; closedAt is when the last swap began.
	swapDuration time.Duration
	closedAt     time.Duration
	swapTimer    *timer
	drainTimer   *timer
	// ordered is the version that the engine loads next; 0 for none.
	ordered id.Revision
}

// drainPollInterval is how often a stager checks whether its upstream has drained.
const drainPollInterval = 50 * time.Millisecond

// publishVersion publishes a version and schedules its transfers to the engines, one after the other.
func (p *simulation) publishVersion(r id.Revision, v *Version, random *rand.Rand) {
	publishOffset := seconds(v.PublishedAt)
	publishedAt := p.start.Add(publishOffset)
	p.schedule(publishOffset+ms(p.scenario.Reports.VersionDelayMs), func() {
		n := facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: publishedAt}, CompleteUntil: publishedAt}
		p.stagerFacts.SetWanted(model, n)
		for _, d := range p.gateways {
			d.facts.SetWanted(model, n)
		}
	})
	order := random.Perm(len(p.engines))
	for i, n := range order {
		e := p.engines[n]
		share := float64(i+1) / float64(len(order))
		c := transfer{revision: r, publishedAt: publishedAt, startsAt: publishOffset, stagedAt: publishOffset + seconds(v.FirstStagedAfter+share*(v.LastStagedAfter-v.FirstStagedAfter))}
		e.transfers = append(e.transfers, c)
		p.schedule(c.stagedAt, func() { e.onStaged(c) })
	}
}

// onStaged handles a version whose transfer to the engine's VM is complete.
func (e *engine) onStaged(c transfer) {
	if c.revision <= e.staged {
		return
	}
	e.staged, e.stagedAt = c.revision, e.sim.now()
	e.planSwap()
}

// planSwap closes the engine for a swap as soon as the plan allows, or checks again later.
func (e *engine) planSwap() {
	p := e.sim
	e.swapTimer.stop()
	if !e.up || e.closed || e.held == 0 || e.staged <= e.held {
		return
	}
	v, ok := e.swapInputs()
	if !ok || p.variant.swapAtOnce {
		e.closeForSwap(p.stagerFacts.ServableUntil(model, e.held, seconds(p.scenario.SwapWithin)))
		return
	}
	wait := swapplan.LoadAt(v).Sub(p.now())
	skipVersion := e.stagedUse(&v) == swapplan.Unneeded
	if wait <= 0 && !skipVersion {
		e.closeForSwap(v.ServableUntil.Add(swapplan.CloseMargin))
		return
	}
	if skipVersion {
		wait = swapplan.PlanCheckInterval
	}
	e.swapTimer = p.after(min(wait, swapplan.PlanCheckInterval), e.planSwap)
}

// swapInputs returns the inputs of the swap plan.
func (e *engine) swapInputs() (swapplan.Inputs, bool) {
	p := e.sim
	within := seconds(p.scenario.SwapWithin)
	until := p.stagerFacts.ServableUntil(model, e.held, within)
	if until.IsZero() {
		return swapplan.Inputs{}, false
	}
	v := swapplan.Inputs{StagedAt: e.stagedAt, ServableUntil: until.Add(-swapplan.CloseMargin), SwapDuration: e.expectedSwapDuration()}
	vms := []id.VM{id.VM(e.address)}
	for _, o := range p.engines {
		if o == e || o.domain != e.domain {
			continue
		}
		vms = append(vms, id.VM(o.address))
		if o.held == 0 || o.held >= e.held {
			continue
		}
		if end := p.stagerFacts.ServableUntil(model, o.held, within).Add(-swapplan.CloseMargin); end.After(v.OlderServableUntil) {
			v.OlderServableUntil = end
		}
	}
	v.Rank, v.Size = rendezvous.Rank(fmt.Sprintf("%s@%d", model, e.staged), vms, id.VM(e.address)), len(vms)
	v.BridgeOnly = e.stagedUse(&v) == swapplan.BridgesGap
	return v, true
}

// stagedUse returns what the staged version is still useful for, given the next one in transfer.
func (e *engine) stagedUse(v *swapplan.Inputs) swapplan.Need {
	p := e.sim
	for _, c := range e.transfers {
		if c.revision <= e.staged || p.elapsed < c.startsAt+ms(p.scenario.Reports.VersionDelayMs) {
			continue
		}
		const all = 1000
		share := float64(p.elapsed-c.startsAt) / float64(max(1, c.stagedAt-c.startsAt))
		n := swapplan.NextVersion{StartedAt: p.start.Add(c.startsAt), ChunksHeld: int(min(1, share) * all), ChunksTotal: all, UsualDuration: e.transferDuration()}
		return swapplan.NeedFor(v.ServableUntil, v.SwapDuration, n, p.now())
	}
	return swapplan.Needed
}

// transferDuration is how long the transfer of the staged version took.
func (e *engine) transferDuration() time.Duration {
	for _, c := range e.transfers {
		if c.revision == e.staged {
			return c.stagedAt - c.startsAt
		}
	}
	return 0
}

func (e *engine) expectedSwapDuration() time.Duration {
	if e.swapDuration == 0 {
		return swapplan.DefaultSwapDuration
	}
	return e.swapDuration
}

// minLifetimeForCut is the minimum remaining lifetime of a version for which running requests are cut; later no other
// engine could admit them in time.
const minLifetimeForCut = 3 * time.Second

// closeForSwap stops admission, and has the staged version loaded after draining.
func (e *engine) closeForSwap(until time.Time) {
	p := e.sim
	cut := p.variant.cutRunning && until.Sub(p.now()) > minLifetimeForCut
	e.closed, e.closedAt, e.ordered = true, p.elapsed, e.staged
	e.reportUrgently()
	e.drainTimer = p.after(swapplan.LateArrivalWait, func() { e.drain(cut) })
}

// drain polls until no request waits to be started and, if running requests would be cut, until those have finished too.
// After that or after maxDrain it refuses the queue, cuts if asked to, and lets the load begin.
func (e *engine) drain(cut bool) {
	p := e.sim
	decoding := 0
	for _, j := range e.running {
		if j.decoding && !j.cancelled {
			decoding++
		}
	}
	waiting := len(e.queue) + len(e.running) - decoding
	done := waiting == 0 && (!cut || decoding == 0)
	if !done && p.elapsed < e.closedAt+p.variant.maxDrain() {
		e.drainTimer = p.after(drainPollInterval, func() { e.drain(cut) })
		return
	}
	e.loading = true
	queue := e.queue
	e.queue = nil
	for _, j := range queue {
		j.attempt.onRefused()
	}
	if cut {
		for _, j := range e.running {
			j.cancelled = true
			if j.decoding {
				j.attempt.onCut()
				continue
			}
			j.attempt.onRefused()
		}
	}
	if !e.busy {
		e.removeFinished()
	}
	e.loadIfIdle()
}

// maxDrain is the longest time for draining an engine.
func (w *Variant) maxDrain() time.Duration {
	if w.drainFactor > 0 {
		return time.Duration(w.drainFactor * float64(swapplan.MaxDrain))
	}
	return swapplan.MaxDrain
}

// loadIfIdle loads the ordered version once no request is running.
func (e *engine) loadIfIdle() {
	if !e.loading || e.busy || len(e.running) > 0 || e.ordered == 0 {
		return
	}
	r := e.ordered
	e.ordered = 0
	e.drainTimer = e.sim.after(ms(e.sim.scenario.Engine.LoadMs), func() { e.onLoaded(r) })
}

// onLoaded puts the loaded version into service.
func (e *engine) onLoaded(r id.Revision) {
	p := e.sim
	e.held, e.closed, e.loading = r, false, false
	took := p.elapsed - e.closedAt
	e.swapDuration = e.expectedSwapDuration() + time.Duration(swapplan.SwapDurationWeight*float64(took-e.expectedSwapDuration()))
	e.reportUrgently()
	e.startPass()
	e.planSwap()
}

// cancelSwap cancels a swap on a crash.
func (e *engine) cancelSwap() {
	e.swapTimer.stop()
	e.drainTimer.stop()
	e.ordered = 0
}

// versionExpired reports whether the lifetime of the engine's version has ended, so that it may begin no requests.
func (e *engine) versionExpired() bool {
	until := e.sim.stagerFacts.ServableUntil(model, e.held, seconds(e.sim.scenario.SwapWithin))
	return !until.IsZero() && e.sim.now().After(until)
}

// scheduleCrash takes a random share of the engines down for a time.
func (p *simulation) scheduleCrash(c Crash, random *rand.Rand) {
	for _, n := range random.Perm(len(p.engines))[:int(c.Share*float64(len(p.engines))+0.5)] {
		e := p.engines[n]
		p.schedule(seconds(c.At), e.crash)
		p.schedule(seconds(c.At+c.Duration), e.restart)
	}
}
