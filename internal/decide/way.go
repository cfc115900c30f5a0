package decide

import (
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// Variant is a way to decide: the code as it stands, with something of it changed.
type Variant struct {
	Name, Text string
	// bend changes what a choice rests on.
	bend func(d *door, w *placement.Forecast, l []placement.Candidate)
	// retry stands in for placement.RetryAfter.
	retry func(room, left time.Duration, r *rand.Rand) time.Duration
	// reportEvery multiplies the time between reports, where above 0.
	reportEvery float64
	// forgetLost takes second tries for first ones, and atOnce loads a version as soon as it is there.
	forgetLost, atOnce bool
	// drain multiplies the time that an upstream is given to let in what waits, where above 0, and cut has a load end
	// what still runs then.
	drain float64
	cut   bool
	// leaveSilent gives a silent upstream up before another one is chosen.
	leaveSilent bool
}

// Variants are all that can be compared; the first is the code as it stands.
func Variants() []*Variant {
	return []*Variant{
		{Name: "standing", Text: "the code as it stands"},
		{Name: "no-layout", Text: "each takes the upstream that looks best", bend: noLayout},
		{Name: "no-admission", Text: "nobody is refused while an upstream is there", bend: noAdmission},
		{Name: "no-first-tries-first", Text: "second tries count as first ones", forgetLost: true},
		{Name: "all-at-once", Text: "upstreams change over as soon as a version is there", atOnce: true},
		{Name: "retry-third", Text: "Retry-After of a third of the patience always", retry: retryThird},
		{Name: "retry-spread", Text: "Retry-After of 0.9 to 1.9 s at random", retry: retrySpread},
		{Name: "aim-share-0.65", Text: "a prediction may fill 0.65 of the aim", bend: aimShare(0.65)},
		{Name: "aim-share-0.8", Text: "a prediction may fill 0.8 of the aim", bend: aimShare(0.8)},
		{Name: "own-rate", Text: "the own rate extrapolated to all gateways", bend: ownRate},
		{Name: "others-as-one", Text: "all other failure domains as one", bend: othersAsOne},
		{Name: "no-reading-between", Text: "without what is read between two reports", bend: noReadingBetween},
		{Name: "reports-twice", Text: "reports twice as often", reportEvery: 0.5},
		{Name: "no-crossing-cost", Text: "a send beyond the failure domain costs nothing", bend: noCrossingCost},
		{Name: "slowness", Text: "predictions times the running mean of observed over predicted times", bend: slowness},
		{Name: "drain-half", Text: "half the time to let in what waits before a load", drain: 0.5},
		{Name: "drain-tenth", Text: "a tenth of the time to let in what waits before a load", drain: 0.1},
		{Name: "cut", Text: "a load ends what still runs 0.9 s after its upstream has closed", cut: true},
		{Name: "cut-drain-half", Text: "a load ends what still runs 0.45 s after its upstream has closed", cut: true, drain: 0.5},
		{Name: "leave-silent", Text: "a silent upstream is given up before another one is chosen", leaveSilent: true},
		{Name: "no-suspects", Text: "upstreams that failed are first choices", bend: noSuspects},
	}
}

// VariantByName finds a way by its name, or returns nil.
func VariantByName(name string) *Variant {
	for _, w := range Variants() {
		if w.Name == name {
			return w
		}
	}
	return nil
}

func noLayout(_ *door, w *placement.Forecast, _ []placement.Candidate) {
	w.Demand = nil
}

func noAdmission(_ *door, w *placement.Forecast, _ []placement.Candidate) {
	w.CanAdmit = nil
}

// standingShare is the share of the aim that the code as it stands lets a prediction fill.
const standingShare = 0.9

func aimShare(share float64) func(*door, *placement.Forecast, []placement.Candidate) {
	return func(d *door, w *placement.Forecast, _ []placement.Candidate) {
		m := placement.NewLatencyModel(d.play.catalog.Services[pool].Engine)
		aim := time.Duration(float64(d.play.catalog.LatencyTarget(pool)) * share / standingShare)
		w.CanAdmit = func(c *placement.Candidate) bool { return placement.InTime(m.AdmissionLatency(c), 0, aim) }
	}
}

// retryThird asks for more than a third of the time left, which is what callers heed at most.
func retryThird(_, left time.Duration, r *rand.Rand) time.Duration {
	return placement.RetryAfter(left, left, r)
}

func retrySpread(_, left time.Duration, r *rand.Rand) time.Duration {
	const least, span = 900 * time.Millisecond, time.Second
	return min(least+time.Duration(r.Float64()*float64(span)), time.Duration(heeded*float64(left)))
}

func ownRate(d *door, w *placement.Forecast, _ []placement.Candidate) {
	own := placement.OfferedLoad{OnTime: d.offers.OnTime.PerSecond(pool), Late: d.offers.Late.PerSecond(pool)}
	w.Demand = placement.Demand{}
	for i, n := range d.play.scenario.Domains {
		k := float64(len(d.play.byDomain[i]))
		w.Demand[id.Domain(n.Name)] = placement.OfferedLoad{OnTime: k * own.OnTime, Late: k * own.Late}
	}
}

func othersAsOne(d *door, w *placement.Forecast, l []placement.Candidate) {
	const others id.Domain = "others"
	sum := placement.Demand{}
	for n, o := range w.Demand {
		if n != d.domain {
			n = others
		}
		s := sum[n]
		sum[n] = placement.OfferedLoad{OnTime: s.OnTime + o.OnTime, Late: s.Late + o.Late}
	}
	w.Demand = sum
	for i := range l {
		if l[i].Domain != d.domain {
			l[i].Domain = others
		}
	}
}

func noReadingBetween(_ *door, w *placement.Forecast, _ []placement.Candidate) {
	later := w.Advance
	w.Advance = func(c *placement.Candidate, d time.Duration) {
		later(c, d)
		c.SpareTokens = 0
	}
}

func noCrossingCost(d *door, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Domain = d.domain
	}
}

func noSuspects(_ *door, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Suspect = false
	}
}

// slowWeight is the weight of the newest request in what a gateway learns of an upstream's slowness.
const slowWeight = 0.1

func slowness(d *door, _ *placement.Forecast, l []placement.Candidate) {
	for i := range l {
		l[i].Slowdown = max(1, l[i].Slowdown, d.slowness[l[i].Instance])
	}
}

// learn notes how much longer than predicted a first event took.
func (d *door) learn(s *send, took time.Duration) {
	old, ok := d.slowness[s.choice.Instance]
	if !ok {
		old = 1
	}
	ratio := old * float64(took) / float64(max(time.Millisecond, s.choice.Predicted))
	d.slowness[s.choice.Instance] = old + slowWeight*(ratio-old)
}
