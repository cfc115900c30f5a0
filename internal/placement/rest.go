package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// rest is the period in which an instance accepts no requests of this process, at the instance's own request.
type rest struct {
	instance id.Instance
	until    time.Time
}

// remaining returns the rest of the period for instance n; 0 if the period belongs to another instance.
func (r *rest) remaining(n id.Instance, now time.Time) time.Duration {
	if r.instance != n {
		return 0
	}
	return max(0, r.until.Sub(now))
}

// RecordRest records that the instance that received the attempt asks this process to send nothing for d. A longer
// period that it asked for before stays in force. It returns true if the instance was not resting yet.
func (f *Attempt) RecordRest(n id.Instance, d time.Duration) bool {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	r := &f.upstream.rest
	remaining := r.remaining(n, now)
	*r = rest{instance: n, until: now.Add(max(remaining, d))}
	return remaining == 0
}

// RestRemaining returns for how much longer an instance at an address accepts no requests of this process; 0 if it
// accepts them.
func (t *Tracker) RestRemaining(address string, n id.Instance) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstreams[address]
	if u == nil {
		return 0
	}
	return u.rest.remaining(n, t.now())
}

// RestingUpstream is an instance that currently accepts no requests of this process, at its own request.
type RestingUpstream struct {
	Address   string
	Instance  id.Instance
	Remaining time.Duration
}

// RestingUpstreams returns the resting instances, sorted by address.
func (t *Tracker) RestingUpstreams() (l []RestingUpstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for address, u := range t.upstreams {
		if remaining := u.rest.remaining(u.rest.instance, now); remaining > 0 {
			l = append(l, RestingUpstream{Address: address, Instance: u.rest.instance, Remaining: remaining})
		}
	}
	slices.SortFunc(l, func(a, b RestingUpstream) int { return strings.Compare(a.Address, b.Address) })
	return l
}
