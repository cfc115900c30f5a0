package quarantine

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

const (
	// minCrashes is the number of upstream processes that must have crashed under a request before it is held: a single
	// crash is usually not caused by the request, and losing three upstreams to one request is acceptable.
	minCrashes = 3
	// settleDelay is how long a request with enough crashes waits until the other gateways' reports of these crashes
	// have arrived. A message takes two hops of 3 ms; one that is resent, or from a VM short of CPU time, is still in
	// time, and the limit for all gateways is 3 s.
	settleDelay = 250 * time.Millisecond
)

// suspect is a request, or a part of prompts, with the unexplained crashes at which it was present.
type suspect struct {
	organisation id.Organisation
	part         bool
	crashes      map[*recordedCrash]struct{}
	// For a request, attempts are the callers' attempts that were in flight at these crashes, and triedAlone is true once
	// one of them was sent alone.
	attempts   map[CallerAttempt]struct{}
	triedAlone bool
	// sharedUnlikely is true once all gateways know, from this one or another, that a part is unlikely to be the cause.
	sharedUnlikely bool
	// sharedWritten is true once stagers know that an answer was written on a part after a crash.
	sharedWritten bool
	// crashedHere is true once a part was present at a crash that is not only remembered: what was served before this process
	// started is not known here, so a part is not held by remembered crashes alone.
	crashedHere bool
}

// requestProven reports whether the evidence suffices to hold a request: enough crashes, under as many attempts of its
// callers, one of which was sent alone. Where upstreams crash often, a harmless request may be in flight at three crashes
// that it did not cause: each attempt is sent to two upstreams, and its caller retries. In 200 simulations with up to one
// crash a second among 20 upstreams, three crashes alone held 63 of 600,847 harmless requests, and this rule none.
func (s *suspect) requestProven() bool {
	return len(s.crashes) >= minCrashes && len(s.attempts) >= minCrashes && s.triedAlone
}

// proven reports whether the evidence suffices to hold a suspect; the caller holds the lock.
func (l *SuspectTracker) proven(f Fingerprint, s *suspect) bool {
	if s.part {
		return l.partProven(f, s)
	}
	return s.requestProven()
}

// SuspectTracker decides from the crashes that gateways see which requests to hold, or which parts of prompts to hold
// requests for. All gateways that receive the same reports reach the same decision, in whichever order they arrive: of a
// crash only what was present counts, and a request or part is held once it was present at enough crashes that nothing else
// that is held explains. It is safe for concurrent use.
type SuspectTracker struct {
	vm  id.VM
	now func() time.Time
	// after calls a function after a delay.
	after func(d time.Duration, f func())
	log   *log.Logger
	vars  *expvar.Map
	// OnHeld are called for each request that is held from now on, and OnServed for a request or part that is no longer
	// suspected because it was served here. OnReleased is called for what is no longer held because it was served, or
	// something else explains more, and whether this gateway found that out. All are called without the lock, and must be
	// set before any other call.
	OnHeld     []func(h HeldRequest)
	OnServed   func(f Fingerprint)
	OnReleased func(f Fingerprint, here bool)
	// OnMissed is called for what is held and another gateway seems not to know, after AnnounceDelay, which is random.
	OnMissed      func(h HeldRequest)
	AnnounceDelay func() time.Duration
	// OnUnlikely is called for parts that are suspected, and on which answers were recently written here.
	OnUnlikely func(parts []Fingerprint)
	// OnAnswered is called for parts that were present at a crash and have been served here since, or on which answers were
	// written, for gateways that start later and are sent the crash.
	OnAnswered func(served, written []Fingerprint)

	// recordsRead is true once the records of held requests have been read.
	recordsRead atomic.Bool
	// watching is false while no request is suspected or held.
	watching atomic.Bool

	mu         sync.Mutex
	crashes    []*recordedCrash
	byInstance map[id.Instance][]*recordedCrash
	suspects   map[Fingerprint]*suspect
	held       *heldSet
	served     *recentlyServed
	// servedElsewhere are the suspected requests and parts that other gateways have served.
	servedElsewhere *recentlyServed
	// written are the parts on which an upstream has recently written an answer for some time, though it may not be complete.
	written  *recentlyServed
	settling bool
	// undecided is true if evidence against parts has changed since the last decision on what to hold.
	undecided bool
}

// NewSuspectTracker creates an empty tracker for the gateway on a VM.
func NewSuspectTracker(vm id.VM, now func() time.Time, l *log.Logger) *SuspectTracker {
	g := &SuspectTracker{
		vm: vm, now: now, log: l, vars: new(expvar.Map), OnServed: func(Fingerprint) {}, OnReleased: func(Fingerprint, bool) {}, OnUnlikely: func([]Fingerprint) {}, OnAnswered: func(_, _ []Fingerprint) {},
		OnMissed: func(HeldRequest) {}, AnnounceDelay: func() time.Duration { return rand.N(minAnnounceSpread) },
		after:      func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		byInstance: map[id.Instance][]*recordedCrash{}, suspects: map[Fingerprint]*suspect{}, held: newHeldSet(), served: newRecentlyServed(now), written: newRecentlyServed(now),
		servedElsewhere: newRecentlyServed(now),
	}
	g.vars.Set("held", expvar.Func(func() any { return len(g.HeldRequests()) }))
	g.vars.Set("held_organisations", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.held.byOrganisation)
	}))
	return g
}

// Check returns what may be done with a request with the given parts in its prompt. It takes no lock while nothing is
// suspected or held.
func (l *SuspectTracker) Check(f Fingerprint, parts ...Fingerprint) Verdict {
	if !l.recordsRead.Load() {
		l.vars.Add("checked_before_read", 1)
	}
	if !l.watching.Load() {
		return Pass
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.held.match(f, parts); h != nil {
		h.refused++
		return Held
	}
	return max(l.checkRequest(f), l.checkParts(parts))
}

// checkRequest returns the verdict on a request as a whole; the caller holds the lock.
func (l *SuspectTracker) checkRequest(f Fingerprint) Verdict {
	s := l.suspects[f]
	switch {
	case s == nil || s.part || len(s.crashes) < minCrashes-1:
		return Pass
	case s.requestProven():
		return Waits
	default:
		return Alone
	}
}

// HeldAs returns the fingerprint under which a request is held, or false if it isn't.
func (l *SuspectTracker) HeldAs(f Fingerprint, parts ...Fingerprint) (Fingerprint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held.match(f, parts)
	if h == nil {
		return Fingerprint{}, false
	}
	return h.Fingerprint, true
}

// RecordCrash adds a crash that this or another gateway has seen.
func (l *SuspectTracker) RecordCrash(e Crash) {
	l.mu.Lock()
	remembered, at := !e.RememberedAt.IsZero(), e.RememberedAt
	if !remembered {
		at = l.now()
	}
	n := l.findCrash(e.Incarnation, at)
	if n == nil {
		n = l.addCrash(e.Incarnation, at)
	}
	if n == nil {
		l.mu.Unlock()
		return
	}
	n.addRequests(e.Requests)
	if remembered {
		l.clearAnswered(n)
	}
	for _, p := range e.Requests {
		if h := l.held.match(p.Fingerprint, p.Parts); h != nil && n.explainedBy(h) {
			l.explain(n, h)
		}
	}
	c := changes{here: true}
	for _, p := range e.Requests {
		if n.isEvidence(p.Fingerprint) && l.addEvidence(p, n) {
			c.served = append(c.served, p.Fingerprint)
		}
		for _, f := range p.Parts {
			if n.isEvidence(f) && l.held.get(f) == nil && l.addPartEvidence(f, p.Organisation, n, !remembered) {
				c.unlikely = append(c.unlikely, f)
			}
		}
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}

// addEvidence counts a crash against a request that was in flight there. It returns true if the request is cleared
// instead, because it was served here recently. The caller holds the lock.
func (l *SuspectTracker) addEvidence(p InFlightRequest, e *recordedCrash) (cleared bool) {
	s := l.suspects[p.Fingerprint]
	if s == nil {
		s = &suspect{organisation: p.Organisation, crashes: map[*recordedCrash]struct{}{}, attempts: map[CallerAttempt]struct{}{}}
		l.suspects[p.Fingerprint] = s
	}
	_, known := s.crashes[e]
	s.crashes[e], s.attempts[p.Attempt] = struct{}{}, struct{}{}
	s.triedAlone = s.triedAlone || p.Alone
	if len(s.crashes) < minCrashes-1 {
		return false
	}
	if l.served.has(p.Fingerprint) {
		l.clearSuspect(p.Fingerprint, s)
		return true
	}
	if s.requestProven() {
		l.scheduleSettle()
	}
	if known {
		return false
	}
	l.vars.Add("suspected", 1)
	l.log.Info().Stringer("fingerprint", p.Fingerprint).Str("organisation", string(p.Organisation)).Int("ends", len(s.crashes)).
		Str("instance", string(e.incarnation.Instance)).Msg("upstream processes ended with the same request in flight")
	return false
}

// addPartEvidence counts a crash against a part of prompts. It reports whether other gateways should know that the part is
// unlikely to be the cause. The caller holds the lock.
func (l *SuspectTracker) addPartEvidence(f Fingerprint, o id.Organisation, e *recordedCrash, here bool) (unlikely bool) {
	s := l.suspects[f]
	if s == nil {
		s = &suspect{organisation: o, part: true, crashes: map[*recordedCrash]struct{}{}}
		l.suspects[f] = s
	}
	_, known := s.crashes[e]
	s.crashes[e] = struct{}{}
	s.crashedHere = s.crashedHere || here
	l.undecided = true
	if len(s.crashes) >= minPartCrashes || len(s.crashes) >= minCrashesBeside && l.held.size() > 0 {
		l.scheduleSettle()
	}
	if !s.sharedUnlikely && len(s.crashes) >= minCrashes-1 && l.isUnlikely(f) {
		s.sharedUnlikely, unlikely = true, true
	}
	if known || len(s.crashes) < minCrashes-1 || !e.present[f].beginning {
		return unlikely
	}
	l.vars.Add("suspected_parts", 1)
	l.log.Info().Stringer("fingerprint", f).Str("organisation", string(o)).Int("ends", len(s.crashes)).
		Str("instance", string(e.incarnation.Instance)).Msg("upstream processes ended with the same part of prompts in flight")
	return unlikely
}

// scheduleSettle schedules the decision on what to hold; the caller holds the lock.
func (l *SuspectTracker) scheduleSettle() {
	if !l.settling {
		l.settling = true
		l.after(settleDelay, l.settle)
	}
}

// clearSuspect removes a suspect and clears it of all its crashes; the caller holds the lock.
func (l *SuspectTracker) clearSuspect(f Fingerprint, s *suspect) {
	delete(l.suspects, f)
	for e := range s.crashes {
		e.cleared[f], e.causes = struct{}{}, nil
	}
}

// Served notes that a request with the given parts in its prompt was answered completely: neither crashes upstreams.
func (l *SuspectTracker) Served(f Fingerprint, parts ...Fingerprint) {
	c := changes{here: true}
	l.mu.Lock()
	for _, k := range append([]Fingerprint{f}, parts...) {
		l.served.add(k)
		s := l.suspects[k]
		if l.clear(k, &c) {
			c.served = append(c.served, k)
		} else if s != nil && s.part {
			c.answered = append(c.answered, k)
		}
	}
	l.mu.Unlock()
	l.notify(c)
}

// ClearSuspicion notes that another gateway has served a request or part.
func (l *SuspectTracker) ClearSuspicion(f Fingerprint) {
	var c changes
	l.mu.Lock()
	l.servedElsewhere.add(f)
	l.clear(f, &c)
	l.mu.Unlock()
	l.notify(c)
}

// clear removes the evidence against a request or part, and releases what is held because of it: it was in flight when it
// was held, and has been served without a crash. It returns whether other gateways suspect it too, as far as known here.
// The caller holds the lock.
func (l *SuspectTracker) clear(f Fingerprint, c *changes) bool {
	crashes := 0
	if s := l.suspects[f]; s != nil {
		crashes = len(s.crashes)
		l.clearSuspect(f, s)
		l.undecided = true
	}
	if h := l.held.get(f); h != nil && len(h.Parts) == 0 {
		crashes = len(h.Incarnations)
		l.held.drop(f)
		l.logReleased(f, c.servedWhere())
		c.released = append(c.released, f)
	}
	released, held := l.reduceHeld(f, c)
	if len(released) > 0 {
		crashes = minCrashes
		c.released, c.held = append(c.released, released...), append(c.held, held...)
	}
	if crashes == 0 {
		return false
	}
	l.updateWatching()
	if crashes < minCrashes-1 {
		return false
	}
	l.vars.Add("acquitted", 1)
	l.log.Info().Stringer("fingerprint", f).Int("ends", crashes).Msg("suspicion cleared: the request was served")
	return true
}

// Lift releases a held request, as if no upstream had crashed under it, and returns whether it was held.
func (l *SuspectTracker) Lift(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.held.drop(f)
	if e == nil {
		return false
	}
	for _, p := range e.Parts {
		if s := l.suspects[p]; s != nil {
			l.clearSuspect(p, s)
		}
	}
	l.vars.Add("lifted", 1)
	l.log.Warn().Stringer("fingerprint", f).Str("organisation", string(e.Organisation)).Msg("held request lifted")
	l.updateWatching()
	return true
}

// HeldRequests lists the held requests, oldest first.
func (l *SuspectTracker) HeldRequests() []HeldRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.list()
}

// updateWatching updates whether any request is suspected or held; the caller holds the lock.
func (l *SuspectTracker) updateWatching() {
	l.watching.Store(len(l.suspects) > 0 || l.held.size() > 0)
}
