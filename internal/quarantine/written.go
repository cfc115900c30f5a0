package quarantine

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// minVouching is the number of organisations whose answers make a part unlikely to crash upstreams for any.
const minVouching = 2

// Written notes that an upstream has written an answer on the parts of a request for some time without a crash. It tells other
// gateways of those that are suspected.
func (l *SuspectTracker) Written(q Identity) {
	var c changes
	c.here = true
	l.mu.Lock()
	l.changeCount++
	q.eachPart(func(f, use Fingerprint) {
		l.written.addOf(f, use, q.Organisation)
		l.exempt(f, use)
		s := l.suspects[f]
		if s == nil || !s.suspects(f, use) {
			return
		}
		if _, shared := s.sharedUnlikely[use]; shared {
			return
		}
		_, noted := s.sharedWritten[use]
		switch {
		case len(s.crashes) >= minCrashes-1:
			s.sharedUnlikely[use] = struct{}{}
			c.unlikely = append(c.unlikely, use)
		case s.part && !noted:
			s.sharedWritten[use] = struct{}{}
			c.written = append(c.written, use)
		}
	})
	l.mu.Unlock()
	l.notify(c)
}

// ApplyWritten notes that an upstream has written an answer on an organisation's use of a part that is suspected, at another
// gateway.
func (l *SuspectTracker) ApplyWritten(use Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteWritten(use, l.now())
}

// noteWritten notes that an upstream had written an answer on an organisation's use of a part at another gateway; the caller
// holds the lock.
func (l *SuspectTracker) noteWritten(use Fingerprint, at time.Time) {
	l.changeCount++
	l.written.addAt(use, at)
	if s := l.suspects[l.contents.contentOf(use)]; s != nil && l.written.has(use) {
		s.sharedUnlikely[use] = struct{}{}
	}
}

// isUnlikelyUse reports whether an organisation's use of a part is unlikely to crash upstreams, as answers on it were recently
// written for some time, or complete several times. The caller holds the lock.
func (l *SuspectTracker) isUnlikelyUse(use Fingerprint) bool {
	return l.written.has(use) || l.served.count(use) >= minUsualAnswers
}

// isUnlikely reports whether a part is unlikely to crash upstreams: all uses of it that were present at crashes are, or those
// of two organisations. The answers of one alone prove nothing for others. The caller holds the lock.
func (l *SuspectTracker) isUnlikely(f Fingerprint) bool {
	s := l.suspects[f]
	if s == nil {
		return l.isUnlikelyUse(f)
	}
	l.updateUnlikely(f, s)
	return s.unlikely
}

// updateUnlikely updates what the answers on a part say of it; the caller holds the lock.
func (l *SuspectTracker) updateUnlikely(f Fingerprint, s *suspect) {
	if s.unlikelyAt == l.changeCount {
		return
	}
	s.unlikelyAt, s.allUnlikely = l.changeCount, true
	organisations := map[id.Organisation]struct{}{}
	for _, r := range []*recentlyServed{l.served, l.written} {
		for use, o := range r.uses[f] {
			if l.isUnlikelyUse(use) {
				organisations[o] = struct{}{}
			}
		}
	}
	for e := range s.crashes {
		for _, u := range e.present[f].uses {
			if l.isUnlikelyUse(u.fingerprint) {
				organisations[u.organisation] = struct{}{}
			} else if !u.cleared {
				s.allUnlikely = false
			}
		}
	}
	delete(organisations, "")
	s.unlikely = s.allUnlikely || len(organisations) >= minVouching
}

// countsAgainst reports whether a crash counts against a part: by the uses that are not unlikely to be the cause, if the part was
// present at any crash with one of these.
func (l *SuspectTracker) countsAgainst(e *recordedCrash, f Fingerprint) bool {
	return e.counts(f, l.counted(f))
}

// counted returns whether a use of a part counts at crashes; the caller holds the lock.
func (l *SuspectTracker) counted(f Fingerprint) func(u *presentUse) bool {
	s := l.suspects[f]
	if s == nil {
		return func(*presentUse) bool { return true }
	}
	l.updateUnlikely(f, s)
	all := s.allUnlikely
	return func(u *presentUse) bool { return all || !l.isUnlikelyUse(u.fingerprint) }
}

// isAnswered reports whether this gateway has recently forwarded a complete answer on one of the uses of a part that count at
// crashes. The caller holds the lock.
func (l *SuspectTracker) isAnswered(f Fingerprint) bool {
	s := l.suspects[f]
	if s == nil {
		return l.served.has(f)
	}
	counted := l.counted(f)
	for e := range s.crashes {
		if slices.ContainsFunc(e.present[f].uses, func(u *presentUse) bool {
			return !u.cleared && l.served.has(u.fingerprint) && counted(u)
		}) {
			return true
		}
	}
	return false
}

// answeredUses lists the uses of a part on which answers were recently written, or complete, here, for which it is not held.
func (l *SuspectTracker) answeredUses(f Fingerprint, h *HeldRequest) (uses []Fingerprint) {
	for _, r := range []*recentlyServed{l.served, l.written} {
		for use := range r.uses[f] {
			if r.has(use) && !h.listsAny(use) && !slices.Contains(uses, use) {
				uses = append(uses, use)
			}
		}
	}
	return uses
}
