package quarantine

import (
	"slices"
	"time"
)

// question is whether the process of an incarnation has ended.
type question struct {
	observer Observer
	// openedAt is when the question arose, and since when a request last broke off; the process is not known to run since.
	openedAt, since time.Time
	// broken is true if a request broke off; otherwise there are only answers whose end does not prove that they are complete.
	broken   bool
	requests []noticedRequest
	// silent is true if requests were given up while the upstream was silent, which givenUp lists.
	silent  bool
	givenUp []noticedRequest
	// presumed is true once the process was reported as presumed to have ended.
	presumed bool
	// watched is true once a look is scheduled.
	watched bool
	// ranAt is when the process was known to have run, otherwise than by its answers, when the question arose; zero if it wasn't.
	ranAt time.Time
	// sign is when the process last sent anything to this gateway.
	sign time.Time
	// established is true if one of the requests had been sent some time before.
	established bool
	// served are called once the process is known to run.
	served []func()
	// turnedAway counts connections that were closed in succession, the first of them at turnedAwayAt.
	turnedAway   int
	turnedAwayAt time.Time
	looks        int
	// looking is true during a look, after which the observer of a closed question is closed.
	looking bool
}

// noticedRequest is a request that ended at an upstream without a complete answer, and when this was noticed.
type noticedRequest struct {
	InFlightRequest
	at time.Time
}

// add adds a request; those beyond maxPresent are not kept.
func (q *question) add(p noticedRequest) {
	if len(q.requests) < maxPresent {
		q.requests = append(q.requests, p)
	}
}

func (q *question) callServed() {
	for _, f := range q.served {
		f()
	}
}

// means returns by what the next look may find out about a question.
func (q *question) means() Means {
	switch {
	case q.broken && q.looks < len(lookTimes):
		return ByConnection
	case q.broken || len(q.served) > 0:
		return ByReport
	default:
		return ByRestart
	}
}

// collect adds what was given up in the silence before the process ended, and what is still in flight there.
func (q *question) collect(inFlight []InFlightRequest) {
	for _, r := range q.givenUp {
		if !q.sign.After(r.at) {
			q.add(r)
		}
	}
	for _, r := range inFlight {
		if !slices.ContainsFunc(q.requests, func(o noticedRequest) bool { return o.sameAttempt(r) }) {
			q.add(noticedRequest{r, q.openedAt})
		}
	}
}

// sameAttempt reports whether two descriptions are of the same attempt at the upstream.
func (p *InFlightRequest) sameAttempt(o InFlightRequest) bool {
	return p.Fingerprint == o.Fingerprint && p.Attempt == o.Attempt && p.Times.SentAt.Equal(o.Times.SentAt)
}

// minLate is how much later than it happened a crash must have been noticed for its time to be stated.
const minLate = 50 * time.Millisecond

// crash returns the crash that a question is about. A process that sends nothing any more has ended at about its last sign,
// however late its connections close.
func (q *question) crash(s Incarnation, now time.Time) Crash {
	c := Crash{Incarnation: s}
	end, silent := q.silentEnd()
	if !silent {
		end.until = q.openedAt
	}
	if now.Sub(end.until) >= minLate {
		c.At = end.until
	}
	for _, r := range q.requests {
		if !silent {
			end = endTime{from: r.at, until: r.at}
		}
		c.Requests = append(c.Requests, r.asOf(end))
	}
	return c
}

// silentEnd returns when the process ended if it had been silent for some time when that was noticed.
func (q *question) silentEnd() (end endTime, silent bool) {
	var sign, sent time.Time
	var requests []InFlightRequest
	for _, r := range q.requests {
		if at := r.Times.SentAt; !at.IsZero() && (sent.IsZero() || at.Before(sent)) {
			sent = at
		}
		sign = latest(sign, r.Times.LastAt)
		requests = append(requests, r.InFlightRequest)
	}
	if sent.IsZero() {
		return endTime{}, false
	}
	sign = latest(latest(sign, q.sign), q.ranAt)
	if sign.Before(sent) {
		sign = sent
	}
	return endAfter(sign, requests), q.openedAt.Sub(sign) >= BeginningTime
}

// weigh counts connections that were closed at once, and reports whether there are enough of them to prove that the process
// has ended.
func (q *question) weigh(sign Sign, now time.Time) bool {
	if sign != TurnedAway {
		return false
	}
	if q.turnedAway == 0 {
		q.turnedAwayAt = now
	}
	q.turnedAway++
	return q.established && q.turnedAway >= minTurnedAway && now.Sub(q.turnedAwayAt) >= minTurnedAwayTime
}

// nextLook returns the time until the next look.
func (q *question) nextLook(age time.Duration) time.Duration {
	if q.broken && q.looks < len(lookTimes) {
		return max(0, lookTimes[q.looks]-age)
	}
	return lateLookInterval
}
