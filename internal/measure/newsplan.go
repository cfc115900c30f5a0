package measure

import (
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

const (
	// newsConfigKey is the key of the configuration.
	newsConfigKey = "configuration"
	// newsFaultLasts is how long a fault lasts, and newsFrozenLasts how long a process stands still.
	newsFaultLasts  = 8 * time.Second
	newsFrozenLasts = 5 * time.Second
	// newsBackFor is how long a store that goes down twice is there in between, and newsAwayAgain how long it is away then.
	newsBackFor   = 300 * time.Millisecond
	newsAwayAgain = time.Second
	// newsSecondAfter is when the next reader is stopped: a second after the first one, once it has taken over.
	newsSecondAfter = 1200 * time.Millisecond
	// newsStormEvery is how often the configuration changes in a storm.
	newsStormEvery = 300 * time.Millisecond
	// newsLeavingLasts is how long an upstream is listed as leaving.
	newsLeavingLasts = time.Second
	// newsForgetEvery is how often a store that forgets does so.
	newsForgetEvery = time.Second
	// newsReturnEvery is how often keys are dropped around the return of a reader to the store, from newsReturnBefore
	// until newsReturnAfter: a reader that waits for an answer notices the return as late as that.
	newsReturnEvery  = 100 * time.Millisecond
	newsReturnBefore = 500 * time.Millisecond
	newsReturnAfter  = 2500 * time.Millisecond
	// newsSettles is how long after the last change a process may still learn of it.
	newsSettles = 8 * time.Second
	// newsUpstreamPad is the size in bytes of what an upstream's record says beside its state.
	newsUpstreamPad = 250
)

// The names of the faults.
const (
	newsFaultNone    = "none"
	newsFaultStopped = "reader-stopped"
	newsFaultFrozen  = "reader-frozen"
	newsFaultTwo     = "two-readers-in-a-row"
	newsFaultCut     = "reader-cut-from-store"
	newsFaultDown    = "store-down"
	newsFaultTwice   = "store-down-twice"
	newsFaultSlow    = "store-slow"
	newsFaultLoses   = "store-loses-answers"
	newsFaultRefuses = "store-refuses-some"
	newsFaultForgets = "store-forgets-history"
	newsFaultStorm   = "config-storm"
	newsFaultReturns = "store-returns-older"
)

var newsFaultNames = []string{
	newsFaultNone, newsFaultStopped, newsFaultFrozen, newsFaultTwo, newsFaultCut, newsFaultDown, newsFaultTwice,
	newsFaultSlow,
	newsFaultLoses, newsFaultRefuses, newsFaultForgets, newsFaultStorm, newsFaultReturns,
}

// newsPlan is one run.
type newsPlan struct {
	gateways, stagers, domains, regions int
	changesPerSecond                    float64
	configBytes, upstreams              int
	configEvery, heartbeat              time.Duration
	regionMbps, processMbps             float64
	regionDelay                         time.Duration
	seed                                uint64
	lasts                               time.Duration
	faults                              []string

	// changes are all changes in the order of their times; keys and versions find them.
	changes  []newsChange
	keys     map[string][]int
	versions []int
	// first lists the upstreams of the start.
	first []string
}

// check says what is wrong with the sizes.
func (p *newsPlan) check() error {
	switch {
	case p.gateways < p.domains || p.domains < 1 || p.regions < 1 || p.regions > p.domains || p.stagers < 0:
		return trace.BadParameter("each domain needs a gateway, and each region a domain")
	case p.changesPerSecond <= 0 || p.upstreams < 1 || p.configBytes < 1 || p.regionMbps <= 0 || p.processMbps <= 0:
		return trace.BadParameter("--changes, --upstreams, --config-bytes and the links' speeds are above 0")
	case p.configEvery < 0 || p.heartbeat < 0 || p.regionDelay < 0 || p.lasts <= 0:
		return trace.BadParameter("a time is too short")
	case p.faulty() && p.lasts < newsFaultLasts*2:
		return trace.BadParameter("a run with a fault lasts at least %v", newsFaultLasts*2)
	case p.has(newsFaultTwo) && p.gateways < 2*p.domains:
		return trace.BadParameter("%s needs two gateways in each domain", newsFaultTwo)
	}
	return nil
}

func (p *newsPlan) has(fault string) bool {
	return slices.Contains(p.faults, fault)
}

// faulty says whether there is a fault at all.
func (p *newsPlan) faulty() bool {
	return slices.ContainsFunc(p.faults, func(f string) bool { return f != newsFaultNone })
}

// faultAt is when the faults begin: a quarter into the run.
func (p *newsPlan) faultAt() time.Duration {
	return p.lasts / 4
}

func (p *newsPlan) faultEnd() time.Duration {
	return p.faultAt() + newsFaultLasts
}

// source makes a sequence of random numbers of its own for a purpose.
func (p *newsPlan) source(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.seed, purpose))
}

// The purposes of random numbers; those of the processes follow.
const (
	newsRandomChanges = iota
	newsRandomConfig
	newsRandomRefused
	newsRandomDoors
)

// schedule lays out all changes.
func (p *newsPlan) schedule() {
	s := &newsScheduler{plan: p, random: p.source(newsRandomChanges), due: map[string]time.Duration{}}
	for range p.upstreams {
		s.here = append(s.here, s.name())
	}
	p.first = slices.Clone(s.here)
	every := time.Duration(float64(time.Second) / p.changesPerSecond)
	for at := every; at < p.lasts; at += every {
		s.step(at + time.Duration(s.random.Int64N(int64(every/2)+1)))
	}
	if p.has(newsFaultCut) {
		for at := p.faultEnd() - newsReturnBefore; at < p.faultEnd()+newsReturnAfter; at += newsReturnEvery {
			s.extra = append(s.extra, at)
		}
	}
	s.addConfigurations()
	for _, at := range s.extra {
		s.dropSpare(at)
	}
	if p.has(newsFaultDown) || p.has(newsFaultTwice) {
		p.holdBack()
	}
	slices.SortStableFunc(p.changes, func(a, b newsChange) int { return int(a.at - b.at) })
	p.index()
}

// holdBack moves what would be written while the store is down to its return: nothing can be written either.
func (p *newsPlan) holdBack() {
	for i := range p.changes {
		if c := &p.changes[i]; c.at >= p.faultAt() && c.at < p.faultEnd() {
			c.at = p.faultEnd()
		}
	}
}

// index finds the changes of each key and version.
func (p *newsPlan) index() {
	p.keys, p.versions = map[string][]int{}, []int{-1}
	for i, c := range p.changes {
		if c.stage == newsConfig {
			p.versions = append(p.versions, i)
			continue
		}
		p.keys[c.key] = append(p.keys[c.key], i)
	}
}

// newsScheduler draws the changes of the list.
type newsScheduler struct {
	plan   *newsPlan
	random *rand.Rand
	here   []string
	// leaving lists the keys on their way out, the oldest first, and due when they are dropped.
	leaving []string
	due     map[string]time.Duration
	// extra are the times of more drops, and spare counts their keys.
	extra []time.Duration
	spare int
	named int
}

func (s *newsScheduler) name() string {
	s.named++
	return fmt.Sprintf("u-%d-%06x", s.named, s.random.Uint32N(1<<24))
}

func (s *newsScheduler) add(at time.Duration, key string, stage newsStage) {
	s.plan.changes = append(s.plan.changes, newsChange{at: at, key: key, stage: stage})
}

// step makes one change: upstreams are replaced, and half of them say that they leave before they are dropped.
func (s *newsScheduler) step(at time.Duration) {
	if len(s.leaving) > 0 && s.due[s.leaving[0]] <= at {
		s.add(at, s.leaving[0], newsDropped)
		s.leaving = s.leaving[1:]
		return
	}
	if len(s.here)+len(s.leaving) < s.plan.upstreams || len(s.here) == 0 {
		key := s.name()
		s.here = append(s.here, key)
		s.add(at, key, newsHere)
		return
	}
	i := s.random.IntN(len(s.here))
	key := s.here[i]
	s.here = slices.Delete(s.here, i, i+1)
	if s.random.IntN(2) == 0 {
		s.add(at, key, newsDropped)
		return
	}
	s.add(at, key, newsLeaving)
	s.leaving, s.due[key] = append(s.leaving, key), at+newsLeavingLasts
}

// dropSpare drops an upstream that is listed for this from the start on, and says nothing before.
func (s *newsScheduler) dropSpare(at time.Duration) {
	s.spare++
	key := fmt.Sprintf("spare-%d", s.spare)
	s.plan.first = append(s.plan.first, key)
	s.add(at, key, newsDropped)
}

// addConfigurations adds the versions of the configuration.
func (s *newsScheduler) addConfigurations() {
	p := s.plan
	version := 0
	add := func(at time.Duration) {
		version++
		p.changes = append(p.changes, newsChange{at: at, key: newsConfigKey, stage: newsConfig, version: version})
	}
	storm := p.has(newsFaultStorm)
	// The times are drawn, as a reader's calls are periodic too and would meet all changes alike.
	for from := time.Duration(0); p.configEvery > 0 && from < p.lasts; from += p.configEvery {
		at := from + time.Duration(s.random.Int64N(int64(p.configEvery)))
		if at < p.lasts && (!storm || at < p.faultAt()) {
			add(at)
		}
	}
	if storm {
		for at := p.faultAt(); at < p.faultEnd(); at += newsStormEvery {
			add(at)
		}
	}
}

// newsText is a configuration of routes, of which each version changes some lines.
type newsText struct {
	random *rand.Rand
	lines  []string
}

func newNewsText(bytes int, r *rand.Rand) *newsText {
	t := &newsText{random: r}
	for n := 0; n < bytes; n += len(t.lines[len(t.lines)-1]) {
		t.lines = append(t.lines, t.line(len(t.lines)))
	}
	return t
}

// line is a route; a good part of it is the same in all.
func (t *newsText) line(i int) string {
	token := make([]byte, 48)
	for j := range token {
		token[j] = byte(t.random.Uint32())
	}
	return fmt.Sprintf(`{"route":"r-%05d","organisation":"o-%04d","model":"m-%03d","timeoutMs":%d,"aimMs":%d,"priority":%d,`+
		`"retries":{"most":2,"within_ms":500},"limits":{"header_timeout_ms":5000,"idle_timeout_ms":60000,"body_bytes":1048576},"token":"%s"}`+"\n",
		i, t.random.IntN(2000), t.random.IntN(100), 1000*t.random.IntN(60), t.random.IntN(3000), t.random.IntN(5), hex.EncodeToString(token))
}

// version writes the configuration with a number and some new lines.
func (t *newsText) version(n int) []byte {
	const changed = 3
	for range changed {
		i := t.random.IntN(len(t.lines))
		t.lines[i] = t.line(i)
	}
	b := []byte(strconv.Itoa(n) + "\n")
	for _, l := range t.lines {
		b = append(b, l...)
	}
	return b
}
