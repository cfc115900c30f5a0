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
	// crashThreshold is the number of upstreams that such a request may crash before the rule applies, partThreshold that
	// for all requests with such a part, and maxSendsAfterThreshold the number of times they may still be forwarded from
	// settleTime after that on; all are required by the users.
	crashThreshold, partThreshold, maxSendsAfterThreshold = 3, 5, 3
	// crashPartMark follows crashMark in the IDs and bodies of requests with a part that crashes upstreams.
	crashPartMark = "part-"
	// minCrashRetryInterval is the minimum time between two retries of such a request.
	minCrashRetryInterval = 150 * time.Millisecond
)

// crashRecord counts the crashes that one such request has caused.
type crashRecord struct {
	count int
	// thresholdAt is when the requests had crashed threshold upstreams.
	thresholdAt time.Time
	sendsAfter  int
}

// crashKind returns what requests have in common that crash upstreams for the same reason, by the body of one.
func crashKind(body string) string {
	kind, _, _ := strings.Cut(body, "/")
	return kind
}

// thresholdOf returns the number of upstreams that requests of a kind may crash before the rule applies.
func thresholdOf(kind string) int {
	if strings.HasPrefix(kind, crashMark+crashPartMark) {
		return partThreshold
	}
	return crashThreshold
}

// crashingRequest returns the n-th request of a step: a repeat of one request, or a request whose prompt has the same part
// as all others of the step, in the middle or in the first place.
func crashingRequest(s Step, n int) callerRequest {
	kind := fmt.Sprint(crashMark, s.Selector)
	a := callerRequest{id: fmt.Sprintf("%s.%d", kind, n), path: chatPath, body: kind, stream: true, key: gymKey, timeout: callerDeadline}
	if s.Selector%3 == 0 {
		return a
	}
	kind = fmt.Sprint(crashMark, crashPartMark, s.Selector)
	a.id, a.body = fmt.Sprintf("%s.%d", kind, n), fmt.Sprintf("%s/%d", kind, n)
	a.prompt = []string{firstPart(n), fmt.Sprintf("%x", s.Selector), secondPart(n)}
	if s.Selector%3 == 1 {
		a.prompt = a.prompt[1:]
	}
	return a
}

// firstPart and secondPart return parts of the prompt of a request with a number that other requests share.
func firstPart(n int) string  { return fmt.Sprintf("a%d", n%3) }
func secondPart(n int) string { return fmt.Sprintf("c%d", n%7) }

// sendCrashingRequests sends requests that crash upstreams for the same reason, to each gateway in turn, until the context
// ends.
func (w *Fleet) sendCrashingRequests(ctx context.Context, s Step) {
	w.sendCrashingRequestsEvery(ctx, s, minCrashRetryInterval+time.Duration(s.Magnitude*float64(time.Second)))
}

func (w *Fleet) sendCrashingRequestsEvery(ctx context.Context, s Step, every time.Duration) {
	w.history.RecordEvent("requests that crash upstreams are sent repeatedly: %s", crashingRequest(s, 0).body)
	for n := 0; ctx.Err() == nil; n++ {
		a := crashingRequest(s, n)
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
	w.history.RecordSent(a.id, &request{gateway: g, path: a.path, crashesUpstreams: true, priority: queuePriority(a.key, a.path)})
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
	m.Unframed = func(body string) bool {
		return strings.HasPrefix(body, crashMark) && strings.ContainsAny(body[len(body)-1:], "13579")
	}
	m.OnCrash = func(body string) {
		s.mu.Lock()
		l, newest := s.link, s.server == m
		s.mu.Unlock()
		if !newest || !s.busy.TryLock() {
			return
		}
		s.history.RecordCrash(crashKind(body))
		if q, ok := s.history.silenceOf(crashKind(body)); ok {
			go func() {
				defer s.busy.Unlock()
				s.crashSilently(ctx, l, q)
			}()
			return
		}
		end := s.history.BeginFault(s.address, "crashed under a request")
		l.CloseLater(closings[s.startCount%len(closings)])
		go func() {
			defer s.busy.Unlock()
			defer end()
			s.Crash(ctx, crashDowntime)
		}()
	}
}

// RecordCrash records that a marked request of a kind has crashed an upstream.
func (b *History) RecordCrash(kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.crashes[kind]
	if c == nil {
		c = &crashRecord{}
		b.crashes[kind] = c
	}
	c.count++
	b.counts["upstreams ended under a request"]++
	if c.count == thresholdOf(kind) {
		c.thresholdAt = b.now()
	}
}

// checkCrashingRun checks a marked request that an upstream starts. The caller holds the lock.
func (b *History) checkCrashingRun(r *request, id string) {
	kind, _, _ := strings.Cut(id, ".")
	c := b.crashes[kind]
	if c == nil || c.count < thresholdOf(kind) || b.now().Sub(c.thresholdAt) < settleTime {
		return
	}
	now := b.now()
	if b.isStalled(now) || !b.noFault(now.Add(-settleTime), now, machineTarget) {
		b.counts["excused by a fault: crashing"]++
		return
	}
	b.counts["late requests that crash upstreams"]++
	if c.sendsAfter++; c.sendsAfter > maxSendsAfterThreshold {
		b.recordViolation("crashing", r.gateway.name, id, kind, "forwarded %d times later than %v after it had crashed %d upstreams", c.sendsAfter, settleTime, thresholdOf(kind))
	}
}
