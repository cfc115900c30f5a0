package gateway

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
)

// ReservationClient asks the stagers beside upstreams for reservations. The methods are function fields so that tests and
// simulations can replace them.
type ReservationClient struct {
	// Reserve asks for a reservation. It returns the answer, and whether one came before the context ended. offered is false
	// if the stager knows no reservations.
	Reserve func(ctx context.Context, address string, incarnation id.Incarnation, q reservation.Request) (a reservation.Answer, offered, answered bool)
	// Take notifies the stager that the request is about to be sent, Release that it is not sent there.
	Take, Release func(address string, permit uint64)
}

const (
	// maxReservationRequests is the number of upstreams that are asked at the same time. With three, the time to the first
	// event in simulations is close to that with a perfect view of all; with two, four times as many requests are late.
	maxReservationRequests = 3
	// reservationRounds bounds how often a request asks upstreams of its own failure domain, as others may be about to load.
	reservationRounds = 2
	// stragglerTimeout bounds the wait for all answers, and reservationTimeout that for the first one. A round trip within a
	// failure domain takes less than a millisecond, unless chunks of weights queue on the link.
	stragglerTimeout   = 8 * time.Millisecond
	reservationTimeout = 30 * time.Millisecond
)

const (
	// probePadding makes a question about as long as a request, in bytes, where it has to show that the link is not narrow:
	// on one of 0.5 Mbit/s it takes 18 ms.
	probePadding = 1100
	// maxProvenRoundTrip is the longest round trip of such a question that shows a clear path.
	maxProvenRoundTrip = 15 * time.Millisecond
)

// reservationLog is what the log line of a request says of its reservation.
type reservationLog struct {
	asked, answered int
	took            time.Duration
}

// needsReservation reports whether the request asks for a reservation: the pool is one of engines, and so many gateways
// share the upstreams of the failure domain that this one's own count of what it has sent covers a small part.
func (f *callerRequest) needsReservation() bool {
	g := f.gateway
	s := f.catalog.Services[f.pool]
	return s != nil && s.Engine != nil && g.settings.ReservationMinGateways > 0 && len(g.facts.Gateways()) >= g.settings.ReservationMinGateways
}

// reserve asks a few upstreams for a reservation and takes the one with the soonest first event. It returns neither a
// permit nor a Refusal if the answers don't decide, as none came.
func (f *callerRequest) reserve(ctx context.Context, q *Query) (placement.Choice, *Refusal) {
	b := f.gateway.balancer()
	q.PathsProven = true
	defer func() { q.PathsProven = false }()
	var refused []reservationOffer
	for range reservationRounds {
		l, refusal := b.Choices(q, maxReservationRequests)
		f.decision = q.decision
		if q.Excluded == nil {
			q.Excluded = map[id.Instance]bool{}
		}
		if len(l) == 0 {
			return placement.Choice{}, refusal
		}
		offers := f.askAll(ctx, q, ownDomain(l, f.gateway.location.Domain))
		if c, ok := f.takeSoonest(offers); ok {
			return c, nil
		}
		refused = append(refused, offers...)
		if !excludeClosed(q, offers) {
			break
		}
	}
	if len(refused) == 0 {
		return placement.Choice{}, nil
	}
	q.OtherDomains = true
	if l, refusal := b.Choices(q, maxReservationRequests); refusal == nil {
		if c, ok := f.takeSoonest(f.askAll(ctx, q, l)); ok {
			return c, nil
		}
	}
	q.OtherDomains = false
	return placement.Choice{}, f.refuseReservation(q, refused)
}

// ownDomain returns the choices in a failure domain.
func ownDomain(l []placement.Choice, d id.Domain) []placement.Choice {
	var own []placement.Choice
	for _, c := range l {
		if c.Domain == d {
			own = append(own, c)
		}
	}
	return own
}

// reservationOffer is a stager's answer with the upstream that it is about.
type reservationOffer struct {
	choice placement.Choice
	answer reservation.Answer
	// askedAt is when it was asked for.
	askedAt time.Time
}

// excludeClosed excludes the upstreams that take no requests at all, and reports whether all offers are of such ones.
func excludeClosed(q *Query, offers []reservationOffer) bool {
	excluded := 0
	for _, o := range offers {
		switch o.answer.Refusal {
		case admission.Closed, admission.Version, admission.Limit:
			q.Excluded[o.choice.Instance] = true
			excluded++
		default:
		}
	}
	return excluded > 0 && excluded == len(offers)
}

// askAll asks upstreams for reservations and returns the answers that came in time.
func (f *callerRequest) askAll(ctx context.Context, q *Query, l []placement.Choice) []reservationOffer {
	g := f.gateway
	if len(l) == 0 {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, reservationTimeout)
	defer stop()
	start := g.now()
	r := f.reservationRequest(q, len(l))
	answers := make(chan *reservationOffer, len(l))
	for _, c := range l {
		go func() { answers <- f.ask(ctx, c, r) }()
	}
	offers := f.collect(answers, len(l), stop)
	f.reservation.asked += len(l)
	f.reservation.answered += len(offers)
	f.reservation.took += g.now().Sub(start)
	g.metrics.add("reservations_asked", len(l))
	g.metrics.add("reservations_unanswered", len(l)-len(offers))
	return offers
}

// collect waits for n answers. Stragglers have less time than the first one, after which stop ends the wait for them.
func (f *callerRequest) collect(answers <-chan *reservationOffer, n int, stop context.CancelFunc) []reservationOffer {
	stragglersDue := time.NewTimer(stragglerTimeout)
	defer stragglersDue.Stop()
	var offers []reservationOffer
	due := false
	for range n {
		var o *reservationOffer
		select {
		case o = <-answers:
		case <-stragglersDue.C:
			due = true
			if len(offers) > 0 {
				stop()
			}
			o = <-answers
		}
		if o != nil {
			offers = append(offers, *o)
		}
		if due && len(offers) > 0 {
			stop()
		}
	}
	return offers
}

// ask asks one upstream's stager; it returns nil without an answer.
func (f *callerRequest) ask(ctx context.Context, c placement.Choice, r reservation.Request) *reservationOffer {
	g := f.gateway
	o := &reservationOffer{choice: c, askedAt: g.now()}
	if c.NeedsProbe {
		r.Padding = probePadding
	}
	a, offered, answered := g.loadSources.Reservations.Reserve(ctx, c.Address, c.Incarnation, r)
	switch {
	case !answered:
		return nil
	case c.NeedsProbe && g.now().Sub(o.askedAt) > maxProvenRoundTrip:
		a.Refusal = admission.Version
	case !offered && a.Permit == 0:
		a.Refusal = admission.Limit
	case !offered:
		// The stager predicts nothing, so that the prediction of this process and its admission apply.
		a.FirstEvent = c.Predicted
		if a.Refusal = admission.Admitted; !c.HasCapacity && !r.Begun {
			a.Refusal = admission.Busy
		}
	}
	o.answer = a
	return o
}

// reservationRequest returns the request as stagers are asked for it.
func (f *callerRequest) reservationRequest(q *Query, asked int) reservation.Request {
	b := f.gateway.balancer()
	target := f.admissionTarget()
	r := reservation.Request{
		PromptTokens: f.meta.PromptTokens, AnswerTokens: f.expectedAnswerTokens(), Target: target, Late: !placement.InTime(0, b.elapsed(q), target),
		Begun: f.headSent || f.hedged, Rank: int(f.rank), Organisation: f.organisation, Asked: asked, Model: f.meta.Model,
	}
	if f.headSent {
		r.Revision = f.revision
	}
	return r
}

// admissionTarget returns the latency target by which the request is admitted: that of its rank, where the pool has
// several.
func (f *callerRequest) admissionTarget() time.Duration {
	if f.ranked() {
		return f.catalog.RankLatencyTarget(f.pool, f.route)
	}
	return f.catalog.LatencyTarget(f.pool)
}

// ranked reports whether requests of different ranks compete for the pool's engines.
func (f *callerRequest) ranked() bool {
	s := f.catalog.Services[f.pool]
	return s != nil && s.Engine != nil && len(f.catalog.Ranks(f.pool)) > 1
}

// takeSoonest takes the reservation with the soonest first event and releases the others.
func (f *callerRequest) takeSoonest(offers []reservationOffer) (placement.Choice, bool) {
	g := f.gateway
	var soonest *reservationOffer
	for i := range offers {
		o := &offers[i]
		if o.answer.Refusal == admission.Admitted && (soonest == nil || o.answer.FirstEvent < soonest.answer.FirstEvent) {
			soonest = o
		}
	}
	for i := range offers {
		o := &offers[i]
		switch {
		case o == soonest:
			g.loadSources.Reservations.Take(o.choice.Address, o.answer.Permit)
		case o.answer.Permit > 0:
			g.loadSources.Reservations.Release(o.choice.Address, o.answer.Permit)
		}
	}
	if soonest == nil {
		return placement.Choice{}, false
	}
	c := soonest.choice
	c.Predicted = soonest.answer.FirstEvent
	c.ExpectedWait = max(c.ExpectedWait, time.Duration(waitSafetyFactor*float64(c.Predicted)))
	c.Margin = max(c.Margin, c.ExpectedWait+minTransitTime)
	f.permit, f.permitExpiry, f.permitWait = soonest.answer.Permit, soonest.askedAt.Add(permitLifetime), f.reservation.took
	if c.Limit != nil {
		f.knownLimit = *c.Limit
	}
	g.metrics.count("reservations_taken")
	return c, true
}

// refusalReasons are the reasons that callers and logs are given, the one that applies first where upstreams differ.
var refusalReasons = []struct {
	refusal admission.Refusal
	reason  string
}{
	{admission.Busy, "too busy"},
	{admission.Rank, "rank"},
	{admission.Share, "share of the organisation"},
}

// refuseReservation refuses a request for which no upstream that answered has room. In overload callers return at a random
// time up to the longest wait that they accept: one that returns into the same burst is refused for good.
func (f *callerRequest) refuseReservation(q *Query, offers []reservationOffer) *Refusal {
	b := f.gateway.balancer()
	roomIn, overloaded := time.Duration(-1), false
	for _, o := range offers {
		overloaded = overloaded || o.answer.Overloaded
		if roomIn < 0 || o.answer.RoomIn < roomIn {
			roomIn = o.answer.RoomIn
		}
	}
	for _, r := range refusalReasons {
		for _, o := range offers {
			if o.answer.Refusal != r.refusal {
				continue
			}
			f.gateway.metrics.count("refused: " + r.reason)
			remaining := q.CallerDeadline.Sub(b.Now())
			if overloaded {
				return &Refusal{Reason: r.reason, RetryAfter: placement.SpreadRetryAfter(roomIn, remaining, b.Random()), Predicted: o.answer.FirstEvent}
			}
			return &Refusal{Reason: r.reason, RetryAfter: placement.RetryAfter(roomIn, remaining, b.Random()), Predicted: o.answer.FirstEvent}
		}
	}
	return b.refuseNoUpstream(q, q.decision.retryAfterSwap(b.Now()))
}

// logReservation adds what is known of the request's reservation to its log line.
func (f *callerRequest) logReservation(e *log.Entry) *log.Entry {
	if f.reservation.asked == 0 {
		return e
	}
	return e.Int("asked", f.reservation.asked).Int("offers", f.reservation.answered).Int64("reserve_us", f.reservation.took.Microseconds()).Int("rank", int(f.rank))
}

// expectedAnswerTokens returns the expected length of the rest of the answer, in tokens.
func (f *callerRequest) expectedAnswerTokens() float64 {
	e := f.catalog.Services[f.pool].Engine
	whole := f.gateway.answerLengths.Expected(f.route.Name, e.MeanAnswerTokens, f.meta.MaxAnswerTokens)
	return max(float64(e.StepsPerPass), whole-float64(f.events.forwarded*e.StepsPerPass))
}

// recordAnswerLength learns from a complete answer.
func (f *callerRequest) recordAnswerLength() {
	if s := f.catalog.Services[f.pool]; s != nil && s.Engine != nil && f.events.forwarded > 0 {
		f.gateway.answerLengths.Record(f.route.Name, float64(f.events.forwarded*s.Engine.StepsPerPass))
	}
}
