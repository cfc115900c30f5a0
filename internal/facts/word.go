package facts

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Announcement is what the list of the stager beside an upstream says of an instance at that upstream's address: that it has left,
// or that it is back after that. Of two words on an instance the one with the later position is right, whichever came first;
// a word that comes late, twice or out of order therefore changes nothing.
type Announcement struct {
	Instance id.Instance
	// Born is the start of the instance that the word is on; 0 where that is not known.
	Born    id.Incarnation
	Address string
	// Left is true of an instance that says that it leaves, or is gone from the list.
	Left bool
	// Position is how far the list had been read when it said so, or the place of the new entry of one that is back.
	Position id.Position
}

// standing is all that words have said of an instance's newest start.
type standing struct {
	address string
	born    id.Incarnation
	// left says that some word named it as left; leftAt and backAt are the highest offsets of words of each kind.
	left           bool
	leftAt, backAt id.Position
	// since is when the words last changed what is told of the instance, or were last heard.
	since time.Time
}

// take notes a word. One on an earlier start changes nothing, and one on a later start replaces all before it.
func (s *standing) take(w Announcement) {
	if w.Born.Before(s.born) {
		return
	}
	if s.born.Before(w.Born) {
		s.left, s.leftAt, s.backAt = false, 0, 0
	}
	s.born = max(s.born, w.Born)
	if w.Left {
		s.left, s.leftAt = true, max(s.leftAt, w.Position)
		return
	}
	s.backAt = max(s.backAt, w.Position)
}

// gone says whether an instance has left whose entry in the own list is at an offset and of a start. Only an entry that was
// written after the word brings it back, or one of a later start: it shows that the instance lives, while an older entry is
// what a list says that lags behind.
func (s *standing) gone(seen id.Position, born id.Incarnation) bool {
	return s.left && !s.born.Before(born) && s.leftAt >= max(seen, s.backAt)
}

const (
	// mostTold bounds the instances that a stager tells of; those of an address follow each other seconds apart.
	mostTold = 4
	// mostHeard bounds the instances that a gateway has words on: mostTold for each of the 350 nodes of the users' target,
	// three times over.
	mostHeard = 4096
	// wordLife is how long a word is kept on an instance that the own list lacks; a list lags behind by seconds.
	wordLife = time.Minute
)

// watch follows which instances leave the address of the own upstream.
type watch struct {
	address string
	of      map[id.Instance]*standing
	// changed closes with the next change of what is to be told.
	changed chan struct{}
}

// at says whether an address is watched.
func (w *watch) at(address string) bool {
	return w.of != nil && w.address == address
}

// WatchAddress makes the facts remember which instances leave an address; a stager watches that of its upstream.
func (f *Facts) WatchAddress(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if address == "" || f.watch.at(address) {
		return
	}
	f.watch.address, f.watch.of = address, map[id.Instance]*standing{}
	for _, i := range f.instances {
		f.watchEntry(i)
	}
}

// Announcements returns the words on the watched address that are new since a moment, and a channel that closes when there are
// others.
func (f *Facts) Announcements(since time.Time) ([]Announcement, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var l []Announcement
	for n, s := range f.watch.of {
		if s.since.Before(since) {
			continue
		}
		w := Announcement{Instance: n, Address: s.address, Born: s.born, Left: s.gone(0, 0), Position: s.leftAt}
		if !w.Left {
			w.Position = s.backAt
		}
		l = append(l, w)
	}
	return l, f.watch.changed
}

// watchEntry takes an entry of the list; the caller holds the lock. One that is as it should be is only told of where it
// was told to have left.
func (f *Facts) watchEntry(i *Instance) {
	left := i.Leaving || f.leaves(i.ID, i.Born)
	if f.watch.at(i.Address) && (left || f.watch.of[i.ID] != nil) {
		f.watched(Announcement{Instance: i.ID, Born: i.Born, Left: left, Position: i.ListPosition})
	}
}

// watched notes what the list says of an instance at the watched address; the caller holds the lock.
func (f *Facts) watched(w Announcement) {
	n := w.Instance
	s := f.watch.of[n]
	if s == nil {
		s = &standing{address: f.watch.address}
		f.watch.of[n] = s
	}
	was, start := s.gone(0, 0), s.born
	s.take(w)
	if s.gone(0, 0) == was && s.born == start {
		return
	}
	s.since = f.now()
	if len(f.watch.of) > mostTold {
		f.forgetOldest(n)
	}
	close(f.watch.changed)
	f.watch.changed = make(chan struct{})
}

// forgetOldest forgets the instance that was told of first, but not one; the caller holds the lock.
func (f *Facts) forgetOldest(but id.Instance) {
	oldest := but
	for n, s := range f.watch.of {
		if n != but && (oldest == but || s.since.Before(f.watch.of[oldest].since)) {
			oldest = n
		}
	}
	delete(f.watch.of, oldest)
}

// ApplyAnnouncement takes a word of a stager. It is true where that makes an upstream leave, or brings it back, that the own list has as
// ready.
func (f *Facts) ApplyAnnouncement(w Announcement) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[w.Instance]
	if i != nil && i.Address != w.Address {
		return false
	}
	s := f.words[w.Instance]
	if s == nil && len(f.words) >= mostHeard {
		return false
	}
	if s == nil || s.address != w.Address {
		s = &standing{address: w.Address}
		f.words[w.Instance] = s
	}
	was := i != nil && s.gone(i.ListPosition, i.Born)
	s.take(w)
	s.since = f.now()
	if i == nil || i.Leaving || s.gone(i.ListPosition, i.Born) == was {
		return false
	}
	f.list.Store(nil)
	f.notify()
	return true
}

// effective is an entry as decisions see it: one that has left by a stager's word, or by its own, is leaving whatever the own
// list says. The caller holds the lock.
func (f *Facts) effective(i *Instance) *Instance {
	s := f.words[i.ID]
	told := s != nil && s.address == i.Address && s.gone(i.ListPosition, i.Born)
	if i.Leaving || !told && !f.leaves(i.ID, i.Born) {
		return i
	}
	l := *i
	l.Leaving = true
	return &l
}

// SweepAnnouncements forgets what was said of instances that the own list has lacked for long. On those that it has they are kept
// whether or not their stagers still say so: one that has started again may not know.
func (f *Facts) SweepAnnouncements() {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	f.sweepLeavers(now)
	for n, s := range f.words {
		if f.instances[n] == nil && now.Sub(s.since) > wordLife {
			delete(f.words, n)
		}
	}
}

// NoteListPosition notes an offset of the list that has been read.
func (f *Facts) NoteListPosition(offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readTo = max(f.readTo, offset)
}

// ListPosition is the highest offset of the list that this process knows to have read.
func (f *Facts) ListPosition() id.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readTo
}
