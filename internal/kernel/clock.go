package kernel

import (
	"fmt"
	"sync"
	"time"
)

// TimeHeader is the HTTP header that carries the sender's hybrid logical time on every message between processes.
const TimeHeader = "Springrail-Time"

// Time is the timestamp of a hybrid logical clock: it follows the wall clock, and it is later than the timestamp of every
// message received before it. Timestamps with the same wall time are ordered by Logical.
type Time struct {
	WallUnixMs int64
	Logical    uint32
}

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool {
	if t.WallUnixMs != u.WallUnixMs {
		return t.WallUnixMs < u.WallUnixMs
	}
	return t.Logical < u.Logical
}

// String formats the timestamp for TimeHeader: the wall time in Unix milliseconds, a dot and the logical counter.
func (t Time) String() string {
	return fmt.Sprintf("%d.%d", t.WallUnixMs, t.Logical)
}

// ParseTime parses the format of Time.String.
func ParseTime(s string) (Time, error) {
	var t Time
	_, err := fmt.Sscanf(s, "%d.%d", &t.WallUnixMs, &t.Logical)
	return t, err
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Time
}

// NewClock returns a Clock that reads the wall clock through now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns a timestamp later than every timestamp that the clock has returned or observed.
func (c *Clock) Now() Time {
	return c.advance(Time{})
}

// Observe advances the clock past the timestamp of a received message.
func (c *Clock) Observe(t Time) {
	c.advance(t)
}

func (c *Clock) advance(observed Time) Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Before(observed) {
		c.last = observed
	}
	if w := c.now().UnixMilli(); w > c.last.WallUnixMs {
		c.last = Time{WallUnixMs: w}
		return c.last
	}
	c.last.Logical++
	return c.last
}
