package soak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"

	"github.com/springrail/springrail/internal/standin"
)

// StoreEndpoint is the address at which one process reaches the store. Its faults affect only that process.
type StoreEndpoint struct {
	*standin.KeyedEndpoint
	link *Link
	// lostPerTen is how many of ten answers are lost after the call took effect.
	lostPerTen atomic.Int32
	calls      atomic.Int32
}

// serveStoreEndpoint serves an endpoint of the store on an address until the context ends.
func serveStoreEndpoint(ctx context.Context, s *standin.KeyedStore, address string) (*StoreEndpoint, error) {
	l, err := listenLink(address)
	if err != nil {
		return nil, err
	}
	d := &StoreEndpoint{KeyedEndpoint: s.NewEndpoint(), link: l}
	go func() { _ = standin.ServeOn(ctx, l, d) }()
	return d, nil
}

// lossWindow is the number of calls that lostPerTen refers to.
const lossWindow = 10

// ServeHTTP implements http.Handler.
func (d *StoreEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	n := d.calls.Add(1)
	if n%lossWindow >= d.lostPerTen.Load() {
		d.KeyedEndpoint.ServeHTTP(w, r)
		return
	}
	d.KeyedEndpoint.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}
