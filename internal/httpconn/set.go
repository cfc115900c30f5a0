// Package httpconn holds what HTTP connections need beyond package net/http: it ends those of a server without losing requests,
// and tells which status codes are valid.
package httpconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Set holds the open HTTP/1 connections of a server with their states. It takes the place of http.Server.Shutdown, which
// drops requests that the server reads while it closes connections. It is safe for concurrent use.
type Set struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// New returns an empty set.
func New() *Set {
	return &Set{states: map[net.Conn]http.ConnState{}}
}

// SetState is the ConnState hook of the server.
func (s *Set) SetState(c net.Conn, t http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t == http.StateClosed || t == http.StateHijacked {
		delete(s.states, c)
		return
	}
	s.states[c] = t
}

// Count returns the number of connections in a state.
func (s *Set) Count(t http.ConnState) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, u := range s.states {
		if u == t {
			n++
		}
	}
	return n
}

// EndIdle ends the connections without a request, and reports whether no connection is left. A request that was received
// before is still served, as only further reads fail.
func (s *Set) EndIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, t := range s.states {
		if t != http.StateActive {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(s.states) == 0
}
