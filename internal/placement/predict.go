// Package placement decides which upstream a request is sent to, and whether it can be served in time at all. The
// decisions have no side effects: their inputs are the upstreams' state, the time and a random source.
package placement

import (
	"math"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// Candidate is the known state of an upstream that may receive a request.
type Candidate struct {
	Instance id.Instance
	// Incarnation is the newest process lifetime known of the upstream.
	Incarnation id.Incarnation
	Address     string
	// Revision is the model version that it serves; 0 for upstreams that are not engines.
	Revision id.Revision
	Domain   id.Domain
	// Slots is the number of requests that the upstream runs concurrently.
	Slots int
	// Running and Waiting are the upstream's reported figures; requests that this process has sent since the report are
	// added to Waiting.
	Running, Waiting int
	// Backlog is the estimated number of prompt tokens queued there.
	Backlog float64
	// SpareTokens is the number of prompt tokens that the engine can read in addition to its backlog within the time by
	// which LatencyModel.Advance has advanced these figures.
	SpareTokens float64
	// Fresh is true if Running and Waiting come from a recent report; otherwise they are estimated from this process's
	// own requests.
	Fresh bool
	// Age is the age of the upstream's report, where that is fresh.
	Age time.Duration
	// InFlight is the number of this process's requests at the upstream.
	InFlight int
	// Slowdown is the factor by which the upstream currently works slower than usual.
	Slowdown float64
	// Rest is the remaining time for which the upstream has asked this process to send it no requests.
	Rest time.Duration
	// Congested is true while requests queue on the network path to the upstream.
	Congested bool
	// ConfigVersion is the configuration version of the upstream's VM by its last report; 0 if unknown.
	ConfigVersion uint64
	// ExpectedWait is the assumed time until a request sent now begins there, and Margin the minimum remaining lifetime
	// of its model version when it is sent.
	ExpectedWait, Margin time.Duration
	// NeedsProbe is true if the network path must be probed again before a request is sent: the version's remaining
	// lifetime is too short for a queue that may have built up since the last probe.
	NeedsProbe bool
	// Path is the probe state of the network path to the upstream.
	Path Path
	// Suspect is true during the backoff after failures.
	Suspect bool
	// Limit is the upstream's rate limit; nil if it announces none.
	Limit *throttle.Limit
}

// load returns the number of requests at the upstream.
func (c *Candidate) load() int {
	return c.Running + c.Waiting
}

// MeanReportAge returns the mean age of the fresh reports of a failure domain's upstreams, or of all upstreams if the
// domain has none. Reports from other domains arrive less often and don't show when the domain's own next ones are due.
func MeanReportAge(l []Candidate, d id.Domain) time.Duration {
	if local, n := meanAge(l, func(c *Candidate) bool { return c.Domain == d }); n > 0 {
		return local
	}
	all, _ := meanAge(l, func(*Candidate) bool { return true })
	return all
}

func meanAge(l []Candidate, include func(c *Candidate) bool) (mean time.Duration, n int) {
	var sum time.Duration
	for i := range l {
		if l[i].Fresh && include(&l[i]) {
			sum += l[i].Age
			n++
		}
	}
	return sum / time.Duration(max(1, n)), n
}

// LatencyModel predicts latencies on one kind of engine.
type LatencyModel struct {
	engine *catalog.Engine
}

// NewLatencyModel returns the latency model of an engine.
func NewLatencyModel(e *catalog.Engine) LatencyModel {
	return LatencyModel{engine: e}
}

// passDuration returns the time of one pass (a stride of decoding steps) with a number of running requests.
func (m LatencyModel) passDuration(running int) time.Duration {
	if running <= 0 {
		return 0
	}
	e := m.engine
	context := float64(running) * (e.MeanPromptTokens + e.MeanAnswerTokens/2) / 1000
	stepTime := e.StepTime + time.Duration(running)*e.StepTimePerRequest + time.Duration(context*float64(e.StepTimePer1kContext))
	return time.Duration(e.StepsPerPass) * stepTime
}

// readDuration returns the time to read a number of prompt tokens.
func (m LatencyModel) readDuration(tokens float64) time.Duration {
	return time.Duration(tokens / m.engine.PrefillTokensPerSecond * float64(time.Second))
}

// TimePerRequest returns the engine time per usual request with all slots taken, which is the delay that each queued
// request adds.
func (m LatencyModel) TimePerRequest(slots int) time.Duration {
	e := m.engine
	passes := e.MeanAnswerTokens / float64(max(1, e.StepsPerPass))
	return time.Duration(passes*float64(m.passDuration(slots))/float64(max(1, slots))) + m.readDuration(e.MeanPromptTokens)
}

// Advance applies the work that an upstream is expected to do in a time without arrivals: running requests end in
// proportion to the engine's passes, and waiting ones are read at the engine's rate and take free slots. Reading
// capacity beyond that becomes SpareTokens.
func (m LatencyModel) Advance(c *Candidate, d time.Duration) {
	slots := max(1, c.Slots)
	running := min(c.Running, slots)
	if d <= 0 {
		return
	}
	workTime := float64(d) / max(1, c.Slowdown)
	ended := 0
	if running > 0 {
		timePerEnd := float64(running) * float64(m.TimePerRequest(running))
		ended = min(running, int(math.Round(float64(running)*workTime/timePerEnd)))
	}
	perToken := float64(time.Second)/m.engine.PrefillTokensPerSecond + float64(m.passDuration(running))/float64(max(1, m.engine.MaxPrefillTokens))
	readTokens := workTime / perToken
	started := min(c.Waiting, slots-running+ended, int(math.Round(readTokens/max(1, m.engine.MeanPromptTokens))))
	c.SpareTokens = max(0, readTokens-float64(started)*m.engine.MeanPromptTokens)
	if c.Waiting > 0 {
		c.Backlog *= float64(c.Waiting-started) / float64(c.Waiting)
	}
	c.Waiting -= started
	c.Running = running - ended + started
}

// FirstEvent predicts the time from sending a request to an upstream until its first event.
func (m LatencyModel) FirstEvent(c *Candidate, prompt float64) time.Duration {
	slots := max(1, c.Slots)
	passTime := m.passDuration(min(c.load(), slots))
	tokens := prompt + c.Backlog
	passes := 1 + tokens/float64(max(1, m.engine.MaxPrefillTokens))
	d := passTime/2 + m.readDuration(tokens) + time.Duration(passes*float64(passTime))
	if excess := c.load() + 1 - slots; excess > 0 {
		d = passTime + m.readDuration(prompt) + time.Duration(excess)*m.TimePerRequest(slots)
	}
	return time.Duration(float64(d) * max(1, c.Slowdown))
}

// Generation predicts the time from the first event of an answer until its end, for a length in tokens.
func (m LatencyModel) Generation(c *Candidate, tokens float64) time.Duration {
	running := min(c.load()+1, max(1, c.Slots))
	passes := tokens / float64(max(1, m.engine.StepsPerPass))
	return time.Duration(passes * float64(m.passDuration(running)) * max(1, c.Slowdown))
}

// admissionPromptFactor is the prompt length, in usual prompts, that admission assumes for every request. With the
// actual length, long prompts were refused nearly always once short ones had filled the queue.
const admissionPromptFactor = 1.5

// AdmissionLatency predicts the time to the first event by which admission to an upstream is decided.
func (m LatencyModel) AdmissionLatency(c *Candidate) time.Duration {
	return m.FirstEvent(c, admissionPromptFactor*m.engine.MeanPromptTokens)
}
