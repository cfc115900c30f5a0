package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// plainWork is the time that a plain server works on a request.
const plainWork = 60 * time.Millisecond

// plainServer is a server of a service without a model.
type plainServer struct {
	id, address, domain string
	record              *record

	mu      sync.Mutex
	running int
}

// entry is the server's entry in the store.
func (s *plainServer) entry(sequence int) map[string]any {
	return map[string]any{
		"service": plainService, "address": s.address, "zone": s.domain, "version": "v1", "slots": plainSlots, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence,
	}
}

// begin admits a request, or returns the status with which it is refused.
func (s *plainServer) begin(r *http.Request) (refused int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Header.Get("Target-Instance") != s.id:
		return http.StatusMisdirectedRequest
	case s.running >= plainSlots:
		return http.StatusServiceUnavailable
	}
	s.running++
	return 0
}

// ServeHTTP implements http.Handler.
func (s *plainServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if refused := s.begin(r); refused != 0 {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(refused)
		return
	}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.running--
	}()
	s.record.add("%s: runs %s", s.id, id)
	pause(r.Context(), plainWork)
	w.Header().Set("Response-Seal", sealOf(s.id, id))
	_, _ = fmt.Fprintf(w, "%s %d", id, len(body))
}
