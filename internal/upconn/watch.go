package upconn

import (
	"context"
	"errors"
	"syscall"

	"github.com/springrail/springrail/internal/id"
)

// Presence is what a look at an address shows.
type Presence int

const (
	// Unanswered means that the dial failed otherwise than by a refusal, for example by a timeout.
	Unanswered Presence = iota
	// Refused means that the VM refuses connections: no process listens there.
	Refused
	// Accepted means that there is a connection. It does not prove that the process runs: another one may hold its listener,
	// or the kernel may accept connections for it until it has ended.
	Accepted
	// TurnedAway means that the peer closed the connection of the look before without a request on it.
	TurnedAway
)

// String implements fmt.Stringer.
func (p Presence) String() string {
	return [...]string{Unanswered: "unanswered", Refused: "refused", Accepted: "accepted", TurnedAway: "turned_away"}[p]
}

// Watch looks at an address again and again, each time over a new connection. It is not safe for concurrent use.
type Watch struct {
	pool        *Pool
	address     string
	incarnation id.Incarnation
	conn        *conn
}

// Watch returns a watch on an address.
func (p *Pool) Watch(address string, incarnation id.Incarnation) *Watch {
	return &Watch{pool: p, address: address, incarnation: incarnation}
}

// Look returns what the address shows now.
func (w *Watch) Look(ctx context.Context) Presence {
	turnedAway := w.conn != nil && !w.conn.isReusable()
	w.Close()
	c, err := w.pool.connect(ctx, w.address, w.incarnation)
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	case err != nil:
		return Unanswered
	}
	w.conn = c
	if turnedAway {
		return TurnedAway
	}
	return Accepted
}

// Keep ends the watch and gives its connection to the pool, if there is one.
func (w *Watch) Keep() {
	if w.conn != nil {
		w.pool.idle.put(w.conn, w.pool.now())
		w.conn = nil
	}
}

// Close ends the watch and closes its connection, if there is one.
func (w *Watch) Close() {
	if w.conn != nil {
		w.conn.Close()
		w.conn = nil
	}
}
