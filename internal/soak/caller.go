package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// callers send one request after the other, with a pause of up to think between two.
	callers = 40
	think   = 250 * time.Millisecond
	// patience is what a caller says that it waits, and callerMost when it closes.
	patience   = 3 * time.Second
	callerMost = 5 * time.Second
	// goneShare is the share of requests whose caller closes early, within goneMost.
	goneShare = 0.04
	goneMost  = 150 * time.Millisecond
	// bodyMost bounds the text that a request carries and that has to come back.
	bodyMost = 2000
)

// Caller sends requests over one connection until that ends.
type Caller struct {
	name     string
	history  *History
	random   *rand.Rand
	gateways []*Process

	gateway *Process
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

// ask is a request with what makes its answer right.
type ask struct {
	id, path, body string
	stream, unsafe bool
	// config is the configuration that the path belongs to; 0 is all.
	config int
}

// Run sends requests until the context ends.
func (c *Caller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, time.Duration(c.random.Int64N(int64(think))))
		if c.conn == nil && !c.connect() {
			continue
		}
		c.one(ctx, c.draw())
	}
	c.hangUp()
}

// connect goes to a gateway that the balancer takes for ready.
func (c *Caller) connect() bool {
	var l []*Process
	for _, g := range c.gateways {
		if g.ok.Load() {
			l = append(l, g)
		}
	}
	if len(l) == 0 {
		c.history.Count("no gateway is ready")
		return false
	}
	g := l[c.random.IntN(len(l))]
	n, err := net.DialTimeout("tcp", g.front, time.Second)
	if err != nil {
		c.history.Count("no connection to a gateway")
		return false
	}
	c.gateway, c.conn, c.reader = g, n, bufio.NewReader(n)
	return true
}

func (c *Caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// draw picks the next request.
func (c *Caller) draw() ask {
	c.sent++
	a := ask{id: fmt.Sprintf("%s-%d", c.name, c.sent), path: "/look/"}
	a.body = a.id + strings.Repeat("x", c.random.IntN(bodyMost))
	switch n := c.random.IntN(100); {
	case n < 30:
		a.path, a.stream = "/chat/", true
	case n < 60:
		a.path, a.unsafe = "/desk/", true
	case n < 75:
		if a.config = c.history.configDue(); a.config > 0 {
			a.path = configPath(a.config)
		}
	}
	return a
}

// write makes the request as it goes out.
func (a *ask) write() (*http.Request, error) {
	q, err := http.NewRequest(http.MethodPost, "http://h.example"+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	q.Header.Set("Request-Id", a.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(patience.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer k")
	if a.stream {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Usage", "100,60")
	}
	return q, nil
}

// one sends a request and checks what comes back.
func (c *Caller) one(ctx context.Context, a ask) {
	q, err := a.write()
	if err != nil {
		c.history.RecordEvent("%s: %v", a.id, err)
		return
	}
	c.history.RecordSent(a.id, &request{gateway: c.gateway, unsafe: a.unsafe})
	most := callerMost
	if gone := c.random.Float64() < goneShare; gone {
		most = time.Duration(c.random.Int64N(int64(goneMost)))
		c.history.Count("callers that leave early")
	}
	_ = c.conn.SetDeadline(time.Now().Add(most))
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	err = q.Write(c.conn)
	var r *http.Response
	if err == nil {
		r, err = http.ReadResponse(c.reader, q) //nolint:bodyclose // the connection is closed where the body is not read
	}
	var body []byte
	if err == nil {
		c.noteLeaving(&a, r)
		body, err = io.ReadAll(r.Body)
	}
	if err != nil {
		c.hangUp()
		c.history.RecordClosed(a.id)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.history.RecordTruncated(a.id, r != nil, err)
		}
		return
	}
	c.check(&a, r, string(body))
	if r.Close {
		c.hangUp()
	}
}

// noteLeaving tells of an answer of an upstream that says that it leaves.
func (c *Caller) noteLeaving(a *ask, r *http.Response) {
	instance, sealed := strings.CutSuffix(r.Header.Get("Response-Seal"), "."+a.id)
	if sealed && r.Header.Get("Server-Leaving") != "" {
		c.history.RecordLeavingNotice(a.id, instance)
	}
}

// check looks at an answer that came whole.
func (c *Caller) check(a *ask, r *http.Response, body string) {
	switch r.StatusCode {
	case http.StatusOK:
		c.history.RecordAnswered(a.id)
		c.whole(a, r, body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		c.history.RecordRefused(a.id, r.StatusCode)
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.history.RecordDenied(a.id, r.StatusCode, a.config)
	case http.StatusBadGateway:
		c.history.RecordFailed(a.id, r.StatusCode)
	default:
		c.history.Count("status " + strconv.Itoa(r.StatusCode))
	}
}

// whole checks that an answer is the request's own, whole, and of one version.
func (c *Caller) whole(a *ask, r *http.Response, body string) {
	want := a.id + " " + a.body
	if a.stream {
		v, _ := strconv.Atoi(r.Header.Get("Versions"))
		want = standin.StreamOf(a.id, v)
	}
	sealed := strings.HasSuffix(r.Header.Get("Response-Seal"), "."+a.id)
	if body != want || r.Header.Get("Request-Id") != a.id || !sealed {
		c.history.RecordViolation("wrong-answer", c.gateway.name, a.id, "of %d bytes, want %d; head %v; begins %.80q", len(body), len(want),
			r.Header, body)
	}
}
