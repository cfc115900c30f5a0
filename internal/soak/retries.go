package soak

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/standin"
)

const (
	// retryWindow, retryRatio and retrySlack are the bound on what reaches the upstreams of a pool beyond the first arrival of
	// each request, and are the defaults of gateways.
	retryWindow = 10 * time.Second
	retryRatio  = 0.2
	retrySlack  = 100
	// maxOverAttempts is the number of requests that may run on more upstreams than their route's attempts.
	maxOverAttempts = 3
	// deadlineTolerance is how much more time than remains an upstream may be given, and how much later than the first arrival a
	// request must arrive to count as one that is sent again late. More than maxLongDeadlines requests with more time, these
	// being more than maxLongDeadlineShare of both, break the promise.
	deadlineTolerance    = 500 * time.Millisecond
	maxLongDeadlines     = 20
	maxLongDeadlineShare = 0.2
)

// poolLoad holds when requests for a pool were sent, and when one arrived that had arrived before.
type poolLoad struct {
	requests, retries []time.Time
}

// countBetween returns the number of times from one moment to another.
func countBetween(l []time.Time, from, to time.Time) int {
	i, _ := slices.BinarySearchFunc(l, from, time.Time.Compare)
	j, _ := slices.BinarySearchFunc(l, to, time.Time.Compare)
	return j - i
}

// poolOf returns the pool of a path, and attemptsOf the largest number of upstreams that one request may be sent to.
func poolOf(path string) string {
	switch {
	case path == "":
		return ""
	case strings.HasPrefix(path, chatPath), strings.HasPrefix(path, bulkPath), strings.HasPrefix(path, longChatPath):
		return enginePool
	default:
		return plainPool
	}
}

func attemptsOf(path string) int {
	if strings.HasPrefix(path, deskPath) || strings.HasPrefix(path, longDeskPath) {
		return 1
	}
	return maxAttempts
}

// loadOf returns the load of a pool; the caller holds the lock.
func (b *History) loadOf(pool string) *poolLoad {
	l := b.loads[pool]
	if l == nil {
		l = &poolLoad{}
		b.loads[pool] = l
	}
	return l
}

// checkRetries checks an arrival of a request that had arrived before. The requests that count are those of the window that
// ends now, of the one before it, or of the one half a window earlier. The caller holds the lock.
func (b *History) checkRetries(r *request, id string) {
	pool := poolOf(r.path)
	if pool == "" || len(r.reached) < 2 {
		return
	}
	b.counts["arrivals beyond the first"]++
	l, now := b.loadOf(pool), b.now()
	l.retries = append(l.retries, now)
	from, end := now.Add(-retryWindow), now.Add(1)
	retries := countBetween(l.retries, from, end)
	requests := 0
	for _, earlier := range []time.Duration{0, retryWindow / 2, retryWindow} {
		requests = max(requests, countBetween(l.requests, from.Add(-earlier), end.Add(-earlier)))
	}
	b.counts["most arrivals beyond the first in a window: "+pool] = max(b.counts["most arrivals beyond the first in a window: "+pool], retries)
	if float64(retries) > retryRatio*float64(requests)+retrySlack {
		b.recordViolation("retry-budget", "gateways", id, pool, "%d requests for %s arrived again in %v, in which at most %d were sent", retries, pool, retryWindow, requests)
	}
}

// checkAttempts checks an execution of a request against the attempts of its route. Upstreams that have been hurt since do not
// count. The caller holds the lock.
func (b *History) checkAttempts(r *request, x standin.RequestRun) {
	if r.path == "" {
		return
	}
	if r.ranAt == nil {
		r.ranAt = map[string]time.Time{}
	}
	now := b.now()
	r.ranAt[x.Instance] = now
	n := 0
	for instance, at := range r.ranAt {
		address := instance[:max(0, strings.LastIndex(instance, "-"))]
		if b.noFault(at, now, address) {
			n++
		}
	}
	if n <= attemptsOf(r.path) || r.overAttempts {
		return
	}
	r.overAttempts = true
	b.counts["ran on more upstreams than its attempts"]++
	if b.counts["ran on more upstreams than its attempts"] > maxOverAttempts {
		b.recordViolation("attempts", r.gateway.name, x.Request, "attempts", "ran on %d upstreams, of %d attempts", n, attemptsOf(r.path))
	}
}

// RecordDeadline checks the time that a request gives an upstream, as stated in its header.
func (b *History) RecordDeadline(id, instance, address, stated string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.requests[id]
	if r == nil || r.path == "" {
		return
	}
	now := b.now()
	if !b.faultFree(r) || !b.noFault(now.Add(-settleTime), now, address) {
		return
	}
	if r.firstArrival.IsZero() {
		r.firstArrival = now
	} else if now.Sub(r.firstArrival) > deadlineTolerance {
		b.counts["sent again late"]++
	}
	ms, err := strconv.ParseInt(stated, 10, 64)
	excess := time.Duration(ms)*time.Millisecond - r.deadline.Sub(now)
	if err == nil && excess <= deadlineTolerance {
		return
	}
	b.counts["more time than remains"]++
	long, late := b.counts["more time than remains"], b.counts["sent again late"]
	if long > maxLongDeadlines && float64(long) > maxLongDeadlineShare*float64(long+late) {
		b.recordViolation("deadline", r.gateway.name, id, "deadline", "%s was given %q ms, %v more than remains, as %d requests before", instance, stated, excess, long-1)
	}
}

// maxAttempts is the largest number of upstreams that a request may be sent to, other than on routes to run it once.
const maxAttempts = 3
