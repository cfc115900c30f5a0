package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/throttle"
)

const (
	// heldBody is the longest body that is held whole, in bytes, so that it can be sent a second time; a longer one is
	// passed on as it comes and sent once. The users' bodies are a few KB.
	heldBody = 256 << 10
	// callerSlack is added to a caller's deadline for what is still on its way to it.
	callerSlack = 100 * time.Millisecond
)

// flight is one caller's request.
type flight struct {
	gateway *Gateway
	ask     RequestMeta
	route   *catalog.Route
	catalog *catalog.Catalog
	pool    id.Pool
	org     id.Organisation
	request *http.Request
	w       http.ResponseWriter
	arrived time.Time
	// lost is the time that the caller has lost before this try.
	lost time.Duration
	// deadline is when the caller or the route gives up, whichever is first; callerGives is the caller's alone.
	deadline, callerGives time.Time
	body                  []byte
	rest                  io.Reader

	tried    map[id.Instance]bool
	attempts int
	// headSent is true once the caller has the answer's head.
	headSent bool
	// neverRan is true while every attempt was proved not run.
	neverRan bool
	events   events
	revision id.Revision
	// What the decisions rested on, for the log line; retry is the Retry-After of a refusal.
	predicted time.Duration
	first     time.Duration
	upstream  string
	decision  decision
	retry     time.Duration
	// named is what the newest answer says of its upstream's limit, and limit what was known of the last limited
	// upstream that was chosen.
	named throttle.LimitInfo
	limit throttle.Limit
	// held is why the newest attempt was not sent; empty where it was.
	held heldReason
	// upstreamLeaving and upstreamRest are what the newest answer says of the upstream itself.
	upstreamLeaving bool
	upstreamRest    time.Duration
	// permit is the number of the present attempt's permit, asked how long it took to come, and permitEnds when it expires.
	permit     uint64
	asked      time.Duration
	permitEnds time.Time
	// fingerprint tells the request from others across its repeats, once its body has been read.
	fingerprint quarantine.Fingerprint
	// broken is how far the answer had come on the start of an upstream that broke off last; empty where none did.
	broken string
	start  id.Instance
	// ends are the attempts that brought no whole answer.
	ends []*attemptEnd
	// alone is true of a request that is suspected to crash upstreams, and tried while no repeat of it is under way here.
	alone bool
	// begun is true once an upstream has begun to answer, and stop ends the request while none has.
	begun atomic.Bool
	stop  context.CancelCauseFunc
	ctx   context.Context
	// over ends the request in time after the VM was suspended; nil while it has not been.
	over *time.Timer
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	f := &flight{gateway: g, request: r, w: w, arrived: g.now(), ask: g.dialect.ReadRequest(r.Header), tried: map[id.Instance]bool{}, neverRan: true}
	if g.closing.Load() {
		f.refuse("leaving", leastRetryAfter)
		return
	}
	if !f.admit() {
		return
	}
	if !f.readBody() {
		return
	}
	f.fingerprint = quarantine.Of(r.Method, r.RequestURI, f.org, f.body)
	if !f.checkQuarantine() {
		return
	}
	defer g.flights.remove(f)
	f.run()
}

// admit finds the request's route and its caller, or answers why not.
func (f *flight) admit() bool {
	g := f.gateway
	f.catalog = g.facts.Catalog()
	if f.catalog == nil {
		f.refuse("no configuration yet", noConfigRetry)
		return false
	}
	path, _, _ := strings.Cut(f.request.RequestURI, "?")
	f.route = f.catalog.Match(f.request.Host, path)
	if f.route == nil {
		f.fail(http.StatusNotFound, "no route")
		return false
	}
	if !f.route.Public && f.catalog.Organisations > 0 {
		o := f.catalog.Organisation(f.ask.Key)
		if o == nil {
			f.fail(http.StatusUnauthorized, "unknown key")
			return false
		}
		f.org = o.Name
	}
	limits := f.catalog.Limits
	if limits.HeaderBytes > 0 && headerBytes(f.request.Header) > limits.HeaderBytes {
		f.fail(http.StatusRequestHeaderFieldsTooLarge, "header too large")
		return false
	}
	if limits.BodyBytes > 0 && f.request.ContentLength > int64(limits.BodyBytes) {
		f.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	}
	f.pool = f.route.Pick(g.random().Float64())
	f.setDeadline()
	return true
}

// noConfigRetry is when a caller may come back to a process that has just started.
const noConfigRetry = time.Second

func (f *flight) setDeadline() {
	const never = time.Hour
	held, patience := f.route.Timeout, f.ask.Timeout
	if held <= 0 {
		held = never
	}
	if patience <= 0 {
		patience = never
	}
	f.lost = f.gateway.patience.TimeLost(f.route.Name, f.ask.Timeout)
	f.callerGives = f.arrived.Add(patience)
	f.deadline = f.arrived.Add(min(held, patience))
}

// left is how much of the request's time is left. Contexts and connections are given that, as their clock stands still
// while the VM is suspended.
func (f *flight) left() time.Duration {
	return f.deadline.Sub(f.gateway.now())
}

// readBody holds a body that is short enough and keeps the rest of a longer one to pass on.
func (f *flight) readBody() bool {
	if f.request.ContentLength == 0 {
		return true
	}
	_ = http.NewResponseController(f.w).SetReadDeadline(clock.DeadlineAfter(f.left()))
	limit := int64(f.catalog.Limits.BodyBytes)
	if limit <= 0 {
		limit = heldBody
	}
	body := http.MaxBytesReader(nil, f.request.Body, limit)
	var b bytes.Buffer
	n, err := io.CopyN(&b, body, heldBody)
	f.body = b.Bytes()
	var over *http.MaxBytesError
	switch {
	case errors.As(err, &over):
		f.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case errors.Is(err, io.EOF):
		return true
	case err != nil:
		f.fail(http.StatusBadRequest, "the body did not come whole")
		return false
	case n == heldBody:
		f.rest = body
	}
	return true
}

// run offers the request to upstreams until there is an answer.
func (f *flight) run() {
	ctx, stop := context.WithTimeout(f.ctx, f.left())
	defer stop()
	_ = http.NewResponseController(f.w).SetWriteDeadline(clock.DeadlineAfter(f.left() + callerSlack))
	f.gateway.budget.RecordRequest(f.pool)
	for {
		next := f.attempt(ctx)
		if next == nil {
			return
		}
		if !f.again(ctx, next) {
			f.finish(ctx, next)
			return
		}
	}
}

// again says whether the request may be offered to another upstream after a failure.
func (f *flight) again(ctx context.Context, p *attemptError) bool {
	if ctx.Err() != nil || p.final || f.gateway.list.Check(f.fingerprint) != quarantine.Pass || !f.attemptsLeft() || !Retryable(f.route, len(f.tried), p.notRun, f.headSent) {
		return false
	}
	return f.attempts == 0 || f.gateway.budget.TakeRetry(f.pool)
}

// Retryable says whether what failed at an upstream may be offered to another one, as far as the route and the tries tell.
func Retryable(r *catalog.Route, tried int, notRun, headSent bool) bool {
	switch {
	case tried > mostTries:
		return false
	case !notRun && !r.Idempotent():
		return false
	case headSent && !r.Resumable:
		return false
	}
	return true
}

// mostTries bounds the upstreams that one request is offered to, those that took no connection included.
const mostTries = 4

// finish answers a request that is given up.
func (f *flight) finish(ctx context.Context, p *attemptError) {
	switch {
	case f.request.Context().Err() != nil:
		f.gateway.tally.add("caller_left")
		f.logLine("caller left", p.text)
		panic(http.ErrAbortHandler)
	case f.headSent:
		f.gateway.tally.add("cut")
		f.logLine("cut", p.text)
		panic(http.ErrAbortHandler)
	case p.notRun && f.neverRan:
		f.refuse(p.text, p.retry)
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errHeld):
		f.fail(http.StatusGatewayTimeout, p.text)
	default:
		f.fail(http.StatusBadGateway, p.text)
	}
}

// refuse promises the caller that the request was not run, and says when to come back.
func (f *flight) refuse(why string, retry time.Duration) {
	f.retry = max(retry, leastRetryAfter)
	f.gateway.dialect.SetRetryAfter(f.w.Header(), f.retry)
	f.fail(http.StatusServiceUnavailable, why)
}

// leastRetryAfter keeps a refused caller from coming back into the same queue.
const leastRetryAfter = 100 * time.Millisecond

// fail answers with a status of the gateway's own.
func (f *flight) fail(status int, why string) {
	h := f.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	f.w.WriteHeader(status)
	_, _ = io.WriteString(f.w, why+"\n")
	f.gateway.tally.add(why)
	f.logLine(http.StatusText(status), why)
}

// outcomeAnswered is the outcome of a request whose caller has its answer whole.
const outcomeAnswered = "answered"

// logLine writes the one line of a request: what came of it and what decided it.
func (f *flight) logLine(outcome, why string) {
	g := f.gateway
	e := g.log.Info().Str("request", string(f.ask.Request)).Str("outcome", outcome).Str("why", why).
		Int64("took_ms", g.now().Sub(f.arrived).Milliseconds()).Int("attempts", f.attempts)
	if f.catalog != nil {
		e = e.Uint64("config", f.catalog.Revision)
	}
	if f.route != nil {
		e = e.Str("route", string(f.route.Name)).Str("organisation", string(f.org)).Str("pool", string(f.pool)).
			Int64("route_aim_ms", f.route.Aim.Milliseconds())
	}
	if f.upstream != "" {
		e = e.Str("upstream", f.upstream).Int64("predicted_ms", f.predicted.Milliseconds()).
			Int64("first_ms", f.first.Milliseconds()).Uint64("revision", uint64(f.revision))
	}
	if outcome != outcomeAnswered {
		f.decision.log(e)
		if f.fingerprint != (quarantine.Fingerprint{}) {
			e = e.Stringer("fingerprint", f.fingerprint)
		}
	}
	e = f.logUpstream(f.logLimit(e))
	if f.broken != "" {
		e = e.Str("broken", f.broken).Str("broken_instance", string(f.start))
	}
	if len(f.ends) > 0 {
		e = e.Objects("ended", f.ends)
	}
	if f.retry > 0 {
		e = e.Int64("retry_ms", f.retry.Milliseconds())
	}
	e.Msg("request")
}

// attemptError is why an attempt brought no answer.
type attemptError struct {
	text string
	// notRun says that this attempt was proved not run.
	notRun bool
	// final says that no other upstream would help.
	final bool
	retry time.Duration
}

func notRun(text string, retry time.Duration) *attemptError {
	return &attemptError{text: text, notRun: true, retry: retry}
}
