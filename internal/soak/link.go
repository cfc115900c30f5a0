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
	// fallen is true once the process has ended in silence: connections stay open and silent.
	fallen bool
	// closing is true once no connections are accepted any more, and stopped is closed once the accepting goroutine knows.
	closing bool
	stopped chan struct{}
}

// closing is how the listener of an upstream closes that has crashed: some time after its connections, while new ones are
// silent or are closed at once as a proxy does.
type closing struct {
	after     time.Duration
	turnsAway bool
}

// closings are the ways in which upstreams that crash close their listeners, in turn.
var closings = [...]closing{
	{}, {after: 30 * time.Millisecond}, {after: 100 * time.Millisecond}, {}, {after: 400 * time.Millisecond}, {after: time.Second}, {after: time.Second, turnsAway: true},
}

// listenLink listens on an address.
func listenLink(address string) (*Link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &Link{Listener: l, conns: map[*linkConn]struct{}{}, stopped: make(chan struct{}), onFaultyRead: func([]byte) {}}, nil
}

// Accept implements net.Listener.
func (l *Link) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closing {
		if err == nil {
			c.Close()
		}
		l.noteStopped()
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	k := &linkConn{Conn: c, link: l, silent: l.silent}
	l.conns[k] = struct{}{}
	return k, nil
}

// noteStopped records that Accept has returned net.ErrClosed. The caller holds the lock.
func (l *Link) noteStopped() {
	select {
	case <-l.stopped:
	default:
		close(l.stopped)
	}
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

// FallSilent makes all connections, and new ones, silent, as the end of a VM does.
func (l *Link) FallSilent() {
	l.mu.Lock()
	l.fallen = true
	l.mu.Unlock()
	l.SetSilent(true)
	l.HoldAnswers(false)
}

// EndSilence closes the listener of a process that has ended in silence, and resets its connections or leaves them open.
func (l *Link) EndSilence(closes bool) {
	l.stopAccepting()
	_ = l.Listener.Close()
	if closes {
		l.mu.Lock()
		l.fallen = false
		l.mu.Unlock()
		l.Reset()
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

// Close closes the listener and resets its connections, as the end of the serving process does. A listener that closes later
// already is left to that.
func (l *Link) Close() error {
	if !l.stopAccepting() {
		return nil
	}
	err := l.Listener.Close()
	l.HoldAnswers(false)
	l.Reset()
	return err
}

// CloseLater resets the connections, and closes the listener some time later.
func (l *Link) CloseLater(c closing) {
	if c.after == 0 {
		l.Close()
		return
	}
	if !l.stopAccepting() {
		return
	}
	t := l.Listener.(*net.TCPListener)
	_ = t.SetDeadline(time.Unix(1, 0))
	l.HoldAnswers(false)
	l.Reset()
	go func() {
		defer t.Close()
		if !c.turnsAway {
			time.Sleep(c.after)
			return
		}
		// A deadline that is set anew before the accepting goroutine has seen the old one would leave it waiting.
		<-l.stopped
		_ = t.SetDeadline(time.Now().Add(c.after))
		for {
			n, err := t.Accept()
			if err != nil {
				return
			}
			n.Close()
		}
	}()
}

// stopAccepting reports whether connections were accepted until now.
func (l *Link) stopAccepting() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	accepted := !l.closing
	l.closing = true
	return accepted
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
	if c.link.fallen {
		c.link.mu.Unlock()
		return nil
	}
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}
