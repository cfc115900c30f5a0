// Package dating brackets the moment of an event whose time nobody was told: a record of the store says what operators
// have named, and not when. A process knows moments at which the event had not happened yet, and moments at which
// somebody already knew of it.
package dating

import "time"

// Evidence is how a process knows that an event had not happened at a moment.
type Evidence uint8

// The kinds of evidence.
const (
	NoEvidence Evidence = iota
	// EarlierRead is a reading of the store that did not show the event yet.
	EarlierRead
	// LongPoll is a question that had waited at the store for just this event.
	LongPoll
	// StoreReturn is the end of a time in which the store was away for the process that had read all before it.
	StoreReturn
)

var evidenceNames = [...]string{NoEvidence: "none", EarlierRead: "earlier reading", LongPoll: "wait", StoreReturn: "return of the store"}

// String names the evidence for a log line.
func (e Evidence) String() string {
	if int(e) >= len(evidenceNames) {
		return evidenceNames[NoEvidence]
	}
	return evidenceNames[e]
}

// DateSource is who dated an event, and how.
type DateSource struct {
	// Observer is the address of the process that saw it.
	Observer string
	Evidence Evidence
}

// TimeBounds is what is known of the moment of an event.
type TimeBounds struct {
	// After is a moment, by the steady clock, at which the event had not happened yet; zero where none is known. It is the date that
	// deadlines are counted from.
	After time.Time
	// KnownAt is the earliest moment at which some process is known to have known of the event; zero where none is known. A date
	// behind it is wrong, whoever tells it; without this check one wrong date goes round to all processes that have none.
	KnownAt time.Time
	// Source is that of After.
	Source DateSource
}

// Outcome is what became of what another process tells of an event.
type Outcome uint8

// The outcomes of Merge.
const (
	// Kept is a date that stands, or that is still not known.
	Kept Outcome = iota
	// Taken is a date where none was known.
	Taken
	// Refused is a date that can't be right.
	Refused
	// Withdrawn is the own date, which can't be right; another one may have taken its place.
	Withdrawn
)

var outcomeNames = [...]string{Kept: "kept", Taken: "taken", Refused: "refused", Withdrawn: "withdrawn"}

// String names the outcome for a log line.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Merge adds what another process tells. A date that is known only ever moves earlier, and only where it is shown to be
// wrong: another one that is earlier still is as true and says less. Where no date is left, none is known.
func (b TimeBounds) Merge(o TimeBounds) (TimeBounds, Outcome) {
	had := earliest(b.KnownAt, o.KnownAt)
	told := TimeBounds{After: o.After, KnownAt: had, Source: o.Source}
	own := TimeBounds{After: b.After, KnownAt: had, Source: b.Source}
	switch {
	case own.dated() && !own.wrong():
		if told.wrong() {
			return own, Refused
		}
		return own, Kept
	case told.dated() && !told.wrong():
		if own.dated() {
			return told, Withdrawn
		}
		return told, Taken
	case own.dated():
		return TimeBounds{KnownAt: had}, Withdrawn
	case told.dated():
		return TimeBounds{KnownAt: had}, Refused
	default:
		return TimeBounds{KnownAt: had}, Kept
	}
}

// dated says whether a date is known.
func (b TimeBounds) dated() bool {
	return !b.After.IsZero()
}

// wrong says whether somebody knew of the event before the date.
func (b TimeBounds) wrong() bool {
	return b.dated() && !b.KnownAt.IsZero() && b.After.After(b.KnownAt)
}

// earliest returns the earlier of two moments; zero is none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}
