package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/throttle"
)

// writeDeadlineSlack extends the write deadline beyond the caller's deadline for data still on its way to the caller.
const writeDeadlineSlack = 100 * time.Millisecond

// callerRequest is one caller's request in flight and the state of its attempts.
type callerRequest struct {
	gateway      *Gateway
	meta         RequestMeta
	route        *catalog.Route
	catalog      *catalog.Catalog
	pool         id.Pool
	organisation id.Organisation
	// rank is the urgency of the request.
	rank catalog.Rank
	// regions are the regions in which the request may be served.
	regions     catalog.Regions
	httpRequest *http.Request
	writer      http.ResponseWriter
	arrived     time.Time
	// elapsedBefore is the time that the caller spent on earlier tries of this request.
	elapsedBefore time.Duration
	// deadline is the earlier of the caller's deadline and the route's timeout; callerDeadline is the caller's alone.
	deadline, callerDeadline time.Time
	body                     []byte
	unreadBody               io.Reader
	// upload is unreadBody, and buffers what the request holds of the gateway's buffer budget.
	upload  *streamedBody
	buffers *bufferAccount

	tried    map[id.Instance]bool
	attempts int
	// headSent is true once the response header has been sent to the caller.
	headSent bool
	// allNotRun is true while every attempt has been proven not to have run.
	allNotRun bool
	events    eventSplitter
	// partialReserved is the buffer space that was reserved for a long incomplete event.
	partialReserved int64
	revision        id.Revision
	// The predicted and actual time to the first event, the upstream and the basis of its choice, for the log line;
	// retryAfter is the Retry-After of a refusal.
	predictedFirst  time.Duration
	timeToFirst     time.Duration
	upstreamAddress string
	decision        decision
	retryAfter      time.Duration
	// responseLimit is the upstream's rate limit according to the newest response, and knownLimit what was known of
	// the limit of the last rate-limited upstream that was chosen.
	responseLimit throttle.LimitInfo
	knownLimit    throttle.Limit
	// notSent is the reason why the newest attempt was not sent; empty where it was.
	notSent notSentReason
	// upstreamLeaving and upstreamRest are the upstream's draining state and requested pause in the newest response.
	upstreamLeaving bool
	upstreamRest    time.Duration
	// permit is the number of the current attempt's rate limit permit, permitWait the time that it took to obtain, and
	// permitExpiry when it expires.
	permit       uint64
	permitWait   time.Duration
	permitExpiry time.Time
	// permitSearchEnd is when the search for an upstream that grants a permit ends.
	permitSearchEnd time.Time
	// reservation is the outcome of the newest requests for a reservation, and hedged is true of a hedged attempt.
	reservation reservationLog
	hedged      bool
	// identity is what the request is recognised by across its retries, once its body has been read.
	identity quarantine.Identity
	// heldAs is what it is refused for, and heldForOthers what is held for other organisations and it may try.
	heldAs, heldForOthers quarantine.Fingerprint
	// brokenProgress is how far the response of the last upstream that broke off had come, and brokenInstance is that
	// upstream; empty where none did.
	brokenProgress string
	brokenInstance id.Instance
	// failedAttempts are the attempts that ended without a complete response.
	failedAttempts []*attemptEnd
	// exclusive is true of a request that is suspected of crashing upstreams: it runs only while no retry of it is in
	// flight in this process.
	exclusive bool
	// outcomeUnknown is true once an attempt has ended without an answer at an upstream that it was sent to.
	outcomeUnknown bool
	// answerBegun is true once an upstream has started to answer, and cancel ends the request while none has.
	answerBegun atomic.Bool
	cancel      context.CancelCauseFunc
	ctx         context.Context
	progress    progress
	// resumeTimer ends the request at its deadline after the VM was suspended; nil if it has not been.
	resumeTimer *time.Timer
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f := &callerRequest{gateway: g, httpRequest: r, writer: w, arrived: g.now(), meta: g.dialect.ReadRequest(r.Header), tried: map[id.Instance]bool{}, allNotRun: true, buffers: newBufferAccount(g.buffers)}
	defer f.buffers.release()
	f.ctx, f.cancel = context.WithCancelCause(r.Context())
	defer f.cancel(nil)
	g.inFlight.add(f)
	defer g.inFlight.remove(f)
	if !f.admit() || f.refuseIfLeaving() || !f.readBody() {
		return
	}
	f.progress.noteReceived(g.now())
	if f.refuseIfLeaving() {
		return
	}
	f.identify()
	if !f.checkQuarantine() {
		return
	}
	defer g.unregister(f)
	f.run()
	f.endUpload()
}

// admit resolves the request's route and authenticates its caller, or answers with the reason for a refusal.
func (f *callerRequest) admit() bool {
	g := f.gateway
	f.catalog = g.facts.Catalog()
	if f.catalog == nil {
		f.refuse("no configuration yet", noConfigRetryAfter)
		return false
	}
	path, _, _ := strings.Cut(f.httpRequest.RequestURI, "?")
	f.route = f.catalog.Match(f.httpRequest.Host, path)
	if f.route == nil {
		f.fail(http.StatusNotFound, "no route")
		return false
	}
	if !f.authenticate() {
		return false
	}
	limits := f.catalog.Limits
	if limits.HeaderBytes > 0 && headerSize(f.httpRequest.Header) > limits.HeaderBytes {
		f.fail(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	if limits.BodyBytes > 0 && f.httpRequest.ContentLength > int64(limits.BodyBytes) {
		f.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	f.pool = f.route.Pick(g.random().Float64())
	f.setDeadline()
	return true
}

// authenticate resolves the caller's organisation, or answers that its key is unknown. The regions of a known organisation
// apply on public routes too.
func (f *callerRequest) authenticate() bool {
	f.regions = f.route.AllowedRegions
	o := f.catalog.Organisation(f.meta.Key)
	f.rank = catalog.NewRank(o, f.route)
	if o != nil {
		f.regions = f.regions.Intersect(o.AllowedRegions)
	}
	if f.route.Public || f.catalog.Organisations == 0 {
		return true
	}
	if o == nil {
		f.fail(http.StatusUnauthorized, "unknown key")
		return false
	}
	f.organisation = o.Name
	return true
}

// noConfigRetryAfter is the Retry-After of a process that has not loaded a configuration yet.
const noConfigRetryAfter = time.Second

func (f *callerRequest) setDeadline() {
	const noTimeout = time.Hour
	routeTimeout, callerTimeout := f.route.Timeout, f.meta.Timeout
	if routeTimeout <= 0 {
		routeTimeout = noTimeout
	}
	if callerTimeout <= 0 {
		callerTimeout = noTimeout
	}
	f.elapsedBefore = f.gateway.elapsedEstimator.TimeLost(f.route.Name, f.meta.Timeout)
	f.callerDeadline = f.arrived.Add(callerTimeout)
	f.deadline = f.arrived.Add(min(routeTimeout, callerTimeout))
}

// remaining returns the time until the deadline. Contexts and connections get this duration rather than the
// deadline, as their clock stops while the VM is suspended.
func (f *callerRequest) remaining() time.Duration {
	return f.deadline.Sub(f.gateway.now())
}

// run sends the request to upstreams one after another until one answers or no retry is allowed.
func (f *callerRequest) run() {
	ctx, stop := context.WithTimeout(f.ctx, f.remaining())
	defer stop()
	_ = http.NewResponseController(f.writer).SetWriteDeadline(clock.DeadlineAfter(f.remaining() + writeDeadlineSlack))
	f.gateway.retryBudget.RecordRequest(f.pool)
	for {
		failure := f.tryUpstream(ctx)
		if failure == nil {
			return
		}
		if !f.mayRetry(ctx, failure) {
			f.answerFailure(ctx, failure)
			return
		}
	}
}

// mayRetry reports whether the request may be sent to another upstream after a failure.
func (f *callerRequest) mayRetry(ctx context.Context, p *attemptError) bool {
	if ctx.Err() != nil || p.final || f.checkSuspects() != quarantine.Pass || !f.hasAttemptsLeft() || !Retryable(f.route, len(f.tried), p.notRun, f.headSent) || f.events.unsplit {
		return false
	}
	return f.attempts == 0 || f.gateway.takeRetry(f.pool)
}

// takeRetry consumes one retry of the budget, or returns false if that is exhausted.
func (g *Gateway) takeRetry(p id.Pool) bool {
	if !g.retryBudget.TakeRetry(p) {
		g.metrics.count("retries_denied")
		return false
	}
	g.metrics.count("retries")
	return true
}

// Retryable reports whether a request that failed at an upstream may be sent to another one, judged by its route
// and by the number of upstreams tried.
func Retryable(r *catalog.Route, tried int, notRun, headSent bool) bool {
	switch {
	case tried > maxRetries:
		return false
	case !notRun && !r.Idempotent():
		return false
	case headSent && !r.Resumable:
		return false
	}
	return true
}

// maxRetries bounds the retries of one request at other upstreams, also after refused connections.
const maxRetries = 4

// callerLeft reports whether the caller's connection ended before anything else ended the request. A read deadline of the gateway
// ends the context of the server's request as well, so that nothing is known of the caller after the request's own deadline.
func (f *callerRequest) callerLeft() bool {
	return errors.Is(context.Cause(f.ctx), context.Canceled) && f.remaining() > 0
}

// answerFailure answers a request whose attempts have all failed.
func (f *callerRequest) answerFailure(ctx context.Context, p *attemptError) {
	switch {
	case f.callerLeft():
		f.gateway.metrics.count("caller_left")
		f.logLine("caller left", p.text)
		panic(http.ErrAbortHandler)
	case f.headSent:
		f.gateway.metrics.count("cut")
		f.logLine("cut", p.text)
		panic(http.ErrAbortHandler)
	case p.notRun && f.allNotRun:
		f.refuse(p.text, p.retryAfter)
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded), errors.Is(context.Cause(ctx), context.Canceled):
		// The server ended the context after the deadline; before it, the caller has left.
		f.fail(http.StatusGatewayTimeout, p.text)
	default:
		f.fail(http.StatusBadGateway, p.text)
	}
}

// refuse answers that the request was not run and when the caller may retry.
func (f *callerRequest) refuse(why string, retryAfter time.Duration) {
	f.retryAfter = max(retryAfter, minRetryAfter)
	f.gateway.elapsedEstimator.RecordRefusal()
	f.gateway.dialect.SetRetryAfter(f.writer.Header(), f.retryAfter)
	f.fail(http.StatusServiceUnavailable, why)
}

// minRetryAfter keeps a refused caller from retrying into the same queue.
const minRetryAfter = 100 * time.Millisecond

// fail answers with an error status generated by the gateway.
func (f *callerRequest) fail(status int, why string) {
	h := f.writer.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(why)+1))
	f.closeIfLeaving()
	f.closeAfterUpload()
	f.writer.WriteHeader(status)
	_, _ = io.WriteString(f.writer, why+"\n")
	f.gateway.metrics.count(why)
	f.logLine(http.StatusText(status), why)
}

// outcomeAnswered is the outcome of a request whose caller has received the complete response.
const outcomeAnswered = "answered"

// logLine writes the access log line of a request: its outcome and the basis of the decisions.
func (f *callerRequest) logLine(outcome, why string) {
	g := f.gateway
	e := g.log.Info().Str("request", string(f.meta.Request)).Str("outcome", outcome).Str("why", why).
		Int64("took_ms", g.now().Sub(f.arrived).Milliseconds()).Int("attempts", f.attempts)
	if f.catalog != nil {
		e = e.Uint64("config", f.catalog.Revision)
	}
	if f.route != nil {
		e = e.Str("route", string(f.route.Name)).Str("organisation", string(f.organisation)).Str("pool", string(f.pool)).
			Int64("route_aim_ms", f.route.LatencyTarget.Milliseconds())
	}
	if f.upstreamAddress != "" {
		e = e.Str("upstream", f.upstreamAddress).Int64("predicted_ms", f.predictedFirst.Milliseconds()).
			Int64("first_ms", f.timeToFirst.Milliseconds()).Uint64("revision", uint64(f.revision))
	}
	if outcome != outcomeAnswered {
		f.decision.log(e)
		if f.identity.Fingerprint != (quarantine.Fingerprint{}) {
			e = e.Stringer("fingerprint", f.identity.Fingerprint)
		}
		if f.heldAs != (quarantine.Fingerprint{}) {
			e = e.Stringer("held_as", f.heldAs)
		}
		e = f.logSharedParts(e)
	}
	e = f.logUpstream(f.logReservation(f.logLimit(f.logProgress(e))))
	if s := g.shutdown.Load(); s != nil {
		e = e.Int64("drain_ms", f.arrived.Sub(s.beganAt).Milliseconds())
	}
	if f.brokenProgress != "" {
		e = e.Str("broken", f.brokenProgress).Str("broken_instance", string(f.brokenInstance))
	}
	if len(f.failedAttempts) > 0 {
		e = e.Objects("ended", f.failedAttempts)
	}
	if f.retryAfter > 0 {
		e = e.Int64("retry_ms", f.retryAfter.Milliseconds())
	}
	e.Msg("request")
}

// logSharedParts adds the parts of the prompt that other requests may have too.
func (f *callerRequest) logSharedParts(e *log.Entry) *log.Entry {
	if len(f.meta.SharedParts) == 0 {
		return e
	}
	l := make([]string, 0, len(f.meta.SharedParts))
	for _, p := range f.meta.SharedParts {
		l = append(l, string(p))
	}
	return e.Strs("prompt_parts", l)
}

// attemptError is the reason why an attempt produced no complete response.
type attemptError struct {
	text string
	// notRun is true if the attempt has been proven not to have run.
	notRun bool
	// final is true if a retry at another upstream would not help.
	final      bool
	retryAfter time.Duration
}

func notRunError(text string, retryAfter time.Duration) *attemptError {
	return &attemptError{text: text, notRun: true, retryAfter: retryAfter}
}
