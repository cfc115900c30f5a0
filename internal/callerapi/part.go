// Package callerapi serves the HTTP API for callers: chat completions with JSON and server-sent events, the list of
// models, and routes to plain services.
package callerapi

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"expvar"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/kataras/iris/v12"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/dispatch"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/limits"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
)

// Settings is the configuration section [caller].
type Settings struct {
	Listen string `toml:"listen"`
	Cert   string `toml:"cert"`
	Key    string `toml:"key"`
	Plain  bool   `toml:"plain"`
	// Timeout is the deadline of a request that states none, and the maximum for others.
	Timeout time.Duration `toml:"timeout"`
	// BodyBytes bounds the size of a request's body.
	BodyBytes int `toml:"body_bytes"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:8080"`)
	c.Require(s.Plain || s.Cert != "", "cert", "a file, as callers use TLS (or plain = true to go without)")
	c.Require(s.Plain || s.Key != "", "key", "a file, as callers use TLS (or plain = true to go without)")
	c.Require(!s.Plain || s.Cert+s.Key == "", "plain", "false where cert or key is set")
	c.Require(s.Timeout > 0 && s.Timeout <= time.Hour, "timeout", "a time above 0 and up to 1h")
	c.Require(s.BodyBytes > 0, "body_bytes", "a whole number of bytes above 0")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     "caller API",
		Section:  "caller",
		Needs:    []string{configlog.PartName, router.PartName, limits.PartName, dispatch.PartName},
		Settings: func() kernel.Section { return &Settings{Timeout: 2 * time.Minute, BodyBytes: 4 << 20} },
		New:      newPart,
	})
}

// Part is the HTTP server for callers.
type Part struct {
	settings *Settings
	listener net.Listener
	host     *kernel.Host
	state    func() *config.State
	ready    func() bool
	router   *router.Router
	limits   *limits.Limiter
	dispatch *dispatch.Dispatcher
	inFlight *inFlightRequests
	metrics  *metrics
}

func newPart(h *kernel.Host) (any, error) {
	s := h.Section("caller").(*Settings)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "caller.listen")
	}
	if !s.Plain {
		cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			l.Close()
			return nil, trace.Wrap(err, "caller.cert and caller.key")
		}
		l = tls.NewListener(l, &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{cert}})
	}
	c := h.Part(configlog.PartName).(*configlog.Part)
	counters := newMetrics()
	h.Metric("requests", counters.outcomes)
	h.Metric("request_ms", expvar.Func(counters.quantiles))
	p := &Part{
		metrics:  counters,
		settings: s, listener: l, host: h, state: c.State, ready: c.Ready,
		router:   h.Part(router.PartName).(*router.Router),
		limits:   h.Part(limits.PartName).(*limits.Limiter),
		dispatch: h.Part(dispatch.PartName).(*dispatch.Dispatcher),
	}
	p.inFlight = newInFlightRequests(h.Log, p.timeout)
	return p, nil
}

// Address returns the address that the server listens on.
func (p *Part) Address() string {
	return p.listener.Addr().String()
}

// Run serves callers until the context ends.
func (p *Part) Run(ctx context.Context) error {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Get("/v1/models", p.models)
	app.Post("/v1/chat/completions", p.chat)
	app.Any("/svc/{service:string}/{path:path}", p.service)
	if err := app.Build(); err != nil {
		return trace.Wrap(err)
	}
	server := &http.Server{Handler: p.inFlight.wrap(app), ReadHeaderTimeout: 10 * time.Second, IdleTimeout: time.Minute}
	return rpc.Serve(ctx, server, p.listener, nil)
}

// Drain refuses new requests, so that the load balancer uses other entries, and waits for the requests in flight. Each of
// them has an answer before the context ends.
func (p *Part) Drain(ctx context.Context) {
	p.inFlight.drain(ctx)
}

// NotReady implements kernel.ReadinessReporter.
func (p *Part) NotReady() string {
	if p.inFlight.isLeaving() {
		return "leaving"
	}
	return ""
}

// organisation returns the organisation that the caller's API key belongs to, or nil.
func (p *Part) organisation(r *http.Request) *pb.Organisation {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	for _, o := range p.state().Organisations() {
		for _, h := range o.GetCallerKeySha256() {
			if string(h) == string(sum[:]) {
				return o
			}
		}
	}
	return nil
}
