package quarantine

import (
	"bytes"
	"cmp"
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
			l.exemptAnswered(h.Fingerprint)
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
		counted, explained := l.countedCrashes(f, s), l.explainedEvents(f)
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
			c.held.Fingerprint, c.crashes, c.unlikely = ofTogether(c.held.Parts), l.countedCrashes(f, s), l.isUnlikely(f)
		}
		c.held.Uses = l.suspectedUses(&c.held, c.crashes)
		if len(c.held.Uses) == 0 {
			continue
		}
		c.held.Organisation = c.held.Uses[0].Organisation
		if h := l.held.get(c.held.Fingerprint); !listed[c.held.Fingerprint] && (h == nil || slices.ContainsFunc(c.held.Uses, func(u HeldUse) bool { return !h.bindsUse(u) })) {
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
		counted := l.countedCrashes(f, s)
		if len(counted) > len(c.crashes) && !slices.ContainsFunc(c.crashes, func(e *recordedCrash) bool { return !slices.Contains(counted, e) }) {
			return true
		}
	}
	return false
}

func (l *SuspectTracker) heldRequestOf(f Fingerprint, s *suspect) HeldRequest {
	e := HeldRequest{Fingerprint: f, HeldBy: l.vm, SinceUnixMs: l.now().UnixMilli()}
	for n := range s.crashes {
		if !s.part || l.countsAgainst(n, f) {
			e.Incarnations = append(e.Incarnations, n.incarnation)
		}
	}
	slices.SortFunc(e.Incarnations, func(a, b Incarnation) int { return slices.Compare([]byte(a.Instance), []byte(b.Instance)) })
	return e
}

// suspectedUses lists the uses for which something is to be held: those that were present at its crashes and have not been
// answered since, and of parts those on which no answer was recently written if there are any. The caller holds the lock.
func (l *SuspectTracker) suspectedUses(h *HeldRequest, crashes []*recordedCrash) (uses []HeldUse) {
	var unlikely []HeldUse
	for _, e := range crashes {
		for _, u := range e.usesOf(h) {
			list := &uses
			if len(h.Parts) > 0 && slices.ContainsFunc(u.Fingerprints, l.isUnlikelyUse) {
				list = &unlikely
			}
			if !slices.ContainsFunc(*list, func(o HeldUse) bool { return slices.Equal(o.Fingerprints, u.Fingerprints) && o.Key == u.Key }) {
				*list = append(*list, u)
			}
		}
	}
	if len(uses) == 0 {
		uses = unlikely
	}
	slices.SortFunc(uses, func(a, b HeldUse) int {
		return cmp.Or(bytes.Compare(a.Fingerprints[0][:], b.Fingerprints[0][:]), bytes.Compare(a.Key[:], b.Key[:]))
	})
	return uses[:min(len(uses), maxHeldUses)]
}

// usesOf lists the uses of a request, or of parts together, that were present at a crash and have not been answered since.
func (e *recordedCrash) usesOf(h *HeldRequest) (uses []HeldUse) {
	if len(h.Parts) == 0 {
		for _, u := range e.present[h.Fingerprint].uses {
			if !u.cleared {
				uses = append(uses, u.heldUse())
			}
		}
		return uses
	}
	for _, r := range e.unwritten {
		u, ok := r.heldUseOf(h)
		if ok && !slices.ContainsFunc(h.Parts, func(p Fingerprint) bool { return !e.suspectedIn(r, p) }) {
			uses = append(uses, u)
		}
	}
	return uses
}

// hold adds what is held and marks the crashes that it explains. It returns what is no longer held because this explains
// more. The caller holds the lock.
func (l *SuspectTracker) hold(e HeldRequest, o Origin) (released []Fingerprint) {
	if h := l.held.get(e.Fingerprint); h != nil {
		e.Incarnations = h.Incarnations
		for _, u := range h.Uses {
			e.addUse(u)
		}
		for _, f := range h.Exempt {
			if !e.listsAny(f) {
				e.exempt(f)
			}
		}
	}
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
	l.changeCount++
	for _, n := range l.crashes {
		if n.explainedBy(&e) {
			l.explain(n, &e)
		}
	}
	delete(l.suspects, e.Fingerprint)
	l.vars.Add("held_in_all", 1)
	c := l.log.Warn().Stringer("fingerprint", e.Fingerprint).Str("organisation", string(e.Organisation)).Str("by", string(e.HeldBy)).
		Stringer("origin", o).Int("parts", len(e.Parts)).Int("uses", len(e.Uses)).Bool("for_all", e.forAll())
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
	if h := l.held.get(e.Fingerprint); h != nil {
		c := l.mergeHeld(h, e)
		l.mu.Unlock()
		l.notify(c)
		return
	}
	if l.held.covers(e) {
		l.mu.Unlock()
		return
	}
	c := changes{}
	name := e.Fingerprint
	served, held := l.servedSince(&e)
	c.served = served
	if len(served) > 0 {
		c.here = true
		if !held || e.Fingerprint != name {
			c.released = append(c.released, name)
			l.logReleased(name, "parts of it were served here since its first crash")
		}
	}
	if held && (len(served) == 0 || !l.held.covers(e)) {
		c.released = append(c.released, l.hold(e, o)...)
		c.held = append(c.held, e)
		l.exemptAnswered(e.Fingerprint)
	}
	l.updateWatching()
	l.mu.Unlock()
	l.notify(c)
}

// mergeHeld adds the uses of another copy of what is held; the caller holds the lock.
func (l *SuspectTracker) mergeHeld(h *HeldRequest, e HeldRequest) (c changes) {
	l.held.announcedAt[h.Fingerprint] = l.now()
	for _, use := range e.Exempt {
		delete(l.unshared[h.Fingerprint], use)
	}
	if !h.merge(e) {
		return c
	}
	l.explainCrashes(h)
	c.changed = append(c.changed, *h)
	return c
}

// exemptAnswered exempts the organisations whose use of a held part was answered here recently; the caller holds the lock.
func (l *SuspectTracker) exemptAnswered(f Fingerprint) {
	h := l.held.get(f)
	if h == nil || len(h.Parts) != 1 || len(h.Uses) == 0 {
		return
	}
	for _, use := range l.answeredUses(h.Parts[0], h) {
		if h.exempt(use) {
			l.shareExempt(h, use)
		}
	}
}
