package placement

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// herd simulates gateways that choose among engines by reports of a certain age, in steps of a millisecond. Engines run
// requests up to their slots and queue the rest in arrival order; arrivals, durations and the gateway of each request
// are drawn from a seed.
type herd struct {
	gateways, upstreams int
	// reportInterval is the time between two reports of an upstream; load is the share of the engines' capacity that is
	// offered.
	reportInterval time.Duration
	load           float64
	// fullKnowledge shows gateways the engines' current state, spreading makes them account for what all gateways send,
	// and sampling shows them three engines drawn at random.
	fullKnowledge, spreading, sampling bool
}

const (
	herdStep     = time.Millisecond
	herdDuration = 20 * time.Second
	herdWarmUp   = 4 * time.Second
	herdService  = time.Second
	herdSlots    = 16
)

// herdEngine is one engine: the end times of running requests, the arrival times of waiting ones, and the last report.
type herdEngine struct {
	endTimes    []time.Duration
	queuedSince []time.Duration
	reported    Candidate
	nextReport  time.Duration
}

func (e *herdEngine) candidate(name id.Instance) Candidate {
	return Candidate{Instance: name, Slots: herdSlots, Running: len(e.endTimes), Waiting: len(e.queuedSince), Slowdown: 1, Fresh: true}
}

// step ends finished requests, starts waiting ones, and appends the queue times of those to waits.
func (e *herdEngine) step(now time.Duration, r *rand.Rand, waits *[]time.Duration) {
	running := e.endTimes[:0]
	for _, end := range e.endTimes {
		if end > now {
			running = append(running, end)
		}
	}
	e.endTimes = running
	for len(e.queuedSince) > 0 && len(e.endTimes) < herdSlots {
		if now > herdWarmUp {
			*waits = append(*waits, now-e.queuedSince[0])
		}
		e.queuedSince = e.queuedSince[1:]
		e.endTimes = append(e.endTimes, now+time.Duration(r.ExpFloat64()*float64(herdService)))
	}
}

// simulate returns the queue times of all requests, sorted.
func (h herd) simulate(seed uint64) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 1))
	engines := make([]herdEngine, h.upstreams)
	names := make([]id.Instance, h.upstreams)
	for i := range engines {
		names[i] = id.Instance(fmt.Sprint(i))
		engines[i].nextReport = time.Duration(r.Int64N(int64(h.reportInterval)))
		engines[i].reported = engines[i].candidate(names[i])
	}
	perSecond := h.load * float64(h.upstreams*herdSlots) / herdService.Seconds()
	w := &Forecast{PredictFirstEvent: func(c *Candidate) time.Duration {
		return time.Millisecond*time.Duration(c.load()) + max(0, time.Duration(c.load()+1-herdSlots)*herdService/herdSlots)
	}}
	if h.spreading {
		w.Horizon, w.Demand = h.reportInterval, Demand{"": {OnTime: perSecond}}
		w.Advance = func(c *Candidate, d time.Duration) {
			ended := int(float64(c.Running) * d.Seconds() / herdService.Seconds())
			begun := min(c.Waiting, herdSlots-c.Running+ended)
			c.Running, c.Waiting = c.Running-ended+begun, c.Waiting-begun
		}
	}
	// own counts the requests that each gateway sent to an engine since the engine's last report, as the tracker does.
	sentSinceReport := make([][]int, h.gateways)
	for g := range sentSinceReport {
		sentSinceReport[g] = make([]int, h.upstreams)
	}
	var waits []time.Duration
	candidateViews := make([]Candidate, h.upstreams)
	for now := time.Duration(0); now < herdDuration; now += herdStep {
		for i := range engines {
			engines[i].step(now, r, &waits)
			if now >= engines[i].nextReport {
				engines[i].reported, engines[i].nextReport = engines[i].candidate(names[i]), now+h.reportInterval
				for g := range sentSinceReport {
					sentSinceReport[g][i] = 0
				}
			}
		}
		for range poisson(perSecond*herdStep.Seconds(), r) {
			g := r.IntN(h.gateways)
			for i := range engines {
				candidateViews[i] = engines[i].reported
				candidateViews[i].Waiting += sentSinceReport[g][i]
				if h.fullKnowledge {
					candidateViews[i] = engines[i].candidate(names[i])
				}
			}
			candidates := candidateViews
			if h.sampling {
				candidates = sampleThree(candidateViews, r)
			}
			c, _ := Choose(candidates, nil, w, r)
			for i := range engines {
				if names[i] == c.Instance {
					sentSinceReport[g][i]++
					engines[i].queuedSince = append(engines[i].queuedSince, now)
				}
			}
		}
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits
}

// sampleThree returns three candidates drawn at random.
func sampleThree(l []Candidate, r *rand.Rand) []Candidate {
	var of []Candidate
	for _, i := range r.Perm(len(l))[:3] {
		of = append(of, l[i])
	}
	return of
}

// poisson draws the number of arrivals in a step with a small mean.
func poisson(mean float64, r *rand.Rand) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// BenchmarkChoiceOnOldViews reports the 95th percentile of queue times in ms with seed 1, for gateways that take the
// best upstream of the last reports ("best") or of three drawn at random ("three"), that use the forecast of what all
// gateways send ("spread"), and that see the current state ("knowing"). Engines have 16 slots, and responses last a
// second on average.
//
//	gateways upstreams interval load   best  three  spread  knowing
//	       9        20   200ms  0.80    700     45       1        1
//	       9        20   200ms  0.92    763    253     188        1
//	       9        20   100ms  0.92    485    149      76        1
//	      40        45   200ms  0.80   2469      1       1        1
//	      40        45   200ms  0.92   3127    259     213        1
//	      40        45      1s  0.80   4209    671     278        1
//	     200        90   200ms  0.80   6116      4      11        1
func BenchmarkChoiceOnOldViews(b *testing.B) {
	for _, h := range []herd{
		{gateways: 9, upstreams: 20, reportInterval: 200 * time.Millisecond, load: 0.8},
		{gateways: 9, upstreams: 20, reportInterval: 200 * time.Millisecond, load: 0.92},
		{gateways: 9, upstreams: 20, reportInterval: 100 * time.Millisecond, load: 0.92},
		{gateways: 40, upstreams: 45, reportInterval: 200 * time.Millisecond, load: 0.8},
		{gateways: 40, upstreams: 45, reportInterval: 200 * time.Millisecond, load: 0.92},
		{gateways: 40, upstreams: 45, reportInterval: time.Second, load: 0.8},
		{gateways: 200, upstreams: 90, reportInterval: 200 * time.Millisecond, load: 0.8},
	} {
		for _, way := range []string{"best", "three", "spread", "knowing"} {
			v := h
			v.spreading, v.fullKnowledge, v.sampling = way == "spread", way == "knowing", way == "three"
			b.Run(fmt.Sprintf("%dx%d/%v/%.2f/%s", h.gateways, h.upstreams, h.reportInterval, h.load, way), func(b *testing.B) {
				var waits []time.Duration
				for b.Loop() {
					waits = v.simulate(1)
				}
				b.ReportMetric(float64(waits[len(waits)*95/100].Milliseconds()), "p95-wait-ms")
			})
		}
	}
}
