package reports

import (
	"context"
	"math"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

// subscribe renews the subscriptions at the stagers of the gateway's subset until the context ends.
func (s *Subscriber) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		s.renew()
		s.waitForRenewal(ctx)
	}
}

const (
	// loadCheckInterval is how often a gateway compares its offered load with what it last sent to the stagers. It
	// renews its subscriptions early if the load has changed by more than loadChangeShare of that plus minLoadChange
	// requests per second.
	loadCheckInterval = 200 * time.Millisecond
	loadChangeShare   = 0.25
	minLoadChange     = 5
)

// waitForRenewal waits until the subscriptions are due for renewal: after subscribeInterval, or earlier if the upstream
// list, the load or the need for every report changes. Without the early renewals, gateways that all restart at the same
// time would not know each other's load for two seconds.
func (s *Subscriber) waitForRenewal(ctx context.Context) {
	changed := s.facts.Changed()
	sentTotal, sentEvery := s.demandMeter.Total(), s.wantsEveryReport()
	until := s.now().Add(subscribeInterval)
	for s.now().Before(until) {
		t := time.NewTimer(loadCheckInterval)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-changed:
			t.Stop()
			return
		case <-s.askNow:
			t.Stop()
			return
		case <-t.C:
			if s.heldQuestion.Load() != 0 {
				return
			}
			s.renewOutdated()
		}
		if math.Abs(s.demandMeter.Total()-sentTotal) > minLoadChange+loadChangeShare*sentTotal || s.wantsEveryReport() != sentEvery {
			return
		}
	}
}

// everyReportShare is the share of a gateway's requests sent to other failure domains above which it requests every
// report of the upstreams there. Below it, load data that is one second old misroutes few requests.
const everyReportShare = 0.1

// wantsEveryReport reports whether so many requests go to other failure domains that the choice among upstreams there
// needs load data as fresh as in the gateway's own domain.
func (s *Subscriber) wantsEveryReport() bool {
	return s.demandMeter.CrossDomain.Total() > everyReportShare*s.demandMeter.Total()
}

// encodeSubscription encodes the subscription that a group of stagers receives.
func (s *Subscriber) encodeSubscription(g subscriptionGroup) encodedSubscription {
	offset, _ := s.facts.ConfigOffset()
	now := s.now()
	stamp := s.stamps.encode(now)
	b, err := proto.Marshal(&pb.ReportSubscription{
		Sender: s.self(), ConfigOffset: uint64(offset), Domain: string(s.domain),
		Offered: s.demandMeter.OnTime.PerSecond(g.pool), OfferedLate: s.demandMeter.Late.PerSecond(g.pool), Each: g.everyReport,
		Stamp: stamp, Proved: s.unrecordedVersions(g.pool), Gateways: uint32(max(1, len(s.facts.Gateways()))),
		HeldQuestion: s.heldQuestion.Load(),
	})
	if err != nil {
		s.log.Error().Err(err).Msg("failed to encode a subscription")
	}
	return encodedSubscription{datagram: b, stampedAt: s.stamps.decode(stamp, now)}
}

// unrecordedVersions lists the versions of a pool's models that this gateway knows of without a record. Stagers of
// upstreams that hold no weights don't know them.
func (s *Subscriber) unrecordedVersions(p id.Pool) (l []*pb.HeldWeights) {
	c := s.facts.Catalog()
	if c == nil || c.Services[p] == nil || c.Services[p].Engine == nil {
		return nil
	}
	for _, m := range c.Services[p].Engine.Models {
		if r := s.facts.ObservedRevision(m); r > 0 {
			l = append(l, &pb.HeldWeights{Model: string(m), Revision: uint64(r)})
		}
	}
	return l
}

func (s *Subscriber) renew() {
	if s.facts.Catalog() == nil {
		return
	}
	encoded := map[subscriptionGroup]encodedSubscription{}
	question := s.heldQuestion.Load()
	var asked []string
	for _, i := range s.subset() {
		s.subscribeTo(i, encoded)
		asked = append(asked, i.Address)
	}
	if question != 0 {
		s.OnHeldAsked(question, asked, len(s.facts.Instances()) > 0)
	}
	listed := map[string]bool{}
	for _, i := range s.facts.Instances() {
		listed[i.Address] = true
	}
	s.forgetUnlisted(listed)
}

// AskHeld makes subscriptions ask stagers what they remember of holds, at once and until it is called with 0.
func (s *Subscriber) AskHeld(question uint64) {
	s.heldQuestion.Store(question)
	if question == 0 {
		return
	}
	select {
	case s.askNow <- struct{}{}:
	default:
	}
}

// renewOutdated renews the subscriptions at the stagers of upstreams that serve an outdated version. Which of them may
// get requests in the last seconds of their version depends on how recently their connection was confirmed, and the
// regular renewals confirm it only every 1.2 s.
func (s *Subscriber) renewOutdated() {
	encoded := map[subscriptionGroup]encodedSubscription{}
	for _, i := range s.subset() {
		if (i.Domain == s.domain || s.wantsEveryReportOf(i)) && s.servesOutdated(i) {
			s.subscribeTo(i, encoded)
		}
	}
}

// wantsEveryReportOf reports whether every report of an upstream is requested: if a large share of the requests goes to
// other failure domains, or if the upstream is in another failure domain, serves an outdated version and was sent
// requests recently.
func (s *Subscriber) wantsEveryReportOf(i *facts.Instance) bool {
	return s.wantsEveryReport() || (i.Domain != s.domain && s.tracker.RecentlyUsed(i.Address) && s.servesOutdated(i))
}

// servesOutdated reports whether an upstream serves a version for which a newer one has been published.
func (s *Subscriber) servesOutdated(i *facts.Instance) bool {
	held := i.Held
	if r, ok := s.tracker.Report(i); ok {
		held = r.Held
	}
	for _, h := range held {
		if h.Revision < s.facts.Wanted(h.Model).Revision {
			return true
		}
	}
	return false
}

// subscriptionGroup identifies stagers that receive the same subscription.
type subscriptionGroup struct {
	pool        id.Pool
	everyReport bool
}

// encodedSubscription is the datagram for a group of stagers, with the time of its stamp.
type encodedSubscription struct {
	datagram  []byte
	stampedAt time.Time
}

// subscribeTo sends a subscription to an upstream's stager; encoded caches the datagrams of the groups.
func (s *Subscriber) subscribeTo(i *facts.Instance, encoded map[subscriptionGroup]encodedSubscription) {
	host, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return
	}
	g := subscriptionGroup{pool: i.Pool, everyReport: s.wantsEveryReportOf(i)}
	t, ok := encoded[g]
	if !ok {
		t = s.encodeSubscription(g)
		encoded[g] = t
	}
	addr := &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}
	if _, err := s.conn.WriteToUDP(t.datagram, addr); err != nil {
		s.vars.Add("send_failed", 1)
		return
	}
	s.onSent(i.Domain, len(t.datagram))
	s.tracker.RecordProbe(i.Address, t.stampedAt)
}

// forgetUnlisted removes the state of stagers whose upstreams are no longer listed.
func (s *Subscriber) forgetUnlisted(listed map[string]bool) {
	s.mu.Lock()
	for a := range s.stagers {
		if !listed[a] {
			delete(s.stagers, a)
		}
	}
	s.mu.Unlock()
	s.tracker.Sweep(listed)
	s.facts.SweepAnnouncements()
}
