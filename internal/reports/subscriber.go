// Package reports sends load reports of upstreams from their stagers to the gateways, as UDP datagrams; the next report
// makes up for a lost one. A gateway periodically renews its subscriptions at all stagers, or at a subset of them in a
// large fleet, and a stager reports to the gateways that have subscribed recently, so it needs no list of gateways.
package reports

import (
	"context"
	"expvar"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/dating"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/traffic"
)

// SubscriberPart is the name under which other parts list the subscriber as a dependency.
const SubscriberPart = "subscriber"

const (
	// subscribeInterval is how often a gateway renews its subscriptions; a stager drops one after subscriptionTTL.
	subscribeInterval = time.Second
	subscriptionTTL   = 3500 * time.Millisecond
	// maxDatagramBytes is larger than any report: one with names of some tens of bytes, eight models, maxDemandDomains
	// domains, four instances, and maxListedGateways addresses of 21 bytes takes 3.2 KB.
	maxDatagramBytes = 4096
	// defaultGateways is the assumed number of gateways that share the rate limits of upstreams, until a stager reports it.
	defaultGateways = 8
)

// Settings is the section [subscriber] or [reporter] of the settings.
type Settings struct {
	// Listen is the address on which this process receives datagrams.
	Listen string `toml:"listen"`
	// Port is the port on which stagers receive datagrams.
	Port int `toml:"port"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:7700"`)
	c.Require(s.Port > 0 && s.Port < 1<<16, "port", "a port from 1 to 65535")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     SubscriberPart,
		Section:  SubscriberPart,
		Needs:    []string{facts.PartName, traffic.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			s := h.Section(SubscriberPart).(*Settings)
			c, err := listen(s.Listen)
			if err != nil {
				return nil, trace.Wrap(err, "subscriber.listen")
			}
			r := NewSubscriber(c, s.Port, h.Identity.Domain, h.Part(facts.PartName).(*facts.Facts), clock.Now, h.Log)
			t := h.Part(traffic.PartName).(*traffic.Part).Counter
			r.onSent = func(to id.Domain, bytes int) { t.CountDatagram(traffic.Subscriptions, to, bytes) }
			h.Metric("reports", r.vars)
			return r, nil
		},
	})
}

func listen(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp4", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	c, err := net.ListenUDP("udp4", a)
	return c, trace.Wrap(err)
}

// Subscriber receives the reports of all stagers for one gateway.
type Subscriber struct {
	conn        *net.UDPConn
	port        int
	domain      id.Domain
	facts       *facts.Facts
	tracker     *placement.Tracker
	demandMeter *placement.DemandMeter
	now         func() time.Time
	log         *log.Logger
	vars        *expvar.Map
	stamps      stamps
	// onSent is called with the destination and the size of each datagram sent.
	onSent func(to id.Domain, bytes int)

	// OnCrashNews is called with crash news from other gateways; it must be set before Run.
	OnCrashNews func(n *pb.CrashNews)
	// OnHeldAsked is called with the number of a question about what is held, the addresses of the upstreams whose stagers were
	// asked, and whether any upstream is listed; it must be set before Run.
	OnHeldAsked func(question uint64, stagers []string, listed bool)
	// Held is what this gateway answers to stagers that ask what it holds and suspects.
	Held HeldSource
	// after calls a function after a delay.
	after func(d time.Duration, f func())
	// heldQuestion is the question that subscriptions ask; 0 for none. askNow is sent to when it changes.
	heldQuestion atomic.Uint64
	askNow       chan struct{}

	// refusedTimeLogs limits the rate of log lines about refused publish times.
	refusedTimeLogs *rate.Limiter
	// newsLimit limits the rate of crash news that this process sends.
	newsLimit *rate.Limiter
	// heldNewsLimit limits the rate of news of what is held.
	heldNewsLimit *rate.Limiter

	permitRequests pendingPermits

	mu sync.Mutex
	// stagers is the state of each stager, by the address of its upstream.
	stagers map[string]*stagerState
}

// NewSubscriber creates a subscriber for a gateway in a failure domain; it sends and receives on the given socket, and
// stagers receive on port.
func NewSubscriber(c *net.UDPConn, port int, d id.Domain, f *facts.Facts, now func() time.Time, l *log.Logger) *Subscriber {
	s := &Subscriber{
		conn: c, port: port, domain: d, facts: f, tracker: placement.NewTracker(now), now: now, log: l, vars: new(expvar.Map),
		stagers: map[string]*stagerState{}, stamps: newStamps(now()),
		refusedTimeLogs: rate.NewLimiter(refusedTimeLogsPerSecond, 1), newsLimit: rate.NewLimiter(newsPerSecond, newsBurst),
		heldNewsLimit:  rate.NewLimiter(newsPerSecond, newsBurst),
		OnCrashNews:    func(*pb.CrashNews) {},
		OnHeldAsked:    func(uint64, []string, bool) {},
		Held:           emptyHeldSource(),
		after:          func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		askNow:         make(chan struct{}, 1),
		demandMeter:    placement.NewDemandMeter(now),
		onSent:         func(id.Domain, int) {},
		permitRequests: newPendingPermits(),
	}
	s.tracker.Gateways = s.GatewayCount
	return s
}

// Tracker returns the tracker of the upstreams' load.
func (s *Subscriber) Tracker() *placement.Tracker {
	return s.tracker
}

// DemandMeter returns the counters of the load that callers offer to this process.
func (s *Subscriber) DemandMeter() *placement.DemandMeter {
	return s.demandMeter
}

// Demand returns the load per failure domain that callers offer to all gateways for a pool, as its stagers report it. A
// stager that has started recently knows few gateways yet, so the maximum over the stagers counts. The load offered to
// this process is the lower bound for its own failure domain.
func (s *Subscriber) Demand(p id.Pool) placement.Demand {
	largest := placement.Demand{}
	largest.MergeMax(s.domain, placement.OfferedLoad{OnTime: s.demandMeter.OnTime.PerSecond(p), Late: s.demandMeter.Late.PerSecond(p)})
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.facts.Instances() {
		if i.Pool != p {
			continue
		}
		if h := s.stagers[i.Address]; h != nil && now.Before(h.demandUntil) {
			for d, o := range h.demand {
				largest.MergeMax(d, o)
			}
		}
	}
	return largest
}

// GatewayCount returns the number of gateways, this one included: the sum over the failure domains, or the number that
// subscribe to one stager if that is larger. It uses the maximum over the stagers, because a count that is too high makes
// the share of a rate limit too small, which is safe.
func (s *Subscriber) GatewayCount() int {
	now := s.now()
	byDomain := map[id.Domain]int{s.domain: len(s.facts.Gateways())}
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := 0
	for _, h := range s.stagers {
		largest = max(largest, h.gatewayCount)
		if now.After(h.demandUntil) {
			continue
		}
		for d, n := range h.gatewaysByDomain {
			byDomain[d] = max(byDomain[d], n)
		}
	}
	total := 0
	for _, n := range byDomain {
		total += n
	}
	if largest == 0 {
		return max(total, defaultGateways)
	}
	return max(total, largest)
}

// Run renews subscriptions and receives reports until the context ends.
func (s *Subscriber) Run(ctx context.Context) error {
	defer closeWith(ctx, s.conn)()
	go s.subscribe(ctx)
	receive(ctx, s.conn, s.vars, s.handleDatagram)
	return nil
}

// closeWith closes a socket when the context ends, or when the returned function is called.
func closeWith(ctx context.Context, c *net.UDPConn) (closed func()) {
	stop := context.AfterFunc(ctx, func() { c.Close() })
	return func() {
		stop()
		c.Close()
	}
}

// receive passes each datagram to handle until the context ends.
func receive(ctx context.Context, c *net.UDPConn, vars *expvar.Map, handle func(b []byte)) {
	buffer := make([]byte, maxDatagramBytes)
	for ctx.Err() == nil {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if err == nil {
			handle(buffer[:n])
			continue
		}
		if ctx.Err() == nil {
			vars.Add("receive_failed", 1)
			kernel.Pause(ctx, receiveRetryPause)
		}
	}
}

// receiveRetryPause prevents a busy loop on a socket that returns errors.
const receiveRetryPause = 50 * time.Millisecond

// handleDatagram processes one datagram from a stager; invalid ones are counted and dropped.
func (s *Subscriber) handleDatagram(b []byte) {
	var r pb.UpstreamReport
	err := proto.Unmarshal(b, &r)
	if err == nil && r.GetNews() != nil {
		s.vars.Add("news", 1)
		s.OnCrashNews(r.GetNews())
		return
	}
	if err == nil && r.GetPermit() != nil {
		s.handlePermitAnswer(&r)
		return
	}
	if err != nil || r.GetAddress() == "" {
		s.vars.Add("malformed", 1)
		return
	}
	if !s.acceptReport(&r) {
		s.vars.Add("late", 1)
		return
	}
	s.vars.Add("taken", 1)
	s.facts.NoteConfigOffset(id.Position(r.GetConfigOffset()))
	for _, a := range r.GetGateways() {
		s.facts.NoteGateway(a)
	}
	madeAfter := s.stamps.decode(r.GetEcho(), s.now())
	s.mergePublishTime(r.GetAddress(), r.GetNamed(), madeAfter)
	for _, w := range r.GetWords() {
		s.applyAnnouncement(&r, w)
	}
	p := placement.LoadReport{
		Incarnation: id.Incarnation(r.GetBorn()), Life: r.GetLife(), StateAge: time.Duration(r.GetReadMs()) * time.Millisecond,
		Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slowdown: r.GetPace(),
		Closed: r.GetClosed(), Down: r.GetDown(), Congested: r.GetNarrow(), Leaving: r.GetLeaving(), ReceivedAt: s.now(), EchoedStamp: madeAfter,
		StampHeldFor: time.Duration(r.GetEchoHeldMs()) * time.Millisecond, Interval: localReportInterval, ConfigVersion: r.GetConfig(),
		Limit: limitFromReport(&r),
	}
	if every := time.Duration(r.GetEveryMs()) * time.Millisecond; every > 0 {
		p.Interval = every
		p.ValidUntil = p.ReceivedAt.Add(min(time.Duration(remoteValidIntervals*float64(every)), maxRemoteValidity))
	}
	for _, h := range r.GetHeld() {
		s.observeServed(r.GetAddress(), h)
		p.Held = append(p.Held, facts.Held{Model: id.Model(h.GetModel()), Revision: id.Revision(h.GetRevision())})
	}
	s.tracker.SetReport(r.GetAddress(), p)
	s.resendLimit(&r)
	s.noteHeldQuestion(r.GetAddress(), r.GetHeldQuestion())
}

const (
	// localReportInterval is the time between two reports within a failure domain.
	localReportInterval = 200 * time.Millisecond
	// remoteValidIntervals is how many report intervals a remote report stays valid for, so that one may be lost.
	remoteValidIntervals = 2.5
	// maxRemoteValidity is the longest time for which a remote report stays valid.
	maxRemoteValidity = 3 * time.Second
)

// observeServed notes that a version has been published, because an upstream serves it.
func (s *Subscriber) observeServed(upstream string, h *pb.HeldWeights) {
	if s.facts.ObserveRevision(id.Model(h.GetModel()), id.Revision(h.GetRevision())) {
		s.log.Warn().Str("model", h.GetModel()).Uint64("revision", h.GetRevision()).Str("upstream", upstream).
			Msg("an upstream serves a newer version than the newest record")
	}
}

// refusedTimeLogsPerSecond limits the log lines about refused publish times; each report of each stager may cause one.
const refusedTimeLogsPerSecond = 0.2

// mergePublishTime merges a report's publish time of a version into the local one. The report contains ages, which count
// from when it was made: not later than its arrival, which gives a time at which the version was already known, and not
// earlier than madeAfter (zero if unknown), which gives a time at which it had not been published yet.
func (s *Subscriber) mergePublishTime(upstream string, n *pb.NamedWeights, madeAfter time.Time) {
	if n == nil {
		return
	}
	d := dating.TimeBounds{Source: dating.SourceFromProto(n.GetOrigin())}
	if n.GetHadMs() >= 0 {
		d.KnownAt = s.now().Add(-time.Duration(n.GetHadMs()) * time.Millisecond)
	}
	if n.GetAgeMs() >= 0 && !madeAfter.IsZero() {
		d.After = madeAfter.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
	}
	o := s.facts.MergePublishTime(id.Model(n.GetModel()), id.Revision(n.GetRevision()), d)
	if o == dating.Refused {
		s.vars.Add("dates_refused", 1)
	}
	if o == dating.Kept || (o == dating.Refused && !s.refusedTimeLogs.AllowN(s.now(), 1)) {
		return
	}
	s.log.Info().Str("model", n.GetModel()).Uint64("revision", n.GetRevision()).Stringer("date", o).Time("named_after", d.After).
		Time("had", d.KnownAt).Str("upstream", upstream).Str("by", d.Source.Observer).Stringer("evidence", d.Source.Evidence).
		Msg("publish time of a version updated from a report")
}

// applyAnnouncement applies a stager's announcement about an instance at its upstream's address. The local copy of the
// upstream list may lack the change, temporarily or permanently.
func (s *Subscriber) applyAnnouncement(r *pb.UpstreamReport, w *pb.ListWord) {
	n := id.Instance(w.GetInstance())
	a := facts.Announcement{
		Instance: n, Born: id.Incarnation(w.GetBorn()), Address: r.GetAddress(), Left: w.GetLeft(), Position: id.Position(w.GetOffset()),
	}
	if !s.facts.ApplyAnnouncement(a) {
		return
	}
	text := "upstream has left by a report"
	if !a.Left {
		text = "upstream is back by a report"
	}
	s.vars.Add("words_before_list", 1)
	e := s.log.Info().Str("instance", string(n)).Str("upstream", a.Address).Uint64("offset", a.Position.Offset()).
		Uint64("list_offset", s.facts.ListPosition().Offset()).Uint64("stager", r.GetIncarnation()).Uint64("report", r.GetNumber())
	if i := s.facts.Instance(n); i != nil {
		e = e.Uint64("entry_offset", i.ListPosition.Offset())
	}
	e.Uint64("era", a.Position.Era()).Msg(text)
}

// acceptReport updates the state of a report's stager. It returns false for a report that is older than, or the same as,
// one already accepted.
func (s *Subscriber) acceptReport(r *pb.UpstreamReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.stagers[r.GetAddress()]
	if h == nil {
		h = &stagerState{}
		s.stagers[r.GetAddress()] = h
	}
	now := s.now()
	if !h.accept(r.GetIncarnation(), r.GetNumber(), now) {
		return false
	}
	h.gatewayCount = int(r.GetSubscribers())
	if len(r.GetDemand()) > 0 {
		h.demand, h.demandUntil = demandFromProto(r.GetDemand()), now.Add(demandTTL)
		h.gatewaysByDomain = map[id.Domain]int{}
		for _, d := range r.GetDemand() {
			h.gatewaysByDomain[id.Domain(d.GetDomain())] = int(d.GetGateways())
		}
	}
	return true
}

// demandFromProto decodes the demand in a report.
func demandFromProto(l []*pb.Demand) placement.Demand {
	merged := placement.Demand{}
	for _, d := range l {
		merged.MergeMax(id.Domain(d.GetDomain()), placement.OfferedLoad{OnTime: d.GetOffered(), Late: d.GetOfferedLate()})
	}
	return merged
}
