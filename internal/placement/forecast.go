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

// Forecast projects the reported load of upstreams, which is always out of date, to the next reports. All gateways see
// the same reports: if each took the upstream that looks best, that one would become the worst, and if each admitted
// what fits by itself, all together would admit several times the capacity. So the requests expected from all gateways
// are assigned to the upstreams, each where it costs least, and a request takes a random one of the assignments of its
// failure domain. The choices of all gateways then add up to that assignment, whatever their number.
type Forecast struct {
	// PredictFirstEvent predicts the request's time to the first event at an upstream.
	PredictFirstEvent func(c *Candidate) time.Duration
	// CanAdmit reports whether an upstream can still begin a usual request within the latency target; nil admits
	// everything.
	CanAdmit func(c *Candidate) bool
	// Advance reduces an upstream's load to what remains after a time without arrivals; nil changes nothing.
	Advance func(c *Candidate, d time.Duration)
	// Horizon is the time between two reports, and UsualPrompt the prompt tokens of a usual request.
	Horizon     time.Duration
	UsualPrompt float64
	// Demand is the load offered to all gateways until then, and Domain the failure domain of this process.
	Demand Demand
	Domain id.Domain
	// Late is true if the request itself can't be served within the latency target any more.
	Late bool
}

// advanceWithArrivals projects an upstream's load to a later time, with a number of requests sent to it until then.
func (w *Forecast) advanceWithArrivals(c *Candidate, d time.Duration, sent int) {
	if w.Advance != nil {
		w.Advance(c, d)
	}
	if w.UsualPrompt > 0 {
		// Requests that arrive between two reports are started between them too, as far as the engine has time.
		started := min(sent, int(c.SpareTokens/w.UsualPrompt), max(0, c.Slots-c.load()))
		c.SpareTokens -= float64(started) * w.UsualPrompt
		c.Running += started
		sent -= started
	}
	c.Waiting += sent
	c.Backlog += float64(sent) * w.UsualPrompt
}

// maxExpectedRequests bounds the effect of rates received from other processes: one second at twenty times the users'
// target peak.
const maxExpectedRequests = 100_000

// admits reports whether an upstream has capacity for one more request. A late request gets a slot that is free at once
// but never waits for one, since requests queued behind it would become late in turn.
func (w *Forecast) admits(c *Candidate, late bool) bool {
	if w.CanAdmit == nil {
		return true
	}
	return w.CanAdmit(c) && (!late || c.load() < c.Slots)
}

// expectedRequests returns the number of requests within the horizon at a rate per second; invalid rates count as 0.
func (w *Forecast) expectedRequests(perSecond float64) int {
	n := perSecond * w.Horizon.Seconds()
	if !(n > 0) {
		return 0
	}
	return int(min(n, maxExpectedRequests))
}

// option is an upstream with the cost of one more request there.
type option struct {
	Candidate
	// reported is the upstream as reported; the embedded Candidate is projected to the next report.
	reported *Candidate
	// cost is that of a request from the upstream's own failure domain, in nanoseconds.
	cost float64
	// jitter is the random factor of the cost, which breaks ties.
	jitter float64
	// assigned counts the requests assigned to the upstream.
	assigned int
}

// outOfPermits reports whether the upstream's rate limit has no permit for one more request.
func (o *option) outOfPermits() bool {
	return o.Limit != nil && o.assigned >= o.Limit.Permits
}

// updateCost sets the cost of one more request. An upstream without permits takes none, however idle it looks.
func (o *option) updateCost(w *Forecast) {
	if o.outOfPermits() {
		o.cost = math.Inf(1)
		return
	}
	o.cost = float64(w.PredictFirstEvent(&o.Candidate)) * o.jitter
	if !o.Fresh {
		o.cost += float64(unreportedCost)
	}
}

// assignment distributes expected requests over the upstreams that may be chosen.
type assignment struct {
	forecast *Forecast
	options  []option
	// byDomain holds the upstreams of each failure domain as a heap by cost, so that a step of the assignment compares
	// one upstream per domain rather than all of them.
	byDomain []domainHeap
}

// domainHeap holds the upstreams of one failure domain as a heap by cost.
type domainHeap struct {
	domain id.Domain
	heap   []*option
}

// assignments are pooled: one for 870 upstreams takes 200 KB.
var assignments = sync.Pool{New: func() any { return &assignment{} }}

// prepare loads the upstreams as they are expected to be when the next reports arrive.
func (y *assignment) prepare(l []Candidate, tried map[id.Instance]bool, w *Forecast, r *rand.Rand, suspects bool) {
	y.forecast, y.byDomain = w, y.byDomain[:0]
	y.options = slices.Grow(y.options[:0], len(l))
	for i := range l {
		if tried[l[i].Instance] || l[i].Suspect != suspects {
			continue
		}
		y.options = append(y.options, option{Candidate: l[i], reported: &l[i], jitter: 1 - costJitter*r.Float64()})
		o := &y.options[len(y.options)-1]
		w.advanceWithArrivals(&o.Candidate, w.Horizon, 0)
		o.updateCost(w)
		y.addToDomain(o)
	}
	for i := range y.byDomain {
		h := y.byDomain[i].heap
		for index := len(h)/2 - 1; index >= 0; index-- {
			siftDown(h, index)
		}
	}
}

// addToDomain appends an upstream to its failure domain, without restoring the heap order.
func (y *assignment) addToDomain(o *option) {
	for i := range y.byDomain {
		if y.byDomain[i].domain == o.Domain {
			y.byDomain[i].heap = append(y.byDomain[i].heap, o)
			return
		}
	}
	if len(y.byDomain) < cap(y.byDomain) {
		// Reuses the heap slice of an earlier assignment.
		y.byDomain = y.byDomain[:len(y.byDomain)+1]
	} else {
		y.byDomain = append(y.byDomain, domainHeap{})
	}
	n := &y.byDomain[len(y.byDomain)-1]
	n.domain, n.heap = o.Domain, append(n.heap[:0], o)
}

// siftDown moves an upstream down a heap until no child costs less.
func siftDown(h []*option, index int) {
	for {
		cheapest := index
		for _, below := range []int{2*index + 1, 2*index + 2} {
			if below < len(h) && h[below].cost < h[cheapest].cost {
				cheapest = below
			}
		}
		if cheapest == index {
			return
		}
		h[index], h[cheapest] = h[cheapest], h[index]
		index = cheapest
	}
}

// cheapestDomain returns the failure domain whose first upstream has the lowest cost for a request of domain d.
func (y *assignment) cheapestDomain(d id.Domain) *domainHeap {
	var best *domainHeap
	lowest := 0.0
	for i := range y.byDomain {
		n := &y.byDomain[i]
		cost := n.heap[0].cost
		if n.domain != d {
			cost += float64(crossDomainCost)
		}
		if best == nil || cost < lowest {
			best, lowest = n, cost
		}
	}
	return best
}

// batch is a number of requests assigned to one upstream; admitted is true if there is capacity for them.
type batch struct {
	option   *option
	count    int
	admitted bool
}

// maxAssignSteps bounds the number of batches, and so the work per choice.
const maxAssignSteps = 64

// domainLoad counts the requests of one failure domain that are to be assigned.
type domainLoad struct {
	domain          id.Domain
	total, assigned int
}

// assignAll assigns the requests of all failure domains in proportion, each batch to the upstream where one more request
// costs least, and returns the batches of this process's domain.
func (y *assignment) assignAll(late bool) []batch {
	l := y.forecast.domainLoads(late)
	total := 0
	for _, c := range l {
		total += c.total
	}
	step := (total + maxAssignSteps - 1) / maxAssignSteps
	var own []batch
	for {
		c := leastAssigned(l)
		if c == nil {
			return own
		}
		p := y.assignBatch(c.domain, min(step, c.total-c.assigned), late)
		c.assigned += p.count
		if c.domain == y.forecast.Domain {
			own = append(own, p)
		}
	}
}

// leastAssigned returns the failure domain with the smallest assigned share, or nil once all requests are assigned.
func leastAssigned(l []domainLoad) *domainLoad {
	var behind *domainLoad
	for i := range l {
		c := &l[i]
		if c.assigned >= c.total {
			continue
		}
		if behind == nil || c.assigned*behind.total < behind.assigned*c.total {
			behind = c
		}
	}
	return behind
}

// assignBatch assigns up to n requests of a failure domain to the upstream where one more costs least.
func (y *assignment) assignBatch(d id.Domain, n int, late bool) batch {
	w := y.forecast
	h := y.cheapestDomain(d).heap
	o := h[0]
	if o.Limit != nil && !o.outOfPermits() {
		n = min(n, o.Limit.Permits-o.assigned)
	}
	p := batch{option: o, count: n, admitted: !o.outOfPermits() && w.admits(&o.Candidate, late)}
	o.assigned += n
	w.advanceWithArrivals(&o.Candidate, 0, n)
	o.updateCost(w)
	siftDown(h, 0)
	return p
}

// choose assigns the expected requests together with the request itself, and takes up to n random batches of the same
// kind, each of another upstream. Requests that can still be served in time come first: a late one is worth a fraction of
// them. Upstreams of the own failure domain that were assigned no request follow, the cheapest first.
func (y *assignment) choose(n int, r *rand.Rand) []Choice {
	w := y.forecast
	own := y.assignAll(false)
	if w.Late {
		own = y.assignAll(true)
	}
	var l []Choice
	for len(l) < n && len(own) > 0 {
		p := pickBatch(own, r)
		l = append(l, p.choice(w))
		own = slices.DeleteFunc(own, func(o batch) bool { return o.option == p.option })
	}
	if len(l) < n {
		l = y.appendUnassigned(l, n)
	}
	return l
}

// appendUnassigned appends upstreams of the own failure domain that are not in the list, the cheapest first, until it has
// n entries. As n is small, each is searched for; sorting all of them takes longer.
func (y *assignment) appendUnassigned(l []Choice, n int) []Choice {
	w := y.forecast
	for len(l) < n {
		var cheapest *option
		for i := range y.options {
			o := &y.options[i]
			if o.Domain != w.Domain || o.outOfPermits() || (cheapest != nil && o.cost >= cheapest.cost) {
				continue
			}
			if !slices.ContainsFunc(l, func(c Choice) bool { return c.Instance == o.Instance }) {
				cheapest = o
			}
		}
		if cheapest == nil {
			break
		}
		l = append(l, batch{option: cheapest, admitted: w.admits(&cheapest.Candidate, w.Late)}.choice(w))
	}
	return l
}

// domainLoads returns the expected late or on-time requests by failure domain, this process's domain first and with the
// request itself included where it is of that kind.
func (w *Forecast) domainLoads(late bool) []domainLoad {
	l := []domainLoad{{domain: w.Domain}}
	for d, o := range w.Demand {
		n := w.expectedRequests(o.OnTime)
		if late {
			n = w.expectedRequests(o.Late)
		}
		if d == w.Domain {
			l[0].total = n
			continue
		}
		l = append(l, domainLoad{domain: d, total: n})
	}
	// Map order is random regardless of the seed, and of equal domains the first is assigned first.
	slices.SortFunc(l[1:], func(a, b domainLoad) int { return strings.Compare(string(a.domain), string(b.domain)) })
	if late == w.Late {
		l[0].total++
	}
	return l
}

// pickBatch draws a batch at random, weighted by its number of requests.
func pickBatch(l []batch, r *rand.Rand) batch {
	total := 0
	for _, p := range l {
		total += p.count
	}
	index := r.IntN(total)
	for _, p := range l {
		if index < p.count {
			return p
		}
		index -= p.count
	}
	return l[len(l)-1]
}

// choice returns the upstream as expected half-way to the next report, without the request itself.
func (p batch) choice(w *Forecast) Choice {
	c := *p.option.reported
	w.advanceWithArrivals(&c, w.Horizon/2, max(0, p.option.assigned-1)/2)
	return Choice{Candidate: c, Predicted: w.PredictFirstEvent(&c), HasCapacity: p.admitted}
}
