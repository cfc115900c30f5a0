// Package dispatch sends a caller's request to an upstream's agent and says how it ended: answered whole, proved not
// run, or outcome unknown.
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
	// ErrNotRun says that the request was proved not run.
	ErrNotRun = errors.New("the request was not run")
	// ErrUnknown says that the request may have run, and that no whole answer is there.
	ErrUnknown = errors.New("the request may have run; its outcome is unknown")
	// ErrCallerGone says that the caller took no more of the answer.
	ErrCallerGone = errors.New("the caller took no more of the answer")
)

// PartName is what other parts name in their needs.
const PartName = "dispatch"

const (
	// maxAttempts bounds the upstreams that one request is offered to.
	maxAttempts = 4
	// retryBurst and retryShare bound the retries of all requests: a tenth of the requests, and some more after a
	// quiet time.
	retryBurst = 20
	retryShare = 0.1
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

// Request is what a caller wants run.
type Request struct {
	Message *pb.RunRequest
	// Service is the pool of a plain service; empty for a model.
	Service id.Pool
	// Affinity keeps requests of one prompt prefix together; empty for none.
	Affinity string
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// Sink takes an answer as it comes. An error ends the request with ErrCallerGone.
type Sink struct {
	Head func(h *pb.RunHead) error
	Data func(b []byte) error
}

// Dispatcher sends requests.
type Dispatcher struct {
	router   *router.Router
	upstream func(address string) springrailv1connect.UpstreamServiceClient
	events   *kernel.EventRing
	mu       sync.Mutex
	budget   float64
}

// New makes a dispatcher.
func New(r *router.Router, upstream func(address string) springrailv1connect.UpstreamServiceClient,
	e *kernel.EventRing,
) *Dispatcher {
	return &Dispatcher{router: r, upstream: upstream, events: e, budget: retryBurst}
}

// NotRun is ErrNotRun with the time after which the caller may come back.
type NotRun struct {
	RetryAfter time.Duration
	Detail     string
}

// Error implements error.
func (n *NotRun) Error() string {
	return "the request was not run: " + n.Detail
}

// Is makes errors.Is find ErrNotRun.
func (n *NotRun) Is(target error) bool {
	return target == ErrNotRun
}

// defaultRetry is when a caller whose request was not run may come back.
const defaultRetry = time.Second

// Run runs a request. A nil error says that the sink has the whole answer. The other outcomes are ErrNotRun (a
// *NotRun), ErrUnknown and ErrCallerGone.
func (d *Dispatcher) Run(ctx context.Context, r *Request, s Sink) error {
	ctx, stop := context.WithDeadline(ctx, r.Deadline)
	defer stop()
	d.earn()
	tried := map[id.VM]bool{}
	last := error(&NotRun{RetryAfter: defaultRetry, Detail: "no upstream is ready for it"})
	if r.Message.GetIdempotencyKey() != "" && !r.Message.GetRepeatable() {
		last = &NotRun{RetryAfter: defaultRetry, Detail: "its key's home does not answer; an earlier send may have been run there"}
	}
	for range maxAttempts {
		c, ok := d.choose(r, tried)
		if !ok || (len(tried) > 0 && !d.spend()) {
			return trace.Wrap(last)
		}
		tried[c.VM] = true
		t := &try{dispatcher: d, request: r, candidate: c, sink: s}
		err := t.run(ctx)
		if err == nil || !d.mayRetry(ctx, r, t, err) {
			return trace.Wrap(err)
		}
		last = err
	}
	return trace.Wrap(last)
}

// mayRetry: only what was proved not run or does no harm twice, and of which the caller has seen nothing.
func (d *Dispatcher) mayRetry(ctx context.Context, r *Request, t *try, err error) bool {
	if t.started || ctx.Err() != nil || errors.Is(err, ErrCallerGone) {
		return false
	}
	return errors.Is(err, ErrNotRun) || r.Message.GetRepeatable()
}

// choose offers a request with an idempotency key to its home only: elsewhere it might run a second time.
func (d *Dispatcher) choose(r *Request, tried map[id.VM]bool) (router.Candidate, bool) {
	m := r.Message
	var l []router.Candidate
	if r.Service != "" {
		l = d.router.ServiceCandidates(r.Service)
	} else {
		l = d.router.ModelCandidates(id.Organisation(m.GetOrganisation()), id.Model(m.GetModel()))
	}
	if m.GetIdempotencyKey() != "" && !m.GetRepeatable() {
		return d.home(r, l, tried)
	}
	return router.Choose(l, tried, r.Affinity, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
}

// home returns a key's home if it is among the upstreams that answer.
func (d *Dispatcher) home(r *Request, l []router.Candidate, tried map[id.VM]bool) (router.Candidate, bool) {
	m := r.Message
	v, _ := d.router.KeyOwner(id.Organisation(m.GetOrganisation()), id.Model(m.GetModel()), r.Service, m.GetIdempotencyKey())
	for _, c := range l {
		if c.VM == v && !tried[v] {
			return c, true
		}
	}
	return router.Candidate{}, false
}

func (d *Dispatcher) earn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget = min(retryBurst, d.budget+retryShare)
}

func (d *Dispatcher) spend() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.budget < 1 {
		return false
	}
	d.budget--
	return true
}
