package quarantine

import (
	"maps"
	"time"
)

// tryTime is how long a gateway sends no request with what is held for others after another one has begun to: the time in which
// all gateways learn whether that crashed its upstream.
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

// Try reports whether a request with what is held for others may be sent to an upstream, and if so keeps the other gateways from
// sending another one.
func (l *SuspectTracker) Try(f Fingerprint) bool {
	l.mu.Lock()
	busy := l.now().Before(l.triedUntil[f])
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
	maps.DeleteFunc(l.triedUntil, func(_ Fingerprint, until time.Time) bool { return !l.now().Before(until) })
	if l.held.get(f) != nil {
		l.triedUntil[f] = l.now().Add(tryTime)
	}
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
