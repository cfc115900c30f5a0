package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/upconn"
)

const (
	// maxBufferedAnswer is the longest response, in bytes, that is buffered whole before its header is sent, so that a
	// response that breaks off can be retried or reported as failed. Usual responses are below 5 KB.
	maxBufferedAnswer = 64 << 10
	// streamReadSize is the size of a read from a stream, in bytes; an event has about a hundred.
	streamReadSize = 4 << 10
)

// forwardAnswer forwards the upstream's response to the caller, or returns why it cannot be used.
func (t *attempt) forwardAnswer() *attemptError {
	f, e := t.request, t.exchange
	d := f.gateway.dialect
	v := d.ReadResponse(e.StatusCode, e.Header)
	t.noteResponse(v)
	if v.NotRun {
		t.drainRefusal()
		retry := refusedRetryAfter
		if v.Leaving || v.Rest > 0 {
			retry = f.retryAfterElsewhere()
		}
		return notRunError("the upstream refused: "+strconv.Itoa(e.StatusCode), retry)
	}
	f.allNotRun = false
	ok := isSuccess(e.StatusCode)
	if f.headSent && !ok {
		return &attemptError{text: "the upstream did not continue the stream"}
	}
	if v.Revision > 0 && !f.headSent {
		f.revision = v.Revision
		t.updatePosition(f.currentPosition())
	}
	if ok && f.route.Kind == catalog.Streaming {
		return t.forwardStream()
	}
	if !t.noteProgress() {
		return t.handleBreak("another upstream continued the stream")
	}
	return t.forwardPlain()
}

// drainTimeout bounds the wait for the rest of a refusal, whose connection is only reused if it is read to its end.
const drainTimeout = 20 * time.Millisecond

// drainRefusal reads the body of a refusal if it is short and arrives soon.
func (t *attempt) drainRefusal() {
	stop := time.AfterFunc(drainTimeout, func() { t.cancel(errDrained) })
	n, err := io.CopyN(io.Discard, t.exchange.Body, maxBufferedAnswer)
	t.answerComplete = stop.Stop() && n < maxBufferedAnswer && errors.Is(err, io.EOF)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// forwardPlain forwards a response that is not a stream.
func (t *attempt) forwardPlain() *attemptError {
	f, e := t.request, t.exchange
	t.noteAnswerStart()
	body, whole, err := t.bufferAnswer()
	if err != nil {
		return t.handleBreak("the upstream broke off in its answer")
	}
	if f.gateway.dialect.PromisesNotRun(e.StatusCode) {
		// The status promises the caller that the request was not run, but the header does not prove it, so the gateway
		// does not forward the status.
		t.answerComplete = whole
		return &attemptError{text: "the upstream answered " + strconv.Itoa(e.StatusCode) + " without proof"}
	}
	if e.StatusCode >= http.StatusInternalServerError && f.route.Kind == catalog.Safe && f.canRetry() {
		t.answerComplete = whole
		return &attemptError{text: "the upstream answered " + strconv.Itoa(e.StatusCode)}
	}
	if whole && t.upstreamCrashed() {
		return t.handleBreak(textCrashed)
	}
	t.sendHead(whole, len(body))
	if err := t.writeCaller(body); err != nil {
		return t.callerGoneError()
	}
	if !whole {
		if p := t.copyAnswer(body[:cap(body)]); p != nil {
			return p
		}
		if t.upstreamCrashed() {
			return t.handleBreak(textCrashed)
		}
	}
	t.answerComplete = true
	if e.StatusCode < http.StatusMultipleChoices {
		t.noteServed()
	}
	f.complete(strconv.Itoa(e.StatusCode))
	return nil
}

// bufferAnswer reads the response, or its beginning if it is longer than maxBufferedAnswer or if there is no buffer
// space for more than a first read. The request's account keeps what it reserves, as a failed answer is held as well
// until the next attempt.
func (t *attempt) bufferAnswer() (body []byte, whole bool, err error) {
	f := t.request
	f.buffers.add(streamReadSize)
	b := make([]byte, 0, streamReadSize)
	for {
		n, err := t.readUpstream(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF) && len(b) < maxBufferedAnswer:
			return b, true, nil
		case err != nil && !errors.Is(err, io.EOF):
			return b, false, err
		case len(b) == maxBufferedAnswer:
			return b, false, nil
		case len(b) < cap(b):
			continue
		}
		if cap(b) == streamReadSize && !f.reserveBuffer(t.ctx, maxBufferedAnswer-streamReadSize) {
			return b, false, nil
		}
		b = append(make([]byte, 0, min(2*cap(b), maxBufferedAnswer)), b...)
	}
}

// reserveBuffer reserves buffer space for an answer that has begun. Meanwhile nothing is read from its upstream.
func (f *callerRequest) reserveBuffer(ctx context.Context, n int64) bool {
	ok := f.buffers.reserve(ctx, n, f.gateway.now)
	if !ok {
		f.gateway.metrics.count("no_buffer_space")
	}
	return ok
}

// copyAnswer forwards the rest of a response through a buffer.
func (t *attempt) copyAnswer(buffer []byte) *attemptError {
	for {
		n, err := t.readUpstream(buffer)
		if n > 0 && t.writeCaller(buffer[:n]) != nil {
			return t.callerGoneError()
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return t.handleBreak("the upstream broke off in its answer")
		}
	}
}

// noteAnswerStart records that the upstream has started to answer.
func (t *attempt) noteAnswerStart() {
	if t.startRecorded {
		return
	}
	t.startRecorded = true
	t.answerStarted.Store(true)
	f := t.request
	if t.firstDataAt.IsZero() {
		t.firstDataAt = f.gateway.now()
	}
	f.answerBegun.Store(true)
	took := t.tracked.RecordFirstEvent()
	if !f.headSent {
		f.timeToFirst = f.gateway.now().Sub(f.arrived)
		f.gateway.metrics.observe(histFirstEvent, f.timeToFirst)
		f.gateway.metrics.observe(histPredictionError, took-t.choice.Predicted)
	}
}

// sendHead sends the response header, with the length if the whole body is buffered.
func (t *attempt) sendHead(withLength bool, length int) {
	f, e := t.request, t.exchange
	if f.headSent {
		return
	}
	f.headSent = true
	f.progress.noteAnswering()
	header := f.writer.Header()
	for name, values := range forwardedHeader(e.Header) {
		header[name] = values
	}
	if len(header["Content-Type"]) == 0 {
		header["Content-Type"] = nil
	}
	if withLength {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	f.closeIfLeaving()
	f.closeAfterUpload()
	f.writer.WriteHeader(e.StatusCode)
}

func (t *attempt) callerGoneError() *attemptError {
	t.reportAbandoned()
	return &attemptError{text: "the caller takes no more", final: true}
}

// forwardStream forwards events as they arrive. Of a resumable stream only whole events are forwarded, so that
// another upstream can continue after any of them.
func (t *attempt) forwardStream() *attemptError {
	t.request.events.dropPartial()
	return t.forwardEvents()
}

// forwardEvents forwards the rest of a stream.
func (t *attempt) forwardEvents() *attemptError {
	f := t.request
	f.buffers.add(streamReadSize)
	defer f.buffers.add(-streamReadSize)
	buffer := make([]byte, streamReadSize)
	for {
		n, err := t.readUpstream(buffer)
		var events []byte
		before := f.events
		if n > 0 {
			t.noteAnswerStart()
			t.lastByteAt = f.gateway.now()
			t.noteWritten()
			events = t.boundPartial(f.events.feed(buffer[:n], f.route.Resumable))
		}
		// An event that never ends is no progress.
		if (len(events) > 0 || errors.Is(err, io.EOF)) && !t.noteProgress() {
			f.events = before
			return t.handleBreak("another upstream continued the stream")
		}
		if len(events) > 0 && !t.writeEvents(events) {
			return t.callerGoneError()
		}
		if err != nil {
			return t.finishStream(err)
		}
	}
}

// boundPartial reserves buffer space for a long incomplete event. If there is none, the event is added to those that
// are forwarded now.
func (t *attempt) boundPartial(events []byte) []byte {
	f := t.request
	n := int64(cap(f.events.partialEvent)) - f.partialReserved
	if n <= 0 || len(f.events.partialEvent) <= streamReadSize {
		return events
	}
	if !f.reserveBuffer(t.ctx, n) {
		return append(events, f.events.stopSplitting()...)
	}
	f.partialReserved += n
	return events
}

// writeEvents writes events to the caller and reports whether that succeeded.
func (t *attempt) writeEvents(events []byte) bool {
	f := t.request
	defer func() { t.updatePosition(f.currentPosition()) }()
	if len(events) == 0 {
		return true
	}
	t.sendHead(false, 0)
	if t.writeCaller(events) != nil {
		return false
	}
	start := f.gateway.now()
	err := http.NewResponseController(f.writer).Flush()
	t.pace.recordWrite(f.gateway.now().Sub(start))
	return err == nil
}

// streamBreak returns how a stream was broken off that has ended with io.EOF or the error that interrupted it; empty for a
// complete one.
func (t *attempt) streamBreak(err error) string {
	switch {
	case !errors.Is(err, io.EOF):
		return "the upstream broke off its stream"
	case t.request.events.hasPartial(), t.request.events.passedOn.withinEvent && isEventStream(t.exchange.Header):
		return "the upstream ended its stream within an event"
	case t.upstreamCrashed():
		return textCrashed
	default:
		return ""
	}
}

const textCrashed = "the upstream crashed in its answer"

// endLookPauses are the pauses before the looks at an upstream whose answer ended with its connection.
var endLookPauses = [...]time.Duration{0, 40 * time.Millisecond, 80 * time.Millisecond}

// upstreamCrashed reports, at the end of an answer, whether the upstream's process has ended and with it an answer without
// a length, which may then be incomplete. One that leaves may end after its last complete answer. It also sets endProven.
func (t *attempt) upstreamCrashed() bool {
	if t.exchange.Framed() {
		t.endProven = true
		return false
	}
	g := t.request.gateway
	s, endedAt := t.upstreamIncarnation(), g.now()
	w := g.connections.Watch(s.Address, s.Born)
	defer w.Keep()
	for _, d := range endLookPauses {
		kernel.Pause(t.ctx, d)
		p := w.Look(t.ctx)
		state := g.loadSources.Tracker.ProcessSince(s.Address, s.Born, endedAt)
		ended := p == upconn.Refused || state == placement.ProcessEnded || state == placement.ProcessDown
		if ended || p == upconn.Unanswered {
			return ended && !t.upstreamLeft()
		}
	}
	return false
}

// upstreamLeft reports whether the upstream leaves or is no longer listed.
func (t *attempt) upstreamLeft() bool {
	f := t.request.gateway.facts
	i := f.Instance(t.choice.Instance)
	return i == nil || i.Leaving || f.AnnouncedLeaving(t.choice.Instance, t.choice.Incarnation)
}

// noteWritten records once that the upstream has written its answer beyond the beginning.
func (t *attempt) noteWritten() {
	f := t.request
	if !t.writtenRecorded && len(f.identity.Parts) > 0 && t.lastByteAt.Sub(t.firstDataAt) >= quarantine.BeginningTime {
		t.writtenRecorded = true
		f.gateway.suspects.Written(f.identity)
	}
}

// noteServed clears the request of suspicions once it is known that its upstream has not crashed in the answer.
func (t *attempt) noteServed() {
	f := t.request
	// The question may stay open for seconds, in which the request's body need not be kept.
	suspects, identity := f.gateway.suspects, f.identity
	served := func() { suspects.Served(identity) }
	switch {
	case t.endProven:
		served()
	case !t.upstreamLeft():
		f.gateway.crashDetector.EndUnproven(t.upstreamIncarnation(), t.followed.Request(), served)
	}
}

// isEventStream reports whether a response has no other content than server-sent events, as far as its header says.
func isEventStream(h http.Header) bool {
	kind, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return kind == "" || strings.EqualFold(strings.TrimSpace(kind), "text/event-stream")
}

// finishStream handles the end of a stream: io.EOF, or the error that interrupted it.
func (t *attempt) finishStream(err error) *attemptError {
	f := t.request
	if text := t.streamBreak(err); text != "" {
		return t.handleBreak(text)
	}
	t.sendHead(false, 0)
	t.answerComplete = true
	t.noteServed()
	f.recordAnswerLength()
	f.complete("stream")
	return nil
}

// complete records that the caller has received the complete response.
func (f *callerRequest) complete(outcome string) {
	f.gateway.metrics.count("answered")
	if f.attempts > 1 {
		f.gateway.metrics.count("answered_after_repeat")
	}
	f.logLine(outcomeAnswered, outcome)
}
