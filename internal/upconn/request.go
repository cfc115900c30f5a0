// Package upconn sends HTTP/1.1 requests to upstreams, and distinguishes requests that were never sent from those that may
// have run.
//
// The standard transport retries a request on its own when a reused connection fails, which could run the request twice. This
// client never retries; its caller decides whether to.
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
	// ErrNotSent reports that no byte of the request was sent to the upstream.
	ErrNotSent = errors.New("the request was not sent")
	// ErrSendDenied reports that the request was not sent because Request.MaySend denied it once there was a connection.
	ErrSendDenied = errors.New("the request was denied after its connection was established")
	// ErrOutcomeUnknown reports that the request was sent, at least in part, and no complete response was received.
	ErrOutcomeUnknown = errors.New("the upstream may have run the request, but sent no complete response")
	// ErrInvalidResponse reports that the upstream sent a response that HTTP does not allow. It is joined to ErrOutcomeUnknown.
	ErrInvalidResponse = errors.New("the upstream sent an invalid response")
)

// Request is an HTTP request to an upstream. Its header contains no hop-by-hop fields.
type Request struct {
	Method string
	// Target is the path and query as received from the caller.
	Target string
	Host   string
	Header http.Header
	// Body is the whole body, or the part of it that precedes BodyRest. Without BodyRest it is sent with its length.
	Body []byte
	// BodyRest streams the remainder of a body that is too long to buffer. ContentLength is the length of the whole body, or
	// negative for chunked encoding.
	BodyRest      io.Reader
	ContentLength int64
	// Incarnation is the process lifetime of the upstream for which the request is meant, if known. The request is not sent
	// over a reused connection to an earlier incarnation.
	Incarnation id.Incarnation
	// MaySend is called once there is a connection, with the time that getting it took. If it returns false the request is not
	// sent; nil permits every request. It prevents requests from being sent too late: on a congested link a connection may be
	// established seconds after the dial.
	MaySend func(dialled time.Duration) bool
}

// hasBody reports whether the request has a body. A POST or PUT with an empty body states a length of 0.
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

// writeBody sends a long body while it is received from the caller.
func (r *Request) writeBody(w *bufio.Writer) error {
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

// chunkWriter writes each buffer as one chunk of the chunked encoding.
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

// flushWriter flushes after each write, so that a streamed body isn't delayed in the buffer.
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
