package decide

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// job is a request at an engine.
type job struct {
	attempt *upstreamAttempt
	// unread is the number of prompt tokens still to be read, context the number of tokens in the context, and remaining
	// the number of events still to be generated.
	unread, context float64
	remaining       int
	// decoding is true once the prompt has been read, started once the first event was generated, and cancelled once
	// nobody waits for the response.
	decoding, started, cancelled bool
}

// engine reads prompts in chunks between its decoding steps, and runs as many requests concurrently as it has slots.
type engine struct {
	sim     *simulation
	name    id.Instance
	address string
	domain  id.Domain
	born    id.Incarnation
	// up is false after a crash, closed is true while its stager admits no requests, and loading while the engine itself
	// takes none.
	up, closed, loading bool
	held, staged        id.Revision
	queue, running      []*job
	busy                bool
	passTimer           *timer
	// startedRequests counts the requests that have occupied a slot.
	startedRequests int
	// slowdown is the factor by which the engine works slower at present, and pace that of its last pass, which it reports.
	slowdown, pace float64
	reporter
	reservationStager
	versionSwap
}

// heldVersions returns the served version in the form of reports and the instance list.
func (e *engine) heldVersions() []facts.Held {
	if e.held == 0 {
		return nil
	}
	return []facts.Held{{Model: model, Revision: e.held}}
}

// engineByName returns the engine of an instance.
func (p *simulation) engineByName(n id.Instance) *engine {
	i := slices.IndexFunc(p.engines, func(e *engine) bool { return e.name == n })
	return p.engines[i]
}

// accept queues a request, or refuses it.
func (e *engine) accept(j *job) {
	s := &e.sim.scenario.Engine
	switch {
	case j.cancelled:
	case !e.up:
		j.attempt.onConnectFailed()
	case e.loading || len(e.queue) >= s.Queue && len(e.running) >= s.Slots:
		j.attempt.onRefused()
	default:
		e.queue = append(e.queue, j)
		e.startPass()
	}
}

// cancel removes a request whose gateway has closed the connection.
func (e *engine) cancel(j *job) {
	j.cancelled = true
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	if !e.busy {
		e.removeFinished()
	}
}

// removeFinished frees the slots of cancelled and completed requests.
func (e *engine) removeFinished() {
	e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.cancelled || j.remaining <= 0 })
}

// startPass starts the next pass if there is a request to run.
func (e *engine) startPass() {
	s := &e.sim.scenario.Engine
	if e.busy || !e.up {
		return
	}
	for len(e.queue) > 0 && len(e.running) < s.Slots {
		e.running = append(e.running, e.queue[0])
		e.queue = e.queue[1:]
		e.startedRequests++
	}
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	e.passTimer = e.sim.after(e.runPass(), e.endPass)
}

// runPass reads up to a chunk of prompt tokens, the oldest requests first, and returns how long that and a stride of
// decoding steps take.
func (e *engine) runPass() time.Duration {
	s := &e.sim.scenario.Engine
	chunkRemaining := float64(s.Chunk)
	read, pairs, context := 0.0, 0.0, 0.0
	decoding, firstEvents := 0, 0
	for _, j := range e.running {
		if j.unread > 0 && chunkRemaining > 0 {
			n := min(chunkRemaining, j.unread)
			readBefore := j.context - j.unread
			pairs += n * (readBefore + n/2)
			j.unread -= n
			read, chunkRemaining = read+n, chunkRemaining-n
		}
		if j.unread <= 0 {
			if !j.decoding {
				firstEvents++
			}
			j.decoding = true
			decoding++
			context += j.context
		}
	}
	d := read/s.ReadPerS*1000 + pairs/1e6*s.MsPerMPairs + float64(firstEvents)*s.PerRequestMs
	if decoding > 0 {
		d += float64(s.Stride) * (s.StepMs + float64(decoding)*s.PerSeqMs + context/1000*s.ContextPerKMs)
	}
	e.pace = e.slowdown
	return ms(d * e.slowdown)
}

// endPass emits an event for each decoding request and starts the next pass.
func (e *engine) endPass() {
	e.busy = false
	for _, j := range e.running {
		if j.decoding && !j.cancelled {
			e.emitEvent(j)
		}
	}
	e.removeFinished()
	e.loadIfIdle()
	e.startPass()
}

// emitEvent generates one event of a response.
func (e *engine) emitEvent(j *job) {
	p, s := e.sim, j.attempt
	f := s.client
	j.context += float64(p.scenario.Engine.Stride)
	j.remaining--
	if f.delivered > 0 {
		f.request.longestGap = max(f.request.longestGap, p.elapsed-f.lastEvent)
	}
	f.delivered, f.lastEvent = f.delivered+1, p.elapsed
	if !j.started {
		j.started = true
		if e.versionExpired() {
			p.begunOnExpired++
		}
		s.toGateway(s.onFirstEvent)
	}
	if j.remaining <= 0 {
		s.toGateway(s.onComplete)
	}
}

// crash ends all requests of the engine. Gateways notice it only after a stall, as connections hang before they break.
func (e *engine) crash() {
	p := e.sim
	e.up, e.closed, e.loading, e.busy, e.held = false, false, false, false, 0
	e.passTimer.stop()
	e.cancelSwap()
	running, waiting := e.running, e.queue
	e.running, e.queue = nil, nil
	p.after(ms(p.scenario.Engine.StallMs), func() {
		for _, j := range running {
			if j.decoding {
				j.attempt.onCut()
				continue
			}
			j.attempt.onRefused()
		}
		for _, j := range waiting {
			j.attempt.onRefused()
		}
	})
}

// restart starts the engine again with the staged version.
func (e *engine) restart() {
	e.born++
	e.up = true
	e.sim.after(ms(e.sim.scenario.Engine.LoadMs), func() {
		e.held = e.staged
		e.reportUrgently()
		for _, d := range e.sim.gateways {
			d.listEngine(e)
		}
		e.planSwap()
	})
}
