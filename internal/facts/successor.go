package facts

import (
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// listing is when an instance was first listed, and when that is forgotten; zero while the instance is listed.
type listing struct {
	at, forgetAt time.Time
}

// noteListed notes that an instance is listed. One whose entry comes back is not listed anew: the list may have been restored
// from an older copy. The caller holds the lock.
func (f *Facts) noteListed(n id.Instance) {
	l, ok := f.firstListed[n]
	if !ok {
		l.at = f.now()
	}
	l.forgetAt = time.Time{}
	f.firstListed[n] = l
}

// noteUnlisted notes that an instance is no longer listed; the caller holds the lock.
func (f *Facts) noteUnlisted(n id.Instance) {
	now := f.now()
	unlisted := 0
	for o, l := range f.firstListed {
		switch {
		case l.forgetAt.IsZero():
		case now.After(l.forgetAt):
			delete(f.firstListed, o)
		default:
			unlisted++
		}
	}
	if unlisted >= maxAnnounced {
		delete(f.firstListed, n)
		return
	}
	l := f.firstListed[n]
	l.forgetAt = now.Add(announcementTTL)
	f.firstListed[n] = l
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
