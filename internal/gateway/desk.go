package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/catalog"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// Balancer decides which upstream a request goes to and who is refused. It knows no network, and time and randomness are seams, so
// that a play in virtual time decides by the same code as a gateway.
type Balancer struct {
	Facts      *facts.Facts
	Load       LoadSources
	Domain     id.Domain
	SwapWithin time.Duration
	Now        func() time.Time
	Random     func() *rand.Rand
	// AdjustOutlook changes what a choice rests on, and Retry stands in for placement.RetryAfter; both are nil but in comparisons of
	// one way to decide with another.
	AdjustOutlook func(w *placement.Forecast, l []placement.Candidate)
	RetryAfter    func(room, left time.Duration) time.Duration
}

// Query is a request as a Balancer sees it.
type Query struct {
	Catalog      *catalog.Catalog
	Pool         id.Pool
	Model        id.Model
	PromptTokens float64
	Arrived      time.Time
	// ElapsedBefore is the time that the caller has lost before this try, and CallerGives when it gives up.
	ElapsedBefore  time.Duration
	CallerDeadline time.Time
	// Tried are the upstreams that have had the request, and Attempts how many of them took it.
	Tried    map[id.Instance]bool
	Attempts int
	// PermitDenied are upstreams that gave the request no permit, and AskNone leaves out all that need one.
	PermitDenied  map[id.Instance]bool
	NoMorePermits bool
	// HeadSent says that the caller has the head of an answer of a Revision.
	HeadSent bool
	Revision id.Revision

	decision decision
	// newest is the newest version of the model that is known to have been named.
	newest id.Revision
}

// Refusal is why no upstream is to have a request.
type Refusal struct {
	Reason string
	// RetryAfter is when the caller may come back, and Predicted the first event that was too late, where there was one.
	RetryAfter, Predicted time.Duration
}

// Choose picks the upstream for the next attempt, or says why there is none.
func (d *Balancer) Choose(q *Query) (placement.Choice, *Refusal) {
	s := q.Catalog.Services[q.Pool]
	if s == nil {
		return placement.Choice{}, d.noRoom(q, "no such pool", placement.NoUpstreamRetryAfter)
	}
	q.decision = decision{}
	scratch := candidateLists.Get().(*[]placement.Candidate)
	defer candidateLists.Put(scratch)
	*scratch = d.candidates(q, s, (*scratch)[:0])
	l := *scratch
	if s.Engine != nil {
		return d.chooseEngine(q, s.Engine, l)
	}
	w := &placement.Forecast{PredictFirstEvent: placement.PredictPlainService, Domain: d.Domain}
	c, ok := placement.Choose(l, q.Tried, w, d.Random())
	if !ok {
		return c, d.noUpstream(q, placement.NoUpstreamRetryAfter)
	}
	return c, nil
}

// chooseEngine picks a model engine, if a place is left there in which the request would begin in time.
func (d *Balancer) chooseEngine(q *Query, e *catalog.Engine, l []placement.Candidate) (placement.Choice, *Refusal) {
	m := placement.NewLatencyModel(e)
	passed := q.ElapsedBefore + d.Now().Sub(q.Arrived)
	if len(q.Tried) > 0 {
		// The request has been offered to an upstream already: late is better than not at all.
		passed = 0
	}
	aim := q.Catalog.LatencyTarget(q.Pool)
	w := d.outlook(q, m, e, l, passed, aim)
	if d.AdjustOutlook != nil {
		d.AdjustOutlook(w, l)
	}
	c, ok := placement.Choose(l, q.Tried, w, d.Random())
	if !ok {
		return c, d.noUpstream(q, q.decision.swapRetry(d.Now()))
	}
	usual := m.AdmissionLatency(&c.Candidate)
	k := &q.decision
	k.nearest, k.wait, k.passed, k.aim, k.age, k.known = c.Address, usual, passed, aim, c.Age, c.Fresh
	// A stream that has begun is not refused any more.
	if q.HeadSent || c.HasCapacity {
		return c, nil
	}
	if c.Limit != nil {
		k.noteLimited(c.Limit.NextPermitIn)
		return c, d.noUpstream(q, 0)
	}
	no := d.noRoom(q, "too busy", usual-aim)
	no.Predicted = c.Predicted
	return c, no
}

// noRoom refuses the request before it was sent anywhere; there is expected to be room after a time.
func (d *Balancer) noRoom(q *Query, why string, room time.Duration) *Refusal {
	left := q.CallerDeadline.Sub(d.Now())
	if d.RetryAfter != nil {
		return &Refusal{Reason: why, RetryAfter: d.RetryAfter(room, left)}
	}
	return &Refusal{Reason: why, RetryAfter: placement.RetryAfter(room, left, d.Random())}
}

// noUpstream refuses the request as no upstream may have it. Where limits leave no permit, or upstreams rest, the caller
// may come back when the next permit is due or the first rest ends.
func (d *Balancer) noUpstream(q *Query, retry time.Duration) *Refusal {
	why, due := q.decision.due()
	if why == "" || d.RetryAfter != nil {
		return d.noRoom(q, "no upstream", retry)
	}
	left := q.CallerDeadline.Sub(d.Now())
	return &Refusal{Reason: why, RetryAfter: placement.SpreadRetryAfter(due, left, d.Random())}
}

// outlook is what is expected until the next reports come, which are twice as far apart as they are old on the mean.
func (d *Balancer) outlook(q *Query, m placement.LatencyModel, e *catalog.Engine, l []placement.Candidate, passed, aim time.Duration) *placement.Forecast {
	late := !placement.InTime(0, passed, aim)
	if q.Attempts == 0 && len(q.PermitDenied) == 0 {
		d.Load.Offers.Record(q.Pool, late)
	}
	return &placement.Forecast{
		PredictFirstEvent: func(c *placement.Candidate) time.Duration { return m.FirstEvent(c, q.PromptTokens) },
		CanAdmit:          func(c *placement.Candidate) bool { return placement.InTime(m.AdmissionLatency(c), 0, aim) },
		Advance:           m.Advance,
		Horizon:           2 * placement.MeanReportAge(l, d.Domain), UsualPrompt: e.MeanPromptTokens, Demand: d.Load.Demand(q.Pool), Domain: d.Domain, Late: late,
	}
}

// swapMargin is taken off the time within which a version must be the only one in use: a request may wait at the
// upstream before it begins, and this process may have read of the version later than others.
const swapMargin = time.Second

const (
	// swapCaution is how many times the predicted wait a request is taken to wait; one in ten still takes longer.
	swapCaution = 2
	// swapArrival is the least time for the way to the upstream, on a link that is shared with chunks; see
	// placement.Path for what is added.
	swapArrival = 400 * time.Millisecond
	// burstMargin is the margin of a version whose time is running out already while the chunks of a still newer one
	// may just begin to queue on the way, burstFor after that is named: six that are asked for at once take 1.9 s of a
	// link of 0.61 Mbit/s. What is longer on its way than that begins late.
	burstMargin = 2 * time.Second
	burstFor    = 2 * time.Second
	// proveLast is the part of a version's time, from its end back, in which the way to an upstream is proven anew
	// before each send; half of that time at the most, in which a way of which nothing was seen is not taken anyway.
	// What comes onto a link of a sudden shows 0.7 s later by stamps, and may hold more than is left by then.
	proveLast = 3 * time.Second
	// swapResume is the margin for a stream that goes on elsewhere on an older version: few upstreams still serve it then,
	// and one that took such streams of others let one wait for 2.4 s.
	swapResume = 3 * time.Second
)

// candidateLists are used again: a list of 870 upstreams takes 150 KB.
var candidateLists = sync.Pool{New: func() any { return &[]placement.Candidate{} }}

// candidates adds the upstreams that may take the request now to a list.
func (d *Balancer) candidates(q *Query, s *catalog.Service, l []placement.Candidate) []placement.Candidate {
	usual := 0.0
	var m placement.LatencyModel
	if s.Engine != nil {
		usual = s.Engine.MeanPromptTokens
		m = placement.NewLatencyModel(s.Engine)
	}
	q.newest = d.Facts.Wanted(q.Model).Revision
	for _, i := range d.Facts.Instances() {
		if i.Pool != q.Pool {
			continue
		}
		if i.Leaving {
			q.decision.out.leaving++
			continue
		}
		held, ok := d.serves(q, s, i)
		if !ok {
			continue
		}
		c := d.Load.Tracker.Candidate(i, usual)
		c.Revision = held
		if s.Engine != nil && c.Slots == 0 {
			c.Slots = s.Engine.Slots
		}
		if q.unavailable(&c) {
			continue
		}
		if s.Engine == nil || d.fits(q, m, &c) {
			l = append(l, c)
		}
	}
	for i := range l {
		q.decision.out.note(&l[i], q.Tried[l[i].Instance])
	}
	return l
}

// unavailable says whether an upstream takes no request of this process for now: it rests, or gives no permit.
func (q *Query) unavailable(c *placement.Candidate) bool {
	switch {
	case c.Rest > 0:
		q.decision.noteResting(c.Rest)
	case c.Limit != nil && (c.Limit.Permits == 0 || q.declined(c)):
		q.decision.noteLimited(c.Limit.NextPermitIn)
	default:
		return false
	}
	return true
}

// fits says whether an upstream's version may still take the request: it must begin there before the time of that
// version is over, and a stream that goes on elsewhere must find the version that it began with.
func (d *Balancer) fits(q *Query, m placement.LatencyModel, c *placement.Candidate) bool {
	if q.Model == "" {
		return true
	}
	if q.HeadSent && q.Revision > 0 && c.Revision != q.Revision {
		q.decision.out.other++
		return false
	}
	wait := time.Duration(swapCaution * float64(m.FirstEvent(c, q.PromptTokens)))
	way, passage := c.Path.MaxDelay(d.Now(), d.SwapWithin)
	if c.Congested || d.behind(c) {
		// What comes of a sudden can't be seen before: a configuration of 0.6 MB took 5 s of a link of 0.46 Mbit/s that had been clear.
		way, passage = d.SwapWithin, placement.PathQueued
	}
	margin := max(swapMargin, wait+max(swapArrival, way))
	if c.Revision < q.newest && d.Now().Sub(d.Facts.OvertakenAt(q.Model, c.Revision)) < burstFor {
		margin = max(margin, burstMargin)
	}
	if q.HeadSent {
		margin = max(margin, swapResume)
	}
	c.ExpectedWait, c.Margin = wait, margin
	if c.Revision >= q.newest {
		return true
	}
	until := d.Facts.ServableUntil(q.Model, c.Revision, d.SwapWithin)
	c.NeedsProbe = !until.IsZero() && until.Sub(d.Now()) < min(proveLast, d.SwapWithin/2)
	if c.Revision >= d.Facts.MinRevision(q.Model, d.SwapWithin-margin) && (!c.NeedsProbe || !q.declined(c)) {
		return true
	}
	q.decision.note(until)
	if passage == placement.PathQueued {
		q.decision.out.queued++
	} else {
		q.decision.out.over++
	}
	return false
}

// declined says whether an upstream that needs a permit is not to be asked for one.
func (q *Query) declined(c *placement.Candidate) bool {
	return q.NoMorePermits || q.PermitDenied[c.Instance]
}

// behind says whether a VM lacks, by its last report, a configuration that this process has: it comes onto the VM's
// link at any moment. It is asked at the choice and not as the report comes: a report from before this process had the
// configuration says nothing of whether the VM has it.
func (d *Balancer) behind(c *placement.Candidate) bool {
	newest := d.Facts.Catalog()
	return newest != nil && c.ConfigVersion > 0 && c.ConfigVersion < newest.Revision
}

// serves says whether an upstream holds the model whole, and in which version; a fresh report goes before the list.
func (d *Balancer) serves(q *Query, s *catalog.Service, u *facts.Instance) (id.Revision, bool) {
	if s.Engine == nil {
		return 0, true
	}
	held := u.Held
	l, ok := d.Load.Tracker.Report(u)
	switch {
	case ok && l.Leaving:
		q.decision.out.leaving++
		return 0, false
	case ok && l.Closed:
		q.decision.out.closed++
		return 0, false
	case ok && l.Down:
		q.decision.out.down++
		return 0, false
	case ok:
		held = l.Held
	case u.Born.Before(l.Incarnation):
		// The list has the upstream as it was before it started again.
		held = nil
	}
	if q.Model == "" {
		return 0, true
	}
	r := facts.HeldRevision(held, q.Model)
	if r == 0 {
		q.decision.out.empty++
	}
	return r, r > 0
}
