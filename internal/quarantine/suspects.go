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

// proven reports whether the evidence suffices to hold a suspect; the caller holds the lock.
func (l *SuspectTracker) proven(f Fingerprint, s *suspect) bool {
	if s.part {
		return l.partProven(f, s)
	}
	return s.requestProven(f)
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
	// OnHeld are called for each request that is held from now on, and OnServed for an organisation's use of a request or part that
	// is no longer suspected because it was served here. OnReleased is called for what is no longer held because it was served, or
	// something else explains more, and whether this gateway found that out. All are called without the lock, and must be
	// set before any other call.
	OnHeld     []func(h HeldRequest)
	OnServed   func(f Fingerprint)
	OnReleased func(f Fingerprint, here bool)
	// OnHeldChanged are called for what is held for other uses than before, and whether this gateway found that out itself.
	OnHeldChanged []func(h HeldRequest, here bool)
	// OnMissed is called for what is held and another gateway seems not to know, after AnnounceDelay, which is random.
	OnMissed      func(h HeldRequest)
	AnnounceDelay func() time.Duration
	// OnTry is called before a request with what is held for others, or that is sent alone, is sent to an upstream.
	OnTry func(f Fingerprint)
	// IsListed reports whether an upstream's process is in the list of upstreams. It is called with the lock.
	IsListed func(s Incarnation) bool
	// OnUnlikely is called for uses of parts that are suspected or held, and on which answers were recently written here.
	OnUnlikely func(parts []Fingerprint)
	// OnAnswered is called for uses of parts that were present at a crash and have been served here since, or on which answers were
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
	// tries are the requests with what is held for others, or sent alone, that gateways have sent, and unshared are the uses of what
	// is held that were answered here, and of which other gateways do not know.
	tries    map[Fingerprint]tried
	unshared map[Fingerprint]map[Fingerprint]struct{}
	// contents finds what a use is of.
	contents contentIndex
	// served, servedElsewhere and written are by use.
	served *recentlyServed
	// servedElsewhere are the suspected requests and parts that other gateways have served.
	servedElsewhere *recentlyServed
	// written are the parts on which an upstream has recently written an answer for some time, though it may not be complete.
	written  *recentlyServed
	settling bool
	// watchingPresumed is true while a search for presumed crashes that did not happen is scheduled.
	watchingPresumed bool
	// undecided is true if evidence against parts has changed since the last decision on what to hold.
	undecided bool
	// changeCount counts the changes of the evidence and of what was answered.
	changeCount uint64
}

// NewSuspectTracker creates an empty tracker for the gateway on a VM.
func NewSuspectTracker(vm id.VM, now func() time.Time, l *log.Logger) *SuspectTracker {
	g := &SuspectTracker{
		vm: vm, now: now, log: l, vars: new(expvar.Map), OnServed: func(Fingerprint) {}, OnReleased: func(Fingerprint, bool) {}, OnUnlikely: func([]Fingerprint) {}, OnAnswered: func(_, _ []Fingerprint) {},
		OnMissed: func(HeldRequest) {}, AnnounceDelay: func() time.Duration { return rand.N(minAnnounceSpread) },
		after:      func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		byInstance: map[id.Instance][]*recordedCrash{}, suspects: map[Fingerprint]*suspect{}, held: newHeldSet(), served: newRecentlyServed(now), written: newRecentlyServed(now),
		servedElsewhere: newRecentlyServed(now), contents: contentIndex{}, changeCount: 1, OnTry: func(Fingerprint) {},
		IsListed: func(Incarnation) bool { return false },
		tries:    map[Fingerprint]tried{}, unshared: map[Fingerprint]map[Fingerprint]struct{}{},
	}
	g.vars.Set("held", expvar.Func(func() any { return len(g.HeldRequests()) }))
	g.vars.Set("held_organisations", expvar.Func(func() any {
		g.mu.Lock()
		defer g.mu.Unlock()
		return len(g.held.byOrganisation)
	}))
	return g
}

// Check returns what may be done with a request. It takes no lock while nothing is suspected or held.
func (l *SuspectTracker) Check(q Identity) Verdict {
	if !l.recordsRead.Load() {
		l.vars.Add("checked_before_read", 1)
	}
	if !l.watching.Load() {
		return Pass
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.held.match(q); h != nil {
		h.refused++
		return Held
	}
	v := max(l.checkRequest(q), l.checkParts(q.Parts))
	if l.held.others(q) != nil {
		v = max(v, Alone)
	}
	return v
}

// checkRequest returns the verdict on a request as a whole; the caller holds the lock.
func (l *SuspectTracker) checkRequest(q Identity) Verdict {
	s := l.suspects[q.Fingerprint]
	switch {
	case s == nil || s.part || len(s.crashes) < minCrashes-1:
		return Pass
	case l.served.has(q.use()) && !s.suspects(q.Fingerprint, q.use()):
		return Pass
	case s.requestProven(q.Fingerprint):
		return Waits
	default:
		return Alone
	}
}

// CheckSilent returns what may be done with a request while upstreams are silent under it: until it is known whether they have
// ended, a request that was not answered here recently is sent alone once there are as many of them as crashes that suffice for
// that.
func (l *SuspectTracker) CheckSilent(q Identity, silent int) Verdict {
	if silent < minCrashes-1 {
		return Pass
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.served.has(q.use()) {
		return Pass
	}
	l.vars.Add("suspected_in_silence", 1)
	return Alone
}

// HeldAs returns the fingerprint under which a request is held, or false if it isn't.
func (l *SuspectTracker) HeldAs(q Identity) (Fingerprint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held.match(q)
	if h == nil {
		return Fingerprint{}, false
	}
	return h.Fingerprint, true
}

// RecordCrash adds a crash that this or another gateway has seen.
func (l *SuspectTracker) RecordCrash(e Crash) {
	l.mu.Lock()
	remembered, late := !e.RememberedAt.IsZero(), !e.At.IsZero()
	at := l.now()
	switch {
	case remembered:
		at = e.RememberedAt
	case late:
		at = e.At
	}
	n := l.findCrash(e.Incarnation, at)
	known := n != nil
	if !known {
		n = l.addCrash(e.Incarnation, at)
	}
	if n == nil {
		l.mu.Unlock()
		return
	}
	l.notePresumed(n, e.Presumed, known)
	l.changeCount++
	before := n.uses()
	l.endTries(n, e.Requests)
	n.addRequests(e.Requests)
	l.contents.update(n, before)
	if remembered || late {
		l.clearAnswered(n)
	}
	c := changes{here: true}
	for _, p := range e.Requests {
		q := p.identity()
		if h := l.held.match(q); h != nil && n.explainedBy(h) {
			l.explain(n, h)
		}
	}
	for _, p := range e.Requests {
		q := p.identity()
		if h := l.held.others(q); h != nil && p.Progress != Writing && !n.explained {
			f := h.Fingerprint
			l.after(settleDelay+l.AnnounceDelay(), func() { l.widen(f, q, n) })
		}
		if n.isEvidenceOf(p.Fingerprint, q.use()) && l.addEvidence(q, n) {
			c.served = append(c.served, q.use())
		}
		q.eachPart(func(f, use Fingerprint) {
			if n.isEvidenceOf(f, use) && !l.held.binds(f, use, q.Key) {
				c.unlikely = append(c.unlikely, l.addPartEvidence(f, q.Organisation, n, !remembered)...)
			}
		})
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}

// scheduleSettle schedules the decision on what to hold; the caller holds the lock.
func (l *SuspectTracker) scheduleSettle() {
	if !l.settling {
		l.settling = true
		l.after(settleDelay, l.settle)
	}
}

// Lift releases a held request, as if no upstream had crashed under it, and returns whether it was held.
func (l *SuspectTracker) Lift(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.held.drop(f)
	if e == nil {
		return false
	}
	for _, p := range append([]Fingerprint{f}, e.Parts...) {
		if s := l.suspects[p]; s != nil {
			l.clearSuspect(p, s)
		}
	}
	l.vars.Add("lifted", 1)
	l.log.Warn().Stringer("fingerprint", f).Str("organisation", string(e.Organisation)).Msg("held request lifted")
	l.changeCount++
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
