package gateway

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/gen/springrail/v1/springrailv1connect"
	"github.com/springrail/springrail/internal/clock"
	"github.com/springrail/springrail/internal/dial"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/traffic"
	"github.com/springrail/springrail/internal/upconn"
)

// PartName is what other parts name in their needs.
const PartName = "gateway"

// Settings is the section [gateway].
type Settings struct {
	Listen string `toml:"listen"`
	// SwapWithin is how soon after it was named a version must be the only one in use.
	SwapWithin time.Duration `toml:"swap_within"`
	// RetryRatio, RepeatSlack and RepeatWindow bound what all gateways send beyond the first send of each request.
	RetryRatio  float64       `toml:"repeat_ratio"`
	RetrySlack  float64       `toml:"repeat_slack"`
	RetryWindow time.Duration `toml:"repeat_window"`
}

// NewSettings returns the defaults.
func NewSettings() *Settings {
	return &Settings{SwapWithin: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second}
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:8080"`)
	c.Require(s.SwapWithin > 0, "swap_within", "a time above 0")
	c.Require(s.RetryRatio >= 0, "repeat_ratio", "a number of 0 or more")
	c.Require(s.RetrySlack >= 0, "repeat_slack", "a number of 0 or more")
	c.Require(s.RetryWindow >= time.Second, "repeat_window", "a time of at least 1s")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  PartName,
		Needs:    []string{facts.PartName, DialectPart, reports.SubscriberPart, traffic.PartName, quarantine.PartName, rpc.PartName},
		Settings: func() kernel.Section { return NewSettings() },
		New:      newPart,
	})
}

const (
	// dialTimeout is how long a connection may take to come up. The longest way on today's platforms is 6 ms; an
	// upstream whose queue of connections is full answers after a second at the earliest.
	dialTimeout = 150 * time.Millisecond
	// headTimeout bounds how long a caller may take to send a head.
	headTimeout = 5 * time.Second
	// callerIdle is how long a caller's connection may rest; it is above the platforms' 15 s, so that the caller is
	// the one that closes.
	callerIdle = time.Minute
	// mostHead bounds a head in bytes before a configuration says how large one may be.
	mostHead = 64 << 10
	// leaveQuiet is how long a leaving process takes new connections: a balancer that asks once a second leaves it
	// out after two questions.
	leaveQuiet = 3 * time.Second
	// leaveShare is the part of the time for a planned stop after which requests that still run are given up.
	leaveShare = 0.9
)

// Gateway serves callers.
type Gateway struct {
	settings *Settings
	dialect  *Dialect
	facts    *facts.Facts
	load     LoadSources
	budget   *placement.RetryBudget
	patience *placement.PatienceTracker
	pool     *upconn.Pool
	list     *quarantine.SuspectTracker
	witness  *quarantine.CrashDetector
	flights  *flights
	domain   id.Domain
	log      *log.Logger
	tally    *tally
	now      func() time.Time
	random   func() *rand.Rand
	// suspended is how long this VM has been suspended in all.
	suspended func() time.Duration

	listener net.Listener
	server   *http.Server
	inFlight atomic.Int64
	// leaving sends callers elsewhere for their next request; closing refuses what still comes.
	leaving, closing atomic.Bool
	// stopped is true once the connections of callers are closed.
	stopped atomic.Bool
}

func newPart(h *kernel.Host) (any, error) {
	s := h.Section(PartName).(*Settings)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "gateway.listen")
	}
	d := h.Part(DialectPart).(*Dialect)
	sub := h.Part(reports.SubscriberPart).(*reports.Subscriber)
	connect := h.Part(traffic.PartName).(*traffic.Part).Dial(traffic.Requests, dial.New(dialTimeout).DialContext)
	load := LoadSources{Tracker: sub.Tracker(), Offers: sub.Offers(), Demand: sub.Demand, Gateways: sub.GatewayCount}
	load.Permits = PermitClient{Acquire: sub.RequestPermit, ReportLimit: sub.SendLimit, ReportLimitEnd: sub.SendLimitEnd}
	q := h.Part(quarantine.PartName).(*quarantine.Quarantine)
	g := New(s, d, h.Part(facts.PartName).(*facts.Facts), load, q, connect, h.Identity.Domain, h.Log)
	g.listener = l
	h.Part(rpc.PartName).(*rpc.Server).Handle(springrailv1connect.NewLimitServiceHandler(g))
	h.AddMetric("requests", g.tally.vars)
	h.AddMetric("in_flight", expvar.Func(func() any { return g.inFlight.Load() }))
	return g, nil
}

// LoadSources is what a gateway knows of the load of upstreams and of other gateways.
type LoadSources struct {
	Tracker *placement.Tracker
	Offers  *placement.DemandMeter
	// Demand is what callers bring to all gateways for a pool.
	Demand func(p id.Pool) placement.Demand
	// Gateways returns the number of processes that share the budget for repeats.
	Gateways func() int
	Permits  PermitClient
}

// New makes a gateway.
func New(s *Settings, d *Dialect, f *facts.Facts, k LoadSources, q *quarantine.Quarantine,
	connect func(ctx context.Context, network, address string) (net.Conn, error), own id.Domain, l *log.Logger,
) *Gateway {
	rule := placement.RetryBudgetRule{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
	g := &Gateway{
		settings: s, dialect: d, facts: f, load: k, domain: own, log: l, tally: newTally(), now: clock.Now,
		suspended: clock.Suspended,
		budget:    placement.NewRetryBudget(rule, k.Gateways, clock.Now),
		patience:  placement.NewPatienceTracker(clock.Now),
		pool:      upconn.New(connect, clock.Now, d.ResponseMatches),
		list:      q.Suspects,
		flights:   newFlights(),
		random:    func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) },
	}
	g.witness = quarantine.NewCrashDetector(g.ended, q.ReportCrash, clock.Now)
	q.Suspects.OnHeld = append(q.Suspects.OnHeld, func(h quarantine.HeldRequest) { g.flights.stop(h.Fingerprint) })
	g.pool.OnDial = func() { g.tally.add("dialled") }
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: headTimeout, IdleTimeout: callerIdle, MaxHeaderBytes: mostHead,
		ErrorLog: nil,
	}
	return g
}

// Run serves until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		g.stopped.Store(true)
		g.server.Close()
	})
	defer stop()
	go g.watchSuspensions(ctx)
	err := g.server.Serve(g.listener)
	if ctx.Err() != nil || g.closing.Load() {
		return nil
	}
	return trace.Wrap(err)
}

// NotReady implements kernel.ReadinessReporter.
func (g *Gateway) NotReady() string {
	switch {
	case g.leaving.Load():
		return "leaving"
	case g.facts.Catalog() == nil:
		return "no configuration yet"
	default:
		return ""
	}
}

// Drain implements kernel.Drainer: callers are sent elsewhere while what runs is finished.
func (g *Gateway) Drain(ctx context.Context) {
	g.leaving.Store(true)
	until, ok := ctx.Deadline()
	if ok {
		left := time.Duration(leaveShare * float64(clock.Until(until)))
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, left)
		defer stop()
	}
	kernel.Pause(ctx, leaveQuiet)
	g.closing.Store(true)
	for ctx.Err() == nil && g.inFlight.Load() > 0 {
		kernel.Pause(ctx, drainLook)
	}
	// Shutdown closes idle connections and waits for those on which a request has begun to come in.
	if err := g.server.Shutdown(ctx); err != nil {
		g.log.Warn().Int64("in_flight", g.inFlight.Load()).Msg("leaving with requests in flight")
	}
}

// drainLook is how often a leaving process looks whether it is done.
const drainLook = 20 * time.Millisecond
