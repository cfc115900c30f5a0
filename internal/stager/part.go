package stager

import (
	"context"
	"errors"
	"expvar"
	"net"
	"slices"
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

// PartName is the name by which other parts depend on this one.
const PartName = "stager"

// Settings holds the configuration section [stager].
type Settings struct {
	// Pool is the pool of the upstream that runs beside this process.
	Pool string `toml:"pool"`
	// PeerPort is the port of the internal listeners of other stagers.
	PeerPort int `toml:"peer_port"`
	// UplinkBytesPerSecond limits uploads to other stagers so that responses of the upstream, which share the link, take
	// precedence; 0 sets no limit.
	UplinkBytesPerSecond int `toml:"uplink_bytes_per_second"`
	// SwapWithin is the time after the publication of a version within which all upstreams must have swapped to it.
	SwapWithin time.Duration `toml:"swap_within"`
	// MemoryBytes limits the memory for chunks.
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

// Stager keeps the upstream beside it on the newest published version of its model and reports its state to the
// gateways.
type Stager struct {
	settings      *Settings
	ports         *Ports
	facts         *facts.Facts
	reporter      *reports.Reporter
	log           *log.Logger
	now           func() time.Time
	dependencies  transfer.Dependencies
	peerTransport transfer.Transport
	stats         transfer.Stats
	orders        *expvar.Map
	// stagedChunksRead is true once the chunks that an earlier process staged have been read.
	stagedChunksRead atomic.Bool

	publishMu sync.Mutex

	// pollNow requests a poll of the upstream before the next one is due, and polledAt is when the newest one began, in ns.
	pollNow  chan struct{}
	polledAt atomic.Int64

	mu    sync.Mutex
	state State
	// readAt is when the newest read of the state began.
	readAt time.Time
	// down is true while the upstream does not respond. closed is true while it accepts no new requests because it is
	// about to load weights; closedAt is the time of the last change of closed.
	down, closed bool
	closedAt     time.Time
	// swapDuration is the expected time for which a swap keeps the upstream from accepting requests.
	swapDuration time.Duration
	// currentDownload is the newest download.
	currentDownload *transfer.Download
}

func newPart(h *kernel.Host) *Stager {
	s := h.Section(PartName).(*Settings)
	r := h.Part(rpc.PartName).(*rpc.Server)
	g := New(s, h.Part(PortsPart).(*Ports), h.Part(facts.PartName).(*facts.Facts), transfer.PeerTransport(r),
		swarm.Member{Domain: h.Identity.Domain}, h.Events, h.Log)
	g.reporter = h.Part(reports.ReporterPart).(*reports.Reporter)
	g.reporter.Limiter().OnChange = g.logLimit
	g.reporter.OnReservation = g.pollForReservation
	pace := rate.NewLimiter(rate.Inf, pacingBurst)
	if s.UplinkBytesPerSecond > 0 {
		pace = rate.NewLimiter(rate.Limit(s.UplinkBytesPerSecond), pacingBurst)
	}
	u := transfer.NewUploads(g.dependencies.Holdings, g.dependencies.Settings.Uploads, pace, &g.stats)
	u.SlowAfter = slowUploadThreshold
	u.Register(r.Handle)
	r.Handle(springrailv1connect.NewSwarmServiceHandler(u))
	h.Metric("swarm", expvar.Func(func() any { return g.stats.Read() }))
	h.Metric("orders", g.orders)
	return g
}

const (
	// pacingBurst is the burst size of the uplink rate limiter in bytes, the size in which uploads write.
	pacingBurst = 16 << 10
	// maxUploads and maxDownloads bound concurrent chunk transfers. A typical chunk has 24 KB and takes 27 ms on a
	// typical link.
	maxUploads, maxDownloads = 3, 6
	// takeoverDelay is how long a lane, the chunks that one stager fetches from the origin, may make no progress before
	// the next stager fetches them. Availability of a chunk spreads hop by hop, and each copy of a version fetched
	// beyond the first takes up the origin's link for 2.6 s.
	takeoverDelay = 700 * time.Millisecond
	// maxQueueDelay is the longest time for which chunks may delay a live request on the way to this VM: a queue of 150
	// ms on a typical link takes 1.6 s on one with an eighth of the bandwidth.
	maxQueueDelay = 200 * time.Millisecond
	// haveInterval is the interval at which a busy stager polls its neighbours for the chunks that they hold. A chunk
	// takes three to four hops, each of which waits for a poll.
	haveInterval = 40 * time.Millisecond
	// slowUploadThreshold is the upload time of a chunk on a link with an eighth of the bandwidth that it shares with
	// one other upload.
	slowUploadThreshold = 400 * time.Millisecond
	// originTimeout bounds one fetch from the origin.
	originTimeout = 3 * time.Second
)

// New returns a stager for the upstream of the ports; self needs only its failure domain.
func New(s *Settings, p *Ports, f *facts.Facts, l transfer.Transport, self swarm.Member, e *kernel.EventRing, g *log.Logger) *Stager {
	self.VM = id.VM(p.Address)
	t := transfer.NewSettings()
	t.Uploads, t.Downloads, t.TakeoverDelay, t.SourceTimeout = maxUploads, maxDownloads, takeoverDelay, originTimeout
	t.MaxQueueDelay, t.HaveInterval = maxQueueDelay, haveInterval
	st := &Stager{down: true, swapDuration: swapplan.DefaultSwapDuration, settings: s, ports: p, facts: f, log: g, now: clock.Now, peerTransport: l, orders: new(expvar.Map), pollNow: make(chan struct{}, 1)}
	f.WatchAddress(p.Address)
	st.dependencies = transfer.Dependencies{
		Settings: t, Self: self, Holdings: transfer.NewHoldingStore(int64(s.MemoryBytes)), Log: g, Events: e, Stats: &st.stats,
	}
	return st
}

// pollInterval is the interval at which the state of the upstream, which runs on the same machine, is polled.
const pollInterval = 100 * time.Millisecond

// Run polls the upstream, publishes reports and deploys versions until the context ends.
func (s *Stager) Run(ctx context.Context) error {
	go s.reconcile(ctx)
	nextReport := s.now().Add(s.reporter.Interval())
	for first := true; ctx.Err() == nil; first = false {
		changed := s.pollUpstream(ctx) || s.reporter.RepeatDue()
		if first {
			// Before the first poll a report would say that the upstream is down.
			go s.reportAnnouncements(ctx)
		}
		if now := s.now(); changed || !now.Before(nextReport.Add(-pollInterval/2)) {
			s.publish()
			// A report that goes out a little early doesn't advance the next one: while reservations are asked for, polls are
			// so frequent that every report would be early.
			interval := s.reporter.Interval()
			nextReport = nextReport.Add(interval)
			if earliest := now.Add(interval - pollInterval/2); changed || nextReport.Before(earliest) {
				nextReport = now.Add(interval)
			}
		}
		s.waitForPoll(ctx)
	}
	return nil
}

// reportAnnouncements publishes a report as soon as the instance list announces that an instance has left the upstream's
// address or returned, as a gateway's copy of the list may lack that announcement.
func (s *Stager) reportAnnouncements(ctx context.Context) {
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

// pollUpstream reads the upstream's state and reports whether anything that gateways need has changed.
func (s *Stager) pollUpstream(ctx context.Context) bool {
	readAt := s.now()
	s.polledAt.Store(readAt.UnixNano())
	state, err := s.readConfirmed(ctx)
	for _, h := range state.Held {
		// This precedes the update of the state: an upstream that serves a newer version than any record has would
		// otherwise be reverted.
		s.observeRevision(h.Model, h.Revision, "upstream")
	}
	if err == nil {
		s.reporter.Limiter().RecordUpstreamReport(s.limitWhileCold(state.Limit), state.Born)
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
		s.log.Info().Uint64("born", uint64(state.Born)).Uint64("life", state.Incarnation).Msg("the upstream beside this process has restarted")
	}
	if state.Leaving && !s.state.Leaving {
		s.log.Info().Msg("the upstream beside this process is shutting down")
	}
	s.down, s.state, s.readAt = down, state, readAt
	s.updateLedger()
	return changed
}

// maxConfirmReads bounds the reports that are read until two in succession state the same versions.
const maxConfirmReads = 4

// errReportsDiffer reports that no two reports in succession state the same versions.
var errReportsDiffer = errors.New("successive reports of the upstream state different versions")

// readConfirmed reads the upstream's state. If that has a version newer than any known one, it is read again until two reports
// in succession agree: the version is passed on to all processes as published, and they never go back to an older one.
func (s *Stager) readConfirmed(ctx context.Context) (State, error) {
	state, err := s.ports.Upstream.State(ctx)
	for n := 1; err == nil && s.hasUnknownVersion(state); n++ {
		if n == maxConfirmReads {
			return State{}, errReportsDiffer
		}
		before := state
		state, err = s.ports.Upstream.State(ctx)
		if err == nil && sameHeld(before.Held, state.Held) {
			return state, nil
		}
		s.log.Warn().Err(err).Msg("a version that one report of the upstream states is not confirmed by the next")
	}
	return state, err
}

// hasUnknownVersion reports whether the upstream serves a version that is newer than any known one.
func (s *Stager) hasUnknownVersion(state State) bool {
	return slices.ContainsFunc(state.Held, func(h facts.Held) bool { return s.facts.Wanted(h.Model).Revision < h.Revision })
}

// limitWhileCold returns the rate limit of the upstream: the one that it announces, or the cold rate of its pool if that is
// lower, while the list of upstreams has it as cold.
func (s *Stager) limitWhileCold(announced throttle.LimitInfo) throttle.LimitInfo {
	c := s.facts.Catalog()
	if c == nil {
		return announced
	}
	p := c.Services[id.Pool(s.settings.Pool)]
	if p == nil || p.ColdRate <= 0 || (announced.State == throttle.Limited && announced.Rate <= throttle.Rate(p.ColdRate)) {
		return announced
	}
	isCold := func(i *facts.Instance) bool { return i.Address == s.ports.Address && i.Cold }
	if !slices.ContainsFunc(s.facts.Instances(), isCold) {
		return announced
	}
	return throttle.LimitInfo{State: throttle.Limited, Rate: throttle.Rate(p.ColdRate)}
}

// logLimit logs that the request limit of the upstream begins, changes or ends.
func (s *Stager) logLimit(w throttle.LimitInfo, by string) {
	s.log.Info().Stringer("limit", w).Str("by", by).Msg("the request limit of the upstream beside this process has changed")
}

// observeRevision treats a version that the upstream serves or the origin offers as published, even if no record has it.
func (s *Stager) observeRevision(m id.Model, r id.Revision, source string) {
	if s.facts.ObserveRevision(m, r) {
		s.log.Warn().Str("model", string(m)).Uint64("revision", uint64(r)).Str("at", source).
			Msg("found a newer version than any record has")
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

// setClosed sets whether the upstream accepts new requests and notifies the gateways of a change at once.
func (s *Stager) setClosed(closed bool) {
	s.mu.Lock()
	changed := s.closed != closed
	s.closed = closed
	if changed {
		s.closedAt = s.now()
		s.updateLedger()
	}
	s.mu.Unlock()
	if changed {
		s.publish()
	}
}

// announceClosedAgain tells the gateways once more that the upstream accepts no new requests, as reports that they got before
// may have expired.
func (s *Stager) announceClosedAgain() {
	s.mu.Lock()
	s.closed, s.closedAt = true, s.now()
	s.updateLedger()
	s.mu.Unlock()
	s.publish()
}

// publish sends a report to the gateways. Reports are made and numbered one at a time: an older state with a higher
// number would reopen a closed upstream for gateways until the next report.
func (s *Stager) publish() {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	takenAt, newest := s.now(), s.newestVersion()
	s.mu.Lock()
	r := &pb.UpstreamReport{
		Named: newest, Born: uint64(s.state.Born),
		Address: s.ports.Address, Running: uint32(s.state.Running), Waiting: uint32(s.state.Waiting),
		KvUsed: s.state.KVUsed, KvTotal: s.state.KVTotal, Pace: s.state.Pace, Closed: s.closed, Down: s.down, Leaving: s.state.Leaving, Life: s.state.Incarnation, ReadMs: uint32(max(0, takenAt.Sub(s.readAt).Milliseconds())),
		Narrow: s.currentDownload != nil && s.currentDownload.LinkTooSlow(),
	}
	for _, h := range s.state.Held {
		r.Held = append(r.Held, &pb.HeldWeights{Model: string(h.Model), Revision: uint64(h.Revision)})
	}
	s.mu.Unlock()
	s.reporter.Publish(r, takenAt)
}

// maxReportedAge is the age of a publication up to which reports include it, well beyond the 8 to 14 s within which
// swaps have to finish.
const maxReportedAge = 30 * time.Second

// newestVersion returns the newest version of the upstream's model, for gateways that have started since its
// publication. If the publication time is unknown, it still returns how long this process has known the version, as the
// version cannot have been published later than that.
func (s *Stager) newestVersion() *pb.NamedWeights {
	g, ok := s.findTarget()
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
	if now.Sub(oldest) > maxReportedAge {
		return nil
	}
	return n
}

// upstreamState returns the latest state of the upstream, and whether the upstream responds.
func (s *Stager) upstreamState() (State, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state, !s.down
}

// peerAddress returns the internal listener address of the stager beside an upstream.
func (s *Stager) peerAddress(upstream string) string {
	host, _, err := net.SplitHostPort(upstream)
	if err != nil {
		return upstream
	}
	return net.JoinHostPort(host, strconv.Itoa(s.settings.PeerPort))
}
