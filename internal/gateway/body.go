package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springrail/springrail/internal/clock"
)

const (
	// maxBufferedBody is the longest request body, in bytes, that is buffered so that it can be sent again. A longer
	// body is streamed and sent only once. Usual bodies are a few KB.
	maxBufferedBody = 256 << 10
	// uploadBufferBytes is the size of the buffer with which io.Copy streams a longer body.
	uploadBufferBytes = 32 << 10
	// unreadBodyTimeout bounds how long the rest of a body is still received after the response has been written. A
	// connection that is closed with received bytes unread is reset, which could lose the response.
	unreadBodyTimeout = time.Second
)

// errNoBufferSpace reports that a body was not read for lack of buffer space.
var errNoBufferSpace = errors.New("no buffer space for the body")

// streamedBody is the rest of a body that is too long to buffer.
type streamedBody struct {
	// mu is held during a read, as the upload may still read when the response has been written.
	mu   sync.Mutex
	body io.Reader
	// ended is true once the body has been read to its end or has failed.
	ended atomic.Bool
}

// Read implements io.Reader.
func (s *streamedBody) Read(b []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, err := s.body.Read(b)
	if err != nil {
		s.ended.Store(true)
	}
	return n, err
}

// readBody buffers a body of up to maxBufferedBody and keeps the rest of a longer one for streaming.
func (f *callerRequest) readBody() bool {
	if f.httpRequest.ContentLength == 0 {
		return true
	}
	f.startReceiving()
	limit := int64(f.catalog.Limits.BodyBytes)
	if limit <= 0 {
		limit = maxBufferedBody
	}
	body := http.MaxBytesReader(nil, f.httpRequest.Body, limit)
	err := f.bufferBody(body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		f.fail(http.StatusRequestEntityTooLarge, "body too large")
		return false
	case errors.Is(err, io.EOF):
		return true
	case errors.Is(err, errNoBufferSpace):
		f.refuseBody()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded) && f.refuseIfLeaving():
		return false
	case errors.Is(context.Cause(f.ctx), errShutdown):
		f.refuse(reasonLeaving, leavingRetryAfter)
		f.boundUnreadBody()
		return false
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Unlike after status 400, the caller may send the request again.
		f.writer.Header().Set("Connection", "close")
		f.fail(http.StatusRequestTimeout, "the body did not come in time")
		f.boundUnreadBody()
		return false
	case err != nil:
		f.fail(http.StatusBadRequest, "the body did not come whole")
		return false
	}
	f.buffers.add(uploadBufferBytes)
	f.upload = &streamedBody{body: body}
	f.unreadBody = f.upload
	f.boundUpload()
	return true
}

// boundUpload lets the context end a streamed body, and the connection only some time later. When a read fails, also by its
// deadline, the server ends the request's context as if the caller had left, and the request would get no answer.
func (f *callerRequest) boundUpload() {
	f.progress.mu.Lock()
	defer f.progress.mu.Unlock()
	_ = http.NewResponseController(f.writer).SetReadDeadline(clock.DeadlineAfter(f.remaining() + unreadBodyTimeout))
}

// bufferBody reads up to maxBufferedBody. It returns nil if the buffer is full, and io.EOF if the body ended before.
// Space for a stated length is reserved before anything is read; the buffer grows as the body arrives.
func (f *callerRequest) bufferBody(body io.Reader) error {
	reserved := min(f.httpRequest.ContentLength, maxBufferedBody)
	if reserved < 0 {
		reserved = freeBufferBytes
	}
	if reserved <= freeBufferBytes {
		f.buffers.add(reserved)
	} else if !f.buffers.tryReserve(reserved) {
		return errNoBufferSpace
	}
	b := make([]byte, 0, min(reserved, freeBufferBytes))
	for {
		n, err := body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		f.body = b
		switch {
		case err != nil:
			f.buffers.add(int64(cap(b)) - reserved)
			return err
		case len(b) == maxBufferedBody:
			return nil
		case len(b) < cap(b):
			continue
		}
		size := min(2*int64(cap(b)), maxBufferedBody)
		if size > reserved {
			if !f.buffers.tryReserve(size - reserved) {
				return errNoBufferSpace
			}
			reserved = size
		}
		b = append(make([]byte, 0, size), b...)
	}
}

// refuseBody answers at once that the request was not run, without receiving the rest of its body first.
func (f *callerRequest) refuseBody() {
	f.writer.Header().Set("Connection", "close")
	f.refuse(errNoBufferSpace.Error(), bufferRetryAfter)
	f.boundUnreadBody()
}

// isUploading reports whether the rest of a streamed body has not been received yet.
func (f *callerRequest) isUploading() bool {
	return f.upload != nil && !f.upload.ended.Load()
}

// closeAfterUpload closes the caller's connection after the response if its body is still being received. The server
// would otherwise receive the body before it sends the header, so that a caller that sends slowly would get an early
// response late.
func (f *callerRequest) closeAfterUpload() {
	if f.isUploading() {
		f.writer.Header().Set("Connection", "close")
	}
}

// endUpload writes out the response to a body that is still being received, and receives the rest of it for at most
// unreadBodyTimeout. A read that is pending when the handler returns would make the server remove the deadline.
func (f *callerRequest) endUpload() {
	if !f.isUploading() {
		return
	}
	_ = http.NewResponseController(f.writer).Flush()
	f.boundUnreadBody()
	_, _ = io.CopyN(io.Discard, f.upload, maxBufferedBody)
}

// boundUnreadBody bounds how long the rest of the body is received after the response.
func (f *callerRequest) boundUnreadBody() {
	wait := unreadBodyTimeout
	if s := f.gateway.shutdown.Load(); s != nil {
		wait = min(wait, max(0, s.exitDue.Sub(f.gateway.now())))
	}
	_ = http.NewResponseController(f.writer).SetReadDeadline(clock.DeadlineAfter(wait))
}
