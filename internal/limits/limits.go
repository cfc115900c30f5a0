// Package limits bounds what each organisation's callers may use at one entry, and refuses the rest early.
package limits

import (
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/time/rate"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
)

// ErrOverLimit says that an organisation uses as much as it may; the request was not run.
var ErrOverLimit = errors.New("over the organisation's limit")

// PartName is what other parts name in their needs.
const PartName = "limits"

// busyRetry is when a caller over its concurrency may come back.
const busyRetry = time.Second

// Settings is the section [limits].
type Settings struct {
	// Concurrency is the default of an organisation over all entries.
	Concurrency int `toml:"concurrency"`
	// RequestsPerSecond is the default of an organisation over all entries.
	RequestsPerSecond float64 `toml:"requests_per_second"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.Concurrency >= 1, "concurrency", "a whole number of 1 or more")
	c.Require(s.RequestsPerSecond > 0, "requests_per_second", "a number above 0")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "limits",
		Needs:    []string{membership.PartName},
		Settings: func() kernel.Section { return &Settings{Concurrency: 1024, RequestsPerSecond: 1000} },
		New: func(h *kernel.Host) (any, error) {
			m := h.Part(membership.PartName).(*membership.Part)
			return New(h.Section("limits").(*Settings), func() int { return len(m.List.Entries("")) }, time.Now), nil
		},
	})
}

// Limiter holds each organisation to its share at this entry. The platform's balancer spreads callers evenly, so the
// share is the limit divided by the number of entries.
type Limiter struct {
	settings *Settings
	entries  func() int
	now      func() time.Time
	mu       sync.Mutex
	used     map[id.Organisation]*usage
}

type usage struct {
	inFlight int
	arrivals *rate.Limiter
}

// New makes a limiter; entries returns the number of entries that share an organisation's limit.
func New(s *Settings, entries func() int, now func() time.Time) *Limiter {
	return &Limiter{settings: s, entries: entries, now: now, used: map[id.Organisation]*usage{}}
}

// Refusal is ErrOverLimit with the time after which the caller may come back.
type Refusal struct {
	RetryAfter time.Duration
	text       string
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.text
}

// Is makes errors.Is find ErrOverLimit.
func (r *Refusal) Is(target error) bool {
	return target == ErrOverLimit
}

// Acquire takes a place for a request of an organisation; leave gives it back. The error is a *Refusal.
func (l *Limiter) Acquire(o *pb.Organisation) (leave func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usage(o)
	if u.inFlight >= l.share(float64(l.concurrency(o))) {
		return nil, trace.Wrap(&Refusal{RetryAfter: busyRetry, text: "too many requests of the organisation in flight"})
	}
	r := u.arrivals.ReserveN(l.now(), 1)
	if d := r.DelayFrom(l.now()); d > 0 {
		r.CancelAt(l.now())
		return nil, trace.Wrap(&Refusal{RetryAfter: d, text: "too many requests of the organisation a second"})
	}
	u.inFlight++
	return func() { l.leave(u) }, nil
}

func (l *Limiter) leave(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

func (l *Limiter) usage(o *pb.Organisation) *usage {
	perSecond := o.GetLimits().GetRequestsPerSecond()
	if perSecond == 0 {
		perSecond = l.settings.RequestsPerSecond
	}
	share := perSecond / float64(max(1, l.entries()))
	u := l.used[id.Organisation(o.GetId())]
	if u == nil {
		u = &usage{arrivals: rate.NewLimiter(rate.Limit(share), max(1, int(share)))}
		l.used[id.Organisation(o.GetId())] = u
	}
	if u.arrivals.Limit() != rate.Limit(share) {
		u.arrivals.SetLimitAt(l.now(), rate.Limit(share))
		u.arrivals.SetBurstAt(l.now(), max(1, int(share)))
	}
	return u
}

func (l *Limiter) concurrency(o *pb.Organisation) uint32 {
	if n := o.GetLimits().GetConcurrency(); n > 0 {
		return n
	}
	return uint32(l.settings.Concurrency)
}

// share is this entry's part of a limit, rounded up.
func (l *Limiter) share(limit float64) int {
	n := float64(max(1, l.entries()))
	return max(1, int((limit+n-1)/n))
}
