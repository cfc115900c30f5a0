package soak

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Link is a listener whose connections can be hurt from outside, as a proxy before it would: what the peer sees is the same.
type Link struct {
	net.Listener

	mu    sync.Mutex
	conns map[*linkConn]struct{}
	// delay is added to what comes in; held keeps answers back until the link heals.
	delay time.Duration
	held  chan struct{}
	// silent makes new connections silent too.
	silent bool
}

// listenLink listens on an address.
func listenLink(address string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Link{Listener: l, conns: map[*linkConn]struct{}{}}, nil
}

// Accept implements net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	k := &linkConn{Conn: c, link: l, silent: l.silent}
	l.conns[k] = struct{}{}
	return k, nil
}

// SetDelay holds up all that comes in by a time; 0 heals.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// HoldAnswers keeps answers back until it is called with false: the link is cut one way.
func (l *Link) HoldAnswers(held bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held != nil {
		close(l.held)
		l.held = nil
	}
	if held {
		l.held = make(chan struct{})
	}
}

// SetSilent makes the present connections silent for good, without a reset, and new ones too until it is called with false.
func (l *Link) SetSilent(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = all
	for c := range l.conns {
		c.silent = true
	}
}

// Reset breaks the present connections.
func (l *Link) Reset() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range all {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close ends the listener and breaks its connections, as the death of the process behind it does.
func (l *Link) Close() error {
	err := l.Listener.Close()
	l.HoldAnswers(false)
	l.Reset()
	return err
}

// linkConn is a connection on a link.
type linkConn struct {
	net.Conn
	link   *Link
	silent bool
}

func (c *linkConn) state() (silent bool, delay time.Duration, held chan struct{}) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.silent, c.link.delay, c.link.held
}

// Read implements net.Conn. What comes on a silent connection is lost; its end is noticed.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		silent, delay, _ := c.state()
		if silent && err == nil {
			continue
		}
		if n > 0 && delay > 0 {
			time.Sleep(delay)
		}
		return n, err
	}
}

// Write implements net.Conn.
func (c *linkConn) Write(b []byte) (int, error) {
	silent, _, held := c.state()
	if silent {
		return len(b), nil
	}
	if held != nil {
		<-held
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
