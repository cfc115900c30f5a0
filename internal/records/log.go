package records

import (
	"bytes"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// maxDroppedKeys bounds the dropped keys that are kept for followers; each incarnation of an upstream has its own key.
const maxDroppedKeys = 512

// Log holds the newest record of each key of a topic, applies changes and serves them to followers. It is safe for
// concurrent use.
type Log struct {
	topic Topic
	log   *log.Logger
	// skipped counts records that could not be decoded, and skipLogLimiter limits the log lines on them.
	skipped        expvar.Int
	skipLogLimiter *rate.Limiter

	now func() time.Time
	// onConfirmed is called with the time of each later confirmation by the store.
	onConfirmed func(at time.Time)
	// epoch identifies this process lifetime, to which change numbers belong.
	epoch uint64
	// absences delays the removal of upstreams within a grace period; nil if the keys are not upstreams.
	absences *facts.AbsenceTracker
	// lease is this process's state in the exclusive reading of the topic's snapshot.
	lease *readLease

	mu          sync.Mutex
	entries     map[string]*entry
	droppedKeys int
	// lastChange is the number of the newest change. A follower whose cursor is before forgottenChange gets a snapshot,
	// as dropped keys or gaps have been forgotten since.
	lastChange, forgottenChange uint64
	// dropsKnownFrom is the offset from which on dropped keys are kept.
	dropsKnownFrom id.Position
	// gap is the newest part of the topic that was skipped by reading a snapshot.
	gap gap
	// next is the offset of the first record not read; everything before it is held.
	next id.Position
	// caughtUpAt is a time at which the store held nothing from next on; zero if unknown.
	caughtUpAt time.Time
	// started is true once the topic has been read, and storeLost while the store counts as lost.
	started, storeLost bool
	// firstReadAt is when the topic was first read.
	firstReadAt time.Time
	// lastOutage is the end of the last outage of the store for this process and its sources.
	lastOutage outageEnd
	// availableSince is the start of the period up to confirmedAt over which the store is known to have served some process
	// without a break longer than maxFreshAge; zero if unknown.
	availableSince time.Time
	// digest is the sum of digestOf over all keys held.
	digest uint64
	// confirmedAt is when the store last confirmed that no record is missing.
	confirmedAt time.Time
	// storeReadAt is when this process itself last read the store, and storeFailedAt when a request of its own last failed.
	storeReadAt, storeFailedAt time.Time
	// firstReading is the progress of the source's reading of its first snapshot, as of firstReadingAt; nil if the source
	// does not read one.
	firstReading   *pb.Reading
	firstReadingAt time.Time
	// changed closes at the next change.
	changed chan struct{}
}

// NewLog returns an empty log of a topic.
func NewLog(t Topic, f *facts.Facts, now func() time.Time, l *log.Logger) *Log {
	g := &Log{
		topic: t, onConfirmed: f.NoteStoreAnswered, log: l, now: now, epoch: rand.Uint64() | 1, entries: map[string]*entry{}, changed: make(chan struct{}),
		skipLogLimiter: rate.NewLimiter(skipLogRate, skipLogBurst), lease: newReadLease("", "", now),
	}
	if t.KeysAreUpstreams {
		g.absences = facts.NewAbsenceTracker(f, now, l)
	}
	return g
}

// gap is a part of a topic of which only the newest record of each key was read. Keys that were both written and
// dropped within it are unknown.
type gap struct {
	// from is the first offset of the gap, to the first one after it, and change the number of the change that it counts as.
	from, to id.Position
	change   uint64
}

// Merge merges a batch; records older than those held change nothing. It returns false and ignores the batch if this
// process had read further than its source before the source's gap: keys that it holds may have been dropped within the
// gap, and the batch does not list them.
func (l *Log) Merge(b Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.HasGap && !b.Snapshot && l.next > b.GapFrom {
		return false
	}
	l.noteOutage(b)
	l.noteNewEra(b.Next)
	before := l.lastChange
	for _, r := range b.Records {
		if r.Position >= l.next {
			l.setTimeBounds(&r)
		}
		if b.FromStore && !b.Snapshot {
			// Other than a snapshot, a read returns every record, so nothing was skipped before this one.
			r.UnreadSince = r.After
		}
		l.mergeRecord(r, b)
	}
	if b.Snapshot {
		l.dropAbsentKeys(b)
	}
	if l.absences != nil {
		l.absences.Sweep()
	}
	switch {
	case b.Snapshot && !l.started:
		l.dropsKnownFrom, l.firstReadAt = b.Next, l.now()
	case (b.Snapshot && b.Next > l.next) || b.HasGap:
		l.recordGap(b.Next)
	}
	l.advance(b)
	l.started = l.started || b.Snapshot
	if b.FromStore {
		l.storeReadAt = l.now()
	}
	if b.ConfirmedAt.After(l.confirmedAt) {
		l.confirmedAt = b.ConfirmedAt
		l.onConfirmed(b.ConfirmedAt)
	}
	if l.lastChange > before {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return true
}

// recordGap notes that the records up to an offset were skipped. Followers that have not passed the previous gap get a
// snapshot. The caller holds the lock.
func (l *Log) recordGap(to id.Position) {
	l.forgottenChange = max(l.forgottenChange, l.gap.change)
	l.dropsKnownFrom = max(l.dropsKnownFrom, l.gap.to)
	l.lastChange++
	l.gap = gap{from: l.next, to: to, change: l.lastChange}
}

// advance updates how far the topic has been read. The caller holds the lock.
func (l *Log) advance(b Batch) {
	if b.Next >= l.next && b.CaughtUpAt.After(l.caughtUpAt) {
		// If the store held nothing from b.Next on at that time, it held nothing from a higher offset on either.
		l.caughtUpAt = b.CaughtUpAt
	}
	l.next = max(l.next, b.Next)
}

// mergeRecord merges one record of a batch. The caller holds the lock.
func (l *Log) mergeRecord(r Record, b Batch) {
	e := l.entries[r.Key]
	held := e != nil && e.Value != nil
	upToDate := b.Snapshot && b.Next >= l.next
	version := l.versionOf(r)
	switch {
	case held && version < e.version && version > 0:
		l.logLateRecord(e, r)
		return
	case held && version > e.version && e.version > 0 && r.Position != e.Position:
		// The offset does not matter here: the newest record of a key need not have the highest version.
		r.TimeBounds, _ = dating.TimeBounds{KnownAt: l.now()}.Merge(r.TimeBounds)
		l.applyChange(e, r)
		return
	case !held && !upToDate && r.Position < l.next:
		// The record is outdated: the key was dropped between it and next.
		return
	case e == nil:
		e = &entry{}
		l.entries[r.Key] = e
	case r.Position == e.Position && r.Value != nil:
		l.mergeTimeBounds(e, r)
		return
	case r.Position < e.Position:
		return
	}
	if r.Value != nil && l.topic.Normalise != nil {
		r.Value = l.topic.Normalise(r.Value)
	}
	r.TimeBounds, _ = dating.TimeBounds{KnownAt: l.now()}.Merge(r.TimeBounds)
	if e.change == 0 || (r.Value == nil) != (e.Value == nil) || !bytes.Equal(r.Value, e.Value) {
		l.applyChange(e, r)
		return
	}
	r.TimeBounds = e.TimeBounds
	if b.Snapshot || len(r.Value) >= compressThreshold {
		// The key may have had another value meanwhile, which a follower may have read from the store, so the record is
		// sent as a new change. For large values, patches also refer to the offset.
		l.numberChange(e, r)
		return
	}
	e.Record = r
}

// versionOf returns the version number in a record's value, or 0.
func (l *Log) versionOf(r Record) uint64 {
	if l.topic.Version == nil || r.Value == nil {
		return 0
	}
	return l.topic.Version(r)
}

// logLateRecord logs a record that was written after one with a higher version. The caller holds the lock.
func (l *Log) logLateRecord(e *entry, r Record) {
	if r.Position <= e.Position || r.Position < l.next || !l.skipLogLimiter.AllowN(l.now(), 1) {
		return
	}
	l.log.Warn().Str("topic", l.topic.Name).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).Uint64("held_offset", e.Position.Offset()).
		Uint64("version", l.versionOf(r)).Uint64("held_version", e.version).Msg("record ignored: an earlier one has a higher version")
}

// mergeTimeBounds merges a source's time bounds into those of the record held. The caller holds the lock.
func (l *Log) mergeTimeBounds(e *entry, r Record) {
	if e.Value == nil || e.unreadable {
		return
	}
	merged, outcome := e.Merge(r.TimeBounds)
	if outcome == dating.Refused && l.skipLogLimiter.AllowN(l.now(), 1) {
		l.log.Warn().Str("topic", l.topic.Name).Str("key", e.Key).Uint64("offset", e.Position.Offset()).Uint64("era", e.Position.Era()).Time("after", r.After).
			Str("by", r.Source.Observer).Stringer("evidence", r.Source.Evidence).Msg("time bounds of a record rejected: they contradict those known here")
	}
	previousAfter := e.After
	e.TimeBounds = merged
	if !merged.After.Equal(previousAfter) {
		l.apply(e, e.Record)
	}
}

const (
	// skipLogRate and skipLogBurst limit the log lines on records that cannot be decoded, as other writers may fill a
	// topic with them. The metric counts every one.
	skipLogRate  = 2
	skipLogBurst = 20
)

// apply passes a key's record to the topic's Apply function. The caller holds the lock.
func (l *Log) apply(e *entry, r Record) {
	err := l.topic.Apply(r)
	e.unreadable = err != nil
	if err == nil {
		return
	}
	l.skipped.Add(1)
	if l.skipLogLimiter.AllowN(l.now(), 1) {
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).
			Int64("skipped", l.skipped.Value()).Msg("record skipped: it could not be decoded")
	}
}

// applyChange applies a new record of a key and assigns a change number to it. The caller holds the lock.
func (l *Log) applyChange(e *entry, r Record) {
	l.apply(e, r)
	if v := l.versionOf(r); !e.unreadable && v > 0 {
		e.version = v
	}
	if l.absences != nil {
		l.absences.NoteEntry(id.Instance(r.Key), r.Value != nil)
	}
	if r.Value == nil && (e.change == 0 || e.Value != nil) {
		// A drop counts even if the key was not held here, as a follower may hold it.
		l.droppedKeys++
	}
	if r.Value != nil && e.change > 0 && e.Value == nil {
		l.droppedKeys--
	}
	d := digestOf(r)
	l.digest += d - e.digest
	e.digest = d
	l.numberChange(e, r)
	if l.droppedKeys > maxDroppedKeys {
		l.forgetDropped()
	}
}

// numberChange assigns the next change number to a record, so that followers receive it. The caller holds the lock.
func (l *Log) numberChange(e *entry, r Record) {
	l.lastChange++
	e.previous, e.previousChange = e.Record, e.change
	e.Record, e.change, e.compressed, e.patch = r, l.lastChange, nil, nil
}

// forgetDropped forgets all dropped keys, so that followers that lag behind get a snapshot. The caller holds the lock.
func (l *Log) forgetDropped() {
	for k, e := range l.entries {
		if e.Value == nil {
			l.dropsKnownFrom = max(l.dropsKnownFrom, e.Position+1)
			delete(l.entries, k)
		}
	}
	l.droppedKeys, l.forgottenChange = 0, l.lastChange
}

// dropAbsentKeys drops the keys that a snapshot lacks, unless they were written after it. The caller holds the lock.
//
// The drop gets the position before the end of the snapshot and not that of the record that it ends: followers hold
// that record, and would ignore a drop at its position. A key that is written again has a position from Next on.
func (l *Log) dropAbsentKeys(b Batch) {
	inSnapshot := map[string]bool{}
	for _, r := range b.Records {
		inSnapshot[r.Key] = true
	}
	for k, e := range l.entries {
		if inSnapshot[k] || e.Value == nil || e.Position >= b.Next || l.survivesNewEra(e, b.Next) {
			continue
		}
		l.log.Info().Str("topic", l.topic.Name).Str("key", k).Uint64("offset", e.Position.Offset()).Uint64("era", e.Position.Era()).Uint64("next", b.Next.Offset()).
			Msg("key dropped: it is not in the snapshot")
		l.applyChange(e, Record{Key: k, Position: b.Next - 1})
	}
}

// survivesNewEra reports whether a key is kept that a snapshot of a later store epoch lacks. A value whose version only
// rises is kept until it is written again. The caller holds the lock.
func (l *Log) survivesNewEra(e *entry, next id.Position) bool {
	return e.version > 0 && e.Position.Era() < next.Era()
}

// noteNewEra detects that the store was restored from an older copy and has begun a new epoch. Upstreams that the copy
// lacks get a grace period, as after any outage. The caller holds the lock.
func (l *Log) noteNewEra(next id.Position) {
	if !l.started || next.Era() <= l.next.Era() {
		return
	}
	l.log.Warn().Str("topic", l.topic.Name).Uint64("era", next.Era()).Uint64("next", next.Offset()).Uint64("era_before", l.next.Era()).
		Uint64("next_before", l.next.Offset()).Msg("the store was restored from an older copy")
	if l.absences != nil {
		l.absences.NoteListReturned()
		l.logGrace("the store was restored from an older copy")
	}
}

// maxAge returns the maximum age at which a source's records of the topic are accepted.
func (l *Log) maxAge() time.Duration {
	if l.topic.KeysAreUpstreams {
		return maxFreshAge
	}
	return maxOperatorsAge
}

// releaseLease ends this process's reading of the snapshot, and wakes followers so that they learn the result at once.
func (l *Log) releaseLease() {
	l.lease.release()
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Position returns the offset of the first record not read. started is false until the topic has been read for the
// first time.
func (l *Log) Position() (next id.Position, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.started
}
