package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// What a step does: faults from outside, and what operators and upstreams do of themselves.
const (
	doPause         = "pause"
	doKill          = "kill"
	doTerm          = "term"
	doLinkDelay     = "link-delay"
	doLinkReset     = "link-reset"
	doLinkOneWay    = "link-one-way"
	doLinkSilent    = "link-silent"
	doStoreDown     = "store-down"
	doStoreSilent   = "store-silent"
	doStoreSlow     = "store-slow"
	doStoreLossy    = "store-lossy"
	doStoreTruncate = "store-forget"
	doStoreRefuse   = "store-refuse"
	doStoreCutOne   = "store-cut-one"
	doStoreReset    = "store-reset"
	doLeave         = "leave"
	doRemoveRecord  = "gone"
	doCrash         = "crash"
	doRestart       = "restart"
	doVersion       = "version"
	doConfig        = "config"
	doCrasher       = "crashing-request"
	doLimit         = "limit"
	doPauseUpstream = "upstream-busy"
	doRetryAfter    = "rest"
	doStoreRestore  = "store-return"

	doDatagramLoss         = "datagram-loss"
	doDatagramDelay        = "datagram-delay"
	doDatagramDouble       = "datagram-double"
	doStagerPauseReserved  = "stager-pause-reserved"
	doStagerKillReserved   = "stager-kill-reserved"
	doGatewayPauseReserved = "gateway-pause-reserved"
	doOriginOutage         = "origin-outage"
	doStopSeries           = "stop-series"
	doAnswersLost          = "answers-lost"
	doHerdKill             = "herd-kill"
	doCorruptInSwap        = "corrupt-in-swap"
	doHurtAfterHold        = "hurt-after-hold"
	doLongHeld             = "long-held"
	doManySenders          = "many-senders"
	doSilentCrash          = "crash-in-silence"
	doSilentLoss           = "lost-in-silence"
	doSignals              = "signals-around-stop"
)

// reservationFaults lists the faults of reservations, which are drawn at a mean interval of meanReservationInterval each.
var reservationFaults = []string{doDatagramLoss, doDatagramDelay, doDatagramDouble, doStagerPauseReserved, doStagerKillReserved, doGatewayPauseReserved}

const (
	// minReservationFault and maxReservationFault bound their duration. A reservation lasts 40 to 500 ms.
	meanReservationInterval, minReservationFault, maxReservationFault = 15 * time.Second, 20 * time.Millisecond, 3 * time.Second
	// meanOutageInterval is the mean time between two outages of the origin; minOutage and maxOutage bound one.
	meanOutageInterval, minOutage, maxOutage = 25 * time.Second, 2 * time.Second, 7 * time.Second
)

// faultNames lists the faults that are drawn. A fault listed several times is drawn more often: those that can hide the
// most defects are.
var faultNames = []string{
	doPause, doPause, doKill, doTerm, doTerm, doLinkDelay, doLinkReset, doLinkOneWay, doLinkSilent, doStoreDown, doStoreSilent, doStoreSlow, doStoreLossy, doStoreTruncate,
	doStoreRefuse, doStoreRefuse, doStoreCutOne, doStoreCutOne, doStoreCutOne, doStoreReset, doStoreReset, doStoreReset,
}

// actNames lists the operations of operators and upstreams that are drawn throughout the run.
var actNames = []string{doLeave, doRemoveRecord, doRemoveRecord, doCrash, doRestart, doRestart, doVersion, doConfig}

// recoveryNames lists the operations that are drawn around the end of a fault, because changes during the recovery of a
// process are the most likely to be lost.
var recoveryNames = []string{doRemoveRecord, doRemoveRecord, doRemoveRecord, doRemoveRecord, doLeave, doVersion, doConfig}

// Step is one planned fault or operation.
type Step struct {
	At       time.Duration
	Action   string
	Duration time.Duration
	// Selector chooses the target among the candidates, and Magnitude the strength.
	Selector  uint64
	Magnitude float64
}

const (
	// minEpisodeGap and maxEpisodeGap bound the time between the starts of two series of faults.
	minEpisodeGap, maxEpisodeGap = 2 * time.Second, 6 * time.Second
	// seriesTime is the period within which the faults of a series start.
	seriesTime = 3 * time.Second
	// storeCutDuration is how long one gateway is cut off from the store: longer than all hand-overs of the read lease
	// together.
	storeCutDuration = 8 * time.Second
	// maxFaultDuration bounds the duration of all other faults.
	maxFaultDuration = 5 * time.Second
	// meanActInterval is the mean time between two operations.
	meanActInterval = 700 * time.Millisecond
	// quietTail is the time without faults at the end of a run, in which the system must recover.
	quietTail = 9 * time.Second
	// maxFaultsPerSeries bounds the number of faults in a series.
	maxFaultsPerSeries = 3
	// burstActs is the number of operations drawn around the end of each fault, within burstTime.
	burstActs = 3
	burstTime = time.Second
	// secondFaultShare is the share of gateways that get a second fault while they are cut off from the store.
	secondFaultShare = 0.6
	// versionSeriesShare is the share of versions that are published in quick succession.
	versionSeriesShare = 0.4
)

// Plan draws the steps of a run from its seed.
func Plan(seed uint64, length time.Duration, allowed []string) []Step {
	p := &planner{random: rand.New(rand.NewPCG(seed, seed)), end: length - quietTail}
	p.faults, p.acts, p.recovery = keepAllowed(faultNames, allowed), keepAllowed(actNames, allowed), keepAllowed(recoveryNames, allowed)
	for at := time.Duration(0); ; {
		at += p.between(minEpisodeGap, maxEpisodeGap)
		if at >= p.end {
			break
		}
		for range 1 + p.random.IntN(maxFaultsPerSeries) {
			p.drawFault(at + p.between(0, seriesTime))
		}
	}
	for at := time.Duration(0); at < p.end; at += p.between(0, 2*meanActInterval) {
		p.drawAct(at, p.acts)
	}
	p.drawCrashers(allowed)
	p.drawLimits(allowed)
	p.drawPauses(allowed)
	p.drawRecurring(allowed, doRetryAfter, meanRestInterval, minRestDuration, maxRestDuration)
	p.drawRecurring(allowed, doStoreRestore, meanRestoreInterval, 0, maxRestoreOutage)
	for _, do := range reservationFaults {
		p.drawRecurring(allowed, do, meanReservationInterval, minReservationFault, maxReservationFault)
	}
	p.drawRecurring(allowed, doOriginOutage, meanOutageInterval, minOutage, maxOutage)
	p.drawStopSeries(allowed)
	p.drawStorms(allowed)
	p.drawRecurring(allowed, doCorruptInSwap, meanCorruptInterval, minCorruptStop, maxCorruptStop)
	p.drawAfterHold(allowed)
	p.drawLongHeld(allowed)
	p.drawManySenders(allowed)
	p.drawSilentCrashes(allowed)
	p.drawSignals(allowed)
	slices.SortStableFunc(p.steps, func(a, b Step) int { return int(a.At - b.At) })
	return p.steps
}

// crasherShare is the share of runs with a request that crashes upstreams, and secondCrasherShare that of these runs with
// two.
const crasherShare, secondCrasherShare = 0.6, 0.3

// drawCrashers draws when requests that crash upstreams start; they are repeated to the end of the run. They are drawn
// after the other steps, so that a seed still gives the same other steps as it did without them.
func (p *planner) drawCrashers(allowed []string) {
	if len(keepAllowed([]string{doCrasher}, allowed)) == 0 || p.random.Float64() > crasherShare || p.end <= minEpisodeGap {
		return
	}
	p.add(p.between(0, p.end), doCrasher, 0)
	if p.random.Float64() < secondCrasherShare {
		p.add(p.between(0, p.end), doCrasher, 0)
	}
}

const (
	// meanLimitInterval is the mean time between two rate limits; minLimitDuration and maxLimitDuration bound how long
	// one lasts.
	meanLimitInterval                  = 6 * time.Second
	minLimitDuration, maxLimitDuration = 5 * time.Second, 20 * time.Second
)

// drawLimits draws when upstreams announce rate limits, and for how long. They are drawn after the crashing requests, so
// that a seed's other steps stay the same.
func (p *planner) drawLimits(allowed []string) {
	if len(keepAllowed([]string{doLimit}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*meanLimitInterval); at < p.end; at += p.between(0, 2*meanLimitInterval) {
		p.add(at, doLimit, min(p.between(minLimitDuration, maxLimitDuration), p.end-at))
	}
}

const (
	// meanBusyInterval is the mean time between two pauses of a healthy upstream, and maxBusyDuration the maximum
	// duration of one.
	meanBusyInterval = 2 * time.Second
	maxBusyDuration  = 2500 * time.Millisecond
)

// drawPauses draws when a healthy upstream sends nothing for a while. They are drawn after the limits, so that a seed's
// other steps stay the same.
func (p *planner) drawPauses(allowed []string) {
	if len(keepAllowed([]string{doPauseUpstream}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*meanBusyInterval); at < p.end; at += p.between(0, 2*meanBusyInterval) {
		p.add(at, doPauseUpstream, min(p.between(0, maxBusyDuration), p.end-at))
	}
}

// drawRecurring draws steps at a mean interval with a duration between two bounds. It is used after all other draws, so
// that a seed's other steps stay the same.
func (p *planner) drawRecurring(allowed []string, do string, mean, lower, upper time.Duration) {
	if len(keepAllowed([]string{do}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*mean); at < p.end; at += p.between(0, 2*mean) {
		p.add(at, do, min(p.between(lower, upper), p.end-at))
	}
}

// planner draws the steps of a run.
type planner struct {
	random                 *rand.Rand
	end                    time.Duration
	faults, acts, recovery []string
	steps                  []Step
}

// keepAllowed returns the names that the command line allows; an empty list allows all.
func keepAllowed(l, allowed []string) []string {
	return slices.DeleteFunc(slices.Clone(l), func(n string) bool { return len(allowed) > 0 && !slices.Contains(allowed, n) })
}

func (p *planner) between(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(p.random.Int64N(int64(upper-lower)))
}

// add draws a step's target and magnitude, and adds the step if it ends before the quiet tail.
func (p *planner) add(at time.Duration, do string, d time.Duration) bool {
	s := Step{At: at, Action: do, Duration: d, Selector: p.random.Uint64(), Magnitude: p.random.Float64()}
	if at < 0 || at+d > p.end {
		return false
	}
	p.steps = append(p.steps, s)
	return true
}

// drawFault draws a fault and the operations around its end.
func (p *planner) drawFault(at time.Duration) {
	if len(p.faults) == 0 {
		return
	}
	do := p.faults[p.random.IntN(len(p.faults))]
	d, acts, late := p.between(200*time.Millisecond, maxFaultDuration), burstActs, burstTime
	switch do {
	case doStoreCutOne:
		// The gateway notices the end of this fault only when its last attempt to reach the store has failed.
		d, acts, late = storeCutDuration, 2*burstActs, 2*burstTime
	case doStoreReset, doStoreTruncate, doLinkReset, doLinkSilent:
		d = 0
	}
	if !p.add(at, do, d) {
		return
	}
	if do == doStoreCutOne && p.random.Float64() < secondFaultShare {
		p.addNested(p.steps[len(p.steps)-1], keepAllowed(p.faults, []string{doKill, doTerm, doPause}))
	}
	for range acts {
		p.drawAct(at+d+p.between(-burstTime, late), p.recovery)
	}
}

// addNested adds a second fault of the same target that begins and ends within the first.
func (p *planner) addNested(s Step, names []string) {
	if len(names) == 0 {
		return
	}
	s.At += p.between(0, s.Duration/4)
	s.Action, s.Duration = names[p.random.IntN(len(names))], p.between(0, s.Duration/4)
	p.steps = append(p.steps, s)
}

// drawAct draws an operation of an operator or an upstream.
func (p *planner) drawAct(at time.Duration, names []string) {
	if len(names) == 0 {
		return
	}
	do := names[p.random.IntN(len(names))]
	p.add(at, do, 0)
	if do == doVersion && p.random.Float64() < versionSeriesShare {
		for range 1 + p.random.IntN(2) {
			at += p.between(100*time.Millisecond, 3*time.Second)
			p.add(at, doVersion, 0)
		}
	}
}
