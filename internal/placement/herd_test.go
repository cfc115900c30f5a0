package placement

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// herd plays gateways that choose among engines on views of a certain age, in steps of a millisecond. Engines read prompts
// one after the other and run up to their slots; arrivals, prompts and answers are drawn from a seed.
type herd struct {
	gateways, upstreams int
	// between is the time between two reports of an upstream; load is the part of the engines' capacity that is offered.
	between time.Duration
	load    float64
	// knowing gives gateways the engines' present state, spreading what all gateways send, and few a look at three engines
	// drawn at random only.
	knowing, spreading, few bool
}

const (
	herdStep    = time.Millisecond
	herdFor     = 20 * time.Second
	herdWarmUp  = 4 * time.Second
	herdService = time.Second
	herdSlots   = 16
)

// herdEngine is one engine: the ends of what runs, the arrivals of what waits, and the last report.
type herdEngine struct {
	ends     []time.Duration
	waiting  []time.Duration
	reported Candidate
	at       time.Duration
}

func (e *herdEngine) candidate(name id.Instance) Candidate {
	return Candidate{Instance: name, Slots: herdSlots, Running: len(e.ends), Waiting: len(e.waiting), Slowdown: 1, Fresh: true}
}

// step ends and begins requests and adds up how long those that begin have waited.
func (e *herdEngine) step(now time.Duration, r *rand.Rand, waits *[]time.Duration) {
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end > now {
			kept = append(kept, end)
		}
	}
	e.ends = kept
	for len(e.waiting) > 0 && len(e.ends) < herdSlots {
		if now > herdWarmUp {
			*waits = append(*waits, now-e.waiting[0])
		}
		e.waiting = e.waiting[1:]
		e.ends = append(e.ends, now+time.Duration(r.ExpFloat64()*float64(herdService)))
	}
}

// play returns the waits of all requests, sorted.
func (h herd) play(seed uint64) []time.Duration {
	r := rand.New(rand.NewPCG(seed, 1))
	engines := make([]herdEngine, h.upstreams)
	names := make([]id.Instance, h.upstreams)
	for i := range engines {
		names[i] = id.Instance(fmt.Sprint(i))
		engines[i].at = time.Duration(r.Int64N(int64(h.between)))
		engines[i].reported = engines[i].candidate(names[i])
	}
	perSecond := h.load * float64(h.upstreams*herdSlots) / herdService.Seconds()
	w := &Forecast{PredictFirstEvent: func(c *Candidate) time.Duration {
		return time.Millisecond*time.Duration(c.load()) + max(0, time.Duration(c.load()+1-herdSlots)*herdService/herdSlots)
	}}
	if h.spreading {
		w.Horizon, w.Demand = h.between, Demand{"": {OnTime: perSecond}}
		w.Advance = func(c *Candidate, d time.Duration) {
			ended := int(float64(c.Running) * d.Seconds() / herdService.Seconds())
			begun := min(c.Waiting, herdSlots-c.Running+ended)
			c.Running, c.Waiting = c.Running-ended+begun, c.Waiting-begun
		}
	}
	// own counts what each gateway has sent to an engine since its report, as the tracker does.
	own := make([][]int, h.gateways)
	for g := range own {
		own[g] = make([]int, h.upstreams)
	}
	var waits []time.Duration
	view := make([]Candidate, h.upstreams)
	for now := time.Duration(0); now < herdFor; now += herdStep {
		for i := range engines {
			engines[i].step(now, r, &waits)
			if now >= engines[i].at {
				engines[i].reported, engines[i].at = engines[i].candidate(names[i]), now+h.between
				for g := range own {
					own[g][i] = 0
				}
			}
		}
		for range poisson(perSecond*herdStep.Seconds(), r) {
			g := r.IntN(h.gateways)
			for i := range engines {
				view[i] = engines[i].reported
				view[i].Waiting += own[g][i]
				if h.knowing {
					view[i] = engines[i].candidate(names[i])
				}
			}
			seen := view
			if h.few {
				seen = three(view, r)
			}
			c, _ := Choose(seen, nil, w, r)
			for i := range engines {
				if names[i] == c.Instance {
					own[g][i]++
					engines[i].waiting = append(engines[i].waiting, now)
				}
			}
		}
	}
	sort.Slice(waits, func(i, j int) bool { return waits[i] < waits[j] })
	return waits
}

// three draws three of the views.
func three(l []Candidate, r *rand.Rand) []Candidate {
	var of []Candidate
	for _, i := range r.Perm(len(l))[:3] {
		of = append(of, l[i])
	}
	return of
}

// poisson draws the number of arrivals in a step of a small mean.
func poisson(mean float64, r *rand.Rand) int {
	n := 0
	for t := r.ExpFloat64(); t < mean; t += r.ExpFloat64() {
		n++
	}
	return n
}

// BenchmarkChoiceOnOldViews reports the queue wait at the 95th percentile in ms, with seed 1: before, for each gateway taking
// the best of its view ("best") or of three drawn at random ("three"); after, for the layout of what all send ("spread");
// and for a chooser that sees the present ("knowing"). Engines have 16 slots and answers last a second on the mean.
//
//	gateways upstreams between  load   best  three  spread  knowing
//	       9        20   200ms  0.80    700     45       1        1
//	       9        20   200ms  0.92    763    253     188        1
//	       9        20   100ms  0.92    485    149      76        1
//	      40        45   200ms  0.80   2469      1       1        1
//	      40        45   200ms  0.92   3127    259     213        1
//	      40        45      1s  0.80   4209    671     278        1
//	     200        90   200ms  0.80   6116      4      11        1
func BenchmarkChoiceOnOldViews(b *testing.B) {
	for _, h := range []herd{
		{gateways: 9, upstreams: 20, between: 200 * time.Millisecond, load: 0.8},
		{gateways: 9, upstreams: 20, between: 200 * time.Millisecond, load: 0.92},
		{gateways: 9, upstreams: 20, between: 100 * time.Millisecond, load: 0.92},
		{gateways: 40, upstreams: 45, between: 200 * time.Millisecond, load: 0.8},
		{gateways: 40, upstreams: 45, between: 200 * time.Millisecond, load: 0.92},
		{gateways: 40, upstreams: 45, between: time.Second, load: 0.8},
		{gateways: 200, upstreams: 90, between: 200 * time.Millisecond, load: 0.8},
	} {
		for _, way := range []string{"best", "three", "spread", "knowing"} {
			v := h
			v.spreading, v.knowing, v.few = way == "spread", way == "knowing", way == "three"
			b.Run(fmt.Sprintf("%dx%d/%v/%.2f/%s", h.gateways, h.upstreams, h.between, h.load, way), func(b *testing.B) {
				var waits []time.Duration
				for b.Loop() {
					waits = v.play(1)
				}
				b.ReportMetric(float64(waits[len(waits)*95/100].Milliseconds()), "p95-wait-ms")
			})
		}
	}
}
