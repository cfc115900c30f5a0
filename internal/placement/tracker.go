package placement

import (
	"math"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

const (
	// reportLife is how long an upstream's figures are believed: five reports at the usual 200 ms.
	reportLife = time.Second
	// suspectBase is how long an upstream is left alone after a first failure, and suspectMost bounds the doubling.
	suspectBase = 400 * time.Millisecond
	suspectMost = 4 * time.Second
	// stallBase is the same for an upstream that let a request wait far beyond its predicted time: what is slow, cut
	// off or frozen stays so for seconds.
	stallBase = 1500 * time.Millisecond
	// paceWeight is the weight of the newest observation in an upstream's observed pace.
	paceWeight = 0.2
	// slowMemory is the time in which an observed slowness fades by e without another one: an upstream that gets a few
	// requests a second of each gateway is looked at again that soon.
	slowMemory = 2 * time.Second
	// shareOfAll is how many gateways are taken to send as much as this one to an upstream whose own figures are not
	// known; today's deployments have six or seven.
	shareOfAll = 6
)

// LoadReport is what an upstream's stager says of it.
type LoadReport struct {
	Running, Waiting int
	Pace             float64
	Held             []facts.Held
	Closed           bool
	Down             bool
	// Narrow is true while requests queue on their way to the upstream.
	Narrow bool
	Taken  time.Time
}

// sent is one request of this process at an upstream.
type sent struct {
	at      time.Time
	tokens  float64
	started bool
}

// upstream is what the tracker keeps of one address.
type upstream struct {
	report   LoadReport
	sent     map[*sent]struct{}
	failures int
	until    time.Time
	// slow is the observed time over the predicted one, as a running mean, at the time of the last observation.
	slow   float64
	slowAt time.Time
}

// slowness is the observed time over the predicted one, faded towards the usual since it was observed. Without that a
// process that takes an upstream for slow sends it nothing and never learns better.
func (u *upstream) slowness(now time.Time) float64 {
	return 1 + (u.slow-1)*math.Exp(-now.Sub(u.slowAt).Seconds()/slowMemory.Seconds())
}

// Tracker follows this process's own requests at each upstream, and what upstreams say. It is safe for concurrent use.
type Tracker struct {
	now   func() time.Time
	mu    sync.Mutex
	known map[string]*upstream
}

// NewTracker makes an empty tracker.
func NewTracker(now func() time.Time) *Tracker {
	return &Tracker{now: now, known: map[string]*upstream{}}
}

func (t *Tracker) at(address string) *upstream {
	u := t.known[address]
	if u == nil {
		u = &upstream{sent: map[*sent]struct{}{}, slow: 1}
		t.known[address] = u
	}
	return u
}

// SetReport takes an upstream's figures.
func (t *Tracker) SetReport(address string, r LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.at(address).report = r
}

// Fresh returns an upstream's report if it is new enough to be believed.
func (t *Tracker) Fresh(address string) (LoadReport, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.known[address]
	if u == nil || t.now().Sub(u.report.Taken) > reportLife {
		return LoadReport{}, false
	}
	return u.report, true
}

// Flight is a request at an upstream.
type Flight struct {
	tracker   *Tracker
	upstream  *upstream
	sent      *sent
	predicted time.Duration
}

// Begin notes a request that is about to be sent.
func (t *Tracker) Begin(address string, tokens float64, predicted time.Duration) *Flight {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.at(address)
	s := &sent{at: t.now(), tokens: tokens}
	u.sent[s] = struct{}{}
	return &Flight{tracker: t, upstream: u, sent: s, predicted: predicted}
}

// Started notes the first event and how far off the prediction was.
func (f *Flight) Started() time.Duration {
	t := f.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	took := t.now().Sub(f.sent.at)
	f.sent.started = true
	u := f.upstream
	u.failures = 0
	if f.predicted > 0 {
		ratio := float64(took) / float64(f.predicted)
		slow := u.slowness(t.now())
		u.slow, u.slowAt = slow+paceWeight*(min(ratio, suspectRatio)-slow), t.now()
	}
	return took
}

// suspectRatio bounds one observation, so that a single stall does not mark an upstream for long.
const suspectRatio = 8

// End notes that the request is over.
func (f *Flight) End() {
	f.tracker.mu.Lock()
	defer f.tracker.mu.Unlock()
	delete(f.upstream.sent, f.sent)
}

// Failed notes that an upstream failed a request, and leaves it alone for a while.
func (t *Tracker) Failed(address string) {
	t.suspect(address, suspectBase)
}

// Stalled notes that an upstream let a request wait, and leaves it alone for longer.
func (t *Tracker) Stalled(address string) {
	t.suspect(address, stallBase)
}

func (t *Tracker) suspect(address string, base time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.at(address)
	d := base << min(u.failures, 4)
	u.failures++
	u.until = t.now().Add(min(d, suspectMost))
}

// Candidate fills in what the tracker knows of an upstream. The usual prompt stands in for those of other processes.
func (t *Tracker) Candidate(i *facts.Instance, usualPrompt float64) Candidate {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	c := Candidate{Instance: i.ID, Address: i.Address, Domain: i.Domain, Slots: i.Slots, Pace: 1}
	u := t.known[i.Address]
	if u == nil {
		return c
	}
	c.InFlight = len(u.sent)
	c.Suspect = now.Before(u.until)
	c.Pace = max(1, u.slowness(now))
	c.Known = now.Sub(u.report.Taken) <= reportLife
	if !c.Known {
		c.Waiting = shareOfAll * len(u.sent)
		for s := range u.sent {
			if !s.started {
				c.Backlog += shareOfAll * s.tokens
			}
		}
		return c
	}
	c.Age = max(0, now.Sub(u.report.Taken))
	c.Narrow = u.report.Narrow
	c.Suspect = c.Suspect || c.Narrow
	c.Running, c.Waiting = u.report.Running, u.report.Waiting
	c.Pace = max(c.Pace, u.report.Pace)
	c.Backlog = float64(u.report.Waiting) * usualPrompt
	for s := range u.sent {
		if s.at.After(u.report.Taken) {
			c.Waiting++
			c.Backlog += s.tokens
		}
	}
	return c
}

// Sweep forgets upstreams that are no longer listed and carry nothing.
func (t *Tracker) Sweep(listed map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, u := range t.known {
		if !listed[a] && len(u.sent) == 0 {
			delete(t.known, a)
		}
	}
}

// Instances lists the upstreams of a pool.
func Instances(l []*facts.Instance, p id.Pool) []*facts.Instance {
	var of []*facts.Instance
	for _, i := range l {
		if i.Pool == p {
			of = append(of, i)
		}
	}
	return of
}
