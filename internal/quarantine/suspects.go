package quarantine

import (
	"expvar"
	"slices"
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
	// sameCrashWindow is how close in time two gateways' reports of a crash must be to count as one if only one of them
	// knows the incarnation: an upstream takes seconds to restart.
	sameCrashWindow = 2 * time.Second
	// maxCrashes limits the crashes that are remembered, and maxRequestsPerCrash the requests of one crash. An upstream
	// has at most 48 requests on the planned machines, so 1,024 crashes take at most 6 MB, and 1 MB with 10 requests
	// each.
	maxCrashes          = 1024
	maxRequestsPerCrash = 128
)

// recordedCrash is a crash of an upstream process, with all requests that were in flight there.
type recordedCrash struct {
	incarnation Incarnation
	recordedAt  time.Time
	requests    map[Fingerprint]id.Organisation
	// explained is true once one of the crash's requests is held: it then is no evidence against the others. It never is
	// evidence against the requests in cleared, whichever gateway reports it again.
	explained bool
	cleared   map[Fingerprint]struct{}
}

// suspect is a request with the unexplained crashes at which it was in flight.
type suspect struct {
	organisation id.Organisation
	crashes      map[*recordedCrash]struct{}
	// attempts are the callers' attempts that were in flight at these crashes, and triedAlone is true once one of them
	// was sent alone.
	attempts   map[CallerAttempt]struct{}
	triedAlone bool
}

// proven reports whether the evidence suffices to hold a request: enough crashes, under as many attempts of its callers,
// one of which was sent alone. Where upstreams crash often, a harmless request may be in flight at three crashes that it
// did not cause: each attempt is sent to two upstreams, and its caller retries. In 200 simulations with up to one crash
// a second among 20 upstreams, three crashes alone held 63 of 600,847 harmless requests, and this rule none.
func (s *suspect) proven() bool {
	return len(s.crashes) >= minCrashes && len(s.attempts) >= minCrashes && s.triedAlone
}

// SuspectTracker decides from the crashes that gateways see which requests to hold. All gateways that receive the same
// reports reach the same decision, in whichever order they arrive: of a crash only the set of requests in flight counts,
// and a request is held once it was in flight at enough crashes that no other held request explains. It is safe for
// concurrent use.
type SuspectTracker struct {
	vm  id.VM
	now func() time.Time
	// after calls a function after a delay.
	after func(d time.Duration, f func())
	log   *log.Logger
	vars  *expvar.Map
	// OnHeld are called for each request that is held from now on, and OnServed for one that is no longer suspected
	// because it was served here. They are called without the lock, and must be set before any other call.
	OnHeld   []func(h HeldRequest)
	OnServed func(f Fingerprint)

	// watching is false while no request is suspected or held.
	watching atomic.Bool

	mu         sync.Mutex
	crashes    []*recordedCrash
	byInstance map[id.Instance][]*recordedCrash
	suspects   map[Fingerprint]*suspect
	held       *heldSet
	served     *recentlyServed
	settling   bool
}

// NewSuspectTracker creates an empty tracker for the gateway on a VM.
func NewSuspectTracker(vm id.VM, now func() time.Time, l *log.Logger) *SuspectTracker {
	g := &SuspectTracker{
		vm: vm, now: now, log: l, vars: new(expvar.Map), OnServed: func(Fingerprint) {},
		after:      func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		byInstance: map[id.Instance][]*recordedCrash{}, suspects: map[Fingerprint]*suspect{}, held: newHeldSet(), served: newRecentlyServed(now),
	}
	g.vars.Set("held", expvar.Func(func() any { return len(g.HeldRequests()) }))
	return g
}

// Check returns what may be done with a request. It takes no lock while no request is suspected or held.
func (l *SuspectTracker) Check(f Fingerprint) Verdict {
	if !l.watching.Load() {
		return Pass
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if h := l.held.get(f); h != nil {
		h.refused++
		return Held
	}
	s := l.suspects[f]
	switch {
	case s == nil || len(s.crashes) < minCrashes-1:
		return Pass
	case s.proven():
		return Waits
	default:
		return Alone
	}
}

// RecordCrash adds a crash that this or another gateway has seen.
func (l *SuspectTracker) RecordCrash(e Crash) {
	l.mu.Lock()
	n := l.findCrash(e.Incarnation)
	if n == nil {
		n = l.addCrash(e.Incarnation)
	}
	var cleared []Fingerprint
	for _, p := range e.Requests {
		if _, known := n.requests[p.Fingerprint]; !known && len(n.requests) >= maxRequestsPerCrash {
			continue
		}
		n.requests[p.Fingerprint] = p.Organisation
		if l.held.get(p.Fingerprint) != nil {
			l.explain(n)
			continue
		}
		if _, cleared := n.cleared[p.Fingerprint]; cleared || n.explained {
			continue
		}
		if l.addEvidence(p, n) {
			cleared = append(cleared, p.Fingerprint)
		}
	}
	l.updateWatching()
	l.mu.Unlock()
	for _, f := range cleared {
		l.OnServed(f)
	}
}

// findCrash returns the crash of an incarnation if it is known; the caller holds the lock.
func (l *SuspectTracker) findCrash(s Incarnation) *recordedCrash {
	for _, e := range l.byInstance[s.Instance] {
		sameBirth := e.incarnation.Born == s.Born
		unknownBirth := (e.incarnation.Born == 0 || s.Born == 0) && l.now().Sub(e.recordedAt) < sameCrashWindow
		if sameBirth || unknownBirth {
			return e
		}
	}
	return nil
}

// addCrash adds a new crash, and evicts the oldest one if there are too many; the caller holds the lock.
func (l *SuspectTracker) addCrash(s Incarnation) *recordedCrash {
	if len(l.crashes) >= maxCrashes {
		l.forgetCrash(l.crashes[0])
	}
	e := &recordedCrash{incarnation: s, recordedAt: l.now(), requests: map[Fingerprint]id.Organisation{}, cleared: map[Fingerprint]struct{}{}}
	l.crashes = append(l.crashes, e)
	l.byInstance[s.Instance] = append(l.byInstance[s.Instance], e)
	l.vars.Add("ends", 1)
	l.log.Info().Str("instance", string(s.Instance)).Str("upstream", s.Address).Uint64("born", uint64(s.Born)).
		Msg("an upstream process ended with requests in flight")
	return e
}

// forgetCrash removes a crash; the caller holds the lock.
func (l *SuspectTracker) forgetCrash(e *recordedCrash) {
	l.explain(e)
	l.crashes = slices.DeleteFunc(l.crashes, func(o *recordedCrash) bool { return o == e })
	rest := slices.DeleteFunc(l.byInstance[e.incarnation.Instance], func(o *recordedCrash) bool { return o == e })
	if len(rest) == 0 {
		delete(l.byInstance, e.incarnation.Instance)
		return
	}
	l.byInstance[e.incarnation.Instance] = rest
}

// explain removes a crash from the evidence against all suspects; the caller holds the lock.
func (l *SuspectTracker) explain(e *recordedCrash) {
	if e.explained {
		return
	}
	e.explained = true
	for f := range e.requests {
		if s := l.suspects[f]; s != nil {
			delete(s.crashes, e)
			if len(s.crashes) == 0 {
				delete(l.suspects, f)
			}
		}
	}
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
	if s.proven() && !l.settling {
		l.settling = true
		l.after(settleDelay, l.settle)
	}
	if known {
		return false
	}
	l.vars.Add("suspected", 1)
	l.log.Info().Stringer("fingerprint", p.Fingerprint).Str("organisation", string(p.Organisation)).Int("ends", len(s.crashes)).
		Str("instance", string(e.incarnation.Instance)).Msg("upstream processes ended with the same request in flight")
	return false
}

// clearSuspect removes a suspect and clears it of all its crashes; the caller holds the lock.
func (l *SuspectTracker) clearSuspect(f Fingerprint, s *suspect) {
	delete(l.suspects, f)
	for e := range s.crashes {
		e.cleared[f] = struct{}{}
	}
}

// Served notes that a request was answered completely: it crashes no upstream.
func (l *SuspectTracker) Served(f Fingerprint) {
	l.mu.Lock()
	l.served.add(f)
	notify := l.clearRequest(f)
	l.mu.Unlock()
	if notify {
		l.OnServed(f)
	}
}

// ClearSuspicion notes that another gateway has served a request.
func (l *SuspectTracker) ClearSuspicion(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clearRequest(f)
}

// clearRequest removes the evidence against a request, and releases one that is held: it was in flight when it was held,
// and has been served without a crash. It returns whether other gateways suspect it too, as far as known here. The
// caller holds the lock.
func (l *SuspectTracker) clearRequest(f Fingerprint) bool {
	crashes := 0
	if s := l.suspects[f]; s != nil {
		crashes = len(s.crashes)
		l.clearSuspect(f, s)
	}
	if h := l.held.drop(f); h != nil {
		crashes = len(h.Incarnations)
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

// settle holds the requests that explain the most crashes, one after the other, until no suspect with enough evidence
// remains. Requests that were in flight at equally many crashes can't be distinguished and are held together.
func (l *SuspectTracker) settle() {
	l.mu.Lock()
	l.settling = false
	var fresh []HeldRequest
	for next := l.topSuspects(); len(next) > 0; next = l.topSuspects() {
		for _, h := range next {
			l.hold(h)
		}
		fresh = append(fresh, next...)
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notifyHeld(fresh)
}

// topSuspects lists the suspects with the most crashes among those with enough evidence; the caller holds the lock.
func (l *SuspectTracker) topSuspects() (top []HeldRequest) {
	highest := minCrashes
	for f, s := range l.suspects {
		if len(s.crashes) < highest || !s.proven() {
			continue
		}
		if len(s.crashes) > highest {
			highest, top = len(s.crashes), nil
		}
		top = append(top, l.heldRequestOf(f, s))
	}
	slices.SortFunc(top, func(a, b HeldRequest) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return top
}

func (l *SuspectTracker) heldRequestOf(f Fingerprint, s *suspect) HeldRequest {
	e := HeldRequest{Fingerprint: f, Organisation: s.organisation, HeldBy: l.vm, SinceUnixMs: l.now().UnixMilli()}
	for n := range s.crashes {
		e.Incarnations = append(e.Incarnations, n.incarnation)
	}
	slices.SortFunc(e.Incarnations, func(a, b Incarnation) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
	return e
}

// hold adds a held request and marks the crashes at which it was in flight as explained; the caller holds the lock.
func (l *SuspectTracker) hold(e HeldRequest) {
	if evicted := l.held.put(e); evicted != nil {
		l.vars.Add("dropped", 1)
		l.log.Warn().Stringer("fingerprint", evicted.Fingerprint).Str("organisation", string(evicted.Organisation)).
			Msg("held request evicted: too many requests are held")
	}
	for _, n := range l.crashes {
		if _, present := n.requests[e.Fingerprint]; present {
			l.explain(n)
		}
	}
	delete(l.suspects, e.Fingerprint)
	l.vars.Add("held_in_all", 1)
	c := l.log.Warn().Stringer("fingerprint", e.Fingerprint).Str("organisation", string(e.Organisation)).Str("by", string(e.HeldBy))
	var crashed []string
	for _, s := range e.Incarnations {
		crashed = append(crashed, string(s.Instance)+" at "+s.Address)
	}
	c.Strs("ended", crashed).Msg("request held: upstreams crashed while it was in flight")
}

// AddHeld holds a request that another gateway holds.
func (l *SuspectTracker) AddHeld(e HeldRequest) {
	l.mu.Lock()
	known := l.held.get(e.Fingerprint) != nil
	if !known {
		l.hold(e)
	}
	l.updateWatching()
	l.mu.Unlock()
	if !known {
		l.notifyHeld([]HeldRequest{e})
	}
}

// notifyHeld calls OnHeld for requests that are held from now on.
func (l *SuspectTracker) notifyHeld(fresh []HeldRequest) {
	for _, h := range fresh {
		for _, f := range l.OnHeld {
			f(h)
		}
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
