package facts

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

// lapseGrace is how long an upstream whose entry lapsed while the list was away is kept: if it lives, its entry is back
// within about two seconds (the users' letter).
const lapseGrace = 2 * time.Second

// AbsenceTracker decides when an upstream without an entry in the list is taken as gone: at once, or after a grace where the
// list was away. It is used by one goroutine.
type AbsenceTracker struct {
	facts *Facts
	now   func() time.Time
	log   *log.Logger
	// until is the end of the grace after the list's return.
	until time.Time
	due   map[id.Instance]absence
}

// absence is an upstream that the list lacks: until when it may come back, and how far the list had been read that lacked
// it. What is read during the grace may be newer than an entry that brings the upstream back.
type absence struct {
	until  time.Time
	offset id.Position
}

// NewAbsenceTracker makes an empty set of absences.
func NewAbsenceTracker(f *Facts, now func() time.Time, l *log.Logger) *AbsenceTracker {
	return &AbsenceTracker{facts: f, now: now, log: l, due: map[id.Instance]absence{}}
}

// NoteListReturned notes that the list is to be had again after it was away.
func (a *AbsenceTracker) NoteListReturned() {
	a.until = a.now().Add(lapseGrace)
}

// ExtendGrace takes over another process's grace, which may have seen the list go and return.
func (a *AbsenceTracker) ExtendGrace(t time.Time) {
	if t.After(a.until) {
		a.until = t
	}
}

// RemainingGrace is what is left of the grace.
func (a *AbsenceTracker) RemainingGrace() time.Duration {
	return max(0, a.until.Sub(a.now()))
}

// NoteEntry takes a change of the list: an upstream's entry was written, or is gone.
func (a *AbsenceTracker) NoteEntry(n id.Instance, listed bool) {
	if listed {
		delete(a.due, n)
		return
	}
	if a.facts.Instance(n) != nil {
		a.due[n] = absence{until: a.until, offset: a.facts.ListPosition()}
	}
}

// SetListed takes a whole list: upstreams that are not in it have no entry.
func (a *AbsenceTracker) SetListed(l []id.Instance) {
	listed := map[id.Instance]bool{}
	for _, n := range l {
		listed[n] = true
	}
	for _, n := range a.facts.known() {
		if !listed[n] {
			a.due[n] = absence{until: a.until, offset: a.facts.ListPosition()}
		}
	}
	a.Sweep()
}

// Sweep drops the upstreams whose grace is over.
func (a *AbsenceTracker) Sweep() {
	now := a.now()
	for n, due := range a.due {
		if now.Before(due.until) {
			continue
		}
		a.log.Info().Str("instance", string(n)).Msg("upstream gone from the list")
		a.facts.DropInstance(n, due.offset)
		delete(a.due, n)
	}
}
