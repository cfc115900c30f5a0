package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/engine"
	"github.com/springrail/springrail/internal/follow"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/transfer"
)

// PartName is the name by which other parts depend on this one.
const PartName = "upstream"

// Settings is the section [upstream].
type Settings struct {
	URL string `toml:"url"`
	// Local is the loopback address on which the agent serves weights to the engine on the same VM.
	Local    string        `toml:"local"`
	Capacity int           `toml:"capacity"`
	Poll     time.Duration `toml:"poll"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	host, _, err := net.SplitHostPort(s.Local)
	c.Require(s.URL != "", "url", `the upstream's address such as "http://127.0.0.1:8000"`)
	c.Require(err == nil && net.ParseIP(host).IsLoopback(), "local", `a loopback address such as "127.0.0.1:7201"`)
	c.Require(s.Capacity >= 1, "capacity", "the number of requests at one time, 1 or more")
	c.Require(s.Poll >= 10*time.Millisecond, "poll", "a time of at least 10ms")
}

func init() {
	kernel.Register(kernel.Part{
		Name:    PartName,
		Section: "upstream",
		Needs:   []string{rpc.PartName, follow.PartName, transfer.PartName},
		Settings: func() kernel.Section {
			return &Settings{Capacity: 256, Poll: 200 * time.Millisecond}
		},
		New: newPart,
	})
}

// Part connects the agent with the upstream on its VM.
type Part struct {
	*RequestHandler
	activator *Activator
	settings  *Settings
	client    *engine.Engine
	follower  *follow.Follower
	manager   *transfer.Manager
	local     net.Listener
}

func newPart(h *kernel.Host) (any, error) {
	s := h.Section("upstream").(*Settings)
	f := h.Part(follow.PartName).(*follow.Follower)
	m := h.Part(transfer.PartName).(*transfer.Manager)
	l, err := net.Listen("tcp", s.Local)
	if err != nil {
		return nil, trace.Wrap(err, "upstream.local")
	}
	client := engine.New(s.URL, s.Capacity)
	live := NewLiveVersions()
	p := &Part{settings: s, client: client, follower: f, manager: m, local: l}
	p.RequestHandler = &RequestHandler{
		vm: h.Identity.VM, hasEngine: f.Self().GetEngine(), capacity: s.Capacity, live: live, idempotency: NewIdempotencyCache(time.Now),
		events: h.Events, send: client.Send, url: client.URL, running: map[*responseStream]context.CancelFunc{}, drained: make(chan struct{}),
	}
	a := NewActivator(live, h.Log, h.Events)
	a.engineState, a.load, a.replicas, a.config = client.State, client.Load, m.Replicas, f.State
	a.requestPermit, a.report, a.localURL = f.RequestSwapPermit, f.UpdateStatus, "http://"+l.Addr().String()
	p.activator = a
	r := h.Part(rpc.PartName).(*rpc.Server)
	r.Handle(springrailv1connect.NewUpstreamServiceHandler(p.RequestHandler))
	return p, nil
}

// Run monitors the upstream until the context ends.
func (p *Part) Run(ctx context.Context) error {
	go p.serveLocal(ctx)
	for ctx.Err() == nil {
		if p.hasEngine {
			p.activator.Reconcile(ctx)
		} else {
			p.checkHealth(ctx)
		}
		select {
		case <-ctx.Done():
		case t := <-p.activator.permitResults:
			p.activator.HandleTurn(ctx, t)
		case <-time.After(p.settings.Poll):
		}
	}
	return nil
}

// Drain announces to the entry VMs that this VM is leaving, and then waits for the requests in flight.
func (p *Part) Drain(ctx context.Context) {
	p.follower.UpdateStatus(func(s *pb.VMStatus) { s.Leaving = true })
	p.RequestHandler.Drain(ctx)
}

func (p *Part) checkHealth(ctx context.Context) {
	up := p.client.Healthy(ctx)
	if up != p.follower.Status().GetUpstreamUp() {
		p.follower.UpdateStatus(func(s *pb.VMStatus) { s.UpstreamUp = up })
	}
}

// serveLocal serves the manifest and the content of versions to the engine.
func (p *Part) serveLocal(ctx context.Context) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /local/{rollout}/manifest", func(w http.ResponseWriter, r *http.Request) {
		if h := p.manager.Holding(id.Rollout(r.PathValue("rollout"))); h != nil {
			_, _ = w.Write(h.Manifest())
			return
		}
		http.NotFound(w, r)
	})
	mux.HandleFunc("GET /local/{rollout}/content", func(w http.ResponseWriter, r *http.Request) {
		h := p.manager.Holding(id.Rollout(r.PathValue("rollout")))
		if h == nil || !h.Complete() {
			http.NotFound(w, r)
			return
		}
		_, _ = h.WriteTo(w)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	_ = rpc.Serve(ctx, server, p.local, nil)
}
