package placement

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// limit fills in what is known of an upstream's limit. Where the process beside the upstream reports, it gives the permits; where it is silent, or
// there is none, the gateways share them. The caller holds the lock.
func (t *Tracker) limit(c *Candidate, u *upstream, now time.Time) {
	if c.Limited = u.limit.Limited(); !c.Limited {
		return
	}
	if c.Known {
		c.Limit = u.limit.Asked(now)
		return
	}
	c.Limit = u.limit.Alone(now, u.limit.Part(t.Gateways(), !u.reports()))
}

// place notes which instance is at the address. Upstreams that don't tell their start are other ones under another ID, and what was known of the
// limit there was of the one before.
func (u *upstream) place(i *facts.Instance) {
	if i.ID == u.instance || i.Seen < u.seen {
		return
	}
	if u.instance != "" && u.born == 0 {
		u.limit = throttle.Known{}
	}
	u.instance, u.seen = i.ID, i.Seen
}

// reports says whether a process beside the upstream has ever reported.
func (u *upstream) reports() bool {
	return !u.report.Taken.IsZero()
}

// HearLimit takes what the process beside an upstream has told besides its report.
func (t *Tracker) HearLimit(address string, told throttle.Told) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.known[address]; u != nil {
		u.limit.Hear(told, t.now())
	}
}

// Untold is the limit of an upstream of which the process beside it, by its start, has told nothing; false where there is no such limit.
func (t *Tracker) Untold(address string, by uint64) (throttle.Rate, id.Birth, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	if u == nil {
		return 0, 0, false
	}
	r, untold := u.limit.Untold(by)
	return r, u.born, untold
}

// TakePart takes a permit for an upstream of this gateway's own part.
func (t *Tracker) TakePart(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	return u != nil && u.limit.Take(t.now())
}

// Answered takes what the upstream's answer to the request says of its limit, and returns whether the process beside the upstream is to be told.
func (f *Flight) Answered(w throttle.Word) (tell bool) {
	t, u := f.tracker, f.upstream
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	silent := !u.report.believed(now)
	u.limit.Answer(w, f.sent.at, now, silent)
	return u.limit.Limited() && !u.limit.Reported() && !silent
}

// RetrySpread is when a caller may come back where permits come more slowly than callers: any moment from the next permit on within what a caller
// heeds that has a time left. All that came back at the next permit would find the one that took it.
func RetrySpread(due, left time.Duration, r *rand.Rand) time.Duration {
	most := max(leastRetry, time.Duration(retryShare*float64(left)))
	from := min(max(due, leastRetry), most)
	return from + time.Duration(r.Float64()*float64(most-from))
}
