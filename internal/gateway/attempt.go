package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/upconn"
)

const (
	// heldAnswer is the longest answer that is held whole before its head goes out, in bytes, so that one that breaks
	// off can be asked for again or reported as failed. The users' answers are below 5 KB.
	heldAnswer = 64 << 10
	// firstStall is how long beyond twice its predicted time a first event may take before another upstream is asked.
	firstStall = 700 * time.Millisecond
	// eventStall is how long a stream may pause before it is continued elsewhere: a pass takes 150 ms, and callers
	// leave after 3.2 s.
	eventStall = 1200 * time.Millisecond
	// refusedRetry is when a caller may come back whose request an upstream itself refused.
	refusedRetry = 250 * time.Millisecond
)

// FirstStall is how long a first event that was predicted after a time may take before another upstream is asked.
func FirstStall(predicted time.Duration) time.Duration {
	return 2*predicted + firstStall
}

// attempt sends the request to one upstream. It returns nil once the caller has its answer.
func (f *flight) attempt(ctx context.Context) *problem {
	g := f.gateway
	f.permit, f.leaveEnds = 0, time.Time{}
	c, p := f.choose(ctx)
	if p != nil {
		return p
	}
	f.tried[c.Instance] = true
	f.upstream = c.Address
	if !f.headSent {
		f.predicted = c.Predicted
	}
	if f.ask.Model != "" && c.Domain != g.domain {
		g.load.Offers.Far.Came(f.pool)
	}
	flight := g.load.Tracker.Begin(c.Address, f.ask.Prompt)
	defer flight.End()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	t := &try{flight: f, choice: c, mark: flight, permit: f.permit, ctx: ctx, eventsBefore: f.events.passed, heard: g.now()}
	f.attempts++
	if f.route.Kind == catalog.Streaming && f.route.Resumable && f.attemptsLeft() {
		t.watchdog = time.AfterFunc(FirstStall(c.Predicted), func() { t.stalled(stop) })
		defer t.watchdog.Stop()
	}
	if c.Revision > 0 && f.ask.Model != "" {
		t.watchVersion(stop)
		defer t.end.Stop()
	}
	e, err := g.pool.Send(ctx, c.Address, f.message(c))
	switch {
	case errors.Is(err, upconn.ErrHeld):
		f.attempts--
		g.tally.add("held_for_version")
		return notRun("the connection came too late for the version there", f.reckoning.swapRetry(g.now()))
	case errors.Is(err, upconn.ErrNotSent):
		f.attempts--
		flight.Failed()
		return notRun("no connection to the upstream", refusedRetry)
	case err != nil:
		return t.broke("the upstream broke off before its answer")
	}
	t.exchange = e
	defer func() { e.End(t.whole) }()
	return t.take()
}

// message makes what is sent to an upstream.
func (f *flight) message(c placement.Choice) *upconn.Request {
	r := f.request
	h := passOn(r.Header)
	s := Send{Instance: c.Instance, Organisation: f.org, Left: f.deadline.Sub(f.gateway.now()), After: f.events.last}
	if f.headSent || f.gateway.facts.Required(f.ask.Model, f.gateway.settings.SwapWithin-swapMargin) > 0 {
		s.Revision = c.Revision
	}
	f.gateway.dialect.Prepare(h, s)
	return &upconn.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: h, Body: f.body, Rest: f.rest, Length: r.ContentLength,
		Born: c.Born, May: func(dialled time.Duration) bool { return f.may(c, dialled) },
	}
}

// may says whether a request that was let in may still be sent now that its connection, which took a time to come, is there: its own time and that of
// the leave to send it must not be over, as after a suspension, and as much must be left of its version's time as when it was let in, and as a way asks for that takes as long
// as the connection or the leave took.
func (f *flight) may(c placement.Choice, dialled time.Duration) bool {
	if f.left() <= 0 || (!f.leaveEnds.IsZero() && f.gateway.now().After(f.leaveEnds)) {
		return false
	}
	if c.Revision == 0 || f.ask.Model == "" {
		return true
	}
	g := f.gateway
	until := g.facts.Until(f.ask.Model, c.Revision, g.settings.SwapWithin)
	return until.IsZero() || !g.now().Add(max(c.Margin, c.Wait+wayDialled*max(dialled, f.asked))).After(until)
}

// wayDialled is how many times the time that a connection or leave took to come a request on it may be on its way: the queue may have grown since.
const wayDialled = 2

// try is one attempt's exchange with an upstream.
type try struct {
	flight *flight
	choice placement.Choice
	mark   *placement.Flight
	// permit is the number of the permit that it has; 0 for none.
	permit   uint64
	exchange *upconn.Exchange
	watchdog *time.Timer
	// end looks whether the version's time is over; see watchVersion.
	end *time.Timer
	ctx context.Context
	// whole is true once the answer has been read to its end, so that the connection can be used again.
	whole bool
	begun bool
	// answering is true once the upstream has sent anything of its answer.
	answering atomic.Bool
	// eventsBefore is the number of events that the caller had before this attempt.
	eventsBefore int
	// heard is when the upstream last sent anything, or when the request was sent.
	heard time.Time
}

// stalled gives a silent upstream up where another one may be asked. Without that, waiting on is all that can still
// bring the caller its answer.
func (t *try) stalled(stop context.CancelCauseFunc) {
	g := t.flight.gateway
	if g.budget.Left(t.flight.pool) {
		stop(errStalled)
		return
	}
	g.tally.add("stall_waited_for_budget")
	t.watchdog.Reset(eventStall)
}

// closed says whether an upstream is about to load weights.
func (g *Gateway) closed(address string) bool {
	r, ok := g.load.Tracker.Fresh(address)
	return ok && r.Closed
}

// take passes an answer on, or says why it is none.
func (t *try) take() *problem {
	f, e := t.flight, t.exchange
	d := f.gateway.dialect
	v := d.Verdict(e.StatusCode, e.Header)
	t.hearLimit(v.Limit)
	if v.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(e.Body, heldAnswer))
		t.whole = err == nil
		return notRun("the upstream refused: "+strconv.Itoa(e.StatusCode), refusedRetry)
	}
	f.neverRan = false
	ok := e.StatusCode >= http.StatusOK && e.StatusCode < http.StatusMultipleChoices
	if f.headSent && !ok {
		return &problem{text: "the upstream did not continue the stream"}
	}
	if v.Revision > 0 && f.revision == 0 {
		f.revision = v.Revision
	}
	if ok && f.route.Kind == catalog.Streaming {
		return t.stream()
	}
	return t.plain()
}

// plain passes an answer on that is no stream.
func (t *try) plain() *problem {
	f, e := t.flight, t.exchange
	t.started()
	body, err := io.ReadAll(io.LimitReader(e.Body, heldAnswer))
	if err != nil {
		return t.broke("the upstream broke off in its answer")
	}
	if f.gateway.dialect.Promise(e.StatusCode) {
		// The upstream says "not run" in its status and does not prove it: passed on, it would be our promise.
		t.whole = true
		return &problem{text: "the upstream answered " + strconv.Itoa(e.StatusCode) + " without proof"}
	}
	if e.StatusCode >= http.StatusInternalServerError && f.route.Kind == catalog.Safe && f.canRepeat() {
		t.whole = true
		return &problem{text: "the upstream answered " + strconv.Itoa(e.StatusCode)}
	}
	long := len(body) == heldAnswer
	t.head(!long, len(body))
	if _, err := f.w.Write(body); err != nil {
		return t.callerGone()
	}
	if long {
		if _, err := io.Copy(f.w, e.Body); err != nil {
			return t.broke("the upstream broke off in its answer")
		}
	}
	t.whole = true
	if e.StatusCode < http.StatusMultipleChoices {
		f.gateway.list.Served(f.fingerprint)
	}
	f.done(strconv.Itoa(e.StatusCode))
	return nil
}

// canRepeat says whether a safe request that an upstream failed may be offered to another one.
func (f *flight) canRepeat() bool {
	return f.attemptsLeft() && f.gateway.now().Before(f.deadline)
}

// attemptsLeft says whether the route lets the request be offered once more, and its body is still there.
func (f *flight) attemptsLeft() bool {
	return f.attempts < f.route.MaxAttempts && f.rest == nil
}

// started notes that the upstream has begun to answer.
func (t *try) started() {
	if t.begun {
		return
	}
	t.begun = true
	t.answering.Store(true)
	f := t.flight
	f.begun.Store(true)
	took := t.mark.Started()
	if !f.headSent {
		f.first = f.gateway.now().Sub(f.arrived)
		f.gateway.tally.observe(histTime, f.first)
		f.gateway.tally.observe(histDecision, took-t.choice.Predicted)
	}
}

// head sends the answer's head, with its length where the whole body is there.
func (t *try) head(sized bool, length int) {
	f, e := t.flight, t.exchange
	if f.headSent {
		return
	}
	f.headSent = true
	to := f.w.Header()
	for name, values := range passOn(e.Header) {
		to[name] = values
	}
	if len(to["Content-Type"]) == 0 {
		to["Content-Type"] = nil
	}
	if sized {
		to.Set("Content-Length", strconv.Itoa(length))
	}
	if f.gateway.leaving.Load() {
		to.Set("Connection", "close")
	}
	f.w.WriteHeader(e.StatusCode)
}

func (t *try) callerGone() *problem {
	t.left()
	return &problem{text: "the caller takes no more", final: true}
}

// stream passes events on as they come. Of a resumable stream only whole events go out, so that another upstream can
// take it up after any of them.
func (t *try) stream() *problem {
	f, e := t.flight, t.exchange
	out := http.NewResponseController(f.w)
	buffer := make([]byte, readSize)
	f.events.restart()
	for {
		n, err := e.Body.Read(buffer)
		if n > 0 {
			t.started()
			t.heard = f.gateway.now()
			if t.watchdog != nil {
				t.watchdog.Reset(eventStall)
			}
			ready := f.events.feed(buffer[:n], f.route.Resumable)
			if len(ready) > 0 {
				t.head(false, 0)
				if _, werr := f.w.Write(ready); werr != nil || out.Flush() != nil {
					return t.callerGone()
				}
			}
		}
		switch {
		case errors.Is(err, io.EOF) && f.events.partial():
			return t.broke("the upstream ended its stream within an event")
		case errors.Is(err, io.EOF):
			t.head(false, 0)
			t.whole = true
			f.gateway.list.Served(f.fingerprint)
			f.done("stream")
			return nil
		case err != nil:
			return t.broke("the upstream broke off its stream")
		}
	}
}

// readSize is the most that is read from a stream at once, in bytes; an event is about a hundred.
const readSize = 4 << 10

// done notes an answer that the caller has whole.
func (f *flight) done(outcome string) {
	f.gateway.tally.add("answered")
	if f.attempts > 1 {
		f.gateway.tally.add("answered_after_repeat")
	}
	f.logLine(outcomeAnswered, outcome)
}
