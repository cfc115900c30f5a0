package kernel

import (
	"context"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/id"
)

const (
	// eventRingSize is the number of events kept per process; at about 200 bytes each they take 1.6 MB.
	eventRingSize = 8192
	// defaultDrainTimeout is the default time limit for finishing requests in flight at shutdown.
	defaultDrainTimeout = 30 * time.Second
)

// Identity is the VM that the process runs on, with its failure domain.
type Identity struct {
	VM     id.VM
	Domain id.Domain
}

// ProcessSettings is the section [process], which the settings file of every daemon has.
type ProcessSettings struct {
	VM       string        `toml:"vm"`
	Domain   string        `toml:"domain"`
	LogLevel string        `toml:"log_level"`
	Drain    time.Duration `toml:"drain"`
}

// NewProcessSettings returns the default settings of the section [process].
func NewProcessSettings() *ProcessSettings {
	return &ProcessSettings{LogLevel: "info", Drain: defaultDrainTimeout}
}

// Check implements Section.
func (p *ProcessSettings) Check(c *Checker) {
	c.Require(p.VM != "", "vm", "the name of this VM in the platform's list")
	c.Require(p.Domain != "", "domain", "the failure domain of this VM")
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	c.Require(levels[p.LogLevel], "log_level", `"debug", "info", "warn" or "error"`)
	c.Require(p.Drain > 0 && p.Drain <= time.Hour, "drain", "a time above 0 and up to 1h")
}

// Host owns the parts of a process: it creates, runs and drains them, and gives each one its settings, the logger, the clock,
// the event ring and the parts that it depends on.
type Host struct {
	Identity     Identity
	Log          *log.Logger
	Clock        *Clock
	Events       *EventRing
	sections     map[string]Section
	partsByName  map[string]any
	parts        []any
	drainTimeout time.Duration
	shutdown     func()
	metrics      *expvar.Map
}

// DefaultSections returns the default settings of the given parts and of the section [process], by section name.
func DefaultSections(parts []Part) map[string]Section {
	m := map[string]Section{"process": NewProcessSettings()}
	for _, p := range parts {
		if p.Section != "" {
			m[p.Section] = p.Settings()
		}
	}
	return m
}

// NewHost creates the parts, each one after the parts that it depends on.
func NewHost(parts []Part, sections map[string]Section, l *log.Logger, c *Clock) (*Host, error) {
	p := sections["process"].(*ProcessSettings)
	h := &Host{
		Identity:     Identity{VM: id.VM(p.VM), Domain: id.Domain(p.Domain)},
		Log:          l,
		Clock:        c,
		Events:       NewEventRing(c, eventRingSize),
		sections:     sections,
		partsByName:  map[string]any{},
		drainTimeout: p.Drain,
		metrics:      new(expvar.Map),
	}
	sorted, err := sortByDependencies(parts)
	if err != nil {
		return nil, err
	}
	for _, p := range sorted {
		created, err := p.New(h)
		if err != nil {
			return nil, trace.Wrap(err, "part %s", p.Name)
		}
		h.partsByName[p.Name] = created
		h.parts = append(h.parts, created)
	}
	return h, nil
}

// Section returns the validated settings section of the given name.
func (h *Host) Section(name string) Section {
	return h.sections[name]
}

// Part returns the created part of the given name. The caller must list that name in its Part.Needs.
func (h *Host) Part(name string) any {
	return h.partsByName[name]
}

// Metric registers a metric. Metrics belong to the host and not to the global expvar map, so that several hosts can run
// in one operating system process.
func (h *Host) Metric(name string, v expvar.Var) {
	h.metrics.Set(name, v)
}

// Metrics returns the metrics registered with Metric.
func (h *Host) Metrics() *expvar.Map {
	return h.metrics
}

// MetricsPath is the HTTP path at which metrics are served.
const MetricsPath = "/debug/vars"

// ServeMetrics responds with the parts' metrics and those of the Go runtime, in the JSON format of package expvar.
func (h *Host) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%q: %s", "springrail", h.metrics)
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	_, _ = fmt.Fprintln(w, "\n}")
}

// ReadinessReporter is implemented by parts that take part in the readiness check of the process.
type ReadinessReporter interface {
	// NotReady returns the reason why the part can't serve yet, or an empty string if it can.
	NotReady() string
}

// Ready reports whether all parts are ready to serve, and otherwise the reason of the first one that is not.
func (h *Host) Ready() (bool, string) {
	for _, p := range h.parts {
		if r, ok := p.(ReadinessReporter); ok {
			if reason := r.NotReady(); reason != "" {
				return false, reason
			}
		}
	}
	return true, ""
}

// BeginShutdown starts a graceful shutdown, as SIGTERM does.
func (h *Host) BeginShutdown() {
	h.shutdown()
}

// Run runs all parts until the context ends or a part fails. Then it drains the parts, in the reverse order of their
// creation, stops them, and returns the error of the first part that failed.
func (h *Host) Run(ctx context.Context) error {
	shuttingDown, beginShutdown := context.WithCancel(ctx)
	defer beginShutdown()
	h.shutdown = beginShutdown
	runContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h.Events.Add(Event{Kind: EventProcessStarted})
	failures := make(chan error, len(h.parts))
	var wg sync.WaitGroup
	for _, p := range h.parts {
		r, ok := p.(Runner)
		if !ok {
			continue
		}
		wg.Go(func() {
			if err := r.Run(runContext); err != nil && runContext.Err() == nil {
				h.Log.Error().Err(err).Msg("a part of the process failed")
				failures <- err
				// The other parts still have requests in flight.
				beginShutdown()
			}
		})
	}
	<-shuttingDown.Done()
	h.drainAll(runContext)
	stop()
	wg.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

func (h *Host) drainAll(ctx context.Context) {
	h.Events.Add(Event{Kind: EventProcessLeaving})
	h.Log.Info().Msg("leaving: draining, requests in flight are finished")
	ctx, cancel := context.WithTimeout(ctx, h.drainTimeout)
	defer cancel()
	for i := len(h.parts) - 1; i >= 0; i-- {
		if d, ok := h.parts[i].(Drainer); ok {
			d.Drain(ctx)
		}
	}
}
