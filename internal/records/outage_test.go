package records

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// link carries answers of the store to the processes of one failure domain, which share it.
type link struct {
	mu sync.Mutex
	// perSecond is its rate in bytes.
	perSecond int
	// long counts the long answers.
	long int
}

// longFrom is the size of a long answer, in bytes.
const longFrom = 100 << 10

// linkPiece is what is sent at a time; those who share the link take turns.
const linkPiece = 32 << 10

// carry brings an answer over the link, and tells of its progress.
func (l *link) carry(ctx context.Context, bytes int, progress Progress) error {
	if bytes >= longFrom {
		l.mu.Lock()
		l.long++
		l.mu.Unlock()
	}
	for bytes > 0 && ctx.Err() == nil {
		n := min(bytes, linkPiece)
		l.mu.Lock()
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.perSecond))
		l.mu.Unlock()
		bytes -= n
		progress(n)
	}
	return ctx.Err()
}

func (l *link) counted() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.long
}

// domain is a failure domain's processes behind one link to the store.
type domain struct {
	store *fakeStore
	link  *link
	// way is the store over the link.
	way       Store
	processes []*process
	byName    map[string]*process
	gateways  []string
	mu        sync.Mutex
	// hung are processes that answer nobody and get no answer of the store, and away those that the store turns away.
	hung map[string]chan struct{}
	away map[string]bool
	// questions counts those that processes ask each other.
	questions int
}

// newDomain makes a domain of processes; size is that of a configuration in bytes, which the link carries in a time.
func newDomain(gateways, stagers, size int, carried time.Duration) *domain {
	d := &domain{
		store: &fakeStore{logs: map[string][]Record{}}, byName: map[string]*process{}, hung: map[string]chan struct{}{}, away: map[string]bool{},
		link: &link{perSecond: int(float64(size) / carried.Seconds())},
	}
	inner := d.store.store()
	d.way = Store{
		Snapshot: func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
			l, next, err := inner.Snapshot(ctx, topic, progress)
			if err == nil {
				err = d.link.carry(ctx, bytesOf(l), progress)
			}
			return l, next, d.lost(err)
		},
		Read: func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error) {
			a, err := inner.Read(ctx, topic, from, wait)
			if err == nil {
				err = d.link.carry(ctx, bytesOf(a.Records), func(int) {})
			}
			return a, d.lost(err)
		},
		Probe: inner.Probe,
	}
	d.configure(size)
	d.store.put("up", "10.0.0.1:8000", serving)
	for i := range gateways {
		d.gateways = append(d.gateways, fmt.Sprintf("10.0.0.%d:7700", 100+i))
	}
	for _, name := range d.gateways {
		d.add(name, 0)
	}
	for i := range stagers {
		d.add(fmt.Sprintf("10.0.1.%d:7700", i), 200*time.Millisecond)
	}
	return d
}

func bytesOf(l []Record) (n int) {
	for _, r := range l {
		n += len(r.Value)
	}
	return n
}

// lost is the error of an answer that the store did not bring to its end.
func (d *domain) lost(err error) error {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if err != nil || d.store.down {
		return platform.ErrUnavailable
	}
	return nil
}

// configure writes a configuration of a size; it is named by the size of the log.
func (d *domain) configure(size int) string {
	d.store.mu.Lock()
	name := fmt.Sprintf("config %d ", len(d.store.logs["op"]))
	d.store.mu.Unlock()
	d.store.put("op", "config", name+strings.Repeat("x", size))
	return name
}

// add makes a process that knows the gateways of its domain.
func (d *domain) add(name string, wait time.Duration) {
	way := d.way
	way.Probe = func(ctx context.Context, topic string, from id.Position) error {
		if d.turnsAway(ctx, name) {
			return platform.ErrRateLimited
		}
		return d.way.Probe(ctx, topic, from)
	}
	way.Read = func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error) {
		if d.turnsAway(ctx, name) {
			return ReadResult{}, platform.ErrRateLimited
		}
		return d.way.Read(ctx, topic, from, wait)
	}
	way.Snapshot = func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
		if d.turnsAway(ctx, name) {
			return nil, 0, platform.ErrRateLimited
		}
		if err := d.pass(ctx, name); err != nil {
			return nil, 0, err
		}
		return d.way.Snapshot(ctx, topic, func(n int) {
			if d.pass(ctx, name) == nil {
				progress(n)
			}
		})
	}
	p := newProcessWith(name, wait, way, func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		d.mu.Lock()
		d.questions++
		to := d.byName[address]
		d.mu.Unlock()
		if to == nil {
			return nil, platform.ErrUnavailable
		}
		if err := d.pass(ctx, address); err != nil {
			return nil, err
		}
		a, err := to.service.Follow(ctx, q)
		if passed := d.pass(ctx, address); passed != nil {
			return nil, passed
		}
		return a, err
	}, func(ctx context.Context, p *process) {
		for ctx.Err() == nil {
			for _, g := range d.gateways {
				p.facts.NoteGateway(g)
			}
			kernel.Pause(ctx, time.Second)
		}
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	d.byName[name] = p
	d.processes = append(d.processes, p)
}

// pass waits while a process is frozen.
func (d *domain) pass(ctx context.Context, name string) error {
	d.mu.Lock()
	c := d.hung[name]
	d.mu.Unlock()
	if c == nil {
		return nil
	}
	select {
	case <-c:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// turnAway lets the store turn processes away.
func (d *domain) turnAway(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		d.away[n] = true
	}
}

// turnsAway says whether the store turns a process away, after the time that its answer takes.
func (d *domain) turnsAway(ctx context.Context, name string) bool {
	kernel.Pause(ctx, storeTakes)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.away[name]
}

// storeTakes is the time of a short answer of the store.
const storeTakes = 5 * time.Millisecond

// freeze stops a process until the end of the spec.
func (d *domain) freeze(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan struct{})
	d.hung[name] = c
	DeferCleanup(func() { close(c) })
}

// have says how many processes that are not frozen lack a configuration.
func (d *domain) lack(config string) (n int) {
	for _, p := range d.processes {
		d.mu.Lock()
		frozen := d.hung[p.name] != nil
		d.mu.Unlock()
		if !frozen && !strings.HasPrefix(p.value("config"), config) {
			n++
		}
	}
	return n
}

// asked is the number of questions since the last call.
func (d *domain) asked() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.questions
	d.questions = 0
	return n
}

const (
	// longRecord is a configuration of the users' in bytes, and longTakes what it takes on a link of 24 Mbit/s.
	longRecord = 358694
	longTakes  = 120 * time.Millisecond
)

// The store was away from a failure domain for eight seconds, came back, and was lost again for a second. Four gateways
// and more then read the operators' records at the same time over the link that they share, 2.6 to 3.4 s each where one
// reading takes 0.12 s, and refused requests by the older configuration. Each had waited its turn, and all turns had
// long been over when the store came back.
var _ = Describe("a failure domain after an outage of the store", func() {
	It("reads a long record once, and has it everywhere within two seconds, also where the store is lost again at once", func() {
		d := newDomain(12, 15, longRecord, longTakes)
		Eventually(func() int { return d.lack("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		d.store.setDown(true)
		time.Sleep(4 * time.Second)
		d.asked()
		time.Sleep(4 * time.Second)
		Expect(d.asked()).To(BeNumerically("<", 3*4*len(d.processes)), "questions while no one has the store")
		config := d.configure(longRecord)
		before := d.link.counted()
		d.store.setDown(false)
		time.Sleep(200 * time.Millisecond)
		d.store.setDown(true)
		time.Sleep(time.Second)
		d.store.setDown(false)
		Eventually(func() int { return d.lack(config) }).WithTimeout(2 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		long := d.link.counted()
		Expect(long-before).To(BeNumerically("<=", 3), "one is lost with the store, and one is taken over at the most")
	})

	// A key was taken away 0.7 s after the store had begun to turn a third of the machines away. Those that go first
	// claimed the turn again and again and were turned away; each time the others took that for a source that reads,
	// and began to wait for their own turn anew. A gateway still let the key in 3.1 s after the change was
	// acknowledged.
	It("has another one read where the store turns those away that go first", func() {
		d := newDomain(12, 15, longRecord, longTakes)
		Eventually(func() int { return d.lack("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		order, _ := Sources("d", d.gateways, "")
		d.turnAway(order[:5])
		time.Sleep(700 * time.Millisecond)
		config := d.configure(longRecord)
		Eventually(func() int { return d.lack(config) }).WithTimeout(2 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
	})

	It("has another one read where the reader freezes in its reading", func() {
		d := newDomain(12, 15, longRecord, longTakes)
		Eventually(func() int { return d.lack("config 0 ") }).WithTimeout(20 * time.Second).Should(BeZero())
		time.Sleep(2 * time.Second)
		d.store.setDown(true)
		time.Sleep(4 * time.Second)
		config := d.configure(longRecord)
		before := d.link.counted()
		d.store.setDown(false)
		var reader string
		Eventually(func() string {
			for _, p := range d.processes {
				if p.reads() {
					reader = p.name
				}
			}
			return reader
		}).WithTimeout(2 * time.Second).WithPolling(2 * time.Millisecond).ShouldNot(BeEmpty())
		d.freeze(reader)
		Eventually(func() int { return d.lack(config) }).WithTimeout(3 * time.Second).WithPolling(20 * time.Millisecond).Should(BeZero())
		long := d.link.counted()
		Expect(long - before).To(BeNumerically("<=", 3))
	})
})

// A version named while the store was away was counted from before that, as the process had only looked whether the
// store was back: older versions were over seconds early, and a domain refused 300 requests in half a second.
var _ = Describe("a record that was written while the store was away", func() {
	It("is dated by the store's return, by a process that has only looked for that since its source lost the store", func() {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1")
		s.put("up", "u", "here")
		lead, end := newProcess("a", s, nobody)
		var mu sync.Mutex
		var after time.Time
		var looked time.Time
		store := s.store()
		answers := store.Probe
		store.Probe = func(ctx context.Context, topic string, from id.Position) error {
			mu.Lock()
			defer mu.Unlock()
			if looked.IsZero() {
				looked = time.Now()
			}
			return answers(ctx, topic, from)
		}
		f := facts.New(time.Now)
		p := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond}, &Platform{
			Store: store,
			Operators: Topic{Name: "op", Apply: func(r Record) error {
				mu.Lock()
				defer mu.Unlock()
				if r.Key == "version" {
					after = r.After
				}
				return nil
			}},
			Upstreams: Topic{Name: "up", Apply: func(Record) error { return nil }, KeysAreUpstreams: true},
		}, f, "d", "self", time.Now, quiet)
		p.follower.ask = func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			if address != "a" {
				return nil, platform.ErrUnavailable
			}
			return lead.service.Follow(ctx, q)
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		go func() {
			for ctx.Err() == nil {
				f.NoteGateway("a")
				for n := range 40 {
					// So many take over before it that it begins to look only once its records are old.
					f.NoteGateway(fmt.Sprint("gone-", n))
				}
				kernel.Pause(ctx, time.Second)
			}
		}()
		go func() { _ = p.Run(ctx) }()
		Eventually(func() bool { return p.follower.started() && p.follower.origin.get() == "a" }).WithTimeout(5 * time.Second).Should(BeTrue())
		Expect(p.follower.rank()).To(Equal(takeoverMost))
		time.Sleep(200 * time.Millisecond)
		s.setDown(true)
		time.Sleep(freshMost + takeoverMost*takeoverStep + time.Second)
		s.put("op", "version", "2")
		end()
		back := time.Now()
		s.setDown(false)
		dated := func() time.Time {
			mu.Lock()
			defer mu.Unlock()
			return after
		}
		Eventually(dated).WithTimeout(2 * takeoverMost * retryPause).ShouldNot(BeZero())
		// The store may have been back ever since the last look in vain; the first one came about a second before.
		mu.Lock()
		first := looked
		mu.Unlock()
		Expect(first).To(BeTemporally("~", back.Add(-time.Second), 500*time.Millisecond))
		Expect(dated()).To(And(BeTemporally(">=", first.Add(-50*time.Millisecond)), BeTemporally("<=", back)))
	})
})

// All processes of a domain started at once after a loss of power. Nobody knew anybody yet, and each read 358 KB over
// one link, 1.3 to 2.1 s.
var _ = Describe("processes that start together", func() {
	// together starts processes of one failure domain that know nobody but the seeds of their settings, and returns the number of
	// long readings until all have the configuration.
	together := func(n int, seedDomain string, seeds ...string) int {
		s := &fakeStore{logs: map[string][]Record{}}
		s.put("op", "config", "1 "+strings.Repeat("x", longRecord))
		s.put("up", "u", "here")
		l := &link{perSecond: int(longRecord / longTakes.Seconds())}
		way := s.store()
		way.Snapshot = func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
			r, next, err := s.store().Snapshot(ctx, topic, progress)
			if err != nil {
				return nil, 0, err
			}
			return r, next, l.carry(ctx, bytesOf(r), progress)
		}
		var mu sync.Mutex
		byName := map[string]*Records{}
		ask := func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
			mu.Lock()
			to := byName[address]
			mu.Unlock()
			if to == nil {
				return nil, platform.ErrUnavailable
			}
			return to.service.Follow(ctx, q)
		}
		add := func(name, domain string) *Records {
			apply := func(Record) error { return nil }
			r := New(&Settings{ConfigWait: 50 * time.Millisecond, ListEvery: 20 * time.Millisecond, Seeds: seeds}, &Platform{
				Store: way, Operators: Topic{Name: "op", Apply: apply}, Upstreams: Topic{Name: "up", Apply: apply, KeysAreUpstreams: true},
			}, facts.New(time.Now), id.Domain(domain), name, time.Now, quiet)
			r.follower.ask = ask
			mu.Lock()
			defer mu.Unlock()
			byName[name] = r
			return r
		}
		ctx, stop := context.WithCancel(context.Background())
		DeferCleanup(stop)
		add("10.0.9.1:7700", seedDomain)
		var all []*Records
		for i := range n {
			all = append(all, add(fmt.Sprintf("10.0.0.%d:7700", i), "d"))
		}
		for _, r := range all {
			go func() { _ = r.Run(ctx) }()
		}
		for _, r := range all {
			Eventually(r.follower.started).WithTimeout(10 * time.Second).Should(BeTrue())
		}
		return l.counted()
	}

	It("each read a long record where they know nobody", func() {
		Expect(together(10, "d")).To(Equal(10))
	})

	It("read it once where they know one of them, whatever the port that the settings name", func() {
		Expect(together(10, "d", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})

	It("read it once where they know only a process of another failure domain", func() {
		Expect(together(10, "e", "10.0.9.1:8000")).To(BeNumerically("<=", 2))
	})
})
