package records

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Batch is what one answer of the store, or of another process, says of a topic.
type Batch struct {
	Records []Record
	// Snapshot says that the records are the newest of all keys.
	Snapshot bool
	// Next is the offset of the first record that has not been read.
	Next id.Position
	// ConfirmedAt is when the store confirmed that no record before Next is missing.
	ConfirmedAt time.Time
	// CaughtUpAt is a time at which the store held nothing from Next on; zero if unknown. It is the time of the
	// request, as the answer may have been in transfer for long.
	CaughtUpAt time.Time
	// FromStore says that this process itself read the batch from the store, and Uninterrupted that it has polled the
	// store without being suspended since its last successful read.
	FromStore, Uninterrupted bool
	// LastFailedAt is when the last failed request of this process since its last successful read began; zero if there
	// was none.
	LastFailedAt time.Time
	// FirstReadAt is when the source first read the topic; zero if unknown.
	FirstReadAt time.Time
	// AvailableSince is the start of the period up to ConfirmedAt over which the source, or a process of another failure
	// domain, knows that the store served some process without a break longer than maxFreshAge; zero if unknown.
	AvailableSince time.Time
	// HasGap says that the source skipped records from GapFrom on by reading a snapshot.
	HasGap  bool
	GapFrom id.Position
	// OutageEnd is the end of the last outage of the store for the source.
	OutageEnd outageEnd
	// GraceUntil is the end of the source's grace period, within which removed keys may return.
	GraceUntil time.Time
}
