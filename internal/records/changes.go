package records

import (
	"math"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Changes is what a follower is told.
type Changes struct {
	Records  []told
	Snapshot bool
	// LastChange is the number of the last change.
	LastChange uint64
	Next       id.Position
	Age        time.Duration
	Grace      time.Duration
	// CaughtUpAge is how long ago the store is known to have had nothing from Next on; below 0 where that is not known.
	CaughtUpAge time.Duration
	// OutageEndAge is how long ago the store was to be had again; below 0 where it has not been away. OutageOffset is the
	// offset up to which it had been read before that.
	OutageEndAge time.Duration
	OutageOffset id.Position
	// FirstReadAge is how long ago the topic was read for the first time.
	FirstReadAge time.Duration
	Digest       uint64
	// HasGap says that the changes leave out what came and went from GapFrom on.
	HasGap  bool
	GapFrom id.Position
}

// Cursor is how far a follower has come.
type Cursor struct {
	// Epoch is the start of the source that Change belongs to, and Change the number of the last change that it has of that.
	Epoch, Change uint64
	// Next is the offset up to which it has read all, from whomever; 0 where it has read nothing.
	Next id.Position
}

// askWhole is a change that no source has reached: the answer to it is the whole.
const askWhole = math.MaxUint64

// ChangesSince returns what has changed after a position, and a channel that closes with the next change. It is false before the
// first whole reading.
func (l *Log) ChangesSince(p Cursor) (Changes, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := Changes{LastChange: l.changes, Next: l.next, Age: now.Sub(l.confirmed), CaughtUpAge: sinceKnown(now, l.settled), Digest: l.digest}
	c.OutageEndAge, c.FirstReadAge = sinceKnown(now, l.returned.at), sinceKnown(now, l.began)
	c.OutageOffset = l.returned.next
	if l.absent != nil {
		c.Grace = l.absent.RemainingGrace()
	}
	follows := p.Epoch == l.epoch && p.Change >= l.forgotten && p.Change <= l.changes
	resumes := !follows && p.Change != askWhole && l.resumable(p.Next)
	c.Snapshot = !follows && !resumes
	c.GapFrom = l.gap.from
	c.HasGap = (follows && p.Change < l.gap.change) || (resumes && p.Next < l.gap.to)
	for _, e := range l.entries {
		switch {
		case c.Snapshot && e.Value != nil:
			c.Records = append(c.Records, e.tell(false, now, l.log))
		case follows && e.change > p.Change:
			c.Records = append(c.Records, e.tell(e.beforeChange <= p.Change, now, l.log))
		case resumes && e.Position >= p.Next:
			c.Records = append(c.Records, e.tell(e.before.Position < p.Next, now, l.log))
		}
	}
	return c, l.changed, l.started
}

// resumable says whether a follower that has read all up to an offset can be told the rest: a change of the source costs it
// what is new then, not a configuration of 600 KB. The caller holds the lock.
func (l *Log) resumable(next id.Position) bool {
	inGap := l.gap.from < next && next < l.gap.to
	return next > 0 && next >= l.forgottenTo && !inGap
}

// sinceKnown is the time since a moment, or -1 where none is known.
func sinceKnown(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t))
}
