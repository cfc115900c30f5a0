// Package dial makes connections that notice when the other end has gone silent.
package dial

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// AckTimeout is how long bytes that were sent may stay without an acknowledgement. A connection may go silent for good, without
// a reset, while new ones work: without this, what is sent on it waits until its own deadline, and a kept connection is
// used again. On a link whose packets wait half a second, which counts as slowed (the users' rules), an acknowledgement
// takes a second at the most.
const AckTimeout = 1500 * time.Millisecond

// New makes a dialer that gives connections up whose bytes are not acknowledged; it waits up to a time for a new one.
func New(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, KeepAlive: -1, Control: control}
}

// control sets the option before the connection is made.
func control(_, _ string, c syscall.RawConn) error {
	var err error
	e := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(AckTimeout.Milliseconds()))
	})
	if e != nil {
		return e
	}
	return err
}
