package records

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
)

// link simulates the network link to the store that the processes of one failure domain share.
type link struct {
	// perSecond is its rate in bytes.
	perSecond int
	// busy is held while the link sends; a mutex would stop virtual time.
	busy chan struct{}

	mu sync.Mutex
	// largeAnswers counts the large answers.
	largeAnswers int
}

func newLink(perSecond int) *link {
	return &link{perSecond: perSecond, busy: make(chan struct{}, 1)}
}

// largeAnswerBytes is the size from which on an answer counts as large.
const largeAnswerBytes = 100 << 10

// linkChunk is the size sent at a time, so that concurrent transfers share the link.
const linkChunk = 32 << 10

// transfer sends an answer over the link, and reports its progress.
func (l *link) transfer(ctx context.Context, bytes int, progress Progress) error {
	if bytes >= largeAnswerBytes {
		l.mu.Lock()
		l.largeAnswers++
		l.mu.Unlock()
	}
	for bytes > 0 && ctx.Err() == nil {
		n := min(bytes, linkChunk)
		l.busy <- struct{}{}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(l.perSecond))
		<-l.busy
		bytes -= n
		progress(n)
	}
	return ctx.Err()
}

func (l *link) largeAnswerCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.largeAnswers
}

// domain is a failure domain's processes behind one link to the store.
type domain struct {
	store *fakeStore
	link  *link
	// linkedStore is the store as reached over the link.
	linkedStore Store
	processes   []*process
	byName      map[string]*process
	gateways    []string
	mu          sync.Mutex
	// frozen holds processes that answer nobody and get no answer from the store, and rejected those that the store
	// refuses.
	frozen   map[string]chan struct{}
	rejected map[string]bool
	// requests counts the requests between processes.
	requests int
	// roundTrip is the time that a request between processes takes beside the answer's own.
	roundTrip time.Duration
	// stops end the processes.
	stops []context.CancelFunc
}

// newDomain starts the processes of a domain. The link transfers a configuration of the given size in the given time.
func newDomain(gateways, stagers, size int, transferTime time.Duration) *domain {
	return newDomainWith(gateways, stagers, size, transferTime, 0)
}

// newDomainWith is newDomain with a round-trip time between processes.
func newDomainWith(gateways, stagers, size int, transferTime, roundTrip time.Duration) *domain {
	d := &domain{
		roundTrip: roundTrip,
		store:     &fakeStore{logs: map[string][]Record{}}, byName: map[string]*process{}, frozen: map[string]chan struct{}{}, rejected: map[string]bool{},
		link: newLink(int(float64(size) / transferTime.Seconds())),
	}
	inner := d.store.store()
	d.linkedStore = Store{
		Snapshot: func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
			l, next, err := inner.Snapshot(ctx, topic, progress)
			if err == nil {
				err = d.link.transfer(ctx, bytesOf(l), progress)
			}
			return l, next, d.answerError(err)
		},
		Read: func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error) {
			a, err := inner.Read(ctx, topic, from, wait)
			if err == nil {
				err = d.link.transfer(ctx, bytesOf(a.Records), func(int) {})
			}
			return a, d.answerError(err)
		},
		Probe: inner.Probe,
	}
	d.writeConfig(size)
	d.store.write("up", "10.0.0.1:8000", servingWeights)
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

// answerError returns the error of an answer that the store did not complete.
func (d *domain) answerError(err error) error {
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	if err != nil || d.store.down {
		return platform.ErrUnavailable
	}
	return nil
}

// writeConfig writes a configuration of the given size, and returns its name, which has the number of records written
// before.
func (d *domain) writeConfig(size int) string {
	d.store.mu.Lock()
	name := fmt.Sprintf("config %d ", len(d.store.logs["op"]))
	d.store.mu.Unlock()
	d.store.write("op", "config", name+strings.Repeat("x", size))
	return name
}

// add starts a process that knows the gateways of its domain.
func (d *domain) add(name string, wait time.Duration) {
	storeCalls := d.linkedStore
	storeCalls.Probe = func(ctx context.Context, topic string, from id.Position) error {
		if d.rejects(ctx, name) {
			return platform.ErrRateLimited
		}
		return d.linkedStore.Probe(ctx, topic, from)
	}
	storeCalls.Read = func(ctx context.Context, topic string, from id.Position, wait time.Duration) (ReadResult, error) {
		if d.rejects(ctx, name) {
			return ReadResult{}, platform.ErrRateLimited
		}
		return d.linkedStore.Read(ctx, topic, from, wait)
	}
	storeCalls.Snapshot = func(ctx context.Context, topic string, progress Progress) ([]Record, id.Position, error) {
		if d.rejects(ctx, name) {
			return nil, 0, platform.ErrRateLimited
		}
		if err := d.waitWhileFrozen(ctx, name); err != nil {
			return nil, 0, err
		}
		return d.linkedStore.Snapshot(ctx, topic, func(n int) {
			if d.waitWhileFrozen(ctx, name) == nil {
				progress(n)
			}
		})
	}
	p, stop := startProcess(name, wait, storeCalls, func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		d.mu.Lock()
		d.requests++
		to := d.byName[address]
		d.mu.Unlock()
		if to == nil {
			return nil, platform.ErrUnavailable
		}
		if err := d.waitWhileFrozen(ctx, address); err != nil {
			return nil, err
		}
		kernel.Pause(ctx, d.roundTrip)
		a, err := to.service.Follow(ctx, q)
		if frozenErr := d.waitWhileFrozen(ctx, address); frozenErr != nil {
			return nil, frozenErr
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
	d.stops = append(d.stops, stop)
}

// stop ends the processes.
func (d *domain) stop() {
	for _, stop := range d.stops {
		stop()
	}
}

// waitWhileFrozen returns once a process is not frozen.
func (d *domain) waitWhileFrozen(ctx context.Context, name string) error {
	d.mu.Lock()
	c := d.frozen[name]
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

// reject makes the store refuse processes.
func (d *domain) reject(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		d.rejected[n] = true
	}
}

// rejects reports whether the store refuses a process, after the store's latency.
func (d *domain) rejects(ctx context.Context, name string) bool {
	kernel.Pause(ctx, storeLatency)
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejected[name]
}

// storeLatency is the time that the store takes for a short answer.
const storeLatency = 5 * time.Millisecond

// freeze stops a process until the end of the spec.
func (d *domain) freeze(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := make(chan struct{})
	d.frozen[name] = c
	DeferCleanup(func() { close(c) })
}

// lacking returns how many processes that are not frozen lack a configuration.
func (d *domain) lacking(config string) (n int) {
	for _, p := range d.processes {
		d.mu.Lock()
		frozen := d.frozen[p.name] != nil
		d.mu.Unlock()
		if !frozen && !strings.HasPrefix(p.value("config"), config) {
			n++
		}
	}
	return n
}

// takeRequests returns the number of requests since the last call.
func (d *domain) takeRequests() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.requests
	d.requests = 0
	return n
}
