package measure

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/records"
)

const (
	// newsStartMost bounds the start, in which each process gets the whole configuration.
	newsStartMost = 2 * time.Minute
	// newsStarted is how long all processes run with everything before the first change.
	newsStarted = 2 * time.Second
	// newsLook is the time between two looks at what processes know.
	newsLook = 50 * time.Millisecond
)

// newsRun is a run of a plan.
type newsRun struct {
	plan      *newsPlan
	store     *newsStore
	net       *newsNet
	processes []*newsProcess
	// order lists each domain's gateways as they take over from each other.
	order [][]*newsProcess
	// began is the time zero of the changes.
	began atomic.Pointer[time.Time]
	cpu   time.Duration
	// before is what doors and links had carried when the changes began.
	before []newsCounts
	pad    string
	mu     sync.Mutex
	listed map[string]newsStage
	// config is the newest configuration.
	config []byte
	// timers are how late timers of this process came, in seconds.
	timers []float64
	wait   sync.WaitGroup
}

// newNewsRun makes the store and all processes; it starts nothing.
func newNewsRun(ctx context.Context, p *newsPlan) *newsRun {
	p.schedule()
	r := &newsRun{
		plan: p, store: newNewsStore(newsOperators, newsUpstreams), listed: map[string]newsStage{},
		net: &newsNet{byName: map[string]*newsProcess{}, regionDelay: p.regionDelay},
		pad: strings.Repeat("model@1 ", newsUpstreamPad/8),
	}
	r.begin()
	for i := range p.regions {
		r.net.regions = append(r.net.regions, nil)
		for range p.regions {
			r.net.regions[i] = append(r.net.regions[i], newNewsPipe(p.regionMbps))
		}
	}
	for d := range p.domains {
		r.addDomain(ctx, d)
	}
	return r
}

// addDomain makes the processes of a domain; domains lie in regions by turns, and the store in the first region.
func (r *newsRun) addDomain(ctx context.Context, d int) {
	p := r.plan
	var names []string
	for i := range share(p.gateways, p.domains, d) {
		names = append(names, newsName("gateway", d, i))
	}
	order, _ := records.Sources(newsDomain(d), names, "")
	var gateways []*newsProcess
	for i, name := range order {
		role := newsGateway
		if i == 0 {
			role = newsFirst
		}
		gateways = append(gateways, r.addProcess(ctx, name, d, role))
	}
	r.order, r.net.first = append(r.order, gateways), append(r.net.first, gateways[0])
	for i := range share(p.stagers, p.domains, d) {
		r.addProcess(ctx, newsName("stager", d, i), d, newsStager)
	}
}

func newsDomain(d int) id.Domain {
	return id.Domain(fmt.Sprintf("domain-%d", d))
}

// share is the i-th of some nearly equal parts.
func share(all, parts, i int) int {
	return (all*(i+1))/parts - (all*i)/parts
}

func (r *newsRun) addProcess(ctx context.Context, name string, domain int, role newsRole) *newsProcess {
	n := len(r.processes)
	p := &newsProcess{
		name: name, role: role, domain: domain, region: domain % r.plan.regions, facts: facts.New(time.Now),
		up: newNewsPipe(r.plan.processMbps), down: newNewsPipe(r.plan.processMbps),
		tally: newNewsColumn(r.plan, r.since),
	}
	p.ctx, p.stop = context.WithCancel(ctx)
	delay, way := r.net.delay(0, p.region), r.net.way(0, p)
	p.door = &newsDoor{
		store: r.store, delay: delay, random: r.plan.source(newsRandomDoors + uint64(n)),
		send: func(ctx context.Context, bytes int) error { return newsSend(ctx, bytes, 0, way...) },
	}
	s := &records.Settings{ConfigWait: newsListEvery, ListEvery: newsListEvery, StartWait: newsStartWait}
	p.records = records.New(s, p.platform(), p.facts, newsDomain(domain), name, time.Now, newsQuiet)
	p.service = p.records.UseTransport(func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		return r.net.ask(ctx, p, address, q)
	})
	r.processes = append(r.processes, p)
	r.net.byName[name] = p
	return p
}

// begin sets the time zero.
func (r *newsRun) begin() {
	now := time.Now()
	r.began.Store(&now)
}

// since is the time of the run.
func (r *newsRun) since() time.Duration {
	return time.Since(*r.began.Load())
}

// run starts all processes, makes the changes and waits until all is known or the time for it is over.
func (r *newsRun) run(ctx context.Context) (*newsRow, error) {
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		for _, p := range r.processes {
			p.stop()
			p.wake()
		}
		r.wait.Wait()
	}()
	text := newNewsText(r.plan.configBytes, r.plan.source(newsRandomConfig))
	r.configure(text.version(0))
	for _, key := range r.plan.first {
		r.write(key, newsHere, 0)
	}
	r.name()
	r.wait.Go(func() { r.nameOn(ctx) })
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	for _, p := range r.processes {
		r.before = append(r.before, p.counts())
	}
	r.cpu = cpuTime()
	r.begin()
	r.wait.Go(func() { r.beat(ctx) })
	r.wait.Go(func() { r.watchTimers(ctx) })
	r.wait.Go(func() { r.playFaults(ctx) })
	for i := range r.plan.changes {
		c := &r.plan.changes[i]
		kernel.Pause(ctx, c.at-r.since())
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
		r.make(c, text)
	}
	kernel.Pause(ctx, r.plan.lasts-r.since())
	r.settle(ctx)
	return r.row(), trace.Wrap(ctx.Err())
}

// make writes a change and notes when the store had taken it.
func (r *newsRun) make(c *newsChange, text *newsText) {
	if c.stage == newsConfig {
		r.configure(text.version(c.version))
	} else {
		r.write(c.key, c.stage, 0)
	}
	c.acked = max(r.since(), 1)
}

// configure writes a configuration.
func (r *newsRun) configure(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = value
	r.store.put(newsOperators, newsConfigKey, value)
}

// entry is an upstream's record.
func (r *newsRun) entry(s newsStage, beat int) []byte {
	return fmt.Appendf(nil, "%s %s%c%d", s, r.pad, newsMark, beat)
}

// write writes an upstream's record with the number of a heartbeat, which changes no stage.
func (r *newsRun) write(key string, s newsStage, beat int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s == newsDropped {
		delete(r.listed, key)
		r.store.put(newsUpstreams, key, nil)
		return
	}
	if beat > 0 {
		s = r.listed[key]
	}
	if s == newsNone {
		return
	}
	r.listed[key] = s
	r.store.put(newsUpstreams, key, r.entry(s, beat))
}

// beat writes the upstreams' heartbeats, spread over their interval, until the context ends.
func (r *newsRun) beat(ctx context.Context) {
	const slots = 20
	if r.plan.heartbeat == 0 {
		return
	}
	for n := 1; ctx.Err() == nil; n++ {
		kernel.Pause(ctx, r.plan.heartbeat/slots)
		if since := r.since(); r.plan.has(newsFaultDown) && since >= r.plan.faultAt() && since < r.plan.faultEnd() {
			continue
		}
		r.mu.Lock()
		var due []string
		for key := range r.listed {
			if newsSlot(key, slots) == n%slots {
				due = append(due, key)
			}
		}
		r.mu.Unlock()
		for _, key := range due {
			r.write(key, newsHere, n)
		}
	}
}

// newsSlot spreads keys over a number of slots.
func newsSlot(key string, slots int) int {
	n := 0
	for _, c := range key {
		n = n*31 + int(c)
	}
	return n % slots
}

// start runs the first gateways, then all others, until all hold what the store has.
func (r *newsRun) start(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, newsStartMost)
	defer stop()
	for _, first := range []bool{true, false} {
		for _, p := range r.processes {
			if (p.role == newsFirst) == first {
				r.wait.Go(func() { _ = p.records.Run(p.ctx) })
			}
		}
		for !r.complete(first) {
			kernel.Pause(ctx, newsLook)
			if ctx.Err() != nil {
				return trace.LimitExceeded("not all processes have started after %v", newsStartMost)
			}
		}
	}
	kernel.Pause(ctx, newsStarted)
	return trace.Wrap(ctx.Err())
}

// complete says whether all first gateways, or all processes, hold the first state.
func (r *newsRun) complete(first bool) bool {
	return !slices.ContainsFunc(r.processes, func(p *newsProcess) bool {
		return (!first || p.role == newsFirst) && !p.tally.complete()
	})
}

// nameOn tells the processes of their domain's gateways again and again until the context ends.
func (r *newsRun) nameOn(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, newsNamedEvery)
		r.name()
	}
}

// name tells the processes of the gateways of their domain that have not ended.
func (r *newsRun) name() {
	for _, p := range r.processes {
		for _, g := range r.order[p.domain] {
			if g.ctx.Err() == nil && !p.isFrozen() {
				p.facts.NoteGateway(g.name)
			}
		}
	}
}

// watchTimers notes how late timers come: where this machine has too little processor time, the times are its own.
func (r *newsRun) watchTimers(ctx context.Context) {
	const every = 10 * time.Millisecond
	for ctx.Err() == nil {
		from := time.Now()
		kernel.Pause(ctx, every)
		r.mu.Lock()
		r.timers = append(r.timers, max(0, time.Since(from)-every).Seconds())
		r.mu.Unlock()
	}
}

// late is how late all but one in a hundred timers came at most, and the latest.
func (r *newsRun) late() (p99, most float64) {
	r.mu.Lock()
	l := slices.Sorted(slices.Values(r.timers))
	r.mu.Unlock()
	return newsPart(l, 0.99), newsPart(l, 1)
}

// settle waits until all processes have the store's state, or the time for it is over.
func (r *newsRun) settle(ctx context.Context) {
	for over := time.Now().Add(newsSettles); ctx.Err() == nil && time.Now().Before(over); {
		if len(r.differences()) == 0 {
			return
		}
		kernel.Pause(ctx, newsLook)
	}
}

// newsCounts is what a process has moved.
type newsCounts struct {
	calls, storeBytes, asked, gave, got int64
}

func (p *newsProcess) counts() newsCounts {
	calls, bytes := p.door.counted()
	return newsCounts{calls: calls, storeBytes: bytes, asked: p.asked.Load(), gave: p.gave.Load(), got: p.got.Load()}
}
