package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/springrail/springrail/internal/placement"
	"github.com/springrail/springrail/internal/quarantine"
	"github.com/springrail/springrail/internal/upconn"
)

const (
	// quarantineRetryAfter is the Retry-After of a quarantined request. A shorter time is of no use, as an operator has to
	// lift the quarantine.
	quarantineRetryAfter = 10 * time.Minute
	// suspectRetryAfter is the Retry-After while upstreams have crashed under a request and it is not known yet
	// whether it was the cause. It exceeds the time in which an upstream begins a request that runs alone.
	suspectRetryAfter = time.Second
	// maxKnowledgeWait is how long a request waits until the gateway knows what is held.
	maxKnowledgeWait = 200 * time.Millisecond
)

// errQuarantined cancels a request that is queued at an upstream when the request is quarantined.
var errQuarantined = errors.New("upstreams have crashed under this request")

// identify sets what the detection of requests that crash upstreams recognises the request by.
func (f *callerRequest) identify() {
	r := f.httpRequest
	f.identity = quarantine.Identity{
		Fingerprint: quarantine.OfContent(r.Method, r.RequestURI, f.body), Use: quarantine.Of(r.Method, r.RequestURI, f.organisation, f.body),
		Organisation: f.organisation,
	}
	if f.organisation != "" {
		f.identity.Key = quarantine.OfKey(f.meta.Model, f.meta.Key)
	}
	for _, p := range f.meta.SharedParts {
		f.identity.Parts = append(f.identity.Parts, quarantine.OfPartContent(p))
		f.identity.PartUses = append(f.identity.PartUses, quarantine.OfPart(f.meta.Model, f.organisation, p))
	}
}

// checkSuspects returns what may be done with the request by the crashes that are known.
func (f *callerRequest) checkSuspects() quarantine.Verdict {
	g := f.gateway
	v := max(g.suspects.Check(f.identity), g.suspects.CheckSilent(f.identity, g.crashDetector.SilentUnder(f.identity.Fingerprint)))
	if !g.knowledge.Known() {
		v = max(v, quarantine.Once)
	}
	return v
}

// checkQuarantine admits the request unless upstreams have crashed under it. A suspected request is admitted only
// while no retry of it is in flight here. This guards against a request that crashes each upstream that begins it:
// with retries, one such request crashed 40 upstreams in 34 s, along with all other requests running there.
func (f *callerRequest) checkQuarantine() bool {
	g := f.gateway
	// Without upstreams the request is refused at once, later on.
	if len(g.facts.Instances()) > 0 && !g.knowledge.Wait(f.ctx, maxKnowledgeWait) {
		f.refuse("what is held is not known yet", min(suspectRetryAfter, g.knowledge.Remaining()))
		return false
	}
	v := f.checkSuspects()
	if f.exclusive = v == quarantine.Alone; f.exclusive {
		f.heldForOthers, _ = g.suspects.HeldForOthers(f.identity)
	}
	switch {
	case v == quarantine.Held:
		f.heldAs, _ = g.suspects.HeldAs(f.identity)
		f.refuse("held: upstreams have crashed under this request", quarantineRetryAfter)
	case v == quarantine.Waits:
		f.refuse("upstreams have just crashed under this request", suspectRetryAfter)
	case !g.register(f):
		f.refuse("a repeat of this request is tried alone", suspectRetryAfter)
	default:
		return true
	}
	return false
}

// register adds a request to those in flight, unless it must run alone and another one like it is in flight, here or at another
// gateway.
func (g *Gateway) register(f *callerRequest) bool {
	if !g.requests.add(f) {
		return false
	}
	tried := f.heldForOthers
	if tried == (quarantine.Fingerprint{}) {
		tried = f.identity.Fingerprint
	}
	if !f.exclusive || g.suspects.Try(tried) {
		return true
	}
	g.requests.remove(f)
	return false
}

// unregister removes a request from those in flight. A try that was at no upstream, or was refused, has had no outcome.
func (g *Gateway) unregister(f *callerRequest) {
	g.requests.remove(f)
	if f.exclusive && f.heldForOthers == (quarantine.Fingerprint{}) && !f.outcomeUnknown {
		g.suspects.EndTry(f.identity.Fingerprint)
	}
}

// inFlightRequest describes the request for the detection of requests that crash upstreams.
func (f *callerRequest) inFlightRequest() quarantine.InFlightRequest {
	return quarantine.InFlightRequest{
		Fingerprint: f.identity.Fingerprint, Use: f.identity.Use, Organisation: f.organisation, Key: f.identity.Key,
		Parts: f.identity.Parts, PartUses: f.identity.PartUses,
		Attempt: quarantine.CallerAttemptOf(f.meta.Request), Alone: f.exclusive,
	}
}

// upstreamIncarnation identifies the process lifetime of the upstream that the request was sent to.
func (t *attempt) upstreamIncarnation() quarantine.Incarnation {
	return quarantine.Incarnation{Address: t.choice.Address, Instance: t.choice.Instance, Born: t.choice.Incarnation}
}

// reportAbandoned records that the request was given up at its upstream, which may begin it nevertheless.
func (t *attempt) reportAbandoned() {
	t.request.outcomeUnknown = true
	g := t.request.gateway
	if g.crashDetector.RequestAbandoned(t.upstreamIncarnation(), t.followed.Request()) {
		g.metrics.count("given_up_in_silence")
	}
}

// observeProcess returns an observer of an upstream's process that was sent a request at a given time. An upstream that does not
// respond may be partitioned, frozen or without power, which no request causes; one that refuses connections has ended.
func (g *Gateway) observeProcess(s quarantine.Incarnation, sentAt time.Time) quarantine.Observer {
	w := g.connections.Watch(s.Address, s.Born)
	look := func(ctx context.Context, since time.Time, by quarantine.Means) quarantine.Sign {
		sign := g.processSign(s, sentAt, since, by)
		if by != quarantine.ByConnection || sign == quarantine.Ended || sign == quarantine.Runs {
			return sign
		}
		if c := g.connectionSign(ctx, s, w); c != quarantine.NoSign {
			return c
		}
		return sign
	}
	lastRan := func() time.Time { return g.loadSources.Tracker.LastRan(s.Address, s.Born, sentAt) }
	return quarantine.Observer{Look: look, LastRan: lastRan, Close: w.Close}
}

// processSign returns what the stager beside an upstream and the list of upstreams show of its process, which was sent a request
// at a given time.
func (g *Gateway) processSign(s quarantine.Incarnation, sentAt, since time.Time, by quarantine.Means) quarantine.Sign {
	switch g.loadSources.Tracker.ProcessSince(s.Address, s.Born, since) {
	case placement.ProcessEnded:
		return g.processEnded(s, "report")
	case placement.ProcessDown:
		if by != quarantine.ByRestart {
			return g.processEnded(s, "report")
		}
	case placement.ProcessRuns:
		return quarantine.Runs
	}
	if g.facts.AnnouncedLeaving(s.Instance, s.Born) {
		return quarantine.NoSign
	}
	if g.facts.HasSuccessor(s.Instance, s.Address, sentAt) {
		return g.processEnded(s, "list")
	}
	if g.facts.HasLapsed(s.Instance, sentAt) {
		return quarantine.Lapsed
	}
	return quarantine.NoSign
}

// watchList looks for ended processes at each change of the list of upstreams until the context ends.
func (g *Gateway) watchList(ctx context.Context) {
	for {
		changed := g.facts.Changed()
		g.crashDetector.ListChanged()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// connectionSign returns what a connection to an upstream shows of its process.
func (g *Gateway) connectionSign(ctx context.Context, s quarantine.Incarnation, w *upconn.Watch) quarantine.Sign {
	p := w.Look(ctx)
	g.metrics.count("crash_checks_" + p.String())
	switch p {
	case upconn.Refused:
		return g.processEnded(s, "connection")
	case upconn.TurnedAway:
		return quarantine.TurnedAway
	default:
		return quarantine.NoSign
	}
}

// processEnded records by what it was found that an upstream's process has ended.
func (g *Gateway) processEnded(s quarantine.Incarnation, by string) quarantine.Sign {
	g.metrics.count("ends_found_by_" + by)
	g.log.Info().Str("instance", string(s.Instance)).Str("upstream", s.Address).Str("by", by).
		Msg("the upstream process has ended under requests that broke off")
	return quarantine.Ended
}
