package gateway

import (
	"sync"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// choose picks the upstream for the next attempt, or says why there is none.
func (f *flight) choose() (placement.Choice, *problem) {
	s := f.catalog.Services[f.pool]
	if s == nil {
		return placement.Choice{}, f.noRoom("no such pool", placement.NoUpstreamRetry)
	}
	f.reckoning = reckoning{}
	scratch := candidateLists.Get().(*[]placement.Candidate)
	defer candidateLists.Put(scratch)
	*scratch = f.candidates(s, (*scratch)[:0])
	l := *scratch
	if s.Engine != nil {
		return f.chooseEngine(s.Engine, l)
	}
	w := &placement.Outlook{First: placement.PlainWait, Domain: f.gateway.domain}
	c, ok := placement.Choose(l, f.tried, w, f.gateway.random())
	if !ok {
		return c, f.noRoom("no upstream", placement.NoUpstreamRetry)
	}
	return c, nil
}

// chooseEngine picks a model engine, if a place is left there in which the request would begin in time.
func (f *flight) chooseEngine(e *catalog.Engine, l []placement.Candidate) (placement.Choice, *problem) {
	g := f.gateway
	m := placement.NewModel(e)
	passed := f.lost + g.now().Sub(f.arrived)
	if len(f.tried) > 0 {
		// The request has been offered to an upstream already: late is better than not at all.
		passed = 0
	}
	aim := f.catalog.Aim(f.pool)
	c, ok := placement.Choose(l, f.tried, f.outlook(m, e, l, passed, aim), g.random())
	if !ok {
		return c, f.noRoom("no upstream", f.swapRetry())
	}
	usual := m.Admission(&c.Candidate)
	k := &f.reckoning
	k.nearest, k.wait, k.passed, k.aim, k.age, k.known = c.Address, usual, passed, aim, c.Age, c.Known
	// A stream that has begun is not refused any more.
	if f.headSent || c.Room {
		return c, nil
	}
	f.predicted = c.Predicted
	return c, f.noRoom("too busy", usual-aim)
}

// swapRetry is when a caller may come back where no upstream is left: upstreams that were left out for their older version are closed, and
// load, when its time is over at the latest. It guards against callers that come back into the same seconds of a swap.
func (f *flight) swapRetry() time.Duration {
	return max(placement.NoUpstreamRetry, f.reckoning.until.Sub(f.gateway.now()))
}

// noRoom refuses the request before it was sent anywhere; there is expected to be room after a time.
func (f *flight) noRoom(text string, room time.Duration) *problem {
	return &problem{text: text, notRun: true, final: true, retry: f.retryAfter(room)}
}

// outlook is what is expected until the next reports come, which are twice as far apart as they are old on the mean.
func (f *flight) outlook(m placement.Model, e *catalog.Engine, l []placement.Candidate, passed, aim time.Duration) *placement.Outlook {
	g := f.gateway
	late := !placement.InTime(0, passed, aim)
	if f.attempts == 0 {
		g.load.Offers.Came(f.pool, late)
	}
	return &placement.Outlook{
		First:   func(c *placement.Candidate) time.Duration { return m.FirstEvent(c, f.ask.Prompt) },
		Fits:    func(c *placement.Candidate) bool { return placement.InTime(m.Admission(c), 0, aim) },
		Later:   m.Later,
		Horizon: 2 * placement.MeanAge(l, g.domain), Prompt: e.UsualPrompt, Demand: g.load.Demand(f.pool), Domain: g.domain, Late: late,
	}
}

// retryAfter is when the caller may come back for which there is expected to be room after a time.
func (f *flight) retryAfter(room time.Duration) time.Duration {
	return placement.RetryAfter(room, f.callerGives.Sub(f.gateway.now()), f.gateway.random())
}

// swapMargin is taken off the time within which a version must be the only one in use: a request may wait at the
// upstream before it begins, and this process may have read of the version later than others.
const swapMargin = time.Second

const (
	// swapCaution is how many times the predicted wait a request is taken to wait; one in ten still takes longer.
	swapCaution = 2
	// swapArrival is the least time for the way to the upstream, on a link that is shared with chunks; see placement.Way for what is added.
	swapArrival = 400 * time.Millisecond
	// swapResume is the margin for a stream that goes on elsewhere on an older version: few upstreams still serve it then,
	// and one that took such streams of others let one wait for 2.4 s.
	swapResume = 3 * time.Second
)

// candidateLists are used again: a list of 870 upstreams takes 150 KB.
var candidateLists = sync.Pool{New: func() any { return &[]placement.Candidate{} }}

// candidates adds the upstreams that may take the request now to a list.
func (f *flight) candidates(s *catalog.Service, l []placement.Candidate) []placement.Candidate {
	g := f.gateway
	usual := 0.0
	var m placement.Model
	if s.Engine != nil {
		usual = s.Engine.UsualPrompt
		m = placement.NewModel(s.Engine)
	}
	f.newest = g.facts.Wanted(f.ask.Model).Revision
	for _, i := range g.facts.Instances() {
		if i.Pool != f.pool {
			continue
		}
		if i.Leaving {
			f.reckoning.out.leaving++
			continue
		}
		held, ok := f.serves(s, i)
		if !ok {
			continue
		}
		c := g.load.Tracker.Candidate(i, usual)
		c.Revision = held
		if s.Engine != nil && c.Slots == 0 {
			c.Slots = s.Engine.Slots
		}
		if s.Engine == nil || f.fits(m, &c) {
			l = append(l, c)
		}
	}
	for i := range l {
		f.reckoning.out.note(&l[i], f.tried[l[i].Instance])
	}
	return l
}

// fits says whether an upstream's version may still take the request: it must begin there before the time of that
// version is over, and a stream that goes on elsewhere must find the version that it began with.
func (f *flight) fits(m placement.Model, c *placement.Candidate) bool {
	if f.ask.Model == "" {
		return true
	}
	if f.headSent && f.revision > 0 && c.Revision != f.revision {
		f.reckoning.out.other++
		return false
	}
	wait := time.Duration(swapCaution * float64(m.FirstEvent(c, f.ask.Prompt)))
	within := f.gateway.settings.SwapWithin
	way, passage := c.Way.Bears(f.gateway.now(), within)
	if c.Narrow {
		way, passage = within, placement.Queued
	}
	margin := max(swapMargin, wait+max(swapArrival, way))
	if f.headSent {
		margin = max(margin, swapResume)
	}
	c.Wait, c.Margin = wait, margin
	if c.Revision >= f.newest || c.Revision >= f.gateway.facts.Required(f.ask.Model, within-margin) {
		return true
	}
	f.reckoning.note(f.gateway.facts.Until(f.ask.Model, c.Revision, within))
	if passage == placement.Queued {
		f.reckoning.out.queued++
	} else {
		f.reckoning.out.over++
	}
	return false
}

// serves says whether an upstream holds the model whole, and in which version; a fresh report goes before the list.
func (f *flight) serves(s *catalog.Service, u *facts.Instance) (id.Revision, bool) {
	if s.Engine == nil {
		return 0, true
	}
	held := u.Held
	l, ok := f.gateway.load.Tracker.Report(u)
	switch {
	case ok && l.Closed:
		f.reckoning.out.closed++
		return 0, false
	case ok && l.Down:
		f.reckoning.out.down++
		return 0, false
	case ok:
		held = l.Held
	case u.Born.Before(l.Born):
		// The list has the upstream as it was before it started again.
		held = nil
	}
	if f.ask.Model == "" {
		return 0, true
	}
	r := facts.Revision(held, f.ask.Model)
	if r == 0 {
		f.reckoning.out.empty++
	}
	return r, r > 0
}
