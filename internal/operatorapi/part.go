// Package operatorapi implements the API for operators: the service of proto/springrail/v1/operator.proto.
package operatorapi

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	rpcs "github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/router"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/status"
)

// Settings is the settings section [operator].
type Settings struct {
	Listen string `toml:"listen"`
	Cert   string `toml:"cert"`
	Key    string `toml:"key"`
	Plain  bool   `toml:"plain"`
	// AdminTokenSHA256 holds the SHA-256, in hex, of the administrators' tokens.
	AdminTokenSHA256 []string `toml:"admin_token_sha256"`
	// ChangeTimeout is how long a call waits until its change is read back from the log.
	ChangeTimeout time.Duration `toml:"change_timeout"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:9090"`)
	c.Require(s.Plain || s.Cert != "", "cert", "a file, as operators use TLS (or plain = true to go without)")
	c.Require(s.Plain || s.Key != "", "key", "a file, as operators use TLS (or plain = true to go without)")
	c.Require(!s.Plain || s.Cert+s.Key == "", "plain", "false where cert or key is set")
	_, err = s.adminTokens()
	c.Require(err == nil, "admin_token_sha256", "a list of SHA-256 sums, 64 hex digits each")
	c.Require(s.ChangeTimeout > 0 && s.ChangeTimeout <= time.Minute, "change_timeout", "a time above 0 and up to 1m")
}

func (s *Settings) adminTokens() ([][]byte, error) {
	var l [][]byte
	for _, t := range s.AdminTokenSHA256 {
		b, err := hex.DecodeString(t)
		if err != nil || len(b) != 32 {
			return nil, trace.BadParameter("not a SHA-256 sum")
		}
		l = append(l, b)
	}
	return l, nil
}

func init() {
	kernel.Register(kernel.Part{
		Name:     "operator API",
		Section:  "operator",
		Needs:    []string{rpc.PartName, platform.PartName, configlog.PartName, membership.PartName, router.PartName},
		Settings: func() kernel.Section { return &Settings{ChangeTimeout: 10 * time.Second} },
		New:      newPart,
	})
}

// Part is the server of the operator API.
type Part struct {
	settings *Settings
	listener net.Listener
	host     *kernel.Host
	service  *Service
	state    func() *config.State
}

func newPart(h *kernel.Host) (any, error) {
	s := h.Section("operator").(*Settings)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "operator.listen")
	}
	if !s.Plain {
		cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
		if err != nil {
			l.Close()
			return nil, trace.Wrap(err, "operator.cert and operator.key")
		}
		l = tls.NewListener(l, &tls.Config{
			MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, NextProtos: []string{"h2", "http/1.1"},
		})
	}
	c := h.Part(configlog.PartName).(*configlog.Part)
	m := h.Part(membership.PartName).(*membership.Part)
	f := h.Part(platform.PartName).(*platform.Client)
	r := h.Part(rpc.PartName).(*rpc.Server)
	v := &Service{
		state: c.State, configChanged: c.Changed, submit: c.Submit, changeTimeout: s.ChangeTimeout, events: h.Events, clock: h.Clock,
		statuses: m.Table.Statuses, statusChanged: m.Table.Changed, vms: m.List.Get, processClient: r.Process, now: time.Now,
		isOpen: h.Part(router.PartName).(*router.Router).IsOpen, ready: c.Ready,
		localEvents:  func(q *eventsRequest) []*event { return status.List(h, q) },
		readManifest: manifestReader(f),
	}
	return &Part{settings: s, listener: l, host: h, service: v, state: c.State}, nil
}

// Address returns the address of the listener.
func (p *Part) Address() string {
	return p.listener.Addr().String()
}

// Run serves until the context ends.
func (p *Part) Run(ctx context.Context) error {
	admins, err := p.settings.adminTokens()
	if err != nil {
		return trace.Wrap(err)
	}
	mux := http.NewServeMux()
	mux.Handle(rpcs.NewOperatorServiceHandler(p.service,
		connect.WithInterceptors(NewAuthInterceptor(admins, p.state)), connect.WithReadMaxBytes(maxMessage)))
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(p.settings.Plain)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, Protocols: protocols}
	return rpc.Serve(ctx, server, p.listener, nil)
}

// maxMessage is the maximum size of a request in bytes.
const maxMessage = 1 << 20

// toConnectError converts an error to a connect error with the code that clients handle it by.
func toConnectError(err error) error {
	var already *connect.Error
	switch {
	case err == nil || errors.As(err, &already):
		return err
	case errors.Is(err, ErrUnauthenticated):
		return connect.NewError(connect.CodeUnauthenticated, ErrUnauthenticated)
	case errors.Is(err, ErrNotFound):
		return connect.NewError(connect.CodeNotFound, ErrNotFound)
	case errors.Is(err, configlog.ErrOutcomeUnknown):
		return connect.NewError(connect.CodeDeadlineExceeded, errors.New(trace.UserMessage(err)))
	case errors.Is(err, configlog.ErrRejected):
		return connect.NewError(connect.CodeFailedPrecondition, errors.New(trace.UserMessage(err)))
	default:
		return connect.NewError(connect.CodeInternal, errors.New(trace.UserMessage(err)))
	}
}
