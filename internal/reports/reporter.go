package reports

import (
	"context"
	"expvar"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/reservation"
	"github.com/springrail/springrail/internal/throttle"
	"github.com/springrail/springrail/internal/traffic"
)

// ReporterPart is the name under which other parts list the reporter as a dependency.
const ReporterPart = "reporter"

// maxSubscribers limits the gateways that a stager reports to. Gateways of a large fleet subscribe to subsets of the
// stagers, so that the number at one stager depends on the number of gateways per stager only.
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
			r.onSent = func(to id.Domain, bytes int) { c.CountDatagram(traffic.Reports, to, bytes) }
			h.Metric("reports", r.vars)
			h.Metric("reservations", expvar.Func(func() any { return r.ledger.Stats() }))
			h.Metric("admission", expvar.Func(func() any { return r.admission.Stats() }))
			return r, nil
		},
	})
}

// Reporter sends the reports of one stager to the gateways that subscribe to them.
type Reporter struct {
	conn        *net.UDPConn
	domain      id.Domain
	facts       *facts.Facts
	now         func() time.Time
	log         *log.Logger
	vars        *expvar.Map
	incarnation uint64
	// onSent is called with the destination and the size of each datagram sent.
	onSent func(to id.Domain, bytes int)

	mu          sync.Mutex
	lastNumber  uint64
	subscribers map[string]subscriber
	// demandChanged is true if the demand has changed considerably since the last report that contained it.
	demandChanged bool
	// lastState is the content of the last report except for the load, and urgentPending is how many of the next reports
	// go to all subscribers because that content changed.
	lastState     string
	urgentPending int
	// repeatAt is when the report of the newest change is repeated, if the next regular one is later.
	repeatAt time.Time
	// nextListed is the gateway with which the next list in a report begins.
	nextListed string
	// newsLimit limits the rate of crash news that this process forwards.
	newsLimit *rate.Limiter
	// heldNewsLimit limits the rate of news of what is held, which must not get lost among reports of crashes.
	heldNewsLimit *rate.Limiter
	// heldMemory is what gateways hold, by their news and answers.
	heldMemory heldMemory
	// crashMemory is what gateways have reported of crashes.
	crashMemory crashMemory
	// upstreamAddress is the address of the stager's upstream, as in the last report.
	upstreamAddress string

	// limiter issues the permits of an upstream that names a rate limit, and ledger holds the reservations at it.
	limiter *throttle.Limiter
	ledger  *reservation.Ledger
	// admission decides which requests get a reservation under overload.
	admission *admission.Controller
	// lastReservation is when a reservation was last asked for, in ns.
	lastReservation atomic.Int64
	// outdated is true while the upstream serves an older version than the newest one.
	outdated atomic.Bool
	// OnReservation is called before each request for a reservation is answered; it must not block, and is set before Run.
	OnReservation func()
}

// subscriber is a gateway with its subscription.
type subscriber struct {
	addr      *net.UDPAddr
	expiresAt time.Time
	// local is true for a gateway in the stager's own failure domain.
	local  bool
	domain id.Domain
	// everyReport is true for a gateway in another failure domain that requested every report.
	everyReport bool
	// offered and offeredLate are the requests per second that callers offer to the gateway, by its own count.
	offered, offeredLate float64
	// gateways is the number of gateways of its failure domain that the gateway knows.
	gateways int
	// stamp is the newest stamp of the gateway, and stampedAt is when it arrived.
	stamp     uint64
	stampedAt time.Time
}

// NewReporter creates a reporter for a stager in a failure domain; it sends and receives on the given socket.
func NewReporter(c *net.UDPConn, d id.Domain, f *facts.Facts, now func() time.Time, l *log.Logger) *Reporter {
	limiter, admitted := throttle.NewLimiter(now), admission.New(now)
	r := &Reporter{
		conn: c, domain: d, facts: f, now: now, log: l, vars: new(expvar.Map), incarnation: rand.Uint64() | 1,
		subscribers: map[string]subscriber{}, onSent: func(id.Domain, int) {}, newsLimit: rate.NewLimiter(forwardedPerSecond, forwardedBurst),
		heldNewsLimit: rate.NewLimiter(forwardedPerSecond, forwardedBurst),
		limiter:       limiter, ledger: reservation.New(now, limiter, admitted), admission: admitted, OnReservation: func() {},
	}
	r.vars.Set("held_remembered", expvar.Func(func() any {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.heldMemory.stats(r.now())
	}))
	return r
}

// Limiter returns the limiter that issues the permits of the stager's upstream.
func (r *Reporter) Limiter() *throttle.Limiter {
	return r.limiter
}

// Run receives subscriptions until the context ends.
func (r *Reporter) Run(ctx context.Context) error {
	defer closeWith(ctx, r.conn)()
	receive(ctx, r.conn, r.vars, r.handleDatagram)
	return nil
}

func (r *Reporter) handleDatagram(b []byte) {
	var s pb.ReportSubscription
	if err := proto.Unmarshal(b, &s); err != nil {
		r.vars.Add("malformed", 1)
		return
	}
	if s.GetNews() != nil {
		r.forwardNews(s.GetNews())
		return
	}
	if s.GetPermit() != nil {
		r.handlePermitRequest(s.GetPermit())
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", s.GetSender())
	if err != nil || addr.IP == nil {
		r.vars.Add("malformed", 1)
		return
	}
	r.facts.NoteConfigOffset(id.Position(s.GetConfigOffset()))
	for _, h := range s.GetProved() {
		if r.facts.ObserveRevision(id.Model(h.GetModel()), id.Revision(h.GetRevision())) {
			r.log.Warn().Str("model", h.GetModel()).Uint64("revision", h.GetRevision()).Str("gateway", s.GetSender()).
				Msg("a gateway reports a newer version than the newest record")
		}
	}
	local := id.Domain(s.GetDomain()) == r.domain
	if local {
		r.facts.NoteGateway(s.GetSender())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.subscribers[s.GetSender()]; !known && len(r.subscribers) >= maxSubscribers {
		r.vars.Add("refused", 1)
		return
	}
	old, known := r.subscribers[s.GetSender()]
	known = known && !r.now().After(old.expiresAt)
	r.demandChanged = r.demandChanged || math.Abs(old.offered-s.GetOffered()) > minLoadChange+loadChangeShare*old.offered
	fresh := subscriber{
		addr: addr, expiresAt: r.now().Add(subscriptionTTL), local: local, domain: id.Domain(s.GetDomain()), everyReport: s.GetEach(),
		offered: max(0, s.GetOffered()), offeredLate: max(0, s.GetOfferedLate()), gateways: int(s.GetGateways()), stamp: s.GetStamp(), stampedAt: r.now(),
	}
	r.subscribers[s.GetSender()] = fresh
	if !known || s.GetHeldQuestion() != 0 {
		r.sendHeld(&fresh, s.GetHeldQuestion())
	}
}

// urgentReports is how many consecutive reports go to all subscribers after anything but the load has changed. The first
// may be lost, and an upstream that is about to load waits for the second one.
const urgentReports = 2

// Publish sends a report to its subscribers. Gateways of the same failure domain and those that requested every report
// get each one; the others get one in each cycle, or if anything but the load has changed. readAt is when the
// reading of the report's data began.
func (r *Reporter) Publish(p *pb.UpstreamReport, readAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for name, s := range r.subscribers {
		if now.After(s.expiresAt) {
			delete(r.subscribers, name)
		}
	}
	r.lastNumber++
	r.outdated.Store(servesOutdated(p))
	offset, _ := r.facts.ConfigOffset()
	p.ConfigOffset = uint64(offset)
	if c := r.facts.Catalog(); c != nil {
		p.Config = c.Revision
	}
	p.Incarnation, p.Number, p.Subscribers = r.incarnation, r.lastNumber, uint32(len(r.subscribers))
	p.Words = r.announcements(p.GetAddress(), now)
	p.Limit, r.upstreamAddress = r.limitMessage(), p.GetAddress()
	p.HeldQuestion = r.heldMemory.ask(now)
	r.detectChange(p, now)
	toAll := r.urgentPending > 0 || r.fullReport()
	r.urgentPending = max(0, r.urgentPending-1)
	if r.fullReport() || r.demandChanged {
		r.demandChanged = false
		p.Demand = r.totalDemand()
	}
	t, ok := r.encodeAll(p)
	if !ok {
		return
	}
	for _, s := range r.subscribers {
		switch {
		case s.local:
			r.send(&s, t.local, readAt)
		case s.everyReport:
			r.send(&s, t.everyReport, readAt)
		case toAll:
			r.send(&s, t.remote, readAt)
		}
	}
}

// encodedReports is one report, encoded for gateways of the same failure domain, for remote gateways that requested
// every report, and for other remote gateways.
type encodedReports struct {
	local, everyReport, remote []byte
}

// encodeAll encodes a report for each group of subscribers; the caller holds the lock.
func (r *Reporter) encodeAll(p *pb.UpstreamReport) (t encodedReports, ok bool) {
	interval := r.Interval()
	p.EveryMs = localEveryMs(interval)
	if t.everyReport, ok = r.encode(p); !ok {
		return t, false
	}
	p.EveryMs = uint32(interval.Milliseconds()) * uint32(reportsPerCycle(interval))
	if t.remote, ok = r.encode(p); !ok {
		return t, false
	}
	p.EveryMs = localEveryMs(interval)
	if r.fullReport() {
		r.addGateways(p)
	}
	t.local, ok = r.encode(p)
	return t, ok
}

func (r *Reporter) send(s *subscriber, report []byte, readAt time.Time) {
	if s.stampedAt.Before(readAt) {
		// The stamp is echoed only if it arrived before the report's data was read. If this process was suspended
		// between the two, the gateway would count the report's ages from too late a time.
		report = appendEcho(report, s.stamp, r.now().Sub(s.stampedAt))
	}
	if _, err := r.conn.WriteToUDP(report, s.addr); err != nil {
		r.vars.Add("send_failed", 1)
		return
	}
	r.onSent(s.domain, len(report))
}

// detectChange makes this and the next reports go to all subscribers if anything but the load has changed; the caller
// holds the lock.
func (r *Reporter) detectChange(p *pb.UpstreamReport, now time.Time) {
	state := fmt.Sprint(p.GetClosed(), p.GetDown(), p.GetNarrow(), p.GetLeaving(), p.GetNamed().GetRevision(), p.GetBorn(), p.GetHeldQuestion())
	if l := p.GetLimit(); l != nil {
		state += fmt.Sprint(" ", l.GetRate(), l.GetOver())
	}
	for _, h := range p.GetHeld() {
		state += fmt.Sprint(" ", h.GetModel(), h.GetRevision())
	}
	announcements, _ := r.facts.Announcements(now.Add(-announcementRepeatTime))
	for _, w := range announcements {
		state += fmt.Sprint(" ", w.Instance, w.Born, w.Left, w.Position)
	}
	if state != r.lastState {
		r.lastState, r.urgentPending, r.repeatAt = state, urgentReports, now.Add(repeatInterval)
	}
}

// announcementRepeatTime is how long every report contains a new announcement about an instance. Requests to an instance
// that leaves must stop within 3 s; this is three times as long, rounded up. Later only one report of each cycle
// contains it, for gateways that were disconnected meanwhile.
const announcementRepeatTime = 10 * time.Second

// announcements encodes which instances have left the upstream's address, or are back, according to the stager's copy of
// the upstream list; the caller holds the lock.
func (r *Reporter) announcements(address string, now time.Time) []*pb.ListWord {
	r.facts.WatchAddress(address)
	since := now.Add(-announcementRepeatTime)
	if r.fullReport() {
		since = time.Time{}
	}
	announcements, _ := r.facts.Announcements(since)
	var l []*pb.ListWord
	for _, w := range announcements {
		l = append(l, &pb.ListWord{Instance: string(w.Instance), Born: uint64(w.Born), Left: w.Left, Offset: uint64(w.Position)})
	}
	return l
}

const (
	// maxListedGateways limits the gateways listed in a report, so that it stays below maxDatagramBytes.
	maxListedGateways = 64
	// minListedGateways is the number of gateways up to which a report lists all of them.
	minListedGateways = 16
	// gatewayListCycle is the time within which all gateways are listed by turns, one part in each cycle of reports: half of
	// the time for which receivers know them.
	gatewayListCycle = facts.GatewayTTL / 2
)

// maxDemandDomains limits the failure domains whose demand a report contains; the largest planned deployment has 8.
const maxDemandDomains = 16

// addGateways lists gateways of the stager's failure domain in a report, by turns; the caller holds the lock.
func (r *Reporter) addGateways(p *pb.UpstreamReport) {
	var local []string
	for name, s := range r.subscribers {
		if s.local {
			local = append(local, name)
		}
	}
	if len(local) == 0 {
		return
	}
	slices.Sort(local)
	part := int(math.Ceil(float64(len(local)) * float64(cycle) / float64(gatewayListCycle)))
	n := min(len(local), max(minListedGateways, part), maxListedGateways)
	first, _ := slices.BinarySearch(local, r.nextListed)
	for k := range n {
		p.Gateways = append(p.Gateways, local[(first+k)%len(local)])
	}
	r.nextListed = local[(first+n)%len(local)]
}

// totalDemand sums the load that callers offer to the subscribers, per failure domain; the caller holds the lock.
func (r *Reporter) totalDemand() []*pb.Demand {
	by := map[id.Domain]*pb.Demand{}
	subscribed := map[id.Domain]int{}
	var l []*pb.Demand
	for _, s := range r.subscribers {
		d := by[s.domain]
		if d == nil {
			if len(l) >= maxDemandDomains {
				continue
			}
			d = &pb.Demand{Domain: string(s.domain)}
			by[s.domain] = d
			l = append(l, d)
		}
		d.Offered += s.offered
		d.OfferedLate += s.offeredLate
		subscribed[s.domain]++
		d.Gateways = max(d.Gateways, uint32(s.gateways), uint32(subscribed[s.domain]))
	}
	return l
}

func (r *Reporter) encode(p *pb.UpstreamReport) ([]byte, bool) {
	b, err := proto.Marshal(p)
	if err != nil {
		r.log.Error().Err(err).Msg("failed to encode a report")
	}
	return b, err == nil
}
