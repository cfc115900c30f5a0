package upconn

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// defaultKeep is how long a connection is kept where the upstream does not say; an upstream's usual idle time is
	// seconds, and a new connection costs about a round trip.
	defaultKeep = 3 * time.Second
	// keepMargin is taken off the time that the upstream says, so that our send and its close do not cross.
	keepMargin = time.Second
	// readBuffer holds a head and a few events of a stream, in bytes.
	readBuffer = 4 << 10
	// maxIdle bounds the idle connections to one address; more are closed.
	maxIdle = 24
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	// born is the start of the upstream that was known when the connection was opened.
	born id.Incarnation
	r    *bufio.Reader
	w    *bufio.Writer
	// idleUntil is when it may no longer be used again.
	idleUntil time.Time
}

// usable says whether an idle connection is still open and silent. Bytes that nobody asked for belong to an answer
// that came late or twice, and nothing may follow them on this connection.
func (c *conn) usable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// idle holds the connections that wait for their next request, by address.
type idle struct {
	mu    sync.Mutex
	conns map[string][]*conn
}

// take returns the connection to an address that was used last and may be used again, or nil. One to an earlier start of
// the upstream is not: behind a cut it stays silent, and a request sent over it ends with an unknown outcome.
func (i *idle) take(address string, born id.Incarnation, now time.Time) *conn {
	for {
		c := i.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.idleUntil) && !c.born.Before(born) && c.usable() {
			return c
		}
		c.Close()
	}
}

func (i *idle) pop(address string) *conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.conns[address]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	i.conns[address] = l[:len(l)-1]
	return c
}

func (i *idle) put(c *conn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.conns[c.address]
	for len(l) > 0 && (len(l) >= maxIdle || !now.Before(l[0].idleUntil)) {
		l[0].Close()
		l = l[1:]
	}
	i.conns[c.address] = append(l, c)
}

// drop closes all idle connections to an address.
func (i *idle) drop(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns[address] {
		c.Close()
	}
	delete(i.conns, address)
}

// keepFor is how long the upstream keeps the connection of an answer, less a margin; 0 is not at all.
func keepFor(a *http.Response) time.Duration {
	if a.Close {
		return 0
	}
	for field := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return min(defaultKeep, time.Duration(s)*time.Second-keepMargin)
		}
	}
	return defaultKeep
}
