package soak

import (
	"context"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/standin"
)

const (
	// meanCorruptInterval is the mean time between two swaps in which staged chunks turn corrupt and a stager is stopped, and
	// minCorruptStop and maxCorruptStop bound the stop.
	meanCorruptInterval            = 6 * time.Second
	minCorruptStop, maxCorruptStop = 200 * time.Millisecond, maxFaultDuration
	// maxStopDelay bounds the time from the read of a chunk to the stop, beyond the longest wait before an order to load.
	maxStopDelay = time.Second
	// maxCorruptStops is the largest number of stops within one swap.
	maxCorruptStops = 3
)

// corruptInSwap publishes a version. While a stager verifies or loads it, staged chunks that have been read turn corrupt, and
// the stager is stopped at a drawn moment; this may happen again as soon as it runs on.
func (w *Fleet) corruptInSwap(ctx context.Context, s Step) {
	i := int(s.Selector>>8) % len(w.stagers)
	p, u := w.stagers[i], w.engines[i]
	if !p.busy.TryLock() {
		return
	}
	defer p.busy.Unlock()
	w.publishVersion()
	ctx, stop := context.WithTimeout(ctx, swapTime)
	defer stop()
	for n := range 1 + int(s.Selector>>16)%maxCorruptStops {
		draw := s.Selector >> (24 + 10*n)
		read, m := u.waitForChunkRead(ctx, int(draw)%chunks)
		if !read {
			return
		}
		var delay time.Duration
		if draw>>4%2 == 0 {
			delay = time.Duration(draw>>5%32) * maxStopDelay / 32
		}
		kernel.Pause(ctx, delay)
		for c := range 1 + int(draw)%chunks {
			if m.CorruptStaged(c) {
				w.history.Count("staged chunks that turned corrupt")
			}
		}
		if ctx.Err() != nil {
			return
		}
		w.history.Count(doCorruptInSwap)
		p.Pause(ctx, s.Duration)
	}
}

// waitForChunkRead waits until a staged chunk has been read, and returns the upstream's process that it was read from. It
// returns false if the context ends before.
func (s *Slot) waitForChunkRead(ctx context.Context, n int) (bool, *standin.ModelServer) {
	var once sync.Once
	read := make(chan *standin.ModelServer, 1)
	s.setOnChunkRead(func(m *standin.ModelServer, chunk int) {
		if chunk == n {
			once.Do(func() { read <- m })
		}
	})
	defer s.setOnChunkRead(nil)
	select {
	case <-ctx.Done():
		return false, nil
	case m := <-read:
		return true, m
	}
}

// setOnChunkRead sets what is called after each read of a staged chunk; nil for nothing.
func (s *Slot) setOnChunkRead(call func(m *standin.ModelServer, chunk int)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onChunkRead = call
}

// chunkRead is called after a staged chunk has been read from an upstream's process.
func (s *Slot) chunkRead(m *standin.ModelServer, chunk int) {
	s.mu.Lock()
	call := s.onChunkRead
	s.mu.Unlock()
	if call != nil {
		call(m, chunk)
	}
}
