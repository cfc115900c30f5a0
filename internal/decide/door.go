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

// door is a gateway: the decisions of a real one between callers and engines that are played.
type door struct {
	play     *play
	domain   id.Domain
	desk     *gateway.Balancer
	facts    *facts.Facts
	tracker  *placement.Tracker
	offers   *placement.DemandMeter
	patience *placement.PatienceTracker
	budget   *placement.RetryBudget
	random   *rand.Rand
	// slowness is what a way that learns from its own requests has learnt.
	slowness map[id.Instance]float64
	seen     uint64
}

func (p *play) newDoor(domain id.Domain, r *rand.Rand) *door {
	d := &door{
		play: p, domain: domain, facts: facts.New(p.now), tracker: placement.NewTracker(p.now), offers: placement.NewDemandMeter(p.now),
		patience: placement.NewPatienceTracker(p.now), random: r, slowness: map[id.Instance]float64{},
	}
	count := func() int { return len(p.doors) }
	rule := placement.RetryBudgetRule{Ratio: settings.RetryRatio, Slack: settings.RetrySlack, Window: settings.RetryWindow}
	d.budget = placement.NewRetryBudget(rule, count, p.now)
	d.facts.SetWanted(model, facts.Publication{Revision: 1, PublishTime: dating.TimeBounds{After: p.now()}})
	d.desk = &gateway.Balancer{
		Facts: d.facts, Domain: domain, SwapWithin: seconds(p.scenario.SwapWithin), Now: p.now, Random: func() *rand.Rand { return r },
		Load: gateway.LoadSources{Tracker: d.tracker, Offers: d.offers, Demand: func(id.Pool) placement.Demand { return d.demand() }, Gateways: count},
	}
	if p.way.bend != nil {
		d.desk.AdjustOutlook = func(w *placement.Forecast, l []placement.Candidate) { p.way.bend(d, w, l) }
	}
	if p.way.retry != nil {
		d.desk.RetryAfter = func(room, left time.Duration) time.Duration { return p.way.retry(room, left, r) }
	}
	return d
}

// list takes an engine into the list of upstreams.
func (d *door) list(e *engine) {
	d.seen++
	d.facts.SetInstance(&facts.Instance{
		ID: e.name, Born: e.born, Pool: pool, Address: e.address, Domain: e.domain, Slots: d.play.scenario.Engine.Slots, Held: e.holds(), ListPosition: id.Position(d.seen),
	})
}

// demand is what callers bring to all gateways as this one knows it.
func (d *door) demand() placement.Demand {
	most := placement.Demand{}
	most.MergeMax(d.domain, placement.OfferedLoad{OnTime: d.offers.OnTime.PerSecond(pool), Late: d.offers.Late.PerSecond(pool)})
	for _, l := range d.play.offered {
		for n, o := range l {
			most.MergeMax(n, o)
		}
	}
	return most
}

const (
	// offerEvery is how often sums are made, and offersKept how many of them count: each stager tells them once a second, and of
	// what the stagers say the largest counts.
	offerEvery = 200 * time.Millisecond
	offersKept = 5
)

// offer adds up what callers bring.
func (p *play) offer() {
	sum := placement.Demand{}
	for _, d := range p.doors {
		o := sum[d.domain]
		o.OnTime += d.offers.OnTime.PerSecond(pool)
		o.Late += d.offers.Late.PerSecond(pool)
		sum[d.domain] = o
	}
	p.offered = append([]placement.Demand{sum}, p.offered...)
	p.offered = p.offered[:min(len(p.offered), offersKept)]
	if p.at < seconds(p.scenario.Seconds) {
		p.after(offerEvery, p.offer)
	}
}

// flight is one try of a request at a gateway.
type flight struct {
	door     *door
	request  *request
	route    *catalog.Route
	query    gateway.Query
	deadline time.Duration
	sends    int
	neverRan bool
	send     *send
	// given counts the events that the caller has, and last is when the newest of them was made.
	given int
	last  time.Duration
	over  bool
	leave *alarm
	end   *alarm
}

// take begins a caller's try.
func (d *door) take(q *request, patience time.Duration) *flight {
	p := d.play
	r := p.routes[q.kind.Name]
	lost := d.patience.TimeLost(r.Name, patience)
	if p.way.forgetLost {
		lost = 0
	}
	f := &flight{door: d, request: q, route: r, neverRan: true, deadline: p.at + min(patience, r.Timeout)}
	f.query = gateway.Query{
		Catalog: p.catalog, Pool: pool, Model: model, PromptTokens: q.prompt, Arrived: p.now(), ElapsedBefore: lost, CallerDeadline: p.now().Add(patience),
		Tried: map[id.Instance]bool{},
	}
	d.budget.RecordRequest(pool)
	f.leave = p.after(q.kind.leaves(), f.giveUp)
	f.end = p.on(f.deadline, f.giveUp)
	f.attempt()
	return f
}

// attempt offers the request to an upstream.
func (f *flight) attempt() {
	d := f.door
	p := d.play
	f.query.Attempts = f.sends
	c, no := d.desk.Choose(&f.query)
	if no != nil {
		f.finish(no.RetryAfter)
		return
	}
	f.query.Tried[c.Instance] = true
	e := p.engine(c.Instance)
	if e.domain != d.domain {
		d.offers.CrossDomain.Record(pool)
	}
	f.sends++
	s := &send{flight: f, choice: c, engine: e, mark: d.tracker.Begin(c.Address, f.query.PromptTokens), at: p.at}
	f.send = s
	s.job = &job{send: s, unread: f.query.PromptTokens, context: f.query.PromptTokens, left: f.request.events - f.given}
	if f.sends < f.route.MaxAttempts {
		s.stall = p.after(gateway.HedgeDelay(c.Predicted), s.stalled)
	}
	if by := d.desk.BeginDeadline(model, c.Revision); !by.IsZero() {
		s.begin = p.on(p.since(by), s.versionOver)
	}
	p.after(p.between(d.domain, s.engine.domain), func() { s.engine.take(s.job) })
}

// again says whether the request may be offered to another upstream.
func (f *flight) again(notRun bool) bool {
	if f.over || f.sends >= f.route.MaxAttempts || f.door.play.at >= f.deadline {
		return false
	}
	if !gateway.Retryable(f.route, len(f.query.Tried), notRun, f.query.HeadSent) {
		return false
	}
	return f.sends == 0 || f.door.budget.TakeRetry(pool)
}

// refusedRetry is when a caller may come back whose request an upstream itself refused.
const refusedRetry = 250 * time.Millisecond

// failed goes on after an attempt that brought no answer.
func (f *flight) failed(notRun bool) {
	f.neverRan = f.neverRan && notRun
	if f.again(notRun) {
		f.attempt()
		return
	}
	f.finish(refusedRetry)
}

// finish answers a request that is given up: refused where it never ran, else cut or failed.
func (f *flight) finish(retry time.Duration) {
	f.close()
	p, q := f.door.play, f.request
	way := ms(p.scenario.Links.CallerMs)
	refused := f.neverRan && !f.query.HeadSent
	p.after(way, func() { p.unserved(q, refused, retry) })
}

// giveUp ends what the caller no longer waits for.
func (f *flight) giveUp() {
	if f.over {
		return
	}
	f.close()
	f.door.play.left(f.request)
}

// close lets go of all that the try holds.
func (f *flight) close() {
	f.over = true
	f.leave.stop()
	f.end.stop()
	if f.send != nil {
		f.send.close()
	}
}
