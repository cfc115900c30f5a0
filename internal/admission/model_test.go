package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// kind is a sort of requests of one rank.
type kind struct {
	share, prompt, answer float64
	target                time.Duration
}

// model plays requests on engines with priority queues. Each asks three engines, and retries once after a refusal.
type model struct {
	kinds []kind
	// load is the share of the capacity that is offered, burst the factor by which bursts raise it (0 for none), and hog
	// that by which organisation 0 asks for more than each other (0 without that organisation).
	load, burst, hog float64
	// oneRank gives all requests the same rank and the shortest target, and standIn also decides by prediction alone.
	oneRank, standIn bool
}

const modelEngines, modelSlots, modelOrganisations, modelAsked, modelSeconds, modelPatience = 13, 12, 10, 3, 300.0, 2 * time.Second

// job is a request, with the length of its prompt, the rest of its answer, and the time of its first event.
type job struct {
	kind, rank, organisation   int
	arrived, due, first        time.Duration
	prompt, left               float64
	inBurst, admitted, refused bool
}

type modelEngine struct {
	control          *Controller
	running, waiting []*job
	passEnd          time.Duration
}

// startPass lets waiting requests into free slots and sets the end of the pass that reads them and takes a stride of steps.
func (e *modelEngine) startPass(at time.Duration, p *catalog.Engine) {
	read, context := 0.0, 0.0
	for len(e.waiting) > 0 && len(e.running) < modelSlots {
		read += e.waiting[0].prompt
		e.running, e.waiting = append(e.running, e.waiting[0]), e.waiting[1:]
	}
	for _, j := range e.running {
		context += j.prompt
	}
	step := p.StepTime + time.Duration(len(e.running))*p.StepTimePerRequest + time.Duration(context/1000*float64(p.StepTimePer1kContext))
	e.passEnd = at + time.Duration(p.StepsPerPass)*step + time.Duration(read/p.PrefillTokensPerSecond*1e9)
}

func (e *modelEngine) advance(now time.Duration, p *catalog.Engine) {
	for len(e.running) > 0 && e.passEnd <= now {
		for _, j := range e.running {
			if j.left -= float64(p.StepsPerPass); j.first == 0 {
				j.first = e.passEnd
			}
		}
		e.running = slices.DeleteFunc(e.running, func(j *job) bool { return j.left <= 0 })
		e.startPass(e.passEnd, p)
	}
}

// ask returns the engine's decision and the predicted time to the first event.
func (m *model) ask(e *modelEngine, j *job, p *catalog.Engine) (Decision, time.Duration) {
	l := placement.NewLatencyModel(p)
	all := placement.Candidate{Slots: modelSlots, Running: len(e.running), Waiting: len(e.waiting)}
	ahead := placement.Candidate{Slots: modelSlots, Running: len(e.running)}
	for _, w := range e.waiting {
		if w.rank <= j.rank {
			ahead.Waiting++
			ahead.Backlog += w.prompt
		}
	}
	load := Load{
		Slots: modelSlots, Occupied: len(e.running) + len(e.waiting), AheadInQueue: ahead.Waiting, Predicted: l.AdmissionLatency(&all),
		PerSecond: 1 / l.TimePerRequest(modelSlots).Seconds(), ReadTime: l.AdmissionLatency(&placement.Candidate{Slots: modelSlots, Running: modelSlots - 1}),
	}
	if m.standIn {
		return standIn(j.offer(), m.kinds[0].target, load), l.FirstEvent(&ahead, j.prompt)
	}
	return e.control.Decide(j.offer(), m.kinds[j.rank].target, load), l.FirstEvent(&ahead, j.prompt)
}

func (j *job) offer() Offer {
	return Offer{Rank: j.rank, Organisation: id.Organisation(fmt.Sprint(j.organisation)), Asked: modelAsked}
}

// play returns the requests of a run.
func (m model) play(seed uint64) []*job {
	r, p, now := rand.New(rand.NewPCG(seed, 1)), &catalog.Engine{
		Slots: modelSlots, StepTime: 8870 * time.Microsecond, StepTimePerRequest: 38800, StepTimePer1kContext: 22700, StepsPerPass: 5,
		PrefillTokensPerSecond: 19100, MaxPrefillTokens: 2048,
	}, time.Duration(0)
	for _, k := range m.kinds {
		p.MeanPromptTokens, p.MeanAnswerTokens = p.MeanPromptTokens+k.share*k.prompt, p.MeanAnswerTokens+k.share*k.answer
	}
	engines := make([]*modelEngine, modelEngines)
	for i := range engines {
		engines[i] = &modelEngine{control: New(func() time.Time { return time.Unix(1, 0).Add(now) })}
	}
	all := m.arrivals(modelEngines/placement.NewLatencyModel(p).TimePerRequest(modelSlots).Seconds(), r)
	for pending := slices.Clone(all); len(pending) > 0; pending = pending[1:] {
		j := pending[0]
		now = j.due
		for _, e := range engines {
			e.advance(now, p)
		}
		var chosen *modelEngine
		var held Decision
		soonest, roomIn := time.Hour, modelPatience
		for _, i := range r.Perm(modelEngines)[:modelAsked] {
			d, first := m.ask(engines[i], j, p)
			switch {
			case d.Refusal != Admitted:
				roomIn = min(roomIn, d.RoomIn)
				continue
			case first >= soonest:
				engines[i].control.Cancel(j.offer(), d)
				continue
			case chosen != nil:
				chosen.control.Cancel(j.offer(), held)
			}
			chosen, soonest, held = engines[i], first, d
		}
		if j.admitted = chosen != nil; j.admitted {
			at, _ := slices.BinarySearchFunc(chosen.waiting, j.rank+1, func(w *job, rank int) int { return w.rank - rank })
			chosen.waiting = slices.Insert(chosen.waiting, at, j)
			if len(chosen.running) == 0 {
				chosen.startPass(now, p)
			}
		} else if !j.refused {
			j.refused, j.due = true, now+roomIn+time.Duration(r.Float64()*float64(modelPatience-roomIn))
			at, _ := slices.BinarySearchFunc(pending, j.due, func(w *job, t time.Duration) int { return int(w.due - t) })
			pending = slices.Insert(pending, at, j)
		}
	}
	for _, e := range engines {
		e.advance(time.Hour, p)
	}
	return all
}
