package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// rest is for how long an instance wants no request of this process.
type rest struct {
	instance id.Instance
	until    time.Time
}

// left is how much of a rest is left of an instance.
func (r *rest) left(n id.Instance, now time.Time) time.Duration {
	if r.instance != n {
		return 0
	}
	return max(0, r.until.Sub(now))
}

// RecordRest notes that the instance that has had the request wants no further one of this process for a time. A longer rest
// that it has asked for before holds on. It is true of a rest that begins.
func (f *Attempt) RecordRest(n id.Instance, d time.Duration) bool {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := &f.upstream.rest
	left := r.left(n, now)
	*r = rest{instance: n, until: now.Add(max(left, d))}
	return left == 0
}

// RestRemaining is for how much longer an instance at an address wants no request of this process; 0 where it takes them.
func (t *Tracker) RestRemaining(address string, n id.Instance) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	if u == nil {
		return 0
	}
	return u.rest.left(n, t.now())
}

// RestingUpstream is an instance that wants no request of this process for now.
type RestingUpstream struct {
	Address   string
	Instance  id.Instance
	Remaining time.Duration
}

// RestingUpstreams lists the upstreams that rest, by address.
func (t *Tracker) RestingUpstreams() (l []RestingUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for address, u := range t.known {
		if left := u.rest.left(u.rest.instance, now); left > 0 {
			l = append(l, RestingUpstream{Address: address, Instance: u.rest.instance, Remaining: left})
		}
	}
	slices.SortFunc(l, func(a, b RestingUpstream) int { return strings.Compare(a.Address, b.Address) })
	return l
}
