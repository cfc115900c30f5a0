// Package facts holds what a process believes of the configuration and the upstreams around it. Sources put facts in;
// decisions read them. A fact is replaced as a whole and never goes back to an older revision.
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

// Held is a version of a model that an upstream serves whole.
type Held struct {
	Model    id.Model
	Revision id.Revision
}

// Instance is one start of an upstream as the list of upstreams has it.
type Instance struct {
	ID id.Instance
	// Born tells the starts of one ID apart; nothing that is known of one holds for the next.
	Born    id.Incarnation
	Pool    id.Pool
	Address string
	Domain  id.Domain
	Slots   int
	Leaving bool
	Held    []Held
	// ListPosition orders what the list says: of two entries, the one with the higher number was written later.
	ListPosition id.Position
}

// HeldRevision finds a model in a list; 0 is none.
func HeldRevision(l []Held, m id.Model) id.Revision {
	for _, h := range l {
		if h.Model == m {
			return h.Revision
		}
	}
	return 0
}

// Facts is safe for concurrent use.
type Facts struct {
	catalog atomic.Pointer[catalog.Catalog]
	now     func() time.Time

	mu sync.Mutex
	// wanted lists the versions named for a model, oldest first.
	wanted    map[id.Model][]Wanted
	instances map[id.Instance]*Instance
	// ended is the newest start of instances that are gone.
	ended map[id.Instance]ended
	// list is what readers share, and nil once the entries have changed since it was made.
	list   atomic.Pointer[[]*Instance]
	change chan struct{}
	// heard is the newest offset of the operators' records that this process or another one has read.
	heard   id.Position
	hearing chan struct{}
	// gateways are those heard of lately in the own failure domain, by address, with the time until which they count.
	gateways map[string]time.Time
	// readTo is the highest offset of the list of upstreams that is known to have been read.
	readTo id.Position
	// watch is for the words that this process tells others of its own upstream, and words are those of other stagers.
	watch watch
	words map[id.Instance]*standing
	// leavers have said themselves that they leave.
	leavers map[id.Instance]leaver
}

// New makes an empty set of facts.
func New(now func() time.Time) *Facts {
	f := &Facts{
		now: now, wanted: map[id.Model][]Wanted{}, instances: map[id.Instance]*Instance{}, ended: map[id.Instance]ended{},
		change: make(chan struct{}), hearing: make(chan struct{}), gateways: map[string]time.Time{},
		watch: watch{changed: make(chan struct{})}, words: map[id.Instance]*standing{},
		leavers: map[id.Instance]leaver{},
	}
	return f
}

// Catalog returns the configuration in force, or nil before the first one.
func (f *Facts) Catalog() *catalog.Catalog {
	return f.catalog.Load()
}

// SetCatalog takes a configuration unless it is older than the one in force; it says whether it was taken.
func (f *Facts) SetCatalog(c *catalog.Catalog) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.catalog.Load(); old != nil && old.Revision >= c.Revision {
		return false
	}
	f.catalog.Store(c)
	f.list.Store(nil)
	f.notify()
	return true
}

// SetInstance takes an upstream's entry in the list, and says whether it did: one of an earlier start of that ID comes late.
func (f *Facts) SetInstance(i *Instance) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.instances[i.ID]
	if f.outlived(i, old) {
		return false
	}
	f.instances[i.ID] = i
	f.readTo = max(f.readTo, i.ListPosition)
	if old != nil && old.Leaving && !i.Leaving && !old.Born.Before(i.Born) && old.ListPosition.Era() < i.ListPosition.Era() {
		// The store came back from a copy of before it said so.
		f.addLeaver(i.ID, i.Born)
	}
	f.watchEntry(i)
	f.list.Store(nil)
	if old == nil || old.Leaving != i.Leaving || old.Born != i.Born {
		f.notify()
	}
	return true
}

// DropInstance removes an upstream that has left the list, as the list had it at an offset.
func (f *Facts) DropInstance(n id.Instance, offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	if i == nil {
		return
	}
	if f.watch.at(i.Address) {
		f.watched(Announcement{Instance: n, Born: i.Born, Left: true, Position: max(offset, i.ListPosition)})
	}
	delete(f.instances, n)
	f.end(i)
	f.list.Store(nil)
	f.notify()
}

// Instances returns the list of upstreams, with those as leaving that have left by a stager's word; do not change it. It is
// made when it is first read after a change: to make it anew for each entry grows with the square of the list (BenchmarkList).
func (f *Facts) Instances() []*Instance {
	if l := f.list.Load(); l != nil {
		return *l
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.shared()
	f.list.Store(&l)
	return l
}

// Instance returns one upstream as the own list has it, or nil.
func (f *Facts) Instance(n id.Instance) *Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[n]
}

// known lists all entries, those included whose address another one holds.
func (f *Facts) known() []id.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := make([]id.Instance, 0, len(f.instances))
	for n := range f.instances {
		l = append(l, n)
	}
	return l
}

// shared makes the list that readers share. Where several entries name one address, the one written last holds it: the
// others are of upstreams that have ended there. The caller holds the lock.
func (f *Facts) shared() []*Instance {
	holder := make(map[string]*Instance, len(f.instances))
	for _, i := range f.instances {
		if !f.served(i) {
			continue
		}
		if h := holder[i.Address]; h == nil || h.ListPosition < i.ListPosition {
			holder[i.Address] = i
		}
	}
	l := make([]*Instance, 0, len(holder))
	for _, i := range holder {
		l = append(l, f.effective(i))
	}
	// The order of a map is random beyond any seed, and a play in virtual time must repeat; a gateway's choice draws its own luck.
	slices.SortFunc(l, func(a, b *Instance) int { return strings.Compare(a.Address, b.Address) })
	return l
}

// served says whether an entry is of a pool that the configuration names. Any other one names no upstream to use, and does
// not take the address of one either. The caller holds the lock.
func (f *Facts) served(i *Instance) bool {
	c := f.catalog.Load()
	return c == nil || len(c.Services) == 0 || c.Services[i.Pool] != nil
}

// Changed returns a channel that closes with the next change of the configuration, the wanted weights or who is listed.
func (f *Facts) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.change
}

// NoteConfigOffset notes that some process has read the operators' records up to an offset. A reader that waits for them at the
// store may be passed over there, and learns of them here.
func (f *Facts) NoteConfigOffset(offset id.Position) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.heard {
		return
	}
	f.heard = offset
	close(f.hearing)
	f.hearing = make(chan struct{})
}

// ConfigOffset returns the newest offset heard of, and a channel that closes when there is a newer one.
func (f *Facts) ConfigOffset() (id.Position, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard, f.hearing
}

// gatewayLife is how long a gateway counts after it was last heard of: it is named about once a second.
const gatewayLife = 5 * time.Second

// NoteGateway notes that a gateway of the own failure domain lives.
func (f *Facts) NoteGateway(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gateways[address] = f.now().Add(gatewayLife)
}

// Gateways lists the gateways of the own failure domain that were heard of lately.
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
	close(f.change)
	f.change = make(chan struct{})
}
