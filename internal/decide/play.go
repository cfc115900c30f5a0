package decide

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/gateway"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// pool and model are the names of the only pool and model of a play.
const (
	pool  id.Pool  = "engines"
	model id.Model = "m"
)

// play is one run of a scenario.
type play struct {
	*clock
	scenario *Scenario
	way      *Variant
	catalog  *catalog.Catalog
	routes   map[string]*catalog.Route
	links    *rand.Rand
	engines  []*engine
	doors    []*door
	byDomain [][]*door
	requests []*request
	// news is what stagers know of versions.
	news *facts.Facts
	// offered are the last sums of what callers bring, newest first, as many as stagers told within a second.
	offered []placement.Demand
	points  []point
	// over counts requests that began on a version whose time had passed.
	over int
}

// Simulate plays a scenario once; the same scenario, way and seed give the same result.
func Simulate(s *Scenario, w *Variant, seed uint64) *Result {
	p := newPlay(s, w, seed)
	p.run()
	return p.result(seed)
}

func newPlay(s *Scenario, w *Variant, seed uint64) *play {
	p := &play{clock: newClock(), scenario: s, way: w, links: stream(seed, seedLinks), requests: s.demand(seed)}
	p.configure()
	p.news = facts.New(p.now)
	p.news.SetWanted(model, facts.Publication{Revision: 1, PublishTime: dating.TimeBounds{After: p.now()}})
	upstreams, random := stream(seed, seedUpstreams), stream(seed, seedGateways)
	for i := range s.Domains {
		p.addDomain(i, upstreams, random)
	}
	for _, d := range p.doors {
		for _, e := range p.engines {
			d.list(e)
		}
	}
	for i := range s.Versions {
		p.bringOut(id.Revision(i+2), &s.Versions[i], upstreams)
	}
	faults := stream(seed, seedFaults)
	for _, c := range s.Crashes {
		p.crash(c, faults)
	}
	for _, q := range p.requests {
		p.on(q.at, func() { p.try(q, q.home) })
	}
	p.on(0, p.offer)
	return p
}

// configure makes the catalog that the gateways decide by.
func (p *play) configure() {
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
		MeanPromptTokens: s.usual(func(k *Kind) float64 { return k.Prompt.Mean }),
		MeanAnswerTokens: s.usual(func(k *Kind) float64 { return k.Events.Mean }) * float64(e.Stride),
	}
	p.catalog = catalog.New(1, routes, []*catalog.Service{{Name: pool, Engine: engine}}, nil, catalog.Limits{})
}

// addDomain makes the engines and gateways of a failure domain.
func (p *play) addDomain(i int, upstreams, random *rand.Rand) {
	d := &p.scenario.Domains[i]
	for n := range d.Upstreams {
		e := &engine{
			play: p, name: id.Instance(fmt.Sprintf("%s-%d", d.Name, n)), address: fmt.Sprintf("%s:%d", d.Name, n), domain: id.Domain(d.Name),
			born: 1, up: true, held: 1, staged: 1,
		}
		p.engines = append(p.engines, e)
		e.every = ms(p.scenario.Reports.IntervalMs)
		if p.way.reportEvery > 0 {
			e.every = time.Duration(float64(e.every) * p.way.reportEvery)
		}
		p.on(time.Duration(upstreams.Float64()*float64(e.every)), e.tick)
	}
	var l []*door
	for range d.Gateways {
		g := p.newDoor(id.Domain(d.Name), rand.New(rand.NewPCG(random.Uint64(), random.Uint64())))
		p.doors = append(p.doors, g)
		l = append(l, g)
	}
	p.byDomain = append(p.byDomain, l)
}

// way is the time of one way between two failure domains.
func (p *play) between(a, b id.Domain) time.Duration {
	if a == b {
		return ms(p.scenario.Links.LocalMs)
	}
	return ms(p.scenario.Links.RemoteMs)
}

// ends is when all has ended that began.
func (p *play) ends() time.Duration {
	longest := 0.0
	for _, k := range p.scenario.Kinds {
		longest = max(longest, k.PatienceMs)
	}
	return seconds(p.scenario.Seconds) + 2*ms(longest)
}

// settings are those that a gateway has by itself.
var settings = gateway.NewSettings()
