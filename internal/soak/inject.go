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
	// minPlain and minEngines are the minimum numbers of upstreams that remain in each pool when others leave.
	minPlain, minEngines = 6, 3
	// maxStoreDelay is the maximum delay that a slow store adds to a call.
	maxStoreDelay = 1200 * time.Millisecond
	// maxLinkDelay is the maximum delay that a slow link adds to incoming data.
	maxLinkDelay = 400 * time.Millisecond
	// maxLostPerTen is the maximum number of lost answers out of ten.
	maxLostPerTen = 7
	// readerShare is the share of single-gateway faults that hit the gateway which reads the store for its failure
	// domain.
	readerShare = 0.6
)

// inject carries out a planned step.
func (w *Fleet) inject(ctx context.Context, s Step) {
	switch s.Action {
	case doPause, doKill, doTerm:
		w.faultProcess(ctx, s)
	case doLinkDelay, doLinkReset, doLinkOneWay, doLinkSilent:
		w.faultLink(ctx, s)
	case doStoreDown, doStoreSilent, doStoreSlow, doStoreLossy:
		w.faultStore(ctx, s, "", w.processes())
	case doStoreTruncate:
		w.truncateStore()
	case doStoreRefuse, doStoreCutOne, doStoreReset:
		w.faultStoreEndpoints(ctx, s)
	case doLeave, doRemoveRecord, doCrash, doRestart:
		w.departUpstream(ctx, s)
	case doVersion:
		w.publishVersion()
	case doConfig:
		w.publishConfig(s.Magnitude)
	case doCrasher:
		w.sendCrashingRequests(ctx, s)
	case doLimit:
		w.limitUpstream(ctx, s)
	case doPauseUpstream:
		w.pauseEngine(ctx, s)
	case doRetryAfter:
		w.restUpstream(ctx, s)
	case doStoreRestore:
		w.restoreStore(ctx, s)
	case doDatagramLoss, doDatagramDelay, doDatagramDouble:
		w.faultDatagrams(ctx, s)
	case doStagerPauseReserved, doStagerKillReserved, doGatewayPauseReserved:
		w.faultAtReservation(ctx, s)
	case doOriginOutage:
		w.faultOrigin(ctx, s)
	default:
		w.injectCombined(ctx, s)
	}
}

// injectCombined carries out a planned step that consists of several faults.
func (w *Fleet) injectCombined(ctx context.Context, s Step) {
	switch s.Action {
	case doStopSeries:
		w.stopSeries(ctx, s)
	case doCorruptInSwap:
		w.corruptInSwap(ctx, s)
	case doHurtAfterHold:
		w.hurtAfterHold(ctx, s)
	case doLongHeld:
		w.hurtLongAfterHold(ctx, s)
	case doManySenders:
		w.sendFromMany(ctx, s)
	case doSilentCrash, doSilentLoss:
		w.crashInSilence(ctx, s)
	case doSignals:
		w.signalAroundStops(ctx, s)
	case doAnswersLost, doHerdKill:
		w.injectStorm(ctx, s)
	}
}

// truncateStore makes the store forget its history.
func (w *Fleet) truncateStore() {
	defer w.history.BeginFault(storeTarget, "forgot its history")()
	w.store.TruncateHistory(operatorTopic)
	w.store.TruncateHistory(serverTopic)
}

// pauseEngine makes an engine send nothing for a while. It is not recorded as a fault, because its answers continue
// afterwards.
func (w *Fleet) pauseEngine(ctx context.Context, s Step) {
	u := w.engines[int(s.Selector>>8)%len(w.engines)]
	u.mu.Lock()
	l := u.link
	u.mu.Unlock()
	l.HoldAnswers(true)
	kernel.Pause(ctx, s.Duration)
	l.HoldAnswers(false)
}

// faultProcess pauses, kills or terminates a gateway or stager, unless another fault affects it already.
func (w *Fleet) faultProcess(ctx context.Context, s Step) {
	p := w.stagers[int(s.Selector>>8)%len(w.stagers)]
	if s.Selector%lossWindow > 1 {
		p = w.pickGateway(s)
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

// pickGateway picks a gateway, preferably the one that reads the store for its failure domain.
func (w *Fleet) pickGateway(s Step) *Process {
	if s.Magnitude > readerShare {
		return w.gateways[int(s.Selector>>8)%len(w.gateways)]
	}
	d := w.domain(int(s.Selector >> 8 % 1024))
	var l []string
	by := map[string]*Process{}
	for i, g := range w.gateways {
		if w.domain(i) == d {
			a := g.internalAddress
			l, by[a] = append(l, a), g
		}
	}
	order, _ := records.Sources(id.Domain(d), l, "")
	return by[order[0]]
}

// faultLink injects a fault into the link to an upstream.
func (w *Fleet) faultLink(ctx context.Context, s Step) {
	u := w.pickUpstream(s)
	u.mu.Lock()
	l := u.link
	u.mu.Unlock()
	defer w.history.BeginFault(u.address, s.Action)()
	switch s.Action {
	case doLinkDelay:
		l.SetDelay(time.Duration(s.Magnitude * float64(maxLinkDelay)))
		kernel.Pause(ctx, s.Duration)
		l.SetDelay(0)
	case doLinkReset:
		l.Reset()
	case doLinkOneWay:
		l.HoldAnswers(true)
		kernel.Pause(ctx, s.Duration)
		l.HoldAnswers(false)
	case doLinkSilent:
		l.SetSilent(false)
	}
}

func (w *Fleet) pickUpstream(s Step) *Slot {
	l := w.plain
	if s.Selector%2 == 0 {
		l = slices.Concat(w.engines, []*Slot{w.originSlot})
	}
	return l[int(s.Selector>>8)%len(l)]
}

// faultStore injects a fault of the store for some processes; target is the process to record it for, or empty for the
// store itself.
func (w *Fleet) faultStore(ctx context.Context, s Step, target string, l []*Process) {
	if target == "" {
		target = storeTarget
	}
	defer w.history.BeginFault(target, s.Action)()
	set := func(f standin.KeyedFaults, lossy int32) {
		for _, p := range l {
			p.store.SetFaults(f)
			p.store.lostPerTen.Store(lossy)
		}
	}
	switch s.Action {
	case doStoreDown, doStoreRefuse:
		set(standin.KeyedFaults{Status: http.StatusServiceUnavailable}, 0)
	case doStoreSilent:
		set(standin.KeyedFaults{Silent: true}, 0)
	case doStoreSlow:
		set(standin.KeyedFaults{DelayMs: int(s.Magnitude * float64(maxStoreDelay.Milliseconds()))}, 0)
	case doStoreLossy:
		set(standin.KeyedFaults{}, 1+int32(s.Magnitude*maxLostPerTen))
	}
	kernel.Pause(ctx, s.Duration)
	set(standin.KeyedFaults{}, 0)
}

// faultStoreEndpoints makes the store fail for some processes while it serves the others.
func (w *Fleet) faultStoreEndpoints(ctx context.Context, s Step) {
	if s.Action != doStoreRefuse {
		w.faultStoreEndpoint(ctx, s, w.pickGateway(s))
		return
	}
	// About a third of all processes are refused.
	var all sync.WaitGroup
	for i, p := range w.processes() {
		if s.Selector>>(2*i%60)%3 == 0 {
			all.Go(func() { w.faultStore(ctx, s, p.name, []*Process{p}) })
		}
	}
	all.Wait()
}

// faultStoreEndpoint cuts one gateway off from the store: its connections are reset, its calls are refused, or present
// and new connections become silent.
func (w *Fleet) faultStoreEndpoint(ctx context.Context, s Step, p *Process) {
	defer w.history.BeginFault(p.name, s.Action)()
	if s.Action == doStoreReset {
		p.store.link.Reset()
		return
	}
	if s.Selector%2 == 0 {
		p.store.SetFaults(standin.KeyedFaults{Status: http.StatusServiceUnavailable})
		kernel.Pause(ctx, s.Duration)
		p.store.SetFaults(standin.KeyedFaults{})
		return
	}
	p.store.link.SetSilent(true)
	kernel.Pause(ctx, s.Duration)
	p.store.link.SetSilent(false)
}

// departUpstream makes an upstream leave or crash if enough others remain.
func (w *Fleet) departUpstream(ctx context.Context, s Step) {
	l, minRemaining := w.plain, minPlain
	if s.Magnitude < w.settings.EngineShare {
		l, minRemaining = w.engines, minEngines
	}
	u := lockDepartingSlot(l, minRemaining, int(s.Selector>>16), s.Selector%2 == 0)
	if u == nil {
		return
	}
	defer u.busy.Unlock()
	away := time.Duration(s.Selector % uint64(maxDowntime))
	switch s.Action {
	case doLeave, doRemoveRecord:
		u.Leave(ctx, s.Action == doLeave, away)
	case doCrash:
		u.Crash(ctx, away)
	case doRestart:
		u.Crash(ctx, 0)
	}
}

// lockDepartingSlot picks an upstream that may leave, the most recently started one or any, and locks it as busy; nil
// means none.
func lockDepartingSlot(l []*Slot, minRemaining, from int, newest bool) *Slot {
	var candidates []*Slot
	startTimes := map[*Slot]time.Time{}
	for i := range l {
		u := l[(from+i)%len(l)]
		u.mu.Lock()
		if u.listed && u.state == stateReady {
			candidates = append(candidates, u)
			startTimes[u] = u.startedAt
		}
		u.mu.Unlock()
	}
	if newest {
		slices.SortStableFunc(candidates, func(a, b *Slot) int { return startTimes[b].Compare(startTimes[a]) })
	}
	for _, u := range candidates {
		if len(candidates) > minRemaining && u.busy.TryLock() {
			return u
		}
	}
	return nil
}
