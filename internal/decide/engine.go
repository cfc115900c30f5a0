package decide

import (
	"slices"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// job is a request at an engine.
type job struct {
	send *send
	// unread is the tokens of the prompt that are still to be read, context those that are held, and left the events to come.
	unread, context float64
	left            int
	// started says that its first event was made.
	writing, started, gone bool
}

// engine reads prompts piece by piece between the steps of what it writes, as many requests at once as it has places.
type engine struct {
	play    *play
	name    id.Instance
	address string
	domain  id.Domain
	born    id.Incarnation
	// up is false after a crash, closed while its stager lets nothing in, and loading while the engine takes nothing.
	up, closed, loading bool
	held, staged        id.Revision
	queue, places       []*job
	busy                bool
	passing             *alarm
	// begun counts the requests that it has taken up.
	begun int
	reporting
	swap
}

// holds is the version as reports and the list tell it.
func (e *engine) holds() []facts.Held {
	if e.held == 0 {
		return nil
	}
	return []facts.Held{{Model: model, Revision: e.held}}
}

// engine finds an engine by its name.
func (p *play) engine(n id.Instance) *engine {
	i := slices.IndexFunc(p.engines, func(e *engine) bool { return e.name == n })
	return p.engines[i]
}

// take lets a request in, or says that it does not run.
func (e *engine) take(j *job) {
	s := &e.play.scenario.Engine
	switch {
	case j.gone:
	case !e.up:
		j.send.unsent()
	case e.loading || len(e.queue) >= s.Queue && len(e.places) >= s.Slots:
		j.send.refused()
	default:
		e.queue = append(e.queue, j)
		e.kick()
	}
}

// drop ends a request that nobody waits for.
func (e *engine) drop(j *job) {
	j.gone = true
	e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	if !e.busy {
		e.clear()
	}
}

// clear takes what has gone or is done off its places.
func (e *engine) clear() {
	e.places = slices.DeleteFunc(e.places, func(j *job) bool { return j.gone || j.left <= 0 })
}

// kick begins a pass where there is something to do.
func (e *engine) kick() {
	s := &e.play.scenario.Engine
	if e.busy || !e.up {
		return
	}
	for len(e.queue) > 0 && len(e.places) < s.Slots {
		e.places = append(e.places, e.queue[0])
		e.queue = e.queue[1:]
		e.begun++
	}
	if len(e.places) == 0 {
		return
	}
	e.busy = true
	e.passing = e.play.after(e.pass(), e.passed)
}

// pass reads up to a chunk of the prompts, the oldest first, and says how long that and a stride of steps take.
func (e *engine) pass() time.Duration {
	s := &e.play.scenario.Engine
	left := float64(s.Chunk)
	read, pairs, context := 0.0, 0.0, 0.0
	writers, firsts := 0, 0
	for _, j := range e.places {
		if j.unread > 0 && left > 0 {
			n := min(left, j.unread)
			before := j.context - j.unread
			pairs += n * (before + n/2)
			j.unread -= n
			read, left = read+n, left-n
		}
		if j.unread <= 0 {
			if !j.writing {
				firsts++
			}
			j.writing = true
			writers++
			context += j.context
		}
	}
	d := read/s.ReadPerS*1000 + pairs/1e6*s.MsPerMPairs + float64(firsts)*s.PerRequestMs
	if writers > 0 {
		d += float64(s.Stride) * (s.StepMs + float64(writers)*s.PerSeqMs + context/1000*s.ContextPerKMs)
	}
	return ms(d)
}

// passed gives each writer its event and begins the next pass.
func (e *engine) passed() {
	e.busy = false
	for _, j := range e.places {
		if j.writing && !j.gone {
			e.event(j)
		}
	}
	e.clear()
	e.idle()
	e.kick()
}

// event makes one event of an answer.
func (e *engine) event(j *job) {
	p, s := e.play, j.send
	f := s.flight
	j.context += float64(p.scenario.Engine.Stride)
	j.left--
	if f.given > 0 {
		f.request.gap = max(f.request.gap, p.at-f.last)
	}
	f.given, f.last = f.given+1, p.at
	if !j.started {
		j.started = true
		if e.overdue() {
			p.over++
		}
		s.reach(s.first)
	}
	if j.left <= 0 {
		s.reach(s.whole)
	}
}

// crashed ends all that runs: it stands still for a while before the gateways see that it is cut.
func (e *engine) crashed() {
	p := e.play
	e.up, e.closed, e.loading, e.busy, e.held = false, false, false, false, 0
	e.passing.stop()
	e.stopSwap()
	running, waiting := e.places, e.queue
	e.places, e.queue = nil, nil
	p.after(ms(p.scenario.Engine.StallMs), func() {
		for _, j := range running {
			if j.writing {
				j.send.cut()
				continue
			}
			j.send.refused()
		}
		for _, j := range waiting {
			j.send.refused()
		}
	})
}

// back starts the engine again with what lies beside it.
func (e *engine) back() {
	e.born++
	e.up = true
	e.play.after(ms(e.play.scenario.Engine.LoadMs), func() {
		e.held = e.staged
		e.urgent()
		for _, d := range e.play.doors {
			d.list(e)
		}
		e.turn()
	})
}
