// Package standin simulates the external systems of springrail for tests, the demo and experiments: the platform's log,
// VM list, weight store and origin, model engines and plain services. Faults are injected over HTTP, and counters record
// what tests verify.
package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// Serve serves a handler on an address until the context ends.
func Serve(ctx context.Context, listen string, h http.Handler) error {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return trace.Wrap(err)
	}
	return ServeOn(ctx, l, h)
}

// ServeOn serves a handler on a listener until the context ends.
func ServeOn(ctx context.Context, l net.Listener, h http.Handler) error {
	s := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	stop := context.AfterFunc(ctx, func() { s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return trace.Wrap(err)
	}
	return nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// handleFaults serves GET and PUT /faults for a struct of faults.
func handleFaults(mux *http.ServeMux, get func() any, set func(d *json.Decoder) error) {
	mux.HandleFunc("GET /faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, get()) })
	mux.HandleFunc("PUT /faults", func(w http.ResponseWriter, r *http.Request) {
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := set(d); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, get())
	})
}

// abortConnection aborts the handler and its connection without completing the answer.
func abortConnection() {
	panic(http.ErrAbortHandler)
}
