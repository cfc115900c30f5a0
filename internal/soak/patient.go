package soak

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// patientCallers is the number of callers whose requests may outlast the stop of their gateway, maxPatientThinkTime the
	// longest pause between two of one, and patientReadBuffer the size of their sockets' receive buffers.
	patientCallers      = 24
	maxPatientThinkTime = 3 * time.Second
	patientReadBuffer   = 8 << 10
	// minAnswerTime and maxAnswerTime bound the time of a slow answer.
	minAnswerTime, maxAnswerTime = 3 * time.Second, 6 * time.Second
	// minBodyTime and maxBodyTime bound the time between the header and the last byte of a body that arrives slowly, in up to
	// maxPieces pieces.
	minBodyTime, maxBodyTime = 500 * time.Millisecond, 4 * time.Second
	maxPieces                = 5
	// minLongBody and maxLongBody bound the size of an answer that is read slowly: more than the socket buffers of its
	// connection hold, in most cases. It is read in steps of readStep bytes with pauses of up to maxReadPause.
	minLongBody, maxLongBody = 100_000, 450_000
	readStep                 = 32 << 10
	maxReadPause             = 80 * time.Millisecond
	// maxChunk is the size of a chunk of a body without a length.
	maxChunk = 300
)

// longTimeouts are the times that requests announce which may take long. All but the first exceed what a stop leaves.
var longTimeouts = [...]time.Duration{4 * time.Second, 6 * time.Second, 8 * time.Second, 12 * time.Second}

// pace is how fast a caller sends a request's body and reads the answer.
type pace struct {
	// pieces is the number of pieces in which the body is sent; 0 sends it with the header.
	pieces    int
	bodyTime  time.Duration
	chunked   bool
	readPause time.Duration
}

func (p pace) isSlow() bool { return p.pieces > 0 }

// makeLong turns a drawn request into one with a long deadline that is slow in one respect: its answer takes long, its body
// arrives slowly, or its answer is read slowly.
func (c *Caller) makeLong(a *callerRequest) {
	a.timeout = longTimeouts[c.random.IntN(len(longTimeouts))]
	switch {
	case a.stream:
		a.path = longChatPath
	case a.unsafe:
		a.path = longDeskPath
	default:
		a.path, a.configVersion = longLookPath, 0
	}
	n := c.random.IntN(100)
	if n < 60 {
		a.answerTime = c.between(minAnswerTime, maxAnswerTime)
	}
	if n >= 45 && n < 85 {
		a.pace = pace{pieces: 1 + c.random.IntN(maxPieces), bodyTime: c.between(minBodyTime, maxBodyTime), chunked: c.random.IntN(2) == 0}
	}
	if n >= 85 && !a.stream {
		a.body = a.id + strings.Repeat("y", minLongBody+c.random.IntN(maxLongBody-minLongBody))
		a.pace.readPause = c.between(0, maxReadPause)
	}
}

func (c *Caller) between(lower, upper time.Duration) time.Duration {
	return lower + time.Duration(c.random.Int64N(int64(upper-lower)))
}

func (c *Caller) maxThinkTime() time.Duration {
	if c.isPatient {
		return maxPatientThinkTime
	}
	return maxThinkTime
}

// candidates returns the gateways to which a new connection may be opened: those that are ready or, for some callers, all
// while fewer than half are, as load balancers do.
func (c *Caller) candidates() []*Process {
	var l []*Process
	for _, g := range c.gateways {
		if g.isReady.Load() {
			l = append(l, g)
		}
	}
	if c.isPatient && 2*len(l) < len(c.gateways) {
		return c.gateways
	}
	return l
}

// sendSlowly sends the header of a request at once and its body in pieces.
func (c *Caller) sendSlowly(ctx context.Context, a *callerRequest, q *http.Request) error {
	var b bytes.Buffer
	if err := q.Write(&b); err != nil {
		return err
	}
	header := bytes.Index(b.Bytes(), []byte("\r\n\r\n")) + len("\r\n\r\n")
	conn := c.conn
	if _, err := conn.Write(b.Next(header)); err != nil {
		return err
	}
	for left := a.pace.pieces; left > 0; left-- {
		kernel.Pause(ctx, a.pace.bodyTime/time.Duration(a.pace.pieces))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		size := b.Len() / left
		if left == 1 {
			c.history.RecordWhole(a.id)
		}
		if _, err := conn.Write(b.Next(size)); err != nil {
			return err
		}
	}
	return nil
}

// slowReader pauses before each read of at most readStep bytes.
type slowReader struct {
	io.Reader
	ctx   context.Context
	pause time.Duration
}

// Read implements io.Reader.
func (r *slowReader) Read(b []byte) (n int, err error) {
	if r.pause == 0 {
		return r.Reader.Read(b)
	}
	kernel.Pause(r.ctx, r.pause)
	b = b[:min(len(b), readStep)]
	for n < len(b) && err == nil {
		var m int
		m, err = r.Reader.Read(b[n:])
		n += m
	}
	return n, err
}

// chunkReader reads at most maxChunk bytes at a time, each of which become one chunk of a body without a length.
type chunkReader struct {
	io.Reader
}

// Read implements io.Reader.
func (r chunkReader) Read(b []byte) (int, error) {
	return r.Reader.Read(b[:min(len(b), maxChunk)])
}
