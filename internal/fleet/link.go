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
	// burstBytes is the burst size of the bandwidth limiters, and the size of each read and write; at 4 MB/s one takes 1
	// ms.
	burstBytes = 4 << 10
	// minPayloadWrite is the size from which a write is assumed to contain chunk bytes, which a corrupting link damages.
	minPayloadWrite = 8 << 10
)

// errLinkCut is returned for connections over a link that is cut.
var errLinkCut = errors.New("link cut")

// Link is the simulated network link of a VM. Outgoing and incoming traffic have separate bandwidth limits, or share one.
type Link struct {
	domain id.Domain
	// Uplink and Downlink are the token buckets of both directions; they are the same bucket for half duplex.
	Uplink, Downlink *rate.Limiter
	// Bytes counts the traffic of both directions.
	Bytes atomic.Int64
	// Corrupt damages outgoing chunk bytes; Disconnected refuses to accept and to make connections.
	Corrupt, Disconnected atomic.Bool
	// reachable reports whether one failure domain can reach another now.
	reachable func(from, to id.Domain) bool
	mu        sync.Mutex
	conns     map[*shapedConn]bool
}

func newLink(d id.Domain, bytesPerSecond float64, halfDuplex bool, reachable func(from, to id.Domain) bool) *Link {
	l := &Link{
		domain: d, Uplink: rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes), reachable: reachable,
		conns: map[*shapedConn]bool{},
	}
	l.Downlink = l.Uplink
	if !halfDuplex {
		l.Downlink = rate.NewLimiter(rate.Limit(bytesPerSecond), burstBytes)
	}
	return l
}

// SetRate changes the bandwidth of both directions.
func (l *Link) SetRate(bytesPerSecond float64) {
	l.Uplink.SetLimit(rate.Limit(bytesPerSecond))
	l.Downlink.SetLimit(rate.Limit(bytesPerSecond))
}

// Kill ends the VM: its connections are closed and no new ones are accepted.
func (l *Link) Kill() {
	l.Disconnected.Store(true)
	l.closeConns(func(*shapedConn) bool { return true })
}

func (l *Link) closeConns(match func(c *shapedConn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if match(c) {
			_ = c.Conn.Close()
		}
	}
}

// dialer returns a dial function for this VM. lookup returns the failure domain of an address; unknown addresses are
// always reachable.
func (l *Link) dialer(lookup func(address string) (id.Domain, bool)) func(ctx context.Context, network, address string) (net.Conn, error) {
	d := &net.Dialer{Timeout: 2 * time.Second}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		to, known := lookup(address)
		if l.Disconnected.Load() || known && !l.reachable(l.domain, to) {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errLinkCut}
		}
		c, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return l.wrap(c, to), nil
	}
}

// Listener returns a listener whose connections use the link.
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

// shapedConn is a connection that takes a token from its VM's link for each byte.
type shapedConn struct {
	net.Conn
	link *Link
	to   id.Domain
}

// Read implements net.Conn.
func (c *shapedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b[:min(len(b), burstBytes)])
	c.link.Bytes.Add(int64(n))
	if n > 0 && c.link.Downlink.WaitN(context.Background(), n) != nil {
		return n, errLinkCut
	}
	return n, err
}

// Write implements net.Conn.
func (c *shapedConn) Write(b []byte) (int, error) {
	if c.link.Corrupt.Load() && len(b) >= minPayloadWrite {
		b = append([]byte(nil), b...)
		b[len(b)/2] ^= 0xff
	}
	written := 0
	for written < len(b) {
		piece := b[written:min(written+burstBytes, len(b))]
		if c.link.Uplink.WaitN(context.Background(), len(piece)) != nil {
			return written, errLinkCut
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
