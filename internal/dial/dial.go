// Package dial opens TCP connections that fail when the peer stops acknowledging data.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AckTimeout is how long sent data may remain unacknowledged before the system closes the connection. A connection can go
// silent permanently, without a reset, while new connections work. Without this timeout, a request on it would wait for its
// own deadline, and the connection would be reused from the pool. On a link that delays packets by half a second, which the
// users' requirements classify as slow but working, an acknowledgement takes at most a second.
const AckTimeout = 1500 * time.Millisecond

// New returns a dialer with the given connect timeout. Its connections fail if data stays unacknowledged for AckTimeout.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setUserTimeout}
}

// setUserTimeout sets the option TCP_USER_TIMEOUT before the socket connects.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds()))
	})
	if e != nil {
		return e
	}
	return err
}
