package upconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/id"
)

// Pool sends requests over kept connections.
type Pool struct {
	dial func(ctx context.Context, network, address string) (net.Conn, error)
	now  func() time.Time
	idle idle
	// echoed says whether an answer's header belongs to a request.
	echoed func(request, answer http.Header) bool
	// OnDial counts new connections.
	OnDial func()
}

// New makes a pool. Echoed tells an answer to this request from a late one to another request.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), now func() time.Time,
	echoed func(request, answer http.Header) bool,
) *Pool {
	return &Pool{
		dial: dial, now: now, echoed: echoed, idle: idle{conns: map[string][]*conn{}}, OnDial: func() {},
	}
}

// Exchange is a request that was sent and the head of its answer.
type Exchange struct {
	*http.Response
	pool *Pool
	conn *conn
	stop func() bool
	// uploaded closes once a long body has been sent; nil for bodies that were sent whole.
	uploaded chan struct{}
	ended    bool
}

// maxStray bounds the answers to other requests that are passed over on one connection.
const maxStray = 4

// Send sends a request to an address and returns the head of the answer. The context's end breaks the connection, and
// with it the upstream's work. Errors are ErrNotSent, ErrSendDenied or ErrOutcomeUnknown.
func (p *Pool) Send(ctx context.Context, address string, r *Request) (*Exchange, error) {
	asked := p.now()
	c := p.idle.take(address, r.Incarnation, asked)
	if c == nil {
		fresh, err := p.connect(ctx, address, r.Incarnation)
		if err != nil {
			return nil, trace.Wrap(errors.Join(ErrNotSent, err))
		}
		c = fresh
	}
	if r.MaySend != nil && !r.MaySend(p.now().Sub(asked)) {
		p.idle.put(c, p.now())
		return nil, trace.Wrap(ErrSendDenied)
	}
	e := &Exchange{pool: p, conn: c}
	e.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if err := e.exchange(r); err != nil {
		e.stop()
		c.Close()
		return nil, trace.Wrap(errors.Join(ErrOutcomeUnknown, err))
	}
	return e, nil
}

func (p *Pool) connect(ctx context.Context, address string, born id.Incarnation) (*conn, error) {
	p.OnDial()
	n, err := p.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: n, address: address, born: born, idleUntil: p.now().Add(defaultKeep), r: bufio.NewReaderSize(n, readBuffer), w: bufio.NewWriterSize(n, readBuffer)}, nil
}

// exchange sends the request and reads the head of its answer.
func (e *Exchange) exchange(r *Request) error {
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

// upload sends a long body beside the answer, which may come before the body's end.
func (e *Exchange) upload(r *Request) {
	if r.writeRest(e.conn.w) == nil {
		close(e.uploaded)
	}
}

// readHead passes over answers that belong to other requests and informational ones.
func (e *Exchange) readHead(r *Request) error {
	for range maxStray {
		a, err := http.ReadResponse(e.conn.r, &http.Request{Method: r.Method}) //nolint:bodyclose // End closes the connection
		if err != nil {
			return err
		}
		if a.StatusCode < http.StatusOK {
			continue
		}
		if e.pool.echoed(r.Header, a.Header) {
			e.Response = a
			return nil
		}
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			return err
		}
	}
	return errors.New("only answers to other requests came")
}

// Release gives the connection back after a whole answer; otherwise it closes it, which ends the upstream's work.
func (e *Exchange) Release(whole bool) {
	if e.ended {
		return
	}
	e.ended = true
	live := e.stop()
	keep := keepFor(e.Response)
	if !whole || !live || keep <= 0 || e.conn.r.Buffered() > 0 || !e.sent() {
		e.conn.Close()
		return
	}
	e.conn.idleUntil = e.pool.now().Add(keep)
	e.pool.idle.put(e.conn, e.pool.now())
}

// sent says whether the whole body has left; where an answer came early the rest of it is still due there.
func (e *Exchange) sent() bool {
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

// ProbeRefused says whether nothing listens at an address any more: the process there has ended, and its VM lives. It is not
// known where neither a connection nor a refusal comes. A connection that comes is kept for the next request.
func (p *Pool) ProbeRefused(ctx context.Context, address string, born id.Incarnation) (refused, known bool) {
	c, err := p.connect(ctx, address, born)
	if err != nil {
		refused = errors.Is(err, syscall.ECONNREFUSED)
		return refused, refused
	}
	p.idle.put(c, p.now())
	return false, true
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.idle.drop(address)
}
