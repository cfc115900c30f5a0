package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// meanSignalsInterval is the mean time between two steps in which processes get signals around their stop, and
	// maxSignalled the maximum number of processes in one.
	meanSignalsInterval = 4 * time.Second
	maxSignalled        = 4
	// maxBeforeStop bounds the time from the first signal to the stop, and maxAfterStart that from the end of the start to
	// the last one.
	maxBeforeStop, maxAfterStart = 500 * time.Millisecond, 500 * time.Millisecond
	// maxSignalGap bounds the time between two signals; every second one follows at once.
	maxSignalGap = 800 * time.Millisecond
)

// reloadSignals are sent to a process that runs, and stopSignals to one that stops.
var (
	reloadSignals = []syscall.Signal{syscall.SIGHUP}
	stopSignals   = []syscall.Signal{
		syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGUSR2,
	}
)

// drawSignals draws when processes get signals around their stop, each with the time for its stop before the quiet tail.
func (p *planner) drawSignals(allowed []string) {
	const stop = maxBeforeStop + drainTime
	last := p.end - stop - maxSeriesDowntime
	if len(keepAllowed([]string{doSignals}, allowed)) == 0 {
		return
	}
	for at := p.between(0, 2*meanSignalsInterval); at < last; at += p.between(0, 2*meanSignalsInterval) {
		p.add(at, doSignals, stop+p.between(minSeriesDowntime, maxSeriesDowntime))
	}
}

// signalAroundStops stops up to maxSignalled processes and sends them signals in series before, during and after that.
func (w *Fleet) signalAroundStops(ctx context.Context, s Step) {
	r := rand.New(rand.NewPCG(s.Selector, s.Selector))
	var all sync.WaitGroup
	for range 1 + r.IntN(maxSignalled) {
		l := w.gateways
		if r.IntN(3) == 0 {
			l = w.stagers
		}
		p, seed := l[r.IntN(len(l))], r.Uint64()
		all.Go(func() {
			if !p.busy.TryLock() {
				return
			}
			defer p.busy.Unlock()
			p.stopUnderSignals(ctx, rand.New(rand.NewPCG(seed, seed)), s.Duration-drainTime-maxBeforeStop)
		})
	}
	all.Wait()
}

// stopUnderSignals stops the process and starts it again after the given time. Meanwhile it gets signals, its settings file
// changes, and the reader of its log exits and returns.
func (p *Process) stopUnderSignals(ctx context.Context, r *rand.Rand, down time.Duration) {
	settings, err := os.ReadFile(p.settingsFile)
	if err != nil {
		p.history.RecordViolation("start", p.name, "", "%v", err)
		return
	}
	p.sendSignals(ctx, r, settings, reloadSignals, time.Duration(r.Int64N(int64(maxBeforeStop))))
	end := p.history.BeginFault(p.name, spanTerminated)
	stopping, ended := context.WithCancel(ctx)
	// The first SIGTERM may come before the one of terminate.
	p.endExpected.Store(true)
	var sending sync.WaitGroup
	sending.Go(func() { p.sendSignals(stopping, r, settings, stopSignals, drainTime) })
	p.terminate(ctx)
	ended()
	sending.Wait()
	p.restart(ctx, down)
	end()
	if ctx.Err() == nil {
		p.sendSignals(ctx, r, settings, reloadSignals, time.Duration(r.Int64N(int64(maxAfterStart))))
	}
}

// sendSignals sends signals drawn from a list for a while, and then restores what it has changed.
func (p *Process) sendSignals(ctx context.Context, r *rand.Rand, settings []byte, l []syscall.Signal, length time.Duration) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	for ctx.Err() == nil {
		p.changeSettings(r, settings)
		switch r.IntN(4) {
		case 0:
			p.log.Detach()
		case 1:
			_ = p.log.Attach()
		}
		p.signal(l[r.IntN(len(l))])
		p.history.Count("signals around a stop")
		if r.IntN(2) == 0 {
			kernel.Pause(ctx, time.Duration(r.Int64N(int64(maxSignalGap))))
		}
	}
	p.writeSettings(settings)
	_ = p.log.Attach()
}

// changeSettings makes the settings file differ, invalid or missing, or restores it.
func (p *Process) changeSettings(r *rand.Rand, settings []byte) {
	switch r.IntN(4) {
	case 0:
		p.writeSettings(settings)
	case 1:
		changed := strings.Replace(string(settings), "drain = ", "log_level = \"warn\"\ndrain = ", 1)
		p.writeSettings([]byte(changed))
	case 2:
		p.writeSettings(settings[:r.IntN(len(settings))])
	case 3:
		_ = os.Remove(p.settingsFile)
	}
}

func (p *Process) writeSettings(text []byte) {
	_ = os.WriteFile(p.settingsFile, text, 0o600) //nolint:gosec // the path is the soak's own
}
