package gateway

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/upconn"
)

const (
	// firstStall is how long beyond twice its predicted time a first event may take before another upstream is asked.
	firstStall = 700 * time.Millisecond
	// eventStall is how long a stream may pause before another upstream is asked to continue it.
	eventStall = 1200 * time.Millisecond
	// refusedRetry is when a caller may come back whose request an upstream itself refused.
	refusedRetry = 250 * time.Millisecond
)

// HedgeDelay is how long a first event that was predicted after a time may take before another upstream is asked.
func HedgeDelay(predicted time.Duration) time.Duration {
	return 2*predicted + firstStall
}

// attempt sends the request to one upstream. It returns nil once the caller has its answer.
func (f *flight) attempt(ctx context.Context) *attemptError {
	c, p := f.choose(ctx)
	if p != nil {
		return p
	}
	t := f.begin(ctx, c)
	defer t.end()
	t.watch(HedgeDelay(c.Predicted))
	p = t.send()
	if p == nil {
		p = t.take()
	}
	return t.settle(p)
}

// begin makes the attempt at an upstream that has been chosen.
func (f *flight) begin(ctx context.Context, c placement.Choice) *attempt {
	g := f.gateway
	f.tried[c.Instance] = true
	f.upstream = c.Address
	if !f.headSent {
		f.predicted = c.Predicted
	}
	if f.ask.Model != "" && c.Domain != g.domain {
		g.load.Offers.CrossDomain.Record(f.pool)
	}
	f.attempts++
	t := &attempt{
		flight: f, choice: c, mark: g.load.Tracker.Begin(c.Address, f.ask.PromptTokens), permit: f.permit, parent: ctx,
		attempts: f.attempts, eventsBefore: f.events.passed, lastByte: g.now(), position: f.position(),
	}
	t.ctx, t.stop = context.WithCancelCause(ctx)
	if c.Revision > 0 && f.ask.Model != "" {
		t.watchVersion()
	}
	return t
}

// end gives back what the attempt holds.
func (t *attempt) end() {
	if t.exchange != nil {
		t.exchange.Release(t.whole)
	}
	if t.versionEnd != nil {
		t.versionEnd.Stop()
	}
	t.stop(nil)
	t.mark.End()
}

// send sends the request and waits for the head of its answer.
func (t *attempt) send() *attemptError {
	f := t.flight
	e, err := f.gateway.pool.Send(t.ctx, t.choice.Address, f.message(t.choice))
	switch {
	case errors.Is(err, upconn.ErrSendDenied):
		f.attempts--
		return f.heldBack()
	case errors.Is(err, upconn.ErrNotSent):
		f.attempts--
		t.mark.RecordFailure()
		return notRun("no connection to the upstream", refusedRetry)
	case err != nil:
		return t.broke("the upstream broke off before its answer")
	}
	t.exchange = e
	return nil
}

// message makes what is sent to an upstream.
func (f *flight) message(c placement.Choice) *upconn.Request {
	r := f.request
	h := passOn(r.Header)
	s := ForwardMeta{Instance: c.Instance, Organisation: f.org, Timeout: f.deadline.Sub(f.gateway.now()), LastEventID: f.events.last}
	if f.headSent || f.gateway.facts.MinRevision(f.ask.Model, f.gateway.settings.SwapWithin-swapMargin) > 0 {
		s.Revision = c.Revision
	}
	f.gateway.dialect.PrepareHeader(h, s)
	return &upconn.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: h, Body: f.body, BodyRest: f.rest, ContentLength: r.ContentLength,
		Incarnation: c.Incarnation, MaySend: func(dialled time.Duration) bool { return f.may(c, dialled) },
	}
}

// may says whether an admitted request may still be sent once its connection, which took a time, is there. The upstream
// must not have said meanwhile that it leaves, or asked for rest.
func (f *flight) may(c placement.Choice, dialled time.Duration) bool {
	f.held = ""
	switch {
	case f.gateway.facts.AnnouncedLeaving(c.Instance, c.Incarnation):
		f.held = heldLeaving
	case f.gateway.load.Tracker.RestRemaining(c.Address, c.Instance) > 0:
		f.held = heldResting
	case !f.inTime(c, dialled):
		f.held = heldVersion
	}
	return f.held == ""
}

// heldReason is why a request was not sent although an upstream had been chosen for it.
type heldReason string

const (
	heldVersion heldReason = "version"
	heldLeaving heldReason = "leaving"
	heldResting heldReason = "resting"
)

// heldBack is what comes of an attempt that was not sent.
func (f *flight) heldBack() *attemptError {
	f.gateway.tally.add("held_for_" + string(f.held))
	switch f.held {
	case heldLeaving:
		return notRun("the upstream leaves", f.retryElsewhere())
	case heldResting:
		return notRun("the upstream rests", f.retryElsewhere())
	default:
		return notRun("the connection came too late for the version there", f.decision.swapRetry(f.gateway.now()))
	}
}

// inTime says whether a request may still be sent as far as time goes. Its deadline and that of its permit must not have
// passed, as after a suspension, and its version must have as much time left as at admission, and as the request needs on
// a connection that is as slow as the dial or the permit was.
func (f *flight) inTime(c placement.Choice, dialled time.Duration) bool {
	if f.left() <= 0 || (!f.permitEnds.IsZero() && f.gateway.now().After(f.permitEnds)) {
		return false
	}
	if c.Revision == 0 || f.ask.Model == "" {
		return true
	}
	g := f.gateway
	until := g.facts.ServableUntil(f.ask.Model, c.Revision, g.settings.SwapWithin)
	return until.IsZero() || !g.now().Add(max(c.Margin, c.ExpectedWait+wayDialled*max(dialled, f.asked))).After(until)
}

// wayDialled bounds how many times longer than the dial or the permit a request may take on the link: the queue may
// have grown since.
const wayDialled = 2

// attempt is one's exchange with an upstream.
type attempt struct {
	flight *flight
	choice placement.Choice
	mark   *placement.Attempt
	// permit is the number of the permit that it has; 0 for none.
	permit   uint64
	exchange *upconn.Exchange
	// versionEnd looks whether the version's time is over; see watchVersion.
	versionEnd *time.Timer
	// parent outlives the attempt, and ctx ends with it.
	parent, ctx context.Context
	stop        context.CancelCauseFunc
	// whole is true once the answer has been read to its end, so that the connection can be used again.
	whole bool
	begun bool
	// answering is true once the upstream has sent anything of its answer.
	answering atomic.Bool
	// attempts is the number of attempts at the request with this one, and eventsBefore that of the events that the
	// caller had before it.
	attempts, eventsBefore int
	// lastByte is when the upstream last sent anything, or when the request was sent.
	lastByte time.Time

	mu sync.Mutex
	// position is how far the caller's answer has come.
	position position
	// watchdog fires when the upstream has been silent for too long; nil where the stream can't be continued elsewhere.
	watchdog *time.Timer
	// hedge is the attempt at another upstream beside this one; nil for none.
	hedge *hedge
	// spent are hedges that brought nothing.
	spent []*hedge
	// passing is true while something of the answer is on its way to the caller, so that position is behind.
	passing bool
	// over is true once the exchange has ended.
	over bool
}

// closed says whether an upstream is about to load weights.
func (g *Gateway) closed(address string) bool {
	r, ok := g.load.Tracker.FreshReport(address)
	return ok && r.Closed
}

// canRepeat says whether a safe request that an upstream failed may be offered to another one.
func (f *flight) canRepeat() bool {
	return f.attemptsLeft() && f.gateway.now().Before(f.deadline)
}

// attemptsLeft says whether the route lets the request be offered once more, and its body is still there.
func (f *flight) attemptsLeft() bool {
	return f.attempts < f.route.MaxAttempts && f.rest == nil
}
