package records

import (
	"math"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Changes is a follower's update: the changes of a topic after its cursor, or a snapshot.
type Changes struct {
	Records  []outgoingRecord
	Snapshot bool
	// LastChange is the number of the newest change.
	LastChange uint64
	// Next is the offset of the first record not read.
	Next id.Position
	// Age is the time since the store confirmed that no record is missing.
	Age time.Duration
	// Grace is the remaining grace period, within which removed keys may return.
	Grace time.Duration
	// CaughtUpAge is the time since the store was known to hold nothing from Next on; negative if unknown.
	CaughtUpAge time.Duration
	// OutageEndAge is the time since the last store outage ended; negative if there was none. OutageOffset is the
	// offset up to which the topic had been read before that outage.
	OutageEndAge time.Duration
	OutageOffset id.Position
	// AvailableAge is the time since the start of the period over which the store is known to have been available, up to
	// Age; negative if unknown.
	AvailableAge time.Duration
	// FirstReadAge is the time since the topic was first read; negative if it was not.
	FirstReadAge time.Duration
	Digest       uint64
	// HasGap says that the changes omit keys that were both written and dropped from GapFrom on.
	HasGap  bool
	GapFrom id.Position
}

// Cursor is a follower's progress in a topic.
type Cursor struct {
	// Epoch identifies the source's process lifetime, and Change is the number of the last change received from it.
	Epoch, Change uint64
	// Next is the offset up to which the follower has read everything, from any source; 0 if it has read nothing.
	Next id.Position
}

// requestSnapshot is a change number that no source reaches, so that the answer is a snapshot.
const requestSnapshot = math.MaxUint64

// ChangesSince returns the changes after a cursor, and a channel that closes at the next change. It returns false until
// the topic has been read for the first time.
func (l *Log) ChangesSince(cursor Cursor) (Changes, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := Changes{LastChange: l.lastChange, Next: l.next, Age: now.Sub(l.confirmedAt), CaughtUpAge: ageOrUnknown(now, l.caughtUpAt), Digest: l.digest}
	c.OutageEndAge, c.FirstReadAge = ageOrUnknown(now, l.lastOutage.at), ageOrUnknown(now, l.firstReadAt)
	c.OutageOffset, c.AvailableAge = l.lastOutage.next, ageOrUnknown(now, l.availableSince)
	if l.absences != nil {
		c.Grace = l.absences.RemainingGrace()
	}
	incremental := cursor.Epoch == l.epoch && cursor.Change >= l.forgottenChange && cursor.Change <= l.lastChange
	resumes := !incremental && cursor.Change != requestSnapshot && l.canResumeFrom(cursor.Next)
	c.Snapshot = !incremental && !resumes
	c.GapFrom = l.gap.from
	c.HasGap = (incremental && cursor.Change < l.gap.change) || (resumes && cursor.Next < l.gap.to)
	for _, e := range l.entries {
		switch {
		case c.Snapshot && e.Value != nil:
			c.Records = append(c.Records, e.outgoing(false, now, l.log))
		case incremental && e.change > cursor.Change:
			c.Records = append(c.Records, e.outgoing(e.previousChange <= cursor.Change, now, l.log))
		case resumes && e.Position >= cursor.Next:
			c.Records = append(c.Records, e.outgoing(e.previous.Position < cursor.Next, now, l.log))
		}
	}
	return c, l.changed, l.started
}

// canResumeFrom reports whether a follower that has read everything up to an offset can get only the later changes.
// Without this, each change of source costs it a configuration of 600 KB. The caller holds the lock.
func (l *Log) canResumeFrom(next id.Position) bool {
	inGap := l.gap.from < next && next < l.gap.to
	return next > 0 && next >= l.dropsKnownFrom && !inGap
}

// ageOrUnknown returns the time since t, or -1 if t is zero.
func ageOrUnknown(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return max(0, now.Sub(t))
}
