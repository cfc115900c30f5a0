package reports

import (
	"math/rand/v2"
	"net"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
)

const (
	// newsRelays is the number of stagers that pass a gateway's news on, of different failure domains where there are
	// as many: of links that lose three packets in a hundred, all three copies are lost to a gateway once in 5,000
	// times.
	newsRelays = 3
	// newsPerSecond and newsAtOnce bound the news of a gateway: one upstream's end is one message, and one with all
	// upstreams of a failure domain at once says nothing of the requests there.
	newsPerSecond = 20
	newsAtOnce    = 40
	// passedPerSecond and passedAtOnce bound what a stager passes on: 10 upstreams' ends with requests of all of
	// today's gateways at each.
	passedPerSecond = 100
	passedAtOnce    = 200
)

// BroadcastCrashNews tells all gateways that subscribe to reports, by way of some stagers: a gateway knows no other gateways, and
// stagers know all.
func (s *Subscriber) BroadcastCrashNews(n *pb.CrashNews) {
	if !s.newsLimit.AllowN(s.now(), 1) {
		s.vars.Add("news_over_rate", 1)
		return
	}
	n.Sender = s.conn.LocalAddr().String()
	b, err := proto.Marshal(&pb.ReportSubscription{News: n})
	if err != nil {
		s.log.Error().Err(err).Msg("news can't be encoded")
		return
	}
	for _, i := range s.relays() {
		host, _, err := net.SplitHostPort(i.Address)
		if err != nil {
			continue
		}
		if _, err := s.conn.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}); err != nil {
			s.vars.Add("send_failed", 1)
			continue
		}
		s.sent(i.Domain, len(b))
	}
}

// relays picks stagers that have reported lately, by chance, one of each failure domain before a second of any.
func (s *Subscriber) relays() (l []*facts.Instance) {
	var rest []*facts.Instance
	taken := map[id.Domain]bool{}
	all := s.reporting()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, i := range all {
		if taken[i.Domain] {
			rest = append(rest, i)
			continue
		}
		taken[i.Domain] = true
		l = append(l, i)
	}
	l = append(l, rest...)
	return l[:min(newsRelays, len(l))]
}

// reporting lists the upstreams whose stagers have reported lately, or all with a stager where none has.
func (s *Subscriber) reporting() (l []*facts.Instance) {
	c := s.facts.Catalog()
	if c == nil {
		return nil
	}
	var silent []*facts.Instance
	for _, i := range s.facts.Instances() {
		if p := c.Services[i.Pool]; p == nil || p.Engine == nil {
			continue
		}
		if _, fresh := s.tracker.FreshReport(i.Address); fresh {
			l = append(l, i)
		} else {
			silent = append(silent, i)
		}
	}
	if len(l) == 0 {
		return silent
	}
	return l
}

// passOn sends a gateway's news to all subscribers.
func (r *Reporter) passOn(n *pb.CrashNews) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if !r.newsLimit.AllowN(now, 1) {
		r.vars.Add("news_over_rate", 1)
		return
	}
	b, err := proto.Marshal(&pb.UpstreamReport{News: n})
	if err != nil {
		r.log.Error().Err(err).Msg("news can't be encoded")
		return
	}
	r.vars.Add("news", 1)
	for name, s := range r.subscribers {
		if name == n.GetSender() || now.After(s.until) {
			continue
		}
		if _, err := r.conn.WriteToUDP(b, s.to); err != nil {
			r.vars.Add("send_failed", 1)
			continue
		}
		r.sent(s.domain, len(b))
	}
}
