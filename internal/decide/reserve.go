package decide

import (
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/gateway"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
	"github.com/springrail/springrail/internal/throttle"
)

const (
	// pollInterval is the time between a stager's reads of its engine. A request for a reservation starts one if the figures
	// are older than reservationPollAge; it takes pollTime.
	pollInterval       = 100 * time.Millisecond
	reservationPollAge = 20 * time.Millisecond
	pollTime           = 300 * time.Microsecond
	// reservationRounds bounds how often a request asks upstreams of its own failure domain.
	reservationRounds = 2
)

// reservationStager is the part of an engine's stager that answers requests for reservations.
type reservationStager struct {
	ledger  *reservation.Ledger
	readAt  time.Duration
	reading bool
}

// startReservations creates the ledger of an engine.
func (e *engine) startReservations() {
	p := e.sim
	e.ledger = reservation.New(p.now, throttle.NewLimiter(p.now), admission.New(p.now))
	e.ledger.SetEngine(p.catalog.Services[pool].Engine)
	e.pollPeriodically()
}

func (e *engine) pollPeriodically() {
	if e.sim.elapsed > e.sim.endTime() {
		return
	}
	e.readState()
	e.sim.after(pollInterval, e.pollPeriodically)
}

// readState gives the ledger the engine's figures.
func (e *engine) readState() {
	if e.ledger == nil {
		return
	}
	r := e.loadReport()
	e.readAt = e.sim.elapsed
	e.ledger.RecordState(reservation.State{
		ReadAt: e.sim.now(), Running: r.Running, Waiting: r.Waiting, Slowdown: r.Slowdown, Held: r.Held, Closed: r.Closed || r.Down || e.loading,
	})
}

// reserve answers a request for a reservation from the figures at hand, and has them read if they are outdated.
func (e *engine) reserve(q reservation.Request) reservation.Answer {
	p := e.sim
	if !e.reading && p.elapsed-e.readAt > reservationPollAge {
		e.reading = true
		p.after(pollTime, func() {
			e.reading = false
			e.readState()
		})
	}
	return e.ledger.Reserve(q)
}

// reservationOffer is a stager's answer with the upstream that it is about.
type reservationOffer struct {
	choice placement.Choice
	engine *engine
	answer reservation.Answer
}

// reserve asks several upstreams for a reservation, in the sequence of the gateway's own code, and sends the request to the
// one with the soonest first event. Messages are never lost here.
func (f *clientAttempt) reserve(round int, refused []reservationOffer) {
	d := f.gateway
	l, refusal := d.balancer.Choices(&f.query, d.sim.variant.reservationsAsked)
	if f.query.Excluded == nil {
		f.query.Excluded = map[id.Instance]bool{}
	}
	if len(l) == 0 {
		f.fail(refusal.RetryAfter)
		return
	}
	var own []placement.Choice
	for _, c := range l {
		if c.Domain == d.domain {
			own = append(own, c)
		}
	}
	f.askAll(own, func(offers []reservationOffer) {
		refused = append(refused, offers...)
		if f.excludeClosed(offers) && round < reservationRounds {
			f.reserve(round+1, refused)
			return
		}
		f.reserveElsewhere(refused)
	})
}

// reserveElsewhere asks upstreams of other failure domains if the view shows capacity there.
func (f *clientAttempt) reserveElsewhere(refused []reservationOffer) {
	d := f.gateway
	f.query.Scope = gateway.OtherDomains
	l, refusal := d.balancer.Choices(&f.query, d.sim.variant.reservationsAsked)
	f.query.Scope = gateway.AnyDomain
	if refusal != nil {
		l = nil
	}
	f.askAll(l, func([]reservationOffer) { f.refuseReservation(refused) })
}

// refuseReservation refuses a request that no upstream has room for.
func (f *clientAttempt) refuseReservation(refused []reservationOffer) {
	b := f.gateway.balancer
	roomIn, overloaded := placement.NoUpstreamRetryAfter, false
	for _, o := range refused {
		roomIn, overloaded = min(roomIn, o.answer.RoomIn), overloaded || o.answer.Overloaded
	}
	remaining := f.query.CallerDeadline.Sub(b.Now())
	if overloaded {
		f.fail(placement.SpreadRetryAfter(roomIn, remaining, b.Random()))
		return
	}
	f.fail(placement.RetryAfter(roomIn, remaining, b.Random()))
}

// askAll asks upstreams for reservations. It sends the request if one is offered, and calls refused otherwise.
func (f *clientAttempt) askAll(l []placement.Choice, refused func(offers []reservationOffer)) {
	if len(l) == 0 {
		refused(nil)
		return
	}
	p := f.gateway.sim
	q := f.reservationRequest(len(l))
	offers := make([]reservationOffer, len(l))
	answered := 0
	for i, c := range l {
		e := p.engineByName(c.Instance)
		delay := p.oneWayDelay(f.gateway.domain, e.domain)
		p.after(delay, func() {
			offers[i] = reservationOffer{choice: c, engine: e, answer: e.reserve(q)}
			p.after(delay, func() {
				if answered++; answered == len(l) {
					f.decide(offers, refused)
				}
			})
		})
	}
}

// reservationRequest returns the request as stagers are asked for it, with a new number.
func (f *clientAttempt) reservationRequest(asked int) reservation.Request {
	p, q := f.gateway.sim, &f.query
	target := p.catalog.LatencyTarget(pool)
	elapsed := time.Duration(0)
	if len(q.Tried) == 0 {
		elapsed = q.ElapsedBefore + p.now().Sub(q.Arrived)
	}
	p.reservationCount++
	return reservation.Request{
		Gateway: string(f.gateway.domain), Number: p.reservationCount, PromptTokens: q.PromptTokens, Target: target, Late: !placement.InTime(0, elapsed, target),
		AnswerTokens: max(1, f.request.kind.Events.Mean-float64(f.delivered)) * float64(p.scenario.Engine.Stride),
		Begun:        q.HeadSent, Asked: asked, Model: model, Revision: q.Revision,
	}
}

// decide takes the reservation with the soonest first event and releases the others.
func (f *clientAttempt) decide(offers []reservationOffer, refused func(offers []reservationOffer)) {
	p := f.gateway.sim
	var soonest *reservationOffer
	for i := range offers {
		o := &offers[i]
		if !f.closed && o.answer.Permit > 0 && (soonest == nil || o.answer.FirstEvent < soonest.answer.FirstEvent) {
			soonest = o
		}
	}
	for i := range offers {
		o := &offers[i]
		if o.answer.Permit == 0 {
			continue
		}
		notify := o.engine.ledger.Release
		if o == soonest {
			notify = o.engine.ledger.Take
		}
		p.after(p.oneWayDelay(f.gateway.domain, o.engine.domain), func() { notify(o.answer.Permit) })
	}
	switch {
	case f.closed:
	case soonest == nil:
		refused(offers)
	default:
		c := soonest.choice
		c.Predicted = soonest.answer.FirstEvent
		f.send(c)
	}
}

// excludeClosed excludes the upstreams that take no requests at all, and reports whether all offers are of such ones.
func (f *clientAttempt) excludeClosed(offers []reservationOffer) bool {
	excluded := 0
	for _, o := range offers {
		if r := o.answer.Refusal; r == admission.Closed || r == admission.Version {
			f.query.Excluded[o.choice.Instance] = true
			excluded++
		}
	}
	return excluded > 0 && excluded == len(offers)
}
