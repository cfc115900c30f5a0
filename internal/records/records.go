// Package records replicates the keyed topics of the platform's store: the operators' configuration and the list of
// upstreams. In each failure domain one process reads them from the store and the others follow it, directly or through
// each other. A process that loses its source follows the next one, or reads the store itself.
package records

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/id"
)

// Record is the newest record of a key. A nil value says that the key was dropped.
type Record struct {
	Key      string
	Value    []byte
	Position id.Position
	// TimeBounds are the times between which the record was written.
	dating.TimeBounds
	// UnreadSince is a time at which the store held none of the records that this process had not read before this one;
	// zero if unknown. It is earlier than After if the source sends only the newest of several records.
	UnreadSince time.Time
}

// Progress is called with the number of bytes received as an answer arrives.
type Progress func(bytes int)

// Store holds the calls to the platform's store. Their errors are those of package platform.
type Store struct {
	// Probe returns nil if the store answers a short request for a topic that has been read up to an offset.
	Probe func(ctx context.Context, topic string, from id.Position) error
	// Snapshot returns the newest record of each key, and the offset from which on Read returns every later record.
	Snapshot func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error)
	// Read returns the records from an offset on, and waits up to wait for the first one. If the answer is of another
	// store epoch than the offset, records before its first one may be missing.
	Read func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error)
	// Append writes a record to one of the product's own topics and returns its position. After an error the record may
	// still be written, even seconds later.
	Append func(ctx context.Context, topic string, r Record) (id.Position, error)
}

// ReadResult is the answer to one read. Its size is bounded, so more records may be left for the next read.
type ReadResult struct {
	Records []Record
	// Next is the offset after the last record returned, and End the one after the last record in the store.
	Next, End id.Position
}

// Topic is a topic of the store, and how its records are processed.
type Topic struct {
	Name string
	// Apply processes a record whose key has a new value or is dropped.
	Apply func(r Record) error
	// Version returns the version number in a value, for keys whose versions only rise; 0 if there is none. A record
	// may be written after one with a higher version: its writer got no answer and wrote again, and the store executed
	// the first write last.
	Version func(r Record) uint64
	// Normalise removes from a value what changes without meaning, such as a heartbeat's sequence number; nil if
	// nothing is removed.
	Normalise func(value []byte) []byte
	// KeysAreUpstreams says that each key is an upstream, which is removed with its record.
	KeysAreUpstreams bool
}

// Platform is what a platform adapter provides: the store, the topics of operators and upstreams, and the name of the
// product's own topic of held (quarantined) requests.
type Platform struct {
	Store     Store
	Operators Topic
	Upstreams Topic
	HeldTopic string
}

// PlatformPartName is the name of the part that provides the Platform.
const PlatformPartName = "records of the platform"
