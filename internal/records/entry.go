package records

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

// entry is the newest record of a key.
type entry struct {
	// Record has the position of the newest record read, even if that did not change the value.
	Record
	// change is the number of the change that brought the record.
	change uint64
	// previous is the record that this one replaced, and previousChange the number of the change that brought it.
	previous       Record
	previousChange uint64
	// version is the version number in the last value that could be decoded; 0 if it has none.
	version uint64
	// unreadable is true if the record could not be decoded.
	unreadable bool
	// digest is the record's contribution to the log's digest.
	digest uint64
	// compressed is the compressed value, and patch the value compressed against the previous one. Both are filled when
	// a follower first needs them.
	compressed, patch []byte
}

// outgoingRecord is a record as it is sent to followers: with its value, the compressed value, or a patch of the value
// at an offset.
type outgoingRecord struct {
	Record
	compressed []byte
	isPatch    bool
	patchBase  id.Position
	// absentAge is the time since the store was known not to hold the record, and knownAge the time since some process
	// is known to have held it; negative if unknown.
	absentAge, knownAge time.Duration
}

// outgoing returns the record for a follower, as a patch if the follower has the previous one. Large values are
// compressed once for all followers.
func (e *entry) outgoing(hasPrevious bool, now time.Time, l *log.Logger) outgoingRecord {
	t := outgoingRecord{Record: e.Record, absentAge: ageOrUnknown(now, e.After), knownAge: ageOrUnknown(now, e.KnownAt)}
	switch {
	case len(e.Value) < compressThreshold:
	case hasPrevious && e.previous.Value != nil:
		e.patch = compressOnce(e.patch, e.Value, e.previous.Value, l)
		t.compressed, t.isPatch, t.patchBase = e.patch, true, e.previous.Position
	default:
		e.compressed = compressOnce(e.compressed, e.Value, nil, l)
		t.compressed = e.compressed
	}
	return t
}

// compressOnce returns the cached result, or compresses the value if there is none.
func compressOnce(cached, value, base []byte, l *log.Logger) []byte {
	if cached != nil {
		return cached
	}
	packed, err := compress(value, base)
	if err != nil {
		l.Error().Err(err).Msg("compressing a record failed")
		return nil
	}
	return packed
}
