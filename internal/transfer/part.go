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

// PartName is what other parts name in their needs.
const PartName = "swarm"

// Settings is the section [swarm].
type Settings struct {
	Neighbours int `toml:"neighbours"`
	Uploads    int `toml:"uploads"`
	Downloads  int `toml:"downloads"`
	PerPeer    int `toml:"per_peer"`
	// MemoryBytes caps the memory for chunks.
	MemoryBytes int `toml:"memory_bytes"`
	// UplinkBytesPerSecond paces uploads; 0 does not pace.
	UplinkBytesPerSecond int           `toml:"uplink_bytes_per_second"`
	Patience             time.Duration `toml:"patience"`
	HaveEvery            time.Duration `toml:"have_every"`
	BusyRetry            time.Duration `toml:"busy_retry"`
	DrawTimeout          time.Duration `toml:"draw_timeout"`
	// QueueMost is the longest time that chunks on their way to this VM may hold up a live request on the same link; 0
	// sets no bound.
	QueueMost time.Duration `toml:"queue_most"`
}

// NewSettings returns the defaults.
func NewSettings() *Settings {
	return &Settings{
		Neighbours: 5, Uploads: 4, Downloads: 6, PerPeer: 2, MemoryBytes: 64 << 30,
		Patience: time.Second, HaveEvery: 250 * time.Millisecond, BusyRetry: 50 * time.Millisecond,
		DrawTimeout: time.Minute,
	}
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	small := func(n int) bool { return n >= 1 && n <= 64 }
	const want = "a whole number from 1 to 64"
	c.Require(small(s.Neighbours), "neighbours", want)
	c.Require(small(s.Uploads), "uploads", want)
	c.Require(small(s.Downloads), "downloads", want)
	c.Require(small(s.PerPeer), "per_peer", want)
	c.Require(s.MemoryBytes > 0, "memory_bytes", "a whole number of bytes above 0")
	c.Require(s.UplinkBytesPerSecond >= 0, "uplink_bytes_per_second", "a whole number of bytes, or 0 for no pacing")
	c.Require(s.Patience >= 10*time.Millisecond, "patience", "a time of at least 10ms")
	c.Require(s.HaveEvery > 0, "have_every", "a time above 0")
	c.Require(s.BusyRetry > 0, "busy_retry", "a time above 0")
	c.Require(s.QueueMost >= 0, "queue_most", "a time, or 0 for no bound")
	c.Require(s.DrawTimeout > 0, "draw_timeout", "a time above 0")
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

// Manager starts and ends the downloads of a VM as the configuration asks.
type Manager struct {
	host     *kernel.Host
	settings *Settings
	rpc      *rpc.Server
	platform *platform.Client
	follower *follow.Follower
	self     swarm.Member
	seed     uint64
	shelf    *Shelf
	stats    Stats

	mu        sync.Mutex
	downloads map[id.Rollout]*running
	change    chan struct{}
}

// running is a download and its end.
type running struct {
	*Download
	stop context.CancelFunc
}

// New makes a manager. The seed fixes the choices between equals.
func New(h *kernel.Host, s *Settings, r *rpc.Server, p *platform.Client, f *follow.Follower, seed uint64) *Manager {
	m := &Manager{
		host: h, settings: s, rpc: r, platform: p, follower: f, seed: seed,
		self:  swarm.Member{VM: h.Identity.VM, Domain: h.Identity.Domain},
		shelf: NewShelf(int64(s.MemoryBytes)), downloads: map[id.Rollout]*running{}, change: make(chan struct{}),
	}
	pace := rate.NewLimiter(rate.Inf, writeBytes)
	if s.UplinkBytesPerSecond > 0 {
		pace = rate.NewLimiter(rate.Limit(s.UplinkBytesPerSecond), writeBytes)
	}
	h.AddMetric("swarm", expvar.Func(func() any { return m.Counters() }))
	h.AddMetric("swarm_memory_bytes", expvar.Func(func() any { return m.MemoryUsed() }))
	u := NewUploads(m.shelf, s.Uploads, pace, &m.stats)
	u.Register(r.Handle)
	r.Handle(springrailv1connect.NewSwarmServiceHandler(u))
	return m
}

func (m *Manager) env() Env {
	return Env{
		Settings: m.settings, Self: m.self, Shelf: m.shelf, Log: m.host.Log, Events: m.host.Events,
		Stats: &m.stats, Seed: m.seed,
	}
}

// Counters returns what the transfers have moved.
func (m *Manager) Counters() Counters {
	return m.stats.Read()
}

// MemoryUsed is the memory reserved for chunks, in bytes.
func (m *Manager) MemoryUsed() int64 {
	return m.shelf.Used()
}

// Replica is where a VM stands with fetching a version.
type Replica struct {
	Rollout     *pb.Rollout
	Held, All   int
	Complete    bool
	OriginBytes int64
	Reason      string
}

// Replicas returns the versions that this VM should hold, oldest rollout first.
func (m *Manager) Replicas() []Replica {
	var l []Replica
	for _, r := range m.wanted() {
		p := Replica{Rollout: r, All: int(config.ChunkCount(r.GetVersion())), Reason: "no room in memory"}
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

// Holding returns what is held of a rollout, or nil.
func (m *Manager) Holding(r id.Rollout) *Holding {
	return m.shelf.Find(r)
}

func (m *Manager) wanted() []*pb.Rollout {
	var l []*pb.Rollout
	for _, r := range m.follower.State().Active() {
		if config.IsTarget(r, m.follower.Self()) {
			l = append(l, r)
		}
	}
	return l
}

// Run follows the configuration until the context ends.
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

// reconcile ends the downloads that are no longer wanted and starts those that are.
func (m *Manager) reconcile(ctx context.Context) {
	wanted := map[id.Rollout]bool{}
	for _, r := range m.wanted() {
		wanted[id.Rollout(r.GetId())] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for name, d := range m.downloads {
		if !wanted[name] {
			m.end(name, d)
		}
	}
	for _, r := range m.wanted() {
		if m.downloads[id.Rollout(r.GetId())] == nil {
			m.start(ctx, r)
		}
	}
}

// end stops a download. A superseded one's chunks stay while there is room, as the next version may share them; a
// cancelled one's are freed.
func (m *Manager) end(name id.Rollout, d *running) {
	d.stop()
	delete(m.downloads, name)
	d.event(kernel.EventRolloutDropped, "")
	r := m.follower.State().Rollout(name)
	if r.GetState() == pb.RolloutState_ROLLOUT_STATE_SUPERSEDED {
		m.shelf.End(name)
		return
	}
	m.shelf.Drop(name)
}

func (m *Manager) start(ctx context.Context, r *pb.Rollout) {
	h, err := m.shelf.Open(r)
	if err != nil {
		m.host.Log.Warn().Err(err).Str("rollout", r.GetId()).Msg("version can't be fetched")
		return
	}
	ctx, stop := context.WithCancel(ctx)
	d := &running{Download: NewDownload(m.env(), r, h, m.links(r)), stop: stop}
	m.downloads[id.Rollout(r.GetId())] = d
	d.event(kernel.EventRolloutAdded, "")
	go d.Run(ctx)
}
