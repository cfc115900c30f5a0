package reports

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// questions are those for permits that have had no answer yet.
type questions struct {
	mu      sync.Mutex
	newest  uint64
	waiting map[uint64]chan uint64
}

// add begins a question.
func (q *questions) add() (number uint64, answer chan uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.newest++
	answer = make(chan uint64, 1)
	q.waiting[q.newest] = answer
	return q.newest, answer
}

// answer ends a question; one that has ended already is passed over.
func (q *questions) answer(number, permit uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c := q.waiting[number]; c != nil {
		c <- permit
		delete(q.waiting, number)
	}
}

// drop ends a question that nobody waits for any more.
func (q *questions) drop(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.waiting, number)
}

// RequestPermit asks the stager beside an upstream for a permit, and returns its number, or 0 where there is none, and
// whether an answer came before the context ended.
func (s *Subscriber) RequestPermit(ctx context.Context, address string, born id.Incarnation) (permit uint64, answered bool) {
	number, answer := s.questions.add()
	defer s.questions.drop(number)
	s.tellStager(address, &pb.PermitRequest{Number: number, Born: uint64(born)})
	select {
	case <-ctx.Done():
		return 0, false
	case p := <-answer:
		return p, true
	}
}

// SendLimit tells the stager beside an upstream which limit an answer named.
func (s *Subscriber) SendLimit(address string, born id.Incarnation, r throttle.Rate) {
	s.tellStager(address, &pb.PermitRequest{Born: uint64(born), Named: proto.Float64(float64(r))})
}

// SendLimitEnd tells the stager beside an upstream that the answer to the request with a permit named no limit.
func (s *Subscriber) SendLimitEnd(address string, born id.Incarnation, permit uint64) {
	s.tellStager(address, &pb.PermitRequest{Born: uint64(born), Ended: permit})
}

func (s *Subscriber) tellStager(address string, m *pb.PermitRequest) {
	m.Sender = s.conn.LocalAddr().String()
	b, err := proto.Marshal(&pb.ReportSubscription{Permit: m})
	if err != nil {
		s.log.Error().Err(err).Msg("a question for a permit can't be encoded")
		return
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return
	}
	if _, err := s.conn.WriteToUDP(b, &net.UDPAddr{IP: net.ParseIP(host), Port: s.port}); err != nil {
		s.vars.Add("send_failed", 1)
		return
	}
	s.sent(s.domainOf(address), len(b))
}

// domainOf is the failure domain of a listed upstream.
func (s *Subscriber) domainOf(address string) id.Domain {
	for _, i := range s.facts.Instances() {
		if i.Address == address {
			return i.Domain
		}
	}
	return s.domain
}

// takePermit takes the answer to a question, with the limit beside it.
func (s *Subscriber) takePermit(r *pb.UpstreamReport) {
	s.vars.Add("permit_answers", 1)
	s.questions.answer(r.GetPermit().GetNumber(), r.GetPermit().GetPermit())
	s.tracker.RecordLimitAnnouncement(r.GetAddress(), told(r))
}

// told reads what a stager tells of its upstream's limit. Rates that are none are as if it told nothing.
func told(r *pb.UpstreamReport) throttle.Announcement {
	l := r.GetLimit()
	t := throttle.Announcement{Incarnation: r.GetIncarnation()}
	switch {
	case l == nil:
	case l.GetOver():
		t.State = throttle.Unlimited
	case throttle.ValidRate(l.GetRate()) && throttle.ValidRate(l.GetPermits()):
		t.LimitInfo, t.Permits, t.FromUpstream = throttle.LimitInfo{State: throttle.Limited, Rate: throttle.Rate(l.GetRate())}, l.GetPermits(), l.GetReported()
	}
	return t
}

// retellEvery is how often a gateway tells a stager a limit that the stager does not tell.
const retellEvery = time.Second

// retell tells a stager that has started again the limit of its upstream that this gateway knows.
func (s *Subscriber) retell(r *pb.UpstreamReport) {
	if r.GetLimit() != nil {
		return
	}
	rate, born, untold := s.tracker.UnannouncedLimit(r.GetAddress(), r.GetIncarnation())
	if untold && s.mayRetell(r.GetAddress()) {
		s.SendLimit(r.GetAddress(), born, rate)
	}
}

// mayRetell says whether it is time to tell a stager a limit again, and takes it as told.
func (s *Subscriber) mayRetell(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, now := s.stagers[address], s.now()
	if h == nil || now.Before(h.retell) {
		return false
	}
	h.retell = now.Add(retellEvery)
	return true
}

// takePermit gives a gateway a permit for the upstream beside this process, or takes what the gateway tells of the
// upstream's limit.
func (r *Reporter) takePermit(m *pb.PermitRequest) {
	born := id.Incarnation(m.GetBorn())
	if m.Named != nil && throttle.ValidRate(m.GetNamed()) {
		r.limiter.RecordGatewayLimit(throttle.Rate(m.GetNamed()), born)
	}
	if m.GetEnded() > 0 {
		r.limiter.RecordGatewayEnd(m.GetEnded(), born)
	}
	if m.GetNumber() == 0 {
		return
	}
	to, err := net.ResolveUDPAddr("udp4", m.GetSender())
	if err != nil || to.IP == nil {
		r.vars.Add("malformed", 1)
		return
	}
	r.answerPermit(to, m)
}

// answerPermit answers a gateway's question.
func (r *Reporter) answerPermit(to *net.UDPAddr, m *pb.PermitRequest) {
	a := &pb.PermitAnswer{Number: m.GetNumber(), Permit: r.limiter.IssuePermit()}
	r.mu.Lock()
	address, domain := r.address, r.subscribers[m.GetSender()].domain
	r.mu.Unlock()
	b, err := proto.Marshal(&pb.UpstreamReport{Address: address, Incarnation: r.incarnation, Permit: a, Limit: r.limit()})
	if err != nil {
		r.log.Error().Err(err).Msg("an answer with a permit can't be encoded")
		return
	}
	if a.GetPermit() > 0 {
		r.vars.Add("permits", 1)
	} else {
		r.vars.Add("permits_refused", 1)
	}
	if _, err := r.conn.WriteToUDP(b, to); err != nil {
		r.vars.Add("send_failed", 1)
		return
	}
	r.sent(domain, len(b))
}

// limit is what gateways are told of the upstream's limit; nil while there is nothing to tell.
func (r *Reporter) limit() *pb.UpstreamLimit {
	t := r.limiter.Announce()
	switch t.State {
	case throttle.Limited:
		return &pb.UpstreamLimit{Rate: float64(t.Rate), Permits: t.Permits, Reported: t.FromUpstream}
	case throttle.Unlimited:
		return &pb.UpstreamLimit{Over: true}
	default:
		return nil
	}
}
