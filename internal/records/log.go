package records

import (
	"bytes"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// mostDropped bounds the dropped keys that are remembered for followers; each start of an upstream has a key of its own.
const mostDropped = 512

// Log holds the newest record of each key of a topic and applies what changes. It is safe for concurrent use.
type Log struct {
	topic Topic
	log   *log.Logger
	// skipped counts the records that could not be read, and skippedLines bounds the lines on them.
	skipped      expvar.Int
	skippedLines *rate.Limiter

	now    func() time.Time
	epoch  uint64
	absent *facts.AbsenceTracker
	// turn is this process's part in reading the topic whole.
	turn *turn

	mu      sync.Mutex
	entries map[string]*entry
	dropped int
	// changes counts the changes; forgotten is the last one that can't be told any more as a change.
	changes, forgotten uint64
	// forgottenTo is the offset from which on drops are remembered.
	forgottenTo id.Position
	// gap is the newest part of the topic that was not read record by record.
	gap gap
	// next is the offset from which on nothing has been read; all that was written before it is held.
	next id.Position
	// settled is a moment at which the store had nothing from next on; zero where none is known.
	settled       time.Time
	started, lost bool
	// began is when the topic had been read for the first time.
	began time.Time
	// returned is the end of the last time in which the store was away for this process and its sources.
	returned outageEnd
	// digest is that of all keys that are held; see digest.go.
	digest uint64
	// confirmed is when the store last said that nothing is missing.
	confirmed time.Time
	// own is when this process last read the store itself, and failed when it last failed to.
	own, failed time.Time
	changed     chan struct{}
}

// NewLog makes an empty log of a topic.
func NewLog(t Topic, f *facts.Facts, now func() time.Time, l *log.Logger) *Log {
	g := &Log{
		topic: t, log: l, now: now, epoch: rand.Uint64() | 1, entries: map[string]*entry{}, changed: make(chan struct{}),
		skippedLines: rate.NewLimiter(skippedPerSecond, skippedAtOnce), turn: newTurn("", "", now),
	}
	if t.KeysAreUpstreams {
		g.absent = facts.NewAbsenceTracker(f, now, l)
	}
	return g
}

// gap is a part of a topic of which only the newest records were read: what came and went in it is not known.
type gap struct {
	// It begins at from and ends before to; change is the number of the change that it counts as.
	from, to id.Position
	change   uint64
}

// Batch is what a source says of a topic.
type Batch struct {
	Records []Record
	// Snapshot says that the records are all there are.
	Snapshot bool
	// Next is the offset from which on nothing has been read.
	Next id.Position
	// ConfirmedAt is when the store said so.
	ConfirmedAt time.Time
	// CaughtUpAt is a moment at which the store had nothing from Next on: when it was asked, as its answer may have been
	// long on its way. Zero where none is known.
	CaughtUpAt time.Time
	// FromStore says that this process has read it from the store itself, and Uninterrupted that it had asked without standing still ever
	// since its last good reading.
	FromStore, Uninterrupted bool
	// LastFailedAt is when this process had last asked the store in vain since it had read it; zero where it has not.
	LastFailedAt time.Time
	// FirstReadAt is when the source had read the topic for the first time; zero where it does not say.
	FirstReadAt time.Time
	// HasGap says that the source has not read record by record from GapFrom on.
	HasGap  bool
	GapFrom id.Position
	// OutageEnd is the end of the last time in which the source had not had the store.
	OutageEnd outageEnd
	// GraceUntil is the end of the time in which keys that are gone may come back.
	GraceUntil time.Time
}

// Merge merges a batch. Records older than what is known change nothing. It is false, and nothing is taken, where this
// process has read further itself than its source had before a gap: what it knows of the gap may be over, and the batch
// can't tell.
func (l *Log) Merge(b Batch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b.HasGap && !b.Snapshot && l.next > b.GapFrom {
		return false
	}
	l.outage(b)
	l.enterEra(b.Next)
	before := l.changes
	for _, r := range b.Records {
		if r.Position >= l.next {
			l.bound(&r)
		}
		if b.FromStore && !b.Snapshot {
			// Read one by one: there is none that was not read.
			r.UnreadSince = r.After
		}
		l.mergeRecord(r, b)
	}
	if b.Snapshot {
		l.keepOnly(b)
	}
	if l.absent != nil {
		l.absent.Sweep()
	}
	switch {
	case b.Snapshot && !l.started:
		l.forgottenTo, l.began = b.Next, l.now()
	case (b.Snapshot && b.Next > l.next) || b.HasGap:
		l.skip(b.Next)
	}
	l.advance(b)
	l.started = l.started || b.Snapshot
	if b.FromStore {
		l.own = l.now()
	}
	if b.ConfirmedAt.After(l.confirmed) {
		l.confirmed = b.ConfirmedAt
	}
	if l.changes > before {
		close(l.changed)
		l.changed = make(chan struct{})
	}
	return true
}

// skip notes a gap up to an offset; followers that lack an earlier one too get the whole. The caller holds the lock.
func (l *Log) skip(to id.Position) {
	l.forgotten = max(l.forgotten, l.gap.change)
	l.forgottenTo = max(l.forgottenTo, l.gap.to)
	l.changes++
	l.gap = gap{from: l.next, to: to, change: l.changes}
}

// advance notes how far the store has been read; the caller holds the lock.
func (l *Log) advance(b Batch) {
	if b.Next >= l.next && b.CaughtUpAt.After(l.settled) {
		// A moment known for an earlier next holds for a later one too.
		l.settled = b.CaughtUpAt
	}
	l.next = max(l.next, b.Next)
}

// mergeRecord takes a record of a batch; the caller holds the lock.
func (l *Log) mergeRecord(r Record, b Batch) {
	e := l.entries[r.Key]
	held := e != nil && e.Value != nil
	current := b.Snapshot && b.Next >= l.next
	version := l.version(r)
	switch {
	case held && version < e.version && version > 0:
		l.late(e, r)
		return
	case held && version > e.version && e.version > 0 && r.Position != e.Position:
		// Whatever its offset: the newest record of a key need not have the highest number.
		r.TimeBounds, _ = dating.TimeBounds{KnownAt: l.now()}.Merge(r.TimeBounds)
		l.change(e, r)
		return
	case !held && !current && r.Position < l.next:
		// A key that is not held was dropped before next: the record is older than that.
		return
	case e == nil:
		e = &entry{}
		l.entries[r.Key] = e
	case r.Position == e.Position && r.Value != nil:
		l.date(e, r)
		return
	case r.Position < e.Position:
		return
	}
	if r.Value != nil && l.topic.Normalise != nil {
		r.Value = l.topic.Normalise(r.Value)
	}
	r.TimeBounds, _ = dating.TimeBounds{KnownAt: l.now()}.Merge(r.TimeBounds)
	if e.change == 0 || (r.Value == nil) != (e.Value == nil) || !bytes.Equal(r.Value, e.Value) {
		l.change(e, r)
		return
	}
	r.TimeBounds = e.TimeBounds
	if b.Snapshot || len(r.Value) >= packFrom {
		// The key may have had another value meanwhile, which a follower has read itself: this one is told as newer. A long
		// value's offset is what patches build on.
		l.number(e, r)
		return
	}
	e.Record = r
}

// version is the number that a record's value names.
func (l *Log) version(r Record) uint64 {
	if l.topic.Version == nil || r.Value == nil {
		return 0
	}
	return l.topic.Version(r)
}

// late tells of a record that was written behind one with a higher number; the caller holds the lock.
func (l *Log) late(e *entry, r Record) {
	if r.Position <= e.Position || r.Position < l.next || !l.skippedLines.AllowN(l.now(), 1) {
		return
	}
	l.log.Warn().Str("topic", l.topic.Name).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).Uint64("held_offset", e.Position.Offset()).
		Uint64("version", l.version(r)).Uint64("held_version", e.version).Msg("a record names an older version than one before it; passed over")
}

// date takes what a source tells of when a held record was written. The caller holds the lock.
func (l *Log) date(e *entry, r Record) {
	if e.Value == nil || e.skipped {
		return
	}
	d, o := e.Merge(r.TimeBounds)
	if o == dating.Refused && l.skippedLines.AllowN(l.now(), 1) {
		l.log.Warn().Str("topic", l.topic.Name).Str("key", e.Key).Uint64("offset", e.Position.Offset()).Uint64("era", e.Position.Era()).Time("after", r.After).
			Str("by", r.Source.Observer).Stringer("evidence", r.Source.Evidence).Msg("date of a record refused")
	}
	old := e.After
	e.TimeBounds = d
	if !d.After.Equal(old) {
		l.apply(e, e.Record)
	}
}

const (
	// skippedPerSecond and skippedAtOnce bound the lines on records that can't be read: whoever else writes to a topic may do so as
	// often as the store takes it, and each is counted.
	skippedPerSecond = 2
	skippedAtOnce    = 20
)

// apply hands the record of an entry to the product; the caller holds the lock.
func (l *Log) apply(e *entry, r Record) {
	err := l.topic.Apply(r)
	e.skipped = err != nil
	if err == nil {
		return
	}
	l.skipped.Add(1)
	if l.skippedLines.AllowN(l.now(), 1) {
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Str("key", r.Key).Uint64("offset", r.Position.Offset()).Uint64("era", r.Position.Era()).
			Int64("skipped", l.skipped.Value()).Msg("record skipped")
	}
}

// change numbers a new record of a key and applies it; the caller holds the lock.
func (l *Log) change(e *entry, r Record) {
	l.apply(e, r)
	if v := l.version(r); !e.skipped && v > 0 {
		e.version = v
	}
	if l.absent != nil {
		l.absent.NoteEntry(id.Instance(r.Key), r.Value != nil)
	}
	if r.Value == nil && (e.change == 0 || e.Value != nil) {
		// Also of a key that was not held here: a follower may hold it.
		l.dropped++
	}
	if r.Value != nil && e.change > 0 && e.Value == nil {
		l.dropped--
	}
	d := digestOf(r)
	l.digest += d - e.digest
	e.digest = d
	l.number(e, r)
	if l.dropped > mostDropped {
		l.forget()
	}
}

// number makes a record one that followers are told; the caller holds the lock.
func (l *Log) number(e *entry, r Record) {
	l.changes++
	e.before, e.beforeChange = e.Record, e.change
	e.Record, e.change, e.packed, e.patch = r, l.changes, nil, nil
}

// forget drops the memory of dropped keys: followers that lag behind get the whole. The caller holds the lock.
func (l *Log) forget() {
	for k, e := range l.entries {
		if e.Value == nil {
			l.forgottenTo = max(l.forgottenTo, e.Position+1)
			delete(l.entries, k)
		}
	}
	l.dropped, l.forgotten = 0, l.changes
}

// keepOnly drops the keys that a whole list lacks, unless they were written after it; the caller holds the lock.
//
// The drop is dated by the reading that shows it, not by the record that it ends: followers have that record, and would take
// the drop for known. A key that is written again has an offset from Next on.
func (l *Log) keepOnly(b Batch) {
	listed := map[string]bool{}
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for k, e := range l.entries {
		if listed[k] || e.Value == nil || e.Position >= b.Next || l.keeps(e, b.Next) {
			continue
		}
		l.log.Info().Str("topic", l.topic.Name).Str("key", k).Uint64("offset", e.Position.Offset()).Uint64("era", e.Position.Era()).Uint64("next", b.Next.Offset()).
			Msg("key not among all records any more")
		l.change(e, Record{Key: k, Position: b.Next - 1})
	}
}

// keeps says whether a key stays that a whole list of a later era lacks: a value whose number only rises is written again,
// and is not taken back until then. The caller holds the lock.
func (l *Log) keeps(e *entry, next id.Position) bool {
	return e.version > 0 && e.Position.Era() < next.Era()
}

// enterEra notes that the store has come back from an older copy. The upstreams whose entries it lacks may come back, as
// after any return of the store. The caller holds the lock.
func (l *Log) enterEra(next id.Position) {
	if !l.started || next.Era() <= l.next.Era() {
		return
	}
	l.log.Warn().Str("topic", l.topic.Name).Uint64("era", next.Era()).Uint64("next", next.Offset()).Uint64("era_before", l.next.Era()).
		Uint64("next_before", l.next.Offset()).Msg("the store has come back from an older copy")
	if l.absent != nil {
		l.absent.NoteListReturned()
	}
}

// ageMost is the greatest age at which a source's records of the topic are taken.
func (l *Log) ageMost() time.Duration {
	if l.topic.KeysAreUpstreams {
		return freshMost
	}
	return slowMost
}

// endTurn is the end of this process's reading of the whole topic; who follows it hears at once how that went.
func (l *Log) endTurn() {
	l.turn.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

// Position returns the offset to read on from; started is false before the first whole reading.
func (l *Log) Position() (next id.Position, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.started
}

// valueAt returns the value of a key if its newest record is the one at an offset.
func (l *Log) valueAt(key string, offset id.Position) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil && e.Position == offset {
		return e.Value
	}
	return nil
}
