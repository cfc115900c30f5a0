package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// ended is the newest start of an instance that is gone from the list.
type ended struct {
	born id.Incarnation
	// until is when it is forgotten.
	until time.Time
}

// end remembers the start of an instance that is gone, for as long as a word: its list, or a source of it, may lag behind by
// seconds and bring an earlier one. The caller holds the lock.
func (f *Facts) end(i *Instance) {
	now := f.now()
	for n, e := range f.ended {
		if now.After(e.until) {
			delete(f.ended, n)
		}
	}
	if i.Born > 0 && len(f.ended) < mostHeard {
		f.ended[i.ID] = ended{born: i.Born, until: now.Add(wordLife)}
	}
}

// outlived says whether an entry is of a start that a later one of the same ID is known to have followed. The caller holds the
// lock.
func (f *Facts) outlived(i, old *Instance) bool {
	if old != nil && i.Born.Before(old.Born) {
		return true
	}
	return i.Born.Before(f.ended[i.ID].born)
}
