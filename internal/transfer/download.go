package transfer

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rendezvous"
	"github.com/springrail/springrail/internal/swarm"
)

const (
	// tick is the longest time between two decisions.
	tick = 100 * time.Millisecond
	// refreshEvery is how often the neighbours are chosen anew.
	refreshEvery = time.Second
	// drawsAtOnce is the number of chunks that a VM draws from a source at one time. The other lanes fill the source's
	// link while one waits for its next chunk.
	drawsAtOnce = 1
	// stallFloor is the shortest time after which a transfer counts as stalled.
	stallFloor = 500 * time.Millisecond
	// stallFactor is how many times the usual time of a chunk a transfer may take.
	stallFactor = 6
)

// Member is a VM that should hold the version, with its address.
type Member struct {
	swarm.Member
	Address string
}

// Transport are a download's ways to others; function fields so that tests can replace each.
type Transport struct {
	// Members lists the VMs that should hold the version, this one included.
	Members func() []Member
	// FetchChunk and FetchManifest take from a neighbour.
	FetchChunk    func(ctx context.Context, address string, r id.Rollout, c id.Chunk, size int64) ([]byte, error)
	FetchManifest func(ctx context.Context, address string, r id.Rollout) ([]byte, error)
	// Have asks a neighbour for its chunks.
	Have func(ctx context.Context, address string, q *pb.HaveRequest) (*pb.HaveResponse, error)
	// FetchFromSource takes length bytes, or all for a negative length, from the store or the origin.
	FetchFromSource func(ctx context.Context, r *pb.Rollout, object string, from, length int64) (SourceData, error)
}

// SourceData is what a draw brought; OriginBytes counts what the origin sent, also where the draw failed.
type SourceData struct {
	Data        []byte
	OriginBytes int64
}

// neighbour is a peer with what is needed to talk to it.
type neighbour struct {
	swarm.Peer
	address string
	epoch   uint64
	from    uint32
	silent  int
	stop    context.CancelFunc
}

// Download brings one rollout's version onto this VM.
type Download struct {
	rollout  *pb.Rollout
	holding  *Holding
	shelf    *HoldingStore
	links    Transport
	settings *Settings
	self     swarm.Member
	log      *log.Logger
	events   *kernel.EventRing
	stats    *Stats
	random   *rand.Rand
	local    func(ctx context.Context, h *Holding)

	mu         sync.Mutex
	neighbours map[id.VM]*neighbour
	dead       map[id.VM]time.Time
	have       *swarm.Set
	rarity     []int
	inFlight   map[id.Chunk]int
	lanes      swarm.Lanes
	importers  swarm.ImportSchedule
	// seen is when a neighbour was first known to hold a chunk.
	seen  []time.Time
	ranks []int
	// laneSeen is when a lane last moved by others' draws, laneCount how many of its chunks others have brought.
	laneSeen  []time.Time
	laneCount []int
	drawing   int
	usual     time.Duration
	delivered int
	// link is what deliveries have shown of this VM's own link.
	link   linkTime
	begun  time.Time
	renew  chan struct{}
	reason string
	wake   chan struct{}
	// originBytes counts draws of all lanes, and laneBytes those of each against this VM's part of its budget.
	originBytes atomic.Int64
	laneBytes   []int64
	// laneSpoilt counts bytes of each lane that came and were thrown away.
	laneSpoilt []int64
	// drawRetry is when a source may be asked again after drawFailures failures in a row.
	drawRetry    time.Time
	drawFailures int
}

// Dependencies is what the downloads of one VM share. Seed fixes the choices between equals.
type Dependencies struct {
	Settings *Settings
	Self     swarm.Member
	Holdings *HoldingStore
	Log      *log.Logger
	Events   *kernel.EventRing
	Stats    *Stats
	Seed     uint64
	// LoadLocalChunks, where set, fills a holding that has its manifest with chunks that this VM has kept elsewhere.
	LoadLocalChunks func(ctx context.Context, h *Holding)
}

// NewDownload makes a download that has not started.
func NewDownload(e Dependencies, r *pb.Rollout, h *Holding, l Transport) *Download {
	chunks := int(config.ChunkCount(r.GetVersion()))
	return &Download{
		rollout: r, holding: h, shelf: e.Holdings, links: l, settings: e.Settings, self: e.Self,
		log: e.Log, events: e.Events, stats: e.Stats, local: e.LoadLocalChunks,
		random:     rand.New(rand.NewPCG(rendezvous.Weight(r.GetId(), e.Self.VM), e.Seed)),
		neighbours: map[id.VM]*neighbour{}, dead: map[id.VM]time.Time{}, rarity: make([]int, chunks), seen: make([]time.Time, chunks),
		have: swarm.NewSet(chunks), inFlight: map[id.Chunk]int{}, wake: make(chan struct{}, 1), renew: make(chan struct{}, 1),
		reason: "waits for the manifest",
	}
}

// Run works until the version is complete or the context ends.
func (d *Download) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.begun = time.Now()
	d.refresh(ctx)
	go d.refreshLoop(ctx)
	if !d.fetchManifest(ctx) {
		return
	}
	if d.local != nil {
		d.local(ctx, d.holding)
	}
	d.reuse()
	for ctx.Err() == nil && !d.holding.Complete() {
		d.schedule(ctx)
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-time.After(tick):
		}
	}
	if d.holding.Complete() {
		d.setReason("")
		d.event(kernel.EventVersionComplete, "")
	}
}

func (d *Download) event(k kernel.EventKind, detail string) {
	d.events.Add(kernel.Event{
		Kind: k, Rollout: id.Rollout(d.rollout.GetId()), Organisation: id.Organisation(d.rollout.GetOrganisation()),
		Detail: detail,
	})
}

func (d *Download) refreshLoop(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-d.renew:
		case <-time.After(refreshEvery):
		}
		d.refresh(ctx)
	}
}

// refresh chooses the neighbours and the lanes from the members of now.
func (d *Download) refresh(ctx context.Context) {
	members := d.links.Members()
	address := map[id.VM]string{}
	domain := map[id.VM]id.Domain{}
	var all, live []swarm.Member
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		address[m.VM] = m.Address
		domain[m.VM] = m.Domain
		all = append(all, m.Member)
		if time.Since(d.dead[m.VM]) > blameDead {
			live = append(live, m.Member)
		}
	}
	d.lanes = swarm.NewLanes(d.rollout.GetId(), all)
	d.ranks = d.lanes.Ranks(d.self.VM)
	d.importers = swarm.NewImportSchedule(d.rollout.GetId(), d.self, live)
	for len(d.laneSeen) < d.lanes.Count() {
		d.laneSeen = append(d.laneSeen, time.Now())
		d.laneBytes = append(d.laneBytes, 0)
		d.laneSpoilt = append(d.laneSpoilt, 0)
		d.laneCount = append(d.laneCount, 0)
	}
	wanted := map[id.VM]bool{}
	for _, v := range swarm.Neighbours(d.rollout.GetId(), d.self, live, d.settings.Neighbours) {
		wanted[v] = true
		if d.neighbours[v] == nil {
			d.meet(ctx, v, address[v], domain[v] != d.self.Domain)
		}
	}
	for v, n := range d.neighbours {
		if !wanted[v] {
			d.leave(v, n)
		}
	}
}

// blameDead is how long a VM that gave no answer is not chosen as a neighbour.
const blameDead = 10 * time.Second

func (d *Download) meet(ctx context.Context, v id.VM, address string, far bool) {
	n := &neighbour{address: address}
	n.VM, n.Remote = v, far
	n.Has = swarm.NewSet(len(d.rarity))
	ctx, n.stop = context.WithCancel(ctx)
	d.neighbours[v] = n
	go d.listen(ctx, n)
}

func (d *Download) leave(v id.VM, n *neighbour) {
	n.stop()
	delete(d.neighbours, v)
	for c := range d.rarity {
		if n.Has.Has(id.Chunk(c)) {
			d.rarity[c]--
		}
	}
}

// reuse takes the chunks that other versions of the organisation share with this one.
func (d *Download) reuse() {
	if n := d.shelf.CopySharedChunks(d.holding); n > 0 {
		d.log.Info().Int("chunks", n).Str("rollout", d.rollout.GetId()).Msg("chunks shared with a held version")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.holding.AddedSince(d.holding.epoch, 0) {
		d.have.Add(id.Chunk(c))
	}
	for i := range d.laneSeen {
		d.laneSeen[i] = time.Now()
	}
	d.begun = time.Now()
	d.reason = "fetching"
}

func (d *Download) poke() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Reason says what the download waits for.
func (d *Download) Reason() string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.reason
}

func (d *Download) setReason(s string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reason = s
}

// schedule starts the transfers that the swarm's decisions ask for now.
func (d *Download) schedule(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.view()
	for {
		c, p := swarm.PickPeer(v, d.random)
		if p == nil {
			break
		}
		n := d.neighbours[p.VM]
		n.InFlight++
		d.inFlight[c]++
		go d.fetch(ctx, n, c)
	}
	d.scheduleStuck(ctx, v)
	for lane := range d.ranks {
		for d.mayDraw(lane, v.Now) {
			c, ok := swarm.PickOriginChunk(v, d.lanes, lane, d.ranks[lane])
			if !ok {
				break
			}
			d.startDraw(ctx, lane, c)
		}
	}
}

// scheduleStuck draws what neighbours hold and do not hand on. The caller holds the lock.
func (d *Download) scheduleStuck(ctx context.Context, v *swarm.View) {
	for lane, rank := range d.ranks {
		if rank >= int(swarm.OriginCopyBudget(d.rollout)) || !d.canDraw(lane, v.Now) {
			continue
		}
		if c, ok := swarm.PickStalledChunk(v, d.lanes, lane, rank); ok {
			d.startDraw(ctx, lane, c)
		}
	}
}

// startDraw begins a draw; the caller holds the lock.
func (d *Download) startDraw(ctx context.Context, lane int, c id.Chunk) {
	d.drawing++
	d.laneBytes[lane] += d.holding.Size(c)
	d.inFlight[c]++
	go d.draw(ctx, c)
}

// LinkTooSlow says whether the link to this VM carries so little that even one chunk holds up a live request for too long.
func (d *Download) LinkTooSlow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.narrow() && !d.holding.Complete()
}

// ReachableShare is the share of the chunks that are held here or by a neighbour, from 0 to 1.
func (d *Download) ReachableShare() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.have == nil || len(d.rarity) == 0 {
		return 0
	}
	reachable := 0
	for c, n := range d.rarity {
		if n > 0 || d.have.Has(id.Chunk(c)) {
			reachable++
		}
	}
	return float64(reachable) / float64(len(d.rarity))
}

// InheritLinkEstimate takes over what another download of this VM has learnt of its link.
func (d *Download) InheritLinkEstimate(o *Download) {
	o.mu.Lock()
	usual, link, delivered := o.usual, o.link, o.delivered
	o.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.usual, d.link, d.delivered = usual, link, min(delivered, usualKnown)
}

func (d *Download) narrow() bool {
	perChunk, known := d.link.chunk()
	return known && d.settings.MaxQueueDelay > 0 && perChunk > d.settings.MaxQueueDelay
}

// downloads is the number of chunks that may be on their way at one time: fewer than the settings allow where the link
// has become so narrow that they would queue in front of live requests. The caller holds the lock.
func (d *Download) downloads() int {
	perChunk, known := d.link.chunk()
	if d.settings.MaxQueueDelay <= 0 || !known {
		return d.settings.Downloads
	}
	return min(max(1, int(d.settings.MaxQueueDelay/max(1, perChunk))), d.settings.Downloads)
}

func (d *Download) view() *swarm.View {
	now := time.Now()
	v := &swarm.View{
		MayImport: func(c id.Chunk) bool { return d.importers.Allowed(c, now.Sub(d.seen[c])) },
		KnownFor:  func(c id.Chunk) time.Duration { return now.Sub(d.seen[c]) },
		Now:       now, Chunks: len(d.rarity), Have: d.have, InFlight: d.inFlight, Rarity: d.rarity,
		Limits: swarm.Limits{
			PerPeer: d.settings.PerPeer, Total: d.downloads(), EndgameChunks: d.settings.Downloads / 2,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(d.neighbours)) {
		v.Peers = append(v.Peers, &d.neighbours[name].Peer)
	}
	return v
}
