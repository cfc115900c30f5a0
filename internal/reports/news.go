package reports

import (
	"cmp"
	"math"
	"math/rand/v2"
	"net"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/rendezvous"
)

const (
	// newsRelays is the number of stagers that forward a gateway's crash news where every gateway subscribes to every
	// stager, in different failure domains where possible. On links that lose 3 % of the packets, a gateway misses all
	// three copies once in 5,000 times.
	newsRelays = 3
	// newsPerSecond and newsBurst limit the rate of crash news that a gateway sends, and apart from that the rate of its
	// news of what is held. The crash of one upstream takes one message. If all upstreams of a failure domain crash at
	// once, that says nothing about the requests there.
	newsPerSecond = 20
	newsBurst     = 40
	// forwardedPerSecond and forwardedBurst limit the rate of crash news that a stager forwards, and apart from that the
	// rate of news of what is held: enough for 10 crashed upstreams with requests of all gateways at each.
	forwardedPerSecond = 100
	forwardedBurst     = 200
)

// BroadcastCrashNews sends crash news to all gateways that subscribe to reports. It goes through a few stagers, because
// a gateway doesn't know the other gateways and a stager knows all of its subscribers.
// News of what is held goes through the same stagers each time, which remember it.
func (s *Subscriber) BroadcastCrashNews(n *pb.CrashNews) {
	limit := s.newsLimit
	if heldKey(n) != "" {
		limit = s.heldNewsLimit
	}
	if !limit.AllowN(s.now(), 1) {
		s.vars.Add("news_over_rate", 1)
		return
	}
	n.Sender = s.self()
	relays := s.pickRelays(heldKey(n))
	s.sendNews(n, relays)
	if heldKey(n) != "" {
		n = proto.CloneOf(n)
		n.RememberOnly = true
		s.sendNews(n, s.pickMoreToRemember(heldKey(n), relays))
	}
}

// sendNews sends crash news to stagers.
func (s *Subscriber) sendNews(n *pb.CrashNews, to []*facts.Instance) {
	b, err := proto.Marshal(&pb.ReportSubscription{News: n})
	if err != nil {
		s.log.Error().Err(err).Msg("failed to encode crash news")
		return
	}
	for _, i := range to {
		host, _, err := net.SplitHostPort(i.Address)
		if err != nil {
			continue
		}
		if _, err := s.conn.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}); err != nil {
			s.vars.Add("send_failed", 1)
			continue
		}
		s.onSent(i.Domain, len(b))
	}
}

// heldKey returns the fingerprint of what crash news say is held, or no longer held; empty if they say neither.
func heldKey(n *pb.CrashNews) string {
	switch {
	case len(n.GetHeld()) > 0:
		return string(n.GetHeld()[0].GetFingerprint())
	case len(n.GetReleased()) > 0:
		return string(n.GetReleased()[0])
	default:
		return ""
	}
}

// orderRelays puts stagers in random order, or in the order that all gateways compute for a key.
func orderRelays(l []*facts.Instance, key string) {
	if key == "" {
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
		return
	}
	weights := make(map[*facts.Instance]uint64, len(l))
	for _, i := range l {
		weights[i] = rendezvous.Weight(key, id.VM(i.Address))
	}
	slices.SortFunc(l, func(a, b *facts.Instance) int { return cmp.Compare(weights[b], weights[a]) })
}

// pickRelays picks stagers at random, or by a key. Where gateways subscribe to subsets, it picks enough in each failure domain
// that the gateways there are covered.
func (s *Subscriber) pickRelays(key string) []*facts.Instance {
	var l []*facts.Instance
	by := s.groupStagers()
	for g, stagers := range by {
		sizes := s.sizesFor(g.pool, by)
		if sizes == everyStager {
			continue
		}
		// The gateways of each domain choose the size of their subset as this one does for its own.
		n := relaysPerDomain(len(stagers), sizes.local)
		orderRelays(stagers, key)
		l = append(l, stagers[:n]...)
	}
	if len(l) == 0 {
		return s.pickRecentRelays(key)
	}
	return l
}

// maxHeldCopies is the number of stagers that remember a hold; only those that forward it send it to gateways at once.
const maxHeldCopies = 12

// pickMoreToRemember picks stagers by a key, beside those that forward the news, that are to remember what is held.
func (s *Subscriber) pickMoreToRemember(key string, relays []*facts.Instance) (l []*facts.Instance) {
	all := s.relayCandidates()
	orderRelays(all, key)
	for _, i := range all {
		if len(relays)+len(l) < maxHeldCopies && !slices.Contains(relays, i) {
			l = append(l, i)
		}
	}
	return l
}

// maxUncoveredShare is the largest share of gateways that may subscribe to none of the stagers that forward crash news.
const maxUncoveredShare = 0.001

// relaysPerDomain returns through how many stagers of each failure domain crash news has to go, so that nearly every
// gateway there subscribes to one of them, where each gateway subscribes to a subset of the given size.
func relaysPerDomain(stagers, size int) int {
	if size >= stagers {
		return min(stagers, newsRelays)
	}
	missed := math.Log(1 - float64(size)/float64(stagers))
	return min(stagers, max(newsRelays, int(math.Ceil(math.Log(maxUncoveredShare)/missed))))
}

// pickRecentRelays picks stagers, at random or by a key, that have reported recently, one in each failure domain before
// a second one in any.
func (s *Subscriber) pickRecentRelays(key string) (l []*facts.Instance) {
	var rest []*facts.Instance
	covered := map[id.Domain]bool{}
	all := s.relayCandidates()
	orderRelays(all, key)
	for _, i := range all {
		if covered[i.Domain] {
			rest = append(rest, i)
			continue
		}
		covered[i.Domain] = true
		l = append(l, i)
	}
	l = append(l, rest...)
	return l[:min(newsRelays, len(l))]
}

// relayCandidates lists the upstreams whose stagers have reported recently, or all upstreams that have a stager if none
// has.
func (s *Subscriber) relayCandidates() (l []*facts.Instance) {
	c := s.facts.Catalog()
	if c == nil {
		return nil
	}
	var stale []*facts.Instance
	for _, i := range s.facts.Instances() {
		if p := c.Services[i.Pool]; p == nil || p.Engine == nil {
			continue
		}
		if _, fresh := s.tracker.FreshReport(i.Address); fresh {
			l = append(l, i)
		} else {
			stale = append(stale, i)
		}
	}
	if len(l) == 0 {
		return stale
	}
	return l
}

// forwardNews sends a gateway's crash news to all other subscribers.
func (r *Reporter) forwardNews(n *pb.CrashNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	r.heldMemory.note(n, now)
	r.crashMemory.note(n, r.heldMemory.list(now), now)
	if r.heldMemory.noteAnswer(n, now) {
		r.log.Info().Str("gateway", n.GetSender()).Uint32("held", n.GetAnswer().GetHolds()).Msg("a gateway has answered what is held")
	}
	if n.GetRememberOnly() || len(n.GetReleased()) > 0 {
		// All gateways that release the same hold say so.
		return
	}
	limit := r.newsLimit
	if heldKey(n) != "" {
		limit = r.heldNewsLimit
	}
	if !limit.AllowN(now, 1) {
		r.vars.Add("news_over_rate", 1)
		return
	}
	b, err := proto.Marshal(&pb.UpstreamReport{News: n})
	if err != nil {
		r.log.Error().Err(err).Msg("failed to encode crash news")
		return
	}
	r.vars.Add("news", 1)
	for name, s := range r.subscribers {
		if name == n.GetSender() || now.After(s.expiresAt) {
			continue
		}
		if _, err := r.conn.WriteToUDP(b, s.addr); err != nil {
			r.vars.Add("send_failed", 1)
			continue
		}
		r.onSent(s.domain, len(b))
	}
}
