package decide

import (
	"time"
)

// outcome is the final result of a request for its caller.
type outcome uint8

const (
	pending outcome = iota
	inTime
	late
	refused
	refusedAgain
	failed
	callerLeft
	outcomeCount
)

// outcomeNames are the names of the outcomes in tables.
var outcomeNames = [outcomeCount]string{"pending", "in time", "late", "refused", "refused again", "failed", "left"}

// request is a caller's request with its history and outcome.
type request struct {
	domain       int
	arrivedAt    time.Duration
	homeGateway  int
	otherGateway int
	kind         *Kind
	prompt       float64
	events       int
	abusive      bool

	attempts      int
	lastAttemptAt time.Duration
	refusals      int
	// refusedEarly is true if the first attempt was refused within a quarter of the latency target.
	refusedEarly bool
	firstEventAt time.Duration
	longestGap   time.Duration
	outcome      outcome
	// finishCount counts how often the request has ended, which must be once.
	finishCount int
	earned      float64
}

// firstEventPatience is how long a caller waits for the first event of an attempt.
func (k *Kind) firstEventPatience() time.Duration {
	return max(2*time.Second, ms(4*k.AimMs), ms(8*k.GapAimMs))
}

// submit sends the request to a gateway of the caller's failure domain.
func (p *simulation) submit(q *request, gateway int) {
	q.attempts++
	q.lastAttemptAt = p.elapsed
	remaining := q.arrivedAt + ms(q.kind.PatienceMs) - p.elapsed
	p.after(ms(p.scenario.Links.CallerMs), func() { p.gatewaysByDomain[q.domain][gateway].receive(q, remaining) })
}

const (
	// maxRetryAfterShare is the largest share of its remaining patience that a caller accepts as Retry-After.
	maxRetryAfterShare = 1.0 / 3
	// abusiveRetries is how often callers that ignore Retry-After return, each time after abusivePause.
	abusiveRetries = 3
	abusivePause   = 20 * time.Millisecond
)

// onUnserved handles an attempt that was refused or broken off: the caller returns, or the request ends.
func (p *simulation) onUnserved(q *request, wasRefused bool, retryAfter time.Duration) {
	if wasRefused {
		q.refusals++
		q.refusedEarly = q.attempts == 1 && p.elapsed-q.arrivedAt <= ms(q.kind.AimMs)/4
	}
	remaining := q.arrivedAt + ms(q.kind.PatienceMs) - p.elapsed
	retries, pause := q.kind.CallerRetries, time.Duration(0)
	if wasRefused {
		pause = min(max(0, retryAfter), time.Duration(maxRetryAfterShare*float64(remaining)))
	}
	if q.abusive {
		retries, pause = max(retries, abusiveRetries), abusivePause
	}
	if q.attempts > retries || remaining <= pause {
		switch {
		case wasRefused && q.refusals > 1:
			q.finish(refusedAgain)
		case wasRefused:
			q.finish(refused)
		default:
			q.finish(failed)
		}
		return
	}
	q.longestGap = 0
	p.after(pause, func() { p.submit(q, p.nextGateway(q)) })
}

// nextGateway returns the gateway for a caller's next attempt: a different one if there are several.
func (p *simulation) nextGateway(q *request) int {
	n := len(p.gatewaysByDomain[q.domain])
	if n == 1 {
		return 0
	}
	return (q.homeGateway + 1 + (q.otherGateway+q.attempts-1)%(n-1)) % n
}

// onCallerLeft ends a request whose caller has stopped waiting.
func (p *simulation) onCallerLeft(q *request) {
	q.finish(callerLeft)
}

// finish ends the request.
func (q *request) finish(o outcome) {
	q.finishCount++
	q.outcome = o
}

// onServed ends a request whose complete response has reached the caller, and sets what it earns.
func (q *request) onServed() {
	k := q.kind
	withinGap := k.GapAimMs <= 0 || q.longestGap <= ms(k.GapAimMs)
	switch {
	case withinGap && q.firstEventAt-q.arrivedAt <= ms(k.AimMs):
		q.finish(inTime)
		q.earned = k.Worth
	case withinGap && q.refusedEarly && q.attempts == 2 && q.firstEventAt-q.lastAttemptAt <= ms(k.AimMs):
		q.finish(late)
		q.earned = (k.Worth + k.LateWorth) / 2
	default:
		q.finish(late)
		q.earned = k.LateWorth
	}
}
