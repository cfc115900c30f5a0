// Package reports carries the figures of upstreams from the stagers beside them to the gateways that use them, by
// datagrams: a lost one is made good by the next. A gateway subscribes to each stager again and again; a stager reports
// to those that did so lately, and so needs no list of gateways.
package reports

import (
	"context"
	"expvar"
	"net"
	"sync"
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

// SubscriberPart is what other parts name in their needs.
const SubscriberPart = "subscriber"

const (
	// subscribeEvery is how often a gateway renews its subscriptions; a stager forgets one after subscriptionLife.
	subscribeEvery   = time.Second
	subscriptionLife = 3500 * time.Millisecond
	// datagramBytes is above any report: names of some tens of bytes of eight models, mostDomains and four instances, and
	// mostNamed addresses of 21 bytes made 3.2 KB.
	datagramBytes = 4096
	// defaultGateways is how many gateways are taken to share the budgets before a stager has said so.
	defaultGateways = 8
)

// Settings is the section [subscriber] or [reporter].
type Settings struct {
	// Listen is the address of the datagrams of this process.
	Listen string `toml:"listen"`
	// Port is the port of the datagrams of stagers.
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
			r.sent = func(to id.Domain, bytes int) { t.Datagram(traffic.Subscriptions, to, bytes) }
			h.AddMetric("reports", r.vars)
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

// Subscriber is a gateway's end.
type Subscriber struct {
	conn    *net.UDPConn
	port    int
	domain  id.Domain
	facts   *facts.Facts
	tracker *placement.Tracker
	offers  *placement.DemandMeter
	now     func() time.Time
	log     *log.Logger
	vars    *expvar.Map
	stamps  stamps
	// sent is told of each subscription.
	sent func(to id.Domain, bytes int)

	// OnCrashNews is told of what other gateways say of upstreams that have crashed; it is set before Run.
	OnCrashNews func(n *pb.CrashNews)

	// refusedLines bounds the lines on dates that can't be right.
	refusedLines *rate.Limiter
	// newsLimit bounds the news of this process.
	newsLimit *rate.Limiter

	questions questions

	mu sync.Mutex
	// stagers is what each has said, by its upstream's address.
	stagers map[string]*heard
}

// NewSubscriber makes a subscriber of a failure domain over a socket; port is that of the stagers.
func NewSubscriber(c *net.UDPConn, port int, d id.Domain, f *facts.Facts, now func() time.Time, l *log.Logger) *Subscriber {
	s := &Subscriber{
		conn: c, port: port, domain: d, facts: f, tracker: placement.NewTracker(now), now: now, log: l, vars: new(expvar.Map),
		stagers: map[string]*heard{}, stamps: newStamps(now()),
		refusedLines: rate.NewLimiter(refusedPerSecond, 1), newsLimit: rate.NewLimiter(newsPerSecond, newsAtOnce),
		OnCrashNews: func(*pb.CrashNews) {},
		offers:      placement.NewDemandMeter(now),
		sent:        func(id.Domain, int) {},
		questions:   questions{waiting: map[uint64]chan uint64{}},
	}
	s.tracker.Gateways = s.GatewayCount
	return s
}

// Tracker returns what is known of upstreams' load.
func (s *Subscriber) Tracker() *placement.Tracker {
	return s.tracker
}

// Offers follows what callers bring to this process.
func (s *Subscriber) Offers() *placement.DemandMeter {
	return s.offers
}

// Demand is what callers bring to all gateways for a pool, as its stagers have it. A stager that has started lately knows
// few gateways yet, so the largest figures count; what comes to this process itself is the least of its failure domain.
func (s *Subscriber) Demand(p id.Pool) placement.Demand {
	most := placement.Demand{}
	most.MergeMax(s.domain, placement.OfferedLoad{OnTime: s.offers.OnTime.PerSecond(p), Late: s.offers.Late.PerSecond(p)})
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.facts.Instances() {
		if i.Pool != p {
			continue
		}
		if h := s.stagers[i.Address]; h != nil && now.Before(h.demandUntil) {
			for d, o := range h.demand {
				most.MergeMax(d, o)
			}
		}
	}
	return most
}

// GatewayCount is the number of gateways that stagers know, this one included. The largest count is the safe one.
func (s *Subscriber) GatewayCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for _, h := range s.stagers {
		most = max(most, h.gateways)
	}
	if most == 0 {
		return defaultGateways
	}
	return most
}

// Run subscribes and takes reports until the context ends.
func (s *Subscriber) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { s.conn.Close() })()
	go s.subscribe(ctx)
	receive(ctx, s.conn, s.vars, s.take)
	return nil
}

// receive hands each datagram to take until the context ends.
func receive(ctx context.Context, c *net.UDPConn, vars *expvar.Map, take func(b []byte)) {
	buffer := make([]byte, datagramBytes)
	for ctx.Err() == nil {
		n, _, err := c.ReadFromUDPAddrPort(buffer)
		if err == nil {
			take(buffer[:n])
			continue
		}
		if ctx.Err() == nil {
			vars.Add("receive_failed", 1)
			kernel.Pause(ctx, failedPause)
		}
	}
}

// failedPause keeps a socket that fails from taking the processor.
const failedPause = 50 * time.Millisecond

// take reads one report; what is not one is counted and dropped.
func (s *Subscriber) take(b []byte) {
	var r pb.UpstreamReport
	err := proto.Unmarshal(b, &r)
	if err == nil && r.GetNews() != nil {
		s.vars.Add("news", 1)
		s.OnCrashNews(r.GetNews())
		return
	}
	if err == nil && r.GetPermit() != nil {
		s.takePermit(&r)
		return
	}
	if err != nil || r.GetAddress() == "" {
		s.vars.Add("malformed", 1)
		return
	}
	if !s.newer(&r) {
		s.vars.Add("late", 1)
		return
	}
	s.vars.Add("taken", 1)
	s.facts.NoteConfigOffset(id.Position(r.GetConfigOffset()))
	for _, a := range r.GetGateways() {
		s.facts.NoteGateway(a)
	}
	made := s.stamps.moment(r.GetEcho(), s.now())
	s.date(r.GetAddress(), r.GetNamed(), made)
	for _, w := range r.GetWords() {
		s.hear(&r, w)
	}
	p := placement.LoadReport{
		Incarnation: id.Incarnation(r.GetBorn()),
		Running:     int(r.GetRunning()), Waiting: int(r.GetWaiting()), Slowdown: r.GetPace(),
		Closed: r.GetClosed(), Down: r.GetDown(), Congested: r.GetNarrow(), Leaving: r.GetLeaving(), ReceivedAt: s.now(), EchoedStamp: made,
		StampHeldFor: time.Duration(r.GetEchoHeldMs()) * time.Millisecond, Interval: nearEvery, ConfigVersion: r.GetConfig(),
		Limit: told(&r),
	}
	if every := time.Duration(r.GetEveryMs()) * time.Millisecond; every > 0 {
		p.Interval = every
		p.ValidUntil = p.ReceivedAt.Add(min(time.Duration(farLives*float64(every)), farMost))
	}
	for _, h := range r.GetHeld() {
		s.prove(r.GetAddress(), h)
		p.Held = append(p.Held, facts.Held{Model: id.Model(h.GetModel()), Revision: id.Revision(h.GetRevision())})
	}
	s.tracker.SetReport(r.GetAddress(), p)
	s.retell(&r)
}

const (
	// nearEvery is the time between two reports in the own failure domain.
	nearEvery = 200 * time.Millisecond
	// farLives is how many times the time to the next report one is believed where that is longer than usual: one may be lost.
	farLives = 2.5
	// farMost bounds it.
	farMost = 3 * time.Second
)

// prove takes a version that an upstream serves as named.
func (s *Subscriber) prove(upstream string, h *pb.HeldWeights) {
	if s.facts.ObserveRevision(id.Model(h.GetModel()), id.Revision(h.GetRevision())) {
		s.log.Warn().Str("model", h.GetModel()).Uint64("revision", h.GetRevision()).Str("upstream", upstream).
			Msg("an upstream serves a newer version than any record names")
	}
}

// refusedPerSecond bounds the lines on dates that can't be right: each report of each stager may bring one.
const refusedPerSecond = 0.2

// date takes what a report tells of the naming of weights. The ages in it are those of the moment at which it was made:
// what was known by then is dated by its coming, and what had not happened by the moment after which it was made, if
// that is known.
func (s *Subscriber) date(upstream string, n *pb.NamedWeights, made time.Time) {
	if n == nil {
		return
	}
	d := dating.TimeBounds{Source: dating.SourceFromProto(n.GetOrigin())}
	if n.GetHadMs() >= 0 {
		d.KnownAt = s.now().Add(-time.Duration(n.GetHadMs()) * time.Millisecond)
	}
	if n.GetAgeMs() >= 0 && !made.IsZero() {
		d.After = made.Add(-time.Duration(n.GetAgeMs()) * time.Millisecond)
	}
	o := s.facts.MergePublishTime(id.Model(n.GetModel()), id.Revision(n.GetRevision()), d)
	if o == dating.Refused {
		s.vars.Add("dates_refused", 1)
	}
	if o == dating.Kept || (o == dating.Refused && !s.refusedLines.AllowN(s.now(), 1)) {
		return
	}
	s.log.Info().Str("model", n.GetModel()).Uint64("revision", n.GetRevision()).Stringer("date", o).Time("named_after", d.After).
		Time("had", d.KnownAt).Str("upstream", upstream).Str("by", d.Source.Observer).Stringer("evidence", d.Source.Evidence).
		Msg("a report dates the naming of weights")
}

// hear takes a word on an instance at the upstream's address. The own list may lack it, late or for good.
func (s *Subscriber) hear(r *pb.UpstreamReport, w *pb.ListWord) {
	n := id.Instance(w.GetInstance())
	word := facts.Announcement{
		Instance: n, Born: id.Incarnation(w.GetBorn()), Address: r.GetAddress(), Left: w.GetLeft(), Position: id.Position(w.GetOffset()),
	}
	if !s.facts.ApplyAnnouncement(word) {
		return
	}
	text := "upstream has left by a report"
	if !word.Left {
		text = "upstream is back by a report"
	}
	s.vars.Add("words_before_list", 1)
	e := s.log.Info().Str("instance", string(n)).Str("upstream", word.Address).Uint64("offset", word.Position.Offset()).
		Uint64("list_offset", s.facts.ListPosition().Offset()).Uint64("stager", r.GetIncarnation()).Uint64("report", r.GetNumber())
	if i := s.facts.Instance(n); i != nil {
		e = e.Uint64("entry_offset", i.ListPosition.Offset())
	}
	e.Uint64("era", word.Position.Era()).Msg(text)
}

// newer notes a report's place and says whether it follows all that came before.
func (s *Subscriber) newer(r *pb.UpstreamReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.stagers[r.GetAddress()]
	if h == nil {
		h = &heard{}
		s.stagers[r.GetAddress()] = h
	}
	now := s.now()
	if !h.next(r.GetIncarnation(), r.GetNumber(), now) {
		return false
	}
	h.gateways = int(r.GetSubscribers())
	if len(r.GetDemand()) > 0 {
		h.demand, h.demandUntil = demand(r.GetDemand()), now.Add(demandLife)
	}
	return true
}

// demand reads what a stager tells.
func demand(l []*pb.Demand) placement.Demand {
	of := placement.Demand{}
	for _, d := range l {
		of.MergeMax(id.Domain(d.GetDomain()), placement.OfferedLoad{OnTime: d.GetOffered(), Late: d.GetOfferedLate()})
	}
	return of
}
