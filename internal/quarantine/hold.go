package quarantine

import (
	"maps"
	"slices"
)

// settle holds the suspects that explain the most crashes, one after the other, until no suspect with enough evidence
// remains. Requests that were in flight at equally many crashes can't be distinguished and are held together.
func (l *SuspectTracker) settle() {
	c := changes{here: true}
	l.mu.Lock()
	l.settling, l.undecided = false, false
	for next := l.topSuspects(); len(next) > 0; next = l.topSuspects() {
		for _, h := range next {
			c.released = append(c.released, l.hold(h, Decided)...)
		}
		c.held = append(c.held, next...)
	}
	l.logUndecided()
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}

// logUndecided logs the parts of prompts that were present at many crashes and are not held; the caller holds the lock.
func (l *SuspectTracker) logUndecided() {
	for f, s := range l.suspects {
		if !s.part || len(s.crashes) < minCrashesBeside || l.isUnlikely(f) {
			continue
		}
		counted, explained := s.countedCrashes(f), l.explainedEvents(f)
		if len(counted) == 0 || len(counted)+explained < minUnbegunCrashes {
			continue
		}
		events := independentEvents(counted, f)
		weight, requests := l.weigh(f, events)
		l.log.Info().Stringer("fingerprint", f).Int("counted", len(counted)).Int("independent", len(events)).Int("explained", explained).
			Float64("weight", weight).Int("requests", len(requests)).Msg("a part of prompts is suspected, without enough evidence to hold it")
	}
}

// candidate is a request, or parts of prompts, with enough evidence to be held, and the crashes that this explains.
type candidate struct {
	held    HeldRequest
	crashes []*recordedCrash
	// unlikely is true for parts on which answers were recently written.
	unlikely bool
}

// losesTo reports whether another candidate explains the same crashes better. A request outranks the parts of its
// prompt, as fewer requests are held by it, and of different parts with equally many crashes neither is held yet: the next
// crash distinguishes them, unless there were so many that both are held.
func (c *candidate) losesTo(o *candidate) bool {
	if c.unlikely != o.unlikely && len(c.held.Parts) > 0 && len(o.held.Parts) > 0 {
		return c.unlikely
	}
	overlap := slices.ContainsFunc(c.crashes, func(e *recordedCrash) bool { return slices.Contains(o.crashes, e) })
	tied := len(o.crashes) == len(c.crashes) && len(c.held.Parts) > 0 && (len(c.crashes) < minCertainCrashes || len(o.held.Parts) == 0)
	return overlap && (len(o.crashes) > len(c.crashes) || tied)
}

// topSuspects lists the candidates that explain their crashes best; the caller holds the lock.
func (l *SuspectTracker) topSuspects() (top []HeldRequest) {
	var all []*candidate
	listed := map[Fingerprint]bool{}
	for f, s := range l.suspects {
		if !l.proven(f, s) {
			continue
		}
		c := &candidate{held: l.heldRequestOf(f, s), crashes: slices.Collect(maps.Keys(s.crashes))}
		if s.part {
			c.held.Parts = l.sameEvidence(f)
			c.held.Fingerprint, c.crashes, c.unlikely = ofTogether(c.held.Parts), s.countedCrashes(f), l.isUnlikely(f)
		}
		if !listed[c.held.Fingerprint] && l.held.get(c.held.Fingerprint) == nil {
			listed[c.held.Fingerprint] = true
			all = append(all, c)
		}
	}
	for _, c := range all {
		if !slices.ContainsFunc(all, func(o *candidate) bool { return o != c && c.losesTo(o) }) && !l.partExplainsMore(c) {
			top = append(top, c.held)
		}
	}
	slices.SortFunc(top, func(a, b HeldRequest) int { return slices.Compare(a.Fingerprint[:], b.Fingerprint[:]) })
	return top
}

// partExplainsMore reports whether another part was present at all crashes of a candidate for parts and at more, even if that
// does not suffice to hold it. The caller holds the lock.
func (l *SuspectTracker) partExplainsMore(c *candidate) bool {
	if len(c.held.Parts) == 0 {
		return false
	}
	for f, p := range c.crashes[0].present {
		s := l.suspects[f]
		if !p.part || s == nil || len(s.crashes) <= len(c.crashes) || !s.hasAll(c.crashes) || l.isUnlikely(f) && !c.unlikely {
			continue
		}
		counted := s.countedCrashes(f)
		if len(counted) > len(c.crashes) && !slices.ContainsFunc(c.crashes, func(e *recordedCrash) bool { return !slices.Contains(counted, e) }) {
			return true
		}
	}
	return false
}

func (l *SuspectTracker) heldRequestOf(f Fingerprint, s *suspect) HeldRequest {
	e := HeldRequest{Fingerprint: f, Organisation: s.organisation, HeldBy: l.vm, SinceUnixMs: l.now().UnixMilli()}
	for n := range s.crashes {
		if !s.part || n.counts(f) {
			e.Incarnations = append(e.Incarnations, n.incarnation)
		}
	}
	slices.SortFunc(e.Incarnations, func(a, b Incarnation) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
	return e
}

// hold adds what is held and marks the crashes that it explains. It returns what is no longer held because this explains
// more. The caller holds the lock.
func (l *SuspectTracker) hold(e HeldRequest, o Origin) (released []Fingerprint) {
	released = l.held.dropWeaker(e)
	for _, f := range released {
		l.logReleased(f, "a hold explains its crashes and more")
	}
	if evicted := l.held.put(e); evicted != nil {
		l.vars.Add("dropped", 1)
		l.log.Warn().Stringer("fingerprint", evicted.Fingerprint).Str("organisation", string(evicted.Organisation)).
			Msg("held request evicted: too many requests are held")
	}
	l.held.announcedAt[e.Fingerprint] = l.now()
	for _, n := range l.crashes {
		if n.explainedBy(&e) {
			l.explain(n, &e)
		}
	}
	delete(l.suspects, e.Fingerprint)
	l.vars.Add("held_in_all", 1)
	c := l.log.Warn().Stringer("fingerprint", e.Fingerprint).Str("organisation", string(e.Organisation)).Str("by", string(e.HeldBy)).
		Stringer("origin", o).Int("parts", len(e.Parts))
	var crashed []string
	for _, s := range e.Incarnations {
		crashed = append(crashed, string(s.Instance)+" at "+s.Address)
	}
	c.Strs("ended", crashed).Msg("request held: upstreams crashed while it was in flight")
	return released
}

// logReleased logs that something is no longer held, or is not held although another gateway does; the caller holds the lock.
func (l *SuspectTracker) logReleased(f Fingerprint, why string) {
	l.vars.Add("released", 1)
	l.log.Warn().Stringer("fingerprint", f).Str("why", why).Msg("request no longer held")
}

// AddHeld holds what another gateway holds, except parts that were served here since the first of its crashes.
func (l *SuspectTracker) AddHeld(e HeldRequest) {
	l.addHeld(e, Announced)
}

func (l *SuspectTracker) addHeld(e HeldRequest, o Origin) {
	l.mu.Lock()
	if l.held.covers(e) {
		if l.held.get(e.Fingerprint) != nil {
			l.held.announcedAt[e.Fingerprint] = l.now()
		}
		l.mu.Unlock()
		return
	}
	c := changes{served: l.servedSince(e)}
	if len(c.served) > 0 {
		c.here, c.released = true, append(c.released, e.Fingerprint)
		l.logReleased(e.Fingerprint, "parts of it were served here since its first crash")
		e.Parts = slices.DeleteFunc(slices.Clone(e.Parts), func(p Fingerprint) bool { return slices.Contains(c.served, p) })
		e.Fingerprint = ofTogether(e.Parts)
	}
	if len(c.served) == 0 || len(e.Parts) > 0 && !l.held.covers(e) {
		c.released = append(c.released, l.hold(e, o)...)
		c.held = append(c.held, e)
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}
