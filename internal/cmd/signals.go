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

// NewSignals takes the default action, which ends the process, from SIGHUP and SIGPIPE until the process has ended. SIGHUP is
// queued for WatchReloads. A write to a standard output or standard error that nobody reads fails, as on any other file.
func NewSignals() *Signals {
	s := &Signals{stops: make(chan os.Signal, 1), reloads: make(chan os.Signal, 1), Received: new(expvar.Map)}
	signal.Notify(s.reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	return s
}

// WatchStops returns a context that ends with the given one or at the first SIGTERM or SIGINT. Later ones change nothing. Before
// the call both end the process, which holds no requests yet.
func (s *Signals) WatchStops(ctx context.Context, l *log.Logger) context.Context {
	signal.Notify(s.stops, syscall.SIGTERM, syscall.SIGINT)
	stopping, stop := context.WithCancel(ctx)
	go s.watch(ctx, l, s.stops, stop)
	return stopping
}

// WatchReloads calls reload after each SIGHUP until the context ends, also for one that has arrived before. Signals that
// arrive during a call cause one more.
func (s *Signals) WatchReloads(ctx context.Context, l *log.Logger, reload func()) {
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
