// Package dating bounds the time of an event that is not recorded: a record of the store contains which version
// operators have published, but not when. A process knows times at which the event had not happened yet, and times at
// which some process already knew of it.
package dating

import "time"

// Evidence is how a process knows that an event had not happened at a given time.
type Evidence uint8

// The kinds of evidence.
const (
	NoEvidence Evidence = iota
	// EarlierRead is an earlier read of the store that did not return the event.
	EarlierRead
	// LongPoll is a long poll that was waiting at the store for this event.
	LongPoll
	// StoreReturn is the end of an outage of the store, for a process that had read everything before it.
	StoreReturn
)

var evidenceNames = [...]string{NoEvidence: "none", EarlierRead: "earlier reading", LongPoll: "wait", StoreReturn: "return of the store"}

// String returns the name that logs use.
func (e Evidence) String() string {
	if int(e) >= len(evidenceNames) {
		return evidenceNames[NoEvidence]
	}
	return evidenceNames[e]
}

// DateSource is the process that dated an event, and its evidence.
type DateSource struct {
	// Observer is the address of the process that observed the event.
	Observer string
	Evidence Evidence
}

// TimeBounds is a lower and an upper bound of the time of an event.
type TimeBounds struct {
	// After is a time, by the monotonic clock, at which the event had not happened yet; zero if none is known. Deadlines
	// count from it.
	After time.Time
	// KnownAt is the earliest time at which some process is known to have known of the event; zero if none is known. A
	// lower bound later than it is wrong, whichever process sent it. Without this check, one wrong bound would spread to
	// all processes that have none.
	KnownAt time.Time
	// Source is the source of After.
	Source DateSource
}

// Outcome is the result of merging the bounds that another process sent.
type Outcome uint8

// The outcomes of Merge.
const (
	// Kept means that the local lower bound stays in use, or that neither process knows one.
	Kept Outcome = iota
	// Taken means that the remote lower bound was adopted because no local one was known.
	Taken
	// Refused means that the remote lower bound is later than a time at which some process knew of the event.
	Refused
	// Withdrawn means that the local lower bound was removed, because it is later than a time at which some process knew
	// of the event; a remote one may have replaced it.
	Withdrawn
)

var outcomeNames = [...]string{Kept: "kept", Taken: "taken", Refused: "refused", Withdrawn: "withdrawn"}

// String returns the name that logs use.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Merge merges the bounds that another process sent. A local lower bound is only replaced, by an earlier one, if it is
// shown to be wrong: one that is merely earlier is also correct but less precise. If neither lower bound is valid, the
// result has none.
func (b TimeBounds) Merge(o TimeBounds) (TimeBounds, Outcome) {
	knownAt := earliest(b.KnownAt, o.KnownAt)
	remote := TimeBounds{After: o.After, KnownAt: knownAt, Source: o.Source}
	local := TimeBounds{After: b.After, KnownAt: knownAt, Source: b.Source}
	switch {
	case local.hasLowerBound() && !local.contradicted():
		if remote.contradicted() {
			return local, Refused
		}
		return local, Kept
	case remote.hasLowerBound() && !remote.contradicted():
		if local.hasLowerBound() {
			return remote, Withdrawn
		}
		return remote, Taken
	case local.hasLowerBound():
		return TimeBounds{KnownAt: knownAt}, Withdrawn
	case remote.hasLowerBound():
		return TimeBounds{KnownAt: knownAt}, Refused
	default:
		return TimeBounds{KnownAt: knownAt}, Kept
	}
}

// hasLowerBound reports whether a lower bound is known.
func (b TimeBounds) hasLowerBound() bool {
	return !b.After.IsZero()
}

// contradicted reports whether some process knew of the event before the lower bound.
func (b TimeBounds) contradicted() bool {
	return b.hasLowerBound() && !b.KnownAt.IsZero() && b.After.After(b.KnownAt)
}

// earliest returns the earlier of two times; zero means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
