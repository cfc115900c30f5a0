package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callerConns holds the callers' open connections with their states. http.Server.Shutdown is not used: it drops requests
// that were read while it closes connections.
type callerConns struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

func newCallerConns() *callerConns {
	return &callerConns{states: map[net.Conn]http.ConnState{}}
}

// setState is the ConnState hook of the server.
func (l *callerConns) setState(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.states, c)
		return
	}
	l.states[c] = s
}

// count returns the number of connections in a state.
func (l *callerConns) count(s http.ConnState) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, t := range l.states {
		if t == s {
			n++
		}
	}
	return n
}

// endIdle ends the connections without a request, and reports whether none is left. A request that was received before is
// still served, as only further reads fail.
func (l *callerConns) endIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, s := range l.states {
		if s != http.StateActive {
			_ = c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(l.states) == 0
}
