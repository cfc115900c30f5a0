package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

const (
	// maxLeavingDelay is the time after the store has accepted the announcement that an upstream leaves, after which no
	// request may reach it. It and maxConfigDelay, the corresponding bound for configurations, are required by the users.
	maxLeavingDelay = 3 * time.Second
	maxConfigDelay  = 3 * time.Second
	// maxArrivalAfterClose is how long after its caller has disconnected a request may still reach an upstream.
	maxArrivalAfterClose = 500 * time.Millisecond
	// settleTime is the recovery time after a fault during which violations that the fault may have caused are excused.
	settleTime = 4 * time.Second
	// sendRaceTime is the time before the end of its connection within which a request may have been sent without
	// certainly being in flight.
	sendRaceTime = 200 * time.Millisecond
)

// faultFree reports whether the request's gateway, the store and this machine have had no fault within settleTime. The
// caller holds the lock.
func (b *History) faultFree(r *request) bool {
	now := b.now()
	return !b.isStalled(now) && b.noFault(now.Add(-settleTime), now, r.gateway.name, storeTarget, machineTarget)
}

// RecordTick records that the soak process itself is being scheduled.
func (b *History) RecordTick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ticked = b.now()
}

// isStalled reports whether the soak process has just been stalled and the watcher that records stalls has not run yet.
// The caller holds the lock.
func (b *History) isStalled(now time.Time) bool {
	return !b.ticked.IsZero() && now.Sub(b.ticked) > lagCheckInterval+maxTimerLag
}

// RecordOverdueExit records that a process still runs after its drain time. Time in which the soak process itself was
// stalled doesn't count.
func (b *History) RecordOverdueExit(process string, asked time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ran := now.Sub(asked)
	for _, s := range b.stalls {
		if s.until.After(asked) {
			ran -= min(s.duration, s.until.Sub(asked))
		}
	}
	if b.isStalled(now) {
		ran -= now.Sub(b.ticked)
	}
	b.violateUnless(ran < drainTime, "grace", process, "", "", "the process still runs %v after SIGTERM", now.Sub(asked).Round(time.Second))
}

// RecordStall records that the soak process was stalled for a duration that ends now.
func (b *History) RecordStall(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stalls = append(b.stalls, stall{until: b.now(), duration: d})
}

// violateUnless records a violation, or counts it as excused if a fault explains it. The caller holds the lock.
func (b *History) violateUnless(excused bool, check, process, request, subject, format string, args ...any) {
	if excused {
		b.counts["excused by a fault: "+check]++
		return
	}
	b.recordViolation(check, process, request, subject, format, args...)
}

// RecordSent records a caller's request before it is sent.
func (b *History) RecordSent(id string, r *request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r.sent = b.now()
	if !r.arrivesSlowly {
		r.whole = r.sent
	}
	if r.deadline.IsZero() {
		r.deadline = r.sent.Add(callerDeadline)
	}
	b.requests[id] = r
	if pool := poolOf(r.path); pool != "" {
		l := b.loadOf(pool)
		l.requests = append(l.requests, r.sent)
	}
	b.counts["sent"]++
	b.countRank(r)
	if b.inFinalPhase() && !r.crashesUpstreams {
		b.counts[countSentAtEnd]++
	}
}

// RecordAnswered records an answer that was received completely.
func (b *History) RecordAnswered(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts["answered"]++
	if r := b.requests[id]; r != nil && b.inFinalPhase() {
		b.counts[countAnsweredAtEnd]++
	}
}

// What is counted in the last seconds of a run, which are without faults.
const (
	// Names of the counters for the last seconds of a run, in which no faults are injected.
	countSentAtEnd, countAnsweredAtEnd = "sent at the end", "answered at the end"
	// finalPhase is the time at the end of a run in which the system must have recovered, and minFinalAnswerShare the
	// minimum share of requests answered in it: some callers disconnect early, and some requests are in flight when the
	// run ends.
	finalPhase          = 4 * time.Second
	minFinalAnswerShare = 0.75
)

func (b *History) inFinalPhase() bool {
	return !b.end.IsZero() && b.now().After(b.end.Add(-finalPhase))
}

// CheckFinalPhase checks that the system has recovered by the end of the run.
func (b *History) CheckFinalPhase() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.now().Before(b.end) {
		// The run was broken off.
		return
	}
	sent, answered := b.counts[countSentAtEnd], b.counts[countAnsweredAtEnd]
	if sent == 0 || float64(answered) < minFinalAnswerShare*float64(sent) {
		b.violateUnless(!b.noFault(b.end.Add(-finalPhase), b.end, machineTarget), "well-again", "callers", "", "",
			"%d of %d requests were answered in the last %v", answered, sent, finalPhase)
	}
}

// RecordClosed records that a request's caller has closed its connection.
func (b *History) RecordClosed(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[id].closed = b.now()
}

// RecordArrival checks a request that has reached an upstream.
func (b *History) RecordArrival(id, instance, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil {
		b.recordViolation("unknown-request", address, id, "", "an upstream received a request that no caller has sent")
		return
	}
	now := b.now()
	r.reached = append(r.reached, address)
	r.atUpstreams++
	faultFree := b.faultFree(r) && b.noFault(now.Add(-settleTime), now, address)
	b.checkLimit(r, id, instance, faultFree)
	b.checkAnnouncements(r, id, instance)
	b.checkRetries(r, id)
	if d, ok := b.departed[instance]; ok {
		late := now.Sub(d.at)
		b.counts["reached an upstream after it left"]++
		if late > maxLeavingDelay {
			b.violateUnless(!faultFree, "leaving", r.gateway.name, id, instance, "reached %s %.2f s after the store had accepted its departure (%s)", instance, late.Seconds(), d.reason)
		}
	}
	if !r.closed.IsZero() {
		b.counts["reached an upstream after its caller closed"]++
		if late := now.Sub(r.closed); late > maxArrivalAfterClose {
			b.violateUnless(!faultFree, "gone-client", r.gateway.name, id, "", "reached %s %.2f s after its caller had disconnected", instance, late.Seconds())
		}
	}
}

// RecordRun checks an execution of a request at an upstream.
func (b *History) RecordRun(x standin.RequestRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[x.Request]
	if r == nil {
		return
	}
	r.runs++
	b.counts["runs"]++
	b.checkAttempts(r, x)
	if r.crashesUpstreams {
		b.checkCrashingRun(r, x.Request)
	}
	if r.unsafe && r.runs > 1 {
		b.recordViolation("once-at-most", r.gateway.name, x.Request, "", "an unsafe request ran %d times, most recently at %s", r.runs, x.Instance)
	}
	if r.refused > 0 {
		b.recordViolation("refused-ran", r.gateway.name, x.Request, "", "ran at %s after its caller had received status %d", x.Instance, r.refused)
	}
	r.version = x.Version
	if x.Version == 0 {
		return
	}
	for _, n := range b.versions {
		if n.number <= x.Version {
			continue
		}
		late := x.At.Sub(n.at) - swapTime
		b.counts["ran on an older version"]++
		// A gateway that could not read the publication because of a fault learns of it late, so its swap time starts
		// later.
		received := b.noFault(n.at.Add(-sendRaceTime), n.at.Add(settleTime), r.gateway.name, storeTarget, machineTarget)
		if late > 0 {
			b.violateUnless(!received || !b.faultFree(r), "version", r.gateway.name, x.Request, fmt.Sprint("version ", n.number), "began on version %d at %s %.2f s after the swap deadline of version %d",
				x.Version, x.Instance, late.Seconds(), n.number)
		}
		return
	}
}

// RecordDeparture records that the store has accepted the announcement that an upstream leaves.
func (b *History) RecordDeparture(instance, how string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.departed[instance]; ok {
		return
	}
	b.departed[instance] = departure{at: b.now(), reason: how}
	b.counts["left: "+how]++
	b.recordEvent("%s left: %s", instance, how)
}

// RecordVersion records that the store has accepted a published version.
func (b *History) RecordVersion(version int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.versions = append(b.versions, publication{number: version, at: b.now()})
	b.counts["versions named"]++
	b.recordEvent("version %d published", version)
}

// RecordConfig records that the store has accepted a configuration.
func (b *History) RecordConfig(version, size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.configs = append(b.configs, publication{number: version, at: b.now()})
	b.counts["configurations"]++
	b.recordEvent("configuration %d of %d bytes published", version, size)
}

// configDue returns the newest configuration that must be in force by now; 0 means none.
func (b *History) configDue() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	due := 0
	for _, c := range b.configs {
		if b.now().Sub(c.at) > maxConfigDelay {
			due = c.number
		}
	}
	return due
}

// RecordRefused checks that a request which was refused as not run has not run.
func (b *History) RecordRefused(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	r.refused = status
	b.counts["refused"]++
	b.countRank(r)
	b.checkRefusalTime(r, id, status)
	if r.runs > 0 {
		b.recordViolation("refused-ran", r.gateway.name, id, "", "its caller received status %d although it ran %d times", status, r.runs)
	}
}

// RecordDenied checks an answer that denies access to a request which is allowed.
func (b *History) RecordDenied(id string, status, config int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts["denied"]++
	switch {
	case config == 0:
		b.recordViolation("denied", r.gateway.name, id, "", "an allowed request was denied with status %d", status)
	case !b.superseded(config):
		b.violateUnless(!b.faultFree(r), "configuration", r.gateway.name, id, fmt.Sprint("configuration ", config), "the route of configuration %d was answered with %d more than %v after the store had accepted it",
			config, status, maxConfigDelay)
	}
}

// superseded reports whether a newer configuration without this one's route may be in force. The caller holds the lock.
func (b *History) superseded(config int) bool {
	return len(b.configs) > 0 && b.configs[len(b.configs)-1].number > config+keptRoutes
}

// checkEarlyEnd checks an answer that ended early. Neither a planned operation nor an upstream that pauses may cause
// that. The caller holds the lock.
func (b *History) checkEarlyEnd(r *request, id string, headReceived bool, how string) {
	if r.crashesUpstreams || (!headReceived && r.runs == 0) {
		return
	}
	now := b.now()
	if !b.end.IsZero() && !now.Before(b.end) {
		// Upstreams end with the run.
		b.counts["ended with the run"]++
		return
	}
	if !headReceived && b.nearVersionDeadline(r.version, now) {
		b.counts["failed at its version's end with nothing of its answer there"]++
		return
	}
	b.violateUnless(b.wasHurt(r), "ended-early", r.gateway.name, id, "", "%s, %.2f s after it was sent, header received %t, at %s", how, now.Sub(r.sent).Seconds(), headReceived, strings.Join(r.reached, ", "))
}

// giveUpMargin is how long before a version's deadline a gateway may give up a request that has not begun as far as it
// knows: the publication may be dated by the previous read, which waited for 0.7 s, and 0.2 s are reserved for the
// upstream.
const giveUpMargin = 1200 * time.Millisecond

// nearVersionDeadline reports whether a version's deadline is so near that a gateway gives up a request which has not
// sent any part of its answer, because it may not begin later. The caller holds the lock.
func (b *History) nearVersionDeadline(version int, now time.Time) bool {
	for _, n := range b.versions {
		if n.number > version && version > 0 {
			end := n.at.Add(swapTime)
			return now.After(end.Add(-giveUpMargin)) && now.Before(end)
		}
	}
	return false
}
