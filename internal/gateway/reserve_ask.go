package gateway

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/reservation"
)

// reservationOffer is a stager's answer with the upstream that it is about.
type reservationOffer struct {
	choice placement.Choice
	answer reservation.Answer
	// askedAt is when it was asked for.
	askedAt time.Time
}

// askAll asks upstreams for reservations and returns the answers that came in time.
func (f *callerRequest) askAll(ctx context.Context, l []placement.Choice) []reservationOffer {
	g := f.gateway
	start := g.now()
	ctx, stop := context.WithTimeout(ctx, reservationTimeout)
	defer stop()
	r := f.reservationRequest(len(l))
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

// collect waits for n answers. Those that come after stragglerTimeout count only if no other has come by then; stop ends the
// wait for the rest.
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

const (
	// probePadding is the number of bytes that make a reservation request about as long as a caller's request, where it has to
	// show that the link is not narrow: on one of 0.5 Mbit/s it takes 18 ms.
	probePadding = 1100
	// maxProvenRoundTrip is the longest round trip of such a reservation request that shows a clear path. On a link on which
	// it takes longer, 3 Mbit/s, six chunks of weights that queue suddenly would take longer than provenMargin.
	maxProvenRoundTrip = 3 * time.Millisecond
)

// ask asks one upstream's stager; it returns nil without an answer.
func (f *callerRequest) ask(ctx context.Context, c placement.Choice, r reservation.Request) *reservationOffer {
	g := f.gateway
	o := &reservationOffer{choice: c, askedAt: g.now()}
	r.Revision = f.expectedRevision(c)
	if c.NeedsProbe {
		r.Padding = probePadding
	}
	a, offered, answered := g.loadSources.Reservations.Reserve(ctx, c.Address, c.Incarnation, r)
	switch {
	case !answered:
		return nil
	case c.NeedsProbe && g.now().Sub(o.askedAt) > maxProvenRoundTrip:
		a.Refusal = admission.Version
	case !offered && c.Margin < swapMargin:
		// provenMargin needs the stager's own prediction.
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

// reservationRequest returns the request as all stagers are asked for it.
func (f *callerRequest) reservationRequest(asked int) reservation.Request {
	target := f.admissionTarget()
	elapsed := f.gateway.balancer().elapsed(f.query())
	return reservation.Request{
		PromptTokens: f.meta.PromptTokens, AnswerTokens: f.expectedAnswerTokens(), Target: target, Late: !placement.InTime(0, elapsed, target),
		Begun: f.headSent || f.hedged, Rank: int(f.rank), Organisation: f.organisation, Asked: asked, Model: f.meta.Model,
	}
}

// expectedRevision returns the version that a request expects of an upstream; 0 for any.
func (f *callerRequest) expectedRevision(c placement.Choice) id.Revision {
	if f.headSent || f.gateway.facts.MinRevision(f.meta.Model, f.gateway.settings.SwapWithin-swapMargin) > 0 {
		return c.Revision
	}
	return 0
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
