package quarantine

import (
	"slices"
	"time"
)

// clearUse clears an organisation's use of a request or part of all crashes, and returns of how many. Without any other use at a
// crash that is no evidence any more. The caller holds the lock.
func (l *SuspectTracker) clearUse(f, use Fingerprint) (crashes int) {
	s := l.suspects[f]
	if s == nil {
		return 0
	}
	l.changeCount++
	for e := range s.crashes {
		if !e.present[f].clear(use, false) {
			continue
		}
		crashes++
		e.causes = nil
		if !e.isEvidence(f) {
			l.removeEvidence(f, e)
		}
	}
	return crashes
}

// clearSuspect removes a suspect and clears it of all its crashes; the caller holds the lock.
func (l *SuspectTracker) clearSuspect(f Fingerprint, s *suspect) {
	delete(l.suspects, f)
	l.changeCount++
	for e := range s.crashes {
		e.present[f].clear(f, true)
		e.causes = nil
	}
}

// Served notes that a request was answered completely: for its organisation neither it nor a part of it crashes upstreams.
func (l *SuspectTracker) Served(q Identity) {
	c := changes{here: true}
	l.mu.Lock()
	l.changeCount++
	q.each(func(f, use Fingerprint) {
		l.served.addOf(f, use, q.Organisation)
		s := l.suspects[f]
		suspectedPart := s != nil && s.part && s.suspects(f, use)
		if l.clear(f, use, &c) {
			c.served = append(c.served, use)
		} else if suspectedPart {
			c.answered = append(c.answered, use)
		}
		l.exempt(f, use)
	})
	l.mu.Unlock()
	l.notify(c)
}

// exempt notes that an organisation was answered on what is held for others; the caller holds the lock.
func (l *SuspectTracker) exempt(f, use Fingerprint) {
	for _, h := range l.held.with(f) {
		if len(h.Uses) > 0 && !h.listsAny(use) && h.exempt(use) {
			l.shareExempt(h, use)
		}
	}
}

// ClearSuspicion notes that another gateway has served an organisation's use of a request or part.
func (l *SuspectTracker) ClearSuspicion(use Fingerprint) {
	var c changes
	l.mu.Lock()
	l.changeCount++
	l.servedElsewhere.add(use)
	l.clear(l.contents.contentOf(use), use, &c)
	l.mu.Unlock()
	l.notify(c)
}

// clear removes the evidence against an organisation's use of a request or part, and releases what is held because of it: it was
// in flight when it was held, and has been served without a crash. It returns whether other gateways suspect it too, as far as
// known here. The caller holds the lock.
func (l *SuspectTracker) clear(f, use Fingerprint, c *changes) bool {
	crashes := l.clearUse(f, use)
	if f != use {
		// Older gateways report and hold uses only.
		crashes = max(crashes, l.clearUse(use, use))
	}
	l.undecided = l.undecided || crashes > 0
	if n := l.release(f, use, c); n > 0 {
		crashes = n
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

// release ends what is held for an organisation's use of a request or part that was served. It returns how many crashes that had,
// or minCrashes for parts; 0 if nothing was held for it. The caller holds the lock.
func (l *SuspectTracker) release(f, use Fingerprint, c *changes) (crashes int) {
	for _, name := range []Fingerprint{f, use} {
		h := l.held.get(name)
		if h == nil || len(h.Parts) > 0 || !h.listsAny(use) {
			continue
		}
		crashes = len(h.Incarnations)
		if h.dropUse(use) && len(h.Uses) > 0 {
			h.exempt(use)
			c.changed = append(c.changed, *h)
			continue
		}
		l.held.drop(name)
		l.logReleased(name, c.servedWhere())
		c.released = append(c.released, name)
	}
	released, held, changed := l.reduceHeld(f, use, c)
	if len(released)+len(changed) > 0 {
		crashes = minCrashes
		c.released, c.held, c.changed = append(c.released, released...), append(c.held, held...), append(c.changed, changed...)
	}
	return crashes
}

// reduceHeld ends what is held for an organisation's use of a part that was served: a part by itself for that organisation, and
// for all if it was the only one; parts that are held together are replaced by the rest. It returns what is no longer held,
// what is held instead, and what is held for others only. The caller holds the lock.
func (l *SuspectTracker) reduceHeld(part, use Fingerprint, c *changes) (released []Fingerprint, fresh, changed []HeldRequest) {
	names := slices.Clone(l.held.byPart[part])
	if use != part {
		names = append(names, l.held.byPart[use]...)
	}
	for _, name := range names {
		h := l.held.get(name)
		if h == nil || !h.listsAny(use) {
			continue
		}
		if len(h.Parts) == 1 && h.dropUse(use) && len(h.Uses) > 0 {
			h.exempt(use)
			l.held.setOwner(h)
			changed = append(changed, *h)
			continue
		}
		l.held.drop(name)
		released = append(released, name)
		l.logReleased(name, c.servedWhere())
		if len(h.Parts) == 1 {
			continue
		}
		of := part
		if !slices.Contains(h.Parts, of) {
			of = use
		}
		rest := h.without(of)
		if c.here {
			rest.HeldBy = l.vm
		}
		if !l.held.covers(rest) {
			released = append(released, l.hold(rest, Reduced)...)
			fresh = append(fresh, rest)
		}
	}
	return released, fresh, changed
}

// servedSince removes from held parts the uses, and parts, that were served here after the first of their crashes that is known
// here, and returns these uses. Without any use or part left nothing is held. The caller holds the lock.
func (l *SuspectTracker) servedSince(h *HeldRequest) (served []Fingerprint, held bool) {
	first := l.firstCrash(h)
	if first.IsZero() || len(h.Parts) == 0 {
		return nil, true
	}
	wasServed := func(use Fingerprint) bool { return l.served.servedAt[use].After(first) }
	if len(h.Parts) == 1 && len(h.Uses) > 0 {
		for _, u := range h.Uses {
			if use := u.Fingerprints[0]; wasServed(use) {
				served = append(served, use)
				h.dropUse(use)
				h.exempt(use)
			}
		}
		return served, len(h.Uses) > 0
	}
	for _, p := range h.Parts {
		uses := []Fingerprint{p}
		for _, u := range h.Uses {
			uses = append(uses, u.Fingerprints[slices.Index(h.Parts, p)])
		}
		if n := slices.IndexFunc(uses, wasServed); n >= 0 {
			served = append(served, uses[n])
			*h = h.without(p)
		}
	}
	return served, len(h.Parts) > 0
}

// firstCrash returns when the first crash of what is held happened that is known here, or zero. The caller holds the lock.
func (l *SuspectTracker) firstCrash(h *HeldRequest) (first time.Time) {
	for _, s := range h.Incarnations {
		if e := l.findCrash(s, l.now()); e != nil && (first.IsZero() || e.recordedAt.Before(first)) {
			first = e.recordedAt
		}
	}
	return first
}
