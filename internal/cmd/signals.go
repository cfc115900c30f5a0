package cmd

import (
	"context"
	"expvar"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
)

// Signals receives the signals of a server process and logs each of them.
type Signals struct {
	stops, reloads chan os.Signal
	// Received counts signals by name.
	Received *expvar.Map
}

// NewSignals returns a receiver that does not receive anything yet. From then on a write to a standard output or standard
// error that nobody reads fails, as on any other file, instead of ending the process with SIGPIPE.
func NewSignals() *Signals {
	signal.Ignore(syscall.SIGPIPE)
	return &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), Received: new(expvar.Map)}
}

// WatchStops returns a context that ends with the given one or at the first SIGTERM or SIGINT. Later ones change nothing.
func (s *Signals) WatchStops(ctx context.Context, l *log.Logger) context.Context {
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	stopping, stop := context.WithCancel(ctx)
	go s.watch(ctx, l, s.stops, stop)
	return stopping
}

// WatchReloads calls reload after each SIGHUP until the context ends. Signals that arrive during a call cause one more.
// SIGHUP is never given back its default action, which ends the process.
func (s *Signals) WatchReloads(ctx context.Context, l *log.Logger, reload func()) {
	signal.Notify(s.reloads, syscall.SIGHUP)
	s.watch(ctx, l, s.reloads, reload)
}

func (s *Signals) watch(ctx context.Context, l *log.Logger, c <-chan os.Signal, act func()) {
	for {
		select {
		case <-ctx.Done():
			return
		case received := <-c:
			s.Received.Add(received.String(), 1)
			l.Info().Str("signal", received.String()).Msg("signal received")
			act()
		}
	}
}
