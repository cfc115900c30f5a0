package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// limitWithin is how soon after an upstream has named a limit gateways keep to it, and toldWithin how soon after a
	// request there its gateway knows: the head of the answer takes 20 ms, and the users give half a second from then
	// on.
	limitWithin = 3 * time.Second
	toldWithin  = time.Second
	// limitWindow is the time in which requests are counted; overShare and overCount are how far they may lie above the
	// limit (the users' rules).
	limitWindow = 4 * time.Second
	overShare   = 1.5
	overCount   = 5
	// leastLimit and mostLimit bound the limits, in requests a second; an upstream gets about 5 without one.
	leastLimit, mostLimit = 0.2, 4
)

// limit is a limit that an upstream names.
type limit struct {
	perSecond float64
	since     time.Time
	// first is when a request of each gateway first reached the upstream since then, and counted are those that are
	// held against the limit.
	first   map[string]time.Time
	counted []time.Time
}

// limitOne has an upstream name a limit for a time, in its answers alone or in its reports too.
func (w *Fleet) limitOne(ctx context.Context, s Step) {
	u := w.upstream(s)
	u.mu.Lock()
	server, id, listed := u.server, u.id, u.listed
	u.mu.Unlock()
	perSecond := leastLimit + s.Magnitude*(mostLimit-leastLimit)
	if !listed || !w.history.RecordLimit(id, perSecond) {
		return
	}
	server.SetLimit(fmt.Sprintf("%.2f", perSecond), s.Selector>>4%2 == 0)
	kernel.Pause(ctx, s.Duration)
	server.SetLimit("", false)
	w.history.RecordLimitEnd(id)
}

// RecordLimit notes that an upstream names a limit from now on; false where it has one already.
func (b *History) RecordLimit(instance string, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits[instance] != nil {
		return false
	}
	b.limits[instance] = &limit{perSecond: perSecond, since: b.now(), first: map[string]time.Time{}}
	b.counts["limits named"]++
	b.note("%s takes %.2f requests a second", instance, perSecond)
	return true
}

// RecordLimitEnd notes that an upstream names no limit any more.
func (b *History) RecordLimitEnd(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.limits, instance)
	b.note("%s takes all again", instance)
}

// limitArrived checks a request that reaches an upstream against its limit. Those of gateways that it has told count,
// unless they are excused; the caller holds the lock.
func (b *History) limitArrived(r *request, id, instance string, sound bool) {
	l := b.limits[instance]
	if l == nil {
		return
	}
	b.counts["reached a limited upstream"]++
	now, g := b.now(), r.gateway.name
	if l.first[g].IsZero() {
		l.first[g] = now
	}
	if now.Sub(l.since) < limitWithin || now.Sub(l.first[g]) < toldWithin {
		return
	}
	if !sound {
		b.counts["excused by a fault: limit"]++
		return
	}
	l.counted = append(l.counted, now)
	for now.Sub(l.counted[0]) >= limitWindow {
		l.counted = l.counted[1:]
	}
	if allowed := int(overShare*l.perSecond*limitWindow.Seconds()) + overCount; len(l.counted) > allowed {
		b.violate("limit", g, id, instance, "%s got %d requests in %v, allowed %d at %.2f a second", instance, len(l.counted), limitWindow, allowed, l.perSecond)
	}
}
