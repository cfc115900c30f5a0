// Package dispatch sends a caller's request to the agent of an upstream, the springrail process on the upstream's VM, and
// classifies the outcome: answered completely, proven not run, or unknown.
package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
)

var (
	// ErrNotRun is returned if the request has been proven not to have run.
	ErrNotRun = errors.New("the request was not run")
	// ErrUnknown is returned if the request may have run and there is no complete response.
	ErrUnknown = errors.New("the request may have run; its outcome is unknown")
	// ErrCallerGone is returned if writing the response to the caller failed.
	ErrCallerGone = errors.New("the caller stopped receiving the response")
)

// PartName is the name under which other parts declare a dependency on the dispatcher.
const PartName = "dispatch"

const (
	// maxAttempts bounds the upstreams that one request is sent to.
	maxAttempts = 4
	// retryBurst and retryRatio configure the token bucket for retries of all requests: one retry per ten requests,
	// and a burst of retryBurst after an idle period.
	retryBurst = 20
	retryRatio = 0.1
)

func init() {
	kernel.Register(kernel.Part{
		Name:  PartName,
		Needs: []string{rpc.PartName, router.PartName},
		New: func(h *kernel.Host) (any, error) {
			return New(h.Part(router.PartName).(*router.Router), h.Part(rpc.PartName).(*rpc.Server).Upstream, h.Events), nil
		},
	})
}

// Request is a caller's request.
type Request struct {
	Message *pb.RunRequest
	// Service is the pool of a plain service; empty for a model.
	Service id.Pool
	// Affinity is a hash of the prompt prefix. Requests with the same one are kept on one upstream; empty for none.
	Affinity string
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Sink receives a response as it arrives. An error ends the request with ErrCallerGone.
type Sink struct {
	Head func(h *pb.RunHead) error
	Data func(b []byte) error
}

// Dispatcher sends requests to upstreams and retries them within a budget.
type Dispatcher struct {
	router      *router.Router
	upstream    func(address string) springrailv1connect.UpstreamServiceClient
	events      *kernel.EventRing
	mu          sync.Mutex
	retryTokens float64
}

// New returns a dispatcher with a full retry budget.
func New(r *router.Router, upstream func(address string) springrailv1connect.UpstreamServiceClient,
	e *kernel.EventRing,
) *Dispatcher {
	return &Dispatcher{router: r, upstream: upstream, events: e, retryTokens: retryBurst}
}

// NotRun is the form of ErrNotRun that states when the caller may retry.
type NotRun struct {
	RetryAfter time.Duration
	Detail     string
}

// Error implements error.
func (n *NotRun) Error() string {
	return "the request was not run: " + n.Detail
}

// Is makes errors.Is(err, ErrNotRun) true.
func (n *NotRun) Is(target error) bool {
	return target == ErrNotRun
}

// defaultRetryAfter is the Retry-After of a request that was not run, if the upstream states none.
const defaultRetryAfter = time.Second

// Run sends a request to upstreams until it is answered or may not be retried. It returns nil once the sink has the
// complete response, otherwise ErrNotRun (as a *NotRun), ErrUnknown or ErrCallerGone.
func (d *Dispatcher) Run(ctx context.Context, r *Request, s Sink) error {
	ctx, stop := context.WithDeadline(ctx, r.Deadline)
	defer stop()
	d.earnRetry()
	tried := map[id.VM]bool{}
	lastErr := error(&NotRun{RetryAfter: defaultRetryAfter, Detail: "no upstream is ready for it"})
	if r.Message.GetIdempotencyKey() != "" && !r.Message.GetRepeatable() {
		lastErr = &NotRun{RetryAfter: defaultRetryAfter, Detail: "its key's home does not answer; an earlier send may have been run there"}
	}
	for range maxAttempts {
		c, ok := d.choose(r, tried)
		if !ok || (len(tried) > 0 && !d.spendRetry()) {
			return trace.Wrap(lastErr)
		}
		tried[c.VM] = true
		t := &attempt{dispatcher: d, request: r, candidate: c, sink: s}
		err := t.run(ctx)
		if err == nil || !d.mayRetry(ctx, r, t, err) {
			return trace.Wrap(err)
		}
		lastErr = err
	}
	return trace.Wrap(lastErr)
}

// mayRetry reports whether a failed request may be retried: it must be proven not to have run or be safe to run twice,
// and the caller must not have received any part of a response.
func (d *Dispatcher) mayRetry(ctx context.Context, r *Request, t *attempt, err error) bool {
	if t.answerStarted || ctx.Err() != nil || errors.Is(err, ErrCallerGone) {
		return false
	}
	return errors.Is(err, ErrNotRun) || r.Message.GetRepeatable()
}

// choose selects the upstream for an attempt. A request with an idempotency key goes only to the owner of the key,
// as it might run a second time elsewhere.
func (d *Dispatcher) choose(r *Request, tried map[id.VM]bool) (router.Candidate, bool) {
	m := r.Message
	var l []router.Candidate
	if r.Service != "" {
		l = d.router.ServiceCandidates(r.Service)
	} else {
		l = d.router.ModelCandidates(id.Organisation(m.GetOrganisation()), id.Model(m.GetModel()))
	}
	if m.GetIdempotencyKey() != "" && !m.GetRepeatable() {
		return d.chooseKeyOwner(r, l, tried)
	}
	return router.Choose(l, tried, r.Affinity, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// chooseKeyOwner returns the owner of the idempotency key if it is among the available upstreams.
func (d *Dispatcher) chooseKeyOwner(r *Request, l []router.Candidate, tried map[id.VM]bool) (router.Candidate, bool) {
	m := r.Message
	v, _ := d.router.KeyOwner(id.Organisation(m.GetOrganisation()), id.Model(m.GetModel()), r.Service, m.GetIdempotencyKey())
	for _, c := range l {
		if c.VM == v && !tried[v] {
			return c, true
		}
	}
	return router.Candidate{}, false
}

func (d *Dispatcher) earnRetry() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.retryTokens = min(retryBurst, d.retryTokens+retryRatio)
}

func (d *Dispatcher) spendRetry() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.retryTokens < 1 {
		return false
	}
	d.retryTokens--
	return true
}
