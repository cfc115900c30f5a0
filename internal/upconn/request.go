// Package upconn sends HTTP/1.1 requests to upstreams and tells apart what was never sent from what may have run.
//
// The standard transport sends a request again by itself when a kept connection dies under it, which would run a
// request a second time. This client never repeats anything; whether to do so is the caller's decision.
package upconn

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/springrail/springrail/internal/id"
)

var (
	// ErrNotSent says that no byte of the request left for the upstream.
	ErrNotSent = errors.New("the request was not sent")
	// ErrSendDenied says that the request was not sent, as it might not be any more once there was a connection.
	ErrSendDenied = errors.New("the request may not be sent any more")
	// ErrOutcomeUnknown says that the request was sent, at least in part, and that no whole answer came.
	ErrOutcomeUnknown = errors.New("the upstream may have run the request and gave no whole answer")
)

// Request is what is sent. The header holds no field that concerns one connection only.
type Request struct {
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is sent whole, with its length.
	Body []byte
	// BodyRest is what follows Body where it was too long to hold; it is sent in chunks, or with Length bytes in all.
	BodyRest      io.Reader
	ContentLength int64
	// Incarnation is the start of the upstream that the request is for, where that is known: it goes over no kept connection to an
	// earlier one.
	Incarnation id.Incarnation
	// MaySend is asked once there is a connection, with the time that it took to come, and false leaves the request unsent;
	// nil stands for always. It guards against what must not be sent late: a connection over a link with a queue comes
	// seconds after it was asked for.
	MaySend func(dialled time.Duration) bool
}

// hasBody says whether the request carries a body; a POST without one says so with a length of 0.
func (r *Request) hasBody() bool {
	return len(r.Body) > 0 || r.BodyRest != nil || r.Method == http.MethodPost || r.Method == http.MethodPut
}

// writeHead writes the request line and the header.
func (r *Request) writeHead(w *bufio.Writer) {
	_, _ = w.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			_, _ = w.WriteString(name + ": " + v + "\r\n")
		}
	}
	switch {
	case r.BodyRest != nil && r.ContentLength < 0:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	case r.BodyRest != nil:
		_, _ = w.WriteString("Content-Length: " + strconv.FormatInt(r.ContentLength, 10) + "\r\n")
	case r.hasBody():
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// writeRest sends a long body as it comes in from the caller.
func (r *Request) writeRest(w *bufio.Writer) error {
	var to io.Writer = w
	if r.ContentLength < 0 {
		to = chunkWriter{w}
	}
	if len(r.Body) > 0 {
		if _, err := to.Write(r.Body); err != nil {
			return err
		}
	}
	if _, err := io.Copy(flushWriter{to, w}, r.BodyRest); err != nil {
		return err
	}
	if r.ContentLength < 0 {
		_, _ = w.WriteString("0\r\n\r\n")
	}
	return w.Flush()
}

// chunkWriter frames each write as a chunk.
type chunkWriter struct {
	w *bufio.Writer
}

// Write implements io.Writer.
func (c chunkWriter) Write(b []byte) (int, error) {
	if len(b) == 0 {
		return 0, nil
	}
	_, _ = c.w.WriteString(strconv.FormatInt(int64(len(b)), 16) + "\r\n")
	_, _ = c.w.Write(b)
	_, err := c.w.WriteString("\r\n")
	return len(b), err
}

// flushWriter passes each write on at once.
type flushWriter struct {
	to io.Writer
	w  *bufio.Writer
}

// Write implements io.Writer.
func (f flushWriter) Write(b []byte) (int, error) {
	n, err := f.to.Write(b)
	if err != nil {
		return n, err
	}
	return n, f.w.Flush()
}
