package placement

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/id"
)

// Forecast carries upstreams' figures, which are always old, on to the next reports. All gateways see the same figures, so
// where each takes the upstream that looks best, that one becomes the worst, and where each lets in what fits by itself,
// all together let in several times that. So the requests that are expected on the same view are laid out over the
// upstreams, each where it costs least, and a request takes the place of one of its kind at random: what all gateways do
// then adds up to the layout, whatever their number.
type Forecast struct {
	// PredictFirstEvent predicts the first event of the request at an upstream.
	PredictFirstEvent func(c *Candidate) time.Duration
	// CanAdmit says whether an upstream can still begin a usual request in time; nil stands for always.
	CanAdmit func(c *Candidate) bool
	// Advance changes an upstream to what is left of its work after a time without arrivals; nil changes nothing.
	Advance func(c *Candidate, d time.Duration)
	// Horizon is the time between two reports, and Prompt the tokens of a usual request.
	Horizon     time.Duration
	UsualPrompt float64
	// Demand is what callers bring to all gateways meanwhile, and Domain the own failure domain.
	Demand Demand
	Domain id.Domain
	// Late says that the request itself can't be served in time any more.
	Late bool
}

// later carries an upstream on by a time, with a number of requests sent to it meanwhile.
func (w *Forecast) later(c *Candidate, d time.Duration, sent int) {
	if w.Advance != nil {
		w.Advance(c, d)
	}
	if w.UsualPrompt > 0 {
		// What comes between two reports is read between them too, as far as there is time.
		begun := min(sent, int(c.SpareTokens/w.UsualPrompt), max(0, c.Slots-c.load()))
		c.SpareTokens -= float64(begun) * w.UsualPrompt
		c.Running += begun
		sent -= begun
	}
	c.Waiting += sent
	c.Backlog += float64(sent) * w.UsualPrompt
}

// mostExpected bounds what other processes can make this one expect: a second of twenty times the users' target peak.
const mostExpected = 100_000

// fits says whether an upstream has room for one more request. One that is late gets a place that is free at once, but
// never waits for one: what comes behind it would become late in turn.
func (w *Forecast) fits(c *Candidate, late bool) bool {
	if w.CanAdmit == nil {
		return true
	}
	return w.CanAdmit(c) && (!late || c.load() < c.Slots)
}

// expected is the number of requests that come within the horizon at a rate a second; what is no such rate counts as none.
func (w *Forecast) expected(perSecond float64) int {
	n := perSecond * w.Horizon.Seconds()
	if !(n > 0) {
		return 0
	}
	return int(min(n, mostExpected))
}

// option is an upstream with what one more request there costs.
type option struct {
	Candidate
	// view is the upstream as it was reported; the Candidate is carried on to the next report.
	view *Candidate
	// cost is that of a request from the upstream's own failure domain.
	cost float64
	// luck is the random part of the cost, which keeps equals apart.
	luck float64
	// given counts the requests laid on the upstream.
	given int
}

// full says that the upstream's limit leaves no permit for one more request.
func (o *option) full() bool {
	return o.Limit != nil && o.given >= o.Limit.Permits
}

// price sets what one more request costs. An upstream whose permits are used up takes none, however idle it looks.
func (o *option) price(w *Forecast) {
	if o.full() {
		o.cost = math.Inf(1)
		return
	}
	o.cost = float64(w.PredictFirstEvent(&o.Candidate)) * o.luck
	if !o.Fresh {
		o.cost += float64(unknownCost)
	}
}

// layout is the upstreams that may be chosen, with the requests that are laid on them.
type layout struct {
	outlook *Forecast
	options []option
	// near holds the upstreams of each failure domain as a heap, the one where one more request costs least first: a
	// step of the layout looks at one of each domain and not at all (BenchmarkChoice of the gateway).
	near []near
}

// near is the upstreams of one failure domain, as a heap by cost.
type near struct {
	domain id.Domain
	heap   []*option
}

// layouts are used again: one for 870 upstreams takes 200 KB.
var layouts = sync.Pool{New: func() any { return &layout{} }}

// fill takes the upstreams as they will be when the next reports come.
func (y *layout) fill(l []Candidate, tried map[id.Instance]bool, w *Forecast, r *rand.Rand, suspects bool) {
	y.outlook, y.near = w, y.near[:0]
	y.options = slices.Grow(y.options[:0], len(l))
	for i := range l {
		if tried[l[i].Instance] || l[i].Suspect != suspects {
			continue
		}
		y.options = append(y.options, option{Candidate: l[i], view: &l[i], luck: 1 - jitter*r.Float64()})
		o := &y.options[len(y.options)-1]
		w.later(&o.Candidate, w.Horizon, 0)
		o.price(w)
		y.add(o)
	}
	for i := range y.near {
		h := y.near[i].heap
		for at := len(h)/2 - 1; at >= 0; at-- {
			sink(h, at)
		}
	}
}

// add puts an upstream to the others of its failure domain.
func (y *layout) add(o *option) {
	for i := range y.near {
		if y.near[i].domain == o.Domain {
			y.near[i].heap = append(y.near[i].heap, o)
			return
		}
	}
	if len(y.near) < cap(y.near) {
		// The heap of an earlier layout is there.
		y.near = y.near[:len(y.near)+1]
	} else {
		y.near = append(y.near, near{})
	}
	n := &y.near[len(y.near)-1]
	n.domain, n.heap = o.Domain, append(n.heap[:0], o)
}

// sink moves an upstream down a heap until none below it costs less.
func sink(h []*option, at int) {
	for {
		least := at
		for _, below := range []int{2*at + 1, 2*at + 2} {
			if below < len(h) && h[below].cost < h[least].cost {
				least = below
			}
		}
		if least == at {
			return
		}
		h[at], h[least] = h[least], h[at]
		at = least
	}
}

// cheapest is the failure domain whose first upstream is that where one more request of a failure domain costs least.
func (y *layout) cheapest(d id.Domain) *near {
	var best *near
	least := 0.0
	for i := range y.near {
		n := &y.near[i]
		cost := n.heap[0].cost
		if n.domain != d {
			cost += float64(farCost)
		}
		if best == nil || cost < least {
			best, least = n, cost
		}
	}
	return best
}

// place is a number of requests laid on one upstream, and whether they fit there.
type place struct {
	option *option
	count  int
	fits   bool
}

// laySteps bounds the steps in which requests are laid out, and so the work of a choice.
const laySteps = 64

// crowd is the requests of one failure domain that are to be laid out.
type crowd struct {
	domain      id.Domain
	total, laid int
}

// lay lays the requests of all failure domains out, by turns, each step where one more costs least, and returns the places
// of the own one's.
func (y *layout) lay(late bool) []place {
	l := y.outlook.crowds(late)
	total := 0
	for _, c := range l {
		total += c.total
	}
	step := (total + laySteps - 1) / laySteps
	var own []place
	for {
		c := mostBehind(l)
		if c == nil {
			return own
		}
		p := y.put(c.domain, min(step, c.total-c.laid), late)
		c.laid += p.count
		if c.domain == y.outlook.Domain {
			own = append(own, p)
		}
	}
}

// mostBehind is the crowd of which the smallest part is laid out, or nil once all are.
func mostBehind(l []crowd) *crowd {
	var most *crowd
	for i := range l {
		c := &l[i]
		if c.laid >= c.total {
			continue
		}
		if most == nil || c.laid*most.total < most.laid*c.total {
			most = c
		}
	}
	return most
}

// put lays a number of requests of a failure domain on the upstream where one more costs least.
func (y *layout) put(d id.Domain, n int, late bool) place {
	w := y.outlook
	h := y.cheapest(d).heap
	o := h[0]
	if o.Limit != nil && !o.full() {
		n = min(n, o.Limit.Permits-o.given)
	}
	p := place{option: o, count: n, fits: !o.full() && w.fits(&o.Candidate, late)}
	o.given += n
	w.later(&o.Candidate, 0, n)
	o.price(w)
	sink(h, 0)
	return p
}

// draw lays out what is expected with the request itself, and takes one of the places of requests like it. Callers that
// can still be served in time come first: a late one's place earns a fraction of theirs.
func (y *layout) draw(r *rand.Rand) Choice {
	w := y.outlook
	own := y.lay(false)
	if w.Late {
		own = y.lay(true)
	}
	return pick(own, r).choice(w)
}

// crowds lists what is expected of each failure domain of callers that are late, or that are not; the request itself is
// one of its own's.
func (w *Forecast) crowds(late bool) []crowd {
	l := []crowd{{domain: w.Domain}}
	for d, o := range w.Demand {
		n := w.expected(o.OnTime)
		if late {
			n = w.expected(o.Late)
		}
		if d == w.Domain {
			l[0].total = n
			continue
		}
		l = append(l, crowd{domain: d, total: n})
	}
	// The order of a map is random beyond the random source, and of equal crowds the first is laid out first.
	slices.SortFunc(l[1:], func(a, b crowd) int { return strings.Compare(string(a.domain), string(b.domain)) })
	if late == w.Late {
		l[0].total++
	}
	return l
}

// pick draws one of the requests that were laid out.
func pick(l []place, r *rand.Rand) place {
	total := 0
	for _, p := range l {
		total += p.count
	}
	at := r.IntN(total)
	for _, p := range l {
		if at < p.count {
			return p
		}
		at -= p.count
	}
	return l[len(l)-1]
}

// choice shows the upstream as it is expected to be half way to the next report, without the request itself.
func (p place) choice(w *Forecast) Choice {
	c := *p.option.view
	w.later(&c, w.Horizon/2, max(0, p.option.given-1)/2)
	return Choice{Candidate: c, Predicted: w.PredictFirstEvent(&c), HasCapacity: p.fits}
}
