// Package status serves the health checks, the metrics and the events of a process.
package status

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is the name of this part in the Needs of other parts.
const PartName = "status"

// Settings is the settings section [status].
type Settings struct {
	Listen string `toml:"listen"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:7301"`)
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "status",
		Needs:    []string{rpc.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New:      newPart,
	})
}

// Part serves /livez, /readyz and /debug/vars on its own listener, and the process's events on the internal server.
type Part struct {
	host     *kernel.Host
	listener net.Listener
}

func newPart(h *kernel.Host) (any, error) {
	l, err := net.Listen("tcp", h.Section("status").(*Settings).Listen)
	if err != nil {
		return nil, trace.Wrap(err, "status.listen")
	}
	p := &Part{host: h, listener: l}
	h.Part(rpc.PartName).(*rpc.Server).Handle(springrailv1connect.NewProcessServiceHandler(p))
	return p, nil
}

// Run serves until the context ends.
func (p *Part) Run(ctx context.Context) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+kernel.MetricsPath, p.host.ServeMetrics)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok\n")) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if ok, reason := p.host.Ready(); !ok {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ok\n"))
	})
	return rpc.Serve(ctx, &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}, p.listener, nil)
}

// Events implements the process service: it returns the events that match the request.
func (p *Part) Events(_ context.Context, r *pb.EventsRequest) (*pb.EventsResponse, error) {
	return &pb.EventsResponse{Events: List(p.host, r)}, nil
}

// List returns the process's events that match the filters of a request. Events without an organisation concern the process
// itself, and are returned only if the request names no organisation.
func List(h *kernel.Host, r *pb.EventsRequest) []*pb.Event {
	events := h.Events.List(func(e kernel.Event) bool {
		matchesOrganisation := r.GetOrganisation() == "" || e.Organisation == id.Organisation(r.GetOrganisation())
		return matchesOrganisation && (r.GetRollout() == "" || e.Rollout == id.Rollout(r.GetRollout())) &&
			(r.GetRequestId() == "" || e.Request == id.Request(r.GetRequestId()))
	})
	var l []*pb.Event
	for _, e := range events {
		l = append(l, &pb.Event{
			At:      &pb.Timestamp{WallUnixMs: e.At.WallUnixMs, Logical: e.At.Logical},
			Process: string(h.Identity.VM), Domain: string(h.Identity.Domain), Kind: string(e.Kind),
			Organisation: string(e.Organisation), Rollout: string(e.Rollout), RequestId: string(e.Request),
			Detail: e.Detail, Sequence: e.Sequence,
		})
	}
	return l
}
