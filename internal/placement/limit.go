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

// limit fills in what is known of an upstream's limit. Where the process beside the upstream reports, it gives the
// permits; where it is silent, or there is none, the gateways share them. The caller holds the lock.
func (t *Tracker) limit(c *Candidate, u *upstream, i *facts.Instance) {
	if u.isOther(i) {
		u.limit, u.limited = nil, nil
		return
	}
	l := t.limitOf(u)
	c.Limit = &l
}

// limitOf is an upstream's limit at this moment; the caller holds the lock.
func (t *Tracker) limitOf(u *upstream) throttle.Limit {
	now := t.now()
	if u.report.believed(now) {
		return u.limit.Granted(now)
	}
	return u.limit.Shared(now, u.limit.Share(t.Gateways(), !u.reports()), rand.Float64)
}

// LimitedUpstream is an upstream that names a limit.
type LimitedUpstream struct {
	Address string
	throttle.Limit
}

// Limits lists the upstreams that name a limit, by address.
func (t *Tracker) Limits() (l []LimitedUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for address, u := range t.known {
		if u.limit != nil {
			l = append(l, LimitedUpstream{Address: address, Limit: t.limitOf(u)})
		}
	}
	slices.SortFunc(l, func(a, b LimitedUpstream) int { return strings.Compare(a.Address, b.Address) })
	return l
}

// isOther says whether another instance has come to the address than the one that is limited, which is not limited
// then. Starts tell upstreams apart; those that don't tell theirs are other ones under another ID.
func (u *upstream) isOther(i *facts.Instance) bool {
	if u.limited == nil {
		u.limited = i
	}
	return u.limited.ID != i.ID && u.born == 0 && i.ListPosition >= u.limited.ListPosition
}

// reports says whether a process beside the upstream has ever reported.
func (u *upstream) reports() bool {
	return !u.report.ReceivedAt.IsZero()
}

// hearLimit takes what the process beside the upstream tells.
func (u *upstream) hearLimit(told throttle.Announcement, now time.Time) {
	if u.unlimited(told.LimitInfo) {
		return
	}
	u.limit.ApplyAnnouncement(told, now)
	u.settle()
}

// unlimited says whether the upstream has no limit and a word does not change that; otherwise its limit can be set.
func (u *upstream) unlimited(w throttle.LimitInfo) bool {
	if u.limit == nil && w.State == throttle.Limited {
		u.limit = &throttle.KnownLimit{}
	}
	return u.limit == nil
}

// settle forgets a limit that has ended.
func (u *upstream) settle() {
	if !u.limit.Limited() {
		u.limit, u.limited = nil, nil
	}
}

// RecordLimitAnnouncement takes what the process beside an upstream has told besides its report.
func (t *Tracker) RecordLimitAnnouncement(address string, told throttle.Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.known[address]; u != nil {
		u.hearLimit(told, t.now())
	}
}

// UnannouncedLimit is the limit of an upstream of which the process beside it, by its start, has told nothing; false where there
// is no such limit.
func (t *Tracker) UnannouncedLimit(address string, by uint64) (throttle.Rate, id.Incarnation, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	if u == nil || u.limit == nil {
		return 0, 0, false
	}
	r, untold := u.limit.Unannounced(by)
	return r, u.born, untold
}

// TakeSharePermit takes a permit for an upstream of this gateway's own part.
func (t *Tracker) TakeSharePermit(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	return u != nil && u.limit != nil && u.limit.TakeSharePermit(t.now())
}

// RecordLimitAnswer takes what the upstream's answer to the request says of its limit, and returns whether the process beside
// the upstream is to be told.
func (f *Attempt) RecordLimitAnswer(w throttle.LimitInfo) (tell bool) {
	t, u := f.tracker, f.upstream
	t.mu.Lock()
	defer t.mu.Unlock()
	if u.unlimited(w) {
		return false
	}
	now := t.now()
	silent := !u.report.believed(now)
	u.limit.ApplyAnswer(w, f.sent.at, now, silent)
	u.settle()
	return u.limit != nil && !u.limit.FromUpstream() && !silent
}

// SpreadRetryAfter is when a caller may come back where permits come more slowly than callers: any moment from the next
// permit on within what a caller heeds that has a time left. All that came back at the next permit would find the one
// that took it.
func SpreadRetryAfter(due, left time.Duration, r *rand.Rand) time.Duration {
	most := max(leastRetry, time.Duration(retryShare*float64(left)))
	from := min(max(due, leastRetry), most)
	return from + time.Duration(r.Float64()*float64(most-from))
}
