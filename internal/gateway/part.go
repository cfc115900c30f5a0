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
	"github.com/springrail/springrail/internal/httpconn"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/reports"
	"github.com/springrail/springrail/internal/rpc"
	"github.com/springrail/springrail/internal/traffic"
	"github.com/springrail/springrail/internal/upconn"
)

// PartName is the name under which other parts declare a dependency on the gateway.
const PartName = "gateway"

// Settings is the configuration section [gateway].
type Settings struct {
	Listen string `toml:"listen"`
	// SwapWithin is the grace period of older versions: the time after the publication of a newer version in which
	// they may still begin requests.
	SwapWithin time.Duration `toml:"swap_within"`
	// RetryRatio, RetrySlack and RetryWindow configure the retry budget that all gateways share. It bounds the sends
	// beyond the first send of each request.
	RetryRatio  float64       `toml:"repeat_ratio"`
	RetrySlack  float64       `toml:"repeat_slack"`
	RetryWindow time.Duration `toml:"repeat_window"`
	// ReservationMinGateways is the number of gateways of a failure domain from which on they ask the stagers of engines for
	// reservations; 0 is never.
	ReservationMinGateways int `toml:"reservation_min_gateways"`
	// BufferBytes bounds what requests hold in buffers beyond the fixed buffers of each request.
	BufferBytes int64 `toml:"buffer_bytes"`
	// AnswerBytes bounds an answer that states no length.
	AnswerBytes int64 `toml:"answer_bytes"`
}

// NewSettings returns the default settings.
func NewSettings() *Settings {
	return &Settings{SwapWithin: 8 * time.Second, RetryRatio: 0.2, RetrySlack: 100, RetryWindow: 10 * time.Second, BufferBytes: defaultBufferBytes, AnswerBytes: defaultAnswerBytes}
}

// defaultBufferBytes holds 1024 of the longest bodies that are buffered, or 4096 of the longest answers.
const defaultBufferBytes = 256 << 20

// defaultAnswerBytes is far above usual answers of some KB.
const defaultAnswerBytes = 16 << 20

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	_, _, err := net.SplitHostPort(s.Listen)
	c.Require(err == nil, "listen", `an IP number and port such as "127.0.0.1:8080"`)
	c.Require(s.SwapWithin > 0, "swap_within", "a time above 0")
	c.Require(s.RetryRatio >= 0, "repeat_ratio", "a number of 0 or more")
	c.Require(s.RetrySlack >= 0, "repeat_slack", "a number of 0 or more")
	c.Require(s.ReservationMinGateways >= 0, "reservation_min_gateways", "a whole number of 0 or more")
	c.Require(s.BufferBytes >= maxBufferedBody, "buffer_bytes", "a number of at least 262144, the longest body that is buffered")
	c.Require(s.AnswerBytes > 0, "answer_bytes", "a number above 0")
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
	// dialTimeout bounds connection establishment. The longest network path on today's platforms takes 6 ms; an
	// upstream whose accept queue is full answers after a second at the earliest.
	dialTimeout = 150 * time.Millisecond
	// readHeaderTimeout bounds the time that a caller may take to send the request header.
	readHeaderTimeout = 5 * time.Second
	// callerIdleTimeout bounds the idle time of a caller's connection. It exceeds the platforms' 15 s, so that the
	// caller is the side that closes.
	callerIdleTimeout = time.Minute
	// maxHeaderBytes bounds the request header until a configuration with its own limit has been loaded.
	maxHeaderBytes = 64 << 10
)

// Gateway is the reverse proxy that admits callers' requests and forwards them to upstreams.
type Gateway struct {
	settings         *Settings
	dialect          *Dialect
	facts            *facts.Facts
	loadSources      LoadSources
	retryBudget      *placement.RetryBudget
	elapsedEstimator *placement.PatienceTracker
	connections      *upconn.Pool
	suspects         *quarantine.SuspectTracker
	knowledge        *quarantine.Knowledge
	crashDetector    *quarantine.CrashDetector
	requests         *requestRegistry
	buffers          *bufferBudget
	location         Location
	log              *log.Logger
	metrics          *metrics
	now              func() time.Time
	random           func() *rand.Rand
	answerLengths    *placement.AnswerLengths
	// suspended returns the total time for which this VM has been suspended.
	suspended func() time.Duration

	listener net.Listener
	server   *http.Server
	inFlight *inFlightRequests
	// callerConns are the open connections of callers.
	callerConns *httpconn.Set
	// shutdown is nil until a graceful shutdown begins.
	shutdown atomic.Pointer[shutdown]
	// connectionsClosed is true once the callers' connections have been closed.
	connectionsClosed atomic.Bool
}

func newPart(h *kernel.Host) (any, error) {
	s := h.Section(PartName).(*Settings)
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "gateway.listen")
	}
	d := h.Part(DialectPart).(*Dialect)
	sub := h.Part(reports.SubscriberPart).(*reports.Subscriber)
	connect := h.Part(traffic.PartName).(*traffic.Part).CountingDialer(traffic.Requests, dial.New(dialTimeout).DialContext)
	loadSources := LoadSources{Tracker: sub.Tracker(), Offers: sub.DemandMeter(), Demand: sub.Demand, Gateways: sub.GatewayCount}
	loadSources.Permits = PermitClient{Acquire: sub.RequestPermit, ReportLimit: sub.SendLimit, ReportLimitEnd: sub.SendLimitEnd}
	loadSources.Reservations = ReservationClient{Reserve: sub.RequestReservation, Take: sub.TakeReservation, Release: sub.ReleaseReservation}
	q := h.Part(quarantine.PartName).(*quarantine.Quarantine)
	location := Location{Domain: h.Identity.Domain, Region: h.Part(traffic.PartName).(*traffic.Part).Region}
	f := h.Part(facts.PartName).(*facts.Facts)
	g := New(s, d, f, loadSources, q, connect, location, h.Log)
	g.listener = l
	h.Part(rpc.PartName).(*rpc.Server).Handle(springrailv1connect.NewLimitServiceHandler(g))
	h.Metric("requests", g.metrics.vars)
	h.Metric("in_flight", expvar.Func(func() any { return g.inFlight.count() }))
	h.Metric("buffered_bytes", expvar.Func(func() any { return g.buffers.stats() }))
	h.Metric("crash_questions", expvar.Func(func() any {
		open, unresolved, silent := g.crashDetector.Questions()
		return map[string]int64{"open": open, "unresolved": unresolved, "silent": silent}
	}))
	h.Metric("retry_budget", expvar.Func(func() any { return g.retryBudget.Usage() }))
	h.Metric("evacuations", expvar.Func(func() any { return f.Evacuations() }))
	return g, nil
}

// LoadSources holds what a gateway knows of the load on upstreams and of the other gateways.
type LoadSources struct {
	Tracker *placement.Tracker
	Offers  *placement.DemandMeter
	// Demand returns the load that callers offer to all gateways for a pool.
	Demand func(p id.Pool) placement.Demand
	// Gateways returns the number of processes that share the retry budget.
	Gateways func() int
	Permits  PermitClient
	// Reservations is used only where the settings call for reservations.
	Reservations ReservationClient
}

// New returns a gateway that does not listen yet.
func New(s *Settings, d *Dialect, f *facts.Facts, loadSources LoadSources, q *quarantine.Quarantine,
	connect func(ctx context.Context, network, address string) (net.Conn, error), location Location, l *log.Logger,
) *Gateway {
	budgetRule := placement.RetryBudgetRule{Ratio: s.RetryRatio, Slack: s.RetrySlack, Window: s.RetryWindow}
	g := &Gateway{
		settings: s, dialect: d, facts: f, loadSources: loadSources, location: location, log: l, metrics: newMetrics(), now: clock.Now,
		suspended:        clock.Suspended,
		retryBudget:      placement.NewRetryBudget(budgetRule, loadSources.Gateways, clock.Now),
		elapsedEstimator: placement.NewPatienceTracker(clock.Now),
		connections:      upconn.New(connect, clock.Now, d.ResponseMatches),
		suspects:         q.Suspects,
		knowledge:        &q.Knowledge,
		requests:         newRequestRegistry(),
		inFlight:         newInFlightRequests(),
		callerConns:      httpconn.New(),
		buffers:          newBufferBudget(s.BufferBytes),
		answerLengths:    placement.NewAnswerLengths(),
		random:           func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) },
	}
	g.crashDetector = quarantine.NewCrashDetector(g.observeProcess, q.ReportCrash, clock.Now)
	q.Suspects.IsListed = func(s quarantine.Incarnation) bool { return f.IsListed(s.Instance, s.Born) }
	q.Suspects.OnHeld = append(q.Suspects.OnHeld, g.requests.cancelUnbegun)
	q.Suspects.OnHeldChanged = append(q.Suspects.OnHeldChanged, func(h quarantine.HeldRequest, _ bool) { g.requests.cancelUnbegun(h) })
	g.connections.OnDial = func() { g.metrics.count("dialled") }
	g.server = &http.Server{
		Handler: g, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil, ConnContext: limitConnBuffers, ConnState: g.callerConns.SetState,
	}
	return g
}

// limitConnBuffers bounds the socket buffers of a caller's connection.
func limitConnBuffers(ctx context.Context, c net.Conn) context.Context {
	dial.LimitSocketBuffers(c)
	return ctx
}

// Run serves callers until the context ends.
func (g *Gateway) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, g.closeConnections)
	defer stop()
	go g.watchSuspensions(ctx)
	go g.watchList(ctx)
	err := g.server.Serve(g.listener)
	if ctx.Err() == nil && !g.isLeaving() {
		return trace.Wrap(err)
	}
	// A shutdown closes the listener while requests are still in flight.
	<-ctx.Done()
	g.closeConnections()
	return nil
}

func (g *Gateway) closeConnections() {
	g.connectionsClosed.Store(true)
	g.server.Close()
}

// NotReady implements kernel.ReadinessReporter.
func (g *Gateway) NotReady() string {
	switch {
	case g.isLeaving():
		return "leaving"
	case g.facts.Catalog() == nil:
		return "no configuration yet"
	case !g.knowledge.Ready():
		return "what is held is not known yet"
	default:
		return ""
	}
}
