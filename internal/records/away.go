package records

import (
	"errors"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// outage notes what a batch says of the store's being away. The caller holds the lock.
func (l *Log) outage(b Batch) {
	fresh := l.started && b.ConfirmedAt.Sub(l.confirmed) <= freshMost
	if b.FromStore && b.Uninterrupted && l.started && !fresh {
		// The store has been away, or as slow: this process has asked all the time.
		l.note(errAway, true)
	}
	if b.FromStore && b.Uninterrupted && l.started && b.LastFailedAt.Sub(l.confirmed) > awayFor {
		l.returned = outageEnd{at: b.LastFailedAt, next: l.next}
	}
	l.note(nil, b.FromStore)
	if fresh {
		// This process has had fresh records all the time: its source alone had lost the store, and upstreams whose records
		// went have gone. With the grace of a first reader that was cut off the last process knew after 4.5 s.
		return
	}
	if l.absent != nil {
		l.absent.ExtendGrace(b.GraceUntil)
	}
	if l.started && l.next >= b.OutageEnd.next && b.OutageEnd.at.After(l.returned.at) {
		l.returned = b.OutageEnd
	}
	if l.started && l.absent != nil && b.FirstReadAt.After(l.confirmed) {
		// The source started after this process had lost the store, and can't tell whether it was away.
		l.absent.NoteListReturned()
	}
}

// errAway says that the store gave no answer for longer than records are fresh.
var errAway = errors.New("the store gave no answer for too long")

// outageEnd is the end of a time in which the store was away for a process and its sources, for longer than awayFor: a
// shorter one may have been that process's own, as answers get lost or are slow at its start, while others read what
// was written.
type outageEnd struct {
	// at is when the process asked in vain for the last time: the store may have been back from then on.
	at time.Time
	// next is the offset up to which the process had read. Of what was written before, the outage says nothing: a
	// process that starts after it reads all of that at once.
	next id.Position
}

// unread is the moment from which on records may have been written that were not read here; zero where none is known.
// The time in which nobody could read is left out: operators count from when a version can be known; where somebody had
// the record before the return, the store was away for this process alone. The caller holds the lock.
func (l *Log) unread(had time.Time) (time.Time, dating.Evidence) {
	switch {
	case l.returned.at.After(l.settled) && (had.IsZero() || !l.returned.at.After(had)):
		return l.returned.at, dating.StoreReturn
	case l.settled.IsZero():
		return l.settled, dating.NoEvidence
	default:
		return l.settled, dating.EarlierRead
	}
}

// bound dates a record that has not been read here before; the caller holds the lock.
func (l *Log) bound(r *Record) {
	// A date that contradicts what its teller knows must not hide the own one.
	r.TimeBounds, _ = dating.TimeBounds{}.Merge(r.TimeBounds)
	at, e := l.unread(r.KnownAt)
	r.UnreadSince = at
	if at.After(r.After) {
		r.After, r.Source = at, dating.DateSource{Observer: l.turn.self, Evidence: e}
	}
}

// NoteStoreFailure notes that the store can't be reached. While another process still hands fresh records on, nothing is lost: upstreams
// whose records go are gone, and get no grace.
func (l *Log) NoteStoreFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = l.now()
	if l.now().Sub(l.confirmed) > freshMost {
		l.note(err, true)
	}
}

// missed notes that this process can't read on where it has read to.
func (l *Log) missed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed = l.now()
}

// note logs when the records are lost and when they are to be had again. Where another process hands on what it has read
// meanwhile, the store was not away for all, and its word on a grace counts. The caller holds the lock.
func (l *Log) note(err error, own bool) {
	switch {
	case err != nil && !l.lost:
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("the store is lost")
	case err == nil && l.lost && !own:
		l.log.Info().Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("another process hands the records on")
	case err == nil && l.lost:
		l.log.Info().Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("the store is back")
		if l.absent != nil {
			l.absent.NoteListReturned()
		}
	}
	l.lost = err != nil
}

// fresh says whether the store has confirmed lately, and since this process failed to read it, that nothing is missing.
func (l *Log) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFresh()
}

func (l *Log) isFresh() bool {
	return l.confirmed.After(l.failed) && l.now().Sub(l.confirmed) < freshMost
}

// ownFresh says whether the records are fresh and the newest of them read by this process itself.
func (l *Log) ownFresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isFresh() && l.own.After(l.failed) && l.now().Sub(l.own) < freshMost
}

// storeFailed says whether this process has asked the store itself since the records were last confirmed, in vain.
func (l *Log) storeFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failed.After(l.confirmed)
}

// Age is how long ago the store confirmed that nothing is missing.
func (l *Log) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.confirmed)
}
