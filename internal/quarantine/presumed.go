package quarantine

import (
	"slices"
	"time"
)

const (
	// relistTime is how long after a presumed crash became known here an entry in the list proves that the process lives:
	// another gateway's list may have changed earlier than this one's.
	relistTime = 3 * time.Second
	// relistInterval is the time between two searches for such entries.
	relistInterval = time.Second
)

// presume returns the crash of a process that is presumed to have ended, once: it fell silent under requests, and its entry in
// the list has lapsed. The question stays open. The caller holds the lock.
func (w *CrashDetector) presume(s Incarnation, q *question, sign Sign) (e Crash, ok bool) {
	p := w.processes[s]
	if sign != Lapsed || q.presumed || p == nil {
		return e, false
	}
	c := *q
	c.requests = nil
	if q.broken {
		c.requests = slices.Clone(q.requests)
	}
	c.sign, _ = w.signOf(s)
	c.collect(p.inFlight())
	now := w.now()
	if _, silent := c.silentEnd(); !silent || now.Sub(c.sign) < minSilence {
		return e, false
	}
	q.presumed = true
	e = c.crash(s, now)
	e.Presumed = true
	return e, true
}

// notePresumed notes whether a crash is only presumed; the caller holds the lock.
func (l *SuspectTracker) notePresumed(n *recordedCrash, presumed, known bool) {
	switch {
	case !presumed:
		n.presumedAt = time.Time{}
	case !known:
		n.presumedAt = l.now()
		l.vars.Add("presumed", 1)
		l.log.Info().Str("instance", string(n.incarnation.Instance)).Str("upstream", n.incarnation.Address).
			Msg("an upstream is presumed to have ended: it is silent and its entry has lapsed")
		l.watchPresumed()
	}
}

// watchPresumed schedules the next search for processes that live; the caller holds the lock.
func (l *SuspectTracker) watchPresumed() {
	if !l.watchingPresumed {
		l.watchingPresumed = true
		// Gateways spread their searches, as the first to release something deletes its record.
		l.after(relistInterval+l.AnnounceDelay(), l.withdrawPresumed)
	}
}

// withdrawPresumed forgets presumed crashes of upstreams that are listed again, and ends what is held because of them unless the
// others suffice.
func (l *SuspectTracker) withdrawPresumed() {
	c := changes{here: true}
	l.mu.Lock()
	l.watchingPresumed = false
	for _, e := range slices.Clone(l.crashes) {
		switch {
		case e.presumedAt.IsZero():
		case l.now().Sub(e.presumedAt) >= relistTime && l.IsListed(e.incarnation):
			c.released = append(c.released, l.withdraw(e)...)
		default:
			l.watchPresumed()
		}
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}

// withdraw forgets a crash that did not happen, and returns what is no longer held. The caller holds the lock.
func (l *SuspectTracker) withdraw(e *recordedCrash) (released []Fingerprint) {
	l.forgetCrash(e)
	l.changeCount++
	l.undecided = true
	l.vars.Add("withdrawn", 1)
	l.log.Info().Str("instance", string(e.incarnation.Instance)).Str("upstream", e.incarnation.Address).
		Msg("an upstream that was presumed to have ended is listed again")
	for _, h := range l.held.list() {
		n := slices.Index(h.Incarnations, e.incarnation)
		if n < 0 {
			continue
		}
		rest := slices.Delete(slices.Clone(h.Incarnations), n, n+1)
		l.held.get(h.Fingerprint).Incarnations = rest
		if len(rest) >= minCrashes && (len(h.Parts) == 0 || len(rest) >= minPartCrashes) {
			continue
		}
		l.held.drop(h.Fingerprint)
		l.logReleased(h.Fingerprint, "an upstream that was presumed to have ended is listed again")
		released = append(released, h.Fingerprint)
		l.unexplain(&h)
	}
	return released
}

// unexplain makes the crashes evidence again for which something was held that no longer is; the caller holds the lock.
func (l *SuspectTracker) unexplain(h *HeldRequest) {
	for _, e := range l.crashes {
		if !e.explained || !slices.Contains(h.Incarnations, e.incarnation) {
			continue
		}
		e.explained, e.stillSuspected, e.causes = false, nil, nil
		for f, p := range e.present {
			if !e.isEvidence(f) {
				continue
			}
			s := l.suspects[f]
			if s == nil {
				s = newSuspect(p.part)
				l.suspects[f] = s
			}
			s.crashes[e], s.crashedHere = struct{}{}, true
		}
	}
	for _, o := range l.held.list() {
		l.explainCrashes(&o)
	}
}
