// Package records follows the keyed topics of the platform's store: the operators' configuration and the list of
// upstreams. In each failure domain one process reads them from the store and the others follow it; one that can't
// reach its source takes the next, or the store itself.
package records

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// Record is the newest word on a key. A nil value says that the key was dropped.
type Record struct {
	Key      string
	Value    []byte
	Position id.Position
	// Bracket is what is known of when the record was written.
	dating.TimeBounds
	// UnreadSince is a moment at which the store had none of the records that this process has not read before this one; zero
	// where none is known. It differs from the bracket's date where a source tells this process only the newest of several.
	UnreadSince time.Time
}

// Progress is told of the bytes of an answer as they come.
type Progress func(bytes int)

// Store is how the platform's store is asked. Its errors are those of package platform.
type Store struct {
	// Probe returns nil where the store answers a short question on a topic that has been read up to an offset.
	Probe func(ctx context.Context, topic string, from id.Position) error
	// Snapshot returns the newest record of each key, and the offset from which on reading misses nothing.
	Snapshot func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error)
	// Read returns the records from an offset on; it waits for the first up to wait. Where the answer is of another era than
	// the offset, records may be missing before its first one.
	Read func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error)
	// Append writes a record of the product's own topics and returns where it stands. After an error it may be written all the
	// same, also seconds later.
	Append func(ctx context.Context, topic string, r Record) (id.Position, error)
}

// ReadResult is what one reading record by record has brought. An answer of the store is bounded and may leave some for the next.
type ReadResult struct {
	Records []Record
	// Next is the offset after the last record, and End the one after the last that the store has.
	Next, End id.Position
}

// Topic is a topic of the store with what the product makes of its records.
type Topic struct {
	Name string
	// Apply takes a record whose key has a new value, or is dropped.
	Apply func(r Record) error
	// Version is the number that a value names, where keys have values whose numbers only rise; 0 is none. One that is
	// written behind a value with a higher number is late: its writer had no answer, wrote it again, and the store did
	// the first writing then.
	Version func(r Record) uint64
	// Normalise leaves out of a value what says nothing new, such as the number of a heartbeat; nil keeps all.
	Normalise func(value []byte) []byte
	// KeysAreUpstreams says that the keys are upstreams, which are gone once their record is.
	KeysAreUpstreams bool
}

// Platform is what an adapter gives: the store, the operators' topic, that of upstreams, and the name of the product's
// own for requests that are held.
type Platform struct {
	Store     Store
	Operators Topic
	Upstreams Topic
	HeldTopic string
}

// PlatformPartName is the name of the part that gives the Platform.
const PlatformPartName = "records of the platform"
