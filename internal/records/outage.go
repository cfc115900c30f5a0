package records

import (
	"errors"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// noteOutage updates what is known of store outages from a batch. The caller holds the lock.
func (l *Log) noteOutage(b Batch) {
	fresh := l.started && b.ConfirmedAt.Sub(l.confirmedAt) <= maxFreshAge
	handOver := l.isHandOver(b)
	l.noteAvailability(b)
	if b.FromStore && b.Uninterrupted && l.started && !fresh {
		// The store was unavailable, or too slow: this process was polling it throughout.
		l.logAvailability(errStoreUnavailable, true, false)
	}
	if b.FromStore && b.Uninterrupted && l.started && b.LastFailedAt.Sub(l.confirmedAt) > outageThreshold {
		l.lastOutage = outageEnd{at: b.LastFailedAt, next: l.next}
	}
	l.logAvailability(nil, b.FromStore, handOver)
	if fresh {
		// This process had fresh records throughout. Only its source had lost the store, so upstreams whose records are
		// gone have left and get no grace period. With the grace period of a first reader that was cut off, the last
		// process learned of a removal after 4.5 s.
		return
	}
	if l.started && l.next >= b.OutageEnd.next && b.OutageEnd.at.After(l.lastOutage.at) {
		l.lastOutage = b.OutageEnd
	}
	if handOver {
		// Entries that went meanwhile have not lapsed for want of the store.
		return
	}
	if l.absences != nil && b.GraceUntil.After(l.now()) {
		l.absences.ExtendGrace(b.GraceUntil)
		l.logGrace("the source has one")
	}
	if l.started && l.absences != nil && b.FirstReadAt.After(l.confirmedAt) {
		// The source started after this process lost the store, so it cannot tell whether there was an outage.
		l.absences.NoteListReturned()
		l.logGrace("the source has started meanwhile")
	}
}

// logGrace logs that upstreams without an entry are kept for a while. The caller holds the lock.
func (l *Log) logGrace(reason string) {
	l.log.Info().Int64("age_ms", l.now().Sub(l.confirmedAt).Milliseconds()).Int64("grace_ms", l.absences.RemainingGrace().Milliseconds()).Str("reason", reason).
		Msg("upstreams without an entry are kept for a grace period")
}

// errStoreUnavailable is logged when the store gave no answer for longer than records stay fresh.
var errStoreUnavailable = errors.New("no answer from the store for too long")

// outageEnd is the end of a store outage that a process and its sources saw for longer than outageThreshold. A shorter
// one may be limited to that process, as answers get lost or are slow at its start while others read new records.
type outageEnd struct {
	// at is when the last failed request to the store began; the store may have been available from then on.
	at time.Time
	// next is the offset up to which the process had read before the outage. The outage does not date earlier records:
	// a process that starts after it reads all of them at once.
	next id.Position
}

// unreadSince returns the time after which records may have been written without being read here, with its evidence;
// zero if unknown. For a record written during an outage of the store this is the end of the outage, as the period in
// which older versions may still serve counts from when the new one can be known. If another process held the record
// before the outage ended, the store was unavailable to this process only. The caller holds the lock.
func (l *Log) unreadSince(knownAt time.Time) (time.Time, dating.Evidence) {
	switch {
	case l.lastOutage.at.After(l.caughtUpAt) && (knownAt.IsZero() || !l.lastOutage.at.After(knownAt)):
		return l.lastOutage.at, dating.StoreReturn
	case l.caughtUpAt.IsZero():
		return l.caughtUpAt, dating.NoEvidence
	default:
		return l.caughtUpAt, dating.EarlierRead
	}
}

// setTimeBounds sets the lower time bound of a record that was not read here before. The caller holds the lock.
func (l *Log) setTimeBounds(r *Record) {
	// Bounds that contradict each other must not hide this process's own lower bound.
	r.TimeBounds, _ = dating.TimeBounds{}.Merge(r.TimeBounds)
	at, e := l.unreadSince(r.KnownAt)
	r.UnreadSince = at
	if at.After(r.After) {
		r.After, r.Source = at, dating.DateSource{Observer: l.lease.self, Evidence: e}
	}
}

// NoteStoreFailure notes a failed request to the store. While another process still hands over fresh records, they are
// not lost: upstreams whose records are removed have left and get no grace period.
func (l *Log) NoteStoreFailure(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFailedAt = l.now()
	if l.now().Sub(l.confirmedAt) > maxFreshAge {
		l.logAvailability(err, true, false)
	}
}

// noteReadExpired notes that the store no longer serves records from the offset that this process has reached.
func (l *Log) noteReadExpired() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.storeFailedAt = l.now()
}

// logAvailability logs when the records are lost and when they are available again. If another process provides them,
// the store was not unavailable to all, and that process decides on a grace period; after a hand-over there is none. The
// caller holds the lock.
func (l *Log) logAvailability(err error, fromStore, handOver bool) {
	switch {
	case err != nil && !l.storeLost:
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("the store is lost")
	case err == nil && l.storeLost && !fromStore:
		l.log.Info().Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("another process provides the records")
	case err == nil && l.storeLost:
		l.log.Info().Str("topic", l.topic.Name).Uint64("next", l.next.Offset()).Uint64("era", l.next.Era()).Msg("the store is back")
		if l.absences != nil && !handOver {
			l.absences.NoteListReturned()
			l.logGrace("the store was lost")
		}
	}
	l.storeLost = err != nil
}

// fresh reports whether the store has recently confirmed, and after this process's last failed request, that no record
// is missing.
func (l *Log) fresh() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freshLocked()
}

// freshLocked is fresh for callers that hold the lock.
func (l *Log) freshLocked() bool {
	return l.confirmedAt.After(l.storeFailedAt) && l.now().Sub(l.confirmedAt) < maxFreshAge
}

// freshFromStore reports whether the records are fresh and this process itself has recently read them from the store.
func (l *Log) freshFromStore() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.freshLocked() && l.storeReadAt.After(l.storeFailedAt) && l.now().Sub(l.storeReadAt) < maxFreshAge
}

// storeFailed reports whether a request of this process to the store has failed since the records were last confirmed.
func (l *Log) storeFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.storeFailedAt.After(l.confirmedAt)
}

// Age returns the time since the store confirmed that no record is missing.
func (l *Log) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.confirmedAt)
}
