package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/quarantine"
)

const (
	// heldRetry is when the caller of a held request may come back. Coming sooner is of no use: an operator has to lift it.
	heldRetry = 10 * time.Minute
	// suspectRetry is the same while upstreams have ended under a request and it is not yet known whether it was the
	// cause. It is above the time in which an upstream begins a request that is tried alone.
	suspectRetry = time.Second
)

// errHeld ends a request that waits at an upstream when it turns out that upstreams crash under it.
var errHeld = errors.New("upstreams have crashed under this request")

// checkQuarantine lets the request in, unless upstreams have crashed under it. One that is suspected is let in while no
// repeat of it is under way here. It guards against a request that ends each upstream which begins it: sent on with
// each repeat, one ended 40 upstreams in 34 s, and with them all that others had running there.
func (f *flight) checkQuarantine() bool {
	g := f.gateway
	v := g.list.Check(f.fingerprint)
	f.alone = v == quarantine.Alone
	f.ctx, f.stop = context.WithCancelCause(f.request.Context())
	switch {
	case v == quarantine.Held:
		f.refuse("held: upstreams have crashed under this request", heldRetry)
	case v == quarantine.Waits:
		f.refuse("upstreams have just crashed under this request", suspectRetry)
	case !g.flights.add(f):
		f.refuse("a repeat of this request is tried alone", suspectRetry)
	default:
		return true
	}
	f.stop(nil)
	return false
}

// presence is the request as those see it who look for what crashes upstreams.
func (f *flight) presence() quarantine.InFlightRequest {
	return quarantine.InFlightRequest{Fingerprint: f.fingerprint, Organisation: f.org, Attempt: quarantine.CallerAttemptOf(f.ask.Request), Alone: f.alone}
}

// at is the start of the upstream that the request was sent to.
func (t *attempt) at() quarantine.Incarnation {
	return quarantine.Incarnation{Address: t.choice.Address, Instance: t.choice.Instance, Born: t.choice.Incarnation}
}

// left notes that the request was given up at its upstream, which may begin it all the same.
func (t *attempt) left() {
	t.flight.gateway.witness.RequestAbandoned(t.at(), t.flight.presence())
}

// ended says whether an upstream's process has ended: its VM refuses connections. One that is silent may be cut off,
// frozen or without power, and no request does that.
func (g *Gateway) ended(ctx context.Context, s quarantine.Incarnation) (ended, known bool) {
	return g.pool.ProbeRefused(ctx, s.Address, s.Born)
}

// flights are the requests under way, by fingerprint.
type flights struct {
	mu sync.Mutex
	of map[quarantine.Fingerprint]map[*flight]struct{}
}

func newFlights() *flights {
	return &flights{of: map[quarantine.Fingerprint]map[*flight]struct{}{}}
}

// add notes a request, unless it is to be alone and is not.
func (l *flights) add(f *flight) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	same := l.of[f.fingerprint]
	if f.alone && len(same) > 0 {
		return false
	}
	if same == nil {
		same = map[*flight]struct{}{}
		l.of[f.fingerprint] = same
	}
	same[f] = struct{}{}
	return true
}

// remove notes that a request is over.
func (l *flights) remove(f *flight) {
	f.stop(nil)
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.over != nil {
		f.over.Stop()
	}
	same := l.of[f.fingerprint]
	delete(same, f)
	if len(same) == 0 {
		delete(l.of, f.fingerprint)
	}
}

// stop ends the requests with a fingerprint that no upstream has begun to answer: an upstream drops what waits in its
// queue once its caller has gone.
func (l *flights) stop(p quarantine.Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f := range l.of[p] {
		if !f.begun.Load() {
			f.stop(errHeld)
		}
	}
}
