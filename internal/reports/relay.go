package reports

import (
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// relays is how many gateways of a failure domain get the reports of an upstream beyond it and pass them on: one passes all on,
	// the second what is urgent, and the rest where the first does not.
	relays = 2
	// leastRelayed is how many gateways a failure domain has at least where reports are passed on: with fewer, two that subscribe
	// spare the links between domains little.
	leastRelayed = 4
	// passEvery is the time between two reports that a relay passes on which gets each, while only the load changes: just below farTime.
	// What comes as one of farEvery is passed on always: it comes sooner where the upstream's state changes.
	passEvery = 900 * time.Millisecond
	// passWait is how long the second relay waits for the first to pass a report on. The two get it within a few ms of each other.
	passWait = 200 * time.Millisecond
	// silentFor is how long a gateway hears nothing of an upstream before it subscribes itself: a report is due each farTime, up to
	// passWait and a look of offerEvery later from the second relay. The next report, 0.2 s later, comes before the last one's life
	// (farLives) ends.
	silentFor = farTime + passWait + 2*offerEvery
	// provenMost is the age up to which an echo proves that a report is new: a stamp goes out each subscribeEvery and one may be lost.
	provenMost = 2*subscribeEvery + 500*time.Millisecond
	// dozeMost is the gap between two looks, offerEvery apart, from which on a process has been frozen: what its socket held
	// meanwhile is old, so it passes nothing on for as long again.
	dozeMost = 700 * time.Millisecond
)

// relay follows, for one gateway, which reports from beyond the failure domain it passes on to the others, and which others pass on
// to it.
type relay struct {
	self string
	now  func() time.Time

	mu        sync.Mutex
	upstreams map[string]*passing
	// gateways are those of the own failure domain, this one included, sorted.
	gateways []string
	// looked is the last look, and awake when what comes is new for sure.
	looked, awake time.Time
}

// passing is an upstream beyond the own failure domain.
type passing struct {
	// place is this gateway's in the upstream's order.
	place int
	// order is that of the reports that came from the stager itself.
	order heard
	// proven is a moment after which the newest of them was made.
	proven time.Time
	// passed is when the report came that was last passed on.
	passed time.Time
	// copied is when another gateway last passed a report on, copy the order of these, and direct whether this one subscribes itself.
	copied time.Time
	copy   heard
	direct bool
	// kept waits for another relay to pass it on.
	kept   *pb.UpstreamReport
	keptAt time.Time
}

func newRelay(self string, now func() time.Time) *relay {
	t := now()
	return &relay{self: self, now: now, upstreams: map[string]*passing{}, looked: t, awake: t}
}

// set takes over which gateways live in the own failure domain and the addresses of the upstreams beyond it whose reports may
// be passed on.
func (y *relay) set(others, far []string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	l := slices.Clone(others)
	if !slices.Contains(l, y.self) {
		l = append(l, y.self)
	}
	slices.Sort(l)
	changed := !slices.Equal(l, y.gateways)
	y.gateways = l
	next := make(map[string]*passing, len(far))
	for _, a := range far {
		p, known := y.upstreams[a]
		if !known {
			p = &passing{}
		}
		if changed || !known {
			p.place = y.place(a)
		}
		next[a] = p
	}
	y.upstreams = next
}

// place is how many gateways go before this one for an upstream; the caller holds the lock.
func (y *relay) place(upstream string) int {
	if len(y.gateways) < leastRelayed {
		return relays
	}
	own, n := rendezvous.Weight(upstream, id.VM(y.self)), 0
	for _, g := range y.gateways {
		if w := rendezvous.Weight(upstream, id.VM(g)); w > own || w == own && g < y.self {
			n++
		}
	}
	return n
}

// subscribes says whether this gateway has to ask the stager of an upstream itself, or has to leave where it has asked so far.
func (y *relay) subscribes(upstream string, each bool) (ask, leave bool) {
	y.mu.Lock()
	defer y.mu.Unlock()
	p := y.upstreams[upstream]
	if p == nil {
		return true, false
	}
	before := p.direct
	p.direct = each || p.place < relays || y.silent(p)
	return p.direct, before && !p.direct
}

// silent says whether nobody passes the reports of an upstream on; the caller holds the lock.
func (y *relay) silent(p *passing) bool {
	return y.now().Sub(p.copied) > silentFor
}

// take notes a report, made after a moment that is zero where none is known, and returns what has to be passed on at once, or nil.
func (y *relay) take(r *pb.UpstreamReport, made time.Time) *pb.UpstreamReport {
	y.mu.Lock()
	defer y.mu.Unlock()
	p, now := y.upstreams[r.GetAddress()], y.now()
	if p == nil {
		return nil
	}
	if r.GetRelayed() {
		p.copied = now
		p.copy.next(r.GetIncarnation(), r.GetNumber(), now)
		if k := p.kept; k != nil && k.GetIncarnation() == r.GetIncarnation() && k.GetNumber() <= r.GetNumber() {
			p.kept = nil
		}
		return nil
	}
	y.doze(now)
	if !p.follows(r, made, now) || !r.GetSums() || p.place >= relays || now.Before(y.awake) || now.Sub(p.proven) > provenMost {
		return nil
	}
	switch {
	case r.GetUrgent():
	case r.GetEveryMs() == 0 && now.Sub(p.passed) < passEvery:
		return nil
	case p.place > 0:
		if p.kept == nil && (p.copy.incarnation != r.GetIncarnation() || p.copy.number < r.GetNumber()) {
			p.kept, p.keptAt = r, now
		}
		return nil
	}
	return p.pass(r, now)
}

// follows notes a report that came from the stager itself, unless a later one has come. One without an echo was made after those before it.
func (p *passing) follows(r *pb.UpstreamReport, made, now time.Time) bool {
	before := p.order.incarnation
	if !p.order.next(r.GetIncarnation(), r.GetNumber(), now) {
		return false
	}
	if before != p.order.incarnation {
		p.proven = time.Time{}
	}
	if made.After(p.proven) {
		p.proven = made
	}
	return true
}

// pass makes the copy that goes to others. How long it was on its way is not known to them: it proves nothing of when weights were
// named, only that they were by now.
func (p *passing) pass(r *pb.UpstreamReport, came time.Time) *pb.UpstreamReport {
	p.passed, p.kept = came, nil
	c := proto.CloneOf(r)
	c.Relayed, c.EveryMs = true, uint32(farTime.Milliseconds())
	c.Echo = 0
	if c.Named != nil {
		c.Named.AgeMs = -1
	}
	return c
}

// doze notes a gap between two looks; the caller holds the lock.
func (y *relay) doze(now time.Time) {
	if gap := now.Sub(y.looked); gap > dozeMost {
		y.awake = now.Add(dozeMost)
	}
	y.looked = now
}

// look returns what the first relays should have passed on and have not, and the upstreams of which nothing is heard any more.
func (y *relay) look() (pass []*pb.UpstreamReport, silent []string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	now := y.now()
	y.doze(now)
	for a, p := range y.upstreams {
		if p.kept != nil && now.Before(y.awake) {
			p.kept = nil
		}
		if p.kept != nil && now.Sub(p.keptAt) >= passWait {
			pass = append(pass, p.pass(p.kept, p.keptAt))
		}
		if !p.direct && y.silent(p) {
			p.direct = true
			silent = append(silent, a)
		}
	}
	return pass, silent
}

// others lists the gateways that reports are passed on to.
func (y *relay) others() []string {
	y.mu.Lock()
	defer y.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(y.gateways), func(g string) bool { return g == y.self })
}

// size is how many gateways the own failure domain has.
func (y *relay) size() int {
	y.mu.Lock()
	defer y.mu.Unlock()
	return len(y.gateways)
}
