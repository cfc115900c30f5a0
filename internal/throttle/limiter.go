package throttle

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// endAnnouncedFor is how long the end of a limit is announced: reports to other failure domains are sent once a
	// second, and some are lost.
	endAnnouncedFor = 10 * time.Second
	// minProbeRate is the minimum rate of permits where only responses to requests can show that a limit has ended.
	minProbeRate Rate = 0.1
)

// Announcement is what the process beside an upstream sends to gateways about the upstream's limit; its State is Unclear
// if there is nothing to announce.
type Announcement struct {
	LimitInfo
	// Incarnation identifies the lifetime of the announcing process: after a restart it knows no limit.
	Incarnation uint64
	// Permits is the fill level of the token bucket, with its fraction.
	Permits float64
	// FromUpstream is true if the announcing process learns the limit from the upstream itself.
	FromUpstream bool
}

// Limiter issues the permits for an upstream, in the process beside it. As there is only one, the requests of all
// gateways together keep to the limit, whatever their number. It is safe for concurrent use.
type Limiter struct {
	// OnChange is called for each limit that begins, changes or ends, with the source of the information; it is set
	// before use.
	OnChange func(info LimitInfo, source string)

	now func() time.Time
	mu  sync.Mutex
	// incarnation is the newest known process lifetime of the upstream.
	incarnation id.Incarnation
	info        LimitInfo
	// fromUpstream is true once the upstream itself has announced a limit to this process; from then on other sources
	// are ignored.
	fromUpstream     bool
	announceEndUntil time.Time
	bucket           bucket
	// issued is the number of the newest permit, and issuedAtLimit its value when a limit was last received. As
	// responses overtake each other, only the response to a later permit proves that the limit has ended.
	issued, issuedAtLimit uint64
	// issuedBeforeLimit is the value of issued when the limit began.
	issuedBeforeLimit uint64
}

// NewLimiter returns a limiter for an upstream that is not known to have a limit.
func NewLimiter(now func() time.Time) *Limiter {
	// Starts at a random number, so that permits of an earlier process lifetime are not taken for its own.
	first := uint64(rand.Uint32()) << 24
	return &Limiter{OnChange: func(LimitInfo, string) {}, now: now, issued: first, issuedAtLimit: first}
}

// Sources of limit information.
const (
	sourceUpstream = "the upstream's report"
	sourceGateway  = "a gateway"
	sourceRestart  = "a new start of the upstream"
)

// RecordUpstreamReport applies the limit information in the upstream's own report, for the process lifetime that the
// report belongs to.
func (l *Limiter) RecordUpstreamReport(info LimitInfo, incarnation id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setIncarnation(incarnation)
	switch {
	case info.State == Limited:
		l.fromUpstream = true
		l.setInfo(info, sourceUpstream)
	case info.State == Unlimited && l.fromUpstream:
		l.setInfo(info, sourceUpstream)
	}
}

// setIncarnation drops a limit of an earlier process lifetime. The caller holds the lock.
func (l *Limiter) setIncarnation(incarnation id.Incarnation) {
	if l.incarnation.Before(incarnation) {
		l.fromUpstream = false
		if l.info.State == Limited {
			l.setInfo(LimitInfo{State: Unlimited}, sourceRestart)
		}
	}
	l.incarnation = max(l.incarnation, incarnation)
}

// RecordGatewayLimit applies a limit that a gateway received in a response.
func (l *Limiter) RecordGatewayLimit(r Rate, incarnation id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setIncarnation(incarnation)
	switch {
	case incarnation.Before(l.incarnation):
	case !l.fromUpstream:
		l.setInfo(LimitInfo{State: Limited, Rate: r}, sourceGateway)
	case l.info.State == Unlimited:
		// The upstream has reported the end of its limit. The gateway missed that, or received a delayed response.
		l.announceEndUntil = l.now().Add(endAnnouncedFor)
	}
}

// RecordGatewayEnd applies a gateway's notice that the response to the request with the given permit had no limit.
func (l *Limiter) RecordGatewayEnd(permit uint64, incarnation id.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.fromUpstream && !incarnation.Before(l.incarnation) && l.issuedAtLimit < permit && permit <= l.issued {
		l.setInfo(LimitInfo{State: Unlimited}, sourceGateway)
	}
}

// setInfo replaces the limit information. The caller holds the lock.
func (l *Limiter) setInfo(info LimitInfo, source string) {
	now, old := l.now(), l.info
	l.info = info
	if info.State == Limited {
		l.issuedAtLimit = l.issued
		if old.State != Limited {
			l.bucket, l.issuedBeforeLimit = bucket{updatedAt: now}, l.issued
		}
		l.bucket.setRate(l.permitRate(), now)
	} else if old.State == Limited {
		l.announceEndUntil = now.Add(endAnnouncedFor)
	}
	if info != old {
		l.OnChange(info, source)
	}
}

// permitRate returns the rate at which permits are issued.
func (l *Limiter) permitRate() Rate {
	if l.fromUpstream {
		return l.info.Rate
	}
	return max(l.info.Rate, minProbeRate)
}

// IssuePermit returns the number of a new permit, or 0 if none is available.
func (l *Limiter) IssuePermit() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.info.State == Limited && !l.bucket.take(l.now()) {
		return 0
	}
	l.issued++
	return l.issued
}

// ReturnPermit takes back a permit whose request is not sent. A permit from before the limit took nothing.
func (l *Limiter) ReturnPermit(permit uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.info.State == Limited && l.issuedBeforeLimit < permit && permit <= l.issued {
		l.bucket.giveBack(l.now())
	}
}

// Announce returns the announcement to gateways. The end of a limit is announced for the time endAnnouncedFor.
func (l *Limiter) Announce() Announcement {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	switch {
	case l.info.State == Limited:
		l.bucket.refill(now)
		return Announcement{LimitInfo: l.info, Permits: l.bucket.tokens, FromUpstream: l.fromUpstream}
	case now.Before(l.announceEndUntil):
		return Announcement{LimitInfo: LimitInfo{State: Unlimited}}
	default:
		return Announcement{}
	}
}
