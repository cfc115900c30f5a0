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
	pingAfterIdle = 5 * time.Second
	pingTimeout   = 3 * time.Second
	maxStreams    = 4096
	idleTimeout   = 60 * time.Second
	// maxIdleConns is the maximum number of idle connections of a client to one peer.
	maxIdleConns = 4
)

// makeClients creates the HTTP clients: HTTP/2 for messages and records, HTTP/1.1 for chunks, so that each chunk transfer has
// its own connection. Records don't share connections with other messages, so that their traffic is counted separately.
func (s *Server) makeClients() {
	s.messageClient = s.newClient(traffic.Messages, true)
	s.recordClient = s.newClient(traffic.Records, true)
	s.chunkClient = s.newClient(traffic.Chunks, false)
}

// countingDialer returns a dialer whose connections are counted as the given kind of traffic.
func (s *Server) countingDialer(k traffic.Kind) traffic.Dialer {
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
		DialContext:         s.countingDialer(k),
		Protocols:           &http.Protocols{},
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: maxIdleConns,
		HTTP2:               &http.HTTP2Config{SendPingTimeout: pingAfterIdle, PingTimeout: pingTimeout},
		DisableCompression:  true,
		ReadBufferSize:      64 << 10,
		WriteBufferSize:     64 << 10,
		// A peer may send bytes without end.
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	t.Protocols.SetHTTP1(!http2)
	t.Protocols.SetHTTP2(http2 && s.certs != nil)
	t.Protocols.SetUnencryptedHTTP2(http2 && s.certs == nil)
	if s.certs != nil {
		t.TLSClientConfig = s.certs.clientConfig()
	}
	return &http.Client{Transport: stampingTransport{next: t, clock: s.clock}}
}

// stampingTransport sends the hybrid logical time with each request and advances the clock past that of the response.
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

// URL returns the base URL of the internal listener at an address: https, or http if the settings disable TLS.
func (s *Server) URL(address string) string {
	if s.certs != nil {
		return "https://" + address
	}
	return "http://" + address
}

// ChunkClient returns the HTTP client for chunk transfers.
func (s *Server) ChunkClient() *http.Client {
	return s.chunkClient
}

// peerClients holds the service clients of one peer.
type peerClients struct {
	config   springrailv1connect.ConfigServiceClient
	upstream springrailv1connect.UpstreamServiceClient
	swarm    springrailv1connect.SwarmServiceClient
	process  springrailv1connect.ProcessServiceClient
	records  springrailv1connect.RecordServiceClient
}

// maxPeers is the maximum number of cached peers. When it is reached, the whole cache is cleared.
const maxPeers = 8192

const (
	// maxMessageBytes bounds an answer of a peer; the longest are of records, among them a configuration of up to 4 MB.
	maxMessageBytes = 16 << 20
	// maxHeaderBytes bounds the header of an answer of a peer.
	maxHeaderBytes = 64 << 10
)

// clientsOf returns the cached service clients of an address. Compression is disabled, as messages are small and compressing
// them took an eighth of an agent's processor time.
func (s *Server) clientsOf(address string) *peerClients {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[address]; p != nil {
		return p
	}
	if s.peers == nil || len(s.peers) >= maxPeers {
		s.peers = map[string]*peerClients{}
	}
	plain := connect.WithClientOptions(connect.WithAcceptCompression("gzip", nil, nil), connect.WithReadMaxBytes(maxMessageBytes))
	url := s.URL(address)
	p := &peerClients{
		config:   springrailv1connect.NewConfigServiceClient(s.messageClient, url, plain),
		upstream: springrailv1connect.NewUpstreamServiceClient(s.messageClient, url, plain),
		swarm:    springrailv1connect.NewSwarmServiceClient(s.messageClient, url, plain),
		process:  springrailv1connect.NewProcessServiceClient(s.messageClient, url, plain),
		records:  springrailv1connect.NewRecordServiceClient(s.recordClient, url, plain),
	}
	s.peers[address] = p
	return p
}

// Config returns a client for the configuration service of an entry.
func (s *Server) Config(address string) springrailv1connect.ConfigServiceClient {
	return s.clientsOf(address).config
}

// Upstream returns a client for the upstream service of an agent.
func (s *Server) Upstream(address string) springrailv1connect.UpstreamServiceClient {
	return s.clientsOf(address).upstream
}

// Swarm returns a client for the swarm service of an agent.
func (s *Server) Swarm(address string) springrailv1connect.SwarmServiceClient {
	return s.clientsOf(address).swarm
}

// Process returns a client for the service with which a process reports its own events.
func (s *Server) Process(address string) springrailv1connect.ProcessServiceClient {
	return s.clientsOf(address).process
}

// Records returns a client for the service with which a process relays records of the platform's store.
func (s *Server) Records(address string) springrailv1connect.RecordServiceClient {
	return s.clientsOf(address).records
}

// IsDialError reports whether an error comes from opening the connection, so that no byte of a request was sent.
func IsDialError(err error) bool {
	var o *net.OpError
	return errors.As(err, &o) && o.Op == "dial"
}
