package quarantine

import (
	"maps"
	"time"
)

// tryTime is how long gateways send no further request with what is held for others after one has: the time in which all of them
// learn whether that crashed its upstream.
const tryTime = 3 * time.Second

// maxTryDoublings limits how often tryTime is doubled.
const maxTryDoublings = 3

// HeldForOthers returns the fingerprint under which a request, or parts of its prompt, are held for others than its organisation,
// which has had no answer on them yet. All gateways together send one request with these at a time.
func (l *SuspectTracker) HeldForOthers(q Identity) (Fingerprint, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	h := l.held.others(q)
	if h == nil {
		return Fingerprint{}, false
	}
	return h.Fingerprint, true
}

// tried is when gateways may send the next request with what is held for others, or that is suspected and must be sent alone,
// after one has.
type tried struct {
	until, forgetAt time.Time
	// count is the number of such requests without an outcome so far.
	count int
}

// Try reports whether a request with what is held for others, or that must be sent alone, may be sent to an upstream, and if so
// keeps all gateways from sending another one for a while.
func (l *SuspectTracker) Try(f Fingerprint) bool {
	l.mu.Lock()
	busy := l.now().Before(l.tries[f].until)
	if !busy {
		l.noteTry(f)
	}
	l.mu.Unlock()
	if !busy {
		l.vars.Add("tried", 1)
		l.OnTry(f)
	}
	return !busy
}

// EndTry notes that a suspected request that this gateway tried is at no upstream any more and has crashed none: it was refused,
// or never sent.
func (l *SuspectTracker) EndTry(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held.get(f) == nil {
		delete(l.tries, f)
	}
}

// NoteTry notes that another gateway sends such a request.
func (l *SuspectTracker) NoteTry(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteTry(f)
}

// noteTry notes that such a request is sent; the caller holds the lock. An upstream that falls silent under a suspected request
// may be away for longer than tryTime, so each further one waits twice as long.
func (l *SuspectTracker) noteTry(f Fingerprint) {
	now := l.now()
	maps.DeleteFunc(l.tries, func(_ Fingerprint, t tried) bool { return !now.Before(t.forgetAt) })
	t := l.tries[f]
	if l.held.get(f) != nil {
		t.until = now.Add(tryTime)
	} else {
		t.until = now.Add(tryTime << min(t.count, maxTryDoublings))
	}
	t.count++
	t.forgetAt = t.until.Add(questionTTL)
	l.tries[f] = t
}

// endTries notes the outcome of requests that were sent alone: the crash of their upstream, before they are added to it. The
// caller holds the lock.
func (l *SuspectTracker) endTries(e *recordedCrash, requests []InFlightRequest) {
	for _, r := range requests {
		if p := e.present[r.Fingerprint]; r.Alone && (p == nil || !p.triedAlone()) && l.held.get(r.Fingerprint) == nil {
			delete(l.tries, r.Fingerprint)
		}
	}
}

// widen holds what is held for others for an organisation too, after its request with it was at a crash that nothing else has
// explained since, as far as other gateways' reports tell. The delay differs between gateways: the first one tells the others.
func (l *SuspectTracker) widen(f Fingerprint, q Identity, e *recordedCrash) {
	c := changes{here: true}
	l.mu.Lock()
	if h := l.held.get(f); h != nil && l.widenHeld(h, q, e) {
		c.changed = append(c.changed, *h)
	}
	l.mu.Unlock()
	l.notify(c)
}

// widenHeld is widen; the caller holds the lock.
func (l *SuspectTracker) widenHeld(h *HeldRequest, q Identity, e *recordedCrash) bool {
	u, ok := q.heldUseOf(h)
	if !ok || e.explained || h.exempts(u) || !h.addUse(u) {
		return false
	}
	if !e.explainedBy(h) {
		h.dropLast()
		return false
	}
	l.log.Warn().Stringer("fingerprint", h.Fingerprint).Str("organisation", string(q.Organisation)).Bool("for_all", h.forAll()).
		Str("instance", string(e.incarnation.Instance)).Msg("request held for another organisation: an upstream crashed under its request too")
	l.explainCrashes(h)
	return true
}

// explainCrashes marks the crashes that what is held explains now that it is held for others too; the caller holds the lock.
func (l *SuspectTracker) explainCrashes(h *HeldRequest) {
	l.held.setOwner(h)
	l.changeCount++
	for _, n := range l.crashes {
		if n.explainedBy(h) {
			l.explain(n, h)
		}
	}
	l.updateWatching()
}

// shareExempt announces what is held if organisations were answered on it here of which other gateways do not know, after a
// random delay in which others may announce the same. The caller holds the lock.
func (l *SuspectTracker) shareExempt(h *HeldRequest, use Fingerprint) {
	f := h.Fingerprint
	if l.unshared[f] == nil {
		l.unshared[f] = map[Fingerprint]struct{}{}
		l.after(l.AnnounceDelay(), func() { l.announceExempt(f) })
	}
	l.unshared[f][use] = struct{}{}
}

// announceExempt announces what is held with the organisations for which it isn't.
func (l *SuspectTracker) announceExempt(f Fingerprint) {
	l.mu.Lock()
	h, unshared := l.held.get(f), l.unshared[f]
	delete(l.unshared, f)
	if h == nil || len(unshared) == 0 {
		l.mu.Unlock()
		return
	}
	announced := *h
	l.mu.Unlock()
	l.OnMissed(announced)
}
