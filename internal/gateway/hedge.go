package gateway

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/quarantine"
)

// streamPosition is how far a caller's response has come, which is where another upstream would continue it.
type streamPosition struct {
	headSent    bool
	revision    id.Revision
	lastEventID string
	// forwarded is the number of events that were forwarded whole.
	forwarded int
	// unsplit is true if no other upstream can continue it.
	unsplit bool
}

func (f *callerRequest) currentPosition() streamPosition {
	return streamPosition{headSent: f.headSent, revision: f.revision, lastEventID: f.events.lastID, forwarded: f.events.forwarded, unsplit: f.events.unsplit}
}

// hedge is a hedged attempt at another upstream while the first one is silent. Neither attempt is given up before
// the other has made progress, as the other upstream may be full or silent as well.
type hedge struct {
	// request is the hedge's own copy of the request state, and attempt is nil until an upstream has been chosen.
	request *callerRequest
	attempt *attempt
	// attemptsBefore is the number of attempts at the request before this one.
	attemptsBefore int
	// pendingEvents are events that the caller does not have yet, and streamEnd is io.EOF if the stream ends after
	// them.
	pendingEvents []byte
	streamEnd     error
	// won is true once the hedge has data to continue with, and lost once the first attempt has made progress. The
	// mutex of the first attempt guards both.
	won, lost bool
	done      chan struct{}
}

// startStallTimer starts the detection of a silent upstream, if another one may continue the stream.
func (t *attempt) startStallTimer(d time.Duration) {
	f := t.request
	if f.route.Kind != catalog.Streaming || !f.route.Resumable || !f.hasAttemptsLeft() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stallTimer = time.AfterFunc(d, t.startHedge)
}

// updatePosition records how far the caller's response has come.
func (t *attempt) updatePosition(p streamPosition) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.forwarding && t.stallTimer != nil && !t.ended {
		// The upstream was not silent while a write to the caller was blocked.
		t.stallTimer.Reset(eventStallTimeout)
	}
	t.position, t.forwarding = p, false
}

// noteProgress records that the upstream has made progress. It returns false if the hedge has won before.
func (t *attempt) noteProgress() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stallTimer != nil {
		t.stallTimer.Reset(eventStallTimeout)
	}
	if h := t.hedge; h != nil {
		if h.won {
			return false
		}
		h.cancelLost()
	}
	t.forwarding = true
	return true
}

// cancelLost cancels a hedge that came too late. The caller holds the mutex of the first attempt.
func (h *hedge) cancelLost() {
	h.lost = true
	h.request.cancel(errOvertaken)
}

// startHedge sends a hedged request to another upstream when the first one has stalled.
func (t *attempt) startHedge() {
	h := t.newHedge()
	if h == nil {
		return
	}
	defer close(h.done)
	t.tracked.RecordStall()
	ok := h.attemptUpstream()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ok && !h.lost {
		h.won = true
		t.cancel(errStalled)
		return
	}
	h.discard()
	if !t.ended {
		t.failedHedges = append(t.failedHedges, h)
		t.hedge = nil
		t.stallTimer.Reset(eventStallTimeout)
	}
}

// newHedge returns a new hedge, or nil if none may be started now.
func (t *attempt) newHedge() *hedge {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.ended || t.hedge != nil || t.position.unsplit:
		return nil
	case t.forwarding:
		t.stallTimer.Reset(eventStallTimeout)
		return nil
	}
	g := t.request.gateway
	f := t.forkRequest()
	if !f.hasAttemptsLeft() || len(f.tried) > maxRetries || f.checkSuspects() != quarantine.Pass {
		return nil
	}
	if !g.retryBudget.RetryAvailable(f.pool) {
		g.metrics.count("stall_waited_for_budget")
		t.stallTimer.Reset(eventStallTimeout)
		return nil
	}
	t.hedge = &hedge{request: f, attemptsBefore: f.attempts, done: make(chan struct{})}
	return t.hedge
}

// forkRequest copies the state of the request that another attempt depends on. The caller holds the mutex.
func (t *attempt) forkRequest() *callerRequest {
	f := t.request
	copied := &callerRequest{
		gateway: f.gateway, meta: f.meta, route: f.route, catalog: f.catalog, pool: f.pool, organisation: f.organisation, rank: f.rank, regions: f.regions, hedged: true, httpRequest: f.httpRequest,
		arrived: f.arrived, elapsedBefore: f.elapsedBefore, deadline: f.deadline, callerDeadline: f.callerDeadline, body: f.body, unreadBody: f.unreadBody,
		tried: maps.Clone(f.tried), attempts: t.attemptNumber, allNotRun: true, identity: f.identity, exclusive: f.exclusive, buffers: newBufferAccount(f.gateway.buffers),
		headSent: t.position.headSent, revision: t.position.revision, events: eventSplitter{lastID: t.position.lastEventID, forwarded: t.position.forwarded},
	}
	for _, h := range t.failedHedges {
		copied.attempts += h.attemptsUsed()
		maps.Copy(copied.tried, h.request.tried)
	}
	copied.ctx, copied.cancel = context.WithCancelCause(t.parentCtx)
	return copied
}

// attemptsUsed returns the number of attempts that the hedge made: 0 or 1.
func (h *hedge) attemptsUsed() int {
	return h.request.attempts - h.attemptsBefore
}

// attemptUpstream makes the hedged attempt and reports whether it has data to continue with.
func (h *hedge) attemptUpstream() bool {
	f := h.request
	g := f.gateway
	c, p := f.choose(f.ctx)
	if p != nil {
		g.metrics.count("stalled_without_other_upstream")
		return false
	}
	if !f.completesInTime(c) || !g.takeRetry(f.pool) {
		return false
	}
	g.metrics.count("hedged")
	h.attempt = f.startAttempt(f.ctx, c)
	return h.attempt.send() == nil && h.attempt.acceptsAnswer() && h.awaitEvent()
}

// acceptsAnswer reports whether the upstream's response is one that the caller's response can be continued with.
func (t *attempt) acceptsAnswer() bool {
	f, e := t.request, t.exchange
	v := f.gateway.dialect.ReadResponse(e.StatusCode, e.Header)
	t.noteResponse(v)
	if v.NotRun {
		t.drainRefusal()
		return false
	}
	f.allNotRun = false
	if !f.headSent {
		f.revision = v.Revision
	}
	return isSuccess(e.StatusCode)
}

// awaitEvent waits for the first event that the caller does not have, or for the end of the stream.
func (h *hedge) awaitEvent() bool {
	t, f := h.attempt, h.request
	buffer := make([]byte, streamReadSize)
	f.buffers.add(streamReadSize)
	for {
		n, err := t.exchange.Body.Read(buffer)
		if n > 0 {
			t.followed.Received(true)
			t.lastByteAt = f.gateway.now()
			if !t.answerStarted.Swap(true) {
				t.firstDataAt = t.lastByteAt
			}
			h.pendingEvents = append(h.pendingEvents, t.boundPartial(f.events.feed(buffer[:n], true))...)
		}
		if f.events.unsplit && len(h.pendingEvents) > 0 && !h.hasWholeEvent() {
			t.handleBreak("the upstream sent no whole event")
			return false
		}
		if err != nil {
			if text := t.streamBreak(err); text != "" {
				t.handleBreak(text)
				return false
			}
			h.streamEnd = err
			return true
		}
		if len(h.pendingEvents) > 0 {
			return true
		}
	}
}

// hasWholeEvent reports whether the pending events begin with a whole one.
func (h *hedge) hasWholeEvent() bool {
	return eventLength(h.pendingEvents) > 0
}

// discard releases what the hedge holds.
func (h *hedge) discard() {
	if h.attempt != nil {
		h.attempt.release()
	}
	h.request.buffers.release()
	h.request.cancel(nil)
}

// resolve ends an attempt with its result. If it has no complete response, the hedge continues if it can.
func (t *attempt) resolve(p *attemptError) *attemptError {
	f := t.request
	h := t.closeHedging(p == nil || p.final)
	for _, s := range t.failedHedges {
		f.countHedge(s)
	}
	if h == nil {
		return p
	}
	<-h.done
	f.countHedge(h)
	switch {
	case !h.won:
		return p
	case p == nil || p.final:
		h.discard()
		return p
	default:
		return t.adoptHedge(h)
	}
}

// closeHedging stops the stall timer and returns the hedge that is running or has won. A running hedge is cancelled
// if the result is final.
func (t *attempt) closeHedging(final bool) *hedge {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended = true
	if t.stallTimer != nil {
		t.stallTimer.Stop()
	}
	if t.hedge != nil && !t.hedge.won && final {
		t.hedge.cancelLost()
	}
	return t.hedge
}

// countHedge adds a hedge to the attempts of the request.
func (f *callerRequest) countHedge(h *hedge) {
	f.attempts += h.attemptsUsed()
	maps.Copy(f.tried, h.request.tried)
	f.allNotRun = f.allNotRun && h.request.allNotRun
	f.failedAttempts = append(f.failedAttempts, h.request.failedAttempts...)
}

// adoptHedge continues the response with a hedge that has won.
func (t *attempt) adoptHedge(h *hedge) *attemptError {
	f, hedged, won := t.request, h.request, h.attempt
	defer hedged.cancel(nil)
	defer hedged.buffers.release()
	f.progress.noteSent(hedged.progress.sentAt)
	f.reservation = hedged.reservation
	f.permit, f.permitWait, f.permitExpiry, f.responseLimit, f.knownLimit, f.decision = hedged.permit, hedged.permitWait, hedged.permitExpiry, hedged.responseLimit, hedged.knownLimit, hedged.decision
	f.upstreamAddress, f.revision = hedged.upstreamAddress, hedged.revision
	f.upstreamLeaving, f.upstreamRest = hedged.upstreamLeaving, hedged.upstreamRest
	if !f.headSent {
		f.predictedFirst = hedged.predictedFirst
	}
	adopted := &attempt{
		request: f, choice: won.choice, tracked: won.tracked, permit: won.permit, exchange: won.exchange, versionTimer: won.versionTimer,
		parentCtx: t.parentCtx, ctx: won.ctx, cancel: won.cancel, attemptNumber: f.attempts, eventsBefore: f.events.forwarded, lastByteAt: won.lastByteAt, startedAt: won.startedAt, firstDataAt: won.firstDataAt, followed: won.followed, position: f.currentPosition(),
	}
	defer adopted.release()
	adopted.noteAnswerStart()
	return adopted.resolve(adopted.resumeFromHedge(h))
}

// resumeFromHedge forwards the events that a hedge has read, and the rest of its stream.
func (t *attempt) resumeFromHedge(h *hedge) *attemptError {
	f := t.request
	f.events.dropPartial()
	events := f.events.feed(h.pendingEvents, true)
	if h.request.events.unsplit {
		events = append(events, f.events.stopSplitting()...)
	}
	if !t.writeEvents(events) {
		return t.callerGoneError()
	}
	f.events.partialEvent = slices.Clone(h.request.events.partialEvent)
	if h.streamEnd != nil {
		return t.finishStream(h.streamEnd)
	}
	t.startStallTimer(eventStallTimeout)
	return t.forwardEvents()
}
