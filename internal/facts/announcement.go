package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Announcement is a stager's statement about an instance at its upstream's address, according to the stager's copy of
// the upstream list: the instance has left, or is back. The announcement with the highest position wins, so
// announcements that are late, duplicated or out of order have no effect.
type Announcement struct {
	Instance id.Instance
	// Born is the incarnation that the announcement is about, or 0 if it is not known.
	Born    id.Incarnation
	Address string
	// Left is true if the instance is leaving or is no longer listed.
	Left bool
	// Position is how far the list had been read when the instance had left, or the position of the new entry of an
	// instance that is back.
	Position id.Position
}

// announcementState is the merged state of all announcements about the newest incarnation of an instance.
type announcementState struct {
	address string
	born    id.Incarnation
	// departed is true once an announcement said that the instance has left. departedAt and returnedAt are the highest
	// positions of announcements that it has left, or is back.
	departed               bool
	departedAt, returnedAt id.Position
	// changedAt is when the announcements last changed the state of the instance or, for received ones, when the last
	// one arrived.
	changedAt time.Time
}

// apply merges an announcement. One about an earlier incarnation has no effect, and one about a later incarnation
// replaces the state.
func (s *announcementState) apply(w Announcement) {
	if w.Born.Before(s.born) {
		return
	}
	if s.born.Before(w.Born) {
		s.departed, s.departedAt, s.returnedAt = false, 0, 0
	}
	s.born = max(s.born, w.Born)
	if w.Left {
		s.departed, s.departedAt = true, max(s.departedAt, w.Position)
		return
	}
	s.returnedAt = max(s.returnedAt, w.Position)
}

// hasLeft reports whether an instance has left whose entry in the local copy of the list has the given position and
// incarnation. Only an entry that was written after the announcement, or one of a later incarnation, shows that the
// instance is alive; an older entry comes from a list that lags.
func (s *announcementState) hasLeft(position id.Position, born id.Incarnation) bool {
	return s.departed && !s.born.Before(born) && s.departedAt >= max(position, s.returnedAt)
}

const (
	// maxWatched limits the instances that a stager announces; those at one address follow each other seconds apart.
	maxWatched = 4
	// maxAnnounced limits the instances for which a gateway keeps announcements: maxWatched for each of 350 nodes, three
	// times over.
	maxAnnounced = 4096
	// announcementTTL is how long an announcement is kept about an instance that is not in the local copy of the list,
	// which lags by seconds.
	announcementTTL = time.Minute
)

// addressWatch tracks which instances leave the address of this stager's upstream.
type addressWatch struct {
	address   string
	instances map[id.Instance]*announcementState
	// changed closes at the next change of the announcements.
	changed chan struct{}
}

// covers reports whether an address is watched.
func (w *addressWatch) covers(address string) bool {
	return w.instances != nil && w.address == address
}

// WatchAddress starts tracking which instances leave an address; a stager watches its upstream's.
func (f *Facts) WatchAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "" || f.watch.covers(address) {
		return
	}
	f.watch.address, f.watch.instances = address, map[id.Instance]*announcementState{}
	for _, i := range f.instances {
		f.watchEntry(i)
	}
}

// Announcements returns the announcements about the watched address that have changed since the given time, and a
// channel that closes at the next change.
func (f *Facts) Announcements(since time.Time) ([]Announcement, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []Announcement
	for n, s := range f.watch.instances {
		if s.changedAt.Before(since) {
			continue
		}
		w := Announcement{Instance: n, Address: s.address, Born: s.born, Left: s.hasLeft(0, 0), Position: s.departedAt}
		if !w.Left {
			w.Position = s.returnedAt
		}
		l = append(l, w)
	}
	return l, f.watch.changed
}

// watchEntry handles an entry of the list at the watched address; the caller holds the lock. An instance that is ready
// is announced only if its departure was announced before.
func (f *Facts) watchEntry(i *Instance) {
	left := i.Leaving || f.isLeaving(i.ID, i.Born)
	if f.watch.covers(i.Address) && (left || f.watch.instances[i.ID] != nil) {
		f.recordWatched(Announcement{Instance: i.ID, Born: i.Born, Left: left, Position: i.ListPosition})
	}
}

// recordWatched applies a change of the list to an instance at the watched address; the caller holds the lock.
func (f *Facts) recordWatched(w Announcement) {
	n := w.Instance
	s := f.watch.instances[n]
	if s == nil {
		s = &announcementState{address: f.watch.address}
		f.watch.instances[n] = s
	}
	wasLeft, previousBorn := s.hasLeft(0, 0), s.born
	s.apply(w)
	if s.hasLeft(0, 0) == wasLeft && s.born == previousBorn {
		return
	}
	s.changedAt = f.now()
	if len(f.watch.instances) > maxWatched {
		f.forgetOldest(n)
	}
	close(f.watch.changed)
	f.watch.changed = make(chan struct{})
}

// forgetOldest removes the instance whose announcement is the oldest, other than the given one; the caller holds the
// lock.
func (f *Facts) forgetOldest(except id.Instance) {
	oldest := except
	for n, s := range f.watch.instances {
		if n != except && (oldest == except || s.changedAt.Before(f.watch.instances[oldest].changedAt)) {
			oldest = n
		}
	}
	delete(f.watch.instances, oldest)
}

// ApplyAnnouncement applies a stager's announcement. It returns true if an upstream that the local copy of the list has
// as ready thereby becomes leaving, or ready again.
func (f *Facts) ApplyAnnouncement(w Announcement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[w.Instance]
	if i != nil && i.Address != w.Address {
		return false
	}
	s := f.announcements[w.Instance]
	if s == nil && len(f.announcements) >= maxAnnounced {
		return false
	}
	if s == nil || s.address != w.Address {
		s = &announcementState{address: w.Address}
		f.announcements[w.Instance] = s
	}
	wasLeft := i != nil && s.hasLeft(i.ListPosition, i.Born)
	s.apply(w)
	s.changedAt = f.now()
	if i == nil || i.Leaving || s.hasLeft(i.ListPosition, i.Born) == wasLeft {
		return false
	}
	f.cachedList.Store(nil)
	f.notify()
	return true
}

// withAnnouncedLeaving returns an entry of the list, marked as leaving if a stager or the instance itself has announced
// that the instance leaves, whatever the local copy of the list contains. The caller holds the lock.
func (f *Facts) withAnnouncedLeaving(i *Instance) *Instance {
	s := f.announcements[i.ID]
	announced := s != nil && s.address == i.Address && s.hasLeft(i.ListPosition, i.Born)
	if i.Leaving || !announced && !f.isLeaving(i.ID, i.Born) {
		return i
	}
	l := *i
	l.Leaving = true
	return &l
}

// SweepAnnouncements drops the announcements about instances that the local copy of the list has lacked for longer than
// announcementTTL. Those about listed instances are kept even if their stagers no longer send them, because a restarted
// stager may have lost them.
func (f *Facts) SweepAnnouncements() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.sweepLeaving(now)
	for n, s := range f.announcements {
		if f.instances[n] == nil && now.Sub(s.changedAt) > announcementTTL {
			delete(f.announcements, n)
		}
	}
}

// NoteListPosition notes that the upstream list has been read up to a position.
func (f *Facts) NoteListPosition(offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listPosition = max(f.listPosition, offset)
}

// ListPosition returns the highest position up to which this process knows the upstream list to have been read.
func (f *Facts) ListPosition() id.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listPosition
}
