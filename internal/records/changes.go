package records

import "time"

// Changes is what a follower is told.
type Changes struct {
	Records []told
	Whole   bool
	// Last is the number of the last change.
	Last  uint64
	Next  uint64
	Age   time.Duration
	Grace time.Duration
	// Settled is how long ago the store is known to have had nothing from Next on; below 0 where that is not known.
	Settled time.Duration
	// Returned is how long ago the store was to be had again; below 0 where it has not been away.
	Returned time.Duration
	Digest   uint64
	// Own says that this process has read it from the store itself.
	Own bool
	// Gapped says that the changes leave out what came and went from GapFrom on.
	Gapped  bool
	GapFrom uint64
}

// Since returns what has changed after a change of an epoch, and a channel that closes with the next one. It is false
// before the first whole reading.
func (l *Log) Since(epoch, from uint64) (Changes, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := Changes{Last: l.changes, Next: l.next, Age: now.Sub(l.confirmed), Settled: sinceKnown(now, l.settled), Digest: l.digest}
	c.Returned = sinceKnown(now, l.returned)
	if l.absent != nil {
		c.Grace = l.absent.Grace()
	}
	// A position beyond the changes asks for the whole.
	c.Whole = epoch != l.epoch || from < l.forgotten || from > l.changes
	c.Gapped, c.GapFrom = from < l.gap.change, l.gap.from
	for _, e := range l.entries {
		switch {
		case c.Whole && e.Value != nil:
			c.Records = append(c.Records, e.tell(l.changes, now, l.log))
		case !c.Whole && e.change > from:
			c.Records = append(c.Records, e.tell(from, now, l.log))
		}
	}
	return c, l.changed, l.started
}

// sinceKnown is the time since a moment, or -1 where none is known.
func sinceKnown(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t))
}
