package kernel

import (
	"context"
	"errors"
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
	// eventRingSize bounds the events kept per process; at about 200 bytes each it is 1.6 MB.
	eventRingSize = 8192
	// defaultDrain bounds a planned stop.
	defaultDrain = 30 * time.Second
)

// Identity says which VM the process runs on.
type Identity struct {
	VM     id.VM
	Domain id.Domain
}

// ProcessSettings is the settings section that every daemon has.
type ProcessSettings struct {
	VM       string        `toml:"vm"`
	Domain   string        `toml:"domain"`
	LogLevel string        `toml:"log_level"`
	Drain    time.Duration `toml:"drain"`
}

// NewProcessSettings returns the defaults.
func NewProcessSettings() *ProcessSettings {
	return &ProcessSettings{LogLevel: "info", Drain: defaultDrain}
}

// Check implements Section.
func (p *ProcessSettings) Check(c *Checker) {
	c.Require(p.VM != "", "vm", "the name of this VM in the platform's list")
	c.Require(p.Domain != "", "domain", "the failure domain of this VM")
	levels := map[string]bool{"debug": true, "info": true, "warn": true, "error": true}
	c.Require(levels[p.LogLevel], "log_level", `"debug", "info", "warn" or "error"`)
	c.Require(p.Drain > 0 && p.Drain <= time.Hour, "drain", "a time above 0 and up to 1h")
}

// Host is what a part is given to build itself from.
type Host struct {
	Identity Identity
	Log      *log.Logger
	Clock    *Clock
	Events   *EventRing
	sections map[string]Section
	made     map[string]any
	started  []any
	drain    time.Duration
	leave    func()
	metrics  *expvar.Map
}

// DefaultSections returns the default settings of the parts, by section name.
func DefaultSections(parts []Part) map[string]Section {
	m := map[string]Section{"process": NewProcessSettings()}
	for _, p := range parts {
		if p.Section != "" {
			m[p.Section] = p.Settings()
		}
	}
	return m
}

// NewHost makes the parts in the order of their needs.
func NewHost(parts []Part, sections map[string]Section, l *log.Logger, c *Clock) (*Host, error) {
	p := sections["process"].(*ProcessSettings)
	h := &Host{
		Identity: Identity{VM: id.VM(p.VM), Domain: id.Domain(p.Domain)},
		Log:      l,
		Clock:    c,
		Events:   NewEventRing(c, eventRingSize),
		sections: sections,
		made:     map[string]any{},
		drain:    p.Drain,
		metrics:  new(expvar.Map),
	}
	sorted, err := order(parts)
	if err != nil {
		return nil, err
	}
	for _, p := range sorted {
		made, err := p.New(h)
		if err != nil {
			return nil, trace.Wrap(err, "part %s", p.Name)
		}
		h.made[p.Name] = made
		h.started = append(h.started, made)
	}
	return h, nil
}

// Section returns the checked settings of a part.
func (h *Host) Section(name string) Section {
	return h.sections[name]
}

// Part returns a part that the caller named in its Needs.
func (h *Host) Part(name string) any {
	return h.made[name]
}

// AddMetric adds a metric of a part. Each host has its own, so that several can run in one process.
func (h *Host) AddMetric(name string, v expvar.Var) {
	h.metrics.Set(name, v)
}

// Metrics returns the parts' metrics.
func (h *Host) Metrics() *expvar.Map {
	return h.metrics
}

// MetricsPath is where metrics are served.
const MetricsPath = "/debug/vars"

// ServeMetrics writes the parts' metrics and Go's own, in the form of package expvar.
func (h *Host) ServeMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintf(w, "{\n%q: %s", "springrail", h.metrics)
	expvar.Do(func(kv expvar.KeyValue) { _, _ = fmt.Fprintf(w, ",\n%q: %s", kv.Key, kv.Value) })
	_, _ = fmt.Fprintln(w, "\n}")
}

// ReadinessReporter is a part that can say that it is not ready to serve.
type ReadinessReporter interface {
	// NotReady says what is missing, or nothing.
	NotReady() string
}

// Ready says whether all parts are ready, and if not, what is missing.
func (h *Host) Ready() (bool, string) {
	for _, p := range h.started {
		if r, ok := p.(ReadinessReporter); ok {
			if why := r.NotReady(); why != "" {
				return false, why
			}
		}
	}
	return true, ""
}

// BeginShutdown begins a planned stop, as SIGTERM does.
func (h *Host) BeginShutdown() {
	h.leave()
}

// Run runs all parts until the context ends or one fails, then drains them, last made first.
func (h *Host) Run(ctx context.Context) error {
	leaving, leave := context.WithCancel(ctx)
	defer leave()
	h.leave = leave
	running, end := context.WithCancelCause(context.WithoutCancel(ctx))
	defer end(nil)
	h.Events.Add(Event{Kind: EventProcessStarted})
	var wg sync.WaitGroup
	for _, p := range h.started {
		r, ok := p.(Runner)
		if !ok {
			continue
		}
		wg.Go(func() {
			if err := r.Run(running); err != nil {
				end(err)
			}
		})
	}
	select {
	case <-leaving.Done():
		h.drainAll(running)
	case <-running.Done():
	}
	end(context.Canceled)
	wg.Wait()
	if err := context.Cause(running); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

func (h *Host) drainAll(ctx context.Context) {
	h.Events.Add(Event{Kind: EventProcessLeaving})
	h.Log.Info().Msg("leaving: finishing what is in flight")
	ctx, stop := context.WithTimeout(ctx, h.drain)
	defer stop()
	for i := len(h.started) - 1; i >= 0; i-- {
		if d, ok := h.started[i].(Drainer); ok {
			d.Drain(ctx)
		}
	}
}
