package rpc

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/httpconn"
	"github.com/springrail/springrail/internal/kernel"
)

const (
	// flushTimeout is how long a stopping server writes the responses that its handlers have finished. HTTP/2 buffers them,
	// so that closing a connection immediately would cut off their ends. Long polls are ended after this time.
	flushTimeout = 250 * time.Millisecond
	// newConnTimeout is how long after the end of a server a connection that was accepted before may send its first request.
	newConnTimeout = 200 * time.Millisecond
	// stopPollInterval is how often a stopping server checks its connections.
	stopPollInterval = 5 * time.Millisecond
)

// Serve runs an HTTP server until the context ends, with TLS if k is not nil. It then flushes finished responses for up to
// flushTimeout and closes the remaining connections. A server of HTTP/1 answers all requests that it reads until then.
func Serve(ctx context.Context, server *http.Server, l net.Listener, k *certStore) error {
	shutDown := server.Shutdown
	if k == nil && server.Protocols == nil {
		shutDown = prepareShutdown(ctx, server, l)
	}
	closed := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(closed)
		flushContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
		defer cancel()
		_ = shutDown(flushContext)
		server.Close()
	})
	defer func() {
		if !stop() {
			<-closed
		}
	}()
	var err error
	if k != nil {
		server.TLSConfig = k.serverConfig()
		err = server.ServeTLS(l, "", "")
	} else {
		err = server.Serve(l)
	}
	if ctx.Err() != nil {
		return nil
	}
	return trace.Wrap(err)
}

// prepareShutdown makes a server of HTTP/1 close the connections of its answers once the context has ended. It returns a
// function that ends the server's other connections.
func prepareShutdown(ctx context.Context, server *http.Server, l net.Listener) func(ctx context.Context) error {
	conns, next := httpconn.New(), server.Handler
	server.ConnState = conns.SetState
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if ctx.Err() != nil {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
	return func(ctx context.Context) error {
		l.Close()
		newConnContext, cancel := context.WithTimeout(ctx, newConnTimeout)
		defer cancel()
		for newConnContext.Err() == nil && conns.Count(http.StateNew) > 0 {
			kernel.Pause(newConnContext, stopPollInterval)
		}
		for ctx.Err() == nil && !conns.EndIdle() {
			kernel.Pause(ctx, stopPollInterval)
		}
		return ctx.Err()
	}
}
