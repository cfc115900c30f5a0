package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

const (
	// reportTTL is how long an upstream's report is used: five reports at the usual interval of 200 ms.
	reportTTL = time.Second
	// suspectBackoff is how long an upstream is avoided after a first failure; it doubles with each further one up to
	// maxSuspectBackoff.
	suspectBackoff    = 400 * time.Millisecond
	maxSuspectBackoff = 4 * time.Second
	// stallBackoff replaces suspectBackoff for an upstream whose first event is long overdue: a slow, disconnected or
	// frozen upstream stays so for seconds.
	stallBackoff = 1500 * time.Millisecond
	// assumedPeers is the number of gateways assumed to send as much as this one to an upstream without a fresh report;
	// typical deployments have six or seven gateways.
	assumedPeers = 6
)

// LoadReport is a report of the stager beside an upstream on the upstream's load and state.
type LoadReport struct {
	// Incarnation is the process lifetime of the upstream that the figures belong to; 0 if unknown.
	Incarnation id.Incarnation
	// Life stays the same while the upstream's process does; it may also change without a restart, and is 0 if unknown.
	Life uint64
	// StateAge is how old the state was when the report was made.
	StateAge time.Duration
	// Running and Waiting are the numbers of requests at the upstream, and Slowdown is the factor by which it currently
	// works slower than usual.
	Running, Waiting int
	Slowdown         float64
	// Held lists the model versions that the upstream serves.
	Held []facts.Held
	// Closed is true while the upstream admits no requests, as its stager swaps versions; Down while it does not run.
	Closed bool
	Down   bool
	// Leaving is true while the upstream announces its shutdown.
	Leaving bool
	// Congested is true while requests queue on the network path to the upstream.
	Congested bool
	// ConfigVersion is the configuration version of the upstream's VM; 0 if unknown.
	ConfigVersion uint64
	// ReceivedAt is when the report arrived. EchoedStamp is the send time of the newest probe that the stager had
	// received when it made the report; zero if there is none.
	ReceivedAt, EchoedStamp time.Time
	// StampHeldFor is the time between the stager's receipt of that probe and the report, and Interval the time between
	// its reports.
	StampHeldFor, Interval time.Duration
	// ValidUntil is when the report expires; zero stands for reportTTL after ReceivedAt.
	ValidUntil time.Time
	// Limit is the stager's announcement of the upstream's rate limit.
	Limit throttle.Announcement
}

// sentRequest is one request of this process at an upstream.
type sentRequest struct {
	sentAt       time.Time
	promptTokens float64
	hasStarted   bool
}

// upstream is the tracker's state for one process lifetime of the upstream at an address.
type upstream struct {
	incarnation id.Incarnation
	report      LoadReport
	// lifeSince is when the first of the successive reports with the newest one's Life was received, and downSince when the first
	// of the newest ones that the upstream is down was.
	lifeSince, downSince time.Time
	run                  provenRun
	inFlight             map[*sentRequest]struct{}
	failures             int
	suspectUntil         time.Time
	path                 Path
	// limit is nil while the upstream is not known to have a rate limit.
	limit *throttle.KnownLimit
	// limitedInstance is the instance that the rate limit applies to; nil before the first lookup.
	limitedInstance *facts.Instance
	// rest is the rest period that an instance at the address has asked for.
	rest rest
	// lastSent is when a request was last sent.
	lastSent time.Time
}

// Tracker records this process's own requests at each upstream, and the upstreams' reports. It is safe for concurrent
// use.
type Tracker struct {
	// Gateways returns the number of processes that send to the same upstreams; it is set before use.
	Gateways func() int
	// Random returns a number in [0, 1) for the start of this process's send slots at a rate-limited upstream; it is set
	// before use.
	Random func() float64

	now       func() time.Time
	mu        sync.Mutex
	upstreams map[string]*upstream
}

// NewTracker returns a tracker without upstreams.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{Gateways: func() int { return assumedPeers + 1 }, Random: rand.Float64, now: now, upstreams: map[string]*upstream{}}
}

func (t *Tracker) entry(address string) *upstream {
	u := t.upstreams[address]
	if u == nil {
		u = &upstream{inFlight: map[*sentRequest]struct{}{}}
		t.upstreams[address] = u
	}
	return u
}

// entryOf returns the entry of an address for a process lifetime of its upstream. A later lifetime begins with an empty
// entry, since requests, failures and reports belonged to the previous one; requests of that one keep their entry. It
// returns nil for a lifetime known to be over. The caller holds the lock.
func (t *Tracker) entryOf(address string, incarnation id.Incarnation) *upstream {
	u := t.entry(address)
	switch {
	case incarnation.Before(u.incarnation):
		return nil
	case u.incarnation.Before(incarnation):
		u = &upstream{inFlight: map[*sentRequest]struct{}{}, path: u.path}
		t.upstreams[address] = u
	}
	u.incarnation = max(u.incarnation, incarnation)
	return u
}

// entryOfInstance returns the entry of a listed upstream. The list may still show an earlier lifetime than the entry.
// The caller holds the lock.
func (t *Tracker) entryOfInstance(i *facts.Instance) *upstream {
	if u := t.upstreams[i.Address]; u != nil && i.Born <= u.incarnation {
		return u
	}
	t.entryOf(i.Address, i.Born)
	return t.entry(i.Address)
}

// SetReport stores an upstream's report, unless it is of an earlier process lifetime than the known one.
func (t *Tracker) SetReport(address string, r LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.entryOf(address, r.Incarnation); u != nil {
		if u.lifeSince.IsZero() || u.report.Life != r.Life {
			u.lifeSince = r.ReceivedAt
		}
		if r.Down && !u.report.Down {
			u.downSince = r.ReceivedAt
		}
		u.run.record(r)
		u.report = r
		u.applyLimit(r.Limit, r.ReceivedAt)
		u.path.RecordEcho(r.EchoedStamp, r.StampHeldFor, r.Interval, t.now())
	}
}

// RecordProbe records that a probe with the given timestamp was sent to the stager beside an upstream.
func (t *Tracker) RecordProbe(address string, stamp time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(address).path.RecordProbe(stamp)
}

// FreshReport returns an upstream's report if that has not expired.
func (t *Tracker) FreshReport(address string) (LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	if u == nil || !u.report.isFresh(t.now()) {
		return LoadReport{}, false
	}
	return u.report, true
}

// Report returns the report of a listed upstream, and whether it is fresh. If it is not, only the Incarnation is set: the
// newest known process lifetime at the upstream's address, which the list of upstreams may not show yet.
func (t *Tracker) Report(i *facts.Instance) (LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.entryOfInstance(i)
	if !u.report.isFresh(t.now()) {
		return LoadReport{Incarnation: u.incarnation}, false
	}
	r := u.report
	r.Incarnation = u.incarnation
	return r, true
}

// isFresh reports whether a report has not expired.
func (r *LoadReport) isFresh(now time.Time) bool {
	if r.ValidUntil.IsZero() {
		return now.Sub(r.ReceivedAt) <= reportTTL
	}
	return !now.After(r.ValidUntil)
}

// recentUse is how long after a request an upstream counts as used; callers return within about that time.
const recentUse = 2 * time.Second

// RecentlyUsed reports whether this process has requests in flight at an upstream, or sent it one recently.
func (t *Tracker) RecentlyUsed(address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	return u != nil && (len(u.inFlight) > 0 || t.now().Sub(u.lastSent) < recentUse)
}

// Attempt is a request in flight to an upstream.
type Attempt struct {
	tracker  *Tracker
	upstream *upstream
	request  *sentRequest
}

// Begin records a request that is about to be sent.
func (t *Tracker) Begin(address string, tokens float64) *Attempt {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.entry(address)
	s := &sentRequest{sentAt: t.now(), promptTokens: tokens}
	u.inFlight[s], u.lastSent = struct{}{}, s.sentAt
	if u.limit != nil {
		u.limit.CountSent()
	}
	return &Attempt{tracker: t, upstream: u, request: s}
}

// RecordFirstEvent records the first event and returns the time that it took. Observed times are not used for
// predictions: an upstream's own reports give its slowdown, and a gateway that took all upstreams for slow because of a
// past queue would send them nothing and never correct that.
func (f *Attempt) RecordFirstEvent() time.Duration {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	took := t.now().Sub(f.request.sentAt)
	f.request.hasStarted = true
	f.upstream.failures = 0
	return took
}

// End records that the request has ended.
func (f *Attempt) End() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.upstream.inFlight, f.request)
}

// RecordFailure records that the upstream failed the request, and makes it a suspect for a time.
func (f *Attempt) RecordFailure() {
	f.markSuspect(suspectBackoff)
}

// RecordStall records that the upstream's first event is overdue, and makes it a suspect for a longer time.
func (f *Attempt) RecordStall() {
	f.markSuspect(stallBackoff)
}

func (f *Attempt) markSuspect(base time.Duration) {
	t, u := f.tracker, f.upstream
	t.mu.Lock()
	defer t.mu.Unlock()
	d := base << min(u.failures, 4)
	u.failures++
	u.suspectUntil = t.now().Add(min(d, maxSuspectBackoff))
}

// Candidate returns the known state of an upstream. The usual prompt length is assumed for requests of other processes.
func (t *Tracker) Candidate(i *facts.Instance, usualPrompt float64) Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := Candidate{Instance: i.ID, Address: i.Address, Domain: i.Domain, Slots: i.Slots, Slowdown: 1, Incarnation: i.Born}
	u := t.entryOfInstance(i)
	c.Incarnation = max(c.Incarnation, u.incarnation)
	c.InFlight, c.Path = len(u.inFlight), u.path
	c.Suspect, c.Rest = now.Before(u.suspectUntil), u.rest.remaining(i.ID, now)
	c.Fresh = u.report.isFresh(now)
	if u.limit != nil {
		t.fillLimit(&c, u, i)
	}
	if !c.Fresh {
		c.Waiting = assumedPeers * len(u.inFlight)
		for s := range u.inFlight {
			if !s.hasStarted {
				c.Backlog += assumedPeers * s.promptTokens
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
	for s := range u.inFlight {
		if s.sentAt.After(u.report.ReceivedAt) {
			c.Waiting++
			c.Backlog += s.promptTokens
		}
	}
	return c
}

// pathRetention is how long the network path to an upstream is remembered that is no longer listed. Heartbeats of a VM
// behind a congested link are delayed on that link, so that its entry disappears for a second or two. It is above the 8
// to 14 s that users set for a version's lifetime after its successor, during which a queue counts.
const pathRetention = 15 * time.Second

// Sweep removes upstreams that are no longer listed and have no requests in flight, except for those with a recently
// congested path and those that are resting.
func (t *Tracker) Sweep(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for address, u := range t.upstreams {
		if !listed[address] && len(u.inFlight) == 0 && now.Sub(u.path.lastSlow) > pathRetention && !now.Before(u.rest.until) {
			delete(t.upstreams, address)
		}
	}
}

// PoolInstances returns the upstreams of a pool.
func PoolInstances(instances []*facts.Instance, pool id.Pool) []*facts.Instance {
	var matching []*facts.Instance
	for _, i := range instances {
		if i.Pool == pool {
			matching = append(matching, i)
		}
	}
	return matching
}
