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
	// callerCount is the number of concurrent callers. Each sends one request at a time, with a random pause of up to
	// maxThinkTime between two.
	callerCount  = 40
	maxThinkTime = 250 * time.Millisecond
	// callerDeadline is the time that usual requests announce, and callerSlack the time after it after which the caller
	// closes its connection.
	callerDeadline = 3 * time.Second
	callerSlack    = 2 * time.Second
	// earlyCloseShare is the share of requests whose caller disconnects early, within maxEarlyClose.
	earlyCloseShare = 0.04
	maxEarlyClose   = 150 * time.Millisecond
	// maxBodyBytes bounds the random text in a request's body, which the answer must echo.
	maxBodyBytes = 2000
)

// Caller sends requests over one keep-alive connection at a time and checks the answers.
type Caller struct {
	name     string
	history  *History
	random   *rand.Rand
	gateways []*Process
	// isPatient is true of a caller that sends requests which take long.
	isPatient bool

	gateway   *Process
	conn      net.Conn
	reader    *bufio.Reader
	sentCount int
}

// callerRequest is a request together with what a correct answer to it must contain.
type callerRequest struct {
	id, path, body string
	stream, unsafe bool
	// prompt are the parts of the prompt that other requests may have too.
	prompt []string
	// key is the API key, and ownPriority the Priority header that the caller sends itself.
	key, ownPriority string
	// configVersion is the configuration that contains the path's route; 0 means that every configuration does.
	configVersion int
	// timeout is the time that the caller states; pace is how it sends and reads.
	timeout time.Duration
	pace    pace
	// answerTime is how long an upstream takes for its answer; 0 selects the upstream's default.
	answerTime time.Duration
}

// Run sends requests until the context ends.
func (c *Caller) Run(ctx context.Context) {
	for ctx.Err() == nil {
		kernel.Pause(ctx, time.Duration(c.random.Int64N(int64(c.maxThinkTime()))))
		if c.conn == nil && !c.connect() {
			continue
		}
		a := c.nextRequest()
		if c.isPatient {
			c.makeLong(&a)
		}
		c.sendOne(ctx, &a)
	}
	c.closeConn()
}

// connect opens a connection to a random gateway among those that are ready.
func (c *Caller) connect() bool {
	l := c.candidates()
	if len(l) == 0 {
		c.history.Count("no gateway is ready")
		return false
	}
	g := l[c.random.IntN(len(l))]
	n, err := net.DialTimeout("tcp", g.callerAddress, time.Second)
	if err != nil {
		c.history.Count("no connection to a gateway")
		return false
	}
	if c.isPatient {
		_ = n.(*net.TCPConn).SetReadBuffer(patientReadBuffer)
	}
	c.gateway, c.conn, c.reader = g, n, bufio.NewReader(n)
	return true
}

func (c *Caller) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// nextRequest draws the next request.
func (c *Caller) nextRequest() callerRequest {
	c.sentCount++
	a := callerRequest{id: fmt.Sprintf("%s-%d", c.name, c.sentCount), path: lookPath, timeout: callerDeadline}
	a.key, a.ownPriority = [...]string{gymKey, labKey}[c.sentCount%2], ownPriorities[c.sentCount%len(ownPriorities)]
	a.body = a.id + strings.Repeat("x", c.random.IntN(maxBodyBytes))
	switch n := c.random.IntN(100); {
	case c.history.isLosingAnswers():
		// All requests may be retried, so that the budget of retries is used up.
	case n < 30:
		a.path, a.stream = [...]string{chatPath, bulkPath}[c.sentCount/2%2], true
		a.prompt = []string{firstPart(c.sentCount), secondPart(c.sentCount)}
	case n < 60:
		a.path, a.unsafe = deskPath, true
	case n < 75:
		if a.configVersion = c.history.configDue(); a.configVersion > 0 {
			a.path = configPath(a.configVersion)
		}
	}
	return a
}

// newHTTPRequest returns the HTTP request to send.
func (a *callerRequest) newHTTPRequest() (*http.Request, error) {
	q, err := http.NewRequest(http.MethodPost, "http://h.example"+a.path, strings.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	if a.pace.chunked {
		q.ContentLength, q.Body = -1, io.NopCloser(chunkReader{strings.NewReader(a.body)})
	}
	q.Header.Set("Request-Id", a.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(a.timeout.Milliseconds(), 10))
	q.Header.Set("Authorization", "Bearer "+a.key)
	if a.ownPriority != "" {
		q.Header.Set("Priority", a.ownPriority)
	}
	if a.stream {
		q.Header.Set("Model", model)
		q.Header.Set("Token-Usage", "100,60")
		parts := ""
		for _, p := range a.prompt {
			parts += p + ":40,"
		}
		q.Header.Set("Prompt-Prefix", parts+"f:20")
	}
	return q, nil
}

// sendOne sends a request and checks its answer.
func (c *Caller) sendOne(ctx context.Context, a *callerRequest) {
	q, err := a.newHTTPRequest()
	if err != nil {
		c.history.RecordEvent("%s: %v", a.id, err)
		return
	}
	c.history.RecordSent(a.id, &request{
		gateway: c.gateway, path: a.path, unsafe: a.unsafe, priority: queuePriority(a.key, a.path), ownPriority: a.ownPriority,
		long: c.isPatient, deadline: time.Now().Add(a.timeout), arrivesSlowly: a.pace.isSlow(), answerTime: a.answerTime,
	})
	timeout := a.timeout + callerSlack
	if closesEarly := c.random.Float64() < earlyCloseShare; closesEarly {
		timeout = time.Duration(c.random.Int64N(int64(maxEarlyClose)))
		c.history.Count("callers that leave early")
	}
	_ = c.conn.SetDeadline(time.Now().Add(timeout))
	conn := c.conn
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	r, body, isWhole, err := c.exchange(ctx, a, q) //nolint:bodyclose // exchange has read the body
	if err != nil {
		c.closeConn()
		c.history.RecordClosed(a.id)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			c.history.RecordTruncated(a.id, r != nil, err)
		}
		return
	}
	c.checkAnswer(a, r, body)
	if r.Close || !isWhole {
		c.closeConn()
	}
}

// exchange sends a request and receives its answer, which may come before the request is whole.
func (c *Caller) exchange(ctx context.Context, a *callerRequest, q *http.Request) (r *http.Response, body string, isWhole bool, err error) {
	sending, stop := context.WithCancel(ctx)
	defer stop()
	sent := make(chan error, 1)
	if a.pace.isSlow() {
		go func() { sent <- c.sendSlowly(sending, a, q) }()
	} else {
		sent <- q.Write(c.conn)
	}
	r, err = http.ReadResponse(c.reader, q) //nolint:bodyclose // the connection is closed where the body is not read
	var b []byte
	if err == nil {
		c.recordLeavingNotice(a, r)
		b, err = io.ReadAll(&slowReader{Reader: r.Body, ctx: ctx, pause: a.pace.readPause})
	}
	stop()
	return r, string(b), <-sent == nil, err
}

// recordLeavingNotice records an answer in which an upstream announces that it is draining.
func (c *Caller) recordLeavingNotice(a *callerRequest, r *http.Response) {
	instance, sealed := strings.CutSuffix(r.Header.Get("Response-Seal"), "."+a.id)
	if sealed && r.Header.Get("Server-Leaving") != "" {
		c.history.RecordLeavingNotice(a.id, instance)
	}
}

// checkAnswer checks an answer that was received completely.
func (c *Caller) checkAnswer(a *callerRequest, r *http.Response, body string) {
	switch r.StatusCode {
	case http.StatusOK:
		c.history.RecordAnswered(a.id)
		c.checkBody(a, r, body)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusMisdirectedRequest, http.StatusRequestTimeout:
		c.history.RecordRefused(a.id, r.StatusCode)
		if strings.HasPrefix(body, "held") {
			c.history.RecordViolation("held-harmless", c.gateway.name, a.id, "refused, as upstreams have crashed under it or a part of its prompt: %v", a.prompt)
		}
	case http.StatusUnauthorized, http.StatusForbidden, http.StatusNotFound:
		c.history.RecordDenied(a.id, r.StatusCode, a.configVersion)
	case http.StatusBadGateway:
		c.history.RecordFailed(a.id, r.StatusCode)
	default:
		c.history.Count("status " + strconv.Itoa(r.StatusCode))
	}
}

// checkBody checks that an answer is complete, belongs to the request and comes from one model version.
func (c *Caller) checkBody(a *callerRequest, r *http.Response, body string) {
	want := a.id + " " + a.body
	if a.stream {
		v, _ := strconv.Atoi(r.Header.Get("Versions"))
		want = standin.StreamOf(a.id, v)
	}
	sealed := strings.HasSuffix(r.Header.Get("Response-Seal"), "."+a.id)
	if body != want || r.Header.Get("Request-Id") != a.id || !sealed {
		c.history.RecordViolation("wrong-answer", c.gateway.name, a.id, "got %d bytes, want %d; header %v; body starts with %.80q", len(body), len(want),
			r.Header, body)
	}
}
