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

// subscribe renews the subscriptions at the stagers of all engines in the list.
func (s *Subscriber) subscribe(ctx context.Context) {
	for ctx.Err() == nil {
		s.renew()
		s.pause(ctx)
	}
}

const (
	// offerEvery is how often a gateway looks whether what callers bring has changed so much that stagers should know
	// before the next subscription: by offerChange of what they were told and offerLeast requests a second.
	offerEvery  = 200 * time.Millisecond
	offerChange = 0.25
	offerLeast  = 5
)

// pause waits until the subscriptions are due: in time, when the list of upstreams changes, or when the load jumps. After a
// restart of all gateways nobody would else know for two seconds what the others let in.
func (s *Subscriber) pause(ctx context.Context) {
	changed := s.facts.Changed()
	told, each := s.offers.Total(), s.wantsEach()
	until := s.now().Add(subscribeEvery)
	for s.now().Before(until) {
		t := time.NewTimer(offerEvery)
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-changed:
			t.Stop()
			return
		case <-t.C:
			s.probe()
		}
		if math.Abs(s.offers.Total()-told) > offerLeast+offerChange*told || s.wantsEach() != each {
			return
		}
	}
}

// eachShare is the share of its requests that a gateway sends beyond its failure domain from which on it wants each report of the
// upstreams there. Below it a view that is a second old costs few requests; other shares have not been tried.
const eachShare = 0.1

// wantsEach says whether so much goes beyond the own failure domain that the choice there needs views as fresh as at home.
func (s *Subscriber) wantsEach() bool {
	return s.offers.CrossDomain.Total() > eachShare*s.offers.Total()
}

// subscription encodes what a group of stagers is told.
func (s *Subscriber) subscription(of group) text {
	heard, _ := s.facts.ConfigOffset()
	now := s.now()
	stamp := s.stamps.at(now)
	b, err := proto.Marshal(&pb.ReportSubscription{
		Sender: s.conn.LocalAddr().String(), ConfigOffset: uint64(heard), Domain: string(s.domain),
		Offered: s.offers.OnTime.PerSecond(of.pool), OfferedLate: s.offers.Late.PerSecond(of.pool), Each: of.each,
		Stamp: stamp, Proved: s.proved(of.pool),
	})
	if err != nil {
		s.log.Error().Err(err).Msg("a subscription can't be encoded")
	}
	return text{bytes: b, stamp: s.stamps.moment(stamp, now)}
}

// proved lists the versions of a pool's models that no record names: stagers beside empty upstreams don't know them.
func (s *Subscriber) proved(p id.Pool) (l []*pb.HeldWeights) {
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
	c := s.facts.Catalog()
	if c == nil {
		return
	}
	listed := map[string]bool{}
	texts := map[group]text{}
	for _, i := range s.facts.Instances() {
		listed[i.Address] = true
		if p := c.Services[i.Pool]; p != nil && p.Engine != nil {
			s.subscribeTo(i, texts)
		}
	}
	s.sweep(listed)
}

// probe renews the subscriptions at the stagers of upstreams that lag behind a newer version: which of them may get
// requests in the last seconds of their version rests on how lately the way there was proven, and by the usual renewals
// that is 1.2 s.
func (s *Subscriber) probe() {
	c := s.facts.Catalog()
	if c == nil {
		return
	}
	texts := map[group]text{}
	for _, i := range s.facts.Instances() {
		if p := c.Services[i.Pool]; p != nil && p.Engine != nil && (i.Domain == s.domain || s.each(i)) && s.lags(i) {
			s.subscribeTo(i, texts)
		}
	}
}

// each says whether each report of an upstream in another failure domain is wanted: where much is sent beyond the own
// one, and, of one that lags behind a newer version, where anything was sent lately.
func (s *Subscriber) each(i *facts.Instance) bool {
	return s.wantsEach() || (i.Domain != s.domain && s.tracker.RecentlyUsed(i.Address) && s.lags(i))
}

// lags says whether an upstream serves a version that a newer one follows.
func (s *Subscriber) lags(i *facts.Instance) bool {
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

// group is the stagers that are told the same.
type group struct {
	pool id.Pool
	each bool
}

// text is what a group of stagers is told, with the moment of its stamp.
type text struct {
	bytes []byte
	stamp time.Time
}

// subscribeTo sends a subscription to the stager beside an upstream; texts holds those made for groups before.
func (s *Subscriber) subscribeTo(i *facts.Instance, texts map[group]text) {
	host, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return
	}
	of := group{pool: i.Pool, each: s.each(i)}
	t, ok := texts[of]
	if !ok {
		t = s.subscription(of)
		texts[of] = t
	}
	to := &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}
	if _, err := s.conn.WriteToUDP(t.bytes, to); err != nil {
		s.vars.Add("send_failed", 1)
		return
	}
	s.sent(i.Domain, len(t.bytes))
	s.tracker.RecordProbe(i.Address, t.stamp)
}

// sweep forgets stagers whose upstreams are no longer listed.
func (s *Subscriber) sweep(listed map[string]bool) {
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
