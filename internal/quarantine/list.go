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
	// enough is the number of upstreams whose processes must have ended under a request before it is held: one crash is
	// most often not the request's, and the users allow three.
	enough = 3
	// settleTime is how long a request waits that enough starts have ended under, until what all gateways have seen of
	// these ends is here. A message takes two hops of 3 ms; one that is sent again, or from a VM short of processor
	// time, is still in time, and the users' bound for all gateways is 3 s.
	settleTime = 250 * time.Millisecond
	// sameEnd is within which time two gateways that know different things of a start's birth tell of one end: an
	// upstream is away for seconds.
	sameEnd = 2 * time.Second
	// mostEnds bounds the ends that are remembered, and mostPresent the requests of one end. An upstream has at most 48
	// requests on the users' machines, so 1,024 ends take 6 MB at the most and 1 MB where 10 requests are at each.
	mostEnds    = 1024
	mostPresent = 128
)

// end is the end of a start with all requests that were there.
type end struct {
	start Incarnation
	at    time.Time
	of    map[Fingerprint]id.Organisation
	// explained is true once one of its requests is held: it says nothing of the others any more. Nor does it of those
	// that were acquitted, whoever tells of it again.
	explained bool
	acquitted map[Fingerprint]struct{}
}

// suspect is a request with the unexplained ends that it was at.
type suspect struct {
	organisation id.Organisation
	ends         map[*end]struct{}
	// tries are the callers' tries of it that were at these ends, and tried is true once one of them was sent on alone.
	tries map[CallerAttempt]struct{}
	tried bool
}

// proven says whether enough speaks against a request to hold it: enough ends, under as many tries of its callers, one
// of which was sent on alone. A proper request may be at three ends that it did not cause, where upstreams crash often:
// it is sent to two in each try, and its caller comes back. In 200 plays with up to one crash a second among 20
// upstreams 63 of 600,847 proper requests were held for three ends alone, none so.
func (s *suspect) proven() bool {
	return len(s.ends) >= enough && len(s.tries) >= enough && s.tried
}

// SuspectTracker decides by what gateways see. All gateways that hear the same come to the same, in whichever order it comes:
// what counts of an end is which requests were there, and a request is held once it was at enough ends that no other
// held request explains. It is safe for concurrent use.
type SuspectTracker struct {
	vm  id.VM
	now func() time.Time
	// after calls a function after a time.
	after func(d time.Duration, f func())
	log   *log.Logger
	vars  *expvar.Map
	// OnHeld are told of each request that is held from now on, and OnServed of one that is no longer suspected as it
	// has been served here. They are called without the lock, and set before anything else is called.
	OnHeld   []func(h HeldRequest)
	OnServed func(f Fingerprint)

	// watching is false while nothing is suspected and nothing held.
	watching atomic.Bool

	mu       sync.Mutex
	ends     []*end
	byStart  map[id.Instance][]*end
	suspects map[Fingerprint]*suspect
	held     *held
	served   *served
	settling bool
}

// NewSuspectTracker makes an empty list for the gateway on a VM.
func NewSuspectTracker(vm id.VM, now func() time.Time, l *log.Logger) *SuspectTracker {
	g := &SuspectTracker{
		vm: vm, now: now, log: l, vars: new(expvar.Map), OnServed: func(Fingerprint) {},
		after:   func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		byStart: map[id.Instance][]*end{}, suspects: map[Fingerprint]*suspect{}, held: newHeld(), served: newServed(now),
	}
	g.vars.Set("held", expvar.Func(func() any { return len(g.HeldRequests()) }))
	return g
}

// Check says what may be done with a request. It takes no lock while nothing is suspected.
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
	case s == nil || len(s.ends) < enough-1:
		return Pass
	case s.proven():
		return Waits
	default:
		return Alone
	}
}

// RecordCrash takes an end that this or another gateway has seen.
func (l *SuspectTracker) RecordCrash(e Crash) {
	l.mu.Lock()
	n := l.find(e.Incarnation)
	if n == nil {
		n = l.add(e.Incarnation)
	}
	var acquitted []Fingerprint
	for _, p := range e.Requests {
		if _, known := n.of[p.Fingerprint]; !known && len(n.of) >= mostPresent {
			continue
		}
		n.of[p.Fingerprint] = p.Organisation
		if l.held.get(p.Fingerprint) != nil {
			l.explain(n)
			continue
		}
		if _, acquitted := n.acquitted[p.Fingerprint]; acquitted || n.explained {
			continue
		}
		if l.accuse(p, n) {
			acquitted = append(acquitted, p.Fingerprint)
		}
	}
	l.watch()
	l.mu.Unlock()
	for _, f := range acquitted {
		l.OnServed(f)
	}
}

// find returns the end of a start if it has been heard of; the caller holds the lock.
func (l *SuspectTracker) find(s Incarnation) *end {
	for _, e := range l.byStart[s.Instance] {
		known := e.start.Born == s.Born
		oneUnknown := (e.start.Born == 0 || s.Born == 0) && l.now().Sub(e.at) < sameEnd
		if known || oneUnknown {
			return e
		}
	}
	return nil
}

// add notes a new end, in place of the oldest one where there are too many; the caller holds the lock.
func (l *SuspectTracker) add(s Incarnation) *end {
	if len(l.ends) >= mostEnds {
		l.forget(l.ends[0])
	}
	e := &end{start: s, at: l.now(), of: map[Fingerprint]id.Organisation{}, acquitted: map[Fingerprint]struct{}{}}
	l.ends = append(l.ends, e)
	l.byStart[s.Instance] = append(l.byStart[s.Instance], e)
	l.vars.Add("ends", 1)
	l.log.Info().Str("instance", string(s.Instance)).Str("upstream", s.Address).Uint64("born", uint64(s.Born)).
		Msg("an upstream's process has ended with requests")
	return e
}

// forget drops an end; the caller holds the lock.
func (l *SuspectTracker) forget(e *end) {
	l.explain(e)
	l.ends = slices.DeleteFunc(l.ends, func(o *end) bool { return o == e })
	rest := slices.DeleteFunc(l.byStart[e.start.Instance], func(o *end) bool { return o == e })
	if len(rest) == 0 {
		delete(l.byStart, e.start.Instance)
		return
	}
	l.byStart[e.start.Instance] = rest
}

// explain makes an end count for no suspect any more; the caller holds the lock.
func (l *SuspectTracker) explain(e *end) {
	if e.explained {
		return
	}
	e.explained = true
	for f := range e.of {
		if s := l.suspects[f]; s != nil {
			delete(s.ends, e)
			if len(s.ends) == 0 {
				delete(l.suspects, f)
			}
		}
	}
}

// accuse counts an end for a request that was there, and says whether the request is acquitted instead: it has been
// served here lately. The caller holds the lock.
func (l *SuspectTracker) accuse(p InFlightRequest, e *end) (acquitted bool) {
	s := l.suspects[p.Fingerprint]
	if s == nil {
		s = &suspect{organisation: p.Organisation, ends: map[*end]struct{}{}, tries: map[CallerAttempt]struct{}{}}
		l.suspects[p.Fingerprint] = s
	}
	_, known := s.ends[e]
	s.ends[e], s.tries[p.Attempt] = struct{}{}, struct{}{}
	s.tried = s.tried || p.Alone
	if len(s.ends) < enough-1 {
		return false
	}
	if l.served.has(p.Fingerprint) {
		l.clear(p.Fingerprint, s)
		return true
	}
	if s.proven() && !l.settling {
		l.settling = true
		l.after(settleTime, l.settle)
	}
	if known {
		return false
	}
	l.vars.Add("suspected", 1)
	l.log.Info().Stringer("fingerprint", p.Fingerprint).Str("organisation", string(p.Organisation)).Int("ends", len(s.ends)).
		Str("instance", string(e.start.Instance)).Msg("upstreams have ended under a request")
	return false
}

// clear acquits a suspect of all its ends; the caller holds the lock.
func (l *SuspectTracker) clear(f Fingerprint, s *suspect) {
	delete(l.suspects, f)
	for e := range s.ends {
		e.acquitted[f] = struct{}{}
	}
}

// Served notes that a request has been answered whole: no upstream crashes under it.
func (l *SuspectTracker) Served(f Fingerprint) {
	l.mu.Lock()
	l.served.add(f)
	tell := l.acquit(f)
	l.mu.Unlock()
	if tell {
		l.OnServed(f)
	}
}

// ClearSuspicion takes another gateway's word that a request has been served.
func (l *SuspectTracker) ClearSuspicion(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acquit(f)
}

// acquit drops what speaks against a request, also one that is held: it was on its way when it was, and has shown that
// upstreams bear it. It says whether others suspect it too, by what is known here. The caller holds the lock.
func (l *SuspectTracker) acquit(f Fingerprint) bool {
	ends := 0
	if s := l.suspects[f]; s != nil {
		ends = len(s.ends)
		l.clear(f, s)
	}
	if h := l.held.drop(f); h != nil {
		ends = len(h.Incarnations)
	}
	if ends == 0 {
		return false
	}
	l.watch()
	if ends < enough-1 {
		return false
	}
	l.vars.Add("acquitted", 1)
	l.log.Info().Stringer("fingerprint", f).Int("ends", ends).Msg("a suspected request has been served")
	return true
}

// settle holds the requests that explain most ends, one after the other, until none is left that enough ends speak against. Those
// that were at the same ends as often can't be told apart and are held together.
func (l *SuspectTracker) settle() {
	l.mu.Lock()
	l.settling = false
	var fresh []HeldRequest
	for next := l.heaviest(); len(next) > 0; next = l.heaviest() {
		for _, h := range next {
			l.hold(h)
		}
		fresh = append(fresh, next...)
	}
	l.watch()
	l.mu.Unlock()
	l.tell(fresh)
}

// heaviest lists the requests that most ends speak against, of those against which enough is proven; the caller holds the lock.
func (l *SuspectTracker) heaviest() (heaviest []HeldRequest) {
	most := enough
	for f, s := range l.suspects {
		if len(s.ends) < most || !s.proven() {
			continue
		}
		if len(s.ends) > most {
			most, heaviest = len(s.ends), nil
		}
		heaviest = append(heaviest, l.holdOf(f, s))
	}
	slices.SortFunc(heaviest, func(a, b HeldRequest) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return heaviest
}

func (l *SuspectTracker) holdOf(f Fingerprint, s *suspect) HeldRequest {
	e := HeldRequest{Fingerprint: f, Organisation: s.organisation, HeldBy: l.vm, SinceUnixMs: l.now().UnixMilli()}
	for n := range s.ends {
		e.Incarnations = append(e.Incarnations, n.start)
	}
	slices.SortFunc(e.Incarnations, func(a, b Incarnation) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
	return e
}

// hold keeps an entry and explains the ends at which its request was; the caller holds the lock.
func (l *SuspectTracker) hold(e HeldRequest) {
	if dropped := l.held.put(e); dropped != nil {
		l.vars.Add("dropped", 1)
		l.log.Warn().Stringer("fingerprint", dropped.Fingerprint).Str("organisation", string(dropped.Organisation)).
			Msg("a held request is let go, as too many are held")
	}
	for _, n := range l.ends {
		if _, there := n.of[e.Fingerprint]; there {
			l.explain(n)
		}
	}
	delete(l.suspects, e.Fingerprint)
	l.vars.Add("held_in_all", 1)
	c := l.log.Warn().Stringer("fingerprint", e.Fingerprint).Str("organisation", string(e.Organisation)).Str("by", string(e.HeldBy))
	var starts []string
	for _, s := range e.Incarnations {
		starts = append(starts, string(s.Instance)+" at "+s.Address)
	}
	c.Strs("ended", starts).Msg("a request is held: upstreams have crashed under it")
}

// AddHeld holds a request that is held elsewhere.
func (l *SuspectTracker) AddHeld(e HeldRequest) {
	l.mu.Lock()
	known := l.held.get(e.Fingerprint) != nil
	if !known {
		l.hold(e)
	}
	l.watch()
	l.mu.Unlock()
	if !known {
		l.tell([]HeldRequest{e})
	}
}

// tell tells of requests that are held from now on.
func (l *SuspectTracker) tell(fresh []HeldRequest) {
	for _, h := range fresh {
		for _, f := range l.OnHeld {
			f(h)
		}
	}
}

// Lift lets a held request through again, as if no upstream had ended under it; it says whether it was held.
func (l *SuspectTracker) Lift(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.held.drop(f)
	if e == nil {
		return false
	}
	l.vars.Add("lifted", 1)
	l.log.Warn().Stringer("fingerprint", f).Str("organisation", string(e.Organisation)).Msg("a held request is let through again")
	l.watch()
	return true
}

// HeldRequests lists the held requests, the oldest first.
func (l *SuspectTracker) HeldRequests() []HeldRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held.list()
}

// watch notes whether anything is suspected or held; the caller holds the lock.
func (l *SuspectTracker) watch() {
	l.watching.Store(len(l.suspects) > 0 || l.held.size() > 0)
}
