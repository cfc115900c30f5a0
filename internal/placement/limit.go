package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// fillLimit sets the candidate's rate limit. While the process beside the upstream reports, it issues the permits; while
// it is silent, or where there is none, the gateways divide the limit among themselves. The caller holds the lock.
func (t *Tracker) fillLimit(c *Candidate, u *upstream, i *facts.Instance) {
	if u.isDifferentInstance(i) {
		u.limit, u.limitedInstance = nil, nil
		return
	}
	l := t.currentLimit(u)
	c.Limit = &l
}

// currentLimit returns an upstream's rate limit at this moment. The caller holds the lock.
func (t *Tracker) currentLimit(u *upstream) throttle.Limit {
	now := t.now()
	if u.report.isFresh(now) {
		return u.limit.Granted(now)
	}
	return u.limit.Shared(now, u.limit.Share(t.Gateways(), !u.hasReported()), t.Random)
}

// LimitedUpstream is an upstream that announces a rate limit.
type LimitedUpstream struct {
	Address string
	throttle.Limit
}

// Limits returns the upstreams that announce a rate limit, sorted by address.
func (t *Tracker) Limits() (l []LimitedUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, u := range t.upstreams {
		if u.limit != nil {
			l = append(l, LimitedUpstream{Address: address, Limit: t.currentLimit(u)})
		}
	}
	slices.SortFunc(l, func(a, b LimitedUpstream) int { return strings.Compare(a.Address, b.Address) })
	return l
}

// isDifferentInstance reports whether another instance now has the address of the rate-limited one; the limit does not
// apply to it. Incarnations tell upstreams apart; for upstreams without one a different instance ID does.
func (u *upstream) isDifferentInstance(i *facts.Instance) bool {
	if u.limitedInstance == nil {
		u.limitedInstance = i
	}
	return u.limitedInstance.ID != i.ID && u.incarnation == 0 && i.ListPosition >= u.limitedInstance.ListPosition
}

// hasReported reports whether the process beside the upstream has ever sent a report.
func (u *upstream) hasReported() bool {
	return !u.report.ReceivedAt.IsZero()
}

// applyLimit applies a limit announcement of the process beside the upstream.
func (u *upstream) applyLimit(announcement throttle.Announcement, now time.Time) {
	if u.staysUnlimited(announcement.LimitInfo) {
		return
	}
	u.limit.ApplyAnnouncement(announcement, now)
	u.dropEndedLimit()
}

// staysUnlimited reports whether the upstream has no limit and the given information does not introduce one. If it
// introduces one, the limit field is initialised, so that it is not nil where false is returned.
func (u *upstream) staysUnlimited(info throttle.LimitInfo) bool {
	if u.limit == nil && info.State == throttle.Limited {
		u.limit = &throttle.KnownLimit{}
	}
	return u.limit == nil
}

// dropEndedLimit removes a limit that has ended.
func (u *upstream) dropEndedLimit() {
	if !u.limit.Limited() {
		u.limit, u.limitedInstance = nil, nil
	}
}

// RecordLimitAnnouncement applies a limit announcement that the process beside an upstream sent outside its reports.
func (t *Tracker) RecordLimitAnnouncement(address string, announcement throttle.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[address]; u != nil {
		u.applyLimit(announcement, t.now())
	}
}

// UnannouncedLimit returns an upstream's limit that the given incarnation of the process beside it has not announced,
// with the upstream's incarnation; false if there is no such limit.
func (t *Tracker) UnannouncedLimit(address string, incarnation uint64) (throttle.Rate, id.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	if u == nil || u.limit == nil {
		return 0, 0, false
	}
	rate, unannounced := u.limit.Unannounced(incarnation)
	return rate, u.incarnation, unannounced
}

// TakeSharePermit takes a permit from this gateway's own share of an upstream's limit.
func (t *Tracker) TakeSharePermit(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	return u != nil && u.limit != nil && u.limit.TakeSharePermit(t.now())
}

// RecordLimitAnswer applies the limit information of the upstream's response to the attempt, and returns whether the
// process beside the upstream must be notified of it.
func (f *Attempt) RecordLimitAnswer(info throttle.LimitInfo) (notify bool) {
	t, u := f.tracker, f.upstream
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.staysUnlimited(info) {
		return false
	}
	now := t.now()
	silent := !u.report.isFresh(now)
	u.limit.ApplyAnswer(info, f.request.sentAt, now, silent)
	u.dropEndedLimit()
	return u.limit != nil && !u.limit.FromUpstream() && !silent
}

// SpreadRetryAfter returns the Retry-After where permits become available more slowly than callers arrive: a random time
// between the next permit and the longest wait that a caller with the given remaining patience accepts. Callers that all
// returned at the next permit would find it taken.
func SpreadRetryAfter(nextPermit, remaining time.Duration, r *rand.Rand) time.Duration {
	latest := max(minRetryAfter, time.Duration(maxRetryAfterShare*float64(remaining)))
	earliest := min(max(nextPermit, minRetryAfter), latest)
	return earliest + time.Duration(r.Float64()*float64(latest-earliest))
}
