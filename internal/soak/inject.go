package soak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/records"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// leastPlain and leastEngines are the upstreams of a pool that stay when others leave.
	leastPlain, leastEngines = 6, 3
	// slowStore is the most that a slow store adds to a call.
	slowStore = 1200 * time.Millisecond
	// slowLink is the most that a slow link adds to what comes in.
	slowLink = 400 * time.Millisecond
	// lossyMost is the most answers of ten that are lost.
	lossyMost = 7
	// readerShare is the share of faults of one gateway that go to the one that reads the store for its domain.
	readerShare = 0.6
)

// inject carries out a step.
func (w *Fleet) inject(ctx context.Context, s Step) {
	switch s.Action {
	case doPause, doKill, doTerm:
		w.hurtProcess(ctx, s)
	case doDelay, doReset, doOneWay, doSilence:
		w.hurtLink(ctx, s)
	case doDown, doMute, doSlow, doLossy:
		w.hurtStore(ctx, s, "", w.all())
	case doForget:
		defer w.history.BeginFault(theStore, "forgot its history")()
		w.store.TruncateHistory(operatorTopic)
		w.store.TruncateHistory(serverTopic)
	case doRefuse, doCutOne, doStoreRst:
		w.hurtDoors(ctx, s)
	case doLeave, doGone, doCrash, doRestart:
		w.depart(ctx, s)
	case doVersion:
		w.name()
	case doConfig:
		w.configure(s.Magnitude)
	case doCrasher:
		w.crasher(ctx, s)
	case doLimit:
		w.limitOne(ctx, s)
	case doBusy:
		w.pauseEngine(ctx, s)
	case doRest:
		w.restOne(ctx, s)
	case doReturn:
		w.comeBack(ctx, s)
	}
}

// pauseEngine has an engine send nothing for a while. That is no fault: its answers go on afterwards.
func (w *Fleet) pauseEngine(ctx context.Context, s Step) {
	u := w.engines[int(s.Selector>>8)%len(w.engines)]
	u.mu.Lock()
	l := u.link
	u.mu.Unlock()
	l.HoldAnswers(true)
	kernel.Pause(ctx, s.Duration)
	l.HoldAnswers(false)
}

// hurtProcess pauses, kills or terminates a gateway or a stager that nothing else happens to.
func (w *Fleet) hurtProcess(ctx context.Context, s Step) {
	p := w.stagers[int(s.Selector>>8)%len(w.stagers)]
	if s.Selector%tenth > 1 {
		p = w.gateway(s)
	}
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	switch s.Action {
	case doPause:
		p.Pause(ctx, s.Duration)
	case doKill:
		p.Kill(ctx, s.Duration)
	default:
		p.Terminate(ctx, s.Duration)
	}
}

// gateway picks a gateway, often the one that reads for its domain.
func (w *Fleet) gateway(s Step) *Process {
	if s.Magnitude > readerShare {
		return w.gateways[int(s.Selector>>8)%len(w.gateways)]
	}
	d := w.domain(int(s.Selector >> 8 % 1024))
	var l []string
	by := map[string]*Process{}
	for i, g := range w.gateways {
		if w.domain(i) == d {
			a := g.internal
			l, by[a] = append(l, a), g
		}
	}
	order, _ := records.Sources(id.Domain(d), l, "")
	return by[order[0]]
}

// hurtLink hurts the way to an upstream.
func (w *Fleet) hurtLink(ctx context.Context, s Step) {
	u := w.upstream(s)
	u.mu.Lock()
	l := u.link
	u.mu.Unlock()
	defer w.history.BeginFault(u.address, s.Action)()
	switch s.Action {
	case doDelay:
		l.SetDelay(time.Duration(s.Magnitude * float64(slowLink)))
		kernel.Pause(ctx, s.Duration)
		l.SetDelay(0)
	case doReset:
		l.Reset()
	case doOneWay:
		l.HoldAnswers(true)
		kernel.Pause(ctx, s.Duration)
		l.HoldAnswers(false)
	case doSilence:
		l.SetSilent(false)
	}
}

func (w *Fleet) upstream(s Step) *Slot {
	l := w.plain
	if s.Selector%2 == 0 {
		l = slices.Concat(w.engines, []*Slot{w.weights})
	}
	return l[int(s.Selector>>8)%len(l)]
}

// hurtStore hurts the store for some of its callers; target is the one to hold to account, or empty for the store itself.
func (w *Fleet) hurtStore(ctx context.Context, s Step, target string, l []*Process) {
	if target == "" {
		target = theStore
	}
	defer w.history.BeginFault(target, s.Action)()
	set := func(f standin.KeyedFaults, lossy int32) {
		for _, p := range l {
			p.door.SetFaults(f)
			p.door.lossy.Store(lossy)
		}
	}
	switch s.Action {
	case doDown, doRefuse:
		set(standin.KeyedFaults{Status: http.StatusServiceUnavailable}, 0)
	case doMute:
		set(standin.KeyedFaults{Silent: true}, 0)
	case doSlow:
		set(standin.KeyedFaults{DelayMs: int(s.Magnitude * float64(slowStore.Milliseconds()))}, 0)
	case doLossy:
		set(standin.KeyedFaults{}, 1+int32(s.Magnitude*lossyMost))
	}
	kernel.Pause(ctx, s.Duration)
	set(standin.KeyedFaults{}, 0)
}

// hurtDoors hurts the store for some processes while it serves the others.
func (w *Fleet) hurtDoors(ctx context.Context, s Step) {
	if s.Action != doRefuse {
		w.hurtDoor(ctx, s, w.gateway(s))
		return
	}
	// About a third of all is refused.
	var all sync.WaitGroup
	for i, p := range w.all() {
		if s.Selector>>(2*i%60)%3 == 0 {
			all.Go(func() { w.hurtStore(ctx, s, p.name, []*Process{p}) })
		}
	}
	all.Wait()
}

// hurtDoor cuts one gateway off from the store: its connections fall silent and new ones too, or they are reset.
func (w *Fleet) hurtDoor(ctx context.Context, s Step, p *Process) {
	defer w.history.BeginFault(p.name, s.Action)()
	if s.Action == doStoreRst {
		p.door.link.Reset()
		return
	}
	if s.Selector%2 == 0 {
		p.door.SetFaults(standin.KeyedFaults{Status: http.StatusServiceUnavailable})
		kernel.Pause(ctx, s.Duration)
		p.door.SetFaults(standin.KeyedFaults{})
		return
	}
	p.door.link.SetSilent(true)
	kernel.Pause(ctx, s.Duration)
	p.door.link.SetSilent(false)
}

// depart lets an upstream leave, if enough others stay.
func (w *Fleet) depart(ctx context.Context, s Step) {
	l, least := w.plain, leastPlain
	if s.Magnitude < w.settings.EngineShare {
		l, least = w.engines, leastEngines
	}
	u := stays(l, least, int(s.Selector>>16), s.Selector%2 == 0)
	if u == nil {
		return
	}
	defer u.busy.Unlock()
	away := time.Duration(s.Selector % uint64(awayMost))
	switch s.Action {
	case doLeave, doGone:
		u.Leave(ctx, s.Action == doLeave, away)
	case doCrash:
		u.Crash(ctx, away)
	case doRestart:
		u.Crash(ctx, 0)
	}
}

// stays finds an upstream that may leave and takes hold of it, the one that came last or any; nil is none.
func stays(l []*Slot, least, from int, newest bool) *Slot {
	var here []*Slot
	came := map[*Slot]time.Time{}
	for i := range l {
		u := l[(from+i)%len(l)]
		u.mu.Lock()
		if u.listed && u.state == stateReady {
			here = append(here, u)
			came[u] = u.came
		}
		u.mu.Unlock()
	}
	if newest {
		slices.SortStableFunc(here, func(a, b *Slot) int { return came[b].Compare(came[a]) })
	}
	for _, u := range here {
		if len(here) > least && u.busy.TryLock() {
			return u
		}
	}
	return nil
}
