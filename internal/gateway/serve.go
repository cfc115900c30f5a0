package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
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
	ask     Ask
	route   *catalog.Route
	catalog *catalog.Catalog
	pool    id.Pool
	org     id.Organisation
	request *http.Request
	w       http.ResponseWriter
	arrived time.Time
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
	// note collects what the decisions rested on, for the log line.
	predicted time.Duration
	first     time.Duration
	upstream  string
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	f := &flight{gateway: g, request: r, w: w, arrived: g.now(), ask: g.dialect.Read(r.Header), tried: map[id.Instance]bool{}, neverRan: true}
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
	held, patience := f.route.Timeout, f.ask.Patience
	if held <= 0 {
		held = never
	}
	if patience <= 0 {
		patience = never
	}
	f.callerGives = f.arrived.Add(patience)
	f.deadline = f.arrived.Add(min(held, patience))
}

// readBody holds a body that is short enough and keeps the rest of a longer one to pass on.
func (f *flight) readBody() bool {
	if f.request.ContentLength == 0 {
		return true
	}
	_ = http.NewResponseController(f.w).SetReadDeadline(f.deadline)
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
	ctx, stop := context.WithDeadline(f.request.Context(), f.deadline)
	defer stop()
	_ = http.NewResponseController(f.w).SetWriteDeadline(f.deadline.Add(callerSlack))
	f.gateway.budget.Request(f.pool)
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
func (f *flight) again(ctx context.Context, p *problem) bool {
	switch {
	case ctx.Err() != nil || p.final || f.rest != nil:
		return false
	case len(f.tried) > mostTries || f.attempts >= f.route.MaxAttempts:
		return false
	case !p.notRun && !f.route.Idempotent():
		return false
	case f.headSent && !f.route.Resumable:
		return false
	}
	return f.attempts == 0 || f.gateway.budget.Take(f.pool)
}

// mostTries bounds the upstreams that one request is offered to, those that took no connection included.
const mostTries = 4

// finish answers a request that is given up.
func (f *flight) finish(ctx context.Context, p *problem) {
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
	case ctx.Err() != nil:
		f.fail(http.StatusGatewayTimeout, p.text)
	default:
		f.fail(http.StatusBadGateway, p.text)
	}
}

// refuse promises the caller that the request was not run, and says when to come back.
func (f *flight) refuse(why string, retry time.Duration) {
	f.gateway.dialect.RetryAfter(f.w.Header(), max(retry, leastRetryAfter))
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

// logLine writes the one line of a request: what came of it and what decided it.
func (f *flight) logLine(outcome, why string) {
	g := f.gateway
	e := g.log.Info().Str("request", string(f.ask.Request)).Str("outcome", outcome).Str("why", why).
		Int64("took_ms", g.now().Sub(f.arrived).Milliseconds()).Int("attempts", f.attempts)
	if f.catalog != nil {
		e = e.Uint64("config", f.catalog.Revision)
	}
	if f.route != nil {
		e = e.Str("route", string(f.route.Name)).Str("organisation", string(f.org)).Str("pool", string(f.pool))
	}
	if f.upstream != "" {
		e = e.Str("upstream", f.upstream).Int64("predicted_ms", f.predicted.Milliseconds()).
			Int64("first_ms", f.first.Milliseconds()).Uint64("revision", uint64(f.revision))
	}
	e.Msg("request")
}

// problem is why an attempt brought no answer.
type problem struct {
	text string
	// notRun says that this attempt was proved not run.
	notRun bool
	// final says that no other upstream would help.
	final bool
	retry time.Duration
}

func notRun(text string, retry time.Duration) *problem {
	return &problem{text: text, notRun: true, retry: retry}
}

// choose picks the upstream for the next attempt, or says why there is none.
func (f *flight) choose() (placement.Choice, *problem) {
	g := f.gateway
	s := f.catalog.Services[f.pool]
	if s == nil {
		return placement.Choice{}, &problem{text: "no such pool", notRun: true, final: true, retry: noUpstreamRetry}
	}
	l := f.candidates(s)
	if s.Engine == nil {
		c, ok := placement.Choose(l, f.tried, placement.PlainWait, g.random())
		if !ok {
			return c, &problem{text: "no upstream", notRun: true, final: true, retry: noUpstreamRetry}
		}
		return c, nil
	}
	m := placement.NewModel(s.Engine)
	predict := func(c *placement.Candidate) time.Duration { return m.FirstEvent(c, f.ask.Prompt) }
	c, ok := placement.Choose(l, f.tried, predict, g.random())
	if !ok {
		return c, &problem{text: "no upstream", notRun: true, final: true, retry: noUpstreamRetry}
	}
	free := c.Known && c.Running+c.Waiting < c.Slots/2
	passed := g.now().Sub(f.arrived)
	if f.attempts > 0 {
		// The request has been at an upstream already: late is better than not at all.
		passed = 0
	}
	aim := f.catalog.Aim(f.pool)
	if usual := m.Admission(&c.Candidate); !f.headSent && !free && !placement.InTime(usual, passed, aim) {
		f.predicted = c.Predicted
		retry := placement.RetryAfter(usual, aim, g.random())
		return c, &problem{text: "too busy", notRun: true, final: true, retry: retry}
	}
	return c, nil
}

// noUpstreamRetry is when a caller may come back where no upstream is there: an empty one is filled in about 3 s, and
// callers heed up to a third of their six.
const noUpstreamRetry = 1900 * time.Millisecond

// swapMargin is taken off the time within which a version must be the only one in use: a request may wait at the
// upstream before it begins.
const swapMargin = 900 * time.Millisecond

const (
	// swapCaution is how many times the predicted wait a request is taken to wait: one in ten takes longer than 1.7
	// times.
	swapCaution = 2
	// swapArrival is the time for the way to the upstream, on a link that is shared with chunks.
	swapArrival = 300 * time.Millisecond
)

// candidates lists the upstreams that may take the request now.
func (f *flight) candidates(s *catalog.Service) []placement.Candidate {
	g := f.gateway
	usual := 0.0
	var m placement.Model
	if s.Engine != nil {
		usual = s.Engine.UsualPrompt
		m = placement.NewModel(s.Engine)
	}
	var l []placement.Candidate
	for _, i := range g.facts.Instances() {
		if i.Pool != f.pool || i.Leaving {
			continue
		}
		held, ok := f.serves(s, i)
		if !ok {
			continue
		}
		c := g.tracker.Candidate(i, usual)
		c.Revision = held
		c.Near = i.Domain == g.domain
		if s.Engine != nil && c.Slots == 0 {
			c.Slots = s.Engine.Slots
		}
		if s.Engine == nil || f.fits(m, &c) {
			l = append(l, c)
		}
	}
	return f.preferNew(s, l)
}

// preferShare is the part of the time for a swap after which upstreams that still serve the older version are left out
// where half of them serve the newer one: what waits in the queue of one that freezes would begin too late.
const preferShare = 0.5

// preferNew drops upstreams that lag behind a version that most serve.
func (f *flight) preferNew(s *catalog.Service, l []placement.Candidate) []placement.Candidate {
	if s.Engine == nil || f.headSent {
		return l
	}
	within := time.Duration(preferShare * float64(f.gateway.settings.SwapWithin))
	least := f.gateway.facts.Required(f.ask.Model, within)
	var fresh []placement.Candidate
	for _, c := range l {
		if c.Revision >= least {
			fresh = append(fresh, c)
		}
	}
	if 2*len(fresh) >= len(l) {
		return fresh
	}
	return l
}

// fits says whether an upstream's version may still take the request: it must begin there before the time of that
// version is over, and a stream that goes on elsewhere must find the version that it began with.
func (f *flight) fits(m placement.Model, c *placement.Candidate) bool {
	if f.ask.Model == "" {
		return true
	}
	if f.headSent && f.revision > 0 && c.Revision != f.revision {
		return false
	}
	wait := time.Duration(swapCaution * float64(m.FirstEvent(c, f.ask.Prompt)))
	margin := max(swapMargin, wait+swapArrival)
	return c.Revision >= f.gateway.facts.Required(f.ask.Model, f.gateway.settings.SwapWithin-margin)
}

// serves says whether an upstream holds the model whole, and in which version; a fresh report goes before the list.
func (f *flight) serves(s *catalog.Service, u *facts.Instance) (id.Revision, bool) {
	if s.Engine == nil {
		return 0, true
	}
	held := u.Held
	if r, ok := f.gateway.tracker.Fresh(u.Address); ok {
		if r.Closed || r.Down {
			return 0, false
		}
		held = r.Held
	}
	if f.ask.Model == "" {
		return 0, true
	}
	r := facts.Revision(held, f.ask.Model)
	return r, r > 0
}
