package records

import (
	"context"
	"sync"
)

// gate blocks readers while it is closed. It starts open.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// set opens or closes the gate, and returns whether that changed its state.
func (g *gate) set(open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if open == (g.closed == nil) {
		return false
	}
	if open {
		close(g.closed)
		g.closed = nil
		return true
	}
	g.closed = make(chan struct{})
	return true
}

// wait returns once the gate is open or the context ends, and reports whether it had to wait.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	c := g.closed
	g.mu.Unlock()
	if c == nil {
		return false
	}
	select {
	case <-ctx.Done():
	case <-c:
	}
	return true
}
