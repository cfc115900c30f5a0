package rpc

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/traffic"
)

const (
	dialTimeout   = 2 * time.Second
	headerTimeout = 10 * time.Second
	pingAfter     = 5 * time.Second
	pingTimeout   = 3 * time.Second
	maxStreams    = 4096
	idleTimeout   = 60 * time.Second
	// bulkIdle bounds idle chunk connections to one peer.
	bulkIdle = 4
)

// makeClients makes the client side: HTTP/2 for messages, HTTP/1.1 for chunks so that each has a connection of its own.
// Records have connections of their own, so that they are counted apart.
func (s *Server) makeClients() {
	s.client = s.newClient(traffic.Messages, true)
	s.records = s.newClient(traffic.Records, true)
	s.bulk = s.newClient(traffic.Chunks, false)
}

// dialCounted opens a connection for a kind of traffic.
func (s *Server) dialCounted(k traffic.Kind) traffic.Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		n, err := s.dial(ctx, network, address)
		if c := s.counter.Load(); c != nil && err == nil {
			n = c.CountConn(k, address, n)
		}
		return n, err
	}
}

func (s *Server) newClient(k traffic.Kind, http2 bool) *http.Client {
	t := &http.Transport{
		DialContext:         s.dialCounted(k),
		Protocols:           &http.Protocols{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: bulkIdle,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DisableCompression:  true,
		ReadBufferSize:      64 << 10,
		WriteBufferSize:     64 << 10,
	}
	t.Protocols.SetHTTP1(!http2)
	t.Protocols.SetHTTP2(http2 && s.keys != nil)
	t.Protocols.SetUnencryptedHTTP2(http2 && s.keys == nil)
	if s.keys != nil {
		t.TLSClientConfig = s.keys.client()
	}
	return &http.Client{Transport: stampingTransport{next: t, clock: s.clock}}
}

// stampingTransport puts the process's time on requests and merges that of answers.
type stampingTransport struct {
	next  http.RoundTripper
	clock *kernel.Clock
}

// RoundTrip implements http.RoundTripper.
func (t stampingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(kernel.TimeHeader, t.clock.Now().String())
	a, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if seen, err := kernel.ParseTime(a.Header.Get(kernel.TimeHeader)); err == nil {
		t.clock.Observe(seen)
	}
	return a, nil
}

// URL returns the base URL of a process's internal listener.
func (s *Server) URL(address string) string {
	if s.keys != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Bulk is the client for chunks.
func (s *Server) Bulk() *http.Client {
	return s.bulk
}

// peer is what one address is talked to with.
type peer struct {
	config   springrailv1connect.ConfigServiceClient
	upstream springrailv1connect.UpstreamServiceClient
	swarm    springrailv1connect.SwarmServiceClient
	process  springrailv1connect.ProcessServiceClient
	records  springrailv1connect.RecordServiceClient
}

// maxPeers bounds the clients that are kept; beyond it all are made anew.
const maxPeers = 8192

// peer returns the clients of an address. Messages are small, so they go uncompressed: compressing them cost an
// eighth of an agent's processor time.
func (s *Server) peer(address string) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil {
		return p
	}
	if s.peers == nil || len(s.peers) >= maxPeers {
		s.peers = map[string]*peer{}
	}
	plain := connect.WithAcceptCompression("gzip", nil, nil)
	url := s.URL(address)
	p := &peer{
		config:   springrailv1connect.NewConfigServiceClient(s.client, url, plain),
		upstream: springrailv1connect.NewUpstreamServiceClient(s.client, url, plain),
		swarm:    springrailv1connect.NewSwarmServiceClient(s.client, url, plain),
		process:  springrailv1connect.NewProcessServiceClient(s.client, url, plain),
		records:  springrailv1connect.NewRecordServiceClient(s.records, url, plain),
	}
	s.peers[address] = p
	return p
}

// Config returns a client of an entry's configuration service.
func (s *Server) Config(address string) springrailv1connect.ConfigServiceClient {
	return s.peer(address).config
}

// Upstream returns a client of an agent's upstream service.
func (s *Server) Upstream(address string) springrailv1connect.UpstreamServiceClient {
	return s.peer(address).upstream
}

// Swarm returns a client of an agent's swarm service.
func (s *Server) Swarm(address string) springrailv1connect.SwarmServiceClient {
	return s.peer(address).swarm
}

// Process returns a client of any process's service about itself.
func (s *Server) Process(address string) springrailv1connect.ProcessServiceClient {
	return s.peer(address).process
}

// Records returns a client of a process's service that hands the platform's records on.
func (s *Server) Records(address string) springrailv1connect.RecordServiceClient {
	return s.peer(address).records
}

// NeverConnected says that an error is from making the connection, so that no byte of a request was sent.
func NeverConnected(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
