package gateway

import "time"

const (
	// unreadPause is how long the gateway must have been blocked by the caller for a cut-off answer to count as
	// unread. Upstreams that cut off unread answers do so after some seconds.
	unreadPause = time.Second
	// catchUpWait is how long the gateway must have waited for an upstream since it was last blocked by the caller to
	// have caught up with it. What the upstream had sent before arrives within a round trip, and a longer silence is
	// the upstream's own.
	catchUpWait = 300 * time.Millisecond
	// blockedWrite is the shortest write that counts as blocked by the caller. Other writes only copy to a socket.
	blockedWrite = 10 * time.Millisecond
)

// callerPace tracks whether an upstream's answer stays unread because the caller reads slowly.
type callerPace struct {
	// blocked is the time for which writes to the caller were blocked, less that of waits for the upstream; waited is
	// the time of those waits since the last blocked write.
	blocked, waited time.Duration
}

// recordWrite records how long a write to the caller took.
func (c *callerPace) recordWrite(d time.Duration) {
	if d >= blockedWrite {
		c.blocked += d
		c.waited = 0
	}
}

// recordRead records how long a read from the upstream took.
func (c *callerPace) recordRead(d time.Duration) {
	c.waited += d
	c.blocked = max(0, c.blocked-d)
	if c.waited >= catchUpWait {
		c.blocked = 0
	}
}

// isUnread reports whether the upstream has been waiting for the caller to read, and the gateway has not caught up.
func (c *callerPace) isUnread() bool {
	return c.blocked >= unreadPause
}

// readUpstream reads from the response of the upstream.
func (t *attempt) readUpstream(b []byte) (int, error) {
	g := t.request.gateway
	start := g.now()
	n, err := t.exchange.Body.Read(b)
	t.pace.recordRead(g.now().Sub(start))
	t.received += int64(n)
	if n > 0 {
		t.followed.Received(true)
	}
	if t.exchange.ContentLength < 0 && t.received > g.settings.AnswerBytes {
		g.metrics.count("answers_too_long")
		return 0, errAnswerTooLong
	}
	return n, err
}

// writeCaller writes to the caller.
func (t *attempt) writeCaller(b []byte) error {
	now := t.request.gateway.now
	start := now()
	_, err := t.request.writer.Write(b)
	t.pace.recordWrite(now().Sub(start))
	return err
}
