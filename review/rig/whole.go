package main

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// freezeTime is how long a machine stands still, the site's longest.
	freezeTime = 3500 * time.Millisecond
	// rottenPieces is the site's largest share of the pieces at a server that turn bad, 0.06, rounded down.
	rottenPieces = 5
	// rotAfter is the time from the comparison of the last piece to when pieces turn bad, and freezeAfter that to the
	// beginning of the freeze. An order that comes before leaves the server alone.
	rotAfter, freezeAfter = 50 * time.Millisecond, 100 * time.Millisecond
)

// playWhole names a version, turns pieces bad at a server whose stager has just compared them, and stops that stager
// before it sends the order to load.
func playWhole(ctx context.Context, w *world, trouble bool) (string, error) {
	w.putConfig()
	if err := errors.Join(w.addEngines(0, 0, 1, 1), w.addPlainServers(0, 1), w.addProcesses(0, 1)); err != nil {
		return "", err
	}
	if err := w.waitReady(ctx); err != nil {
		return "", err
	}
	c := newClients(w, 15)
	sending, stop := context.WithCancel(ctx)
	defer stop()
	go c.run(sending)
	pause(ctx, 6*time.Second)
	var struck atomic.Bool
	if trouble {
		for i := range w.engines {
			w.freezeAfterCheck(ctx, i, &struck)
		}
	}
	w.publish(2)
	pause(ctx, 25*time.Second)
	stop()
	pause(ctx, 2*time.Second)
	if trouble && !struck.Load() {
		return "", errors.New("no stager left time between its comparison and its order")
	}
	bad, servers := 0, ""
	for _, e := range w.engines {
		if n := e.badRunCount(); n > 0 {
			bad += n
			servers += e.id + " "
		}
		if e.servedVersion() != 2 {
			return "", fmt.Errorf("%s does not serve version 2", e.id)
		}
	}
	got := 0
	right := weightsOf(func(n int) []byte { return chunkOf(2, n) })
	for _, o := range c.between(time.Time{}, time.Now()) {
		if o.served && o.version == 2 && o.weights != right {
			got++
		}
	}
	w.record.add("%d requests ran with weights that are forbidden; %d clients got whole answers made with them", bad, got)
	if bad == 0 {
		return "", nil
	}
	return fmt.Sprintf("WHOLE: %d requests ran at %swith pieces that had been bad for over 3 s when they were taken; %d clients got whole answers of them", bad, servers, got), nil
}

// freezeAfterCheck strikes the first server whose stager has compared all pieces and not sent its order yet.
func (w *world) freezeAfterCheck(ctx context.Context, i int, struck *atomic.Bool) {
	e, p := w.engines[i], w.stagers[i]
	var ordered atomic.Bool
	e.onOrder = func() { ordered.Store(true) }
	e.onVerified = func() {
		pause(ctx, rotAfter)
		if ordered.Load() || struck.Swap(true) {
			return
		}
		e.spoil(rottenPieces)
		pause(ctx, freezeAfter-rotAfter)
		w.record.add("%s stands still", p.name)
		p.signal(syscall.SIGSTOP)
		pause(ctx, freezeTime)
		p.signal(syscall.SIGCONT)
		w.record.add("%s wakes", p.name)
	}
}
