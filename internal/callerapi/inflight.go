package callerapi

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/kernel"
)

// errShutdown cancels a request that is in flight when answers are due.
var errShutdown = errors.New("the entry shuts down")

// unreadBodyTimeout is how long the rest of a refused request's body is received, so that a reset does not take the answer
// away.
const unreadBodyTimeout = time.Second

// callerRequest is a request in flight.
type callerRequest struct {
	writer http.ResponseWriter
	cancel context.CancelCauseFunc
	// deadline is when the caller gives up.
	deadline time.Time
	// receiving is true while the body is being read.
	receiving bool
}

// setReadDeadline bounds the wait for the body. The zero time removes the bound.
func (f *callerRequest) setReadDeadline(t time.Time) {
	_ = http.NewResponseController(f.writer).SetReadDeadline(t)
}

// requestKey is the context key of a callerRequest.
type requestKey struct{}

// requestOf returns the request in flight that a handler serves.
func requestOf(ctx context.Context) *callerRequest {
	return ctx.Value(requestKey{}).(*callerRequest)
}

// inFlightRequests holds the requests in flight, so that a graceful shutdown completes them or ends them with an answer.
type inFlightRequests struct {
	log *log.Logger
	// timeout returns the time that a caller gives its request.
	timeout  func(r *http.Request) time.Duration
	mu       sync.Mutex
	requests map[*callerRequest]struct{}
	// shutdown is nil until a shutdown begins.
	shutdown *kernel.DrainTimes
	// idle is closed when no request is in flight in a shutdown.
	idle chan struct{}
}

func newInFlightRequests(l *log.Logger, timeout func(r *http.Request) time.Duration) *inFlightRequests {
	return &inFlightRequests{log: l, timeout: timeout, requests: map[*callerRequest]struct{}{}, idle: make(chan struct{})}
}

// wrap returns a handler that registers requests. Requests that arrive during a shutdown are refused before they reach
// an upstream.
func (l *inFlightRequests) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		f := &callerRequest{writer: w, cancel: cancel, deadline: time.Now().Add(l.timeout(r))}
		if !l.add(f) {
			w.Header().Set("Connection", "close")
			refuse(w, r.Header.Get(headerRequestID), problemLeaving)
			return
		}
		defer l.remove(f)
		next.ServeHTTP(w, r.WithContext(context.WithValue(ctx, requestKey{}, f)))
	})
}

func (l *inFlightRequests) add(f *callerRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.shutdown != nil {
		return false
	}
	l.requests[f] = struct{}{}
	return true
}

func (l *inFlightRequests) remove(f *callerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.requests, f)
	l.closeIfIdle()
}

func (l *inFlightRequests) closeIfIdle() {
	if l.shutdown != nil && len(l.requests) == 0 {
		close(l.idle)
	}
}

// outlastsShutdown reports whether the request may still run when answers are due. The caller holds the mutex.
func (l *inFlightRequests) outlastsShutdown(f *callerRequest) bool {
	return l.shutdown != nil && f.deadline.After(l.shutdown.AnswersDue)
}

// startReceiving bounds the wait for the body.
func (l *inFlightRequests) startReceiving(f *callerRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.receiving = true
	f.setReadDeadline(f.deadline)
	if l.outlastsShutdown(f) {
		f.setReadDeadline(time.Now())
	}
}

// endReceiving reports whether the request is taken although a shutdown may have begun while its body arrived.
func (l *inFlightRequests) endReceiving(f *callerRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	f.receiving = false
	// The server watches the connection by reading from it, and would take the deadline for a caller that has gone.
	f.setReadDeadline(time.Time{})
	return !l.outlastsShutdown(f)
}

func (l *inFlightRequests) isLeaving() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shutdown != nil
}

// drain returns when no request is in flight. It ends those that are when answers are due.
func (l *inFlightRequests) drain(ctx context.Context) {
	t := kernel.NewDrainTimes(ctx)
	l.begin(&t)
	if l.waitIdle(ctx, t.AnswersDue) {
		return
	}
	l.endAll(t.ExitDue)
	if !l.waitIdle(ctx, t.ExitDue) {
		l.log.Warn().Msg("requests are abandoned at the end of the process")
	}
}

func (l *inFlightRequests) begin(t *kernel.DrainTimes) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.shutdown = t
	for f := range l.requests {
		if f.receiving && l.outlastsShutdown(f) {
			f.setReadDeadline(time.Now())
		}
	}
	l.closeIfIdle()
}

// waitIdle reports whether no request is in flight, as soon as that is so and at the given time at the latest.
func (l *inFlightRequests) waitIdle(ctx context.Context, until time.Time) bool {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	select {
	case <-ctx.Done():
		return false
	case <-l.idle:
		return true
	}
}

// endAll ends the requests in flight, whose handlers then write an answer.
func (l *inFlightRequests) endAll(exitDue time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.log.Warn().Int("in_flight", len(l.requests)).Msg("ending requests that are still in flight, as the time for the shutdown is over")
	for f := range l.requests {
		f.cancel(errShutdown)
		// A caller that does not read would block its handler.
		_ = http.NewResponseController(f.writer).SetWriteDeadline(exitDue)
	}
}
