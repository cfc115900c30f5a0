package decide

import (
	"bytes"
	"errors"
	"os"
	"time"

	"github.com/gravitational/trace"
	"github.com/pelletier/go-toml/v2"
)

// ErrInvalidScenario says that a scenario can't be played.
var ErrInvalidScenario = errors.New("the scenario can't be played")

// Scenario is what is played: the figures that an operator knows from a deployment's sheet.
type Scenario struct {
	Name string `toml:"name"`
	// Seconds is how long callers come, and WarmUp how much of that does not count.
	Seconds float64 `toml:"seconds"`
	WarmUp  float64 `toml:"warm_up"`
	// SwapWithin is the time in seconds within which a version must be in use.
	SwapWithin float64      `toml:"swap_within"`
	Engine     EngineParams `toml:"engine"`
	Reports    ReportParams `toml:"reports"`
	Links      LinkParams   `toml:"links"`
	Weights    Weights      `toml:"weigh"`
	Domains    []Domain     `toml:"domain"`
	Kinds      []Kind       `toml:"kind"`
	// Load is what is asked, as a share of the domains' rates, from a second on.
	Load     []LoadStep `toml:"load"`
	Versions []Version  `toml:"version"`
	Crashes  []Crash    `toml:"crash"`
	// AbusiveShare is the share of callers who come back at once and three times, whatever they were told.
	AbusiveShare float64 `toml:"abuse"`
}

// EngineParams is what the engines are like.
type EngineParams struct {
	Slots         int     `toml:"slots"`
	Queue         int     `toml:"queue"`
	StepMs        float64 `toml:"step_ms"`
	PerSeqMs      float64 `toml:"per_seq_ms"`
	ContextPerKMs float64 `toml:"context_per_k_ms"`
	ReadPerS      float64 `toml:"read_per_s"`
	MsPerMPairs   float64 `toml:"pairs_per_m_ms"`
	Chunk         int     `toml:"chunk"`
	Stride        int     `toml:"stride"`
	// PerRequestMs is what each request costs beyond its tokens.
	PerRequestMs float64 `toml:"first_ms"`
	// LoadMs is how long a version takes to load, and StallMs how long what depends on a crashed engine stands still.
	LoadMs  float64 `toml:"warm_ms"`
	StallMs float64 `toml:"stall_ms"`
}

// ReportParams is how upstreams' figures reach gateways.
type ReportParams struct {
	IntervalMs       float64 `toml:"every_ms"`
	RemoteIntervalMs float64 `toml:"far_every_ms"`
	// LossShare is the share of the reports that do not arrive, and NewsMs the time until gateways have read of a version.
	LossShare      float64 `toml:"lost"`
	VersionDelayMs float64 `toml:"news_ms"`
}

// LinkParams is the time of one way.
type LinkParams struct {
	CallerMs float64 `toml:"caller_ms"`
	LocalMs  float64 `toml:"near_ms"`
	RemoteMs float64 `toml:"far_ms"`
}

// Weights weigh the parts of the worth; what is left of 1 is the whole play's.
type Weights struct {
	Window float64 `toml:"window"`
	Kind   float64 `toml:"kind"`
	Domain float64 `toml:"domain"`
	// WindowS is the length of the windows of which the two worst count.
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

// Kind is a kind of request.
type Kind struct {
	Name       string  `toml:"name"`
	Share      float64 `toml:"share"`
	AimMs      float64 `toml:"aim_ms"`
	PatienceMs float64 `toml:"patience_ms"`
	GapAimMs   float64 `toml:"gap_aim_ms"`
	Worth      float64 `toml:"worth"`
	LateWorth  float64 `toml:"late_worth"`
	Prompt     Size    `toml:"prompt"`
	// Events is the length of an answer, each event holding the engine's stride of tokens.
	Events        Size `toml:"events"`
	MaxAttempts   int  `toml:"attempts"`
	CallerRetries int  `toml:"returns"`
}

// Size is a mean with the deviation as a share of it, and a bound.
type Size struct {
	Mean              float64 `toml:"mean"`
	RelativeDeviation float64 `toml:"spread"`
	Max               float64 `toml:"most"`
}

// LoadStep is the load from a second on.
type LoadStep struct {
	At     float64 `toml:"at"`
	Factor float64 `toml:"x"`
}

// Version is weights that are named at a second and lie beside the upstreams, one after the other, from one to another
// number of seconds later.
type Version struct {
	PublishedAt      float64 `toml:"named"`
	FirstStagedAfter float64 `toml:"first_staged"`
	LastStagedAfter  float64 `toml:"last_staged"`
}

// Crash ends a share of the engines for a time.
type Crash struct {
	At       float64 `toml:"at"`
	Share    float64 `toml:"share"`
	Duration float64 `toml:"for"`
}

// Load reads a scenario from a file; a name that no setting has is refused.
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

// check says what is missing.
func (s *Scenario) check() error {
	e, w := &s.Engine, &s.Weights
	for _, c := range []struct {
		ok   bool
		text string
	}{
		{s.Seconds > s.WarmUp && s.WarmUp >= 0, "seconds must be above warm_up"},
		{e.Slots > 0 && e.Queue >= 0, "engine.slots must be above 0"},
		{e.StepMs > 0 && e.ReadPerS > 0 && e.Chunk > 0 && e.Stride > 0, "engine.step_ms, read_per_s, chunk and stride must be above 0"},
		{s.Reports.IntervalMs >= 1 && s.Reports.RemoteIntervalMs >= s.Reports.IntervalMs, "reports.far_every_ms must be at least every_ms, from 1"},
		{s.Reports.LossShare >= 0 && s.Reports.LossShare < 1, "reports.lost must be a share below 1"},
		{w.WindowS > 0 && w.Window >= 0 && w.Kind >= 0 && w.Domain >= 0 && w.Window+w.Kind+w.Domain <= 1, "weigh must be shares, with window_s above 0"},
		{len(s.Domains) > 0 && len(s.Kinds) > 0, "there must be domains and kinds"},
		{len(s.Versions) == 0 || s.SwapWithin > 0, "swap_within must be above 0 where versions are named"},
	} {
		if !c.ok {
			return trace.Wrap(ErrInvalidScenario, "%s", c.text)
		}
	}
	for _, d := range s.Domains {
		if d.Name == "" || d.Gateways < 1 || d.Upstreams < 0 || d.RequestsPerSecond < 0 || d.Clients < 1 {
			return trace.Wrap(ErrInvalidScenario, "domain %q needs a name, gateways and clients", d.Name)
		}
	}
	for _, k := range s.Kinds {
		if k.Name == "" || k.Share <= 0 || k.AimMs <= 0 || k.PatienceMs < k.AimMs || k.Worth <= 0 || k.Prompt.Mean <= 0 || k.Events.Mean <= 0 || k.MaxAttempts < 1 {
			return trace.Wrap(ErrInvalidScenario, "kind %q needs a name, a share, an aim within the patience, a worth, sizes and attempts", k.Name)
		}
	}
	return nil
}

// seconds and ms turn a sheet's figures into times.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

func ms(m float64) time.Duration {
	return time.Duration(m * float64(time.Millisecond))
}

// usual is the mean of a size over the kinds, by their shares.
func (s *Scenario) usual(of func(k *Kind) float64) float64 {
	sum, shares := 0.0, 0.0
	for i := range s.Kinds {
		sum += s.Kinds[i].Share * of(&s.Kinds[i])
		shares += s.Kinds[i].Share
	}
	return sum / shares
}

// load is what is asked at a second, as a share of the domains' rates.
func (s *Scenario) load(at float64) float64 {
	x := 1.0
	for _, l := range s.Load {
		if at >= l.At {
			x = l.Factor
		}
	}
	return x
}

// highest is the most that is asked.
func (s *Scenario) highest() float64 {
	x := s.load(0)
	for _, l := range s.Load {
		x = max(x, l.Factor)
	}
	return x
}
