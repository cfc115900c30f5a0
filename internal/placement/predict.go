// Package placement decides which upstream a request goes to, and whether it can be in time at all. The decisions are
// pure: they take a view of the upstreams, the time and a random source.
package placement

import (
	"math"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// Candidate is what is known of an upstream that may take a request.
type Candidate struct {
	Instance id.Instance
	// Incarnation is the newest start that is known of the upstream.
	Incarnation id.Incarnation
	Address     string
	// Revision is the version of the model that it serves; 0 for plain services.
	Revision id.Revision
	Domain   id.Domain
	// Slots is the number of requests that the upstream runs at once.
	Slots int
	// Running and Waiting are the upstream's own figures, with this process's sends since then added to Waiting.
	Running, Waiting int
	// Backlog is the number of prompt tokens that wait to be read there, as far as it can be told.
	Backlog float64
	// SpareTokens is the number of prompt tokens that the engine has time to read beside its backlog before the time that the
	// figures stand for; see LatencyModel.Advance.
	SpareTokens float64
	// Fresh says that Running and Waiting are fresh; otherwise they are a guess from the own requests alone.
	Fresh bool
	// Age is how old the upstream's figures are, where they are known.
	Age time.Duration
	// InFlight is the number of this process's requests there.
	InFlight int
	// Slowdown is how many times longer than usual the upstream works.
	Slowdown float64
	// Rest is for how much longer the upstream wants no request of this process.
	Rest time.Duration
	// Congested is true while requests queue on their way there.
	Congested bool
	// ConfigVersion is the version of the configuration that the VM had by its last report; 0 where that is not known.
	ConfigVersion uint64
	// ExpectedWait is how long a request is taken to wait there before it begins, and Margin what must be left of its version's
	// time when it is sent.
	ExpectedWait, Margin time.Duration
	// NeedsProbe says that the way there is to be proven anew before a request is sent: of the version's time too little is
	// left to bear what may have come onto it since.
	NeedsProbe bool
	// Path is what has been seen of the way there.
	Path Path
	// Suspect is true after failures that have not yet been outlived.
	Suspect bool
	// Limit is how much the upstream takes; nil where it names no limit.
	Limit *throttle.Limit
}

// load is the number of requests at the upstream.
func (c *Candidate) load() int {
	return c.Running + c.Waiting
}

// MeanReportAge is the mean age of the figures of a failure domain's upstreams, where they are known, or of all where none of
// the domain's are: those of other domains come less often, and say nothing of when the next ones of the own domain
// come.
func MeanReportAge(l []Candidate, d id.Domain) time.Duration {
	if near, n := meanAge(l, func(c *Candidate) bool { return c.Domain == d }); n > 0 {
		return near
	}
	all, _ := meanAge(l, func(*Candidate) bool { return true })
	return all
}

func meanAge(l []Candidate, counts func(c *Candidate) bool) (mean time.Duration, n int) {
	var sum time.Duration
	for i := range l {
		if l[i].Fresh && counts(&l[i]) {
			sum += l[i].Age
			n++
		}
	}
	return sum / time.Duration(max(1, n)), n
}

// LatencyModel predicts times on one sort of engine.
type LatencyModel struct {
	engine *catalog.Engine
}

// NewLatencyModel makes the model of an engine.
func NewLatencyModel(e *catalog.Engine) LatencyModel {
	return LatencyModel{engine: e}
}

// pass is how long the token steps of one pass take with a number of running requests.
func (m LatencyModel) pass(running int) time.Duration {
	if running <= 0 {
		return 0
	}
	e := m.engine
	context := float64(running) * (e.UsualPrompt + e.UsualAnswer/2) / 1000
	step := e.Step + time.Duration(running)*e.PerSequence + time.Duration(context*float64(e.ContextPer1k))
	return time.Duration(e.Stride) * step
}

// read is how long a number of prompt tokens takes to read.
func (m LatencyModel) read(tokens float64) time.Duration {
	return time.Duration(tokens / m.engine.ReadPerSecond * float64(time.Second))
}

// TimePerRequest is the engine's time for a usual request when all slots are taken: what each place in the queue costs.
func (m LatencyModel) TimePerRequest(slots int) time.Duration {
	e := m.engine
	passes := e.UsualAnswer / float64(max(1, e.Stride))
	return time.Duration(passes*float64(m.pass(slots))/float64(max(1, slots))) + m.read(e.UsualPrompt)
}

// Advance takes off an upstream what it is expected to do in a time: running requests end after their share of the engine's
// passes, and those that wait are read as fast as the engine reads and take the places. What it could read beyond that is Spare.
func (m LatencyModel) Advance(c *Candidate, d time.Duration) {
	slots := max(1, c.Slots)
	running := min(c.Running, slots)
	if d <= 0 {
		return
	}
	worked := float64(d) / max(1, c.Slowdown)
	ended := 0
	if running > 0 {
		each := float64(running) * float64(m.TimePerRequest(running))
		ended = min(running, int(math.Round(float64(running)*worked/each)))
	}
	perToken := float64(time.Second)/m.engine.ReadPerSecond + float64(m.pass(running))/float64(max(1, m.engine.ReadChunk))
	read := worked / perToken
	begun := min(c.Waiting, slots-running+ended, int(math.Round(read/max(1, m.engine.UsualPrompt))))
	c.SpareTokens = max(0, read-float64(begun)*m.engine.UsualPrompt)
	if c.Waiting > 0 {
		c.Backlog *= float64(c.Waiting-begun) / float64(c.Waiting)
	}
	c.Waiting -= begun
	c.Running = running - ended + begun
}

// FirstEvent predicts the time from sending a request to an upstream until its first event.
func (m LatencyModel) FirstEvent(c *Candidate, prompt float64) time.Duration {
	slots := max(1, c.Slots)
	pass := m.pass(min(c.load(), slots))
	tokens := prompt + c.Backlog
	passes := 1 + tokens/float64(max(1, m.engine.ReadChunk))
	d := pass/2 + m.read(tokens) + time.Duration(passes*float64(pass))
	if over := c.load() + 1 - slots; over > 0 {
		d = pass + m.read(prompt) + time.Duration(over)*m.TimePerRequest(slots)
	}
	return time.Duration(float64(d) * max(1, c.Slowdown))
}

// admissionPrompt is the prompt, in usual ones, by which a request is let in or refused, whatever its own: with its own
// one, long prompts were refused nearly always once short ones had filled the queue.
const admissionPrompt = 1.5

// AdmissionLatency is the time to the first event that decides whether requests are let in at an upstream.
func (m LatencyModel) AdmissionLatency(c *Candidate) time.Duration {
	return m.FirstEvent(c, admissionPrompt*m.engine.UsualPrompt)
}
