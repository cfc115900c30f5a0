package records

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

// entry is a key's newest record.
type entry struct {
	// Record's offset is that of the newest record read, which may have changed nothing.
	Record
	// change is the number of the change that brought the record.
	change uint64
	// before is the record that this one has replaced, and beforeChange the number of the change that brought it.
	before       Record
	beforeChange uint64
	// version is the number that the last value named which the product could read; 0 where it named none.
	version uint64
	// skipped is true of a record that the product could not read.
	skipped bool
	// digest is its part in the log's.
	digest uint64
	// packed is the value compressed, and patch the same on top of the value before, once a follower has asked for it.
	packed, patch []byte
}

// told is a record as followers get it: with its value, that value compressed, or a patch of the value at an offset.
type told struct {
	Record
	packed  []byte
	patched bool
	base    id.Position
	// absent is how long ago the store is known not to have had the record, and had how long ago somebody is known to
	// have had it; below 0 where that is not known.
	absent, had time.Duration
}

// tell says what a follower needs that may have the record before, or not; long values are compressed once for all
// followers.
func (e *entry) tell(hasBefore bool, now time.Time, l *log.Logger) told {
	t := told{Record: e.Record, absent: sinceKnown(now, e.After), had: sinceKnown(now, e.KnownAt)}
	switch {
	case len(e.Value) < packFrom:
	case hasBefore && e.before.Value != nil:
		e.patch = packOnce(e.patch, e.Value, e.before.Value, l)
		t.packed, t.patched, t.base = e.patch, true, e.before.Position
	default:
		e.packed = packOnce(e.packed, e.Value, nil, l)
		t.packed = e.packed
	}
	return t
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
