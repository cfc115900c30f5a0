package quarantine

import (
	"bytes"
	"maps"
	"slices"
	"time"
)

const (
	// minRequests is the number of different requests with a part that must have been present at crashes before the part is
	// held. While there is only one, the request as a whole may be the cause.
	minRequests = 2
	// minPartCrashes is the number of crashes that must count against a part before it is held. Many more requests share a
	// part than repeat a request, and a part can't be tried alone.
	minPartCrashes = 4
	// minCrashesBeside is the number of crashes that must count against a part, as the only likely cause, if other crashes at which
	// it was present are explained by what is held.
	minCrashesBeside = 2
	// minUnbegunCrashes is the number of crashes that must count against a part of which no two crashes happened as an answer
	// began.
	minUnbegunCrashes = 5
	// minCertainCrashes is the number of crashes that must count against a part on which this gateway has recently forwarded
	// complete answers, and that suffice, whatever their weight, against one on which it has not.
	minCertainCrashes = 6
	// minSpreadEvents is the number of independent events that suffice if they consist of minCertainCrashes crashes, at which as
	// many different requests with a part were beginning on which no answer was recently written.
	minSpreadEvents = 3
	// sameCauseWindow is the time within which several crashes count as one against a part: upstreams that end together
	// are ended by something else than the requests that they have in common.
	sameCauseWindow = 50 * time.Millisecond
	// minWeight is the least weight of the evidence against a part: each event has the share of the requests with the part
	// among all that may be the cause. Upstreams that end together with many requests say little about each of these.
	minWeight = 0.6
	// unrelatedPerCrash is the number of unrelated events for which one more crash is needed.
	unrelatedPerCrash = 3
	// maxCounted limits the crashes, newest first, that are weighed.
	maxCounted = 32
)

// countedCrashes lists the crashes that count against a part, oldest first; the caller holds the lock.
func (l *SuspectTracker) countedCrashes(f Fingerprint, s *suspect) []*recordedCrash {
	crashes := slices.Collect(maps.Keys(s.crashes))
	slices.SortFunc(crashes, func(a, b *recordedCrash) int {
		if c := a.recordedAt.Compare(b.recordedAt); c != 0 {
			return c
		}
		return bytes.Compare([]byte(a.incarnation.Instance), []byte(b.incarnation.Instance))
	})
	crashes = crashes[max(0, len(crashes)-maxCounted):]
	return slices.DeleteFunc(crashes, func(e *recordedCrash) bool { return !l.countsAgainst(e, f) })
}

// hasAll reports whether all of the crashes are evidence against a suspect.
func (s *suspect) hasAll(crashes []*recordedCrash) bool {
	return !slices.ContainsFunc(crashes, func(e *recordedCrash) bool {
		_, ok := s.crashes[e]
		return !ok
	})
}

// independentEvents lists the times of crashes, oldest first, that can't have a common external cause. Where the same request
// with the part was present at two of them it was sent to the second upstream after the first had ended.
func independentEvents(crashes []*recordedCrash, f Fingerprint) (events []time.Time) {
	var last *recordedCrash
	for _, e := range crashes {
		if last == nil || e.recordedAt.Sub(events[len(events)-1]) >= sameCauseWindow || last.sharesRequest(e, f) {
			events = append(events, e.recordedAt)
		}
		last = e
	}
	return events
}

// crashesBetween lists all crashes from one time to another; the caller holds the lock.
func (l *SuspectTracker) crashesBetween(from, to time.Time) []*recordedCrash {
	compare := func(e *recordedCrash, t time.Time) int { return e.recordedAt.Compare(t) }
	i, _ := slices.BinarySearchFunc(l.crashes, from, compare)
	j, _ := slices.BinarySearchFunc(l.crashes, to, compare)
	return slices.Clone(l.crashes[i:j])
}

// partProven reports whether the evidence suffices to hold requests because of a part; the caller holds the lock.
func (l *SuspectTracker) partProven(f Fingerprint, s *suspect) bool {
	if len(s.crashes) < minCrashesBeside || !s.crashedHere {
		return false
	}
	crashes := l.countedCrashes(f, s)
	if l.isUnlikely(f) {
		crashes = slices.DeleteFunc(crashes, func(e *recordedCrash) bool { return l.hasLikelierCause(e) })
	}
	if len(crashes) == 0 {
		return false
	}
	events := independentEvents(crashes, f)
	needed := minPartCrashes
	if countBegun(crashes, f) < minCrashes-1 {
		needed = minUnbegunCrashes
	}
	answered := l.isAnswered(f) || l.isUnlikely(f)
	certain := len(events) >= minCertainCrashes || l.onlyLikelyCause(f, crashes) || !answered && len(events) >= minSpreadEvents &&
		countBegun(crashes, f) >= minCertainCrashes && len(begunRequests(crashes, f)) >= minCertainCrashes
	if len(events) < minPartCrashes && !certain {
		return false
	}
	if !certain && (len(events) < needed || len(events) < needed+l.unrelatedEvents(f, crashes)/unrelatedPerCrash) {
		return false
	}
	weight, requests := l.weigh(f, events)
	if len(requests) < minRequests || weight < minWeight && (!certain || answered) || answered && !certain {
		return false
	}
	return !oneRequestExplains(crashes)
}

// onlyLikelyCause reports whether a part was present at enough independent crashes at which answers on all other parts that may
// be the cause had recently been written. Two at once suffice if something else that is held explains others. The caller holds
// the lock.
func (l *SuspectTracker) onlyLikelyCause(f Fingerprint, crashes []*recordedCrash) bool {
	if l.isUnlikely(f) || l.isAnswered(f) {
		return false
	}
	alone := slices.DeleteFunc(slices.Clone(crashes), func(e *recordedCrash) bool {
		return slices.ContainsFunc(e.findCauses().requests, func(r unwrittenRequest) bool {
			return l.isRival(r.Fingerprint, e) || slices.ContainsFunc(r.Parts, func(o Fingerprint) bool { return o != f && l.isRival(o, e) })
		})
	})
	n := len(independentEvents(alone, f))
	begun := countBegun(alone, f)
	return begun >= minCrashes-1 && n >= minPartCrashes || begun > 0 && n+l.explainedEvents(f) >= minUnbegunCrashes
}

// isRival reports whether a crash is evidence against a request or part that was present at others as well, and that is not
// unlikely to be the cause. The caller holds the lock.
func (l *SuspectTracker) isRival(f Fingerprint, e *recordedCrash) bool {
	s := l.suspects[f]
	return s != nil && len(s.crashes) >= minCrashesBeside && e.isEvidence(f) && !l.isUnlikely(f)
}

// explainedEvents counts the independent crashes at which an upstream was beginning an answer on a part, and that something else
// which is held explains. The caller holds the lock.
func (l *SuspectTracker) explainedEvents(f Fingerprint) int {
	var crashes []*recordedCrash
	for _, e := range l.crashes {
		if p := e.present[f]; p != nil && p.beginning() && e.explained {
			crashes = append(crashes, e)
		}
	}
	return len(independentEvents(crashes, f))
}

// hasLikelierCause reports whether a part that is not unlikely to be the cause, and was present at several crashes, was present
// at a crash. The caller holds the lock.
func (l *SuspectTracker) hasLikelierCause(e *recordedCrash) bool {
	for f, p := range e.present {
		if s := l.suspects[f]; p.part && s != nil && len(s.crashes) >= minCrashes && e.isEvidence(f) && l.countsAgainst(e, f) && !l.isUnlikely(f) {
			return true
		}
	}
	return false
}

// oneRequestExplains reports whether one request that is suspected by itself was present at all of the crashes, or all but
// one, and at two at least. Until it is held or cleared it is the likelier cause.
func oneRequestExplains(crashes []*recordedCrash) bool {
	present := map[Fingerprint]int{}
	for _, e := range crashes {
		for f, p := range e.present {
			if !p.part && e.isEvidence(f) {
				present[f]++
			}
		}
	}
	for _, n := range present {
		if n >= max(minCrashes-1, len(crashes)-1) {
			return true
		}
	}
	return false
}

// unrelatedEvents counts the events, between the first and the last of the crashes against a part, at which it was not
// present and that nothing explains. The more often upstreams crash anyway, the likelier is it that a harmless part was
// present at a few crashes. The caller holds the lock.
func (l *SuspectTracker) unrelatedEvents(f Fingerprint, crashes []*recordedCrash) int {
	first, last := crashes[0], crashes[len(crashes)-1]
	return len(independentEvents(slices.DeleteFunc(l.crashesBetween(first.recordedAt, last.recordedAt), func(e *recordedCrash) bool {
		return e.explained || e.present[f] != nil
	}), f))
}

// weigh returns the weight of the evidence against a part, and the requests with it that were present; the caller holds the
// lock.
func (l *SuspectTracker) weigh(f Fingerprint, events []time.Time) (weight float64, requests map[Fingerprint]struct{}) {
	requests = map[Fingerprint]struct{}{}
	for _, at := range events {
		with, all := 0, 0
		for _, e := range l.crashesBetween(at.Add(-sameCauseWindow), at.Add(sameCauseWindow)) {
			if e.explained && !slices.Contains(e.stillSuspected, f) {
				continue
			}
			for _, r := range e.findCauses().requests {
				all++
				if e.suspectedIn(r, f) {
					with++
					requests[r.Fingerprint] = struct{}{}
				}
			}
		}
		weight += float64(with) / float64(max(all, 1))
	}
	return weight, requests
}

// countBegun counts the crashes at which the upstream was beginning an answer on a part.
func countBegun(crashes []*recordedCrash, f Fingerprint) (n int) {
	for _, e := range crashes {
		if e.present[f].beginning() {
			n++
		}
	}
	return n
}

// begunRequests returns the requests with a part on which upstreams were beginning answers at crashes.
func begunRequests(crashes []*recordedCrash, f Fingerprint) map[Fingerprint]struct{} {
	requests := map[Fingerprint]struct{}{}
	for _, e := range crashes {
		for _, r := range e.unwritten {
			if r.beginning && e.suspectedIn(r, f) {
				requests[r.Fingerprint] = struct{}{}
			}
		}
	}
	return requests
}

// sameEvidence lists the parts, in order, against which exactly the same crashes count as against a part, and that were in the
// same requests there, including itself. These parts can't be distinguished; the caller holds the lock.
func (l *SuspectTracker) sameEvidence(f Fingerprint) (parts []Fingerprint) {
	crashes := l.countedCrashes(f, l.suspects[f])
	for o, p := range crashes[0].present {
		if s := l.suspects[o]; p.part && s != nil && s.hasAll(crashes) && slices.Equal(crashes, l.countedCrashes(o, s)) && inSameRequests(crashes, f, o) {
			parts = append(parts, o)
		}
	}
	slices.SortFunc(parts, func(a, b Fingerprint) int { return bytes.Compare(a[:], b[:]) })
	return parts
}

// inSameRequests reports whether a request with both parts was present at each crash.
func inSameRequests(crashes []*recordedCrash, a, b Fingerprint) bool {
	return !slices.ContainsFunc(crashes, func(e *recordedCrash) bool {
		return !slices.ContainsFunc(e.unwritten, func(r unwrittenRequest) bool { return e.suspectedIn(r, a) && e.suspectedIn(r, b) })
	})
}

// checkParts returns the verdict on a request by the parts of its prompt; the caller holds the lock.
func (l *SuspectTracker) checkParts(parts []Fingerprint) Verdict {
	v := Pass
	for _, f := range parts {
		s := l.suspects[f]
		switch {
		case s == nil || !s.part || len(s.crashes) < minCrashes-1 || len(l.countedCrashes(f, s)) < minCrashes-1:
			continue
		case l.undecided && l.partProven(f, s) && containsAll(parts, l.sameEvidence(f)):
			l.scheduleSettle()
			return Waits
		default:
			v = Once
		}
	}
	return v
}

// containsAll reports whether a request with the given parts has all the others.
func containsAll(parts, others []Fingerprint) bool {
	return !slices.ContainsFunc(others, func(p Fingerprint) bool { return !slices.Contains(parts, p) })
}
