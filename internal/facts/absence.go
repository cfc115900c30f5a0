package facts

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

// absenceGrace is how long an upstream is kept whose entry expired while the upstream list was unavailable. A live
// upstream renews its entry within about two seconds.
const absenceGrace = 2 * time.Second

// AbsenceTracker decides when to remove an upstream that has no entry in the upstream list: at once, or after a grace
// period if the list was unavailable. It is not safe for concurrent use.
type AbsenceTracker struct {
	facts *Facts
	now   func() time.Time
	log   *log.Logger
	// graceUntil is the end of the grace period that follows an outage of the list.
	graceUntil time.Time
	pending    map[id.Instance]absence
}

// absence is an upstream that is missing from the list: until when it is kept, and the offset up to which the list had
// been read when it was found missing. What is read during the grace period may be newer than an entry that restores the
// upstream.
type absence struct {
	graceUntil time.Time
	listOffset id.Position
}

// NewAbsenceTracker creates a tracker without absences.
func NewAbsenceTracker(f *Facts, now func() time.Time, l *log.Logger) *AbsenceTracker {
	return &AbsenceTracker{facts: f, now: now, log: l, pending: map[id.Instance]absence{}}
}

// NoteListReturned starts the grace period: the list is available again after an outage.
func (a *AbsenceTracker) NoteListReturned() {
	a.graceUntil = a.now().Add(absenceGrace)
}

// ExtendGrace extends the grace period to that of another process, which may have seen an outage that this one missed.
func (a *AbsenceTracker) ExtendGrace(t time.Time) {
	if t.After(a.graceUntil) {
		a.graceUntil = t
	}
}

// RemainingGrace returns the remaining time of the grace period.
func (a *AbsenceTracker) RemainingGrace() time.Duration {
	return max(0, a.graceUntil.Sub(a.now()))
}

// NoteEntry handles a change of the list: an upstream's entry was written or removed.
func (a *AbsenceTracker) NoteEntry(n id.Instance, listed bool) {
	if listed {
		delete(a.pending, n)
		return
	}
	if a.facts.Instance(n) != nil {
		a.pending[n] = absence{graceUntil: a.graceUntil, listOffset: a.facts.ListPosition()}
	}
}

// SetListed handles a snapshot of the list: upstreams that are not in it have no entry.
func (a *AbsenceTracker) SetListed(l []id.Instance) {
	listed := map[id.Instance]bool{}
	for _, n := range l {
		listed[n] = true
	}
	for _, n := range a.facts.instanceIDs() {
		if !listed[n] {
			a.pending[n] = absence{graceUntil: a.graceUntil, listOffset: a.facts.ListPosition()}
		}
	}
	a.Sweep()
}

// Sweep removes the upstreams whose grace period is over.
func (a *AbsenceTracker) Sweep() {
	now := a.now()
	for n, absent := range a.pending {
		if now.Before(absent.graceUntil) {
			continue
		}
		a.log.Info().Str("instance", string(n)).Msg("upstream removed: it has no entry in the list")
		a.facts.DropInstance(n, absent.listOffset)
		delete(a.pending, n)
	}
}
