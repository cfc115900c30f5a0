package quarantine

// changes are what callbacks have to be called for once the lock is released.
type changes struct {
	// unlikely are suspected parts on which answers were recently written here.
	unlikely []Fingerprint
	held     []HeldRequest
	// changed are held for other uses than before.
	changed []HeldRequest
	served  []Fingerprint
	// answered were present at a crash and have been served here since, and written are parts on which answers were written.
	answered, written []Fingerprint
	// released are no longer held, as this gateway found out if here is true.
	released []Fingerprint
	here     bool
}

// servedWhere returns where something was served.
func (c *changes) servedWhere() string {
	if c.here {
		return "it was served here"
	}
	return "it was served at another gateway"
}

// notify calls the callbacks; the caller does not hold the lock.
func (l *SuspectTracker) notify(c changes) {
	for _, f := range c.released {
		l.OnReleased(f, c.here)
	}
	if len(c.unlikely) > 0 {
		l.OnUnlikely(c.unlikely)
	}
	if len(c.answered)+len(c.written) > 0 {
		l.OnAnswered(c.answered, c.written)
	}
	for _, f := range c.served {
		l.OnServed(f)
	}
	for _, h := range c.held {
		for _, f := range l.OnHeld {
			f(h)
		}
	}
	for _, h := range c.changed {
		for _, f := range l.OnHeldChanged {
			f(h, c.here)
		}
	}
}
