package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/springrail/springrail/internal/catalog"
)

const (
	// heldAnswer is the longest answer that is held whole before its head goes out, in bytes, so that one that breaks
	// off can be asked for again or reported as failed. The users' answers are below 5 KB.
	heldAnswer = 64 << 10
	// readSize is the most that is read from a stream at once, in bytes; an event is about a hundred.
	readSize = 4 << 10
)

// take passes an answer on, or says why it is none.
func (t *attempt) take() *attemptError {
	f, e := t.flight, t.exchange
	d := f.gateway.dialect
	v := d.ReadResponse(e.StatusCode, e.Header)
	t.noteUpstream(v)
	if v.NotRun {
		_, err := io.Copy(io.Discard, io.LimitReader(e.Body, heldAnswer))
		t.whole = err == nil
		retry := refusedRetry
		if v.Leaving || v.Rest > 0 {
			retry = f.retryElsewhere()
		}
		return notRun("the upstream refused: "+strconv.Itoa(e.StatusCode), retry)
	}
	f.neverRan = false
	ok := isSuccess(e.StatusCode)
	if f.headSent && !ok {
		return &attemptError{text: "the upstream did not continue the stream"}
	}
	if v.Revision > 0 && !f.headSent {
		f.revision = v.Revision
		t.moved(f.position())
	}
	if ok && f.route.Kind == catalog.Streaming {
		return t.stream()
	}
	if !t.progressed() {
		return t.broke("another upstream continued the stream")
	}
	return t.plain()
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// plain passes an answer on that is no stream.
func (t *attempt) plain() *attemptError {
	f, e := t.flight, t.exchange
	t.started()
	body, err := io.ReadAll(io.LimitReader(e.Body, heldAnswer))
	if err != nil {
		return t.broke("the upstream broke off in its answer")
	}
	if f.gateway.dialect.PromisesNotRun(e.StatusCode) {
		// The upstream says "not run" in its status and does not prove it: passed on, it would be our promise.
		t.whole = true
		return &attemptError{text: "the upstream answered " + strconv.Itoa(e.StatusCode) + " without proof"}
	}
	if e.StatusCode >= http.StatusInternalServerError && f.route.Kind == catalog.Safe && f.canRepeat() {
		t.whole = true
		return &attemptError{text: "the upstream answered " + strconv.Itoa(e.StatusCode)}
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

// started notes that the upstream has begun to answer.
func (t *attempt) started() {
	if t.begun {
		return
	}
	t.begun = true
	t.answering.Store(true)
	f := t.flight
	f.begun.Store(true)
	took := t.mark.RecordFirstEvent()
	if !f.headSent {
		f.first = f.gateway.now().Sub(f.arrived)
		f.gateway.tally.observe(histTime, f.first)
		f.gateway.tally.observe(histDecision, took-t.choice.Predicted)
	}
}

// head sends the answer's head, with its length where the whole body is there.
func (t *attempt) head(sized bool, length int) {
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

func (t *attempt) callerGone() *attemptError {
	t.left()
	return &attemptError{text: "the caller takes no more", final: true}
}

// stream passes events on as they come. Of a resumable stream only whole events go out, so that another upstream can
// take it up after any of them.
func (t *attempt) stream() *attemptError {
	t.flight.events.restart()
	return t.read()
}

// read passes on what follows of a stream.
func (t *attempt) read() *attemptError {
	f, e := t.flight, t.exchange
	buffer := make([]byte, readSize)
	for {
		n, err := e.Body.Read(buffer)
		if (n > 0 || errors.Is(err, io.EOF)) && !t.progressed() {
			return t.broke("another upstream continued the stream")
		}
		if n > 0 {
			t.started()
			t.lastByte = f.gateway.now()
			if !t.pass(f.events.feed(buffer[:n], f.route.Resumable)) {
				return t.callerGone()
			}
		}
		if err != nil {
			return t.ended(err)
		}
	}
}

// pass sends events on to the caller, and says whether it takes them.
func (t *attempt) pass(events []byte) bool {
	f := t.flight
	defer func() { t.moved(f.position()) }()
	if len(events) == 0 {
		return true
	}
	t.head(false, 0)
	_, err := f.w.Write(events)
	return err == nil && http.NewResponseController(f.w).Flush() == nil
}

// ended is the end of a stream: io.EOF, or what broke it off.
func (t *attempt) ended(err error) *attemptError {
	f := t.flight
	switch {
	case !errors.Is(err, io.EOF):
		return t.broke("the upstream broke off its stream")
	case f.events.partial():
		return t.broke("the upstream ended its stream within an event")
	}
	t.head(false, 0)
	t.whole = true
	f.gateway.list.Served(f.fingerprint)
	f.done("stream")
	return nil
}

// done notes an answer that the caller has whole.
func (f *flight) done(outcome string) {
	f.gateway.tally.add("answered")
	if f.attempts > 1 {
		f.gateway.tally.add("answered_after_repeat")
	}
	f.logLine(outcomeAnswered, outcome)
}
