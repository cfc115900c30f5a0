package fleet

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/springrail/springrail/internal/id"
)

const (
	// pieceBytes is the piece that shaping works on; at 4 MB/s one takes 1 ms.
	pieceBytes = 4 << 10
	// payloadWrite is the length from which a write is taken for chunk bytes when a link damages them.
	payloadWrite = 8 << 10
)

// errCut says that a link is cut.
var errCut = errors.New("link cut")

// Link is a VM's link: what goes out and what comes in are shaped apart, or by one bucket.
type Link struct {
	domain id.Domain
	// Uplink and Downlink are the buckets; one and the same for half duplex.
	Uplink, Downlink *rate.Limiter
	// Bytes counts both directions.
	Bytes atomic.Int64
	// Corrupt damages chunk bytes that go out; Disconnected takes and makes no connections.
	Corrupt, Disconnected atomic.Bool
	// reachable says whether a failure domain can be reached now.
	reachable func(from, to id.Domain) bool
	mu        sync.Mutex
	conns     map[*shapedConn]bool
}

func newLink(d id.Domain, bytesPerSecond float64, halfDuplex bool, reachable func(from, to id.Domain) bool) *Link {
	l := &Link{
		domain: d, Uplink: rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes), reachable: reachable,
		conns: map[*shapedConn]bool{},
	}
	l.Downlink = l.Uplink
	if !halfDuplex {
		l.Downlink = rate.NewLimiter(rate.Limit(bytesPerSecond), pieceBytes)
	}
	return l
}

// SetRate changes the speed of both directions.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.Uplink.SetLimit(rate.Limit(bytesPerSecond))
	l.Downlink.SetLimit(rate.Limit(bytesPerSecond))
}

// Kill ends the VM: its connections break and it takes none.
func (l *Link) Kill() {
	l.Disconnected.Store(true)
	l.breakConns(func(*shapedConn) bool { return true })
}

func (l *Link) breakConns(which func(c *shapedConn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if which(c) {
			_ = c.Conn.Close()
		}
	}
}

// dialer makes connections from this VM. The address's domain is found by lookup; unknown ones are always reached.
func (l *Link) dialer(lookup func(address string) (id.Domain, bool)) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: 2 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, known := lookup(address)
		if l.Disconnected.Load() || known && !l.reachable(l.domain, to) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errCut}
		}
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.wrap(c, to), nil
	}
}

// Listener accepts connections over the link.
func (l *Link) Listener(on net.Listener) net.Listener {
	return shapedListener{Listener: on, link: l}
}

func (l *Link) wrap(c net.Conn, to id.Domain) net.Conn {
	s := &shapedConn{Conn: c, link: l, to: to}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[s] = true
	return s
}

// shapedListener accepts connections over a link.
type shapedListener struct {
	net.Listener
	link *Link
}

// Accept implements net.Listener.
func (s shapedListener) Accept() (net.Conn, error) {
	for {
		c, err := s.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !s.link.Disconnected.Load() {
			return s.link.wrap(c, ""), nil
		}
		_ = c.Close()
	}
}

// shapedConn takes tokens of its VM's link for each byte.
type shapedConn struct {
	net.Conn
	link *Link
	to   id.Domain
}

// Read implements net.Conn.
func (c *shapedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), pieceBytes)])
	c.link.Bytes.Add(int64(n))
	if n > 0 && c.link.Downlink.WaitN(context.Background(), n) != nil {
		return n, errCut
	}
	return n, err
}

// Write implements net.Conn.
func (c *shapedConn) Write(b []byte) (int, error) {
	if c.link.Corrupt.Load() && len(b) >= payloadWrite {
		b = append([]byte(nil), b...)
		b[len(b)/2] ^= 0xff
	}
	written := 0
	for written < len(b) {
		piece := b[written:min(written+pieceBytes, len(b))]
		if c.link.Uplink.WaitN(context.Background(), len(piece)) != nil {
			return written, errCut
		}
		n, err := c.Conn.Write(piece)
		written += n
		c.link.Bytes.Add(int64(n))
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *shapedConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
