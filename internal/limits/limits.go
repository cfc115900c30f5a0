// Package limits enforces each organisation's limits on concurrency and request rate at one entry, and refuses excess
// requests early. An entry is a process that accepts callers' requests.
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

// ErrOverLimit is returned for a request beyond its organisation's limits. The request was not run.
var ErrOverLimit = errors.New("over the organisation's limit")

// PartName is the name by which other parts depend on this one.
const PartName = "limits"

// busyRetryAfter is the Retry-After for a caller beyond its organisation's concurrency limit.
const busyRetryAfter = time.Second

// Settings is the settings section [limits].
type Settings struct {
	// Concurrency is an organisation's default limit on concurrent requests, over all entries.
	Concurrency int `toml:"concurrency"`
	// RequestsPerSecond is an organisation's default limit on its request rate, over all entries.
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

// Limiter enforces each organisation's share of its limits at this entry. The platform's load balancer spreads callers
// evenly, so the share is the limit divided by the number of entries.
type Limiter struct {
	settings *Settings
	entries  func() int
	now      func() time.Time
	mu       sync.Mutex
	usages   map[id.Organisation]*usage
}

type usage struct {
	inFlight    int
	rateLimiter *rate.Limiter
}

// New returns a limiter; entries returns the number of entries that share an organisation's limits.
func New(s *Settings, entries func() int, now func() time.Time) *Limiter {
	return &Limiter{settings: s, entries: entries, now: now, usages: map[id.Organisation]*usage{}}
}

// Refusal is an ErrOverLimit with the time after which the caller may retry.
type Refusal struct {
	RetryAfter time.Duration
	text       string
}

// Error implements error.
func (r *Refusal) Error() string {
	return r.text
}

// Is makes errors.Is match ErrOverLimit.
func (r *Refusal) Is(target error) bool {
	return target == ErrOverLimit
}

// Acquire admits a request of an organisation; release must be called when it ends. The error is a *Refusal.
func (l *Limiter) Acquire(o *pb.Organisation) (release func(), err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.usageOf(o)
	if u.inFlight >= l.share(float64(l.maxConcurrency(o))) {
		return nil, trace.Wrap(&Refusal{RetryAfter: busyRetryAfter, text: "too many requests of the organisation in flight"})
	}
	r := u.rateLimiter.ReserveN(l.now(), 1)
	if d := r.DelayFrom(l.now()); d > 0 {
		r.CancelAt(l.now())
		return nil, trace.Wrap(&Refusal{RetryAfter: d, text: "too many requests of the organisation a second"})
	}
	u.inFlight++
	return func() { l.release(u) }, nil
}

func (l *Limiter) release(u *usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	u.inFlight--
}

func (l *Limiter) usageOf(o *pb.Organisation) *usage {
	perSecond := o.GetLimits().GetRequestsPerSecond()
	if perSecond == 0 {
		perSecond = l.settings.RequestsPerSecond
	}
	share := perSecond / float64(max(1, l.entries()))
	u := l.usages[id.Organisation(o.GetId())]
	if u == nil {
		u = &usage{rateLimiter: rate.NewLimiter(rate.Limit(share), max(1, int(share)))}
		l.usages[id.Organisation(o.GetId())] = u
	}
	if u.rateLimiter.Limit() != rate.Limit(share) {
		u.rateLimiter.SetLimitAt(l.now(), rate.Limit(share))
		u.rateLimiter.SetBurstAt(l.now(), max(1, int(share)))
	}
	return u
}

func (l *Limiter) maxConcurrency(o *pb.Organisation) uint32 {
	if n := o.GetLimits().GetConcurrency(); n > 0 {
		return n
	}
	return uint32(l.settings.Concurrency)
}

// share is this entry's share of a limit, rounded up.
func (l *Limiter) share(limit float64) int {
	n := float64(max(1, l.entries()))
	return max(1, int((limit+n-1)/n))
}
