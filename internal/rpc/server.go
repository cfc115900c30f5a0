package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/dial"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/traffic"
)

// PartName is what other parts name in their needs.
const PartName = "internal server"

// Settings is the section [internal].
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
	const why = "a file, as messages between processes use TLS (or plain = true to go without)"
	c.Require(s.Plain || s.Cert != "", "cert", why)
	c.Require(s.Plain || s.Key != "", "key", why)
	c.Require(s.Plain || s.CA != "", "ca", why)
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

// Server is the listener for messages between processes; parts add their handlers while they are made.
type Server struct {
	listener net.Listener
	keys     *keys
	clock    *kernel.Clock
	mux      *http.ServeMux
	dial     traffic.Dialer
	// counter counts what goes over the connections that this process opens; nil counts nothing.
	counter atomic.Pointer[traffic.Counter]
	// client is for messages, records for the platform's records, and bulk for chunks.
	client, records, bulk *http.Client

	mu    sync.Mutex
	peers map[string]*peer
}

// New opens the listener. Connections are taken once Run runs.
func New(s *Settings, c *kernel.Clock) (*Server, error) {
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "internal.listen")
	}
	r := &Server{listener: l, clock: c, mux: http.NewServeMux(), dial: dial.New(dialTimeout).DialContext}
	if !s.Plain {
		if r.keys, err = newKeys(s.Cert, s.Key, s.CA); err != nil {
			l.Close()
			return nil, err
		}
	}
	r.makeClients()
	return r, nil
}

// NewWithDialer makes a plain server over a listener and a dialer of the caller's, for experiments with shaped links.
func NewWithDialer(l net.Listener, dial func(ctx context.Context, network, address string) (net.Conn, error),
	c *kernel.Clock,
) *Server {
	r := &Server{listener: l, clock: c, mux: http.NewServeMux(), dial: dial}
	r.makeClients()
	return r
}

// CountTraffic has what is sent to other processes counted from now on.
func (s *Server) CountTraffic(c *traffic.Counter) {
	s.counter.Store(c)
}

// Handle adds a handler; all messages to it carry the sender's time.
func (s *Server) Handle(path string, h http.Handler) {
	s.mux.Handle(path, s.stamp(h))
}

// Address is the address that the listener took.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until the context ends.
func (s *Server) Run(ctx context.Context) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout, Protocols: protocols(s.keys == nil)}
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	return Serve(ctx, server, s.listener, s.keys)
}

// lastWrites is how long a server that stops goes on writing what its handlers have handed over. HTTP/2 buffers it, so
// that a connection that is closed at once loses the ends of answers; long polls end with it.
const lastWrites = 250 * time.Millisecond

// Serve runs an HTTP server until the context ends, lets out what handlers have written, and closes what is left.
func Serve(ctx context.Context, server *http.Server, l net.Listener, k *keys) error {
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		last, end := context.WithTimeout(context.WithoutCancel(ctx), lastWrites)
		defer end()
		if server.Shutdown(last) != nil {
			server.Close()
		}
	})
	defer func() {
		if !stop() {
			<-closed
		}
	}()
	var err error
	if k != nil {
		server.TLSConfig = k.server()
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if errors.Is(err, http.ErrServerClosed) && ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// stamp merges the sender's time into the clock and answers with the process's own.
func (s *Server) stamp(h http.Handler) http.Handler {
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
