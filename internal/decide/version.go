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

// coming is the transfer of a version to an engine.
type coming struct {
	revision       id.Revision
	named          time.Time
	begins, staged time.Duration
}

// swap is an engine's stager as far as it changes versions over.
type swap struct {
	coming   []coming
	stagedAt time.Time
	// out is how long a change-over takes, as learnt; closedAt is when the last one began.
	out      time.Duration
	closedAt time.Duration
	waiting  *alarm
	step     *alarm
	// order is what the engine was told to load, and waits says that it finishes what runs before.
	order id.Revision
}

// servedLook is how often a stager looks whether its upstream has finished.
const servedLook = 50 * time.Millisecond

// bringOut names a version, and has it come to the engines one after the other.
func (p *play) bringOut(r id.Revision, v *Version, random *rand.Rand) {
	at := seconds(v.PublishedAt)
	named := p.start.Add(at)
	p.on(at+ms(p.scenario.Reports.VersionDelayMs), func() {
		n := facts.Publication{Revision: r, PublishTime: dating.TimeBounds{After: named}, CompleteUntil: named}
		p.news.SetWanted(model, n)
		for _, d := range p.doors {
			d.facts.SetWanted(model, n)
		}
	})
	order := random.Perm(len(p.engines))
	for i, n := range order {
		e := p.engines[n]
		share := float64(i+1) / float64(len(order))
		c := coming{revision: r, named: named, begins: at, staged: at + seconds(v.FirstStagedAfter+share*(v.LastStagedAfter-v.FirstStagedAfter))}
		e.coming = append(e.coming, c)
		p.on(c.staged, func() { e.stage(c) })
	}
}

// stage is a version that lies whole beside the engine.
func (e *engine) stage(c coming) {
	if c.revision <= e.staged {
		return
	}
	e.staged, e.stagedAt = c.revision, e.play.now()
	e.turn()
}

// turn waits until the engine may leave its version for what is staged.
func (e *engine) turn() {
	p := e.play
	e.waiting.stop()
	if !e.up || e.closed || e.held == 0 || e.staged <= e.held {
		return
	}
	v, ok := e.view()
	if !ok || p.way.atOnce {
		e.close(p.news.ServableUntil(model, e.held, seconds(p.scenario.SwapWithin)))
		return
	}
	wait := swapplan.LoadAt(v).Sub(p.now())
	needless := e.use(&v) == swapplan.Unneeded
	if wait <= 0 && !needless {
		e.close(v.ServableUntil.Add(swapplan.CloseMargin))
		return
	}
	if needless {
		wait = swapplan.PlanCheckInterval
	}
	e.waiting = p.after(min(wait, swapplan.PlanCheckInterval), e.turn)
}

// view is what the plan of the change-over rests on.
func (e *engine) view() (swapplan.Inputs, bool) {
	p := e.play
	within := seconds(p.scenario.SwapWithin)
	until := p.news.ServableUntil(model, e.held, within)
	if until.IsZero() {
		return swapplan.Inputs{}, false
	}
	v := swapplan.Inputs{StagedAt: e.stagedAt, ServableUntil: until.Add(-swapplan.CloseMargin), SwapDuration: e.usualOut()}
	vms := []id.VM{id.VM(e.address)}
	for _, o := range p.engines {
		if o == e || o.domain != e.domain {
			continue
		}
		vms = append(vms, id.VM(o.address))
		if o.held == 0 || o.held >= e.held {
			continue
		}
		if end := p.news.ServableUntil(model, o.held, within).Add(-swapplan.CloseMargin); end.After(v.OlderServableUntil) {
			v.OlderServableUntil = end
		}
	}
	v.Rank, v.Size = rendezvous.Rank(fmt.Sprintf("%s@%d", model, e.staged), vms, id.VM(e.address)), len(vms)
	v.BridgeOnly = e.use(&v) == swapplan.BridgesGap
	return v, true
}

// use is what the staged version is still good for.
func (e *engine) use(v *swapplan.Inputs) swapplan.Need {
	p := e.play
	for _, c := range e.coming {
		if c.revision <= e.staged || p.at < c.begins+ms(p.scenario.Reports.VersionDelayMs) {
			continue
		}
		const all = 1000
		share := float64(p.at-c.begins) / float64(max(1, c.staged-c.begins))
		n := swapplan.NextVersion{StartedAt: p.start.Add(c.begins), ChunksHeld: int(min(1, share) * all), ChunksTotal: all, UsualDuration: e.usualTransfer()}
		return swapplan.NeedFor(v.ServableUntil, v.SwapDuration, n, p.now())
	}
	return swapplan.Needed
}

// usualTransfer is how long the staged version took to come.
func (e *engine) usualTransfer() time.Duration {
	for _, c := range e.coming {
		if c.revision == e.staged {
			return c.staged - c.begins
		}
	}
	return 0
}

func (e *engine) usualOut() time.Duration {
	if e.out == 0 {
		return swapplan.DefaultSwapDuration
	}
	return e.out
}

// cutBefore is the time before a version's end from which on nothing is cut: no other engine could let it in.
const cutBefore = 3 * time.Second

// close lets nothing more in, and has the version loaded once what was let in is done, or after a while.
func (e *engine) close(until time.Time) {
	p := e.play
	cut := p.way.cut && until.Sub(p.now()) > cutBefore
	e.closed, e.closedAt, e.order = true, p.at, e.staged
	e.urgent()
	e.step = p.after(swapplan.LateArrivalWait, func() { e.drain(cut) })
}

// drain waits for what runs, or for what waits where nothing is cut.
func (e *engine) drain(cut bool) {
	p := e.play
	writers := 0
	for _, j := range e.places {
		if j.writing && !j.gone {
			writers++
		}
	}
	waiting := len(e.queue) + len(e.places) - writers
	done := waiting == 0 && (!cut || writers == 0)
	if !done && p.at < e.closedAt+p.way.drainMost() {
		e.step = p.after(servedLook, func() { e.drain(cut) })
		return
	}
	e.loading = true
	queue := e.queue
	e.queue = nil
	for _, j := range queue {
		j.send.refused()
	}
	if cut {
		for _, j := range e.places {
			j.gone = true
			if j.writing {
				j.send.cut()
				continue
			}
			j.send.refused()
		}
	}
	if !e.busy {
		e.clear()
	}
	e.idle()
}

// drainMost is how long an engine is given to finish what runs.
func (w *Variant) drainMost() time.Duration {
	if w.drain > 0 {
		return time.Duration(w.drain * float64(swapplan.MaxDrain))
	}
	return swapplan.MaxDrain
}

// idle loads the ordered version once nothing runs any more.
func (e *engine) idle() {
	if !e.loading || e.busy || len(e.places) > 0 || e.order == 0 {
		return
	}
	r := e.order
	e.order = 0
	e.step = e.play.after(ms(e.play.scenario.Engine.LoadMs), func() { e.loaded(r) })
}

// loaded serves the version.
func (e *engine) loaded(r id.Revision) {
	p := e.play
	e.held, e.closed, e.loading = r, false, false
	took := p.at - e.closedAt
	e.out = e.usualOut() + time.Duration(swapplan.SwapDurationWeight*float64(took-e.usualOut()))
	e.urgent()
	e.kick()
	e.turn()
}

// stopSwap forgets a change-over that a crash has ended.
func (e *engine) stopSwap() {
	e.waiting.stop()
	e.step.stop()
	e.order = 0
}

// overdue says whether the engine's version may take no new requests any more.
func (e *engine) overdue() bool {
	until := e.play.news.ServableUntil(model, e.held, seconds(e.play.scenario.SwapWithin))
	return !until.IsZero() && e.play.now().After(until)
}

// crash ends a share of the engines for a time.
func (p *play) crash(c Crash, random *rand.Rand) {
	for _, n := range random.Perm(len(p.engines))[:int(c.Share*float64(len(p.engines))+0.5)] {
		e := p.engines[n]
		p.on(seconds(c.At), e.crashed)
		p.on(seconds(c.At+c.Duration), e.back)
	}
}
