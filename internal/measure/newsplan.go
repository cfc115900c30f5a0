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
	// newsConfigKey is the record key of the configuration.
	newsConfigKey = "configuration"
	// newsFaultDuration is the duration of a fault, and newsFreezeDuration how long a process is suspended.
	newsFaultDuration  = 8 * time.Second
	newsFreezeDuration = 5 * time.Second
	// newsOutageGap is the time between the two outages of a store that goes down twice, and newsSecondOutage the
	// length of the second.
	newsOutageGap    = 300 * time.Millisecond
	newsSecondOutage = time.Second
	// newsSecondStopAfter is the time from stopping the first reader until its successor is stopped: a second and
	// more, so that the successor has taken over.
	newsSecondStopAfter = 1200 * time.Millisecond
	// newsStormEvery is the time between configuration changes in a storm of them.
	newsStormEvery = 300 * time.Millisecond
	// newsLeavingDuration is how long an upstream is listed as leaving before it is dropped.
	newsLeavingDuration = time.Second
	// newsHistoryExpiryEvery is the interval at which a store expires its history under that fault.
	newsHistoryExpiryEvery = time.Second
	// newsReaderReturnDropEvery is the interval of extra drops of keys around a reader's return to the store, from
	// newsReaderReturnBefore until newsReaderReturnAfter: a reader that waits for an answer notices its return as
	// late as that.
	newsReaderReturnDropEvery = 100 * time.Millisecond
	newsReaderReturnBefore    = 500 * time.Millisecond
	newsReaderReturnAfter     = 2500 * time.Millisecond
	// newsSettleTimeout is how long after the last change processes may still receive it.
	newsSettleTimeout = 8 * time.Second
	// newsUpstreamPadding is the size in bytes of an upstream's record besides its state.
	newsUpstreamPadding = 250
)

// The faults of the news experiment, as values of the flag.
const (
	newsFaultNone              = "none"
	newsFaultReaderStopped     = "reader-stopped"
	newsFaultReaderFrozen      = "reader-frozen"
	newsFaultTwoReadersStopped = "two-readers-in-a-row"
	newsFaultReaderCut         = "reader-cut-from-store"
	newsFaultStoreDown         = "store-down"
	newsFaultStoreDownTwice    = "store-down-twice"
	newsFaultStoreSlow         = "store-slow"
	newsFaultAnswersLost       = "store-loses-answers"
	newsFaultSomeRefused       = "store-refuses-some"
	newsFaultHistoryExpired    = "store-forgets-history"
	newsFaultConfigStorm       = "config-storm"
	newsFaultStoreRestored     = "store-returns-older"
)

var newsFaultNames = []string{
	newsFaultNone, newsFaultReaderStopped, newsFaultReaderFrozen, newsFaultTwoReadersStopped, newsFaultReaderCut, newsFaultStoreDown, newsFaultStoreDownTwice,
	newsFaultStoreSlow,
	newsFaultAnswersLost, newsFaultSomeRefused, newsFaultHistoryExpired, newsFaultConfigStorm, newsFaultStoreRestored,
}

// newsPlan is the configuration of one run and the schedule of its changes.
type newsPlan struct {
	gateways, stagers, domains, regions int
	changesPerSecond                    float64
	configBytes, upstreams              int
	configEvery, heartbeat              time.Duration
	regionMbps, processMbps             float64
	regionDelay                         time.Duration
	seed                                uint64
	duration                            time.Duration
	faults                              []string

	// changes holds all changes by time; keys and versions index them by key and by configuration version.
	changes  []newsChange
	keys     map[string][]int
	versions []int
	// initialUpstreams lists the upstreams that exist at the start.
	initialUpstreams []string
}

// validate checks the plan's sizes and times.
func (p *newsPlan) validate() error {
	switch {
	case p.gateways < p.domains || p.domains < 1 || p.regions < 1 || p.regions > p.domains || p.stagers < 0:
		return trace.BadParameter("--gateways must be at least --domains, --domains at least --regions, --regions at least 1, and --stagers not negative")
	case p.changesPerSecond <= 0 || p.upstreams < 1 || p.configBytes < 1 || p.regionMbps <= 0 || p.processMbps <= 0:
		return trace.BadParameter("--changes, --upstreams, --config-bytes and the links' speeds must be above 0")
	case p.configEvery < 0 || p.heartbeat < 0 || p.regionDelay < 0 || p.duration <= 0:
		return trace.BadParameter("--config-every, --heartbeat and --region-delay must not be negative, and --seconds must be above 0")
	case p.hasAnyFault() && p.duration < newsFaultDuration*2:
		return trace.BadParameter("a run with a fault must last at least %v", newsFaultDuration*2)
	case p.hasFault(newsFaultTwoReadersStopped) && p.gateways < 2*p.domains:
		return trace.BadParameter("fault %s needs at least two gateways in each domain", newsFaultTwoReadersStopped)
	}
	return nil
}

func (p *newsPlan) hasFault(fault string) bool {
	return slices.Contains(p.faults, fault)
}

// hasAnyFault reports whether the plan has any fault.
func (p *newsPlan) hasAnyFault() bool {
	return slices.ContainsFunc(p.faults, func(f string) bool { return f != newsFaultNone })
}

// faultStart returns when the faults begin: a quarter into the run.
func (p *newsPlan) faultStart() time.Duration {
	return p.duration / 4
}

func (p *newsPlan) faultEnd() time.Duration {
	return p.faultStart() + newsFaultDuration
}

// newRandom returns a random source for one purpose, derived from the plan's seed.
func (p *newsPlan) newRandom(purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(p.seed, purpose))
}

// The purposes of random sources; those of the processes' store clients are numbered from the last one on.
const (
	newsRandomChanges = iota
	newsRandomConfig
	newsRandomRefused
	newsRandomStoreClients
)

// schedule draws all changes of the run.
func (p *newsPlan) schedule() {
	s := &newsScheduler{plan: p, random: p.newRandom(newsRandomChanges), due: map[string]time.Duration{}}
	for range p.upstreams {
		s.listed = append(s.listed, s.newKey())
	}
	p.initialUpstreams = slices.Clone(s.listed)
	every := time.Duration(float64(time.Second) / p.changesPerSecond)
	for at := every; at < p.duration; at += every {
		s.step(at + time.Duration(s.random.Int64N(int64(every/2)+1)))
	}
	if p.hasFault(newsFaultReaderCut) {
		for at := p.faultEnd() - newsReaderReturnBefore; at < p.faultEnd()+newsReaderReturnAfter; at += newsReaderReturnDropEvery {
			s.extraDrops = append(s.extraDrops, at)
		}
	}
	s.addConfigurations()
	for _, at := range s.extraDrops {
		s.dropSpare(at)
	}
	if p.hasFault(newsFaultStoreDown) || p.hasFault(newsFaultStoreDownTwice) {
		p.delayToOutageEnd()
	}
	slices.SortStableFunc(p.changes, func(a, b newsChange) int { return int(a.at - b.at) })
	p.index()
}

// delayToOutageEnd moves the changes within an outage of the store to its end, as nothing can be written before.
func (p *newsPlan) delayToOutageEnd() {
	for i := range p.changes {
		if c := &p.changes[i]; c.at >= p.faultStart() && c.at < p.faultEnd() {
			c.at = p.faultEnd()
		}
	}
}

// index builds the indexes of changes by key and by configuration version.
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

// newsScheduler draws the changes of the list of upstreams.
type newsScheduler struct {
	plan   *newsPlan
	random *rand.Rand
	listed []string
	// leaving holds the keys that are listed as leaving, the oldest first, and due the times at which they are
	// dropped.
	leaving []string
	due     map[string]time.Duration
	// extraDrops holds the times of additional drops, and spareCount counts the keys made for them.
	extraDrops []time.Duration
	spareCount int
	keyCount   int
}

func (s *newsScheduler) newKey() string {
	s.keyCount++
	return fmt.Sprintf("u-%d-%06x", s.keyCount, s.random.Uint32N(1<<24))
}

func (s *newsScheduler) add(at time.Duration, key string, stage newsStage) {
	s.plan.changes = append(s.plan.changes, newsChange{at: at, key: key, stage: stage})
}

// step schedules one change: upstreams are replaced, and half of them are listed as leaving before they are dropped.
func (s *newsScheduler) step(at time.Duration) {
	if len(s.leaving) > 0 && s.due[s.leaving[0]] <= at {
		s.add(at, s.leaving[0], newsDropped)
		s.leaving = s.leaving[1:]
		return
	}
	if len(s.listed)+len(s.leaving) < s.plan.upstreams || len(s.listed) == 0 {
		key := s.newKey()
		s.listed = append(s.listed, key)
		s.add(at, key, newsPresent)
		return
	}
	i := s.random.IntN(len(s.listed))
	key := s.listed[i]
	s.listed = slices.Delete(s.listed, i, i+1)
	if s.random.IntN(2) == 0 {
		s.add(at, key, newsDropped)
		return
	}
	s.add(at, key, newsLeaving)
	s.leaving, s.due[key] = append(s.leaving, key), at+newsLeavingDuration
}

// dropSpare schedules the drop of an upstream that is listed from the start for this only and never announces that it
// leaves.
func (s *newsScheduler) dropSpare(at time.Duration) {
	s.spareCount++
	key := fmt.Sprintf("spare-%d", s.spareCount)
	s.plan.initialUpstreams = append(s.plan.initialUpstreams, key)
	s.add(at, key, newsDropped)
}

// addConfigurations schedules the versions of the configuration.
func (s *newsScheduler) addConfigurations() {
	p := s.plan
	version := 0
	add := func(at time.Duration) {
		version++
		p.changes = append(p.changes, newsChange{at: at, key: newsConfigKey, stage: newsConfig, version: version})
	}
	storm := p.hasFault(newsFaultConfigStorm)
	// Times are random: a reader's calls are periodic, and periodic changes would all meet them at the same phase.
	for from := time.Duration(0); p.configEvery > 0 && from < p.duration; from += p.configEvery {
		at := from + time.Duration(s.random.Int64N(int64(p.configEvery)))
		if at < p.duration && (!storm || at < p.faultStart()) {
			add(at)
		}
	}
	if storm {
		for at := p.faultStart(); at < p.faultEnd(); at += newsStormEvery {
			add(at)
		}
	}
}

// newsConfigText generates a configuration of routes; each version changes some of its lines.
type newsConfigText struct {
	random *rand.Rand
	lines  []string
}

func newNewsConfigText(bytes int, r *rand.Rand) *newsConfigText {
	t := &newsConfigText{random: r}
	for n := 0; n < bytes; n += len(t.lines[len(t.lines)-1]) {
		t.lines = append(t.lines, t.line(len(t.lines)))
	}
	return t
}

// line returns the line of a route; much of its text is the same in all lines.
func (t *newsConfigText) line(i int) string {
	token := make([]byte, 48)
	for j := range token {
		token[j] = byte(t.random.Uint32())
	}
	return fmt.Sprintf(`{"route":"r-%05d","organisation":"o-%04d","model":"m-%03d","timeoutMs":%d,"aimMs":%d,"priority":%d,`+
		`"retries":{"most":2,"within_ms":500},"limits":{"header_timeout_ms":5000,"idle_timeout_ms":60000,"body_bytes":1048576},"token":"%s"}`+"\n",
		i, t.random.IntN(2000), t.random.IntN(100), 1000*t.random.IntN(60), t.random.IntN(3000), t.random.IntN(5), hex.EncodeToString(token))
}

// version returns the configuration with a version number and some changed lines.
func (t *newsConfigText) version(n int) []byte {
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
