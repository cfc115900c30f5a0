package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

var (
	// errAnswerTooLong is returned for an answer that states no length and exceeds the bound.
	errAnswerTooLong = errors.New("the answer is longer than answer_bytes")
	// errStalled cancels an attempt whose upstream has been silent for too long.
	errStalled = errors.New("the upstream stalled")
	// errDrained ends the wait for the rest of a refusal.
	errDrained = errors.New("the refusal does not end")
	// errOvertaken cancels an attempt when the concurrent attempt at another upstream has made progress first.
	errOvertaken = errors.New("another upstream made progress first")
	// errVersionOver cancels an attempt that has not begun when the grace period of its upstream's version ends.
	errVersionOver = errors.New("the grace period of the version has ended")
)

// endReason is the cause of an attempt that ended without a complete response.
type endReason string

const (
	endCallerLeft     endReason = "caller_left"
	endCallerDeadline endReason = "caller_deadline"
	endRouteTimeout   endReason = "route_timeout"
	endShutdown       endReason = "gateway_shutdown"
	endQuarantined    endReason = "held"
	endStalled        endReason = "upstream_stalled"
	endOvertaken      endReason = "overtaken"
	endVersionOver    endReason = "version_over"
	endLoading        endReason = "upstream_loading"
	endBrokeOff       endReason = "upstream_broke_off"
	// endInvalid is an answer that HTTP does not allow, as with the status 000.
	endInvalid endReason = "upstream_answer_invalid"
	// endUnread is an answer that the upstream cut off while the caller read it too slowly.
	endUnread endReason = "caller_read_too_slowly"
)

// attemptEnd describes an attempt that ended without a complete response. It is part of the request's log line.
type attemptEnd struct {
	reason   endReason
	instance id.Instance
	progress string
	// events is the number of events that the attempt forwarded to the caller.
	events int
	// silence is the time since the upstream last sent data, or since the request was sent.
	silence time.Duration
}

// MarshalObject implements log.ObjectMarshaler.
func (a *attemptEnd) MarshalObject(e *log.Entry) {
	e.Str("reason", string(a.reason)).Str("instance", string(a.instance)).Str("progress", a.progress).
		Int("events", a.events).Int64("silent_ms", a.silence.Milliseconds())
}

// findEndReason determines what ended the attempt.
func (t *attempt) findEndReason() endReason {
	f := t.request
	g := f.gateway
	cause := context.Cause(t.ctx)
	switch {
	case errors.Is(cause, errShutdown), f.httpRequest.Context().Err() != nil && g.connectionsClosed.Load():
		return endShutdown
	case f.httpRequest.Context().Err() != nil:
		return endCallerLeft
	case !g.now().Before(f.callerDeadline):
		return endCallerDeadline
	case !g.now().Before(f.deadline):
		return endRouteTimeout
	case errors.Is(cause, errQuarantined):
		return endQuarantined
	case errors.Is(cause, errOvertaken):
		return endOvertaken
	case errors.Is(cause, errVersionOver):
		return endVersionOver
	case t.ctx.Err() != nil:
		return endStalled
	case t.invalidAnswer:
		return endInvalid
	case g.aboutToLoad(t.choice.Address):
		return endLoading
	case t.pace.isUnread():
		return endUnread
	default:
		return endBrokeOff
	}
}

// recordEnd adds the end of the attempt to the request's log line and to the metrics.
func (t *attempt) recordEnd(r endReason) {
	f := t.request
	f.failedAttempts = append(f.failedAttempts, &attemptEnd{
		reason: r, instance: t.choice.Instance, progress: t.answerProgress(),
		events: f.events.forwarded - t.eventsBefore, silence: f.gateway.now().Sub(t.lastByteAt),
	})
	f.gateway.metrics.count("attempt_ended_" + string(r))
}
