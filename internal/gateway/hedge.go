package gateway

import (
	"context"
	"errors"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
)

// position is how far a caller's answer has come, which is where another upstream would continue it.
type position struct {
	headSent  bool
	revision  id.Revision
	lastEvent string
}

func (f *flight) position() position {
	return position{headSent: f.headSent, revision: f.revision, lastEvent: f.events.last}
}

// hedge is an attempt at another upstream that is made while the first one is silent. Neither is given up before the
// other has gone on: the other upstream may be full, or silent as well.
type hedge struct {
	// flight is the request as this attempt alone sees it, and attempt nil until an upstream has been chosen.
	flight  *flight
	attempt *attempt
	// attemptsBefore is the number of attempts at the request before this one.
	attemptsBefore int
	// ready are events that the caller does not have, and end is io.EOF where the stream ends after them.
	ready []byte
	end   error
	// won is true once there is something to go on with, and lost once the first attempt has gone on. Both are under
	// the lock of that one.
	won, lost bool
	done      chan struct{}
}

// watch has the upstream's silence noticed after a time, where the stream may be continued elsewhere.
func (t *attempt) watch(d time.Duration) {
	f := t.flight
	if f.route.Kind != catalog.Streaming || !f.route.Resumable || !f.attemptsLeft() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchdog = time.AfterFunc(d, t.stalled)
}

// moved notes how far the caller's answer has come.
func (t *attempt) moved(p position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.position, t.passing = p, false
}

// progressed notes that the upstream has gone on, and says whether it was in time: false where another one went on before it.
func (t *attempt) progressed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.watchdog != nil {
		t.watchdog.Reset(eventStall)
	}
	if h := t.hedge; h != nil {
		if h.won {
			return false
		}
		h.lose()
	}
	t.passing = true
	return true
}

// lose ends a hedge that came too late; the caller holds the lock of the first attempt.
func (h *hedge) lose() {
	h.lost = true
	h.flight.stop(errOvertaken)
}

// stalled asks another upstream for what the silent one owes.
func (t *attempt) stalled() {
	h := t.newHedge()
	if h == nil {
		return
	}
	defer close(h.done)
	t.mark.RecordStall()
	ok := h.run()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok && !h.lost {
		h.won = true
		t.stop(errStalled)
		return
	}
	h.abandon()
	if !t.over {
		t.spent = append(t.spent, h)
		t.hedge = nil
		t.watchdog.Reset(eventStall)
	}
}

// newHedge makes a hedge, or nil where none may be made now.
func (t *attempt) newHedge() *hedge {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.over || t.hedge != nil:
		return nil
	case t.passing:
		t.watchdog.Reset(eventStall)
		return nil
	}
	g := t.flight.gateway
	f := t.fork()
	if !f.attemptsLeft() || len(f.tried) > mostTries || g.list.Check(f.fingerprint) != quarantine.Pass {
		return nil
	}
	if !g.budget.RetryAvailable(f.pool) {
		g.tally.add("stall_waited_for_budget")
		t.watchdog.Reset(eventStall)
		return nil
	}
	t.hedge = &hedge{flight: f, attemptsBefore: f.attempts, done: make(chan struct{})}
	return t.hedge
}

// fork copies what another attempt at the request rests on; the caller holds the lock.
func (t *attempt) fork() *flight {
	f := t.flight
	c := &flight{
		gateway: f.gateway, ask: f.ask, route: f.route, catalog: f.catalog, pool: f.pool, org: f.org, request: f.request,
		arrived: f.arrived, lost: f.lost, deadline: f.deadline, callerGives: f.callerGives, body: f.body, rest: f.rest,
		tried: maps.Clone(f.tried), attempts: t.attempts, neverRan: true, fingerprint: f.fingerprint, alone: f.alone,
		headSent: t.position.headSent, revision: t.position.revision, events: events{last: t.position.lastEvent},
	}
	for _, h := range t.spent {
		c.attempts += h.used()
		maps.Copy(c.tried, h.flight.tried)
	}
	c.ctx, c.stop = context.WithCancelCause(t.parent)
	return c
}

// used is the number of attempts that it was.
func (h *hedge) used() int {
	return h.flight.attempts - h.attemptsBefore
}

// run makes the attempt, and says whether there is something to go on with.
func (h *hedge) run() bool {
	f := h.flight
	g := f.gateway
	c, p := f.choose(f.ctx)
	if p != nil {
		g.tally.add("stalled_without_other_upstream")
		return false
	}
	if !g.budget.TakeRetry(f.pool) {
		return false
	}
	g.tally.add("hedged")
	h.attempt = f.begin(f.ctx, c)
	return h.attempt.send() == nil && h.attempt.accepted() && h.read()
}

// accepted says whether the upstream's answer is one to go on with.
func (t *attempt) accepted() bool {
	f, e := t.flight, t.exchange
	v := f.gateway.dialect.ReadResponse(e.StatusCode, e.Header)
	t.noteUpstream(v)
	if v.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(e.Body, heldAnswer))
		t.whole = err == nil
		return false
	}
	f.neverRan = false
	if !f.headSent {
		f.revision = v.Revision
	}
	return isSuccess(e.StatusCode)
}

// read waits for the first event that the caller does not have, or the stream's end.
func (h *hedge) read() bool {
	t, f := h.attempt, h.flight
	buffer := make([]byte, readSize)
	for {
		n, err := t.exchange.Body.Read(buffer)
		if n > 0 {
			t.answering.Store(true)
			t.lastByte = f.gateway.now()
			h.ready = append(h.ready, f.events.feed(buffer[:n], true)...)
		}
		switch {
		case errors.Is(err, io.EOF) && !f.events.partial():
			h.end = err
			return true
		case err != nil:
			t.broke("the upstream broke off its stream")
			return false
		case len(h.ready) > 0:
			return true
		}
	}
}

// abandon gives back what the attempt holds.
func (h *hedge) abandon() {
	if h.attempt != nil {
		h.attempt.end()
	}
	h.flight.stop(nil)
}

// settle ends an attempt with what came of it. Where that is no whole answer, the attempt beside it goes on if it can.
func (t *attempt) settle(p *attemptError) *attemptError {
	f := t.flight
	h := t.close(p == nil || p.final)
	for _, s := range t.spent {
		f.spend(s)
	}
	if h == nil {
		return p
	}
	<-h.done
	f.spend(h)
	switch {
	case !h.won:
		return p
	case p == nil || p.final:
		h.abandon()
		return p
	default:
		return t.adopt(h)
	}
}

// close ends the watch over the upstream, and returns the hedge that is under way or has won. That loses where the
// answer is final.
func (t *attempt) close(final bool) *hedge {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
	if t.watchdog != nil {
		t.watchdog.Stop()
	}
	if t.hedge != nil && !t.hedge.won && final {
		t.hedge.lose()
	}
	return t.hedge
}

// spend counts a hedge among the attempts of the request.
func (f *flight) spend(h *hedge) {
	f.attempts += h.used()
	maps.Copy(f.tried, h.flight.tried)
	f.neverRan = f.neverRan && h.flight.neverRan
	f.ends = append(f.ends, h.flight.ends...)
}

// adopt goes on with a hedge that has won.
func (t *attempt) adopt(h *hedge) *attemptError {
	f, o, a := t.flight, h.flight, h.attempt
	defer o.stop(nil)
	f.permit, f.asked, f.permitEnds, f.named, f.limit, f.decision = o.permit, o.asked, o.permitEnds, o.named, o.limit, o.decision
	f.upstream, f.revision = o.upstream, o.revision
	f.upstreamLeaving, f.upstreamRest = o.upstreamLeaving, o.upstreamRest
	if !f.headSent {
		f.predicted = o.predicted
	}
	n := &attempt{
		flight: f, choice: a.choice, mark: a.mark, permit: a.permit, exchange: a.exchange, versionEnd: a.versionEnd,
		parent: t.parent, ctx: a.ctx, stop: a.stop, attempts: f.attempts, eventsBefore: f.events.passed, lastByte: a.lastByte, position: f.position(),
	}
	defer n.end()
	n.started()
	return n.settle(n.resume(h))
}

// resume passes on what a hedge has read, and what follows.
func (t *attempt) resume(h *hedge) *attemptError {
	f := t.flight
	f.events.restart()
	if !t.pass(f.events.feed(h.ready, true)) {
		return t.callerGone()
	}
	f.events.pending = slices.Clone(h.flight.events.pending)
	if h.end != nil {
		return t.ended(h.end)
	}
	t.watch(eventStall)
	return t.read()
}
