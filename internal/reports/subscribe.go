package reports

import (
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

// eachShare is the share of its requests that a gateway sends beyond its failure domain from which on it wants each report of the
// upstreams there. Below it a view that is a second old costs few requests; other shares have not been tried.
const eachShare = 0.1

// wantsEach says whether so much goes beyond the own failure domain that the choice there needs views as fresh as at home.
func (s *Subscriber) wantsEach() bool {
	return s.offers.Far.Total() > eachShare*s.offers.Total()
}

// round is what one renewal of all subscriptions shares.
type round struct {
	each bool
	// near is by pool what stagers of the own failure domain are told, far what others are, leave what those that are left.
	near, far, leave map[id.Pool][]byte
}

func newRound(each bool) *round {
	return &round{each: each, near: map[id.Pool][]byte{}, far: map[id.Pool][]byte{}, leave: map[id.Pool][]byte{}}
}

// subscription encodes what the stagers of a pool are told.
func (s *Subscriber) subscription(p id.Pool) []byte {
	return s.encode(s.base(p))
}

// base is what each subscription to the stagers of a pool tells.
func (s *Subscriber) base(p id.Pool) *pb.ReportSubscription {
	heard, _ := s.facts.Hearing()
	return &pb.ReportSubscription{
		Proved: s.proved(p),
		Sender: s.name, ConfigOffset: heard, Domain: string(s.domain),
		Offered: s.offers.First.PerSecond(p), OfferedLate: s.offers.Late.PerSecond(p), Each: s.wantsEach(),
		Stamp: s.stamps.at(s.now()),
	}
}

// proved lists the versions of a pool's models that no record names: stagers beside empty upstreams don't know them.
func (s *Subscriber) proved(p id.Pool) (l []*pb.HeldWeights) {
	c := s.facts.Catalog()
	if c == nil || c.Services[p] == nil || c.Services[p].Engine == nil {
		return nil
	}
	for _, m := range c.Services[p].Engine.Models {
		if r := s.facts.Proved(m); r > 0 {
			l = append(l, &pb.HeldWeights{Model: string(m), Revision: uint64(r)})
		}
	}
	return l
}

// farSubscription adds what the whole failure domain brings, as beyond it not all gateways subscribe.
func (s *Subscriber) farSubscription(p id.Pool) []byte {
	b := s.base(p)
	if o, ok := s.home(p); ok {
		b.DomainOffered, b.DomainOfferedLate = o.First, o.Late
		b.DomainGateways = uint32(s.relay.size())
	}
	return s.encode(b)
}

// leaving ends a subscription: without it a gateway that wanted each report got 17 more of each upstream, until it ended by itself.
func (s *Subscriber) leaving(p id.Pool) []byte {
	b := s.base(p)
	b.Leave = true
	return s.encode(b)
}

func (s *Subscriber) encode(m *pb.ReportSubscription) []byte {
	b, err := proto.Marshal(m)
	if err != nil {
		s.log.Error().Err(err).Msg("a subscription can't be encoded")
	}
	return b
}

// home is what callers bring to the own failure domain for a pool, and whether that is known: only stagers of the domain count,
// as others have it from here.
func (s *Subscriber) home(p id.Pool) (placement.Offered, bool) {
	most, ok := placement.Demand{}, false
	now := s.now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.facts.Instances() {
		if i.Pool != p || i.Domain != s.domain {
			continue
		}
		if h := s.stagers[i.Address]; h != nil && now.Before(h.demandUntil) {
			most.Raise(s.domain, h.demand[s.domain])
			ok = true
		}
	}
	return most[s.domain], ok
}

// homeTotal is what callers bring to the own failure domain for all pools.
func (s *Subscriber) homeTotal() float64 {
	now, of := s.now(), map[id.Pool]float64{}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.facts.Instances() {
		if h := s.stagers[i.Address]; i.Domain == s.domain && h != nil && now.Before(h.demandUntil) {
			of[i.Pool] = max(of[i.Pool], h.demand[s.domain].First)
		}
	}
	total := 0.0
	for _, n := range of {
		total += n
	}
	return total
}

// renew subscribes at the stagers of all engines of the own failure domain, and beyond it where no other gateway passes reports on.
func (s *Subscriber) renew() {
	if s.facts.Catalog() == nil {
		return
	}
	engines, listed := s.engines()
	known := map[id.Pool]bool{}
	var far []string
	for _, i := range engines {
		if _, asked := known[i.Pool]; !asked {
			_, known[i.Pool] = s.home(i.Pool)
		}
		if i.Domain != s.domain && known[i.Pool] {
			far = append(far, i.Address)
		}
	}
	s.relay.set(s.facts.Gateways(), far)
	o := newRound(s.wantsEach())
	for _, i := range engines {
		if i.Domain == s.domain {
			s.ask(o.near, i, s.subscription)
			continue
		}
		switch ask, leave := s.relay.subscribes(i.Address, o.each); {
		case ask:
			s.ask(o.far, i, s.farSubscription)
		case leave:
			s.ask(o.leave, i, s.leaving)
		}
	}
	s.sweep(listed)
	s.relayLook()
}

// engines lists the upstreams with a stager, and the addresses of all that the list has.
func (s *Subscriber) engines() (l []*facts.Instance, listed map[string]bool) {
	c := s.facts.Catalog()
	listed = map[string]bool{}
	for _, i := range s.facts.Instances() {
		listed[i.Address] = true
		if p := c.Services[i.Pool]; p != nil && p.Engine != nil {
			l = append(l, i)
		}
	}
	return l, listed
}

// ask sends one subscription; the texts of a round are made once a pool.
func (s *Subscriber) ask(of map[id.Pool][]byte, i *facts.Instance, text func(p id.Pool) []byte) {
	host, _, err := net.SplitHostPort(i.Address)
	if err != nil {
		return
	}
	if of[i.Pool] == nil {
		of[i.Pool] = text(i.Pool)
	}
	if err := s.write(of[i.Pool], &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}); err != nil {
		s.vars.Add("send_failed", 1)
		return
	}
	s.sent(i.Domain, len(of[i.Pool]))
}

// pass hands a report from beyond the failure domain to the other gateways of it.
func (s *Subscriber) pass(r *pb.UpstreamReport) {
	b, err := proto.Marshal(r)
	if err != nil {
		s.log.Error().Err(err).Msg("a report can't be passed on")
		return
	}
	for _, g := range s.relay.others() {
		to, err := netip.ParseAddrPort(g)
		if err != nil {
			continue
		}
		if err := s.write(b, net.UDPAddrFromAddrPort(to)); err != nil {
			s.vars.Add("pass_failed", 1)
			continue
		}
		s.passed(len(b))
	}
}

// relayLook passes on what other relays should have and have not, and subscribes where nobody passes reports on any more.
func (s *Subscriber) relayLook() {
	late, silent := s.relay.look()
	for _, r := range late {
		s.vars.Add("passed_for_another", 1)
		s.pass(r)
	}
	if len(silent) == 0 {
		return
	}
	s.vars.Add("relays_silent", int64(len(silent)))
	is := map[string]bool{}
	for _, a := range silent {
		is[a] = true
	}
	far := map[id.Pool][]byte{}
	engines, _ := s.engines()
	for _, i := range engines {
		if is[i.Address] {
			s.ask(far, i, s.farSubscription)
		}
	}
}
