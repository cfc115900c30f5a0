package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/upconn"
)

const (
	// firstEventSlack is the time beyond twice the predicted time to the first event after which a hedged request is
	// sent.
	firstEventSlack = 700 * time.Millisecond
	// eventStallTimeout is how long a stream may pause before another upstream is asked to continue it.
	eventStallTimeout = 1200 * time.Millisecond
	// refusedRetryAfter is the Retry-After of a request that an upstream refused.
	refusedRetryAfter = 250 * time.Millisecond
)

// HedgeDelay returns how long to wait for a first event, given its predicted time, before a hedged request is sent.
func HedgeDelay(predicted time.Duration) time.Duration {
	return 2*predicted + firstEventSlack
}

// tryUpstream sends the request to one upstream. It returns nil once the caller has its response.
func (f *callerRequest) tryUpstream(ctx context.Context) *attemptError {
	c, p := f.choose(ctx)
	if p != nil {
		return p
	}
	t := f.startAttempt(ctx, c)
	defer t.release()
	t.startStallTimer(HedgeDelay(c.Predicted))
	p = t.send()
	if p == nil {
		p = t.forwardAnswer()
	}
	return t.resolve(p)
}

// startAttempt records an attempt at the chosen upstream.
func (f *callerRequest) startAttempt(ctx context.Context, c placement.Choice) *attempt {
	g := f.gateway
	f.tried[c.Instance] = true
	f.upstreamAddress = c.Address
	if !f.headSent {
		f.predictedFirst = c.Predicted
	}
	if f.meta.Model != "" && c.Domain != g.location.Domain {
		g.loadSources.Offers.CrossDomain.Record(f.pool)
	}
	f.attempts++
	t := &attempt{
		request: f, choice: c, tracked: g.loadSources.Tracker.Begin(c.Address, f.meta.PromptTokens), permit: f.permit, parentCtx: ctx,
		attemptNumber: f.attempts, eventsBefore: f.events.forwarded, lastByteAt: g.now(), startedAt: g.now(), position: f.currentPosition(),
	}
	t.followed = g.crashDetector.Begin(t.upstreamIncarnation(), f.inFlightRequest())
	t.ctx, t.cancel = context.WithCancelCause(ctx)
	if c.Revision > 0 && f.meta.Model != "" {
		t.startVersionTimer()
	}
	return t
}

// release frees the attempt's connection, timers and load accounting.
func (t *attempt) release() {
	if t.exchange != nil {
		t.exchange.Release(t.answerComplete)
	}
	if t.versionTimer != nil {
		t.versionTimer.Stop()
	}
	t.cancel(nil)
	t.tracked.End()
	t.followed.End()
}

// send sends the request and waits for the response header.
func (t *attempt) send() *attemptError {
	f := t.request
	e, err := f.gateway.connections.Send(t.ctx, t.choice.Address, f.upstreamRequest(t.choice))
	switch {
	case errors.Is(err, upconn.ErrSendDenied):
		f.attempts--
		return f.notSentError()
	case errors.Is(err, upconn.ErrNotSent):
		f.attempts--
		t.tracked.RecordFailure()
		return notRunError("no connection to the upstream", refusedRetryAfter)
	case errors.Is(err, upconn.ErrInvalidResponse):
		f.gateway.log.Warn().Str("instance", string(t.choice.Instance)).Str("upstream", t.choice.Address).Err(err).Msg("invalid answer of an upstream")
		t.invalidAnswer = true
		return t.handleBreak("the upstream's answer is invalid")
	case err != nil:
		return t.handleBreak("the upstream broke off before its answer")
	}
	t.exchange = e
	t.followed.Received(false)
	return nil
}

// maxQueuePriority is the least urgent position that ForwardMeta can state.
const maxQueuePriority = 9

// upstreamRequest builds the request that is sent to an upstream.
func (f *callerRequest) upstreamRequest(c placement.Choice) *upconn.Request {
	r := f.httpRequest
	h := forwardedHeader(r.Header)
	s := ForwardMeta{
		Instance: c.Instance, Organisation: f.organisation, Timeout: f.deadline.Sub(f.gateway.now()), LastEventID: f.events.lastID,
		Revision: f.expectedRevision(c),
	}
	if f.ranked() {
		s.Ranked, s.QueuePriority = true, min(slices.Index(f.catalog.Ranks(f.pool), f.rank), maxQueuePriority)
	}
	f.gateway.dialect.PrepareHeader(h, s)
	return &upconn.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: h, Body: f.body, BodyRest: f.unreadBody, ContentLength: r.ContentLength,
		Incarnation: c.Incarnation, MaySend: func(dialled time.Duration) bool { return f.maySend(c, dialled) },
	}
}

// maySend reports whether an admitted request may still be sent once its connection, which took the given time to
// dial, is established. It may not if the upstream has meanwhile announced that it is draining or asked for a
// pause.
func (f *callerRequest) maySend(c placement.Choice, dialled time.Duration) bool {
	f.notSent = ""
	switch {
	case f.gateway.facts.AnnouncedLeaving(c.Instance, c.Incarnation):
		f.notSent = notSentLeaving
	case f.gateway.loadSources.Tracker.RestRemaining(c.Address, c.Instance) > 0:
		f.notSent = notSentResting
	case !f.beginsInTime(c, dialled):
		f.notSent = notSentVersion
	case !f.completesInTime(c):
		f.notSent = notSentShutdown
	}
	if f.notSent != "" {
		return false
	}
	f.progress.noteSent(f.gateway.now())
	return true
}

// notSentReason is the reason why a request was not sent although an upstream had been chosen for it.
type notSentReason string

const (
	notSentVersion notSentReason = "version"
	notSentLeaving notSentReason = "leaving"
	notSentResting notSentReason = "resting"
	// notSentShutdown is a request that this gateway is not expected to complete before it ends.
	notSentShutdown notSentReason = "shutdown"
)

// notSentError returns the error of an attempt that was not sent.
func (f *callerRequest) notSentError() *attemptError {
	f.gateway.metrics.count("held_for_" + string(f.notSent))
	switch f.notSent {
	case notSentLeaving:
		return notRunError("the upstream leaves", f.retryAfterElsewhere())
	case notSentResting:
		return notRunError("the upstream rests", f.retryAfterElsewhere())
	case notSentShutdown:
		return &attemptError{text: reasonLeaving, notRun: true, final: true, retryAfter: leavingRetryAfter}
	default:
		return notRunError("the connection came too late for the version there", f.decision.retryAfterSwap(f.gateway.now()))
	}
}

// beginsInTime reports whether the request would still begin in time. Its deadline and that of its permit must not
// have passed, as can happen in a suspension. Its version must remain valid for the margin required at admission,
// and for the predicted wait on a link that is as slow as the dial or the permit request was.
func (f *callerRequest) beginsInTime(c placement.Choice, dialled time.Duration) bool {
	if f.remaining() <= 0 || (!f.permitExpiry.IsZero() && f.gateway.now().After(f.permitExpiry)) {
		return false
	}
	if c.Revision == 0 || f.meta.Model == "" {
		return true
	}
	g := f.gateway
	versionEnd := g.facts.ServableUntil(f.meta.Model, c.Revision, g.settings.SwapWithin)
	return versionEnd.IsZero() || !g.now().Add(max(c.Margin, c.ExpectedWait+dialDelayFactor*max(dialled, f.permitWait))).After(versionEnd)
}

// dialDelayFactor bounds how many times longer than the dial or the permit request a request may take on the link,
// as its queue may have grown since.
const dialDelayFactor = 2

// attempt is one exchange of a request with one upstream.
type attempt struct {
	request *callerRequest
	choice  placement.Choice
	tracked *placement.Attempt
	// permit is the number of the attempt's rate limit permit; 0 for none.
	permit   uint64
	exchange *upconn.Exchange
	// versionTimer checks whether the grace period of the upstream's version has ended; see startVersionTimer.
	versionTimer *time.Timer
	// parentCtx is the request's context; ctx is the attempt's own and ends with it.
	parentCtx, ctx context.Context
	cancel         context.CancelCauseFunc
	// answerComplete is true once the response has been read to its end, so that the connection can be reused.
	answerComplete bool
	startRecorded  bool
	// invalidAnswer is true of an attempt whose upstream sent what HTTP does not allow.
	invalidAnswer bool
	// writtenRecorded is true once an answer was recorded that has been written for some time.
	writtenRecorded bool
	// startedAt is when the attempt was about to be sent.
	startedAt time.Time
	// endProven is true once the end of the answer proves that it is complete and that the upstream has not crashed under it.
	endProven bool
	// received is the number of bytes of the response's body that were read.
	received int64
	// answerStarted is true once the upstream has sent any part of its response.
	answerStarted atomic.Bool
	// firstDataAt is when the first data after the header was received; zero before.
	firstDataAt time.Time
	// attemptNumber counts the attempts at the request up to this one, and eventsBefore the events that the caller had
	// received before it.
	attemptNumber, eventsBefore int
	// lastByteAt is when the upstream last sent data, or when the request was sent.
	lastByteAt time.Time
	// followed is the attempt as the detection of crashes follows it.
	followed *quarantine.Attempt
	// pace tells an answer that stayed unread from a failure of the upstream.
	pace callerPace

	mu sync.Mutex
	// position is how far the caller's response has come.
	position streamPosition
	// stallTimer fires when the upstream has been silent for too long; nil if the stream cannot be continued by
	// another one.
	stallTimer *time.Timer
	// hedge is the concurrent attempt at another upstream; nil for none.
	hedge *hedge
	// failedHedges are hedged attempts that produced nothing.
	failedHedges []*hedge
	// forwarding is true while data is being written to the caller, so that position is out of date.
	forwarding bool
	// ended is true once the exchange has ended.
	ended bool
}

// aboutToLoad reports whether an upstream has stopped taking requests in order to load weights.
func (g *Gateway) aboutToLoad(address string) bool {
	r, ok := g.loadSources.Tracker.FreshReport(address)
	return ok && r.Closed
}

// canRetry reports whether an idempotent request that an upstream failed may be sent to another one.
func (f *callerRequest) canRetry() bool {
	return f.hasAttemptsLeft() && f.gateway.now().Before(f.deadline)
}

// hasAttemptsLeft reports whether the route allows another attempt and the whole body is buffered.
func (f *callerRequest) hasAttemptsLeft() bool {
	return f.attempts < f.route.MaxAttempts && f.unreadBody == nil
}
