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
	"github.com/springrail/springrail/internal/dating"
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
	Born    id.Birth
	Pool    id.Pool
	Address string
	Domain  id.Domain
	Slots   int
	Leaving bool
	Held    []Held
	// Seen orders what the list says: of two entries, the one with the higher number was written later.
	Seen uint64
}

// Revision finds a model in a list; 0 is none.
func Revision(l []Held, m id.Model) id.Revision {
	for _, h := range l {
		if h.Model == m {
			return h.Revision
		}
	}
	return 0
}

// Wanted is the newest weights that operators have named for a model.
type Wanted struct {
	Revision id.Revision
	// Date is that of the naming. The time of older versions runs from it: what this process learns late must not come on top.
	Date dating.Bracket
	// Learnt is when this process read of it.
	Learnt time.Time
	// unread says that it stands for all versions up to it that this process has not read of, dated by the first of them: the date of
	// the last one alone is too late.
	unread bool
	// proved says that no record names it here: an upstream serves it, or the origin has it.
	proved bool
}

// over says whether the time within which the weights have to be in use has passed. Where it is not known when they were
// named, it may have.
func (w Wanted) over(now time.Time, within time.Duration) bool {
	return w.Date.After.IsZero() || now.Sub(w.Date.After) > within
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
	heard   uint64
	hearing chan struct{}
	// gateways are those heard of lately in the own failure domain, by address, with the time until which they count.
	gateways map[string]time.Time
	// readTo is the highest offset of the list of upstreams that is known to have been read.
	readTo uint64
	// watch is for the words that this process tells others of its own upstream, and words are those of other stagers.
	watch watch
	words map[id.Instance]*standing
}

// New makes an empty set of facts.
func New(now func() time.Time) *Facts {
	f := &Facts{
		now: now, wanted: map[id.Model][]Wanted{}, instances: map[id.Instance]*Instance{}, ended: map[id.Instance]ended{},
		change: make(chan struct{}), hearing: make(chan struct{}), gateways: map[string]time.Time{},
		watch: watch{changed: make(chan struct{})}, words: map[id.Instance]*standing{},
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

// Naming is what this process has read of new weights.
type Naming struct {
	Revision id.Revision
	// Date is that of the naming; Missed is a moment before any naming that this process has not read, zero where none is known.
	Date   dating.Bracket
	Missed time.Time
}

// Change is what a naming has changed here.
type Change struct {
	// News says that the weights were not known.
	News bool
	// Date is what became of the date that was told.
	Date dating.Outcome
}

// SetWanted takes the weights that operators name for a model unless it knows newer ones.
func (f *Facts) SetWanted(m id.Model, n Naming) Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	last := newest(l)
	if last.Revision >= n.Revision {
		return Change{Date: f.date(m, n.Revision, n.Date)}
	}
	now := f.now()
	if last.Revision+1 < n.Revision {
		// Others may have been named in between, the first of them ever since the last reading.
		l = remember(l, Wanted{Revision: n.Revision - 1, Date: dating.Bracket{After: n.Missed}, Learnt: now, unread: true})
	}
	d, o := dating.Bracket{Had: now}.Merge(n.Date)
	f.wanted[m] = remember(l, Wanted{Revision: n.Revision, Date: d, Learnt: now})
	f.notify()
	return Change{News: true, Date: o}
}

// Prove takes a version that must have been named, as an upstream serves it or the origin calls it the newest, and says whether it was not
// known. The newest record of a naming may be an older version's, written late, and is all that a process can read at its start.
func (f *Facts) Prove(m id.Model, r id.Revision) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.wanted[m]
	last := newest(l)
	if last.Revision >= r {
		return false
	}
	now := f.now()
	if last.Revision+1 < r {
		l = remember(l, Wanted{Revision: r - 1, Learnt: now, unread: true})
	}
	f.wanted[m] = remember(l, Wanted{Revision: r, Date: dating.Bracket{Had: now}, Learnt: now, proved: true})
	f.notify()
	return true
}

// Proved returns the newest version of a model where it is known without its record, or 0.
func (f *Facts) Proved(m id.Model) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := newest(f.wanted[m]); w.proved {
		return w.Revision
	}
	return 0
}

// Date takes what another process tells of the naming of weights: one that starts while a version is brought out reads it in the store
// without its age.
func (f *Facts) Date(m id.Model, r id.Revision, d dating.Bracket) dating.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.date(m, r, d)
}

// date is Date; the caller holds the lock.
func (f *Facts) date(m id.Model, r id.Revision, d dating.Bracket) dating.Outcome {
	i := slices.IndexFunc(f.wanted[m], func(w Wanted) bool { return w.Revision == r && !w.unread })
	if i < 0 {
		return dating.Kept
	}
	old := f.wanted[m][i].Date
	merged, o := old.Merge(d)
	if merged == old {
		return o
	}
	l := slices.Clone(f.wanted[m])
	l[i].Date = merged
	f.wanted[m] = l
	if !merged.After.Equal(old.After) {
		f.notify()
	}
	return o
}

// remember adds to the versions named for a model; the slice given stays as it is.
func remember(l []Wanted, w Wanted) []Wanted {
	if len(l) >= maxNamed {
		l = l[1:]
	}
	return append(l[:len(l):len(l)], w)
}

const (
	// firstRevision is what a model has before operators name another one.
	firstRevision = 1
	// maxNamed bounds the named versions that are remembered of a model; only those of the last seconds matter. With 16, 21
	// versions in 8 s let requests begin 2.3 s late on one whose end had been forgotten (fault soak); one each 0.1 s makes 200.
	maxNamed = 256
)

func newest(l []Wanted) Wanted {
	if len(l) == 0 {
		return Wanted{Revision: firstRevision}
	}
	return l[len(l)-1]
}

// Wanted returns the newest weights named for a model.
func (f *Facts) Wanted(m id.Model) Wanted {
	f.mu.Lock()
	defer f.mu.Unlock()
	return newest(f.wanted[m])
}

// Required returns the oldest version of a model that may still take requests: each version has to be in use, or a newer
// one, within a time of its naming, whatever has been named since. It is 0 where any will do.
func (f *Facts) Required(m id.Model, within time.Duration) id.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	l := f.wanted[m]
	for i := len(l) - 1; i >= 0; i-- {
		if l[i].over(now, within) {
			return l[i].Revision
		}
	}
	return 0
}

// Until returns when a version of a model may take no new requests any more: a time after the first newer one was named,
// or when this process read of that one where it does not know since when it is named. It is zero for a version that
// nothing newer is known to follow.
func (f *Facts) Until(m id.Model, r id.Revision, within time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.wanted[m] {
		if w.Revision > r && w.Date.After.IsZero() {
			return w.Learnt
		}
		if w.Revision > r {
			return w.Date.After.Add(within)
		}
	}
	return time.Time{}
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
	f.readTo = max(f.readTo, i.Seen)
	f.watchEntry(i)
	f.list.Store(nil)
	if old == nil || old.Leaving != i.Leaving || old.Born != i.Born {
		f.notify()
	}
	return true
}

// DropInstance removes an upstream that has left the list, as the list had it at an offset.
func (f *Facts) DropInstance(n id.Instance, offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[n]
	if i == nil {
		return
	}
	if f.watch.at(i.Address) {
		f.watched(Word{Instance: n, Born: i.Born, Left: true, Offset: max(offset, i.Seen)})
	}
	delete(f.instances, n)
	f.end(i)
	f.list.Store(nil)
	f.notify()
}

// Instances returns the list of upstreams, with those as leaving that have left by a stager's word; do not change it. It is
// made when it is first read after a change: made anew for each entry, a list of 3,000 upstreams took 509 ms of processor time to
// read, and takes 3.6 ms so (BenchmarkList).
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
		if h := holder[i.Address]; h == nil || h.Seen < i.Seen {
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

// Heard notes that some process has read the operators' records up to an offset. A reader that waits for them at the
// store may be passed over there, and learns of them here.
func (f *Facts) Heard(offset uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset <= f.heard {
		return
	}
	f.heard = offset
	close(f.hearing)
	f.hearing = make(chan struct{})
}

// Hearing returns the newest offset heard of, and a channel that closes when there is a newer one.
func (f *Facts) Hearing() (uint64, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.heard, f.hearing
}

// gatewayLife is how long a gateway counts after it was last heard of: it is named about once a second.
const gatewayLife = 5 * time.Second

// SeeGateway notes that a gateway of the own failure domain lives.
func (f *Facts) SeeGateway(address string) {
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
