package throttle

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// overFor is how long the end of a limit is told: reports to other failure domains go once a second, and some are lost.
	overFor = 10 * time.Second
	// trialRate is the least rate of permits where only answers to requests can tell that a limit has ended.
	trialRate Rate = 0.1
)

// Announcement is what the process beside an upstream tells of its limit; its Word is Unclear while there is nothing to tell.
type Announcement struct {
	LimitInfo
	// Incarnation is the start of that process: one that has started again knows nothing yet.
	Incarnation uint64
	// Permits are there to be given, in parts of one.
	Permits float64
	// FromUpstream says that the upstream names the limit to that process itself.
	FromUpstream bool
}

// Limiter is the one that gives permits for an upstream: the process beside it. As there is one of it, what all
// gateways send together keeps to the limit whatever their number is. It is safe for concurrent use.
type Limiter struct {
	// OnChange is told of each limit that begins, changes or ends, and who said so; it is set before use.
	OnChange func(w LimitInfo, by string)

	now func() time.Time
	mu  sync.Mutex
	// born is the newest start of the upstream that is known.
	born id.Incarnation
	word LimitInfo
	// reported is true once the upstream has named a limit to this process: from then on nobody else is believed.
	reported bool
	overTill time.Time
	bucket   bucket
	// issued is the number of the newest permit, and named that of the newest one when a limit was last named: only the
	// answer to a later one proves that the limit has ended, as answers pass each other.
	issued, named uint64
}

// NewLimiter makes one for an upstream that is not known to have a limit.
func NewLimiter(now func() time.Time) *Limiter {
	// Numbers of an earlier start of this process must not be taken for its own.
	first := uint64(rand.Uint32()) << 24
	return &Limiter{OnChange: func(LimitInfo, string) {}, now: now, issued: first, named: first}
}

// Who said what a limit is.
const (
	byUpstream = "the upstream's report"
	byGateway  = "a gateway"
	byStart    = "a new start of the upstream"
)

// RecordUpstreamReport takes what the upstream itself says beside its figures, of which start it is.
func (l *Limiter) RecordUpstreamReport(w LimitInfo, born id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(born)
	switch {
	case w.State == Limited:
		l.reported = true
		l.set(w, byUpstream)
	case w.State == Unlimited && l.reported:
		l.set(w, byUpstream)
	}
}

// start forgets what was of an earlier start. The caller holds the lock.
func (l *Limiter) start(born id.Incarnation) {
	if l.born.Before(born) {
		l.reported = false
		if l.word.State == Limited {
			l.set(LimitInfo{State: Unlimited}, byStart)
		}
	}
	l.born = max(l.born, born)
}

// RecordGatewayLimit takes a limit that an answer named to a gateway.
func (l *Limiter) RecordGatewayLimit(r Rate, born id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(born)
	switch {
	case born.Before(l.born):
	case !l.reported:
		l.set(LimitInfo{State: Limited, Rate: r}, byGateway)
	case l.word.State == Unlimited:
		// That gateway has missed the end, or an answer of before came late.
		l.overTill = l.now().Add(overFor)
	}
}

// RecordGatewayEnd takes word of an answer without a limit to the request that had a permit.
func (l *Limiter) RecordGatewayEnd(permit uint64, born id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.reported && !born.Before(l.born) && l.named < permit && permit <= l.issued {
		l.set(LimitInfo{State: Unlimited}, byGateway)
	}
}

// set takes what is known from now on. The caller holds the lock.
func (l *Limiter) set(w LimitInfo, by string) {
	now, old := l.now(), l.word
	l.word = w
	if w.State == Limited {
		l.named = l.issued
		if old.State != Limited {
			l.bucket = bucket{at: now}
		}
		l.bucket.set(l.rate(), now)
	} else if old.State == Limited {
		l.overTill = now.Add(overFor)
	}
	if w != old {
		l.OnChange(w, by)
	}
}

// rate is that of permits.
func (l *Limiter) rate() Rate {
	if l.reported {
		return l.word.Rate
	}
	return max(l.word.Rate, trialRate)
}

// IssuePermit gives the number of a permit, or 0 where none is left.
func (l *Limiter) IssuePermit() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.word.State == Limited && !l.bucket.take(l.now()) {
		return 0
	}
	l.issued++
	return l.issued
}

// Announce is what gateways are told. That a limit has ended is told for some time.
func (l *Limiter) Announce() Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	switch {
	case l.word.State == Limited:
		l.bucket.fill(now)
		return Announcement{LimitInfo: l.word, Permits: l.bucket.left, FromUpstream: l.reported}
	case now.Before(l.overTill):
		return Announcement{LimitInfo: LimitInfo{State: Unlimited}}
	default:
		return Announcement{}
	}
}
