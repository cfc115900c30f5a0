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
	// newsStartTimeout limits the start, in which each process loads the whole configuration.
	newsStartTimeout = 2 * time.Minute
	// newsWarmUp is how long all processes run with the complete state before the first change.
	newsWarmUp = 2 * time.Second
	// newsPollEvery is the interval at which the processes' states are checked.
	newsPollEvery = 50 * time.Millisecond
)

// newsRun executes a plan and collects its results.
type newsRun struct {
	plan      *newsPlan
	store     *newsStore
	net       *newsNetwork
	processes []*newsProcess
	// gatewayOrder lists each domain's gateways in the order in which they take over from each other.
	gatewayOrder [][]*newsProcess
	// startedAt is the time from which the times of changes are counted.
	startedAt atomic.Pointer[time.Time]
	cpuBefore time.Duration
	// countsBefore holds the processes' traffic counters from before the first change.
	countsBefore []newsCounts
	padding      string
	mu           sync.Mutex
	listed       map[string]newsStage
	// config is the newest configuration.
	config []byte
	// timerLateness holds how late this process's timers fired, in seconds.
	timerLateness []float64
	wait          sync.WaitGroup
}

// newNewsRun creates the store and all processes without starting them.
func newNewsRun(ctx context.Context, p *newsPlan) *newsRun {
	p.schedule()
	r := &newsRun{
		plan: p, store: newNewsStore(newsOperators, newsUpstreams), listed: map[string]newsStage{},
		net:     &newsNetwork{byName: map[string]*newsProcess{}, regionDelay: p.regionDelay},
		padding: strings.Repeat("model@1 ", newsUpstreamPadding/8),
	}
	r.setStart()
	for i := range p.regions {
		r.net.regionLinks = append(r.net.regionLinks, nil)
		for range p.regions {
			r.net.regionLinks[i] = append(r.net.regionLinks[i], newNewsLink(p.regionMbps))
		}
	}
	for d := range p.domains {
		r.addDomain(ctx, d)
	}
	return r
}

// addDomain creates the processes of a domain. Domains are assigned to regions in rotation; the store is in the first
// region.
func (r *newsRun) addDomain(ctx context.Context, d int) {
	p := r.plan
	var names []string
	for i := range evenShare(p.gateways, p.domains, d) {
		names = append(names, newsAddress("gateway", d, i))
	}
	order, _ := records.Sources(newsDomain(d), names, "")
	var gateways []*newsProcess
	for i, name := range order {
		role := newsOtherGateway
		if i == 0 {
			role = newsFirstGateway
		}
		gateways = append(gateways, r.addProcess(ctx, name, d, role))
	}
	r.gatewayOrder, r.net.firstGateways = append(r.gatewayOrder, gateways), append(r.net.firstGateways, gateways[0])
	for i := range evenShare(p.stagers, p.domains, d) {
		r.addProcess(ctx, newsAddress("stager", d, i), d, newsStager)
	}
}

func newsDomain(d int) id.Domain {
	return id.Domain(fmt.Sprintf("domain-%d", d))
}

// evenShare returns the size of the i-th of some nearly equal parts of a whole.
func evenShare(all, parts, i int) int {
	return (all*(i+1))/parts - (all*i)/parts
}

func (r *newsRun) addProcess(ctx context.Context, name string, domain int, role newsRole) *newsProcess {
	n := len(r.processes)
	p := &newsProcess{
		name: name, role: role, domain: domain, region: domain % r.plan.regions, facts: facts.New(time.Now),
		uplink: newNewsLink(r.plan.processMbps), downlink: newNewsLink(r.plan.processMbps),
		observer: newNewsObserver(r.plan, r.since),
	}
	p.ctx, p.stop = context.WithCancel(ctx)
	delay, links := r.net.delay(0, p.region), r.net.linksTo(0, p)
	p.storeClient = &newsStoreClient{
		store: r.store, delay: delay, random: r.plan.newRandom(newsRandomStoreClients + uint64(n)),
		send: func(ctx context.Context, bytes int) error { return newsSend(ctx, bytes, 0, links...) },
	}
	s := &records.Settings{ConfigWait: newsListEvery, ListEvery: newsListEvery, StartWait: newsStartWait}
	p.records = records.New(s, p.platform(), p.facts, newsDomain(domain), name, time.Now, newsDiscardLogger)
	p.service = p.records.UseTransport(func(ctx context.Context, address string, q *pb.FollowRequest) (*pb.FollowResponse, error) {
		return r.net.follow(ctx, p, address, q)
	})
	r.processes = append(r.processes, p)
	r.net.byName[name] = p
	return p
}

// setStart sets the time from which the times of changes are counted.
func (r *newsRun) setStart() {
	now := time.Now()
	r.startedAt.Store(&now)
}

// since returns the time since the start of the run.
func (r *newsRun) since() time.Duration {
	return time.Since(*r.startedAt.Load())
}

// run starts all processes, applies the changes and waits until all processes have them or the time for it is over.
func (r *newsRun) run(ctx context.Context) (*newsRow, error) {
	ctx, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		for _, p := range r.processes {
			p.stop()
			p.unfreeze()
		}
		r.wait.Wait()
	}()
	text := newNewsConfigText(r.plan.configBytes, r.plan.newRandom(newsRandomConfig))
	r.writeConfig(text.version(0))
	for _, key := range r.plan.initialUpstreams {
		r.writeUpstream(key, newsPresent, 0)
	}
	r.noteGateways()
	r.wait.Go(func() { r.noteGatewaysPeriodically(ctx) })
	if err := r.startProcesses(ctx); err != nil {
		return nil, err
	}
	for _, p := range r.processes {
		r.countsBefore = append(r.countsBefore, p.counts())
	}
	r.cpuBefore = cpuTime()
	r.setStart()
	r.wait.Go(func() { r.writeHeartbeats(ctx) })
	r.wait.Go(func() { r.watchTimers(ctx) })
	r.wait.Go(func() { r.injectFaults(ctx) })
	for i := range r.plan.changes {
		c := &r.plan.changes[i]
		kernel.Pause(ctx, c.at-r.since())
		if ctx.Err() != nil {
			return nil, trace.Wrap(ctx.Err())
		}
		r.applyChange(c, text)
	}
	kernel.Pause(ctx, r.plan.duration-r.since())
	r.settle(ctx)
	return r.row(), trace.Wrap(ctx.Err())
}

// applyChange writes a change to the store and records when the store had taken it.
func (r *newsRun) applyChange(c *newsChange, text *newsConfigText) {
	if c.stage == newsConfig {
		r.writeConfig(text.version(c.version))
	} else {
		r.writeUpstream(c.key, c.stage, 0)
	}
	c.ackedAt = max(r.since(), 1)
}

// writeConfig writes a configuration to the store.
func (r *newsRun) writeConfig(value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.config = value
	r.store.put(newsOperators, newsConfigKey, value)
}

// upstreamValue returns the value of an upstream's record.
func (r *newsRun) upstreamValue(s newsStage, beat int) []byte {
	return fmt.Appendf(nil, "%s %s%c%d", s, r.padding, newsHeartbeatSeparator, beat)
}

// writeUpstream writes an upstream's record with the number of a heartbeat; a heartbeat above 0 keeps the listed
// stage.
func (r *newsRun) writeUpstream(key string, s newsStage, beat int) {
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
	r.store.put(newsUpstreams, key, r.upstreamValue(s, beat))
}

// writeHeartbeats writes the upstreams' heartbeats, spread over their interval, until the context ends.
func (r *newsRun) writeHeartbeats(ctx context.Context) {
	const slots = 20
	if r.plan.heartbeat == 0 {
		return
	}
	for n := 1; ctx.Err() == nil; n++ {
		kernel.Pause(ctx, r.plan.heartbeat/slots)
		if since := r.since(); r.plan.hasFault(newsFaultStoreDown) && since >= r.plan.faultStart() && since < r.plan.faultEnd() {
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
			r.writeUpstream(key, newsPresent, n)
		}
	}
}

// newsSlot hashes a key to one of a number of slots.
func newsSlot(key string, slots int) int {
	n := 0
	for _, c := range key {
		n = n*31 + int(c)
	}
	return n % slots
}

// startProcesses starts the first gateways, then all others, and waits each time until they hold the store's state.
func (r *newsRun) startProcesses(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, newsStartTimeout)
	defer stop()
	for _, first := range []bool{true, false} {
		for _, p := range r.processes {
			if (p.role == newsFirstGateway) == first {
				r.wait.Go(func() { _ = p.records.Run(p.ctx) })
			}
		}
		for !r.complete(first) {
			kernel.Pause(ctx, newsPollEvery)
			if ctx.Err() != nil {
				return trace.LimitExceeded("not all processes hold the initial state after %v", newsStartTimeout)
			}
		}
	}
	kernel.Pause(ctx, newsWarmUp)
	return trace.Wrap(ctx.Err())
}

// complete reports whether all first gateways, or all processes, hold the initial state.
func (r *newsRun) complete(first bool) bool {
	return !slices.ContainsFunc(r.processes, func(p *newsProcess) bool {
		return (!first || p.role == newsFirstGateway) && !p.observer.complete()
	})
}

// noteGatewaysPeriodically notifies the processes of their domain's gateways at an interval until the context ends.
func (r *newsRun) noteGatewaysPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, newsGatewayNoticeEvery)
		r.noteGateways()
	}
}

// noteGateways notifies the processes of the gateways of their domain that have not ended.
func (r *newsRun) noteGateways() {
	for _, p := range r.processes {
		for _, g := range r.gatewayOrder[p.domain] {
			if g.ctx.Err() == nil && !p.isFrozen() {
				p.facts.NoteGateway(g.name)
			}
		}
	}
}

// watchTimers records how late timers fire: where the machine lacks CPU time, the measured delays include that
// lateness.
func (r *newsRun) watchTimers(ctx context.Context) {
	const every = 10 * time.Millisecond
	for ctx.Err() == nil {
		from := time.Now()
		kernel.Pause(ctx, every)
		r.mu.Lock()
		r.timerLateness = append(r.timerLateness, max(0, time.Since(from)-every).Seconds())
		r.mu.Unlock()
	}
}

// timerLatenessQuantiles returns the 99th percentile and the maximum of how late timers fired.
func (r *newsRun) timerLatenessQuantiles() (p99, maximum float64) {
	r.mu.Lock()
	l := slices.Sorted(slices.Values(r.timerLateness))
	r.mu.Unlock()
	return newsQuantile(l, 0.99), newsQuantile(l, 1)
}

// settle waits until all processes hold the store's state, or newsSettleTimeout is over.
func (r *newsRun) settle(ctx context.Context) {
	for deadline := time.Now().Add(newsSettleTimeout); ctx.Err() == nil && time.Now().Before(deadline); {
		if len(r.differences()) == 0 {
			return
		}
		kernel.Pause(ctx, newsPollEvery)
	}
}

// newsCounts holds a process's traffic counters.
type newsCounts struct {
	storeCalls, storeBytes, questions, sentBytes, receivedBytes int64
}

func (p *newsProcess) counts() newsCounts {
	calls, bytes := p.storeClient.counts()
	return newsCounts{storeCalls: calls, storeBytes: bytes, questions: p.questions.Load(), sentBytes: p.sentBytes.Load(), receivedBytes: p.receivedBytes.Load()}
}
