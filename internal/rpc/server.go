package rpc

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/dial"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/traffic"
)

// PartName is the name of this part in the Needs of other parts.
const PartName = "internal server"

// Settings is the settings section [internal].
type Settings struct {
	Listen string `toml:"listen"`
	Cert   string `toml:"cert"`
	Key    string `toml:"key"`
	CA     string `toml:"ca"`
	Plain  bool   `toml:"plain"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:7101"`)
	const want = "a file, as messages between processes use TLS (or plain = true to go without)"
	c.Require(s.Plain || s.Cert != "", "cert", want)
	c.Require(s.Plain || s.Key != "", "key", want)
	c.Require(s.Plain || s.CA != "", "ca", want)
	c.Require(!s.Plain || s.Cert+s.Key+s.CA == "", "plain", "false where cert, key or ca is set")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "internal",
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			return New(h.Section("internal").(*Settings), h.Clock)
		},
	})
}

// Server is the server and the client for messages between processes. Parts register their handlers when they are created.
type Server struct {
	listener net.Listener
	certs    *certStore
	clock    *kernel.Clock
	mux      *http.ServeMux
	dial     traffic.Dialer
	// counter counts the traffic on connections that this process opens. If it is nil, nothing is counted.
	counter atomic.Pointer[traffic.Counter]
	// messageClient carries messages, recordClient the records of the platform's store, and chunkClient chunks.
	messageClient, recordClient, chunkClient *http.Client

	mu    sync.Mutex
	peers map[string]*peerClients
}

// New opens the listener. Run accepts connections on it.
func New(s *Settings, c *kernel.Clock) (*Server, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "internal.listen")
	}
	r := &Server{listener: l, clock: c, mux: http.NewServeMux(), dial: dial.New(dialTimeout).DialContext}
	if !s.Plain {
		if r.certs, err = newCertStore(s.Cert, s.Key, s.CA); err != nil {
			l.Close()
			return nil, err
		}
	}
	r.makeClients()
	return r, nil
}

// NewWithDialer returns a server without TLS on the given listener and dialer, which lets experiments shape the network links.
func NewWithDialer(l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error),
	c *kernel.Clock,
) *Server {
	r := &Server{listener: l, clock: c, mux: http.NewServeMux(), dial: dial}
	r.makeClients()
	return r
}

// CountTraffic sets the counter for the connections that are opened from now on.
func (s *Server) CountTraffic(c *traffic.Counter) {
	s.counter.Store(c)
}

// Handle registers an HTTP handler. The server exchanges hybrid logical times with its clients.
func (s *Server) Handle(path string, h http.Handler) {
	s.mux.Handle(path, s.exchangeTime(h))
}

// Address returns the address of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout, Protocols: protocols(s.certs == nil)}
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	return Serve(ctx, server, s.listener, s.certs)
}

// exchangeTime wraps a handler: it advances the clock past the sender's time and adds the process's time to the response.
func (s *Server) exchangeTime(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t, err := kernel.ParseTime(r.Header.Get(kernel.TimeHeader)); err == nil {
			s.clock.Observe(t)
		}
		w.Header().Set(kernel.TimeHeader, s.clock.Now().String())
		h.ServeHTTP(w, r)
	})
}

func protocols(plain bool) *http.Protocols {
	p := &http.Protocols{}
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(plain)
	return p
}
