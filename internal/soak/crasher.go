package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// crashMark is the prefix of the IDs and bodies of requests that crash upstreams.
	crashMark = "crash-"
	// crashDowntime is the downtime of an upstream that such a request has crashed.
	crashDowntime = 2 * time.Second
	// crashThreshold is the number of upstreams that such a request may crash before the rule applies, and
	// maxSendsAfterThreshold the number of times it may still be forwarded from settleTime after that on; both are
	// required by the users.
	crashThreshold, maxSendsAfterThreshold = 3, 3
	// minCrashRetryInterval is the minimum time between two retries of such a request.
	minCrashRetryInterval = 150 * time.Millisecond
)

// crashRecord counts the crashes that one such request has caused.
type crashRecord struct {
	count int
	// thresholdAt is when the request had crashed crashThreshold upstreams.
	thresholdAt time.Time
	sendsAfter  int
}

// sendCrashingRequests repeats a request that crashes upstreams, at each gateway in turn, until the context ends.
func (w *Fleet) sendCrashingRequests(ctx context.Context, s Step) {
	body := fmt.Sprint(crashMark, s.Selector)
	w.history.RecordEvent("a request that crashes upstreams is sent repeatedly: %s", body)
	every := minCrashRetryInterval + time.Duration(s.Magnitude*float64(time.Second))
	for n := 0; ctx.Err() == nil; n++ {
		a := callerRequest{id: fmt.Sprintf("%s.%d", body, n), path: chatPath, body: body, stream: true, key: gymKey}
		g := w.gateways[n%len(w.gateways)]
		w.runningSteps.Go(func() { w.sendOnce(ctx, &a, g) })
		kernel.Pause(ctx, every)
	}
}

// sendOnce sends a request over a new connection and ignores the answer.
func (w *Fleet) sendOnce(ctx context.Context, a *callerRequest, g *Process) {
	q, err := a.newHTTPRequest()
	if err != nil {
		w.history.RecordEvent("%s: %v", a.id, err)
		return
	}
	w.history.RecordSent(a.id, &request{gateway: g, crashesUpstreams: true, priority: queuePriorities[a.key+a.path]})
	ctx, stop := context.WithTimeout(ctx, callerDeadline)
	defer stop()
	q = q.WithContext(ctx)
	q.URL.Host, q.Host = g.callerAddress, "h.example"
	r, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(q)
	if err != nil {
		w.history.Count("requests under which upstreams end: no answer")
		return
	}
	defer r.Body.Close()
	_, _ = io.Copy(io.Discard, r.Body)
	w.history.Count(fmt.Sprint("requests under which upstreams end: status ", r.StatusCode))
}

// setCrashHandlers makes an upstream crash on marked requests: before its answer, after the header or in mid-stream.
func (s *Slot) setCrashHandlers(ctx context.Context, m *standin.ModelServer) {
	m.CrashPoint = func(body string) (events int, ends bool) {
		return len(s.id)%3 + standin.BeforeHead, strings.HasPrefix(body, crashMark)
	}
	m.OnCrash = func(body string) {
		s.mu.Lock()
		l, newest := s.link, s.server == m
		s.mu.Unlock()
		if !newest || !s.busy.TryLock() {
			return
		}
		s.history.RecordCrash(body)
		end := s.history.BeginFault(s.address, "crashed under a request")
		l.Close()
		go func() {
			defer s.busy.Unlock()
			defer end()
			s.Crash(ctx, crashDowntime)
		}()
	}
}

// RecordCrash records that a marked request has crashed an upstream.
func (b *History) RecordCrash(body string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.crashes[body]
	if c == nil {
		c = &crashRecord{}
		b.crashes[body] = c
	}
	c.count++
	b.counts["upstreams ended under a request"]++
	if c.count == crashThreshold {
		c.thresholdAt = b.now()
	}
}

// checkCrashingRun checks a marked request that an upstream starts. The caller holds the lock.
func (b *History) checkCrashingRun(r *request, id string) {
	body, _, _ := strings.Cut(id, ".")
	c := b.crashes[body]
	if c == nil || c.count < crashThreshold || b.now().Sub(c.thresholdAt) < settleTime {
		return
	}
	if !b.faultFree(r) {
		b.counts["excused by a fault: crashing"]++
		return
	}
	if c.sendsAfter++; c.sendsAfter > maxSendsAfterThreshold {
		b.recordViolation("crashing", r.gateway.name, id, body, "forwarded %d times later than %v after it had crashed %d upstreams", c.sendsAfter, settleTime, crashThreshold)
	}
}
