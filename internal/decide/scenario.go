package decide

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalidScenario is returned for scenarios that can't be simulated.
var ErrInvalidScenario = errors.New("invalid scenario")

// Scenario describes a simulation in figures that an operator knows of a deployment.
type Scenario struct {
	Name string `toml:"name"`
	// Seconds is how long requests arrive, and WarmUp how much of that is excluded from results.
	Seconds float64 `toml:"seconds"`
	WarmUp  float64 `toml:"warm_up"`
	// SwapWithin is the time in seconds after its publication within which a version must be in use everywhere.
	SwapWithin float64      `toml:"swap_within"`
	Engine     EngineParams `toml:"engine"`
	Reports    ReportParams `toml:"reports"`
	Links      LinkParams   `toml:"links"`
	Weights    Weights      `toml:"weigh"`
	Domains    []Domain     `toml:"domain"`
	Kinds      []Kind       `toml:"kind"`
	// Load is the offered load over time, as a factor on the domains' rates.
	Load     []LoadStep `toml:"load"`
	Versions []Version  `toml:"version"`
	Crashes  []Crash    `toml:"crash"`
	// AbusiveShare is the share of callers that return three times at once, ignoring Retry-After.
	AbusiveShare float64 `toml:"abuse"`
}

// EngineParams are the performance parameters of the engines.
type EngineParams struct {
	// Slots is the number of requests that run concurrently, and Queue the number that may wait.
	Slots int `toml:"slots"`
	Queue int `toml:"queue"`
	// A decoding step takes StepMs, plus PerSeqMs per running request and ContextPerKMs per 1000 tokens of context.
	StepMs        float64 `toml:"step_ms"`
	PerSeqMs      float64 `toml:"per_seq_ms"`
	ContextPerKMs float64 `toml:"context_per_k_ms"`
	// ReadPerS prompt tokens are read per second, with MsPerMPairs in addition per million pairs of tokens.
	ReadPerS    float64 `toml:"read_per_s"`
	MsPerMPairs float64 `toml:"pairs_per_m_ms"`
	// Chunk is the number of prompt tokens read per pass, and Stride the number of decoding steps per pass.
	Chunk  int `toml:"chunk"`
	Stride int `toml:"stride"`
	// PerRequestMs is the fixed cost of each request, in addition to its tokens.
	PerRequestMs float64 `toml:"first_ms"`
	// LoadMs is how long an engine takes to load a version, and StallMs how long requests hang after an engine's crash.
	LoadMs  float64 `toml:"warm_ms"`
	StallMs float64 `toml:"stall_ms"`
	// A SlowShare of the engines, drawn again every SlowSeconds, works slower by SlowFactor.
	SlowShare   float64 `toml:"slow_share"`
	SlowFactor  float64 `toml:"slow_factor"`
	SlowSeconds float64 `toml:"slow_s"`
}

// ReportParams describes how load reports reach gateways.
type ReportParams struct {
	IntervalMs       float64 `toml:"every_ms"`
	RemoteIntervalMs float64 `toml:"far_every_ms"`
	// LossShare is the share of reports that are lost, and VersionDelayMs the time until gateways learn of a published
	// version.
	LossShare      float64 `toml:"lost"`
	VersionDelayMs float64 `toml:"news_ms"`
}

// LinkParams are one-way network delays: from caller to gateway, within a failure domain and between failure domains.
type LinkParams struct {
	CallerMs float64 `toml:"caller_ms"`
	LocalMs  float64 `toml:"near_ms"`
	RemoteMs float64 `toml:"far_ms"`
}

// Weights are the weights of the parts of the score; the remainder to 1 is the weight of the overall share.
type Weights struct {
	Window float64 `toml:"window"`
	Kind   float64 `toml:"kind"`
	Domain float64 `toml:"domain"`
	// WindowS is the length of the time windows of which the two worst count.
	WindowS float64 `toml:"window_s"`
}

// Domain is a failure domain with its callers.
type Domain struct {
	Name              string  `toml:"name"`
	Gateways          int     `toml:"gateways"`
	Upstreams         int     `toml:"upstreams"`
	RequestsPerSecond float64 `toml:"per_s"`
	Clients           int     `toml:"clients"`
}

// Kind is a class of requests with the same targets and sizes.
type Kind struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	// AimMs is the latency target for the first event, GapAimMs that for the gap between events, and PatienceMs how long
	// callers wait in total.
	AimMs      float64 `toml:"aim_ms"`
	PatienceMs float64 `toml:"patience_ms"`
	GapAimMs   float64 `toml:"gap_aim_ms"`
	// Worth is the credit for a response in time, and LateWorth that for a late one.
	Worth     float64 `toml:"worth"`
	LateWorth float64 `toml:"late_worth"`
	Prompt    Size    `toml:"prompt"`
	// Events is the length of a response; each event holds the engine's stride of tokens.
	Events        Size `toml:"events"`
	MaxAttempts   int  `toml:"attempts"`
	CallerRetries int  `toml:"returns"`
}

// Size is a distribution by its mean, its standard deviation as a share of the mean, and an upper bound.
type Size struct {
	Mean              float64 `toml:"mean"`
	RelativeDeviation float64 `toml:"spread"`
	Max               float64 `toml:"most"`
}

// LoadStep sets the load factor from a second on.
type LoadStep struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"x"`
}

// Version is a model version that is published at a second and staged on one upstream after the other, between two
// numbers of seconds later.
type Version struct {
	PublishedAt      float64 `toml:"named"`
	FirstStagedAfter float64 `toml:"first_staged"`
	LastStagedAfter  float64 `toml:"last_staged"`
}

// Crash takes a share of the engines down for a number of seconds.
type Crash struct {
	At       float64 `toml:"at"`
	Share    float64 `toml:"share"`
	Duration float64 `toml:"for"`
}

// Load reads a scenario from a file; unknown keys are errors.
func Load(file string) (*Scenario, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &Scenario{}
	d := toml.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(s); err != nil {
		return nil, trace.Wrap(err, "%s", file)
	}
	return s, trace.Wrap(s.check(), "%s", file)
}

// validSlowness reports whether the parameters of slow engines can be simulated.
func (e *EngineParams) validSlowness() bool {
	return e.SlowShare == 0 || (e.SlowShare > 0 && e.SlowShare <= 1 && e.SlowFactor >= 1 && e.SlowSeconds >= 0.01)
}

// check returns the first problem of the scenario.
func (s *Scenario) check() error {
	e, w := &s.Engine, &s.Weights
	for _, c := range []struct {
		ok   bool
		text string
	}{
		{s.Seconds > s.WarmUp && s.WarmUp >= 0, "seconds must be above warm_up"},
		{e.Slots > 0 && e.Queue >= 0, "engine.slots must be above 0, and queue not negative"},
		{e.StepMs > 0 && e.ReadPerS > 0 && e.Chunk > 0 && e.Stride > 0, "engine.step_ms, read_per_s, chunk and stride must be above 0"},
		{e.validSlowness(), "engine.slow_share must be between 0 and 1, with slow_factor at least 1 and slow_s at least 0.01"},
		{s.Reports.IntervalMs >= 1 && s.Reports.RemoteIntervalMs >= s.Reports.IntervalMs, "reports.every_ms must be at least 1, and far_every_ms at least every_ms"},
		{s.Reports.LossShare >= 0 && s.Reports.LossShare < 1, "reports.lost must be at least 0 and below 1"},
		{w.WindowS > 0 && w.Window >= 0 && w.Kind >= 0 && w.Domain >= 0 && w.Window+w.Kind+w.Domain <= 1, "weigh.window, kind and domain must be shares that add up to at most 1, and window_s above 0"},
		{len(s.Domains) > 0 && len(s.Kinds) > 0, "at least one domain and one kind are required"},
		{len(s.Versions) == 0 || s.SwapWithin > 0, "swap_within must be above 0 if there are versions"},
	} {
		if !c.ok {
			return trace.Wrap(ErrInvalidScenario, "%s", c.text)
		}
	}
	for _, d := range s.Domains {
		if d.Name == "" || d.Gateways < 1 || d.Upstreams < 0 || d.RequestsPerSecond < 0 || d.Clients < 1 {
			return trace.Wrap(ErrInvalidScenario, "domain %q needs a name, gateways and clients, and no negative numbers", d.Name)
		}
	}
	for _, k := range s.Kinds {
		if k.Name == "" || k.Share <= 0 || k.AimMs <= 0 || k.PatienceMs < k.AimMs || k.Worth <= 0 || k.Prompt.Mean <= 0 || k.Events.Mean <= 0 || k.MaxAttempts < 1 {
			return trace.Wrap(ErrInvalidScenario, "kind %q needs a name, share, aim_ms up to patience_ms, worth, prompt and events sizes, and attempts", k.Name)
		}
	}
	return nil
}

// seconds and ms convert the scenario's numbers to durations.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func ms(m float64) time.Duration {
	return time.Duration(m * float64(time.Millisecond))
}

// weightedMean is the mean of a value over the kinds, weighted by their shares.
func (s *Scenario) weightedMean(value func(k *Kind) float64) float64 {
	sum, shares := 0.0, 0.0
	for i := range s.Kinds {
		sum += s.Kinds[i].Share * value(&s.Kinds[i])
		shares += s.Kinds[i].Share
	}
	return sum / shares
}

// loadFactor is the load factor at a second.
func (s *Scenario) loadFactor(at float64) float64 {
	x := 1.0
	for _, l := range s.Load {
		if at >= l.At {
			x = l.Factor
		}
	}
	return x
}

// maxLoadFactor is the largest load factor.
func (s *Scenario) maxLoadFactor() float64 {
	x := s.loadFactor(0)
	for _, l := range s.Load {
		x = max(x, l.Factor)
	}
	return x
}
