package gateway

import (
	"bytes"
	"strconv"
)

// eventSplitter splits a stream into whole server-sent events and tracks the last one that was forwarded.
type eventSplitter struct {
	// lastID is the ID of the last event that was forwarded whole; empty before the first.
	lastID string
	// forwarded is the number of events that were forwarded whole.
	forwarded    int
	partialEvent []byte
	// unsplit is true once a part of an event was forwarded, as the event was too long to buffer. The stream is then
	// forwarded as it comes, and no other upstream can continue it.
	unsplit bool
	// passedOn tracks the events in what was forwarded as it came.
	passedOn eventBoundary
}

// eventBoundary tracks whether a stream that is not split is within an event.
type eventBoundary struct {
	withinEvent, withinLine bool
}

// advance takes the next bytes of the stream.
func (e *eventBoundary) advance(b []byte) {
	for _, c := range b {
		switch {
		case c == '\r':
		case c != '\n':
			e.withinEvent, e.withinLine = true, true
		case e.withinLine:
			e.withinLine = false
		default:
			e.withinEvent = false
		}
	}
}

// maxPartialEvent is the longest incomplete event, in bytes, that is buffered until it is whole. Usual events have about
// a hundred.
const maxPartialEvent = 256 << 10

// eventIDPrefix starts the line with an event's ID.
var eventIDPrefix = []byte("id:")

// dropPartial drops the incomplete event of an interrupted stream; the next upstream sends it whole.
func (e *eventSplitter) dropPartial() {
	e.partialEvent, e.passedOn = e.partialEvent[:0], eventBoundary{}
}

// hasPartial reports whether an event that is kept has begun and not ended.
func (e *eventSplitter) hasPartial() bool {
	return len(bytes.TrimSpace(e.partialEvent)) > 0
}

// feed takes received bytes and returns those that may be forwarded: all of them if the stream cannot be continued
// by another upstream, otherwise whole events that the caller does not have.
func (e *eventSplitter) feed(b []byte, wholeEvents bool) []byte {
	if !wholeEvents || e.unsplit {
		e.passedOn.advance(b)
		return b
	}
	e.partialEvent = append(e.partialEvent, b...)
	var out []byte
	for {
		n := eventLength(e.partialEvent)
		if n == 0 {
			break
		}
		event := e.partialEvent[:n]
		if id := eventID(event); id == "" || e.isNew(id) {
			out = append(out, event...)
			e.forwarded++
			if id != "" {
				e.lastID = id
			}
		}
		e.partialEvent = e.partialEvent[n:]
	}
	if len(e.partialEvent) > maxPartialEvent {
		out = append(out, e.stopSplitting()...)
	}
	return out
}

// stopSplitting returns the incomplete event. The rest of the stream is forwarded as it comes.
func (e *eventSplitter) stopSplitting() []byte {
	b := e.partialEvent
	e.partialEvent, e.unsplit = nil, true
	e.passedOn.advance(b)
	return b
}

// isNew reports whether an event follows the last one. IDs that are not numbers always count as new.
func (e *eventSplitter) isNew(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, err2 := strconv.ParseUint(e.lastID, 10, 64)
	return err != nil || err2 != nil || n > m
}

// eventLength returns the length of the first event including its terminating empty line, or 0 if it is incomplete.
func eventLength(b []byte) int {
	n := 0
	for _, terminator := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, terminator); i >= 0 && (n == 0 || i+len(terminator) < n) {
			n = i + len(terminator)
		}
	}
	return n
}

// eventID returns the ID in an event; empty for none.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, eventIDPrefix) {
			return string(bytes.TrimSpace(line[len(eventIDPrefix):]))
		}
	}
	return ""
}
