package upconn

import (
	"bufio"
	"errors"
	"io"
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
	// defaultIdleTimeout is how long an idle connection is kept if the upstream doesn't state its idle timeout, and at most
	// otherwise. Upstreams usually have an idle timeout of some seconds, and a new connection costs about a round trip.
	defaultIdleTimeout = 3 * time.Second
	// idleTimeoutMargin is subtracted from the idle timeout that the upstream states, so that no request is sent while the
	// upstream closes the connection.
	idleTimeoutMargin = time.Second
	// bufferBytes is the size of a connection's read and write buffers. It is enough for a header and a few events of a
	// stream.
	bufferBytes = 4 << 10
	// maxIdlePerAddress bounds the idle connections to one address. The oldest are closed beyond it.
	maxIdlePerAddress = 24
)

// conn is one connection to an upstream.
type conn struct {
	net.Conn
	address string
	// incarnation is the upstream's process lifetime that was known when the connection was opened.
	incarnation id.Incarnation
	head        headReader
	r           *bufio.Reader
	w           *bufio.Writer
	// reusableUntil is the time from which the connection may not be used for another request.
	reusableUntil time.Time
}

// maxResponseHeadBytes bounds what is read of one response header. Callers' request headers are bounded to a quarter of it.
const maxResponseHeadBytes = 256 << 10

// errHeadTooLong reports a response header longer than maxResponseHeadBytes.
var errHeadTooLong = errors.New("the header of the response is too long")

// headReader reads from a connection and bounds what is read of a response header.
type headReader struct {
	from io.Reader
	// left is what may still be read of the header; it is not used within a body.
	left   int
	inHead bool
}

func (h *headReader) start() {
	h.inHead, h.left = true, maxResponseHeadBytes
}

func (h *headReader) end() {
	h.inHead = false
}

// Read implements io.Reader.
func (h *headReader) Read(b []byte) (int, error) {
	if h.inHead && h.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := h.from.Read(b)
	h.left -= n
	return n, err
}

// isReusable reports whether an idle connection is still open and has no unread bytes. Unrequested bytes belong to a late or
// duplicate response, and no request may follow them on this connection.
func (c *conn) isReusable() bool {
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

// idlePool holds the idle connections by address.
type idlePool struct {
	mu    sync.Mutex
	conns map[string][]*conn
}

// take removes and returns the most recently used reusable connection to an address, or nil. A connection to an earlier
// incarnation of the upstream is closed: during a network partition it stays silent, and a request sent over it would have an
// unknown outcome.
func (i *idlePool) take(address string, incarnation id.Incarnation, now time.Time) *conn {
	for {
		c := i.pop(address)
		if c == nil {
			return nil
		}
		if now.Before(c.reusableUntil) && !c.incarnation.Before(incarnation) && c.isReusable() {
			return c
		}
		c.Close()
	}
}

func (i *idlePool) pop(address string) *conn {
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

func (i *idlePool) put(c *conn, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	l := i.conns[c.address]
	for len(l) > 0 && (len(l) >= maxIdlePerAddress || !now.Before(l[0].reusableUntil)) {
		l[0].Close()
		l = l[1:]
	}
	i.conns[c.address] = append(l, c)
}

// closeAll closes all idle connections to an address.
func (i *idlePool) closeAll(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.conns[address] {
		c.Close()
	}
	delete(i.conns, address)
}

// idleTimeout returns how long the upstream keeps the connection after a response, less idleTimeoutMargin. It is 0 if the
// connection can't be reused.
func idleTimeout(a *http.Response) time.Duration {
	if a.Close {
		return 0
	}
	for field := range strings.SplitSeq(a.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if s, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return min(defaultIdleTimeout, time.Duration(s)*time.Second-idleTimeoutMargin)
		}
	}
	return defaultIdleTimeout
}
