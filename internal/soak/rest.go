package soak

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// maxSendAfterLeaving is how long after a gateway has forwarded an upstream's announcement that it leaves the gateway
	// may still send requests to that upstream.
	maxSendAfterLeaving = 2 * time.Second
	// restSlack is how long after an upstream has answered 503 with a Retry-After a request that was in flight may still
	// arrive, and maxRestRequests how many may arrive in the remaining time.
	restSlack       = 500 * time.Millisecond
	maxRestRequests = 2
	// meanRestInterval is the mean time between two upstreams that send Retry-After; minRestDuration and maxRestDuration
	// bound how long one does.
	meanRestInterval                 = 8 * time.Second
	minRestDuration, maxRestDuration = 2 * time.Second, 9 * time.Second
	// minRetryAfter and maxRetryAfter bound the value of the Retry-After header, in seconds.
	minRetryAfter, maxRetryAfter = 0.6, 4.0
)

// announcements holds what an upstream has announced to a gateway in its answers.
type announcements struct {
	// leavingSince is when the gateway forwarded the first answer that announces that the upstream leaves.
	leavingSince time.Time
	rests        []rest
}

// rest is a Retry-After period in which an upstream wants no request of a gateway.
type rest struct {
	from, until time.Time
	requests    int
}

// restUpstream makes an upstream answer every request with 503 and a Retry-After for a while.
func (w *Fleet) restUpstream(ctx context.Context, s Step) {
	u := w.pickUpstream(s)
	u.mu.Lock()
	server, id, listed := u.server, u.id, u.listed
	u.mu.Unlock()
	if !listed {
		return
	}
	w.history.RecordEvent("%s answers all requests with 503 and a Retry-After", id)
	w.history.Count("upstreams that ask for rest")
	server.SetRetryAfter(fmt.Sprintf("%.2f", minRetryAfter+s.Magnitude*(maxRetryAfter-minRetryAfter)))
	kernel.Pause(ctx, s.Duration)
	server.SetRetryAfter("")
}

// announcementsOf returns what an upstream has announced to a gateway. The caller holds the lock.
func (b *History) announcementsOf(gateway, instance string) *announcements {
	key := gateway + " " + instance
	t := b.announced[key]
	if t == nil {
		t = &announcements{}
		b.announced[key] = t
	}
	return t
}

// RecordLeavingNotice records that a gateway has forwarded an answer in which an upstream announces that it leaves.
func (b *History) RecordLeavingNotice(id, instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.announcementsOf(b.requests[id].gateway.name, instance); t.leavingSince.IsZero() {
		b.counts["told that an upstream leaves"]++
		t.leavingSince = b.now()
	}
}

// RecordRestRequest records that an upstream has refused a request with a Retry-After.
func (b *History) RecordRestRequest(id, instance, retryAfter string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, s := b.requests[id], retryAfter
	seconds, err := strconv.ParseFloat(s, 64)
	if r == nil || err != nil {
		return
	}
	b.counts["asked for rest"]++
	now := b.now()
	t := b.announcementsOf(r.gateway.name, instance)
	t.rests = append(t.rests, rest{from: now, until: now.Add(time.Duration(seconds * float64(time.Second)))})
}

// RecordUpstreamEnd records that an upstream's process has ended, and with it the pauses that it asked for. Requests that
// name it reach the next process at its address, which turns them away.
func (b *History) RecordUpstreamEnd(instance string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, t := range b.announced {
		if strings.HasSuffix(key, " "+instance) {
			t.rests = nil
		}
	}
}

// checkAnnouncements checks a request that reaches an upstream against what the upstream has announced to the request's
// gateway. The caller holds the lock.
func (b *History) checkAnnouncements(r *request, id, instance string) {
	g, now := r.gateway.name, b.now()
	t := b.announced[g+" "+instance]
	if t == nil {
		return
	}
	if late := now.Sub(t.leavingSince); !t.leavingSince.IsZero() && late > maxSendAfterLeaving {
		b.violateUnless(!b.ranSince(t.leavingSince, g), "told-leaving", g, id, instance, "reached %s %.2f s after its gateway had received the announcement that it leaves",
			instance, late.Seconds())
	}
	t.rests = slices.DeleteFunc(t.rests, func(s rest) bool { return now.After(s.until) })
	for i := range t.rests {
		s := &t.rests[i]
		if now.Sub(s.from) <= restSlack {
			continue
		}
		if s.requests++; s.requests > maxRestRequests {
			excused := !b.ranSince(s.from, g) || !b.noFault(s.from, now, g)
			b.violateUnless(excused, "rest", g, id, instance, "%s received %d requests in the Retry-After period that its gateway had received %.2f s before",
				instance, s.requests, now.Sub(s.from).Seconds())
		}
	}
}

// ranSince reports whether a process has neither been restarted nor suspended since a point in time. The caller holds the
// lock.
func (b *History) ranSince(since time.Time, process string) bool {
	if b.isStalled(b.now()) || !b.noFault(since, b.now(), machineTarget) {
		return false
	}
	return !slices.ContainsFunc(b.spans[process], func(s *faultSpan) bool {
		return slices.Contains([]string{spanPaused, spanKilled, spanTerminated}, s.what) && (s.until.IsZero() || s.until.After(since))
	})
}
