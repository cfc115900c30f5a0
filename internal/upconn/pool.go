package upconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/dial"
	"github.com/springrail/springrail/internal/httpconn"
	"github.com/springrail/springrail/internal/id"
)

// Pool sends requests over reusable connections.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time
	idle idlePool
	// isResponseTo reports whether a response's header belongs to a request.
	isResponseTo func(request, answer http.Header) bool
	// OnDial is called before each new connection is dialled.
	OnDial func()
}

// New returns a pool. The function isResponseTo tells the response to a request from a late response to another request.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time,
	isResponseTo func(request, answer http.Header) bool,
) *Pool {
	return &Pool{
		dial: dial, now: now, isResponseTo: isResponseTo, idle: idlePool{conns: map[string][]*conn{}}, OnDial: func() {},
	}
}

// Exchange is a request that was sent and the header of its response.
type Exchange struct {
	*http.Response
	pool      *Pool
	conn      *conn
	stopAbort func() bool
	// uploaded is closed when the body of a request has been sent completely. It is nil if the body was sent together with the
	// header.
	uploaded chan struct{}
	released bool
}

// maxResponseHeads bounds the response headers that are read on a connection until one belongs to the request.
const maxResponseHeads = 4

// maxSkippedBody and maxSkipTime bound the body of a response to another request, which is read to its end to come to the next
// response. Late responses that were complete when they were sent arrive at once.
const (
	maxSkippedBody = 64 << 10
	maxSkipTime    = 500 * time.Millisecond
)

// errSkippedTooLong reports a response to another request whose body does not end within the bounds.
var errSkippedTooLong = errors.New("the response to another request does not end")

// Send sends a request to an address and returns the header of its response. When the context ends, the connection is aborted,
// and with it the upstream's processing. The error is ErrNotSent, ErrSendDenied or ErrOutcomeUnknown.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	started := p.now()
	c := p.idle.take(address, r.Incarnation, started)
	if c == nil {
		dialled, err := p.connect(ctx, address, r.Incarnation)
		if err != nil {
			return nil, trace.Wrap(errors.Join(ErrNotSent, err))
		}
		c = dialled
	}
	if r.MaySend != nil && !r.MaySend(p.now().Sub(started)) {
		p.idle.put(c, p.now())
		return nil, trace.Wrap(ErrSendDenied)
	}
	e := &Exchange{pool: p, conn: c}
	e.stopAbort = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := e.sendAndReadHead(r); err != nil {
		e.stopAbort()
		c.Close()
		return nil, trace.Wrap(errors.Join(ErrOutcomeUnknown, err))
	}
	return e, nil
}

func (p *Pool) connect(ctx context.Context, address string, incarnation id.Incarnation) (*conn, error) {
	p.OnDial()
	n, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	dial.LimitSocketBuffers(n)
	c := &conn{Conn: n, address: address, incarnation: incarnation, reusableUntil: p.now().Add(defaultIdleTimeout), w: bufio.NewWriterSize(n, bufferBytes)}
	c.head.from = n
	c.r = bufio.NewReaderSize(&c.head, bufferBytes)
	return c, nil
}

// sendAndReadHead sends the request and reads the header of its response.
func (e *Exchange) sendAndReadHead(r *Request) error {
	c := e.conn
	r.writeHead(c.w)
	if r.BodyRest == nil {
		_, _ = c.w.Write(r.Body)
	}
	if err := c.w.Flush(); err != nil {
		return err
	}
	if r.BodyRest != nil {
		e.uploaded = make(chan struct{})
		go e.upload(r)
	}
	return e.readHead(r)
}

// upload sends a long body concurrently with the reading of the response, which may arrive before the whole body has been
// sent.
func (e *Exchange) upload(r *Request) {
	if r.writeBody(e.conn.w) == nil {
		close(e.uploaded)
	}
}

// readHead reads the header of the response, and skips responses to other requests.
func (e *Exchange) readHead(r *Request) error {
	for range maxResponseHeads {
		a, err := e.readFinal(r.Method) //nolint:bodyclose // Release closes the connection
		if err != nil {
			return err
		}
		if e.pool.isResponseTo(r.Header, a.Header) {
			e.Response = a
			return nil
		}
		if err := e.skip(a.Body); err != nil {
			return err
		}
	}
	return errors.New("received only responses to other requests")
}

// readFinal reads the header of the next response, and skips the interim ones before it. Together they are bounded as one
// header.
func (e *Exchange) readFinal(method string) (*http.Response, error) {
	e.conn.head.start()
	defer e.conn.head.end()
	for {
		a, err := http.ReadResponse(e.conn.r, &http.Request{Method: method}) //nolint:bodyclose // Release closes the connection
		switch {
		case err != nil:
			return nil, err
		case httpconn.IsFinalStatus(a.StatusCode):
			return a, nil
		case !isInterim(a):
			return nil, trace.Wrap(ErrInvalidResponse, "status code %d", a.StatusCode)
		}
	}
}

// isInterim reports whether another response follows on the connection. A response with an interim status and a body is
// invalid (RFC 9112, section 6): what follows its header may be that body. The status 101 answers requests for another
// protocol only, which are never sent.
func isInterim(a *http.Response) bool {
	interim := a.StatusCode >= http.StatusContinue && a.StatusCode < http.StatusOK && a.StatusCode != http.StatusSwitchingProtocols
	return interim && a.ContentLength <= 0 && a.Header.Get("Content-Length") == "" && len(a.TransferEncoding) == 0
}

// skip reads the body of a response to another request to its end.
func (e *Exchange) skip(body io.Reader) error {
	start, skipped := e.pool.now(), 0
	buffer := make([]byte, bufferBytes)
	for {
		n, err := body.Read(buffer)
		skipped += n
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		case skipped > maxSkippedBody, e.pool.now().Sub(start) > maxSkipTime:
			return errSkippedTooLong
		}
	}
}

// Framed reports whether the response states its own length, so that its end shows that it is complete. Any other response
// ends with its connection, also where the upstream's process ends in the middle.
func (e *Exchange) Framed() bool {
	return e.ContentLength >= 0 || len(e.TransferEncoding) > 0 || e.Body == http.NoBody
}

// Release returns the connection to the pool after a complete response; otherwise it closes the connection, which aborts the
// upstream's processing.
func (e *Exchange) Release(complete bool) {
	if e.released {
		return
	}
	e.released = true
	live := e.stopAbort()
	keep := idleTimeout(e.Response)
	if !complete || !live || keep <= 0 || e.conn.r.Buffered() > 0 || !e.bodySent() {
		e.conn.Close()
		return
	}
	e.conn.reusableUntil = e.pool.now().Add(keep)
	e.pool.idle.put(e.conn, e.pool.now())
}

// bodySent reports whether the whole body has been sent. After an early response the upstream still expects the rest of the
// body on this connection.
func (e *Exchange) bodySent() bool {
	if e.uploaded == nil {
		return true
	}
	select {
	case <-e.uploaded:
		return true
	default:
		return false
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.idle.closeAll(address)
}
