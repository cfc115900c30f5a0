package quarantine

import "time"

// Written notes that an upstream has written an answer on the given parts for some time without a crash. It tells other gateways
// of those that are suspected.
func (l *SuspectTracker) Written(parts ...Fingerprint) {
	var c changes
	l.mu.Lock()
	for _, f := range parts {
		l.written.add(f)
		s := l.suspects[f]
		switch {
		case s == nil:
		case len(s.crashes) >= minCrashes-1 && l.isUnlikely(f) && !s.sharedUnlikely:
			s.sharedUnlikely = true
			c.unlikely = append(c.unlikely, f)
		case s.part && !s.sharedUnlikely && !s.sharedWritten:
			s.sharedWritten = true
			c.written = append(c.written, f)
		}
	}
	l.mu.Unlock()
	l.notify(c)
}

// ApplyWritten notes that an upstream has written an answer on a part that is suspected, at another gateway.
func (l *SuspectTracker) ApplyWritten(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteWritten(f, l.now())
}

// noteWritten notes that an upstream had written an answer on a part at another gateway; the caller holds the lock.
func (l *SuspectTracker) noteWritten(f Fingerprint, at time.Time) {
	l.written.addAt(f, at)
	if s := l.suspects[f]; s != nil && l.written.has(f) {
		s.sharedUnlikely = true
	}
}

// isUnlikely reports whether a part is unlikely to crash upstreams, as answers on it were recently written for some time, or
// complete several times. The caller holds the lock.
func (l *SuspectTracker) isUnlikely(f Fingerprint) bool {
	return l.written.has(f) || l.served.count(f) >= minUsualAnswers
}
