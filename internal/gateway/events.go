package gateway

import (
	"bytes"
	"strconv"
)

// events cuts a stream into whole events and knows the last one that was passed on.
type events struct {
	// last is the id of the last whole event passed on; empty before the first.
	last string
	// passed is the number of whole events passed on.
	passed  int
	pending []byte
}

// idField begins the line of an event's id.
var idField = []byte("id:")

// restart drops what an upstream left of an event; the next one sends it whole.
func (e *events) restart() {
	e.pending = e.pending[:0]
}

// partial says whether an event has begun and not ended.
func (e *events) partial() bool {
	return len(bytes.TrimSpace(e.pending)) > 0
}

// feed takes bytes and returns those that may go out: all of them where the stream can't be continued elsewhere, else
// whole events that the caller does not have.
func (e *events) feed(b []byte, whole bool) []byte {
	if !whole {
		return b
	}
	e.pending = append(e.pending, b...)
	var out []byte
	for {
		n := eventEnd(e.pending)
		if n == 0 {
			return out
		}
		event := e.pending[:n]
		if id := eventID(event); id == "" || e.isNew(id) {
			out = append(out, event...)
			e.passed++
			if id != "" {
				e.last = id
			}
		}
		e.pending = e.pending[n:]
	}
}

// isNew says whether an event comes after the last one. Ids that are no numbers are taken as they come.
func (e *events) isNew(id string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	m, err2 := strconv.ParseUint(e.last, 10, 64)
	return err != nil || err2 != nil || n > m
}

// eventEnd is the length of the first event with its empty line, or 0 where it is not whole.
func eventEnd(b []byte) int {
	n := 0
	for _, end := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, end); i >= 0 && (n == 0 || i+len(end) < n) {
			n = i + len(end)
		}
	}
	return n
}

// eventID returns the id that an event names, or nothing.
func eventID(event []byte) string {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
	}
	return ""
}
