package decide

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// Variant is a variant of the decisions: the current code with one change.
type Variant struct {
	Name, Text string
	// adjust changes a gateway's forecast or candidates before it chooses an upstream.
	adjust func(d *simGateway, w *placement.Forecast, l []placement.Candidate)
	// retryAfter replaces placement.RetryAfter.
	retryAfter func(capacityIn, remaining time.Duration, r *rand.Rand) time.Duration
	// reportIntervalFactor scales the time between reports, if above 0.
	reportIntervalFactor float64
	// ignoreTimeLost treats retries of callers as first attempts, and swapAtOnce loads a version as soon as it is
	// staged.
	ignoreTimeLost, swapAtOnce bool
	// drainFactor scales the maximum drain time, if above 0, and cutRunning makes a load cut the requests that still run
	// after it.
	drainFactor float64
	cutRunning  bool
	// abandonSilent abandons a silent upstream before another one is chosen.
	abandonSilent bool
	// reservationsAsked is the number of upstreams that are asked for a reservation; 0 for none.
	reservationsAsked int
}

// Variants returns all variants that can be compared; the first one is the current code.
func Variants() []*Variant {
	return []*Variant{
		{Name: "standing", Text: "the current code"},
		{Name: "no-layout", Text: "each gateway takes the upstream that looks best", adjust: noAssignment},
		{Name: "no-admission", Text: "no request is refused while the pool has an upstream", adjust: noAdmission},
		{Name: "no-first-tries-first", Text: "callers' retries count as first attempts", ignoreTimeLost: true},
		{Name: "all-at-once", Text: "upstreams swap versions as soon as one is staged", swapAtOnce: true},
		{Name: "retry-third", Text: "Retry-After is always a third of the remaining patience", retryAfter: retryAfterThirdOfPatience},
		{Name: "retry-spread", Text: "Retry-After is random between 0.9 and 1.9 s", retryAfter: retrySpread},
		{Name: "aim-share-0.65", Text: "a prediction may use 0.65 of the latency target", adjust: aimShare(0.65)},
		{Name: "aim-share-0.8", Text: "a prediction may use 0.8 of the latency target", adjust: aimShare(0.8)},
		{Name: "own-rate", Text: "demand is the gateway's own rate, extrapolated to all gateways", adjust: extrapolatedRate},
		{Name: "others-as-one", Text: "all other failure domains count as one", adjust: othersAsOne},
		{Name: "no-reading-between", Text: "prompts read between two reports are not predicted", adjust: noSpareTokens},
		{Name: "reports-twice", Text: "reports are sent twice as often", reportIntervalFactor: 0.5},
		{Name: "no-crossing-cost", Text: "crossing failure domains costs nothing", adjust: noCrossingCost},
		{Name: "slowness", Text: "predictions are scaled by the running mean of observed over predicted times", adjust: slowdown},
		{Name: "drain-half", Text: "half the maximum drain time before a load", drainFactor: 0.5},
		{Name: "drain-tenth", Text: "a tenth of the maximum drain time before a load", drainFactor: 0.1},
		{Name: "cut", Text: "a load cuts requests that still run 0.9 s after their upstream stopped admission", cutRunning: true},
		{Name: "cut-drain-half", Text: "a load cuts requests that still run 0.45 s after their upstream stopped admission", cutRunning: true, drainFactor: 0.5},
		{Name: "leave-silent", Text: "a silent upstream is abandoned before another one is chosen", abandonSilent: true},
		{Name: "reserve-1", Text: "a reservation is asked for at one upstream", reservationsAsked: 1, reportIntervalFactor: reservationReportFactor},
		{Name: "reserve-2", Text: "reservations are asked for at two upstreams", reservationsAsked: 2, reportIntervalFactor: reservationReportFactor},
		{Name: "reserve-3", Text: "reservations are asked for at three upstreams", reservationsAsked: 3, reportIntervalFactor: reservationReportFactor},
		{Name: "no-suspects", Text: "upstreams that failed are not avoided", adjust: noSuspects},
	}
}

// VariantByName returns the variant of a name, or nil.
func VariantByName(name string) *Variant {
	for _, w := range Variants() {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func noAssignment(_ *simGateway, w *placement.Forecast, _ []placement.Candidate) {
	w.Demand = nil
}

func noAdmission(_ *simGateway, w *placement.Forecast, _ []placement.Candidate) {
	w.CanAdmit = nil
}

// currentTargetShare is the share of the latency target that the current code lets a prediction use.
const currentTargetShare = 0.9

func aimShare(share float64) func(*simGateway, *placement.Forecast, []placement.Candidate) {
	return func(d *simGateway, w *placement.Forecast, _ []placement.Candidate) {
		m := placement.NewLatencyModel(d.sim.catalog.Services[pool].Engine)
		aim := time.Duration(float64(d.sim.catalog.LatencyTarget(pool)) * share / currentTargetShare)
		w.CanAdmit = func(c *placement.Candidate) bool { return placement.InTime(m.AdmissionLatency(c), 0, aim) }
	}
}

// retryAfterThirdOfPatience makes placement.RetryAfter return the longest wait that callers accept, a third of the
// remaining patience, by passing the whole remaining patience as the time until capacity is expected.
func retryAfterThirdOfPatience(_, remaining time.Duration, r *rand.Rand) time.Duration {
	return placement.RetryAfter(remaining, remaining, r)
}

func retrySpread(_, remaining time.Duration, r *rand.Rand) time.Duration {
	const shortest, span = 900 * time.Millisecond, time.Second
	return min(shortest+time.Duration(r.Float64()*float64(span)), time.Duration(maxRetryAfterShare*float64(remaining)))
}

func extrapolatedRate(d *simGateway, w *placement.Forecast, _ []placement.Candidate) {
	own := placement.OfferedLoad{OnTime: d.demandMeter.OnTime.PerSecond(pool), Late: d.demandMeter.Late.PerSecond(pool)}
	w.Demand = placement.Demand{}
	for i, n := range d.sim.scenario.Domains {
		k := float64(len(d.sim.gatewaysByDomain[i]))
		w.Demand[id.Domain(n.Name)] = placement.OfferedLoad{OnTime: k * own.OnTime, Late: k * own.Late}
	}
}

func othersAsOne(d *simGateway, w *placement.Forecast, l []placement.Candidate) {
	const others id.Domain = "others"
	merged := placement.Demand{}
	for n, o := range w.Demand {
		if n != d.domain {
			n = others
		}
		s := merged[n]
		merged[n] = placement.OfferedLoad{OnTime: s.OnTime + o.OnTime, Late: s.Late + o.Late}
	}
	w.Demand = merged
	for i := range l {
		if l[i].Domain != d.domain {
			l[i].Domain = others
		}
	}
}

func noSpareTokens(_ *simGateway, w *placement.Forecast, _ []placement.Candidate) {
	advance := w.Advance
	w.Advance = func(c *placement.Candidate, d time.Duration) {
		advance(c, d)
		c.SpareTokens = 0
	}
}

func noCrossingCost(d *simGateway, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Domain = d.domain
	}
}

func noSuspects(_ *simGateway, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Suspect = false
	}
}

// slowdownWeight is the weight of the newest request in the running mean of an upstream's slowdown.
const slowdownWeight = 0.1

func slowdown(d *simGateway, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Slowdown = max(1, l[i].Slowdown, d.learntSlowdown[l[i].Instance])
	}
}

// learnSlowdown updates an upstream's slowdown with the ratio of observed to predicted time.
func (d *simGateway) learnSlowdown(s *upstreamAttempt, took time.Duration) {
	old, ok := d.learntSlowdown[s.choice.Instance]
	if !ok {
		old = 1
	}
	ratio := old * float64(took) / float64(max(time.Millisecond, s.choice.Predicted))
	d.learntSlowdown[s.choice.Instance] = old + slowdownWeight*(ratio-old)
}
