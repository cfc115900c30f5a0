package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"github.com/springrail/springrail/internal/standin"
)

// StoreEndpoint is one process's way to the store.
type StoreEndpoint struct {
	*standin.KeyedEndpoint
	link *Link
	// lossy is how many of ten answers are lost after the call took effect.
	lossy atomic.Int32
	calls atomic.Int32
}

// openDoor serves a door on an address until the context ends.
func openDoor(ctx context.Context, s *standin.KeyedStore, address string) (*StoreEndpoint, error) {
	l, err := listenLink(address)
	if err != nil {
		return nil, err
	}
	d := &StoreEndpoint{KeyedEndpoint: s.NewEndpoint(), link: l}
	go func() { _ = standin.ServeOn(ctx, l, d) }()
	return d, nil
}

// tenth is what lossy counts in.
const tenth = 10

// ServeHTTP implements http.Handler.
func (d *StoreEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := d.calls.Add(1)
	if n%tenth >= d.lossy.Load() {
		d.KeyedEndpoint.ServeHTTP(w, r)
		return
	}
	d.KeyedEndpoint.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}
