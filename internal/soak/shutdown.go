package soak

import (
	"fmt"
	"slices"
	"time"
)

const (
	// takingTime is the time after SIGTERM in which a gateway may take a request that it then gives up, if the upstream is
	// still at work from finalTime after SIGTERM on, the last sixth of the time for the stop.
	takingTime = 3 * time.Second
	finalTime  = drainTime - drainTime/6
)

// RecordWhole records that the last byte of a request that arrives slowly is about to be sent.
func (b *History) RecordWhole(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests[id].whole = b.now()
}

// RecordWorkEnd records that an upstream does not work on a request any more.
func (b *History) RecordWorkEnd(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		r.atUpstreams--
		r.workedUntil = b.now()
	}
}

// answerTimeOf returns how long an upstream takes for its answer to a request; 0 selects its default.
func (b *History) answerTimeOf(id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.requests[id]; r != nil {
		return r.answerTime
	}
	return 0
}

// RecordTruncated checks an answer that was not received completely; headReceived is true if its header was.
func (b *History) RecordTruncated(id string, headReceived bool, cause error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts["cut"]++
	now := b.now()
	if !now.Before(r.deadline) {
		b.counts["cut at the caller's deadline"]++
		return
	}
	term, stopping := termOf(r)
	if !stopping {
		b.checkEarlyEnd(r, id, headReceived, fmt.Sprintf("aborted: %v", cause))
		return
	}
	if now.Sub(term) >= drainTime+exitSlack || now.Before(term) {
		// The process has been killed, as it was overdue.
		return
	}
	mustComplete := headReceived || r.runs > 0 || len(r.reached) > 0 || now.Sub(r.sent) > sendRaceTime
	switch {
	case !mustComplete:
		b.counts["closed under a request that had not begun"]++
	case b.isGivenUpLate(r, term):
		b.violateUnless(b.wasHurt(r), "given-up", r.gateway.name, id, "", "aborted %s: %v", b.describeStop(r, term), cause)
	case headReceived && b.mayGiveUp(r, term):
		b.counts["broken off by a stop while its upstream was at work"]++
	default:
		b.violateUnless(b.wasHurt(r), "lost", r.gateway.name, id, "", "aborted %s, header received %t: %v", b.describeStop(r, term), headReceived, cause)
	}
}

// RecordFailed checks a request that the gateway answers as failed: a request that an upstream has started must be
// completed.
func (b *History) RecordFailed(id string, status int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	b.counts[fmt.Sprint("status ", status)]++
	term, stopping := termOf(r)
	switch {
	case stopping && b.isGivenUpLate(r, term):
		b.violateUnless(b.wasHurt(r), "given-up", r.gateway.name, id, "", "answered with status %d, %s", status, b.describeStop(r, term))
	case stopping && b.mayGiveUp(r, term):
		b.counts["failed by a stop while its upstream was at work"]++
	default:
		b.checkEarlyEnd(r, id, false, fmt.Sprint("answered with status ", status))
	}
}

// termOf returns when SIGTERM was sent to the request's gateway, if it was.
func termOf(r *request) (time.Time, bool) {
	ns := r.gateway.termAt.Load()
	return time.Unix(0, ns), ns != 0
}

// isGivenUpLate reports whether a request whose answer fails was complete too late for that, and sent to an upstream all
// the same. The caller holds the lock.
func (b *History) isGivenUpLate(r *request, term time.Time) bool {
	return len(r.reached) > 0 && r.whole.Sub(term) > takingTime
}

// mayGiveUp reports whether a stopping gateway may give up a request now: the request was complete within takingTime,
// and its upstream was still at work in the last part of the time for the stop. The caller holds the lock.
func (b *History) mayGiveUp(r *request, term time.Time) bool {
	final := term.Add(finalTime)
	atWork := len(r.reached) > 0 && (r.atUpstreams > 0 || r.workedUntil.After(final))
	return !r.whole.IsZero() && r.whole.Sub(term) <= takingTime && atWork && b.now().After(final)
}

// wasHurt reports whether a fault of the request's gateway, of an upstream that it reached or of this machine since
// settleTime before the request may have ended its answer. A stop is no fault, of this process or of the one before it, and
// neither is what begins during one. The caller holds the lock.
func (b *History) wasHurt(r *request) bool {
	now, from := b.now(), r.sent.Add(-settleTime)
	if b.isStalled(now) || !b.noFault(from, now, append([]string{machineTarget}, r.reached...)...) {
		return true
	}
	until := now
	if term, stopping := termOf(r); stopping {
		until = term
	}
	return slices.ContainsFunc(b.spans[r.gateway.name], func(s *faultSpan) bool {
		return s.what != spanTerminated && !s.from.After(until) && (s.until.IsZero() || s.until.After(from))
	})
}

// describeStop returns the times of a request whose answer a stop ends now. The caller holds the lock.
func (b *History) describeStop(r *request, term time.Time) string {
	since := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("at %.2f s", t.Sub(term).Seconds())
	}
	return fmt.Sprintf("%s after SIGTERM, header sent %s, body complete %s, last upstream to end %s, %d of %d at work",
		since(b.now()), since(r.sent), since(r.whole), since(r.workedUntil), r.atUpstreams, len(r.reached))
}
