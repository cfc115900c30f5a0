package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// leaver is a start of an instance that has said itself that it leaves.
type leaver struct {
	born id.Incarnation
	// listed is when the own list was last known to have the instance.
	listed time.Time
}

// MarkLeaving notes that a start of a listed instance has said itself, in an answer, that it leaves. That holds for the start for
// good. It is false where that was known.
func (f *Facts) MarkLeaving(n id.Instance, born id.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaves(n, born) {
		return false
	}
	f.addLeaver(n, born)
	f.list.Store(nil)
	f.notify()
	return true
}

// addLeaver notes a start that leaves; the caller holds the lock.
func (f *Facts) addLeaver(n id.Instance, born id.Incarnation) {
	now := f.now()
	if len(f.leavers) >= mostHeard {
		f.sweepLeavers(now)
	}
	f.leavers[n] = leaver{born: born, listed: now}
}

// LeavingSource is who says that an upstream leaves.
type LeavingSource int

// The sources: its entry in the list, itself in an answer or in an entry that the list has lost, and the stager beside it.
const (
	LeavingByEntry LeavingSource = iota
	LeavingByAnswer
	LeavingByStager
)

// LeavingSource is who says that a listed upstream leaves that does.
func (f *Facts) LeavingSource(n id.Instance) LeavingSource {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	switch {
	case i != nil && i.Leaving:
		return LeavingByEntry
	case i != nil && f.leaves(n, i.Born):
		return LeavingByAnswer
	default:
		return LeavingByStager
	}
}

// AnnouncedLeaving says whether a start of an instance has said itself that it leaves.
func (f *Facts) AnnouncedLeaving(n id.Instance, born id.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaves(n, born)
}

// leaves is AnnouncedLeaving for callers that hold the lock.
func (f *Facts) leaves(n id.Instance, born id.Incarnation) bool {
	l, ok := f.leavers[n]
	return ok && !l.born.Before(born)
}

// sweepLeavers forgets instances that the own list has lacked for long: a list may come back older by seconds. The caller
// holds the lock.
func (f *Facts) sweepLeavers(now time.Time) {
	for n, l := range f.leavers {
		switch {
		case f.instances[n] != nil:
			l.listed = now
			f.leavers[n] = l
		case now.Sub(l.listed) > wordLife:
			delete(f.leavers, n)
		}
	}
}
