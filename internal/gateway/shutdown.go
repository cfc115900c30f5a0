package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/placement"
)

const (
	// acceptPeriod is the time after the start of a shutdown in which requests are taken that may outlast the process. A
	// load balancer that probes readiness once a second removes the process after two failed probes.
	acceptPeriod = 2500 * time.Millisecond
	// listenPeriod is the time after that in which new connections are accepted at least. They are accepted longer while a
	// request that was taken before is in flight. newConnPeriod is the time after that in which an accepted connection may
	// send its first request.
	listenPeriod  = 500 * time.Millisecond
	newConnPeriod = 300 * time.Millisecond
	// minAnswerTime is the least time in which requests that are ended may write their answers, if a suspension has used
	// up the reserve.
	minAnswerTime = 200 * time.Millisecond
	// closeTime is the time in which handlers and connections end once the last request was ended.
	closeTime = 100 * time.Millisecond
	// shutdownPollInterval is how often a shutdown checks the time and the requests in flight. A timer would be late by the
	// length of a suspension.
	shutdownPollInterval = 20 * time.Millisecond
	// leavingRetryAfter is the Retry-After of a request that another gateway is to take.
	leavingRetryAfter = minRetryAfter
	// reasonLeaving is the reason of a refusal because of the shutdown.
	reasonLeaving = "leaving"
)

// errShutdown cancels a request that is in flight when the time for the shutdown is over.
var errShutdown = errors.New("the gateway shuts down")

// shutdown holds the times of a graceful shutdown.
type shutdown struct {
	beganAt time.Time
	// acceptUntil is when the gateway stops taking requests whose deadline is after answersDue, and listenUntil is until
	// when it accepts connections at least.
	acceptUntil, listenUntil time.Time
	// answersDue is when requests without an answer are ended, and exitDue when answers that have begun are.
	answersDue, exitDue time.Time
}

func newShutdown(now time.Time, within time.Duration) *shutdown {
	reserve := kernel.AnswerReserve(within)
	accept := min(acceptPeriod, within-reserve)
	return &shutdown{
		beganAt: now, acceptUntil: now.Add(accept), listenUntil: now.Add(min(accept+listenPeriod, within-reserve)),
		answersDue: now.Add(within - reserve), exitDue: now.Add(within - reserve/2),
	}
}

// Drain implements kernel.Drainer: callers are sent to other gateways while requests in flight are completed. Those that
// are not complete in time are ended with an answer, or broken off if their answer has begun.
func (g *Gateway) Drain(ctx context.Context) {
	s := newShutdown(g.now(), kernel.DrainTime(ctx))
	g.shutdown.Store(s)
	g.pauseUntil(ctx, s.acceptUntil, nil)
	g.inFlight.each((*callerRequest).stopReceiving)
	g.pauseUntil(ctx, s.listenUntil, nil)
	// Requests that arrive later do not keep the process running.
	g.pauseUntil(ctx, s.answersDue, func() bool { return g.inFlight.countBefore(s.acceptUntil) == 0 })
	if g.listener != nil {
		g.listener.Close()
	}
	g.pauseUntil(ctx, earliest(s.answersDue, g.now().Add(newConnPeriod)), g.isQuiet)
	g.pauseUntil(ctx, s.answersDue, g.isIdle)
	g.pauseUntil(ctx, s.answersDue, g.callerConns.EndIdle)
	g.endRequests(stageSent)
	g.pauseUntil(ctx, latest(s.exitDue, g.now().Add(minAnswerTime)), g.isIdle)
	g.endRequests(stageAnswering)
	g.pauseUntil(ctx, g.now().Add(closeTime), g.callerConns.EndIdle)
	g.logUnfinished()
}

// pauseUntil returns at the given time, or as soon as the condition holds or the context has ended.
func (g *Gateway) pauseUntil(ctx context.Context, t time.Time, done func() bool) {
	for ctx.Err() == nil && (done == nil || !done()) {
		left := t.Sub(g.now())
		if left <= 0 {
			return
		}
		kernel.Pause(ctx, min(left, shutdownPollInterval))
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isIdle reports whether no request is in flight.
func (g *Gateway) isIdle() bool {
	return g.inFlight.count() == 0
}

// isQuiet reports whether no request is in flight and none is expected on a new connection.
func (g *Gateway) isQuiet() bool {
	return g.isIdle() && g.callerConns.Count(http.StateNew) == 0
}

// endRequests ends the requests in flight up to a stage: those that were not run are refused, and others fail.
func (g *Gateway) endRequests(last stage) {
	ended := 0
	g.inFlight.each(func(f *callerRequest) {
		s := f.progress.currentStage()
		if s > last {
			return
		}
		ended++
		g.metrics.count("ended_by_shutdown")
		f.cancel(errShutdown)
		f.endReceiving()
		if s == stageAnswering {
			// A caller that does not read would block the handler.
			_ = http.NewResponseController(f.writer).SetWriteDeadline(clock.DeadlineAfter(closeTime))
		}
	})
	if ended > 0 {
		g.log.Warn().Int("requests", ended).Msg("ending requests, as the time for the shutdown is over")
	}
}

// logUnfinished logs the requests that are in flight although they were ended. Their handlers end with the process and log
// nothing themselves.
func (g *Gateway) logUnfinished() {
	now := g.now()
	g.inFlight.each(func(f *callerRequest) {
		g.metrics.count("abandoned")
		f.logAbandoned(now)
	})
}

func (g *Gateway) isLeaving() bool {
	return g.shutdown.Load() != nil
}

// closeIfLeaving makes the caller open its next connection to another gateway.
func (f *callerRequest) closeIfLeaving() {
	if f.gateway.isLeaving() {
		f.writer.Header().Set("Connection", "close")
	}
}

// outlasted returns the shutdown that is over before the request's deadline; nil if there is none.
func (f *callerRequest) outlasted() *shutdown {
	if s := f.gateway.shutdown.Load(); s != nil && f.deadline.After(s.answersDue) {
		return s
	}
	return nil
}

// refuseIfLeaving refuses the request if the gateway stopped taking requests that may outlast it. It reports whether it did.
func (f *callerRequest) refuseIfLeaving() bool {
	s := f.outlasted()
	if s == nil || f.gateway.now().Before(s.acceptUntil) {
		return false
	}
	f.refuse(reasonLeaving, leavingRetryAfter)
	f.boundUnreadBody()
	return true
}

// completesInTime reports whether the answer is expected to be complete before a shutdown ends it, if the request is sent
// now. Of services that are not engines nothing is known: their requests are first sent as long as new ones are taken. What
// may have run already can't be refused, so that another upstream is tried until answers are due.
func (f *callerRequest) completesInTime(c placement.Choice) bool {
	s := f.outlasted()
	if s == nil {
		return true
	}
	now := f.gateway.now()
	pool := f.catalog.Services[f.pool]
	if pool == nil || pool.Engine == nil {
		if f.mayHaveRun() {
			return now.Before(s.answersDue)
		}
		return now.Before(s.acceptUntil)
	}
	expected := c.Predicted + placement.NewLatencyModel(pool.Engine).Generation(&c.Candidate, f.expectedAnswerTokens())
	return !now.Add(waitSafetyFactor * expected).After(s.answersDue)
}

// mayHaveRun reports whether an upstream may have run the request.
func (f *callerRequest) mayHaveRun() bool {
	return f.hedged || !f.allNotRun
}

// startReceiving bounds the wait for the body.
func (f *callerRequest) startReceiving() {
	p := &f.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stage = stageReceiving
	wait := f.remaining()
	if s := f.outlasted(); f.ctx.Err() != nil || s != nil && !f.gateway.now().Before(s.acceptUntil) {
		// endReceiving may have been called before.
		wait = 0
	}
	_ = http.NewResponseController(f.writer).SetReadDeadline(clock.DeadlineAfter(wait))
}

// stopReceiving ends the wait for a body that is not complete when the gateway stops taking requests.
func (f *callerRequest) stopReceiving() {
	if f.outlasted() != nil {
		f.endReceiving()
	}
}

// endReceiving ends the wait for a body that is not complete.
func (f *callerRequest) endReceiving() {
	p := &f.progress
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stage == stageReceiving {
		_ = http.NewResponseController(f.writer).SetReadDeadline(clock.DeadlineAfter(0))
	}
}
