package transfer

import (
	"context"
	"expvar"
	"sync"
	"time"

	"golang.org/x/time/rate"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/follow"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/swarm"
)

// PartName is the name by which other parts depend on this one.
const PartName = "swarm"

// Settings holds the configuration section [swarm].
type Settings struct {
	// Neighbours is the number of neighbours in the same failure domain that chunks are fetched from.
	Neighbours int `toml:"neighbours"`
	// Uploads and Downloads are the maximum numbers of concurrent chunk transfers to and from neighbours.
	Uploads   int `toml:"uploads"`
	Downloads int `toml:"downloads"`
	// PerPeer is the maximum number of concurrent transfers from one neighbour.
	PerPeer int `toml:"per_peer"`
	// MemoryBytes limits the memory for chunks.
	MemoryBytes int `toml:"memory_bytes"`
	// UplinkBytesPerSecond limits the rate of uploads; 0 sets no limit.
	UplinkBytesPerSecond int `toml:"uplink_bytes_per_second"`
	// TakeoverDelay is how long a lane (see swarm.Lanes) may make no progress before its next VM fetches from the source.
	TakeoverDelay time.Duration `toml:"patience"`
	// HaveInterval is the interval at which a busy VM polls its neighbours for the chunks that they hold.
	HaveInterval time.Duration `toml:"have_every"`
	// BusyRetry is the delay before a busy neighbour is used again.
	BusyRetry time.Duration `toml:"busy_retry"`
	// SourceTimeout bounds one fetch from the store or the origin.
	SourceTimeout time.Duration `toml:"draw_timeout"`
	// MaxQueueDelay is the longest time for which chunks on their way to this VM may delay a live request on the same
	// link; 0 sets no bound.
	MaxQueueDelay time.Duration `toml:"queue_most"`
}

// NewSettings returns the default settings.
func NewSettings() *Settings {
	return &Settings{
		Neighbours: 5, Uploads: 4, Downloads: 6, PerPeer: 2, MemoryBytes: 64 << 30,
		TakeoverDelay: time.Second, HaveInterval: 250 * time.Millisecond, BusyRetry: 50 * time.Millisecond,
		SourceTimeout: time.Minute,
	}
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	inRange := func(n int) bool { return n >= 1 && n <= 64 }
	const want = "a whole number from 1 to 64"
	c.Require(inRange(s.Neighbours), "neighbours", want)
	c.Require(inRange(s.Uploads), "uploads", want)
	c.Require(inRange(s.Downloads), "downloads", want)
	c.Require(inRange(s.PerPeer), "per_peer", want)
	c.Require(s.MemoryBytes > 0, "memory_bytes", "a whole number of bytes above 0")
	c.Require(s.UplinkBytesPerSecond >= 0, "uplink_bytes_per_second", "a whole number of bytes, or 0 for no pacing")
	c.Require(s.TakeoverDelay >= 10*time.Millisecond, "patience", "a time of at least 10ms")
	c.Require(s.HaveInterval > 0, "have_every", "a time above 0")
	c.Require(s.BusyRetry > 0, "busy_retry", "a time above 0")
	c.Require(s.MaxQueueDelay >= 0, "queue_most", "a time, or 0 for no bound")
	c.Require(s.SourceTimeout > 0, "draw_timeout", "a time above 0")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "swarm",
		Needs:    []string{rpc.PartName, platform.PartName, follow.PartName},
		Settings: func() kernel.Section { return NewSettings() },
		New: func(h *kernel.Host) (any, error) {
			return New(h, h.Section("swarm").(*Settings), h.Part(rpc.PartName).(*rpc.Server),
				h.Part(platform.PartName).(*platform.Client), h.Part(follow.PartName).(*follow.Follower), 0), nil
		},
	})
}

// Manager starts and stops the downloads of a VM according to the configuration.
type Manager struct {
	host     *kernel.Host
	settings *Settings
	rpc      *rpc.Server
	platform *platform.Client
	follower *follow.Follower
	self     swarm.Member
	seed     uint64
	holdings *HoldingStore
	stats    Stats

	mu        sync.Mutex
	downloads map[id.Rollout]*runningDownload
	change    chan struct{}
}

// runningDownload is a download and the function that cancels it.
type runningDownload struct {
	*Download
	stop context.CancelFunc
}

// New returns a manager. The seed determines random choices between equivalent options.
func New(h *kernel.Host, s *Settings, r *rpc.Server, p *platform.Client, f *follow.Follower, seed uint64) *Manager {
	m := &Manager{
		host: h, settings: s, rpc: r, platform: p, follower: f, seed: seed,
		self:     swarm.Member{VM: h.Identity.VM, Domain: h.Identity.Domain},
		holdings: NewHoldingStore(int64(s.MemoryBytes)), downloads: map[id.Rollout]*runningDownload{}, change: make(chan struct{}),
	}
	pace := rate.NewLimiter(rate.Inf, writeSize)
	if s.UplinkBytesPerSecond > 0 {
		pace = rate.NewLimiter(rate.Limit(s.UplinkBytesPerSecond), writeSize)
	}
	h.Metric("swarm", expvar.Func(func() any { return m.Counters() }))
	h.Metric("swarm_memory_bytes", expvar.Func(func() any { return m.MemoryUsed() }))
	u := NewUploads(m.holdings, s.Uploads, pace, &m.stats)
	u.Register(r.Handle)
	r.Handle(springrailv1connect.NewSwarmServiceHandler(u))
	return m
}

func (m *Manager) dependencies() Dependencies {
	return Dependencies{
		Settings: m.settings, Self: m.self, Holdings: m.holdings, Log: m.host.Log, Events: m.host.Events,
		Stats: &m.stats, Seed: m.seed,
	}
}

// Counters returns the transfer counters of this VM.
func (m *Manager) Counters() Counters {
	return m.stats.Read()
}

// MemoryUsed returns the memory reserved for chunks, in bytes.
func (m *Manager) MemoryUsed() int64 {
	return m.holdings.Used()
}

// Replica is the progress of a VM in fetching a version.
type Replica struct {
	Rollout     *pb.Rollout
	Held, Total int
	Complete    bool
	OriginBytes int64
	Reason      string
}

// Replicas returns the progress of all versions that this VM should hold, oldest rollout first.
func (m *Manager) Replicas() []Replica {
	var l []Replica
	for _, r := range m.targetedRollouts() {
		p := Replica{Rollout: r, Total: int(config.ChunkCount(r.GetVersion())), Reason: "no room in memory"}
		m.mu.Lock()
		d := m.downloads[id.Rollout(r.GetId())]
		m.mu.Unlock()
		if d != nil {
			p.Held, _ = d.holding.Count()
			p.Complete = d.holding.Complete()
			p.OriginBytes = d.originBytes.Load()
			p.Reason = d.Reason()
		}
		l = append(l, p)
	}
	return l
}

// Holding returns the holding of a rollout, or nil.
func (m *Manager) Holding(r id.Rollout) *Holding {
	return m.holdings.Find(r)
}

func (m *Manager) targetedRollouts() []*pb.Rollout {
	var l []*pb.Rollout
	for _, r := range m.follower.State().Active() {
		if config.IsTarget(r, m.follower.Self()) {
			l = append(l, r)
		}
	}
	return l
}

// Run applies configuration changes until the context ends.
func (m *Manager) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		changed := m.follower.Changed()
		m.reconcile(ctx)
		select {
		case <-ctx.Done():
		case <-changed:
		case <-time.After(time.Second):
		}
	}
	return nil
}

// reconcile stops the downloads that are no longer wanted and starts missing ones.
func (m *Manager) reconcile(ctx context.Context) {
	wanted := map[id.Rollout]bool{}
	for _, r := range m.targetedRollouts() {
		wanted[id.Rollout(r.GetId())] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.downloads {
		if !wanted[name] {
			m.stopDownload(name, d)
		}
	}
	for _, r := range m.targetedRollouts() {
		if m.downloads[id.Rollout(r.GetId())] == nil {
			m.startDownload(ctx, r)
		}
	}
}

// stopDownload stops a download. The chunks of a superseded rollout are kept while there is room, as the next version
// may share them; those of a cancelled one are freed.
func (m *Manager) stopDownload(name id.Rollout, d *runningDownload) {
	d.stop()
	delete(m.downloads, name)
	d.addEvent(kernel.EventRolloutDropped, "")
	r := m.follower.State().Rollout(name)
	if r.GetState() == pb.RolloutState_ROLLOUT_STATE_SUPERSEDED {
		m.holdings.MarkEvictable(name)
		return
	}
	m.holdings.Remove(name)
}

func (m *Manager) startDownload(ctx context.Context, r *pb.Rollout) {
	h, err := m.holdings.Open(r)
	if err != nil {
		m.host.Log.Warn().Err(err).Str("rollout", r.GetId()).Msg("cannot fetch the version")
		return
	}
	ctx, stop := context.WithCancel(ctx)
	d := &runningDownload{Download: NewDownload(m.dependencies(), r, h, m.transport(r)), stop: stop}
	m.downloads[id.Rollout(r.GetId())] = d
	d.addEvent(kernel.EventRolloutAdded, "")
	go d.Run(ctx)
}
