package quarantine

import (
	"maps"
	"time"
)

// tryTime is how long gateways send no further request with what is held for others after one has: the time in which all of them
// learn whether that crashed its upstream.
const tryTime = 3 * time.Second

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

// Try reports whether a request with what is held for others may be sent to an upstream, and if so keeps all gateways from
// sending another one for tryTime.
func (l *SuspectTracker) Try(f Fingerprint) bool {
	l.mu.Lock()
	busy := l.now().Before(l.triedUntil[f])
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

// NoteTry notes that another gateway sends a request with what is held for others.
func (l *SuspectTracker) NoteTry(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteTry(f)
}

// noteTry notes that a request with what is held for others is sent; the caller holds the lock.
func (l *SuspectTracker) noteTry(f Fingerprint) {
	maps.DeleteFunc(l.triedUntil, func(_ Fingerprint, until time.Time) bool { return !l.now().Before(until) })
	if l.held.get(f) != nil {
		l.triedUntil[f] = l.now().Add(tryTime)
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
