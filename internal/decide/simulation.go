package decide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/gateway"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// pool and model are the names of the only pool and model of a simulation.
const (
	pool  id.Pool  = "engines"
	model id.Model = "m"
)

// simulation is one run of a scenario.
type simulation struct {
	*clock
	scenario         *Scenario
	variant          *Variant
	catalog          *catalog.Catalog
	routes           map[string]*catalog.Route
	linkRandom       *rand.Rand
	engines          []*engine
	gateways         []*simGateway
	gatewaysByDomain [][]*simGateway
	requests         []*request
	// stagerFacts is what stagers know of published versions.
	stagerFacts *facts.Facts
	// demandSamples are the last sums of the offered load, newest first: as many as stagers report within a second.
	demandSamples  []placement.Demand
	latencySamples []latencySample
	// begunOnExpired counts requests that began on a version after its lifetime.
	begunOnExpired int
	// reservationCount numbers the requests for reservations.
	reservationCount uint64
}

// Simulate runs a scenario once; the same scenario, variant and seed give the same result.
func Simulate(s *Scenario, w *Variant, seed uint64) *Result {
	p := newSimulation(s, w, seed)
	p.run()
	return p.result(seed)
}

func newSimulation(s *Scenario, w *Variant, seed uint64) *simulation {
	p := &simulation{clock: newClock(), scenario: s, variant: w, linkRandom: randomStream(seed, seedLinks), requests: s.generateRequests(seed)}
	p.configure()
	p.stagerFacts = facts.New(p.now)
	p.stagerFacts.SetWanted(model, facts.Publication{Revision: 1, PublishTime: dating.TimeBounds{After: p.now()}})
	upstreams, random := randomStream(seed, seedUpstreams), randomStream(seed, seedGateways)
	for i := range s.Domains {
		p.addDomain(i, upstreams, random)
	}
	for _, d := range p.gateways {
		for _, e := range p.engines {
			d.listEngine(e)
		}
	}
	for i := range s.Versions {
		p.publishVersion(id.Revision(i+2), &s.Versions[i], upstreams)
	}
	faults := randomStream(seed, seedFaults)
	for _, c := range s.Crashes {
		p.scheduleCrash(c, faults)
	}
	for _, q := range p.requests {
		p.schedule(q.arrivedAt, func() { p.submit(q, q.homeGateway) })
	}
	p.schedule(0, p.sampleDemand)
	if s.Engine.SlowShare > 0 {
		slow := randomStream(seed, seedSlowness)
		p.schedule(0, func() { p.slowEngines(slow) })
	}
	return p
}

// configure builds the catalog that the gateways use.
func (p *simulation) configure() {
	s := p.scenario
	e := &s.Engine
	p.routes = map[string]*catalog.Route{}
	var routes []*catalog.Route
	for i := range s.Kinds {
		k := &s.Kinds[i]
		r := &catalog.Route{
			Name: id.Route(k.Name), Host: "h", PathPrefix: "/" + k.Name + "/", Kind: catalog.Streaming, Timeout: ms(k.PatienceMs), LatencyTarget: ms(k.AimMs),
			GapTarget: ms(k.GapAimMs), Shares: []catalog.Share{{Pool: pool, Weight: 1}}, MaxAttempts: k.MaxAttempts, Resumable: true, Public: true,
		}
		p.routes[k.Name] = r
		routes = append(routes, r)
	}
	engine := &catalog.Engine{
		Slots: e.Slots, StepTime: ms(e.StepMs), StepTimePerRequest: ms(e.PerSeqMs), StepTimePer1kContext: ms(e.ContextPerKMs), PrefillTokensPerSecond: e.ReadPerS,
		MaxPrefillTokens: e.Chunk, StepsPerPass: e.Stride, LoadTime: ms(e.LoadMs), Models: []id.Model{model},
		MeanPromptTokens: s.weightedMean(func(k *Kind) float64 { return k.Prompt.Mean }),
		MeanAnswerTokens: s.weightedMean(func(k *Kind) float64 { return k.Events.Mean }) * float64(e.Stride),
	}
	p.catalog = catalog.New(1, routes, []*catalog.Service{{Name: pool, Engine: engine}}, nil, catalog.Limits{})
}

// addDomain creates the engines and gateways of a failure domain.
func (p *simulation) addDomain(i int, upstreams, random *rand.Rand) {
	d := &p.scenario.Domains[i]
	for n := range d.Upstreams {
		e := &engine{
			sim: p, name: id.Instance(fmt.Sprintf("%s-%d", d.Name, n)), address: fmt.Sprintf("%s:%d", d.Name, n), domain: id.Domain(d.Name),
			born: 1, up: true, held: 1, staged: 1, slowdown: 1, pace: 1,
		}
		p.engines = append(p.engines, e)
		e.interval = ms(p.scenario.Reports.IntervalMs)
		if p.variant.reportIntervalFactor > 0 {
			e.interval = time.Duration(float64(e.interval) * p.variant.reportIntervalFactor)
		}
		if p.variant.reservationsAsked > 0 {
			e.startReservations()
		}
		p.schedule(time.Duration(upstreams.Float64()*float64(e.interval)), e.reportPeriodically)
	}
	var l []*simGateway
	for range d.Gateways {
		g := p.newSimGateway(id.Domain(d.Name), rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
		p.gateways = append(p.gateways, g)
		l = append(l, g)
	}
	p.gatewaysByDomain = append(p.gatewaysByDomain, l)
}

// slowEngines draws the engines that work slower until the next draw.
func (p *simulation) slowEngines(r *rand.Rand) {
	if p.elapsed > p.endTime() {
		return
	}
	s := &p.scenario.Engine
	slow := int(math.Round(s.SlowShare * float64(len(p.engines))))
	for rank, i := range r.Perm(len(p.engines)) {
		if p.engines[i].slowdown = 1; rank < slow {
			p.engines[i].slowdown = s.SlowFactor
		}
	}
	p.after(seconds(s.SlowSeconds), func() { p.slowEngines(r) })
}

// oneWayDelay returns the network delay between two failure domains.
func (p *simulation) oneWayDelay(a, b id.Domain) time.Duration {
	if a == b {
		return ms(p.scenario.Links.LocalMs)
	}
	return ms(p.scenario.Links.RemoteMs)
}

// endTime is the time by which all requests have ended.
func (p *simulation) endTime() time.Duration {
	longest := 0.0
	for _, k := range p.scenario.Kinds {
		longest = max(longest, k.PatienceMs)
	}
	return seconds(p.scenario.Seconds) + 2*ms(longest)
}

// defaultSettings are the default settings of a gateway.
var defaultSettings = gateway.NewSettings()
