package callerapi

import (
	"context"
	"net/http"
	"sync"
)

// inFlightRequests counts the requests in flight, so that a graceful shutdown interrupts none.
type inFlightRequests struct {
	mu      sync.Mutex
	count   int
	leaving bool
	idle    chan struct{}
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{idle: make(chan struct{}, 1)}
}

// wrap returns a handler that counts requests. Requests that arrive during a shutdown are refused before they reach
// an upstream.
func (f *inFlightRequests) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !f.enter() {
			w.Header().Set("Connection", "close")
			refuse(w, r.Header.Get(headerRequestID), problemLeaving)
			return
		}
		defer f.exit()
		next.ServeHTTP(w, r)
	})
}

func (f *inFlightRequests) enter() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return false
	}
	f.count++
	return true
}

func (f *inFlightRequests) exit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.leaving {
		f.idle <- struct{}{}
	}
}

func (f *inFlightRequests) isLeaving() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving
}

func (f *inFlightRequests) drain(ctx context.Context) {
	f.mu.Lock()
	f.leaving = true
	idle := f.count == 0
	f.mu.Unlock()
	if idle {
		return
	}
	select {
	case <-ctx.Done():
	case <-f.idle:
	}
}
