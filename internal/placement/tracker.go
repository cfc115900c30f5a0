package placement

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

const (
	// reportLife is how long an upstream's figures are believed: five reports at the usual 200 ms.
	reportLife = time.Second
	// suspectBase is how long an upstream is left alone after a first failure, and suspectMost bounds the doubling.
	suspectBase = 400 * time.Millisecond
	suspectMost = 4 * time.Second
	// stallBase is the same for an upstream that let a request wait far beyond its predicted time: what is slow, cut
	// off or frozen stays so for seconds.
	stallBase = 1500 * time.Millisecond
	// shareOfAll is how many gateways are taken to send as much as this one to an upstream whose own figures are not
	// known; today's deployments have six or seven.
	shareOfAll = 6
)

// LoadReport is what an upstream's stager says of it.
type LoadReport struct {
	// Incarnation is the start of the upstream that the figures are of; 0 where that is not known.
	Incarnation      id.Incarnation
	Running, Waiting int
	Slowdown         float64
	Held             []facts.Held
	Closed           bool
	Down             bool
	// Leaving is true while the upstream says that it is about to end.
	Leaving bool
	// Congested is true while requests queue on their way to the upstream.
	Congested bool
	// ConfigVersion is the version of the configuration that the upstream's VM has; 0 where that is not known.
	ConfigVersion uint64
	// ReceivedAt is when the report came, and EchoedStamp a moment after which it was made; zero where none is known.
	ReceivedAt, EchoedStamp time.Time
	// StampHeldFor is how long the stager had had the stamp of EchoedStamp by then, and Interval how far apart its reports are.
	StampHeldFor, Interval time.Duration
	// ValidUntil is when it is no longer believed; zero is reportLife after it was taken.
	ValidUntil time.Time
	// Limit is what it tells of the upstream's limit.
	Limit throttle.Announcement
}

// sent is one request of this process at an upstream.
type sent struct {
	at      time.Time
	tokens  float64
	started bool
}

// upstream is what the tracker keeps of one start of the upstream at an address.
type upstream struct {
	born     id.Incarnation
	report   LoadReport
	sent     map[*sent]struct{}
	failures int
	until    time.Time
	way      Path
	// limit is nil while the upstream is not known to have one.
	limit *throttle.KnownLimit
	// limited is the instance that the limit is of; nil before one was looked at.
	limited *facts.Instance
	// rest is what an instance at the address has asked for.
	rest rest
	// used is when a request was last sent.
	used time.Time
}

// Tracker follows this process's own requests at each upstream, and what upstreams say. It is safe for concurrent use.
type Tracker struct {
	// Gateways returns the number of processes that send to the same upstreams; it is set before use.
	Gateways func() int

	now   func() time.Time
	mu    sync.Mutex
	known map[string]*upstream
}

// NewTracker makes an empty tracker.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{Gateways: func() int { return shareOfAll + 1 }, now: now, known: map[string]*upstream{}}
}

func (t *Tracker) at(address string) *upstream {
	u := t.known[address]
	if u == nil {
		u = &upstream{sent: map[*sent]struct{}{}}
		t.known[address] = u
	}
	return u
}

// start returns what is kept of an address once a start of the upstream there has been heard of. A later start begins with
// nothing: requests, failures and figures were of the one before, whose requests still hold what was kept of it. It is nil for
// a start that is known to be over. The caller holds the lock.
func (t *Tracker) start(address string, born id.Incarnation) *upstream {
	u := t.at(address)
	switch {
	case born.Before(u.born):
		return nil
	case u.born.Before(born):
		u = &upstream{sent: map[*sent]struct{}{}, way: u.way}
		t.known[address] = u
	}
	u.born = max(u.born, born)
	return u
}

// listed returns what is kept of an upstream that the list has, which may have an earlier start of it. The caller holds the lock.
func (t *Tracker) listed(i *facts.Instance) *upstream {
	if u := t.known[i.Address]; u != nil && i.Born <= u.born {
		return u
	}
	t.start(i.Address, i.Born)
	return t.at(i.Address)
}

// SetReport takes an upstream's figures, unless they are of an earlier start of it than is known.
func (t *Tracker) SetReport(address string, r LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.start(address, r.Incarnation); u != nil {
		u.report = r
		u.hearLimit(r.Limit, r.ReceivedAt)
		u.way.RecordEcho(r.EchoedStamp, r.StampHeldFor, r.Interval, t.now())
	}
}

// RecordProbe notes that a stamp was sent to the stager beside an upstream.
func (t *Tracker) RecordProbe(address string, stamp time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(address).way.RecordProbe(stamp)
}

// FreshReport returns an upstream's report if it is new enough to be believed.
func (t *Tracker) FreshReport(address string) (LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	if u == nil || !u.report.believed(t.now()) {
		return LoadReport{}, false
	}
	return u.report, true
}

// Report returns the report of an upstream that the list has, and whether it is new enough to be believed. Without one the
// report tells only the newest start that is known there: the list's entry may be of the one before.
func (t *Tracker) Report(i *facts.Instance) (LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.listed(i)
	if !u.report.believed(t.now()) {
		return LoadReport{Incarnation: u.born}, false
	}
	r := u.report
	r.Incarnation = u.born
	return r, true
}

// believed says whether a report is new enough.
func (r *LoadReport) believed(now time.Time) bool {
	if r.ValidUntil.IsZero() {
		return now.Sub(r.ReceivedAt) <= reportLife
	}
	return !now.After(r.ValidUntil)
}

// usedFor is how long after a request an upstream counts as used: callers come back within about that.
const usedFor = 2 * time.Second

// RecentlyUsed says whether requests of this process are at an upstream, or were sent there lately.
func (t *Tracker) RecentlyUsed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	return u != nil && (len(u.sent) > 0 || t.now().Sub(u.used) < usedFor)
}

// Attempt is a request at an upstream.
type Attempt struct {
	tracker  *Tracker
	upstream *upstream
	sent     *sent
}

// Begin notes a request that is about to be sent.
func (t *Tracker) Begin(address string, tokens float64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.at(address)
	s := &sent{at: t.now(), tokens: tokens}
	u.sent[s], u.used = struct{}{}, s.at
	if u.limit != nil {
		u.limit.CountSent()
	}
	return &Attempt{tracker: t, upstream: u, sent: s}
}

// RecordFirstEvent notes the first event and returns the time that it took. How long requests took of late is no part of a prediction:
// an upstream's own report tells its pace, and a gateway that took all for slow, from a queue that is long over, would send
// them nothing and never learn better.
func (f *Attempt) RecordFirstEvent() time.Duration {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	took := t.now().Sub(f.sent.at)
	f.sent.started = true
	f.upstream.failures = 0
	return took
}

// End notes that the request is over.
func (f *Attempt) End() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.upstream.sent, f.sent)
}

// RecordFailure notes that the upstream failed the request, and leaves it alone for a while.
func (f *Attempt) RecordFailure() {
	f.suspect(suspectBase)
}

// RecordStall notes that the upstream let the request wait, and leaves it alone for longer.
func (f *Attempt) RecordStall() {
	f.suspect(stallBase)
}

func (f *Attempt) suspect(base time.Duration) {
	t, u := f.tracker, f.upstream
	t.mu.Lock()
	defer t.mu.Unlock()
	d := base << min(u.failures, 4)
	u.failures++
	u.until = t.now().Add(min(d, suspectMost))
}

// Candidate fills in what the tracker knows of an upstream. The usual prompt stands in for those of other processes.
func (t *Tracker) Candidate(i *facts.Instance, usualPrompt float64) Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := Candidate{Instance: i.ID, Address: i.Address, Domain: i.Domain, Slots: i.Slots, Slowdown: 1, Incarnation: i.Born}
	u := t.listed(i)
	c.Incarnation = max(c.Incarnation, u.born)
	c.InFlight, c.Path = len(u.sent), u.way
	c.Suspect, c.Rest = now.Before(u.until), u.rest.left(i.ID, now)
	c.Fresh = u.report.believed(now)
	if u.limit != nil {
		t.limit(&c, u, i)
	}
	if !c.Fresh {
		c.Waiting = shareOfAll * len(u.sent)
		for s := range u.sent {
			if !s.started {
				c.Backlog += shareOfAll * s.tokens
			}
		}
		return c
	}
	c.Age = max(0, now.Sub(u.report.ReceivedAt))
	c.Congested, c.ConfigVersion = u.report.Congested, u.report.ConfigVersion
	c.Suspect = c.Suspect || c.Congested
	c.Running, c.Waiting = u.report.Running, u.report.Waiting
	c.Slowdown = max(1, u.report.Slowdown)
	c.Backlog = float64(u.report.Waiting) * usualPrompt
	for s := range u.sent {
		if s.at.After(u.report.ReceivedAt) {
			c.Waiting++
			c.Backlog += s.tokens
		}
	}
	return c
}

// wayMemory is how long the way to an upstream is remembered that is no longer listed: heartbeats of a VM behind a
// narrow link come late over that very link, and its entry goes for a second or two. It is above the 8 to 14 s that
// users give a version's end, for which a queue counts.
const wayMemory = 15 * time.Second

// Sweep forgets upstreams that are no longer listed and carry nothing, but for ways on which something has queued lately and
// for instances that rest.
func (t *Tracker) Sweep(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for a, u := range t.known {
		if !listed[a] && len(u.sent) == 0 && now.Sub(u.way.slow) > wayMemory && !now.Before(u.rest.until) {
			delete(t.known, a)
		}
	}
}

// PoolInstances lists the upstreams of a pool.
func PoolInstances(l []*facts.Instance, p id.Pool) []*facts.Instance {
	var of []*facts.Instance
	for _, i := range l {
		if i.Pool == p {
			of = append(of, i)
		}
	}
	return of
}
