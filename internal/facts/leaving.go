package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// leavingIncarnation is an incarnation that has declared itself that it leaves.
type leavingIncarnation struct {
	born id.Incarnation
	// lastListedAt is when the local copy of the list was last known to contain the instance.
	lastListedAt time.Time
}

// MarkLeaving notes that an upstream declared in an answer that it leaves. This is permanent for the incarnation. It
// returns false if that was known already.
func (f *Facts) MarkLeaving(n id.Instance, born id.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isLeaving(n, born) {
		return false
	}
	f.addLeaving(n, born)
	f.cachedList.Store(nil)
	f.notify()
	return true
}

// addLeaving marks an incarnation as leaving; the caller holds the lock.
func (f *Facts) addLeaving(n id.Instance, born id.Incarnation) {
	now := f.now()
	if len(f.leaving) >= maxAnnounced {
		f.sweepLeaving(now)
	}
	f.leaving[n] = leavingIncarnation{born: born, lastListedAt: now}
}

// LeavingSource is the source of the information that an upstream leaves.
type LeavingSource int

// The sources: the upstream's entry in the list; the upstream itself, in an answer or in an entry that the list has
// lost; the upstream's stager.
const (
	LeavingByEntry LeavingSource = iota
	LeavingByAnswer
	LeavingByStager
)

// LeavingSource returns the source of the information that a listed upstream leaves. It must only be called for an
// upstream that does.
func (f *Facts) LeavingSource(n id.Instance) LeavingSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	switch {
	case i != nil && i.Leaving:
		return LeavingByEntry
	case i != nil && f.isLeaving(n, i.Born):
		return LeavingByAnswer
	default:
		return LeavingByStager
	}
}

// AnnouncedLeaving reports whether an incarnation has declared itself that it leaves.
func (f *Facts) AnnouncedLeaving(n id.Instance, born id.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isLeaving(n, born)
}

// isLeaving is AnnouncedLeaving for callers that hold the lock.
func (f *Facts) isLeaving(n id.Instance, born id.Incarnation) bool {
	l, ok := f.leaving[n]
	return ok && !l.born.Before(born)
}

// sweepLeaving forgets instances that the local copy of the list has lacked for longer than announcementTTL. They are
// not forgotten earlier, because the list may be restored from a copy that is older by seconds. The caller holds the
// lock.
func (f *Facts) sweepLeaving(now time.Time) {
	for n, l := range f.leaving {
		switch {
		case f.instances[n] != nil:
			l.lastListedAt = now
			f.leaving[n] = l
		case now.Sub(l.lastListedAt) > announcementTTL:
			delete(f.leaving, n)
		}
	}
}
