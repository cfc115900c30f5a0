package facts

import (
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// listing is when an instance was first listed, and since when it is not listed any more; zero while it is. That is forgotten
// after announcementTTL.
type listing struct {
	at, unlistedAt time.Time
	// left is true if the instance had said that it leaves when its entry went.
	left bool
}

// noteListed notes that an instance is listed. One whose entry comes back is not listed anew: the list may have been restored
// from an older copy. The caller holds the lock.
func (f *Facts) noteListed(n id.Instance) {
	l, ok := f.firstListed[n]
	if !ok {
		l.at = f.now()
	}
	l.unlistedAt, l.left = time.Time{}, false
	f.firstListed[n] = l
}

// noteUnlisted notes that an instance is no longer listed; the caller holds the lock.
func (f *Facts) noteUnlisted(i *Instance) {
	now := f.now()
	unlisted := 0
	for o, l := range f.firstListed {
		switch {
		case l.unlistedAt.IsZero():
		case now.Sub(l.unlistedAt) > announcementTTL:
			delete(f.firstListed, o)
		default:
			unlisted++
		}
	}
	if unlisted >= maxAnnounced {
		delete(f.firstListed, i.ID)
		return
	}
	l := f.firstListed[i.ID]
	l.unlistedAt, l.left = now, i.Leaving || f.isLeaving(i.ID, i.Born)
	f.firstListed[i.ID] = l
}

// HasLapsed reports whether the entry of an instance that was sent a request at a given time has gone since, although the
// instance had not said that it leaves.
func (f *Facts) HasLapsed(n id.Instance, sentAt time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.firstListed[n]
	return l.unlistedAt.After(sentAt) && !l.left
}

// IsListed reports whether an incarnation of an instance is listed; one that is not known is any.
func (f *Facts) IsListed(n id.Instance, born id.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	return i != nil && !born.Before(i.Born)
}

// HasSuccessor reports whether an instance that was sent a request at a given time has a successor: another one at its address
// that was first listed later.
func (f *Facts) HasSuccessor(n id.Instance, address string, sentAt time.Time) bool {
	l := f.Instances()
	i, ok := slices.BinarySearchFunc(l, address, func(o *Instance, a string) int { return strings.Compare(o.Address, a) })
	if !ok || l[i].ID == n {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstListed[l[i].ID].at.After(sentAt)
}
