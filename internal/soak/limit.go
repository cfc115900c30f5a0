package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// maxLimitDelay is the time after an upstream has announced a limit from which gateways must keep to it, and
	// maxNoticeDelay the time after a gateway's first request from which that gateway must: the response header takes 20
	// ms, and the users allow half a second from then on.
	maxLimitDelay  = 3 * time.Second
	maxNoticeDelay = time.Second
	// limitWindow is the sliding window in which requests are counted; allowedRatio and allowedExtra define how far the
	// count may exceed the limit, as required by the users.
	limitWindow  = 4 * time.Second
	allowedRatio = 1.5
	allowedExtra = 5
	// minLimit and maxLimit bound the limits, in requests per second; without a limit an upstream gets about 5.
	minLimit, maxLimit = 0.2, 4
)

// limit is a rate limit that an upstream has announced.
type limit struct {
	perSecond float64
	since     time.Time
	// firstArrival is when the first request of each gateway reached the upstream since then, and arrivals are the
	// requests counted against the limit.
	firstArrival map[string]time.Time
	arrivals     []time.Time
}

// limitUpstream makes an upstream announce a rate limit for a while, in its answers only or in its reports too.
func (w *Fleet) limitUpstream(ctx context.Context, s Step) {
	u := w.pickUpstream(s)
	u.mu.Lock()
	server, id, listed := u.server, u.id, u.listed
	u.mu.Unlock()
	perSecond := minLimit + s.Magnitude*(maxLimit-minLimit)
	if !listed || !w.history.RecordLimit(id, perSecond) {
		return
	}
	server.SetLimit(fmt.Sprintf("%.2f", perSecond), s.Selector>>4%2 == 0)
	kernel.Pause(ctx, s.Duration)
	server.SetLimit("", false)
	w.history.RecordLimitEnd(id)
}

// RecordLimit records that an upstream announces a limit from now on; it returns false if the upstream has one already.
func (b *History) RecordLimit(instance string, perSecond float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limits[instance] != nil {
		return false
	}
	b.limits[instance] = &limit{perSecond: perSecond, since: b.now(), firstArrival: map[string]time.Time{}}
	b.counts["limits named"]++
	b.recordEvent("%s announces a limit of %.2f requests per second", instance, perSecond)
	return true
}

// RecordLimitEnd records that an upstream no longer announces a limit.
func (b *History) RecordLimitEnd(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.limits, instance)
	b.recordEvent("%s announces no limit any more", instance)
}

// checkLimit checks a request that reaches an upstream against its limit. Only requests of gateways that have been
// notified count, unless a fault excuses them. The caller holds the lock.
func (b *History) checkLimit(r *request, id, instance string, sound bool) {
	l := b.limits[instance]
	if l == nil {
		return
	}
	b.counts["reached a limited upstream"]++
	now, g := b.now(), r.gateway.name
	if l.firstArrival[g].IsZero() {
		l.firstArrival[g] = now
	}
	if now.Sub(l.since) < maxLimitDelay || now.Sub(l.firstArrival[g]) < maxNoticeDelay {
		return
	}
	if !sound {
		b.counts["excused by a fault: limit"]++
		return
	}
	l.arrivals = append(l.arrivals, now)
	for now.Sub(l.arrivals[0]) >= limitWindow {
		l.arrivals = l.arrivals[1:]
	}
	if allowed := int(allowedRatio*l.perSecond*limitWindow.Seconds()) + allowedExtra; len(l.arrivals) > allowed {
		b.recordViolation("limit", g, id, instance, "%s received %d requests in %v, allowed are %d at a limit of %.2f per second", instance, len(l.arrivals), limitWindow, allowed, l.perSecond)
	}
}
