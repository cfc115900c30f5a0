package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// endedIncarnation is the newest incarnation of an instance that is no longer listed.
type endedIncarnation struct {
	born id.Incarnation
	// forgetAt is when it is forgotten.
	forgetAt time.Time
}

// rememberEnded stores the incarnation of an instance that is no longer listed, for as long as an announcement: the list
// or a replica of it may lag by seconds and bring an earlier incarnation. The caller holds the lock.
func (f *Facts) rememberEnded(i *Instance) {
	now := f.now()
	for n, e := range f.ended {
		if now.After(e.forgetAt) {
			delete(f.ended, n)
		}
	}
	if i.Born > 0 && len(f.ended) < maxAnnounced {
		f.ended[i.ID] = endedIncarnation{born: i.Born, forgetAt: now.Add(announcementTTL)}
	}
}

// isOutdated reports whether an entry belongs to an incarnation that is older than the newest one known of its instance.
// The caller holds the lock.
func (f *Facts) isOutdated(i, old *Instance) bool {
	if old != nil && i.Born.Before(old.Born) {
		return true
	}
	return i.Born.Before(f.ended[i.ID].born)
}
