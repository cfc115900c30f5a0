package stager

import (
	"context"
	"expvar"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/time/rate"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/swapplan"
	"github.com/springrail/springrail/internal/swarm"
	"github.com/springrail/springrail/internal/throttle"
	"github.com/springrail/springrail/internal/transfer"
)

// PartName is what other parts name in their needs.
const PartName = "stager"

// Settings is the section [stager].
type Settings struct {
	// Pool is the pool that the upstream beside this process belongs to.
	Pool string `toml:"pool"`
	// PeerPort is the port of other stagers' internal listeners.
	PeerPort int `toml:"peer_port"`
	// UplinkBytesPerSecond paces what goes to other stagers, so that answers of the upstream, which leave by the same
	// link, go first; 0 does not pace.
	UplinkBytesPerSecond int `toml:"uplink_bytes_per_second"`
	// SwapWithin is how soon after it was named a version must be the only one in use.
	SwapWithin time.Duration `toml:"swap_within"`
	// MemoryBytes caps the memory for chunks.
	MemoryBytes int `toml:"memory_bytes"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.Pool != "", "pool", "the pool of the upstream beside this process")
	c.Require(s.PeerPort > 0 && s.PeerPort < 1<<16, "peer_port", "a port from 1 to 65535")
	c.Require(s.UplinkBytesPerSecond >= 0, "uplink_bytes_per_second", "a whole number of bytes, or 0 for no pacing")
	c.Require(s.SwapWithin > 0, "swap_within", "a time above 0")
	c.Require(s.MemoryBytes > 0, "memory_bytes", "a whole number of bytes above 0")
}

func init() {
	kernel.Register(kernel.Part{
		Name:    PartName,
		Section: PartName,
		Needs:   []string{facts.PartName, PortsPart, reports.ReporterPart, rpc.PartName},
		Settings: func() kernel.Section {
			return &Settings{SwapWithin: 8 * time.Second, MemoryBytes: 64 << 20}
		},
		New: func(h *kernel.Host) (any, error) {
			return newPart(h), nil
		},
	})
}

// Stager works for the one upstream beside it.
type Stager struct {
	settings *Settings
	ports    *Ports
	facts    *facts.Facts
	reporter *reports.Reporter
	log      *log.Logger
	now      func() time.Time
	env      transfer.Env
	peers    transfer.Links
	stats    transfer.Stats
	orders   *expvar.Map
	// adopted is true once what lay staged at the start of this process has been looked at.
	adopted atomic.Bool

	publishing sync.Mutex

	mu    sync.Mutex
	state State
	// down is true while the upstream gives no answer, and closed while it is about to load weights, since closedAt.
	down, closed bool
	closedAt     time.Time
	// out is how long a change-over is expected to keep the upstream from taking requests.
	out time.Duration
	// fetching is the newest download.
	fetching *transfer.Download
}

func newPart(h *kernel.Host) *Stager {
	s := h.Section(PartName).(*Settings)
	r := h.Part(rpc.PartName).(*rpc.Server)
	g := New(s, h.Part(PortsPart).(*Ports), h.Part(facts.PartName).(*facts.Facts), transfer.PeerLinks(r),
		swarm.Member{Domain: h.Identity.Domain}, h.Events, h.Log)
	g.reporter = h.Part(reports.ReporterPart).(*reports.Reporter)
	g.reporter.Limiter().OnChange = g.logLimit
	pace := rate.NewLimiter(rate.Inf, pacedBytes)
	if s.UplinkBytesPerSecond > 0 {
		pace = rate.NewLimiter(rate.Limit(s.UplinkBytesPerSecond), pacedBytes)
	}
	u := transfer.NewUploads(g.env.Shelf, g.env.Settings.Uploads, pace, &g.stats)
	u.SlowAfter = slowUpload
	u.Register(r.Handle)
	r.Handle(springrailv1connect.NewSwarmServiceHandler(u))
	h.AddMetric("swarm", expvar.Func(func() any { return g.stats.Read() }))
	h.AddMetric("orders", g.orders)
	return g
}

const (
	// pacedBytes is the most that leaves at once; it is the piece that uploads write in.
	pacedBytes = 16 << 10
	// uploads and downloads are chunk transfers at one time. A chunk of the users' is 24 KB, 27 ms of their links.
	uploads, downloads = 3, 6
	// patience is how long a lane of chunks may stand still before the next stager draws from the origin. News of a
	// chunk travels by hops, and each copy that is drawn beyond the first costs the burst 2.6 s of the origin's link.
	patience = 700 * time.Millisecond
	// queueMost is the longest time that chunks may hold up a live request on its way here: what is 150 ms on
	// one of the users' links is 1.6 s on one that is squeezed to an eighth.
	queueMost = 200 * time.Millisecond
	// newsEvery is how often a busy stager asks its neighbours what they hold. A chunk goes three to four hops, each of
	// which waits for a question.
	newsEvery = 40 * time.Millisecond
	// slowUpload is the time of a chunk on an eighth of a link, with one other beside it.
	slowUpload = 400 * time.Millisecond
	// drawTimeout bounds one draw from the origin.
	drawTimeout = 3 * time.Second
)

// New makes a stager; self is its place, without a name.
func New(s *Settings, p *Ports, f *facts.Facts, l transfer.Links, self swarm.Member, e *kernel.EventRing, g *log.Logger) *Stager {
	self.VM = id.VM(p.Address)
	t := transfer.NewSettings()
	t.Uploads, t.Downloads, t.Patience, t.DrawTimeout = uploads, downloads, patience, drawTimeout
	t.QueueMost, t.HaveEvery = queueMost, newsEvery
	st := &Stager{down: true, out: swapplan.DefaultSwapDuration, settings: s, ports: p, facts: f, log: g, now: clock.Now, peers: l, orders: new(expvar.Map)}
	f.WatchAddress(p.Address)
	st.env = transfer.Env{
		Settings: t, Self: self, Shelf: transfer.NewShelf(int64(s.MemoryBytes)), Log: g, Events: e, Stats: &st.stats,
	}
	return st
}

const (
	// lookEvery is how often the upstream's own report is read; it is on the same machine.
	lookEvery = 100 * time.Millisecond
	// reportEvery is how often a report goes out without a change of what the upstream serves.
	reportEvery = 200 * time.Millisecond
)

// Run works until the context ends.
func (s *Stager) Run(ctx context.Context) error {
	go s.work(ctx)
	last := s.now()
	for first := true; ctx.Err() == nil; first = false {
		changed := s.look(ctx)
		if first {
			// A report before the first look would call the upstream down.
			go s.tellWords(ctx)
		}
		if now := s.now(); changed || now.Sub(last) >= reportEvery-lookEvery/2 {
			s.publish()
			last = now
		}
		kernel.Pause(ctx, lookEvery)
	}
	return nil
}

// tellWords reports at once when the list says that an instance has left the upstream's address, or is back: a gateway's own
// list may lack it.
func (s *Stager) tellWords(ctx context.Context) {
	_, changed := s.facts.Announcements(time.Time{})
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			_, changed = s.facts.Announcements(time.Time{})
			s.publish()
		}
	}
}

// look reads the upstream's report and says whether what it serves has changed.
func (s *Stager) look(ctx context.Context) bool {
	state, err := s.ports.Upstream.State(ctx)
	for _, h := range state.Held {
		// Before the state is taken: an upstream that serves a newer version than any record names would be brought back.
		s.prove(h.Model, h.Revision, "upstream")
	}
	if err == nil {
		s.reporter.Limiter().RecordUpstreamReport(state.Limit, state.Born)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	down := err != nil
	changed := down != s.down || state.Born != s.state.Born || state.Busy != s.state.Busy || !sameHeld(state.Held, s.state.Held) ||
		state.Limit != s.state.Limit || state.Leaving != s.state.Leaving
	if down != s.down {
		s.log.Info().Bool("down", down).Err(err).Msg("the upstream beside this process")
	}
	if !down && s.state.Born.Before(state.Born) {
		s.log.Info().Uint64("born", uint64(state.Born)).Uint64("life", state.Life).Msg("the upstream beside this process has started again")
	}
	if state.Leaving && !s.state.Leaving {
		s.log.Info().Msg("the upstream beside this process says that it leaves")
	}
	s.down, s.state = down, state
	return changed
}

// logLimit writes the line of a limit that begins, changes or ends.
func (s *Stager) logLimit(w throttle.LimitInfo, by string) {
	s.log.Info().Stringer("limit", w).Str("by", by).Msg("the limit of the upstream beside this process")
}

// prove takes a version that exists as named.
func (s *Stager) prove(m id.Model, r id.Revision, at string) {
	if s.facts.ObserveRevision(m, r) {
		s.log.Warn().Str("model", string(m)).Uint64("revision", uint64(r)).Str("at", at).
			Msg("there is a newer version than any record names")
	}
}

func sameHeld(a, b []facts.Held) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// setClosed says whether the upstream takes new work, and tells the gateways at once.
func (s *Stager) setClosed(closed bool) {
	s.mu.Lock()
	changed := s.closed != closed
	s.closed = closed
	if changed {
		s.closedAt = s.now()
	}
	s.mu.Unlock()
	if changed {
		s.publish()
	}
}

// publish reports to the gateways. One report at a time is made and numbered: an older state with the higher number would
// open a closed upstream for gateways until the next report.
func (s *Stager) publish() {
	s.publishing.Lock()
	defer s.publishing.Unlock()
	made, named := s.now(), s.named()
	s.mu.Lock()
	r := &pb.UpstreamReport{
		Named: named, Born: uint64(s.state.Born),
		Address: s.ports.Address, Running: uint32(s.state.Running), Waiting: uint32(s.state.Waiting),
		KvUsed: s.state.KVUsed, KvTotal: s.state.KVTotal, Pace: s.state.Pace, Closed: s.closed, Down: s.down, Leaving: s.state.Leaving,
		Narrow: s.fetching != nil && s.fetching.Narrow(),
	}
	for _, h := range s.state.Held {
		r.Held = append(r.Held, &pb.HeldWeights{Model: string(h.Model), Revision: uint64(h.Revision)})
	}
	s.mu.Unlock()
	s.reporter.Publish(r, made)
}

// tellNaming is how long reports tell since when a version is named: well beyond the 8 to 14 s that the users give a swap.
const tellNaming = 30 * time.Second

// named is the newest version of the upstream's model, for gateways that have started since it was named. That this
// process has read of it is told also where it does not know since when it is named: no later date is right.
func (s *Stager) named() *pb.NamedWeights {
	g, ok := s.goal()
	if !ok || g.wanted.LearntAt.IsZero() {
		return nil
	}
	now, d := s.now(), g.wanted.PublishTime
	n := &pb.NamedWeights{
		Model: string(g.model), Revision: uint64(g.wanted.Revision), AgeMs: -1, HadMs: now.Sub(d.KnownAt).Milliseconds(), Origin: d.Source.Proto(),
	}
	oldest := d.KnownAt
	if !d.After.IsZero() {
		n.AgeMs, oldest = now.Sub(d.After).Milliseconds()+1, d.After
	}
	if now.Sub(oldest) > tellNaming {
		return nil
	}
	return n
}

// current returns the upstream's newest state.
func (s *Stager) current() (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, !s.down
}

// peerAddress is the internal listener of the stager beside an upstream.
func (s *Stager) peerAddress(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return upstream
	}
	return net.JoinHostPort(host, strconv.Itoa(s.settings.PeerPort))
}
