package quarantine

import (
	"slices"
	"time"
)

const (
	// maxCrashes limits the crashes that are remembered, and maxPresent the requests and parts of prompts of one crash. An
	// upstream has at most 48 requests on the planned machines, and a prompt usually two to five parts, so 1,024 crashes
	// take 3 MB with 10 requests each, and at most 20 MB.
	maxCrashes = 1024
	maxPresent = 256
	// sameCrashWindow is how close in time two gateways' reports of a crash must be to count as one if only one of them
	// knows the incarnation: an upstream takes seconds to restart.
	sameCrashWindow = 2 * time.Second
)

// recordedCrash is a crash of an upstream process, with all requests that were in flight there and the parts of their
// prompts.
type recordedCrash struct {
	incarnation Incarnation
	recordedAt  time.Time
	// presumedAt is when a crash became known that is only presumed; zero if it is proved.
	presumedAt time.Time
	present    map[Fingerprint]*presence
	// unwritten are the requests whose answers had not begun, or only just.
	unwritten []unwrittenRequest
	// explained is true once a request or a part that was present is held: the crash then is no evidence against other
	// requests, nor against parts other than those in stillSuspected, which are those held together or of the held request.
	explained      bool
	stillSuspected []Fingerprint
	// causes caches what findCauses has found, until the evidence changes.
	causes *possibleCauses
}

// possibleCauses are the requests that may have caused a crash.
type possibleCauses struct {
	// beginning is true if the upstream was beginning an answer on a part that may be the cause; the others then don't count.
	beginning bool
	requests  []unwrittenRequest
}

// unwrittenRequest is a request that was in flight at a crash and may have been the cause, by itself or by a part of its
// prompt.
type unwrittenRequest struct {
	Identity
	beginning bool
}

// add notes that an organisation's use of a request or part was present. It returns nil if too much is.
func (e *recordedCrash) add(f, use Fingerprint, part bool, r *InFlightRequest) *presentUse {
	p := e.present[f]
	if p == nil {
		if len(e.present) >= maxPresent {
			return nil
		}
		p = &presence{part: part}
		e.present[f] = p
	}
	return p.add(use, r)
}

// addRequests notes that requests were in flight: first the requests, then the parts of those that were beginning and of
// the others, of which those beyond maxPresent are not kept.
func (e *recordedCrash) addRequests(l []InFlightRequest) {
	e.causes = nil
	for _, p := range l {
		q := p.identity()
		if u := e.add(p.Fingerprint, q.use(), false, &p); u != nil {
			u.addAttempt(p.Attempt)
			u.alone = u.alone || p.Alone
		}
	}
	for _, beginning := range []bool{true, false} {
		for _, p := range l {
			if (p.Progress == Beginning) == beginning {
				e.addUnwritten(p)
			}
		}
	}
}

// isEvidence reports whether the crash is evidence against a request or part that was present.
func (e *recordedCrash) isEvidence(f Fingerprint) bool {
	p := e.present[f]
	if p == nil || !p.suspected() {
		return false
	}
	return !e.explained || p.part && slices.Contains(e.stillSuspected, f)
}

// isEvidenceOf reports whether the crash is evidence against a request or part by an organisation's use of it.
func (e *recordedCrash) isEvidenceOf(f, use Fingerprint) bool {
	return e.isEvidence(f) && e.present[f].suspects(use)
}

// counts reports whether the crash counts against a part by the uses for which a function is true: the upstream was beginning an
// answer on one of them, or on no other part that may be the cause.
func (e *recordedCrash) counts(f Fingerprint, counted func(u *presentUse) bool) bool {
	return slices.ContainsFunc(e.present[f].uses, func(u *presentUse) bool {
		return !u.cleared && (u.beginning || !e.findCauses().beginning) && counted(u)
	})
}

// addUnwritten notes the parts of a request.
func (e *recordedCrash) addUnwritten(p InFlightRequest) {
	q, beginning := p.identity(), p.Progress == Beginning
	q.eachPart(func(f, use Fingerprint) {
		if u := e.add(f, use, true, &p); u != nil {
			u.beginning = u.beginning || beginning
		}
	})
	known := slices.IndexFunc(e.unwritten, func(o unwrittenRequest) bool { return o.Fingerprint == p.Fingerprint && o.use() == q.use() })
	switch {
	case p.Progress == Writing:
	case known >= 0:
		e.unwritten[known].beginning = e.unwritten[known].beginning || beginning
	case len(e.unwritten) < maxPresent:
		e.unwritten = append(e.unwritten, unwrittenRequest{Identity: q, beginning: beginning})
	}
}

// mayBeCause reports whether a request may have caused the crash, by itself if its prompt has no shared parts.
func (e *recordedCrash) mayBeCause(r unwrittenRequest) bool {
	if len(r.Parts) == 0 {
		return e.isEvidenceOf(r.Fingerprint, r.use())
	}
	return slices.ContainsFunc(r.Parts, func(f Fingerprint) bool { return e.suspectedIn(r, f) })
}

// suspectedIn reports whether a request has a part, and the crash is evidence against the part by it.
func (e *recordedCrash) suspectedIn(r unwrittenRequest, f Fingerprint) bool {
	n := slices.Index(r.Parts, f)
	return n >= 0 && e.isEvidenceOf(f, r.partUses()[n])
}

// findCauses lists the requests that may have caused the crash.
func (e *recordedCrash) findCauses() *possibleCauses {
	if e.causes != nil {
		return e.causes
	}
	c := &possibleCauses{}
	begun := false
	for _, r := range e.unwritten {
		if r.beginning && e.mayBeCause(r) {
			begun = true
			c.beginning = c.beginning || len(r.Parts) > 0
		}
	}
	for _, r := range e.unwritten {
		if (r.beginning || !begun) && e.mayBeCause(r) {
			c.requests = append(c.requests, r)
		}
	}
	e.causes = c
	return c
}

// sharesRequest reports whether the same request with a part was present at both crashes.
func (e *recordedCrash) sharesRequest(o *recordedCrash, f Fingerprint) bool {
	return slices.ContainsFunc(e.unwritten, func(r unwrittenRequest) bool {
		return slices.Contains(r.Parts, f) && slices.ContainsFunc(o.unwritten, func(s unwrittenRequest) bool { return s.Fingerprint == r.Fingerprint })
	})
}

// explainedBy reports whether a held request or held parts are a cause of the crash, as far as known.
func (e *recordedCrash) explainedBy(h *HeldRequest) bool {
	if len(h.Parts) == 0 {
		p := e.present[h.Fingerprint]
		return p != nil && slices.ContainsFunc(p.uses, func(u *presentUse) bool { return h.bindsUse(u.heldUse()) })
	}
	for n, f := range h.Parts {
		bound := func(u *presentUse) bool { return h.bindsPart(n, u) }
		if e.present[f] == nil || !e.counts(f, bound) {
			return false
		}
	}
	return true
}

// findCrash returns the crash of an incarnation at about a time if it is known; the caller holds the lock.
func (l *SuspectTracker) findCrash(s Incarnation, at time.Time) *recordedCrash {
	for _, e := range l.byInstance[s.Instance] {
		sameBirth := e.incarnation.Born == s.Born
		unknownBirth := (e.incarnation.Born == 0 || s.Born == 0) && at.Sub(e.recordedAt).Abs() < sameCrashWindow
		if sameBirth || unknownBirth {
			return e
		}
	}
	return nil
}

// addCrash adds a new crash, and evicts the oldest one if there are too many. It returns nil if the new one would be the oldest.
// The caller holds the lock.
func (l *SuspectTracker) addCrash(s Incarnation, at time.Time) *recordedCrash {
	i := len(l.crashes)
	for i > 0 && l.crashes[i-1].recordedAt.After(at) {
		i--
	}
	if len(l.crashes) >= maxCrashes {
		if i == 0 {
			return nil
		}
		l.forgetCrash(l.crashes[0])
		i--
	}
	e := &recordedCrash{
		incarnation: s, recordedAt: at, present: map[Fingerprint]*presence{},
	}
	l.crashes = slices.Insert(l.crashes, i, e)
	l.byInstance[s.Instance] = append(l.byInstance[s.Instance], e)
	l.vars.Add("ends", 1)
	l.log.Info().Str("instance", string(s.Instance)).Str("upstream", s.Address).Uint64("born", uint64(s.Born)).
		Int64("age_ms", l.now().Sub(at).Milliseconds()).Msg("an upstream process ended with requests in flight")
	return e
}

// forgetCrash removes a crash; the caller holds the lock.
func (l *SuspectTracker) forgetCrash(e *recordedCrash) {
	for f := range e.present {
		l.removeEvidence(f, e)
	}
	l.contents.remove(e)
	l.crashes = slices.DeleteFunc(l.crashes, func(o *recordedCrash) bool { return o == e })
	rest := slices.DeleteFunc(l.byInstance[e.incarnation.Instance], func(o *recordedCrash) bool { return o == e })
	if len(rest) == 0 {
		delete(l.byInstance, e.incarnation.Instance)
		return
	}
	l.byInstance[e.incarnation.Instance] = rest
}

// explain marks a crash as caused by what is held, so that it is no evidence against others; the caller holds the lock.
func (l *SuspectTracker) explain(e *recordedCrash, by *HeldRequest) {
	parts := by.Parts
	if len(parts) == 1 && len(by.Uses) > 0 {
		parts = nil
	}
	for _, r := range e.unwritten {
		if len(by.Parts) == 0 && r.Fingerprint == by.Fingerprint {
			parts = r.Parts
		}
	}
	e.stillSuspected = slices.DeleteFunc(slices.Clone(parts), func(p Fingerprint) bool {
		return e.explained && !slices.Contains(e.stillSuspected, p)
	})
	e.explained, e.causes = true, nil
	for f := range e.present {
		if !e.isEvidence(f) {
			l.removeEvidence(f, e)
		}
	}
}

// removeEvidence removes a crash from the evidence against a suspect; the caller holds the lock.
func (l *SuspectTracker) removeEvidence(f Fingerprint, e *recordedCrash) {
	s := l.suspects[f]
	if s == nil {
		return
	}
	delete(s.crashes, e)
	if len(s.crashes) == 0 {
		delete(l.suspects, f)
	}
}
