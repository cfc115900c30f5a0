package reports

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/throttle"
	"github.com/springrail/springrail/internal/traffic"
)

// ReporterPart is what other parts name in their needs.
const ReporterPart = "reporter"

// maxSubscribers bounds the gateways that a stager reports to; the users' target has 350 nodes in 8 failure domains.
const maxSubscribers = 512

func init() {
	kernel.Register(kernel.Part{
		Name:     ReporterPart,
		Section:  ReporterPart,
		Needs:    []string{facts.PartName, traffic.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			conn, err := listen(h.Section(ReporterPart).(*Settings).Listen)
			if err != nil {
				return nil, trace.Wrap(err, "reporter.listen")
			}
			r := NewReporter(conn, h.Identity.Domain, h.Part(facts.PartName).(*facts.Facts), clock.Now, h.Log)
			c := h.Part(traffic.PartName).(*traffic.Part).Counter
			r.sent = func(to id.Domain, bytes int) { c.Datagram(traffic.Reports, to, bytes) }
			h.AddMetric("reports", r.vars)
			return r, nil
		},
	})
}

// Reporter is a stager's end.
type Reporter struct {
	conn        *net.UDPConn
	domain      id.Domain
	facts       *facts.Facts
	now         func() time.Time
	log         *log.Logger
	vars        *expvar.Map
	incarnation uint64
	// sent is told of each report.
	sent func(to id.Domain, bytes int)

	mu          sync.Mutex
	number      uint64
	subscribers map[string]subscriber
	// retell is true once the demand has changed much since the last report.
	retell bool
	// told is what the last report said beside the load, and urgent how many of the next reports go to all.
	told   string
	urgent int
	// newsLimit bounds the news that this process passes on.
	newsLimit *rate.Limiter
	// address is the upstream's.
	address string

	// limiter gives the permits of an upstream that names a limit.
	limiter *throttle.Limiter
}

// subscriber is a gateway with the moment at which its subscription ends.
type subscriber struct {
	to    *net.UDPAddr
	until time.Time
	// near is true in the own failure domain.
	near   bool
	domain id.Domain
	// each is true of a gateway that wants every report although it is in another failure domain.
	each bool
	// offered and offeredLate are the requests a second that it says callers bring.
	offered, offeredLate float64
	// stamp is its newest one, and stamped when that came.
	stamp   uint64
	stamped time.Time
}

// NewReporter makes a reporter of a failure domain over a socket.
func NewReporter(c *net.UDPConn, d id.Domain, f *facts.Facts, now func() time.Time, l *log.Logger) *Reporter {
	return &Reporter{
		conn: c, domain: d, facts: f, now: now, log: l, vars: new(expvar.Map), incarnation: rand.Uint64() | 1,
		subscribers: map[string]subscriber{}, sent: func(id.Domain, int) {}, newsLimit: rate.NewLimiter(passedPerSecond, passedAtOnce),
		limiter: throttle.NewLimiter(now),
	}
}

// Limiter gives the permits of the upstream beside this process.
func (r *Reporter) Limiter() *throttle.Limiter {
	return r.limiter
}

// Run takes subscriptions until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { r.conn.Close() })()
	receive(ctx, r.conn, r.vars, r.take)
	return nil
}

func (r *Reporter) take(b []byte) {
	var s pb.ReportSubscription
	if err := proto.Unmarshal(b, &s); err != nil {
		r.vars.Add("malformed", 1)
		return
	}
	if s.GetNews() != nil {
		r.passOn(s.GetNews())
		return
	}
	if s.GetPermit() != nil {
		r.takePermit(s.GetPermit())
		return
	}
	to, err := net.ResolveUDPAddr("udp4", s.GetSender())
	if err != nil || to.IP == nil {
		r.vars.Add("malformed", 1)
		return
	}
	r.facts.NoteConfigOffset(id.Position(s.GetConfigOffset()))
	for _, h := range s.GetProved() {
		if r.facts.ObserveRevision(id.Model(h.GetModel()), id.Revision(h.GetRevision())) {
			r.log.Warn().Str("model", h.GetModel()).Uint64("revision", h.GetRevision()).Str("gateway", s.GetSender()).
				Msg("a gateway knows of a newer version than any record names")
		}
	}
	near := id.Domain(s.GetDomain()) == r.domain
	if near {
		r.facts.NoteGateway(s.GetSender())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.subscribers[s.GetSender()]; !known && len(r.subscribers) >= maxSubscribers {
		r.vars.Add("refused", 1)
		return
	}
	old := r.subscribers[s.GetSender()]
	r.retell = r.retell || math.Abs(old.offered-s.GetOffered()) > offerLeast+offerChange*old.offered
	r.subscribers[s.GetSender()] = subscriber{
		to: to, until: r.now().Add(subscriptionLife), near: near, domain: id.Domain(s.GetDomain()), each: s.GetEach(),
		offered: max(0, s.GetOffered()), offeredLate: max(0, s.GetOfferedLate()), stamp: s.GetStamp(), stamped: r.now(),
	}
}

const (
	// farEvery is the number of reports of which one goes to the gateways of other failure domains: one a second, as
	// that is how often a report tells the demand. A gateway rarely chooses beyond its own domain; one that does asks
	// for each. Reports are most of the bytes between regions on a quiet day.
	farEvery = nameEvery
	// farTime is the time between two of these.
	farTime = time.Second
	// urgentReports is how many reports in a row go to all once anything but the load has changed: the first may be lost, and an
	// upstream that is about to load waits for the second (stager).
	urgentReports = 2
)

// Publish sends a report to its subscribers: to those of the own failure domain and those that want each, and now and
// then, or when anything but the load has changed, to all. What it tells was read from a moment on, made.
func (r *Reporter) Publish(p *pb.UpstreamReport, made time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for name, s := range r.subscribers {
		if now.After(s.until) {
			delete(r.subscribers, name)
		}
	}
	r.number++
	heard, _ := r.facts.ConfigOffset()
	p.ConfigOffset = uint64(heard)
	if c := r.facts.Catalog(); c != nil {
		p.Config = c.Revision
	}
	p.Incarnation, p.Number, p.Subscribers = r.incarnation, r.number, uint32(len(r.subscribers))
	p.Words = r.words(p.GetAddress(), now)
	p.Limit, r.address = r.limit(), p.GetAddress()
	r.noteChange(p, now)
	toAll := r.urgent > 0 || r.number%farEvery == 0
	r.urgent = max(0, r.urgent-1)
	if r.number%nameEvery == 0 || r.retell {
		r.retell = false
		p.Demand = r.demand()
	}
	t, ok := r.texts(p)
	if !ok {
		return
	}
	for _, s := range r.subscribers {
		switch {
		case s.near:
			r.send(&s, t.near, made)
		case s.each:
			r.send(&s, t.each, made)
		case toAll:
			r.send(&s, t.far, made)
		}
	}
}

// texts are a report as gateways of the own failure domain get it, those elsewhere that want each, and others.
type texts struct {
	near, each, far []byte
}

// texts encodes a report; the caller holds the lock.
func (r *Reporter) texts(p *pb.UpstreamReport) (t texts, ok bool) {
	if t.each, ok = r.encode(p); !ok {
		return t, false
	}
	p.EveryMs = uint32(farTime.Milliseconds())
	if t.far, ok = r.encode(p); !ok {
		return t, false
	}
	p.EveryMs = 0
	if r.number%nameEvery == 0 {
		r.naming(p)
	}
	t.near, ok = r.encode(p)
	return t, ok
}

func (r *Reporter) send(s *subscriber, text []byte, made time.Time) {
	if s.stamped.Before(made) {
		// A stamp that came while this process stood still within a report would make its ages count from after them.
		text = withEcho(text, s.stamp, r.now().Sub(s.stamped))
	}
	if _, err := r.conn.WriteToUDP(text, s.to); err != nil {
		r.vars.Add("send_failed", 1)
		return
	}
	r.sent(s.domain, len(text))
}

// noteChange makes the next reports urgent where this one says anything new beside the load; the caller holds the lock.
func (r *Reporter) noteChange(p *pb.UpstreamReport, now time.Time) {
	told := fmt.Sprint(p.GetClosed(), p.GetDown(), p.GetNarrow(), p.GetLeaving(), p.GetNamed().GetRevision(), p.GetBorn())
	if l := p.GetLimit(); l != nil {
		told += fmt.Sprint(" ", l.GetRate(), l.GetOver())
	}
	for _, h := range p.GetHeld() {
		told += fmt.Sprint(" ", h.GetModel(), h.GetRevision())
	}
	words, _ := r.facts.Announcements(now.Add(-wordFresh))
	for _, w := range words {
		told += fmt.Sprint(" ", w.Instance, w.Born, w.Left, w.Position)
	}
	if told != r.told {
		r.told, r.urgent = told, urgentReports
	}
}

// nameEvery is the number of reports of which one names the gateways of the own failure domain and tells the demand: about
// one a second, as gateways tell theirs that often.
const nameEvery = 5

// wordFresh is how long each report tells a new word on an instance: three times the 3 s within which requests to it have to
// end (the users' letter), rounded up. After that only one of nameEvery does, for gateways that were cut off meanwhile.
const wordFresh = 10 * time.Second

// words tells which instances have left the upstream's address by the own list; the caller holds the lock.
func (r *Reporter) words(address string, now time.Time) []*pb.ListWord {
	r.facts.WatchAddress(address)
	since := now.Add(-wordFresh)
	if r.number%nameEvery == 0 {
		since = time.Time{}
	}
	told, _ := r.facts.Announcements(since)
	var l []*pb.ListWord
	for _, w := range told {
		l = append(l, &pb.ListWord{Instance: string(w.Instance), Born: uint64(w.Born), Left: w.Left, Offset: uint64(w.Position)})
	}
	return l
}

// mostNamed bounds the gateways that a report names, so that it stays below datagramBytes; the users' target has 44 in
// a failure domain.
const mostNamed = 64

// mostDomains bounds the failure domains whose demand a report tells; the users' target has 8.
const mostDomains = 16

// naming adds the gateways of the own failure domain to a report; the caller holds the lock.
func (r *Reporter) naming(p *pb.UpstreamReport) {
	for name, s := range r.subscribers {
		if s.near && len(p.GetGateways()) < mostNamed {
			p.Gateways = append(p.Gateways, name)
		}
	}
}

// demand adds up by failure domain what the subscribers say that callers bring; the caller holds the lock.
func (r *Reporter) demand() []*pb.Demand {
	by := map[id.Domain]*pb.Demand{}
	var l []*pb.Demand
	for _, s := range r.subscribers {
		d := by[s.domain]
		if d == nil {
			if len(l) >= mostDomains {
				continue
			}
			d = &pb.Demand{Domain: string(s.domain)}
			by[s.domain] = d
			l = append(l, d)
		}
		d.Offered += s.offered
		d.OfferedLate += s.offeredLate
	}
	return l
}

func (r *Reporter) encode(p *pb.UpstreamReport) ([]byte, bool) {
	b, err := proto.Marshal(p)
	if err != nil {
		r.log.Error().Err(err).Msg("a report can't be encoded")
	}
	return b, err == nil
}
