package soak

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

// Link is a listener that injects network faults into its connections. Peers see what they would see behind a faulty
// proxy.
type Link struct {
	net.Listener
	// onFaultyRead is called with incoming data that is delayed or discarded; it is set before the first connection.
	onFaultyRead func(data []byte)

	mu    sync.Mutex
	conns map[*linkConn]struct{}
	// delay is added to incoming data; held blocks outgoing data until it is closed.
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
	return &Link{Listener: l, conns: map[*linkConn]struct{}{}, onFaultyRead: func([]byte) {}}, nil
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

// SetDelay delays all incoming data; 0 ends the delay.
func (l *Link) SetDelay(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = d
}

// HoldAnswers blocks outgoing data until it is called with false, as a one-way partition does.
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

// SetSilent makes the present connections silent for good, without a reset, and new ones too until it is called with
// false.
func (l *Link) SetSilent(all bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = all
	for c := range l.conns {
		c.silent = true
	}
}

// Reset resets the present connections.
func (l *Link) Reset() {
	l.mu.Lock()
	all := slices.Collect(maps.Keys(l.conns))
	l.mu.Unlock()
	for _, c := range all {
		_ = c.Conn.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// Close closes the listener and resets its connections, as the end of the serving process does.
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

// Read implements net.Conn. Data that arrives on a silent connection is discarded, but the end of the connection is
// reported.
func (c *linkConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		silent, delay, _ := c.state()
		if n > 0 && (silent || delay > 0) {
			c.link.onFaultyRead(b[:n])
		}
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
