package decide

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/gateway"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// simGateway is a gateway that applies the decisions of a real one to simulated callers and engines.
type simGateway struct {
	sim         *simulation
	domain      id.Domain
	balancer    *gateway.Balancer
	facts       *facts.Facts
	tracker     *placement.Tracker
	demandMeter *placement.DemandMeter
	patience    *placement.PatienceTracker
	budget      *placement.RetryBudget
	random      *rand.Rand
	// learntSlowdown is the slowdown by upstream in variants that learn it from observed latencies.
	learntSlowdown map[id.Instance]float64
	listPosition   uint64
}

func (p *simulation) newSimGateway(domain id.Domain, r *rand.Rand) *simGateway {
	d := &simGateway{
		sim: p, domain: domain, facts: facts.New(p.now), tracker: placement.NewTracker(p.now), demandMeter: placement.NewDemandMeter(p.now),
		patience: placement.NewPatienceTracker(p.now), random: r, learntSlowdown: map[id.Instance]float64{},
	}
	count := func() int { return len(p.gateways) }
	rule := placement.RetryBudgetRule{Ratio: defaultSettings.RetryRatio, Slack: defaultSettings.RetrySlack, Window: defaultSettings.RetryWindow}
	d.budget = placement.NewRetryBudget(rule, count, p.now)
	d.facts.SetWanted(model, facts.Publication{Revision: 1, PublishTime: dating.TimeBounds{After: p.now()}})
	d.balancer = &gateway.Balancer{
		Facts: d.facts, Location: gateway.Location{Domain: domain}, SwapWithin: seconds(p.scenario.SwapWithin), Now: p.now, Random: func() *rand.Rand { return r },
		Load: gateway.LoadSources{Tracker: d.tracker, Offers: d.demandMeter, Demand: func(id.Pool) placement.Demand { return d.knownDemand() }, Gateways: count},
	}
	if p.variant.adjust != nil {
		d.balancer.AdjustOutlook = func(w *placement.Forecast, l []placement.Candidate) { p.variant.adjust(d, w, l) }
	}
	if p.variant.retryAfter != nil {
		d.balancer.RetryAfter = func(capacityIn, remaining time.Duration) time.Duration {
			return p.variant.retryAfter(capacityIn, remaining, r)
		}
	}
	return d
}

// listEngine updates an engine's entry in the gateway's list of upstreams.
func (d *simGateway) listEngine(e *engine) {
	d.listPosition++
	d.facts.SetInstance(&facts.Instance{
		ID: e.name, Born: e.born, Pool: pool, Address: e.address, Domain: e.domain, Slots: d.sim.scenario.Engine.Slots, Held: e.heldVersions(), ListPosition: id.Position(d.listPosition),
	})
}

// knownDemand returns the load offered to all gateways as far as this one knows it.
func (d *simGateway) knownDemand() placement.Demand {
	largest := placement.Demand{}
	largest.MergeMax(d.domain, placement.OfferedLoad{OnTime: d.demandMeter.OnTime.PerSecond(pool), Late: d.demandMeter.Late.PerSecond(pool)})
	for _, l := range d.sim.demandSamples {
		for n, o := range l {
			largest.MergeMax(n, o)
		}
	}
	return largest
}

const (
	// demandInterval is the time between two samples of the load offered to all gateways, and demandSamplesKept the
	// number of samples that are kept. Each stager reports the load once a second, and the largest reported one counts.
	demandInterval    = 200 * time.Millisecond
	demandSamplesKept = 5
)

// sampleDemand sums up the load offered to all gateways.
func (p *simulation) sampleDemand() {
	sum := placement.Demand{}
	for _, d := range p.gateways {
		o := sum[d.domain]
		o.OnTime += d.demandMeter.OnTime.PerSecond(pool)
		o.Late += d.demandMeter.Late.PerSecond(pool)
		sum[d.domain] = o
	}
	p.demandSamples = append([]placement.Demand{sum}, p.demandSamples...)
	p.demandSamples = p.demandSamples[:min(len(p.demandSamples), demandSamplesKept)]
	if p.elapsed < seconds(p.scenario.Seconds) {
		p.after(demandInterval, p.sampleDemand)
	}
}

// clientAttempt is one attempt of a caller's request at a gateway.
type clientAttempt struct {
	gateway  *simGateway
	request  *request
	route    *catalog.Route
	query    gateway.Query
	deadline time.Duration
	attempts int
	neverRan bool
	current  *upstreamAttempt
	// delivered counts the events that the caller has received, and lastEvent is when the engine made the newest one.
	delivered     int
	lastEvent     time.Duration
	closed        bool
	leaveTimer    *timer
	deadlineTimer *timer
}

// receive begins a caller's attempt.
func (d *simGateway) receive(q *request, patience time.Duration) *clientAttempt {
	p := d.sim
	r := p.routes[q.kind.Name]
	timeLost := d.patience.TimeLost(r.Name, patience)
	if p.variant.ignoreTimeLost {
		timeLost = 0
	}
	f := &clientAttempt{gateway: d, request: q, route: r, neverRan: true, deadline: p.elapsed + min(patience, r.Timeout)}
	f.query = gateway.Query{
		Catalog: p.catalog, Pool: pool, Model: model, PromptTokens: q.prompt, Arrived: p.now(), ElapsedBefore: timeLost, CallerDeadline: p.now().Add(patience),
		Tried: map[id.Instance]bool{},
	}
	d.budget.RecordRequest(pool)
	f.leaveTimer = p.after(q.kind.firstEventPatience(), f.abandon)
	f.deadlineTimer = p.schedule(f.deadline, f.abandon)
	f.dispatch()
	return f
}

// dispatch sends the request to a chosen upstream.
func (f *clientAttempt) dispatch() {
	d := f.gateway
	p := d.sim
	f.query.Attempts = f.attempts
	if p.variant.reservationsAsked > 0 {
		f.reserve(1, nil)
		return
	}
	c, refusal := d.balancer.Choose(&f.query)
	if refusal != nil {
		f.fail(refusal.RetryAfter)
		return
	}
	f.send(c)
}

// send sends the request to an upstream.
func (f *clientAttempt) send(c placement.Choice) {
	d := f.gateway
	p := d.sim
	f.query.Tried[c.Instance] = true
	e := p.engineByName(c.Instance)
	if e.domain != d.domain {
		d.demandMeter.CrossDomain.Record(pool)
	}
	f.attempts++
	s := &upstreamAttempt{client: f, choice: c, engine: e, tracked: d.tracker.Begin(c.Address, f.query.PromptTokens), sentAt: p.elapsed}
	f.current = s
	s.job = &job{attempt: s, unread: f.query.PromptTokens, context: f.query.PromptTokens, remaining: f.request.events - f.delivered}
	if f.attempts < f.route.MaxAttempts {
		s.stallTimer = p.after(gateway.HedgeDelay(c.Predicted), s.onStall)
	}
	if deadline := d.balancer.BeginDeadline(model, c.Revision); !deadline.IsZero() {
		s.versionTimer = p.schedule(p.since(deadline), s.onVersionExpired)
	}
	p.after(p.oneWayDelay(d.domain, s.engine.domain), func() { s.engine.accept(s.job) })
}

// mayRetry reports whether the request may be sent to another upstream.
func (f *clientAttempt) mayRetry(notRun bool) bool {
	if f.closed || f.attempts >= f.route.MaxAttempts || f.gateway.sim.elapsed >= f.deadline {
		return false
	}
	if !gateway.Retryable(f.route, len(f.query.Tried), notRun, f.query.HeadSent) {
		return false
	}
	return f.attempts == 0 || f.gateway.budget.TakeRetry(pool)
}

// refusedRetryAfter is the Retry-After of a request that an upstream itself refused.
const refusedRetryAfter = 250 * time.Millisecond

// retryOrFail continues after an upstream attempt without a complete response.
func (f *clientAttempt) retryOrFail(notRun bool) {
	f.neverRan = f.neverRan && notRun
	if f.mayRetry(notRun) {
		f.dispatch()
		return
	}
	f.fail(refusedRetryAfter)
}

// fail ends the attempt without a response: refused if the request never ran, and failed otherwise.
func (f *clientAttempt) fail(retryAfter time.Duration) {
	f.close()
	f.gateway.patience.RecordRefusal()
	p, q := f.gateway.sim, f.request
	delay := ms(p.scenario.Links.CallerMs)
	wasRefused := f.neverRan && !f.query.HeadSent
	p.after(delay, func() { p.onUnserved(q, wasRefused, retryAfter) })
}

// abandon ends an attempt that the caller no longer waits for, or that has reached its deadline.
func (f *clientAttempt) abandon() {
	if f.closed {
		return
	}
	f.close()
	f.gateway.sim.onCallerLeft(f.request)
}

// close stops the attempt's timers and its upstream attempt.
func (f *clientAttempt) close() {
	f.closed = true
	f.leaveTimer.stop()
	f.deadlineTimer.stop()
	if f.current != nil {
		f.current.close()
	}
}
