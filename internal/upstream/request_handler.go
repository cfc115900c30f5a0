package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/httpconn"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
)

const (
	// minRemaining is the minimum of remaining time with which a request is started.
	minRemaining = 10 * time.Millisecond
	// refusalRetryAfter is the time after which a refused caller may retry.
	refusalRetryAfter = 500 * time.Millisecond
	// bufferBytes is the size of the buffer for a response.
	bufferBytes = 16 << 10
)

// RequestHandler forwards requests to the upstream and returns the complete response to each, or reports that the request was
// not run.
type RequestHandler struct {
	vm          id.VM
	hasEngine   bool
	capacity    int
	live        *LiveVersions
	idempotency *IdempotencyCache
	events      *kernel.EventRing
	send        func(r *http.Request, repeatable bool) (*http.Response, error)
	url         func(path string) string

	mu sync.Mutex
	// running holds the requests in flight, with the functions that end them.
	running map[*responseStream]context.CancelFunc
	leaving bool
	// ended is true once the requests in flight have been ended.
	ended   bool
	drained chan struct{}
}

// refusal is the reason for which a request is not run.
type refusal struct {
	reason pb.RefusalReason
	detail string
}

// Run implements the upstream service.
func (d *RequestHandler) Run(ctx context.Context, r *pb.RunRequest, out *connect.ServerStream[pb.RunResponse]) error {
	a := &responseStream{request: r, stream: out, vm: d.vm}
	remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, remaining)
	defer stop()
	if f := d.admit(a, stop, remaining); f != nil {
		return d.refuse(a, f)
	}
	defer d.finishRequest(a)
	if d.hasEngine {
		k := modelKey{organisation: id.Organisation(r.GetOrganisation()), model: id.Model(r.GetModel())}
		v, release, ok := d.live.Acquire(k, id.Rollout(r.GetRollout()))
		if !ok {
			return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_NOT_LIVE, detail: "version not live here"})
		}
		defer release()
		a.version = v
	}
	if r.GetIdempotencyKey() != "" && !r.GetRepeatable() {
		return d.runOnce(ctx, a)
	}
	return d.run(ctx, a)
}

func (d *RequestHandler) admit(a *responseStream, stop context.CancelFunc, remaining time.Duration) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_LEAVING, detail: "the VM is leaving"}
	case remaining < minRemaining:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_DEADLINE, detail: "no time left to start"}
	case len(d.running) >= d.capacity:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_FULL, detail: "the VM has no room"}
	}
	d.running[a] = stop
	return nil
}

func (d *RequestHandler) finishRequest(a *responseStream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.running, a)
	if len(d.running) == 0 {
		close(d.drained)
		d.drained = make(chan struct{})
	}
}

func (d *RequestHandler) load() *pb.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &pb.Load{Running: uint32(len(d.running)), Capacity: uint32(d.capacity)}
}

// Drain stops admission of requests and waits until those in flight have ended. When answers are due it ends the others,
// whose entries then learn that they may have run.
func (d *RequestHandler) Drain(ctx context.Context) {
	t := kernel.NewDrainTimes(ctx)
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	if !d.waitIdle(ctx, t.AnswersDue) {
		d.endAll()
		d.waitIdle(ctx, t.ExitDue)
	}
}

// waitIdle reports whether no request is in flight, as soon as that is so and at the given time at the latest.
func (d *RequestHandler) waitIdle(ctx context.Context, until time.Time) bool {
	ctx, stop := context.WithDeadline(ctx, until)
	defer stop()
	for {
		d.mu.Lock()
		running, drained := len(d.running), d.drained
		d.mu.Unlock()
		if running == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-drained:
		}
	}
}

func (d *RequestHandler) endAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	for _, stop := range d.running {
		stop()
	}
}

func (d *RequestHandler) refuse(a *responseStream, f *refusal) error {
	d.addEvent(kernel.EventRequestRefused, a.request, f.detail)
	return a.send(&pb.RunResponse{Part: &pb.RunResponse_Refused{Refused: &pb.RunRefused{
		Reason: f.reason, Detail: f.detail, RetryAfterMs: refusalRetryAfter.Milliseconds(),
	}}})
}

func (d *RequestHandler) addEvent(k kernel.EventKind, r *pb.RunRequest, detail string) {
	d.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(r.GetOrganisation()), Rollout: id.Rollout(r.GetRollout()),
		Request: id.Request(r.GetRequestId()), Detail: detail,
	})
}

// runOnce runs the first request of an idempotency key, and answers later ones from the record of the first.
func (d *RequestHandler) runOnce(ctx context.Context, a *responseStream) error {
	k := idempotencyKey{organisation: id.Organisation(a.request.GetOrganisation()), key: a.request.GetIdempotencyKey()}
	e, first := d.idempotency.claim(k)
	if !first {
		return d.replay(a, e)
	}
	a.record = e
	// The request continues when its caller disconnects, so that a retry of the same key finds its outcome.
	deadline, _ := ctx.Deadline()
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer stop()
	d.continueUntil(a, stop)
	err := d.run(ctx, a)
	d.idempotency.removeIfNotRun(k, e)
	return err
}

// continueUntil replaces the function that ends a request in flight.
func (d *RequestHandler) continueUntil(a *responseStream, stop context.CancelFunc) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[a] = stop
	if d.ended {
		stop()
	}
}

func (d *RequestHandler) replay(a *responseStream, e *idempotencyRecord) error {
	switch state, responses := e.snapshot(); state {
	case recordDone:
		for _, p := range responses {
			if err := a.send(p); err != nil {
				return err
			}
		}
		return nil
	case recordRunning:
		return d.refuse(a, &refusal{
			reason: pb.RefusalReason_REFUSAL_REASON_IN_PROGRESS, detail: "a request of the same key is running",
		})
	default:
		return a.sendFailed("an earlier request of the same key may have run")
	}
}

// run sends the request and forwards the response. If the upstream accepts no connection, nothing has been sent.
func (d *RequestHandler) run(ctx context.Context, a *responseStream) error {
	r := a.request
	q, err := http.NewRequestWithContext(ctx, r.GetMethod(), d.url(r.GetPath()), bytes.NewReader(r.GetBody()))
	if err != nil {
		a.markNotRun()
		return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_UPSTREAM_DOWN, detail: err.Error()})
	}
	q.Header.Set("Content-Type", r.GetContentType())
	q.Header.Set("X-Request-Id", r.GetRequestId())
	q.Header.Set("X-Organisation", r.GetOrganisation())
	if r.GetIdempotencyKey() != "" {
		q.Header.Set("Idempotency-Key", r.GetIdempotencyKey())
	}
	d.addEvent(kernel.EventRequestStarted, r, "")
	got, err := d.send(q, r.GetRepeatable())
	if err != nil && rpc.IsDialError(err) {
		a.markNotRun()
		return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_UPSTREAM_DOWN, detail: "the upstream took no connection"})
	}
	if err != nil {
		return a.sendFailed("no answer from the upstream")
	}
	defer got.Body.Close()
	return d.forward(a, got)
}

// forward checks that the response belongs to this request and is of the announced version, and forwards it.
func (d *RequestHandler) forward(a *responseStream, got *http.Response) error {
	if of := got.Header.Get("X-Request-Id"); of != a.request.GetRequestId() {
		return a.sendFailed(fmt.Sprintf("the upstream's answer is of another request (%q)", of))
	}
	if !httpconn.IsFinalStatus(got.StatusCode) {
		return a.sendFailed(fmt.Sprintf("the upstream answered with the invalid status code %d", got.StatusCode))
	}
	if v := got.Header.Get("X-Model-Version"); d.hasEngine && v != string(a.version) && got.StatusCode == http.StatusOK {
		return a.sendFailed(fmt.Sprintf("the engine served version %q, not %q", v, a.version))
	}
	if err := a.sendHead(got); err != nil {
		return err
	}
	streaming := strings.HasPrefix(got.Header.Get("Content-Type"), "text/event-stream")
	buffer := make([]byte, bufferBytes)
	check := streamEndDetector{}
	for {
		n, err := got.Body.Read(buffer)
		check.write(buffer[:n])
		if sendErr := a.sendData(buffer[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.sendFailed("the upstream's answer broke off")
		}
	}
	if streaming && !check.hasEndMarker() {
		return a.sendFailed("the upstream's stream ended without its end mark")
	}
	return a.sendEnd(d.load())
}
