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

// Balancer selects upstreams for requests and refuses requests under overload. It does no network I/O, and time and
// randomness are injected, so that a simulation in virtual time runs the same code as a gateway.
type Balancer struct {
	Facts      *facts.Facts
	Load       LoadSources
	Location   Location
	SwapWithin time.Duration
	Now        func() time.Time
	Random     func() *rand.Rand
	// AdjustOutlook changes the forecast or the candidates before an upstream is chosen, and RetryAfter replaces
	// placement.RetryAfter. Both are set only in comparisons of load-balancing strategies.
	AdjustOutlook func(w *placement.Forecast, l []placement.Candidate)
	RetryAfter    func(room, left time.Duration) time.Duration
}

// Query describes a request for which a Balancer chooses an upstream.
type Query struct {
	Catalog      *catalog.Catalog
	Pool         id.Pool
	Model        id.Model
	PromptTokens float64
	Arrived      time.Time
	// ElapsedBefore is the time that the caller spent on earlier tries, and CallerDeadline is when it gives up.
	ElapsedBefore  time.Duration
	CallerDeadline time.Time
	// Tried are the upstreams that were chosen for the request so far, and Attempts counts those that it was sent to.
	Tried    map[id.Instance]bool
	Attempts int
	// PermitDenied are upstreams that gave the request no permit. NoMorePermits excludes all upstreams that require
	// one.
	PermitDenied  map[id.Instance]bool
	NoMorePermits bool
	// Excluded are upstreams whose stagers say that they take no requests now; nil before the first reservation request.
	Excluded map[id.Instance]bool
	// PathsProven is true if the stagers of the chosen upstreams are asked before the request is sent. Their answers then
	// show whether the network path is clear, whatever earlier probes showed.
	PathsProven bool
	// Regions are the regions in which the request may be served.
	Regions catalog.Regions
	// HeadSent is true once the caller has the header of a response that was made with Revision.
	HeadSent bool
	Revision id.Revision
	// Scope restricts the failure domains whose upstreams may be chosen.
	Scope DomainScope

	decision decision
	// now is when the newest choice began; reading the clock for each upstream would take a quarter of the time of a choice
	// among 870.
	now time.Time
	// newestRevision is the newest published version of the model that this process knows of.
	newestRevision id.Revision
}

// Refusal is the reason why no upstream may take a request.
type Refusal struct {
	Reason string
	// RetryAfter is the time after which the caller may retry, and Predicted the predicted time to the first event
	// that was too late, if there was one.
	RetryAfter, Predicted time.Duration
}

// Choose selects the upstream for the next attempt, or returns a Refusal.
func (d *Balancer) Choose(q *Query) (placement.Choice, *Refusal) {
	l, refusal := d.Choices(q, 1)
	if len(l) == 0 {
		return placement.Choice{}, refusal
	}
	return l[0], refusal
}

// Choices returns up to n upstreams for the next attempt, where the pool is one of engines; otherwise one. The first is
// the one that Choose selects, and the Refusal is its.
func (d *Balancer) Choices(q *Query, n int) ([]placement.Choice, *Refusal) {
	s := q.Catalog.Services[q.Pool]
	if s == nil {
		return nil, d.refuse(q, "no such pool", placement.NoUpstreamRetryAfter)
	}
	q.decision = decision{}
	scratch := candidateListPool.Get().(*[]placement.Candidate)
	defer candidateListPool.Put(scratch)
	*scratch = d.candidates(q, s, (*scratch)[:0])
	l := *scratch
	if s.Engine != nil {
		return d.chooseEngines(q, s.Engine, l, n)
	}
	w := &placement.Forecast{PredictFirstEvent: placement.PredictPlainService, Domain: d.Location.Domain}
	chosen := placement.ChooseSeveral(l, q.Tried, w, 1, d.Random())
	if len(chosen) == 0 {
		return nil, d.refuseNoUpstream(q, placement.NoUpstreamRetryAfter)
	}
	return chosen, nil
}

// chooseEngines selects up to n model engines, the first of which has the capacity to begin the request in time unless
// there is a Refusal.
func (d *Balancer) chooseEngines(q *Query, e *catalog.Engine, l []placement.Candidate, n int) ([]placement.Choice, *Refusal) {
	m := placement.NewLatencyModel(e)
	aim := q.Catalog.LatencyTarget(q.Pool)
	elapsed := d.elapsed(q)
	w := d.newForecast(q, m, e, l, elapsed, aim)
	if d.AdjustOutlook != nil {
		d.AdjustOutlook(w, l)
	}
	chosen := placement.ChooseSeveral(l, q.Tried, w, n, d.Random())
	if len(chosen) == 0 {
		return nil, d.refuseNoUpstream(q, q.decision.retryAfterSwap(d.Now()))
	}
	c := &chosen[0]
	usualWait := m.AdmissionLatency(&c.Candidate)
	k := &q.decision
	k.nearest, k.predictedWait, k.elapsed, k.aim, k.reportAge, k.reportKnown = c.Address, usualWait, elapsed, aim, c.Age, c.Fresh
	// A stream that has begun is not refused.
	if q.HeadSent || c.HasCapacity {
		return chosen, nil
	}
	if c.Limit != nil {
		k.noteLimited(c.Limit.NextPermitIn)
		return chosen, d.refuseNoUpstream(q, 0)
	}
	refusal := d.refuse(q, "too busy", usualWait-aim)
	refusal.Predicted = c.Predicted
	return chosen, refusal
}

// elapsed returns the time that the caller has lost of the latency target.
func (d *Balancer) elapsed(q *Query) time.Duration {
	if len(q.Tried) > 0 {
		// The request has been sent to an upstream already: serving it late is better than not at all.
		return 0
	}
	return q.ElapsedBefore + d.Now().Sub(q.Arrived)
}

// refuse refuses the request before it was sent; capacity is expected after dueIn.
func (d *Balancer) refuse(q *Query, reason string, dueIn time.Duration) *Refusal {
	remaining := q.CallerDeadline.Sub(d.Now())
	if d.RetryAfter != nil {
		return &Refusal{Reason: reason, RetryAfter: d.RetryAfter(dueIn, remaining)}
	}
	return &Refusal{Reason: reason, RetryAfter: placement.RetryAfter(dueIn, remaining, d.Random())}
}

// refuseNoUpstream refuses the request because no upstream may take it. If upstreams were excluded for lack of
// permits or because they pause, the caller may retry when the next permit is due or the first pause ends.
func (d *Balancer) refuseNoUpstream(q *Query, retryAfter time.Duration) *Refusal {
	reason, dueIn := q.decision.nextDue()
	if reason == "" || d.RetryAfter != nil {
		return d.refuse(q, "no upstream", retryAfter)
	}
	remaining := q.CallerDeadline.Sub(d.Now())
	return &Refusal{Reason: reason, RetryAfter: placement.SpreadRetryAfter(dueIn, remaining, d.Random())}
}

// newForecast returns a forecast of the load until the next reports. Their interval is taken to be twice their mean age.
func (d *Balancer) newForecast(q *Query, m placement.LatencyModel, e *catalog.Engine, l []placement.Candidate, elapsed, aim time.Duration) *placement.Forecast {
	late := !placement.InTime(0, elapsed, aim)
	if q.Attempts == 0 && len(q.PermitDenied) == 0 && q.Excluded == nil {
		d.Load.Offers.Record(q.Pool, late)
	}
	return &placement.Forecast{
		PredictFirstEvent: func(c *placement.Candidate) time.Duration { return m.FirstEvent(c, q.PromptTokens) },
		CanAdmit:          func(c *placement.Candidate) bool { return placement.InTime(m.AdmissionLatency(c), 0, aim) },
		Advance:           m.Advance,
		Horizon:           2 * placement.MeanReportAge(l, d.Location.Domain), UsualPrompt: e.MeanPromptTokens, Demand: d.demand(q), Domain: d.Location.Domain, Late: late,
	}
}

// demand returns the load to expect on the upstreams that the request may use. Gateways mostly use upstreams of their own
// failure domain, so the load of domains in other regions than the request's is left out.
func (d *Balancer) demand(q *Query) placement.Demand {
	all := d.Load.Demand(q.Pool)
	if q.Regions == nil {
		return all
	}
	allowed := placement.Demand{}
	for domain, load := range all {
		if q.Regions.Contains(d.Location.Region(domain)) {
			allowed[domain] = load
		}
	}
	return allowed
}

// swapMargin is subtracted from the grace period of an older version: a request may queue at the upstream before it
// begins, and this process may have learnt of the version later than others.
const swapMargin = time.Second

// provenMargin replaces swapMargin where the stager beside the upstream has just answered: its prediction contains the
// queue, and a request that has not begun giveUpMargin before the end is cancelled. The rest covers a chunk of weights on
// the link.
const provenMargin = 600 * time.Millisecond

const (
	// waitSafetyFactor multiplies the predicted wait of a request; one in ten still waits longer.
	waitSafetyFactor = 2
	// minTransitTime is the minimum assumed for the transit to the upstream, on a link that is shared with weight
	// chunks; see placement.Path for what is added.
	minTransitTime = 400 * time.Millisecond
	// burstMargin is the minimum remaining grace period for sending a request to a version whose grace period had already
	// begun when a still newer version was published. It applies for the burstWindow after that publication, in which
	// chunks of the newest version may start to queue on the link. Six chunks requested at once take 1.9 s of a link of
	// 0.61 Mbit/s. A request that is in transit for longer than the margin begins too late.
	burstMargin = 2 * time.Second
	burstWindow = 2 * time.Second
	// probeWindow is the last part of a version's grace period, in which the link to an upstream is probed before each
	// send. It is at most half of the grace period; links without delay measurements are not used in that half anyway. A
	// sudden queue on a link shows in timestamps only 0.7 s later and may delay requests for longer than the time that
	// is left.
	probeWindow = 3 * time.Second
	// resumeMargin is the margin for a stream that is continued on an older version: few upstreams still serve it
	// then, and one that took over such streams delayed one of them by 2.4 s.
	resumeMargin = 3 * time.Second
)

// candidateListPool reuses candidate lists: a list of 870 upstreams takes 150 KB.
var candidateListPool = sync.Pool{New: func() any { return &[]placement.Candidate{} }}

// candidates appends the upstreams that may take the request now to a list.
func (d *Balancer) candidates(q *Query, s *catalog.Service, l []placement.Candidate) []placement.Candidate {
	usualPrompt := 0.0
	var m placement.LatencyModel
	if s.Engine != nil {
		usualPrompt = s.Engine.MeanPromptTokens
		m = placement.NewLatencyModel(s.Engine)
	}
	q.now, q.newestRevision = d.Now(), d.Facts.Wanted(q.Model).Revision
	for _, i := range d.Facts.Instances() {
		if i.Pool != q.Pool || !d.mayServe(q, i.Domain) || q.Excluded[i.ID] || !q.Scope.contains(i.Domain, d.Location.Domain) {
			continue
		}
		if i.Leaving {
			q.decision.excluded.leaving++
			continue
		}
		held, ok := d.servedRevision(q, s, i)
		if !ok {
			continue
		}
		c := d.Load.Tracker.Candidate(i, usualPrompt)
		c.Revision = held
		if s.Engine != nil && c.Slots == 0 {
			c.Slots = s.Engine.Slots
		}
		if q.unavailable(&c) || q.isUnlimitedCold(s, i, &c) {
			continue
		}
		if s.Engine == nil || d.canBeginInTime(q, m, &c) {
			l = append(l, c)
		}
	}
	for i := range l {
		q.decision.excluded.countCandidate(&l[i], q.Tried[l[i].Instance])
	}
	return l
}

// unavailable reports whether an upstream takes no request of this process for now, as it has asked for a pause or
// gives no permit.
func (q *Query) unavailable(c *placement.Candidate) bool {
	switch {
	case c.Rest > 0:
		q.decision.noteResting(c.Rest)
	case c.Limit != nil && (c.Limit.Permits == 0 || q.permitDenied(c)):
		q.decision.noteLimited(c.Limit.NextPermitIn)
	default:
		return false
	}
	return true
}

// isUnlimitedCold reports whether an upstream is a cold engine whose stager, which would issue the permits for its cold
// rate, does not report. Nothing then bounds what all gateways together send to it.
func (q *Query) isUnlimitedCold(s *catalog.Service, i *facts.Instance, c *placement.Candidate) bool {
	if !i.Cold || s.ColdRate <= 0 || s.Engine == nil || c.Fresh {
		return false
	}
	q.decision.excluded.cold++
	return true
}

// canBeginInTime reports whether an upstream's version may still take the request. It must begin there before the
// grace period of that version ends, and a stream that is continued must find the version that it began with.
func (d *Balancer) canBeginInTime(q *Query, m placement.LatencyModel, c *placement.Candidate) bool {
	if q.Model == "" {
		return true
	}
	if q.HeadSent && q.Revision > 0 && c.Revision != q.Revision {
		q.decision.excluded.other++
		return false
	}
	wait := time.Duration(waitSafetyFactor * float64(m.FirstEvent(c, q.PromptTokens)))
	transit, passage := c.Path.MaxDelay(q.now, d.SwapWithin)
	mayQueue := c.Congested || d.lacksConfig(c)
	if mayQueue {
		// A sudden queue cannot be seen in advance: a configuration of 0.6 MB occupied a link of 0.46 Mbit/s for 5 s that
		// had been idle before.
		transit, passage = d.SwapWithin, placement.PathQueued
	}
	c.ExpectedWait, c.Margin = wait, d.margin(q, c, swapMargin, wait+max(minTransitTime, transit))
	if c.Revision >= q.newestRevision {
		return true
	}
	versionEnd := d.Facts.ServableUntil(q.Model, c.Revision, d.SwapWithin)
	c.NeedsProbe = !versionEnd.IsZero() && versionEnd.Sub(q.now) < min(probeWindow, d.SwapWithin/2)
	if d.servableFor(q, c) && (!c.NeedsProbe || !q.permitDenied(c)) {
		return true
	}
	if q.PathsProven && !mayQueue {
		c.NeedsProbe, c.Margin = true, d.margin(q, c, provenMargin, wait+minTransitTime)
		if d.servableFor(q, c) {
			return true
		}
	}
	q.decision.noteVersionEnd(versionEnd)
	if passage == placement.PathQueued {
		q.decision.excluded.queued++
	} else {
		q.decision.excluded.over++
	}
	return false
}

// margin returns the minimum remaining lifetime of a candidate's version: the given one, or more where the request needs
// more time to begin, a still newer version was published recently, or a stream is continued.
func (d *Balancer) margin(q *Query, c *placement.Candidate, least, toBegin time.Duration) time.Duration {
	margin := max(least, toBegin)
	if c.Revision < q.newestRevision && q.now.Sub(d.Facts.OvertakenAt(q.Model, c.Revision)) < burstWindow {
		margin = max(margin, burstMargin)
	}
	if q.HeadSent {
		margin = max(margin, resumeMargin)
	}
	return margin
}

// servableFor reports whether a candidate's version remains servable for its margin.
func (d *Balancer) servableFor(q *Query, c *placement.Candidate) bool {
	return c.Revision >= d.Facts.MinRevision(q.Model, d.SwapWithin-c.Margin)
}

// permitDenied reports whether an upstream that requires a permit must not be asked for one again.
func (q *Query) permitDenied(c *placement.Candidate) bool {
	return q.NoMorePermits || q.PermitDenied[c.Instance]
}

// lacksConfig reports whether a VM lacked, at its last report, a configuration that this process has: it may be
// transferred over the VM's link at any moment. This is evaluated at each choice rather than when the report
// arrives, as a report from before this process had the configuration does not tell whether the VM has it.
func (d *Balancer) lacksConfig(c *placement.Candidate) bool {
	newest := d.Facts.Catalog()
	return newest != nil && c.ConfigVersion > 0 && c.ConfigVersion < newest.Revision
}

// servedRevision returns the version of the model that an upstream serves and whether it can take requests for it.
// A fresh report takes precedence over the upstream list.
func (d *Balancer) servedRevision(q *Query, s *catalog.Service, u *facts.Instance) (id.Revision, bool) {
	if s.Engine == nil {
		return 0, true
	}
	held := u.Held
	l, ok := d.Load.Tracker.Report(u)
	switch {
	case ok && l.Leaving:
		q.decision.excluded.leaving++
		return 0, false
	case ok && l.Closed:
		q.decision.excluded.closed++
		return 0, false
	case ok && l.Down:
		q.decision.excluded.down++
		return 0, false
	case ok:
		held = l.Held
	case u.Born.Before(l.Incarnation):
		// The list describes the upstream's previous process lifetime, whose weights are no longer held.
		held = nil
	}
	if q.Model == "" {
		return 0, true
	}
	r := facts.HeldRevision(held, q.Model)
	if r == 0 {
		q.decision.excluded.empty++
	}
	return r, r > 0
}
