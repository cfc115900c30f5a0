package records

import (
	"bytes"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// mostDropped bounds the dropped keys that are remembered for followers; each start of an upstream has a key of its own.
const mostDropped = 512

// entry is a key's newest record.
type entry struct {
	Record
	// seen is the offset of the newest record read, which may have changed nothing.
	seen uint64
	// change is the number of the change that brought the record.
	change uint64
	// before is the record that this one has replaced, and beforeChange the number of the change that brought it.
	before       Record
	beforeChange uint64
	// packed is the value compressed, and patch the same on top of the value before, once a follower has asked for it.
	packed, patch []byte
}

// told is a record as followers get it: with its value, that value compressed, or a patch of the value at an offset.
type told struct {
	Record
	packed  []byte
	patched bool
	base    uint64
}

// tell says what a follower that has all changes up to one needs; long values are compressed once for all followers.
func (e *entry) tell(from uint64, l *log.Logger) told {
	if len(e.Value) < packFrom {
		return told{Record: e.Record}
	}
	if e.before.Value != nil && from >= e.beforeChange && from < e.change {
		e.patch = packOnce(e.patch, e.Value, e.before.Value, l)
		return told{Record: e.Record, packed: e.patch, patched: true, base: e.before.Offset}
	}
	e.packed = packOnce(e.packed, e.Value, nil, l)
	return told{Record: e.Record, packed: e.packed}
}

// packOnce returns what has been compressed before, or compresses it.
func packOnce(done, value, base []byte, l *log.Logger) []byte {
	if done != nil {
		return done
	}
	packed, err := pack(value, base)
	if err != nil {
		l.Error().Err(err).Msg("a record can't be compressed")
		return nil
	}
	return packed
}

// Log holds the newest record of each key of a topic and applies what changes. It is safe for concurrent use.
type Log struct {
	topic  Topic
	log    *log.Logger
	now    func() time.Time
	epoch  uint64
	absent *facts.Absences

	mu      sync.Mutex
	entries map[string]*entry
	dropped int
	// changes counts the changes; forgotten is the last one that can't be told any more as a change.
	changes, forgotten uint64
	// forgottenNext is the offset below which a key that is not held may have been dropped.
	forgottenNext uint64
	next          uint64
	started, lost bool
	// confirmed is when the store last said that nothing is missing.
	confirmed time.Time
	changed   chan struct{}
}

// NewLog makes an empty log of a topic.
func NewLog(t Topic, f *facts.Facts, now func() time.Time, l *log.Logger) *Log {
	g := &Log{
		topic: t, log: l, now: now, epoch: rand.Uint64() | 1, entries: map[string]*entry{}, changed: make(chan struct{}),
	}
	if t.Upstreams {
		g.absent = facts.NewAbsences(f, now, l)
	}
	return g
}

// Batch is what a source says of a topic.
type Batch struct {
	Records []Record
	// Whole says that the records are all there are.
	Whole bool
	// Next is the offset from which on nothing has been read.
	Next uint64
	// Confirmed is when the store said so.
	Confirmed time.Time
	// Grace is the end of the time in which keys that are gone may come back.
	Grace time.Time
}

// Take merges a batch. Records older than what is known change nothing.
func (l *Log) Take(b Batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(nil)
	if l.absent != nil {
		l.absent.GraceUntil(b.Grace)
	}
	before := l.changes
	for _, r := range b.Records {
		l.merge(r, b.Whole)
	}
	if b.Whole {
		l.keepOnly(b)
	}
	if l.absent != nil {
		l.absent.Sweep()
	}
	l.next = max(l.next, b.Next)
	l.started = l.started || b.Whole
	if b.Confirmed.After(l.confirmed) {
		l.confirmed = b.Confirmed
	}
	if l.changes > before {
		close(l.changed)
		l.changed = make(chan struct{})
	}
}

// merge takes a record; the caller holds the lock.
func (l *Log) merge(r Record, whole bool) {
	e := l.entries[r.Key]
	if e == nil {
		if r.Value == nil || (!whole && r.Offset < l.forgottenNext) {
			return
		}
		e = &entry{}
		l.entries[r.Key] = e
	} else if r.Offset <= e.seen {
		return
	}
	e.seen = r.Offset
	if r.Value != nil && l.topic.Reduce != nil {
		r.Value = l.topic.Reduce(r.Value)
	}
	if e.change > 0 && (r.Value == nil) == (e.Value == nil) && bytes.Equal(r.Value, e.Value) {
		return
	}
	l.change(e, r)
}

// change numbers a new record of a key and applies it; the caller holds the lock.
func (l *Log) change(e *entry, r Record) {
	if err := l.topic.Apply(r); err != nil {
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Str("key", r.Key).Uint64("offset", r.Offset).Msg("record skipped")
	}
	if l.absent != nil {
		l.absent.Note(id.Instance(r.Key), r.Value != nil)
	}
	if r.Value == nil && e.Value != nil {
		l.dropped++
	}
	if r.Value != nil && e.change > 0 && e.Value == nil {
		l.dropped--
	}
	l.changes++
	e.before, e.beforeChange = e.Record, e.change
	e.Record, e.change, e.packed, e.patch = r, l.changes, nil, nil
	if l.dropped > mostDropped {
		l.forget()
	}
}

// forget drops the memory of dropped keys: followers that lag behind get the whole. The caller holds the lock.
func (l *Log) forget() {
	for k, e := range l.entries {
		if e.Value == nil {
			delete(l.entries, k)
		}
	}
	l.dropped, l.forgotten, l.forgottenNext = 0, l.changes, l.next
}

// keepOnly drops the keys that a whole list lacks, unless they were written after it; the caller holds the lock.
func (l *Log) keepOnly(b Batch) {
	listed := map[string]bool{}
	for _, r := range b.Records {
		listed[r.Key] = true
	}
	for k, e := range l.entries {
		if listed[k] || e.Value == nil || e.seen >= b.Next {
			continue
		}
		l.change(e, Record{Key: k, Offset: e.seen})
	}
}

// Lost notes that the store can't be reached. While another process still hands fresh records on, nothing is lost: upstreams
// whose records go are gone, and get no grace.
func (l *Log) Lost(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.now().Sub(l.confirmed) > freshMost {
		l.note(err)
	}
}

// note logs when the records are lost and when they are to be had again; the caller holds the lock.
func (l *Log) note(err error) {
	switch {
	case err != nil && !l.lost:
		l.log.Warn().Err(err).Str("topic", l.topic.Name).Uint64("next", l.next).Msg("the store is lost")
	case err == nil && l.lost:
		l.log.Info().Str("topic", l.topic.Name).Uint64("next", l.next).Msg("the store is back")
		if l.absent != nil {
			l.absent.Returned()
		}
	}
	l.lost = err != nil
}

// Position returns the offset to read on from; started is false before the first whole reading.
func (l *Log) Position() (next uint64, started bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.next, l.started
}

// Restart makes the next reading a whole one.
func (l *Log) Restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.started = false
}

// Age is how long ago the store confirmed that nothing is missing.
func (l *Log) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Sub(l.confirmed)
}

// Changes is what a follower is told.
type Changes struct {
	Records []told
	Whole   bool
	// Last is the number of the last change.
	Last  uint64
	Next  uint64
	Age   time.Duration
	Grace time.Duration
}

// Since returns what has changed after a change of an epoch, and a channel that closes with the next one. It is false
// before the first whole reading.
func (l *Log) Since(epoch, from uint64) (Changes, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	c := Changes{Last: l.changes, Next: l.next, Age: now.Sub(l.confirmed)}
	if l.absent != nil {
		c.Grace = l.absent.Grace()
	}
	c.Whole = epoch != l.epoch || from < l.forgotten || from > l.changes
	for _, e := range l.entries {
		switch {
		case c.Whole && e.Value != nil:
			c.Records = append(c.Records, e.tell(l.changes, l.log))
		case !c.Whole && e.change > from:
			c.Records = append(c.Records, e.tell(from, l.log))
		}
	}
	return c, l.changed, l.started
}

// valueAt returns the value of a key if its newest record is the one at an offset.
func (l *Log) valueAt(key string, offset uint64) []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.entries[key]; e != nil && e.Offset == offset {
		return e.Value
	}
	return nil
}
