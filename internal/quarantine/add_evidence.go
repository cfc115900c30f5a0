package quarantine

import "github.com/springrail/springrail/internal/id"

// addEvidence counts a crash against a request that was in flight there. It returns true if the organisation's use is cleared
// instead, because it was served here recently. The caller holds the lock.
func (l *SuspectTracker) addEvidence(q Identity, e *recordedCrash) (cleared bool) {
	s := l.suspects[q.Fingerprint]
	if s == nil {
		s = newSuspect(false)
		l.suspects[q.Fingerprint] = s
	}
	_, known := s.crashes[e]
	s.crashes[e] = struct{}{}
	if len(s.crashes) < minCrashes-1 {
		return false
	}
	if l.served.has(q.use()) {
		l.clearUse(q.Fingerprint, q.use())
		return true
	}
	if s.requestProven(q.Fingerprint) {
		l.scheduleSettle()
	}
	if known {
		return false
	}
	l.vars.Add("suspected", 1)
	l.log.Info().Stringer("fingerprint", q.Fingerprint).Str("organisation", string(q.Organisation)).Int("ends", len(s.crashes)).
		Str("instance", string(e.incarnation.Instance)).Msg("upstream processes ended with the same request in flight")
	return false
}

// addPartEvidence counts a crash against a part of prompts. It returns the uses of it of which other gateways should know that
// they are unlikely to be the cause. The caller holds the lock.
func (l *SuspectTracker) addPartEvidence(f Fingerprint, o id.Organisation, e *recordedCrash, here bool) (unlikely []Fingerprint) {
	s := l.suspects[f]
	if s == nil {
		s = newSuspect(true)
		l.suspects[f] = s
	}
	_, known := s.crashes[e]
	s.crashes[e] = struct{}{}
	s.crashedHere = s.crashedHere || here
	l.undecided = true
	if len(s.crashes) >= minPartCrashes || len(s.crashes) >= minCrashesBeside && l.held.size() > 0 {
		l.scheduleSettle()
	}
	if len(s.crashes) >= minCrashes-1 {
		unlikely = l.shareUnlikely(f, s)
	}
	if known || len(s.crashes) < minCrashes-1 || !e.present[f].beginning() {
		return unlikely
	}
	l.vars.Add("suspected_parts", 1)
	l.log.Info().Stringer("fingerprint", f).Str("organisation", string(o)).Int("ends", len(s.crashes)).
		Str("instance", string(e.incarnation.Instance)).Msg("upstream processes ended with the same part of prompts in flight")
	return unlikely
}

// shareUnlikely returns the uses of a part that are unlikely to be the cause, and of which other gateways do not know; the caller
// holds the lock.
func (l *SuspectTracker) shareUnlikely(f Fingerprint, s *suspect) (uses []Fingerprint) {
	for e := range s.crashes {
		for _, u := range e.present[f].uses {
			if _, shared := s.sharedUnlikely[u.fingerprint]; !shared && !u.cleared && l.isUnlikelyUse(u.fingerprint) {
				s.sharedUnlikely[u.fingerprint] = struct{}{}
				uses = append(uses, u.fingerprint)
			}
		}
	}
	return uses
}
