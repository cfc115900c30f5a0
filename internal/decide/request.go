package decide

import (
	"time"
)

// outcome is what a caller got in the end.
type outcome uint8

const (
	pending outcome = iota
	inTime
	late
	refused
	refusedAgain
	failed
	gone
	outcomes
)

// outcomeNames are the names of the outcomes in tables.
var outcomeNames = [outcomes]string{"pending", "in time", "late", "refused", "refused again", "failed", "left"}

// request is what a caller wants, and what came of it.
type request struct {
	domain    int
	at        time.Duration
	home      int
	elsewhere int
	kind      *Kind
	prompt    float64
	events    int
	abusive   bool

	tries    int
	triedAt  time.Duration
	refusals int
	// early says that the first try was refused within a quarter of the aim.
	early   bool
	firstAt time.Duration
	gap     time.Duration
	outcome outcome
	// ends counts how often it has ended, which must be once.
	ends int
	earn float64
}

// leaves is how long a caller waits for the first event of a try.
func (k *Kind) leaves() time.Duration {
	return max(2*time.Second, ms(4*k.AimMs), ms(8*k.GapAimMs))
}

// try sends the request to a gateway of the caller's failure domain.
func (p *play) try(q *request, door int) {
	q.tries++
	q.triedAt = p.at
	left := q.at + ms(q.kind.PatienceMs) - p.at
	p.after(ms(p.scenario.Links.CallerMs), func() { p.byDomain[q.domain][door].take(q, left) })
}

const (
	// heeded is the part of the time left within which callers come back when they were told.
	heeded = 1.0 / 3
	// abuseReturns is how often callers who heed nothing come back, each after abusePause.
	abuseReturns = 3
	abusePause   = 20 * time.Millisecond
)

// unserved is a try that was refused or broken off.
func (p *play) unserved(q *request, wasRefused bool, retry time.Duration) {
	if wasRefused {
		q.refusals++
		q.early = q.tries == 1 && p.at-q.at <= ms(q.kind.AimMs)/4
	}
	left := q.at + ms(q.kind.PatienceMs) - p.at
	returns, pause := q.kind.CallerRetries, time.Duration(0)
	if wasRefused {
		pause = min(max(0, retry), time.Duration(heeded*float64(left)))
	}
	if q.abusive {
		returns, pause = max(returns, abuseReturns), abusePause
	}
	if q.tries > returns || left <= pause {
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
	q.gap = 0
	p.after(pause, func() { p.try(q, p.next(q)) })
}

// next is the gateway that a caller comes back to: another one where there is one.
func (p *play) next(q *request) int {
	n := len(p.byDomain[q.domain])
	if n == 1 {
		return 0
	}
	return (q.home + 1 + (q.elsewhere+q.tries-1)%(n-1)) % n
}

// left is a caller who waits no longer.
func (p *play) left(q *request) {
	q.finish(gone)
}

// finish ends the request.
func (q *request) finish(o outcome) {
	q.ends++
	q.outcome = o
}

// served is a whole answer at its caller.
func (q *request) served() {
	k := q.kind
	steady := k.GapAimMs <= 0 || q.gap <= ms(k.GapAimMs)
	switch {
	case steady && q.firstAt-q.at <= ms(k.AimMs):
		q.finish(inTime)
		q.earn = k.Worth
	case steady && q.early && q.tries == 2 && q.firstAt-q.triedAt <= ms(k.AimMs):
		q.finish(late)
		q.earn = (k.Worth + k.LateWorth) / 2
	default:
		q.finish(late)
		q.earn = k.LateWorth
	}
}
