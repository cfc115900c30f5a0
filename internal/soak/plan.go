package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// What a step does: faults from outside, and what operators and upstreams do of themselves.
const (
	doPause    = "pause"
	doKill     = "kill"
	doTerm     = "term"
	doDelay    = "link-delay"
	doReset    = "link-reset"
	doOneWay   = "link-one-way"
	doSilence  = "link-silent"
	doDown     = "store-down"
	doMute     = "store-silent"
	doSlow     = "store-slow"
	doLossy    = "store-lossy"
	doForget   = "store-forget"
	doRefuse   = "store-refuse"
	doCutOne   = "store-cut-one"
	doStoreRst = "store-reset"
	doLeave    = "leave"
	doGone     = "gone"
	doCrash    = "crash"
	doRestart  = "restart"
	doVersion  = "version"
	doConfig   = "config"
	doCrasher  = "crashing-request"
	doLimit    = "limit"
	doBusy     = "upstream-busy"
	doRest     = "rest"
	doReturn   = "store-return"
)

// faultNames lists what may be drawn in an episode, with how many of them are drawn: those that may hide most come most.
var faultNames = []string{
	doPause, doPause, doKill, doTerm, doTerm, doDelay, doReset, doOneWay, doSilence, doDown, doMute, doSlow, doLossy, doForget,
	doRefuse, doRefuse, doCutOne, doCutOne, doCutOne, doStoreRst, doStoreRst, doStoreRst,
}

// actNames lists what goes on all the time.
var actNames = []string{doLeave, doGone, doGone, doCrash, doRestart, doRestart, doVersion, doConfig}

// aroundNames lists what is drawn around the end of a fault: what changes while a process comes back is what gets lost.
var aroundNames = []string{doGone, doGone, doGone, doGone, doLeave, doVersion, doConfig}

// Step is one thing to do.
type Step struct {
	At       time.Duration
	Action   string
	Duration time.Duration
	// Selector chooses the target among those there are, and Size how much.
	Selector  uint64
	Magnitude float64
}

const (
	// episodeGap is the most time between the starts of two series of faults, and episodeLeast the least.
	episodeLeast, episodeGap = 2 * time.Second, 6 * time.Second
	// overlap is the time over which the faults of a series start.
	overlap = 3 * time.Second
	// cutFor is how long one gateway is cut off from the store: longer than all hand-overs of reading together.
	cutFor = 8 * time.Second
	// faultMost bounds the others.
	faultMost = 5 * time.Second
	// actEvery is the mean time between two acts.
	actEvery = 700 * time.Millisecond
	// tail is the time at the end without faults, in which all has to be well again.
	tail = 9 * time.Second
	// mostAtOnce bounds the faults of a series.
	mostAtOnce = 3
	// burstActs are drawn around the end of each fault, within burstTime.
	burstActs = 3
	burstTime = time.Second
	// restartShare is the share of gateways that are hurt a second time while they are cut off.
	restartShare = 0.6
	// seriesShare is the share of versions that are named in quick succession.
	seriesShare = 0.4
)

// Plan draws the steps of a run by its seed.
func Plan(seed uint64, length time.Duration, allowed []string) []Step {
	p := &planner{r: rand.New(rand.NewPCG(seed, seed)), end: length - tail}
	p.faults, p.acts, p.around = only(faultNames, allowed), only(actNames, allowed), only(aroundNames, allowed)
	for at := time.Duration(0); ; {
		at += p.between(episodeLeast, episodeGap)
		if at >= p.end {
			break
		}
		for range 1 + p.r.IntN(mostAtOnce) {
			p.fault(at + p.between(0, overlap))
		}
	}
	for at := time.Duration(0); at < p.end; at += p.between(0, 2*actEvery) {
		p.act(at, p.acts)
	}
	p.crashers(allowed)
	p.limits(allowed)
	p.pauses(allowed)
	p.every(allowed, doRest, restEvery, restLeast, restLongest)
	p.every(allowed, doReturn, returnEvery, 0, returnAway)
	slices.SortStableFunc(p.steps, func(a, b Step) int { return int(a.At - b.At) })
	return p.steps
}

// crasherShare is the share of runs with a request that crashes upstreams, and crasherTwo that of these with two.
const crasherShare, crasherTwo = 0.6, 0.3

// crashers draws when requests begin that crash upstreams; they come again to the run's end. They are drawn last, so
// that a seed's other steps are what they were before there were any.
func (p *planner) crashers(allowed []string) {
	if len(only([]string{doCrasher}, allowed)) == 0 || p.r.Float64() > crasherShare || p.end <= episodeLeast {
		return
	}
	p.add(p.between(0, p.end), doCrasher, 0)
	if p.r.Float64() < crasherTwo {
		p.add(p.between(0, p.end), doCrasher, 0)
	}
}

const (
	// limitEvery is the mean time between two limits, and limitLeast and limitMost are the bounds of how long one lasts.
	limitEvery            = 6 * time.Second
	limitLeast, limitMost = 5 * time.Second, 20 * time.Second
)

// limits draws when upstreams name limits, and for how long. They are drawn after all others, for the same reason as
// those that crash.
func (p *planner) limits(allowed []string) {
	if len(only([]string{doLimit}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*limitEvery); at < p.end; at += p.between(0, 2*limitEvery) {
		p.add(at, doLimit, min(p.between(limitLeast, limitMost), p.end-at))
	}
}

const (
	// busyEvery is the mean time between two pauses of an upstream that nothing else is wrong with, and busyMost how
	// long one lasts at the most.
	busyEvery = 2 * time.Second
	busyMost  = 2500 * time.Millisecond
)

// pauses draws when an upstream sends nothing for a while although nothing has failed. They are drawn last, for the same reason.
func (p *planner) pauses(allowed []string) {
	if len(only([]string{doBusy}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*busyEvery); at < p.end; at += p.between(0, 2*busyEvery) {
		p.add(at, doBusy, min(p.between(0, busyMost), p.end-at))
	}
}

// every draws when something begins that lasts for a time between two bounds. What is drawn this way comes after all else,
// for the same reason.
func (p *planner) every(allowed []string, do string, mean, least, most time.Duration) {
	if len(only([]string{do}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*mean); at < p.end; at += p.between(0, 2*mean) {
		p.add(at, do, min(p.between(least, most), p.end-at))
	}
}

// planner draws steps.
type planner struct {
	r                    *rand.Rand
	end                  time.Duration
	faults, acts, around []string
	steps                []Step
}

// only leaves out what the command line does not name.
func only(l, allowed []string) []string {
	return slices.DeleteFunc(slices.Clone(l), func(n string) bool { return len(allowed) > 0 && !slices.Contains(allowed, n) })
}

func (p *planner) between(least, most time.Duration) time.Duration {
	return least + time.Duration(p.r.Int64N(int64(most-least)))
}

// add draws a step's target and size.
func (p *planner) add(at time.Duration, do string, d time.Duration) bool {
	s := Step{At: at, Action: do, Duration: d, Selector: p.r.Uint64(), Magnitude: p.r.Float64()}
	if at < 0 || at+d > p.end {
		return false
	}
	p.steps = append(p.steps, s)
	return true
}

// fault draws a fault and what changes around its end.
func (p *planner) fault(at time.Duration) {
	if len(p.faults) == 0 {
		return
	}
	do := p.faults[p.r.IntN(len(p.faults))]
	d, acts, late := p.between(200*time.Millisecond, faultMost), burstActs, burstTime
	switch do {
	case doCutOne:
		// Its end is noticed when the last try at the store has failed.
		d, acts, late = cutFor, 2*burstActs, 2*burstTime
	case doStoreRst, doForget, doReset, doSilence:
		d = 0
	}
	if !p.add(at, do, d) {
		return
	}
	if do == doCutOne && p.r.Float64() < restartShare {
		p.within(p.steps[len(p.steps)-1], only(p.faults, []string{doKill, doTerm, doPause}))
	}
	for range acts {
		p.act(at+d+p.between(-burstTime, late), p.around)
	}
}

// within adds a fault of the same target, which begins and ends within the first.
func (p *planner) within(s Step, of []string) {
	if len(of) == 0 {
		return
	}
	s.At += p.between(0, s.Duration/4)
	s.Action, s.Duration = of[p.r.IntN(len(of))], p.between(0, s.Duration/4)
	p.steps = append(p.steps, s)
}

// act draws something that goes on anyway.
func (p *planner) act(at time.Duration, of []string) {
	if len(of) == 0 {
		return
	}
	do := of[p.r.IntN(len(of))]
	p.add(at, do, 0)
	if do == doVersion && p.r.Float64() < seriesShare {
		for range 1 + p.r.IntN(2) {
			at += p.between(100*time.Millisecond, 3*time.Second)
			p.add(at, doVersion, 0)
		}
	}
}
