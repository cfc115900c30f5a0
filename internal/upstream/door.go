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
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
)

const (
	// leastRemaining is the time below which a request is not started.
	leastRemaining = 10 * time.Millisecond
	// fullRetry is when a caller refused for lack of room may come back.
	fullRetry = 500 * time.Millisecond
	// readBytes is the buffer for an answer.
	readBytes = 16 << 10
)

// RequestHandler lets requests through to the upstream, one whole answer each, or says that a request was not run.
type RequestHandler struct {
	vm       id.VM
	engine   bool
	capacity int
	live     *LiveVersions
	once     *IdempotencyCache
	events   *kernel.EventRing
	send     func(r *http.Request, repeatable bool) (*http.Response, error)
	url      func(path string) string

	mu       sync.Mutex
	running  int
	leaving  bool
	finished chan struct{}
}

// refusal is why a request is not run.
type refusal struct {
	reason pb.RefusalReason
	detail string
}

// Run implements the upstream service.
func (d *RequestHandler) Run(ctx context.Context, r *pb.RunRequest, out *connect.ServerStream[pb.RunResponse]) error {
	a := &answer{request: r, out: out, vm: d.vm}
	remaining := time.Duration(r.GetRemainingMs()) * time.Millisecond
	ctx, stop := context.WithTimeout(ctx, remaining)
	defer stop()
	if f := d.enter(remaining); f != nil {
		return d.refuse(a, f)
	}
	defer d.exit()
	if d.engine {
		k := modelKey{organisation: id.Organisation(r.GetOrganisation()), model: id.Model(r.GetModel())}
		v, leave, ok := d.live.Acquire(k, id.Rollout(r.GetRollout()))
		if !ok {
			return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_NOT_LIVE, detail: "version not live here"})
		}
		defer leave()
		a.version = v
	}
	if r.GetIdempotencyKey() != "" && !r.GetRepeatable() {
		return d.runOnce(ctx, a)
	}
	return d.run(ctx, a)
}

func (d *RequestHandler) enter(remaining time.Duration) *refusal {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.leaving:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_LEAVING, detail: "the VM is leaving"}
	case remaining < leastRemaining:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_DEADLINE, detail: "no time left to start"}
	case d.running >= d.capacity:
		return &refusal{reason: pb.RefusalReason_REFUSAL_REASON_FULL, detail: "the VM has no room"}
	}
	d.running++
	return nil
}

func (d *RequestHandler) exit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running--
	if d.running == 0 {
		close(d.finished)
		d.finished = make(chan struct{})
	}
}

func (d *RequestHandler) load() *pb.Load {
	d.mu.Lock()
	defer d.mu.Unlock()
	return &pb.Load{Running: uint32(d.running), Capacity: uint32(d.capacity)}
}

// Drain takes no new requests and waits until those in flight have ended.
func (d *RequestHandler) Drain(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	for {
		d.mu.Lock()
		running, finished := d.running, d.finished
		d.mu.Unlock()
		if running == 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-finished:
		}
	}
}

func (d *RequestHandler) refuse(a *answer, f *refusal) error {
	d.event(kernel.EventRequestRefused, a.request, f.detail)
	return a.send(&pb.RunResponse{Part: &pb.RunResponse_Refused{Refused: &pb.RunRefused{
		Reason: f.reason, Detail: f.detail, RetryAfterMs: fullRetry.Milliseconds(),
	}}})
}

func (d *RequestHandler) event(k kernel.EventKind, r *pb.RunRequest, detail string) {
	d.events.Add(kernel.Event{
		Kind: k, Organisation: id.Organisation(r.GetOrganisation()), Rollout: id.Rollout(r.GetRollout()),
		Request: id.Request(r.GetRequestId()), Detail: detail,
	})
}

// runOnce runs a request whose key has not been seen, or answers from what the first one left.
func (d *RequestHandler) runOnce(ctx context.Context, a *answer) error {
	k := onceKey{organisation: id.Organisation(a.request.GetOrganisation()), key: a.request.GetIdempotencyKey()}
	e, first := d.once.begin(k)
	if !first {
		return d.replay(a, e)
	}
	a.record = e
	// The request goes on without its caller, so that a later send of the key finds its outcome.
	deadline, _ := ctx.Deadline()
	ctx, stop := context.WithDeadline(context.WithoutCancel(ctx), deadline)
	defer stop()
	err := d.run(ctx, a)
	d.once.end(k, e)
	return err
}

func (d *RequestHandler) replay(a *answer, e *onceEntry) error {
	switch state, parts := e.read(); state {
	case onceDone:
		for _, p := range parts {
			if err := a.send(p); err != nil {
				return err
			}
		}
		return nil
	case onceRunning:
		return d.refuse(a, &refusal{
			reason: pb.RefusalReason_REFUSAL_REASON_IN_PROGRESS, detail: "a request of the same key is running",
		})
	default:
		return a.fail("an earlier request of the same key may have run")
	}
}

// run sends the request and passes the answer on. Before Send returns a connection, nothing has been sent.
func (d *RequestHandler) run(ctx context.Context, a *answer) error {
	r := a.request
	q, err := http.NewRequestWithContext(ctx, r.GetMethod(), d.url(r.GetPath()), bytes.NewReader(r.GetBody()))
	if err != nil {
		a.notRun()
		return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_UPSTREAM_DOWN, detail: err.Error()})
	}
	q.Header.Set("Content-Type", r.GetContentType())
	q.Header.Set("X-Request-Id", r.GetRequestId())
	q.Header.Set("X-Organisation", r.GetOrganisation())
	if r.GetIdempotencyKey() != "" {
		q.Header.Set("Idempotency-Key", r.GetIdempotencyKey())
	}
	d.event(kernel.EventRequestStarted, r, "")
	got, err := d.send(q, r.GetRepeatable())
	if err != nil && rpc.IsDialError(err) {
		a.notRun()
		return d.refuse(a, &refusal{reason: pb.RefusalReason_REFUSAL_REASON_UPSTREAM_DOWN, detail: "the upstream took no connection"})
	}
	if err != nil {
		return a.fail("no answer from the upstream")
	}
	defer got.Body.Close()
	return d.pass(a, got)
}

// pass checks that the answer is of this request and of the announced version, and passes it on.
func (d *RequestHandler) pass(a *answer, got *http.Response) error {
	if of := got.Header.Get("X-Request-Id"); of != a.request.GetRequestId() {
		return a.fail(fmt.Sprintf("the upstream's answer is of another request (%q)", of))
	}
	if v := got.Header.Get("X-Model-Version"); d.engine && v != string(a.version) && got.StatusCode == http.StatusOK {
		return a.fail(fmt.Sprintf("the engine served version %q, not %q", v, a.version))
	}
	if err := a.head(got); err != nil {
		return err
	}
	streaming := strings.HasPrefix(got.Header.Get("Content-Type"), "text/event-stream")
	buffer := make([]byte, readBytes)
	check := endCheck{}
	for {
		n, err := got.Body.Read(buffer)
		check.write(buffer[:n])
		if sendErr := a.data(buffer[:n]); sendErr != nil {
			return sendErr
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return a.fail("the upstream's answer broke off")
		}
	}
	if streaming && !check.ended() {
		return a.fail("the upstream's stream ended without its end mark")
	}
	return a.end(d.load())
}
