package decide

import (
	"math"
	"sort"
	"strconv"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the outcome of a simulation. Scores are earned shares of the possible credit, or sums of them.
type Result struct {
	Seed     uint64         `json:"seed"`
	Variant  string         `json:"way"`
	Requests int            `json:"requests"`
	Outcomes map[string]int `json:"outcomes"`
	// Worth is the overall score: the parts below, weighted as the scenario says.
	Worth float64 `json:"worth"`
	// Overall is the earned share of the possible credit over all requests; WorstWindows, WorstKind and WorstDomain are
	// that of the two worst windows, the worst kind of request and the worst failure domain.
	Overall      float64 `json:"whole"`
	WorstWindows float64 `json:"window"`
	WorstKind    float64 `json:"kind"`
	WorstDomain  float64 `json:"domain"`
	// RepeatRefusalCost is the penalty for callers that were refused again after they returned, as a share of the
	// possible credit.
	RepeatRefusalCost float64 `json:"again"`
	InTime            float64 `json:"in_time"`
	Late              float64 `json:"late"`
	Refused           float64 `json:"refused"`
	// LateFirst is the share of the requests whose first event came after their latency target.
	LateFirst float64 `json:"late_first"`
	// BegunOnExpired counts requests that began on a version after its lifetime.
	BegunOnExpired int `json:"on_over"`
	// FirstEventMs holds percentiles of the time from the first attempt to the first event.
	FirstEventMs map[string]float64 `json:"first_ms"`
	// PredictedMs and ObservedMs hold percentiles of the predicted and observed times from sending a request to its first
	// event.
	PredictedMs map[string]float64 `json:"predicted_ms"`
	ObservedMs  map[string]float64 `json:"observed_ms"`
	// Prediction is the correlation between predicted and observed times to the first event.
	Prediction float64 `json:"prediction"`
	// BusiestRatio is the largest number of requests started by one upstream, divided by the mean.
	BusiestRatio float64 `json:"busiest"`
	// ShareBySecond is the earned share of the possible credit by the second in which requests arrived.
	ShareBySecond []float64 `json:"seconds"`
}

// repeatRefusalPenalty is the penalty, as a share of the request's credit, for a request that was refused again after
// its caller returned.
const repeatRefusalPenalty = 0.3

// account is earned and possible credit.
type account struct {
	earned, possible float64
}

func (a account) share() float64 {
	if a.possible <= 0 {
		return 1
	}
	return a.earned / a.possible
}

func (a *account) add(q *request, weight float64) {
	a.earned += weight * q.earned
	a.possible += weight * q.kind.Worth
}

// creditWeight is the weight of a request among others of its kind, by its number of tokens.
func (p *simulation) creditWeight(q *request) float64 {
	const minWeight, maxWeight, outputFactor = 0.3, 4.0, 10
	stride := float64(p.scenario.Engine.Stride)
	mean := q.kind.Prompt.Mean + outputFactor*stride*q.kind.Events.Mean
	return min(maxWeight, minWeight+(1-minWeight)*(q.prompt+outputFactor*stride*float64(q.events))/mean)
}

// accounts holds a simulation's earned and possible credit, overall and by time window, kind, failure domain and second.
type accounts struct {
	overall        account
	windows        map[string]*account
	kinds          map[string]*account
	domains        map[string]*account
	bySecond       []account
	repeatRefusals float64
	lateFirst      int
	counts         [outcomeCount]int
	firstEvents    *hdrhistogram.Histogram
}

// maxFirstEvent is the longest time to the first event that the histogram distinguishes, in microseconds.
const maxFirstEvent = 60_000_000

func (p *simulation) collectAccounts() *accounts {
	s := p.scenario
	b := &accounts{
		windows: map[string]*account{}, kinds: map[string]*account{}, domains: map[string]*account{},
		bySecond: make([]account, int(math.Ceil(s.Seconds))), firstEvents: hdrhistogram.New(1, maxFirstEvent, 3),
	}
	for _, q := range p.requests {
		weight := p.creditWeight(q)
		b.bySecond[int(q.arrivedAt.Seconds())].add(q, weight)
		if q.arrivedAt < seconds(s.WarmUp) {
			continue
		}
		b.counts[q.outcome]++
		b.overall.add(q, weight)
		accountOf(b.windows, strconv.Itoa(int(q.arrivedAt.Seconds()/s.Weights.WindowS))).add(q, weight)
		accountOf(b.kinds, q.kind.Name).add(q, weight)
		accountOf(b.domains, s.Domains[q.domain].Name).add(q, weight)
		if q.outcome == refusedAgain {
			b.repeatRefusals += repeatRefusalPenalty * weight * q.kind.Worth
		}
		if q.outcome == inTime || q.outcome == late {
			if q.firstEventAt-q.arrivedAt > ms(q.kind.AimMs) {
				b.lateFirst++
			}
			_ = b.firstEvents.RecordValue(min(maxFirstEvent, (q.firstEventAt - q.arrivedAt).Microseconds()))
		}
	}
	return b
}

// accountOf returns the account of a key, and creates it if needed.
func accountOf(m map[string]*account, k string) *account {
	if m[k] == nil {
		m[k] = &account{}
	}
	return m[k]
}

// meanOfWorst is the mean of the n smallest earned shares.
func meanOfWorst(m map[string]*account, n int) float64 {
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

func (p *simulation) result(seed uint64) *Result {
	s, b := p.scenario, p.collectAccounts()
	r := &Result{Seed: seed, Variant: p.variant.Name, Outcomes: map[string]int{}, BegunOnExpired: p.begunOnExpired, FirstEventMs: map[string]float64{}}
	for o, n := range b.counts {
		r.Requests += n
		if n > 0 {
			r.Outcomes[outcomeNames[o]] = n
		}
	}
	r.Overall, r.WorstWindows, r.WorstKind, r.WorstDomain = b.overall.share(), meanOfWorst(b.windows, 2), meanOfWorst(b.kinds, 1), meanOfWorst(b.domains, 1)
	w := &s.Weights
	r.RepeatRefusalCost = b.repeatRefusals / max(1e-9, b.overall.possible)
	r.Worth = (1-w.Window-w.Kind-w.Domain)*r.Overall + w.Window*r.WorstWindows + w.Kind*r.WorstKind + w.Domain*r.WorstDomain - r.RepeatRefusalCost
	n := float64(max(1, r.Requests))
	r.InTime, r.Late = float64(b.counts[inTime])/n, float64(b.counts[late])/n
	r.LateFirst = float64(b.lateFirst) / n
	r.Refused = float64(b.counts[refused]+b.counts[refusedAgain]) / n
	for name, q := range map[string]float64{"p50": 50, "p90": 90, "p95": 95, "p99": 99} {
		r.FirstEventMs[name] = float64(b.firstEvents.ValueAtQuantile(q)) / 1000
	}
	r.PredictedMs = percentiles(p.latencySamples, func(l latencySample) time.Duration { return l.predicted })
	r.ObservedMs = percentiles(p.latencySamples, func(l latencySample) time.Duration { return l.observed })
	for i := range b.bySecond {
		r.ShareBySecond = append(r.ShareBySecond, b.bySecond[i].share())
	}
	r.Prediction, r.BusiestRatio = correlation(p.latencySamples), p.busiestRatio()
	return r
}

// busiestRatio is the largest number of requests started by one engine, divided by the mean.
func (p *simulation) busiestRatio() float64 {
	largest, sum := 0, 0
	for _, e := range p.engines {
		largest, sum = max(largest, e.startedRequests), sum+e.startedRequests
	}
	return float64(largest*len(p.engines)) / float64(max(1, sum))
}

// percentiles returns the median and the 90th percentile of a time of the samples, in milliseconds.
func percentiles(l []latencySample, value func(l latencySample) time.Duration) map[string]float64 {
	h := hdrhistogram.New(1, maxFirstEvent, 3)
	for _, s := range l {
		_ = h.RecordValue(min(maxFirstEvent, value(s).Microseconds()))
	}
	return map[string]float64{"p50": float64(h.ValueAtQuantile(50)) / 1000, "p90": float64(h.ValueAtQuantile(90)) / 1000}
}

// correlation is the correlation coefficient of predicted and observed times.
func correlation(l []latencySample) float64 {
	n := float64(len(l))
	var x, y, xx, yy, xy float64
	for _, p := range l {
		a, b := float64(p.predicted)/float64(time.Second), float64(p.observed)/float64(time.Second)
		x, y, xx, yy, xy = x+a, y+b, xx+a*a, yy+b*b, xy+a*b
	}
	d := math.Sqrt((n*xx - x*x) * (n*yy - y*y))
	if !(d > 0) {
		return 0
	}
	return (n*xy - x*y) / d
}
