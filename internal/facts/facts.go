// Package facts holds what a process knows of the configuration, the published model versions and the upstreams. Sources
// update the facts; decisions read them. A fact is replaced as a whole and never returns to an older revision.
package facts

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
)

// Held is a version of a model that an upstream holds completely and serves.
type Held struct {
	Model    id.Model
	Revision id.Revision
}

// Instance is one incarnation of an upstream, as in the upstream list.
type Instance struct {
	ID id.Instance
	// Born identifies the incarnation of an ID; facts about one incarnation don't apply to the next.
	Born    id.Incarnation
	Pool    id.Pool
	Address string
	Domain  id.Domain
	Slots   int
	Leaving bool
	// Cold is true while the upstream warms up and accepts requests only at the cold rate of its pool.
	Cold bool
	Held []Held
	// ListPosition is the position of the entry in the upstream list; of two entries, the one with the higher position
	// was written later.
	ListPosition id.Position
}

// HeldRevision returns the revision of a model in a list, or 0 if the list doesn't contain the model.
func HeldRevision(l []Held, m id.Model) id.Revision {
	for _, h := range l {
		if h.Model == m {
			return h.Revision
		}
	}
	return 0
}

// Facts holds the facts of one process; it is safe for concurrent use.
type Facts struct {
	catalog atomic.Pointer[catalog.Catalog]
	now     func() time.Time

	mu sync.Mutex
	// storeAnsweredAt is when the platform's store last answered, as far as known.
	storeAnsweredAt time.Time
	// wanted lists the published versions of each model, oldest first.
	wanted    map[id.Model][]Wanted
	instances map[id.Instance]*Instance
	// ended is the newest incarnation of each instance that is no longer listed.
	ended map[id.Instance]endedIncarnation
	// firstListed is when each listed instance was first, and also instances that are no longer listed, for a while.
	firstListed map[id.Instance]listing
	// cachedList is the list that readers share, or nil if the entries have changed since it was built.
	cachedList atomic.Pointer[[]*Instance]
	changed    chan struct{}
	// configOffset is the newest offset of the operators' records that any process is known to have read.
	configOffset        id.Position
	configOffsetChanged chan struct{}
	// gateways are the gateways of this failure domain that were seen recently, by address, with the time until which
	// they count.
	gateways map[string]time.Time
	// listPosition is the highest position of the upstream list that is known to have been read.
	listPosition id.Position
	// watch collects the announcements that this process sends about its own upstream's address; announcements are those
	// received from other stagers.
	watch         addressWatch
	announcements map[id.Instance]*announcementState
	// leaving are the incarnations that have declared themselves that they leave.
	leaving map[id.Instance]leavingIncarnation
	// evacuated are the failure domains that operators have evacuated, with the time at which this process learnt of it. The
	// map is replaced at each change, as every choice of an upstream reads it.
	evacuated atomic.Pointer[map[id.Domain]time.Time]
}

// New creates empty facts.
func New(now func() time.Time) *Facts {
	f := &Facts{
		now: now, wanted: map[id.Model][]Wanted{}, instances: map[id.Instance]*Instance{}, ended: map[id.Instance]endedIncarnation{}, firstListed: map[id.Instance]listing{},
		changed: make(chan struct{}), configOffsetChanged: make(chan struct{}), gateways: map[string]time.Time{},
		watch: addressWatch{changed: make(chan struct{})}, announcements: map[id.Instance]*announcementState{},
		leaving: map[id.Instance]leavingIncarnation{},
	}
	f.evacuated.Store(&map[id.Domain]time.Time{})
	return f
}

// Catalog returns the configuration in force, or nil before the first one.
func (f *Facts) Catalog() *catalog.Catalog {
	return f.catalog.Load()
}

// SetCatalog sets the configuration unless it is older than the one in force, and returns whether it did.
func (f *Facts) SetCatalog(c *catalog.Catalog) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.catalog.Load(); old != nil && old.Revision >= c.Revision {
		return false
	}
	f.catalog.Store(c)
	f.cachedList.Store(nil)
	f.notify()
	return true
}

// SetInstance stores an upstream's entry in the upstream list. It returns false for an outdated entry, of an earlier
// incarnation of the instance.
func (f *Facts) SetInstance(i *Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[i.ID]
	if f.isOutdated(i, old) {
		return false
	}
	f.instances[i.ID] = i
	f.noteListed(i.ID)
	f.listPosition = max(f.listPosition, i.ListPosition)
	if old != nil && old.Leaving && !i.Leaving && !old.Born.Before(i.Born) && old.ListPosition.Era() < i.ListPosition.Era() {
		// The store was restored from an older copy, which lacks that the instance leaves.
		f.addLeaving(i.ID, i.Born)
	}
	f.watchEntry(i)
	f.cachedList.Store(nil)
	if old == nil || old.Leaving != i.Leaving || old.Born != i.Born {
		f.notify()
	}
	return true
}

// DropInstance removes an upstream that was missing from the upstream list when it had been read up to an offset.
func (f *Facts) DropInstance(n id.Instance, offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	if i == nil {
		return
	}
	if f.watch.covers(i.Address) {
		f.recordWatched(Announcement{Instance: n, Born: i.Born, Left: true, Position: max(offset, i.ListPosition)})
	}
	delete(f.instances, n)
	f.rememberEnded(i)
	f.noteUnlisted(i)
	f.cachedList.Store(nil)
	f.notify()
}

// Instances returns the listed upstreams, with those marked as leaving whose departure a stager has announced. The
// caller must not modify the slice. It is rebuilt on the first read after a change, because rebuilding it for each entry
// takes time quadratic in the list's length.
func (f *Facts) Instances() []*Instance {
	if l := f.cachedList.Load(); l != nil {
		return *l
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.buildList()
	f.cachedList.Store(&l)
	return l
}

// Instance returns an upstream's entry in the local copy of the list, or nil.
func (f *Facts) Instance(n id.Instance) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[n]
}

// instanceIDs lists all entries, also those whose address a newer entry uses.
func (f *Facts) instanceIDs() []id.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]id.Instance, 0, len(f.instances))
	for n := range f.instances {
		l = append(l, n)
	}
	return l
}

// buildList builds the list that readers share. If several entries have the same address, the newest one holds it; the
// others belong to upstreams that have ended there. The caller holds the lock.
func (f *Facts) buildList() []*Instance {
	holder := make(map[string]*Instance, len(f.instances))
	for _, i := range f.instances {
		if !f.poolConfigured(i) {
			continue
		}
		if h := holder[i.Address]; h == nil || h.ListPosition < i.ListPosition {
			holder[i.Address] = i
		}
	}
	l := make([]*Instance, 0, len(holder))
	for _, i := range holder {
		l = append(l, f.withAnnouncedLeaving(i))
	}
	// The iteration order of a map is random whatever the seed, and simulations in virtual time must be reproducible. A
	// gateway makes its own random choice among the upstreams.
	slices.SortFunc(l, func(a, b *Instance) int { return strings.Compare(a.Address, b.Address) })
	return l
}

// poolConfigured reports whether the configuration has the pool of an entry. An entry of any other pool is ignored, also
// when it has the address of another one. The caller holds the lock.
func (f *Facts) poolConfigured(i *Instance) bool {
	c := f.catalog.Load()
	return c == nil || len(c.Services) == 0 || c.Services[i.Pool] != nil
}

// Changed returns a channel that closes at the next change of the configuration, the published versions or the set of
// listed upstreams.
func (f *Facts) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// NoteConfigOffset notes that some process has read the operators' records up to an offset. A process whose long poll at
// the store fails to return new records learns of them this way.
func (f *Facts) NoteConfigOffset(offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.configOffset {
		return
	}
	f.configOffset = offset
	close(f.configOffsetChanged)
	f.configOffsetChanged = make(chan struct{})
}

// ConfigOffset returns the newest offset of the operators' records that any process is known to have read, and a channel
// that closes when a newer one becomes known.
func (f *Facts) ConfigOffset() (id.Position, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.configOffset, f.configOffsetChanged
}

// NoteStoreAnswered notes that the platform's store has answered this process, or one that it follows, at a time.
func (f *Facts) NoteStoreAnswered(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.storeAnsweredAt) {
		f.storeAnsweredAt = at
	}
}

// StoreAnsweredAt returns when the platform's store last answered this process or one that it follows, as far as known; zero if
// it has not.
func (f *Facts) StoreAnsweredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeAnsweredAt
}

// GatewayTTL is how long a gateway counts after it was last seen.
const GatewayTTL = 5 * time.Second

// NoteGateway notes that a gateway of this failure domain is alive.
func (f *Facts) NoteGateway(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways[address] = f.now().Add(GatewayTTL)
}

// Gateways lists the gateways of this failure domain that were seen recently.
func (f *Facts) Gateways() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	var l []string
	for a, until := range f.gateways {
		if now.After(until) {
			delete(f.gateways, a)
			continue
		}
		l = append(l, a)
	}
	return l
}

func (f *Facts) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}
