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
	// scheduleInterval is the longest time between two scheduling decisions.
	scheduleInterval = 100 * time.Millisecond
	// refreshInterval is the interval at which neighbours are selected again.
	refreshInterval = time.Second
	// maxSourceFetches is the number of chunks that a VM fetches from a source concurrently. While one lane waits for
	// its next chunk, the others use the source's link.
	maxSourceFetches = 1
	// minTransferTimeout is the shortest timeout of a transfer.
	minTransferTimeout = 500 * time.Millisecond
	// transferTimeoutFactor is the multiple of the mean transfer time after which a transfer times out.
	transferTimeoutFactor = 6
)

// Member is a VM that should hold the version, with its address.
type Member struct {
	swarm.Member
	Address string
}

// Transport holds the network calls of a download, as functions that tests can replace one by one.
type Transport struct {
	// Members returns the VMs that should hold the version, including this one.
	Members func() []Member
	// FetchChunk and FetchManifest fetch from a neighbour.
	FetchChunk    func(ctx context.Context, address string, r id.Rollout, c id.Chunk, size int64) ([]byte, error)
	FetchManifest func(ctx context.Context, address string, r id.Rollout) ([]byte, error)
	// Have requests the list of chunks that a neighbour holds.
	Have func(ctx context.Context, address string, q *pb.HaveRequest) (*pb.HaveResponse, error)
	// FetchFromSource fetches length bytes, or the whole object for a negative length, from the store or the origin.
	FetchFromSource func(ctx context.Context, r *pb.Rollout, object string, from, length int64) (SourceData, error)
}

// SourceData is the result of a fetch from a source; OriginBytes counts the bytes that the origin sent, even if the
// fetch failed.
type SourceData struct {
	Data        []byte
	OriginBytes int64
}

// neighbour is a peer with its connection state.
type neighbour struct {
	swarm.Peer
	address    string
	epoch      uint64
	offset     uint32
	unanswered int
	stop       context.CancelFunc
}

// Download fetches one rollout's version to this VM.
type Download struct {
	rollout         *pb.Rollout
	holding         *Holding
	holdings        *HoldingStore
	transport       Transport
	settings        *Settings
	self            swarm.Member
	log             *log.Logger
	events          *kernel.EventRing
	stats           *Stats
	random          *rand.Rand
	loadLocalChunks func(ctx context.Context, h *Holding)

	mu             sync.Mutex
	neighbours     map[id.VM]*neighbour
	unresponsiveAt map[id.VM]time.Time
	have           *swarm.Set
	rarity         []int
	inFlight       map[id.Chunk]int
	lanes          swarm.Lanes
	importSchedule swarm.ImportSchedule
	// firstHeldAt is when a neighbour was first known to hold each chunk.
	firstHeldAt []time.Time
	ranks       []int
	// laneProgressAt is when each lane last progressed through fetches of other VMs; laneDelivered is the number of its
	// chunks that they have fetched.
	laneProgressAt   []time.Time
	laneDelivered    []int
	sourceFetches    int
	meanTransferTime time.Duration
	delivered        int
	// link estimates the speed of this VM's link from deliveries.
	link       linkEstimator
	startedAt  time.Time
	refreshNow chan struct{}
	reason     string
	wake       chan struct{}
	// originBytes counts bytes fetched from the origin; laneBytes counts those of each lane against this VM's budget.
	originBytes atomic.Int64
	laneBytes   []int64
	// laneCorruptBytes counts discarded corrupt bytes by lane.
	laneCorruptBytes []int64
	// sourceRetryAt is when a source may be used again after sourceFailures consecutive failures.
	sourceRetryAt  time.Time
	sourceFailures int
	// originAnswers is the time during which the origin is known to answer; originCheckAt is when the next check is allowed.
	originAnswers swarm.OriginAnswers
	originCheckAt time.Time
	// recheckAt is when the manifest may be compared again, after manifestRechecks comparisons; rechecking is true during one.
	recheckAt        time.Time
	manifestRechecks int
	rechecking       bool
	// progressAt is when a chunk was last fetched from a source by this VM or a neighbour, and fetchedTotal the number of
	// such chunks. laneProgressTotal is its value at each lane's laneProgressAt.
	progressAt        time.Time
	fetchedTotal      int
	laneProgressTotal []int
}

// Dependencies holds what the downloads of one VM share. Seed determines random choices between equivalent options.
type Dependencies struct {
	Settings *Settings
	Self     swarm.Member
	Holdings *HoldingStore
	Log      *log.Logger
	Events   *kernel.EventRing
	Stats    *Stats
	Seed     uint64
	// LoadLocalChunks, if set, adds chunks that this VM has stored elsewhere to a holding that has its manifest.
	LoadLocalChunks func(ctx context.Context, h *Holding)
}

// NewDownload returns a download that has not started.
func NewDownload(e Dependencies, r *pb.Rollout, h *Holding, l Transport) *Download {
	chunks := int(config.ChunkCount(r.GetVersion()))
	return &Download{
		rollout: r, holding: h, holdings: e.Holdings, transport: l, settings: e.Settings, self: e.Self,
		log: e.Log, events: e.Events, stats: e.Stats, loadLocalChunks: e.LoadLocalChunks,
		random:     rand.New(rand.NewPCG(rendezvous.Weight(r.GetId(), e.Self.VM), e.Seed)),
		neighbours: map[id.VM]*neighbour{}, unresponsiveAt: map[id.VM]time.Time{}, rarity: make([]int, chunks), firstHeldAt: make([]time.Time, chunks),
		have: swarm.NewSet(chunks), inFlight: map[id.Chunk]int{}, wake: make(chan struct{}, 1), refreshNow: make(chan struct{}, 1),
		reason: "waits for the manifest",
	}
}

// Run fetches until the version is complete or the context ends.
func (d *Download) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	d.startedAt = time.Now()
	d.refresh(ctx)
	go d.refreshLoop(ctx)
	if !d.fetchManifest(ctx) {
		return
	}
	if d.loadLocalChunks != nil {
		d.loadLocalChunks(ctx, d.holding)
	}
	d.reuseChunks()
	for ctx.Err() == nil && !d.holding.Complete() {
		d.schedule(ctx)
		select {
		case <-ctx.Done():
		case <-d.wake:
		case <-time.After(scheduleInterval):
		}
	}
	if d.holding.Complete() {
		d.setReason("")
		d.addEvent(kernel.EventVersionComplete, "")
	}
}

func (d *Download) addEvent(k kernel.EventKind, detail string) {
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
		case <-d.refreshNow:
		case <-time.After(refreshInterval):
		}
		d.refresh(ctx)
	}
}

// refresh recomputes the neighbours and the lanes from the current members.
func (d *Download) refresh(ctx context.Context) {
	members := d.transport.Members()
	address := map[id.VM]string{}
	domain := map[id.VM]id.Domain{}
	var all, live []swarm.Member
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		address[m.VM] = m.Address
		domain[m.VM] = m.Domain
		all = append(all, m.Member)
		if time.Since(d.unresponsiveAt[m.VM]) > unresponsiveBackoff {
			live = append(live, m.Member)
		}
	}
	d.lanes = swarm.NewLanes(d.rollout.GetId(), all)
	d.ranks = d.lanes.Ranks(d.self.VM)
	d.importSchedule = swarm.NewImportSchedule(d.rollout.GetId(), d.self, live)
	for len(d.laneProgressAt) < d.lanes.Count() {
		d.laneProgressAt = append(d.laneProgressAt, time.Now())
		d.laneBytes = append(d.laneBytes, 0)
		d.laneCorruptBytes = append(d.laneCorruptBytes, 0)
		d.laneDelivered = append(d.laneDelivered, 0)
		d.laneProgressTotal = append(d.laneProgressTotal, d.fetchedTotal)
	}
	wanted := map[id.VM]bool{}
	for _, v := range swarm.Neighbours(d.rollout.GetId(), d.self, live, d.settings.Neighbours) {
		wanted[v] = true
		if d.neighbours[v] == nil {
			d.connect(ctx, v, address[v], domain[v] != d.self.Domain)
		}
	}
	for v, n := range d.neighbours {
		if !wanted[v] {
			d.disconnect(v, n)
		}
	}
}

// unresponsiveBackoff is how long a VM that did not respond is not selected as a neighbour.
const unresponsiveBackoff = 10 * time.Second

func (d *Download) connect(ctx context.Context, v id.VM, address string, remote bool) {
	n := &neighbour{address: address}
	n.VM, n.Remote = v, remote
	n.Has = swarm.NewSet(len(d.rarity))
	ctx, n.stop = context.WithCancel(ctx)
	d.neighbours[v] = n
	go d.pollNeighbour(ctx, n)
}

func (d *Download) disconnect(v id.VM, n *neighbour) {
	n.stop()
	delete(d.neighbours, v)
	for c := range d.rarity {
		if n.Has.Has(id.Chunk(c)) {
			d.rarity[c]--
		}
	}
}

// reuseChunks copies the chunks that other held versions of the organisation share with this one.
func (d *Download) reuseChunks() {
	if n := d.holdings.CopySharedChunks(d.holding); n > 0 {
		d.log.Info().Int("chunks", n).Str("rollout", d.rollout.GetId()).Msg("reused chunks of other held versions")
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range d.holding.AddedSince(d.holding.epoch, 0) {
		d.have.Add(id.Chunk(c))
	}
	for i := range d.laneProgressAt {
		d.laneProgressAt[i] = time.Now()
	}
	d.startedAt = time.Now()
	// The manifest is the first answer: a lane whose VM is dead from the start is taken over after one delay.
	d.originAnswers.Record(d.startedAt, d.maxOriginGap())
	d.reason = "fetching"
}

func (d *Download) wakeScheduler() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Reason describes what the download waits for.
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

// schedule starts the transfers that package swarm selects.
func (d *Download) schedule(ctx context.Context) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v := d.swarmView()
	for {
		c, p := swarm.PickPeer(v, d.random)
		if p == nil {
			break
		}
		n := d.neighbours[p.VM]
		n.InFlight++
		d.inFlight[c]++
		go d.fetchChunk(ctx, n, c)
	}
	d.scheduleStalled(ctx, v)
	for lane := range d.ranks {
		for d.mayFetchFromSource(lane, v.Now) {
			c, ok := swarm.PickOriginChunk(v, d.lanes, lane, d.ranks[lane])
			if !ok {
				break
			}
			d.startSourceFetch(ctx, lane, c)
		}
	}
	d.checkOriginIfDue(ctx, v)
}

// LinkTooSlow reports whether the link to this VM is so slow that even one chunk delays a live request for too long.
func (d *Download) LinkTooSlow() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.linkTooSlow() && !d.holding.Complete()
}

// InheritLinkEstimate copies the link estimate of another download of this VM.
func (d *Download) InheritLinkEstimate(o *Download) {
	o.mu.Lock()
	mean, link, delivered := o.meanTransferTime, o.link, o.delivered
	o.mu.Unlock()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.meanTransferTime, d.link, d.delivered = mean, link, min(delivered, minMeanSamples)
}

func (d *Download) linkTooSlow() bool {
	perChunk, known := d.link.chunkTime()
	return known && d.settings.MaxQueueDelay > 0 && perChunk > d.settings.MaxQueueDelay
}

// downloadLimit returns the number of concurrent chunk transfers: fewer than the settings allow if the link is so slow
// that they would delay live requests. The caller holds the lock.
func (d *Download) downloadLimit() int {
	perChunk, known := d.link.chunkTime()
	if d.settings.MaxQueueDelay <= 0 || !known {
		return d.settings.Downloads
	}
	return min(max(1, int(d.settings.MaxQueueDelay/max(1, perChunk))), d.settings.Downloads)
}

func (d *Download) swarmView() *swarm.View {
	now := time.Now()
	v := &swarm.View{
		MayImport: func(c id.Chunk) bool { return d.importSchedule.Allowed(c, now.Sub(d.firstHeldAt[c])) },
		KnownFor:  func(c id.Chunk) time.Duration { return now.Sub(d.firstHeldAt[c]) },
		Now:       now, Chunks: len(d.rarity), Have: d.have, InFlight: d.inFlight, Rarity: d.rarity,
		Limits: swarm.Limits{
			PerPeer: d.settings.PerPeer, Total: d.downloadLimit(), EndgameChunks: d.settings.Downloads / 2,
		},
	}
	for _, name := range slices.Sorted(maps.Keys(d.neighbours)) {
		v.Peers = append(v.Peers, &d.neighbours[name].Peer)
	}
	return v
}
