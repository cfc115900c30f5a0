package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

var (
	// errStalled ends an attempt whose upstream has been silent for too long.
	errStalled = errors.New("the upstream stalled")
	// errOvertaken ends an attempt beside another one that has gone on first.
	errOvertaken = errors.New("another upstream went on first")
	// errVersionOver ends an attempt that has not begun before its upstream's version may begin no more requests.
	errVersionOver = errors.New("the version's time is over")
)

// endReason says who ended an attempt that brought no whole answer, and why.
type endReason string

const (
	endCallerLeft   endReason = "caller_left"
	endDeadline     endReason = "caller_deadline"
	endRouteTimeout endReason = "route_timeout"
	endShutdown     endReason = "gateway_shutdown"
	endHeld         endReason = "held"
	endStalled      endReason = "upstream_stalled"
	endOvertaken    endReason = "overtaken"
	endVersionOver  endReason = "version_over"
	endLoading      endReason = "upstream_loading"
	endBrokeOff     endReason = "upstream_broke_off"
)

// attemptEnd is how one attempt ended without a whole answer. It goes into the line of the request.
type attemptEnd struct {
	reason   endReason
	instance id.Instance
	progress string
	// events is the number of events that the attempt passed on to the caller.
	events int
	// silence is the time since the upstream last sent anything, or since the request was sent.
	silence time.Duration
}

// MarshalObject implements log.ObjectMarshaler.
func (a *attemptEnd) MarshalObject(e *log.Entry) {
	e.Str("reason", string(a.reason)).Str("instance", string(a.instance)).Str("progress", a.progress).
		Int("events", a.events).Int64("silent_ms", a.silence.Milliseconds())
}

// endReason finds out who ended the attempt.
func (t *attempt) endReason() endReason {
	f := t.flight
	g := f.gateway
	cause := context.Cause(t.ctx)
	switch {
	case f.request.Context().Err() != nil && g.stopped.Load():
		return endShutdown
	case f.request.Context().Err() != nil:
		return endCallerLeft
	case !g.now().Before(f.callerGives):
		return endDeadline
	case !g.now().Before(f.deadline):
		return endRouteTimeout
	case errors.Is(cause, errHeld):
		return endHeld
	case errors.Is(cause, errOvertaken):
		return endOvertaken
	case errors.Is(cause, errVersionOver):
		return endVersionOver
	case t.ctx.Err() != nil:
		return endStalled
	case g.closed(t.choice.Address):
		return endLoading
	default:
		return endBrokeOff
	}
}

// noteEnd keeps how the attempt ended for the line of the request, and counts it.
func (t *attempt) noteEnd(r endReason) {
	f := t.flight
	f.ends = append(f.ends, &attemptEnd{
		reason: r, instance: t.choice.Instance, progress: t.progress(),
		events: f.events.passed - t.eventsBefore, silence: f.gateway.now().Sub(t.lastByte),
	})
	f.gateway.tally.add("attempt_ended_" + string(r))
}
