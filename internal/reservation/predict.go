package reservation

import (
	"time"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/placement"
)

// predict returns the load that a request will find at the engine, and the predicted time to its first event. Requests
// that are less urgent don't delay it, as the engine lets the more urgent ones in first. The caller holds the lock.
func (l *Ledger) predict(q *Request) (admission.Load, time.Duration) {
	m := placement.NewLatencyModel(l.engine)
	c := placement.Candidate{Slots: l.engine.Slots, Running: l.state.Running, Waiting: l.state.Waiting, Slowdown: max(1, l.state.Slowdown)}
	m.Advance(&c, l.now().Sub(l.state.ReadAt))
	all, ahead := c, c
	ahead.Waiting = 0
	for _, w := range l.arrivals.newest(c.Waiting, l.engine.MeanPromptTokens) {
		all.Backlog += w.promptTokens
		if w.rank <= q.Rank {
			ahead.Waiting++
			ahead.Backlog += w.promptTokens
		}
	}
	predicted, firstEvent := m.AdmissionLatency(&all), l.firstEvent(&ahead, q.PromptTokens)
	for _, e := range l.entries {
		// The model has a step where all slots become occupied, at which a long backlog no longer counts. The largest value
		// keeps a further reservation from lowering the prediction.
		enqueue(&all, e.request.PromptTokens)
		predicted = max(predicted, m.AdmissionLatency(&all))
		if e.request.Rank <= q.Rank {
			enqueue(&ahead, e.request.PromptTokens)
			firstEvent = max(firstEvent, l.firstEvent(&ahead, q.PromptTokens))
		}
	}
	slots := max(1, c.Slots)
	perRequest := time.Duration(float64(m.TimePerRequest(slots)) * c.Slowdown)
	idle := placement.Candidate{Slots: slots, Running: slots - 1, Slowdown: c.Slowdown}
	return admission.Load{
		Slots: slots, Occupied: all.Running + all.Waiting, AheadInQueue: ahead.Waiting, PerSecond: float64(time.Second) / float64(max(1, perRequest)),
		ReadTime: m.AdmissionLatency(&idle), Predicted: predicted,
	}, firstEvent
}

// firstEvent predicts the time to a first event. Where the request waits for a slot, the model counts each request ahead of
// it with the usual prompt; the mean of their known prompts replaces that. The caller holds the lock.
func (l *Ledger) firstEvent(c *placement.Candidate, promptTokens float64) time.Duration {
	d := placement.NewLatencyModel(l.engine).FirstEvent(c, promptTokens)
	excess := c.Running + c.Waiting + 1 - max(1, c.Slots)
	if excess <= 0 || c.Waiting == 0 {
		return d
	}
	surplusTokens := float64(excess) * (c.Backlog/float64(c.Waiting) - l.engine.MeanPromptTokens)
	return d + time.Duration(surplusTokens/l.engine.PrefillTokensPerSecond*float64(time.Second)*c.Slowdown)
}

// enqueue adds a waiting request.
func enqueue(c *placement.Candidate, promptTokens float64) {
	c.Waiting++
	c.Backlog += promptTokens
}
