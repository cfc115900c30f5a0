package decide

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what came of a play. Worths are shares of what is owed, or sums of such.
type Result struct {
	Seed     uint64         `json:"seed"`
	Variant  string         `json:"way"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Worth is the parts below as the scenario weighs them.
	Worth float64 `json:"worth"`
	// Overall is earned over owed; Window, Kind and Domain are those of the two worst windows, the worst kind, and the
	// worst failure domain.
	Overall      float64 `json:"whole"`
	WorstWindows float64 `json:"window"`
	WorstKind    float64 `json:"kind"`
	WorstDomain  float64 `json:"domain"`
	// RepeatRefusalCost is what those who were refused again cost, as a share of what is owed.
	RepeatRefusalCost float64 `json:"again"`
	InTime            float64 `json:"in_time"`
	Late              float64 `json:"late"`
	Refused           float64 `json:"refused"`
	// BegunOnExpired counts requests that began on a version whose time had passed.
	BegunOnExpired int `json:"on_over"`
	// FirstEventMs are quantiles of the first event from the first try on.
	FirstEventMs map[string]float64 `json:"first_ms"`
	// Prediction is the correlation of predicted with observed first events.
	Prediction float64 `json:"prediction"`
	// BusiestRatio is the most that an upstream took up over the mean.
	BusiestRatio float64 `json:"busiest"`
	// ShareBySecond is the share of what is owed that is earned, by the second in which requests came.
	ShareBySecond []float64 `json:"seconds"`
}

// againCost is the share of its credit that a request costs that came back after a refusal and was refused again.
const againCost = 0.3

// account is earned and owed.
type account struct {
	earned, owed float64
}

func (a account) share() float64 {
	if a.owed <= 0 {
		return 1
	}
	return a.earned / a.owed
}

func (a *account) add(q *request, size float64) {
	a.earned += size * q.earn
	a.owed += size * q.kind.Worth
}

// size is what a request is worth beside others of its kind, by its tokens.
func (p *play) size(q *request) float64 {
	const least, most, out = 0.3, 4.0, 10
	stride := float64(p.scenario.Engine.Stride)
	mean := q.kind.Prompt.Mean + out*stride*q.kind.Events.Mean
	return min(most, least+(1-least)*(q.prompt+out*stride*float64(q.events))/mean)
}

// books are the accounts of a play.
type books struct {
	whole   account
	windows map[string]*account
	kinds   map[string]*account
	domains map[string]*account
	seconds []account
	again   float64
	counts  [outcomes]int
	firsts  *hdrhistogram.Histogram
}

// slowest is the longest first event that the histogram tells apart, in microseconds.
const slowest = 60_000_000

func (p *play) books() *books {
	s := p.scenario
	b := &books{
		windows: map[string]*account{}, kinds: map[string]*account{}, domains: map[string]*account{},
		seconds: make([]account, int(math.Ceil(s.Seconds))), firsts: hdrhistogram.New(1, slowest, 3),
	}
	for _, q := range p.requests {
		size := p.size(q)
		b.seconds[int(q.at.Seconds())].add(q, size)
		if q.at < seconds(s.WarmUp) {
			continue
		}
		b.counts[q.outcome]++
		b.whole.add(q, size)
		at(b.windows, strconv.Itoa(int(q.at.Seconds()/s.Weights.WindowS))).add(q, size)
		at(b.kinds, q.kind.Name).add(q, size)
		at(b.domains, s.Domains[q.domain].Name).add(q, size)
		if q.outcome == refusedAgain {
			b.again += againCost * size * q.kind.Worth
		}
		if q.outcome == inTime || q.outcome == late {
			_ = b.firsts.RecordValue(min(slowest, (q.firstAt - q.at).Microseconds()))
		}
	}
	return b
}

// at finds an account, or opens it.
func at(m map[string]*account, k string) *account {
	if m[k] == nil {
		m[k] = &account{}
	}
	return m[k]
}

// worst is the mean of the smallest shares of some accounts.
func worst(m map[string]*account, n int) float64 {
	var l []float64
	for _, a := range m {
		l = append(l, a.share())
	}
	sort.Float64s(l)
	l = l[:min(n, len(l))]
	sum := 0.0
	for _, x := range l {
		sum += x
	}
	return sum / float64(max(1, len(l)))
}

func (p *play) result(seed uint64) *Result {
	s, b := p.scenario, p.books()
	r := &Result{Seed: seed, Variant: p.way.Name, Outcomes: map[string]int{}, BegunOnExpired: p.over, FirstEventMs: map[string]float64{}}
	for o, n := range b.counts {
		r.Requests += n
		if n > 0 {
			r.Outcomes[outcomeNames[o]] = n
		}
	}
	r.Overall, r.WorstWindows, r.WorstKind, r.WorstDomain = b.whole.share(), worst(b.windows, 2), worst(b.kinds, 1), worst(b.domains, 1)
	w := &s.Weights
	r.RepeatRefusalCost = b.again / max(1e-9, b.whole.owed)
	r.Worth = (1-w.Window-w.Kind-w.Domain)*r.Overall + w.Window*r.WorstWindows + w.Kind*r.WorstKind + w.Domain*r.WorstDomain - r.RepeatRefusalCost
	n := float64(max(1, r.Requests))
	r.InTime, r.Late = float64(b.counts[inTime])/n, float64(b.counts[late])/n
	r.Refused = float64(b.counts[refused]+b.counts[refusedAgain]) / n
	for name, q := range map[string]float64{"p50": 50, "p95": 95, "p99": 99} {
		r.FirstEventMs[name] = float64(b.firsts.ValueAtQuantile(q)) / 1000
	}
	for i := range b.seconds {
		r.ShareBySecond = append(r.ShareBySecond, b.seconds[i].share())
	}
	r.Prediction, r.BusiestRatio = correlation(p.points), p.busiest()
	return r
}

// busiest is the most requests that an engine took up over the mean.
func (p *play) busiest() float64 {
	most, sum := 0, 0
	for _, e := range p.engines {
		most, sum = max(most, e.begun), sum+e.begun
	}
	return float64(most*len(p.engines)) / float64(max(1, sum))
}

// correlation is that of predicted with observed times.
func correlation(l []point) float64 {
	n := float64(len(l))
	var x, y, xx, yy, xy float64
	for _, p := range l {
		a, b := float64(p.predicted)/float64(time.Second), float64(p.took)/float64(time.Second)
		x, y, xx, yy, xy = x+a, y+b, xx+a*a, yy+b*b, xy+a*b
	}
	d := math.Sqrt((n*xx - x*x) * (n*yy - y*y))
	if !(d > 0) {
		return 0
	}
	return (n*xy - x*y) / d
}
