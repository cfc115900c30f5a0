package soak

import (
	"context"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/kernel"
)

const (
	// stopSeriesShare is the share of runs with series of stops, and minSeriesInterval and maxSeriesInterval bound the time
	// between two.
	stopSeriesShare                      = 0.7
	minSeriesInterval, maxSeriesInterval = 6 * time.Second, 20 * time.Second
	// minSeriesDowntime and maxSeriesDowntime bound the time until a stopped gateway starts again.
	minSeriesDowntime, maxSeriesDowntime = 200 * time.Millisecond, 3 * time.Second
	// maxSeriesDelay bounds the time between the first and the last stop of a series.
	maxSeriesDelay = 4 * time.Second
	// seriesActs is the number of operations beside a series, and seriesOutageShare the share of series beside an outage of
	// the store.
	seriesActs        = 2
	seriesOutageShare = 0.3
	// stopAgainShare is the share of gateways that are stopped again maxStartTime after their start at the latest.
	stopAgainShare = 0.3
	maxStartTime   = 1500 * time.Millisecond
)

// drawStopSeries draws when half or more of the gateways are stopped in series, and what happens beside that. It is drawn
// after all other steps, so that a seed's other steps stay the same.
func (p *planner) drawStopSeries(allowed []string) {
	last := p.end - drainTime - minSeriesDowntime
	if len(keepAllowed([]string{doStopSeries}, allowed)) == 0 || p.random.Float64() > stopSeriesShare || last <= 0 {
		return
	}
	for at := p.between(0, last); at < last; at += p.between(minSeriesInterval, maxSeriesInterval) {
		p.add(at, doStopSeries, min(drainTime+p.between(minSeriesDowntime, maxSeriesDowntime), p.end-at))
		for range seriesActs {
			p.drawAct(at+p.between(0, drainTime), p.recovery)
		}
		if p.random.Float64() < seriesOutageShare {
			p.drawOutage(at+p.between(0, maxSeriesDelay), allowed)
		}
	}
}

// drawOutage draws an outage of the store for all processes.
func (p *planner) drawOutage(at time.Duration, allowed []string) {
	l := keepAllowed([]string{doStoreDown, doStoreSilent, doStoreSlow}, allowed)
	if len(l) > 0 {
		p.add(at, l[p.random.IntN(len(l))], p.between(minSeriesDowntime, maxFaultDuration))
	}
}

// stopSeries stops half of the gateways or more, at once or one after the other, and starts them again. Some are stopped
// again right after their start.
func (w *Fleet) stopSeries(ctx context.Context, s Step) {
	n := len(w.gateways)
	stopped := max(1, (n+1)/2+int(s.Magnitude*float64(n/2+1)))
	step := time.Duration(s.Selector>>8%3) * maxSeriesDelay / time.Duration(2*n)
	var all sync.WaitGroup
	for i := range min(stopped, n) {
		g := w.gateways[(int(s.Selector>>16%1024)+i)%n]
		again := float64(s.Selector>>(20+i%32)%10) < 10*stopAgainShare
		all.Go(func() {
			kernel.Pause(ctx, time.Duration(i)*step)
			if ctx.Err() != nil || !g.busy.TryLock() {
				return
			}
			defer g.busy.Unlock()
			w.history.Count("gateways stopped in a series")
			g.stopTwice(ctx, s, again)
		})
	}
	all.Wait()
}

// stopTwice terminates a gateway and starts it again, and does so once more right after the start if again is set.
func (p *Process) stopTwice(ctx context.Context, s Step, again bool) {
	down := s.Duration - drainTime
	if !again {
		p.Terminate(ctx, down)
		return
	}
	end := p.history.BeginFault(p.name, spanTerminated)
	p.terminate(ctx)
	kernel.Pause(ctx, down)
	if ctx.Err() == nil {
		p.startAgain()
		kernel.Pause(ctx, time.Duration(s.Magnitude*float64(maxStartTime)))
	}
	end()
	if ctx.Err() == nil {
		p.history.Count("gateways stopped right after their start")
		p.Terminate(ctx, down)
	}
}
