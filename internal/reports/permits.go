package reports

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

// maxSettledPermits bounds the ended permit requests that are remembered. They are remembered for longer than a reservation
// is held that is neither taken nor released, unless a gateway sends more than six thousand a second.
const maxSettledPermits = 256

// pendingPermits holds the permit requests that await an answer.
type pendingPermits struct {
	mu         sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan *pb.PermitAnswer
	// settled has the permits of the requests that ended last, 0 for none, by number; settledOrder has their numbers from
	// the place next on, the oldest first.
	settled      map[uint64]uint64
	settledOrder [maxSettledPermits]uint64
	next         int
}

// newPendingPermits returns a set without requests. Numbers start at random, so that an answer to an earlier process at the
// same address is not taken for one to this process.
func newPendingPermits() pendingPermits {
	return pendingPermits{lastNumber: uint64(rand.Uint32()), pending: map[uint64]chan *pb.PermitAnswer{}, settled: map[uint64]uint64{}}
}

// settle ends a permit request with its permit. The caller holds the lock.
func (q *pendingPermits) settle(number, permit uint64) {
	delete(q.pending, number)
	delete(q.settled, q.settledOrder[q.next])
	q.settled[number], q.settledOrder[q.next] = permit, number
	q.next = (q.next + 1) % maxSettledPermits
}

// add registers a permit request and returns its number and the channel that receives its answer.
func (q *pendingPermits) add() (number uint64, answer chan *pb.PermitAnswer) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lastNumber++
	answer = make(chan *pb.PermitAnswer, 1)
	q.pending[q.lastNumber] = answer
	return q.lastNumber, answer
}

// resolve delivers the answer to a permit request. It returns false if the permit in it is not used: its request was given
// up before, or got another permit. A duplicate of an answer that was delivered is used.
func (q *pendingPermits) resolve(a *pb.PermitAnswer) (used bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := q.pending[a.GetNumber()]
	if c == nil {
		permit, known := q.settled[a.GetNumber()]
		return known && permit == a.GetPermit()
	}
	c <- a
	q.settle(a.GetNumber(), a.GetPermit())
	return true
}

// cancel ends a permit request whose caller has stopped waiting.
func (q *pendingPermits) cancel(number uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pending[number] != nil {
		q.settle(number, 0)
	}
}

// RequestPermit requests a permit from an upstream's stager. It returns the permit's number, or 0 if none is available,
// and whether an answer came before the context ended.
func (s *Subscriber) RequestPermit(ctx context.Context, address string, born id.Incarnation) (permit uint64, answered bool) {
	a, answered := s.ask(ctx, address, &pb.PermitRequest{Born: uint64(born)})
	return a.GetPermit(), answered
}

// ask sends a numbered request to an upstream's stager and returns its answer, and whether one came before the context
// ended.
func (s *Subscriber) ask(ctx context.Context, address string, m *pb.PermitRequest) (a *pb.PermitAnswer, answered bool) {
	number, answer := s.permitRequests.add()
	m.Number = number
	s.sendToStager(address, m)
	select {
	case <-ctx.Done():
	case a := <-answer:
		return a, true
	}
	// An answer that came just before the cancellation is used, as nothing else would release its permit.
	s.permitRequests.cancel(number)
	select {
	case a := <-answer:
		return a, true
	default:
		return nil, false
	}
}

// SendLimit sends an upstream's stager the rate limit that an answer of the upstream named.
func (s *Subscriber) SendLimit(address string, born id.Incarnation, r throttle.Rate) {
	s.sendToStager(address, &pb.PermitRequest{Born: uint64(born), Named: proto.Float64(float64(r))})
}

// SendLimitEnd notifies an upstream's stager that the answer to the request with a permit named no rate limit.
func (s *Subscriber) SendLimitEnd(address string, born id.Incarnation, permit uint64) {
	s.sendToStager(address, &pb.PermitRequest{Born: uint64(born), Ended: permit})
}

func (s *Subscriber) sendToStager(address string, m *pb.PermitRequest) {
	m.Sender = s.conn.LocalAddr().String()
	b, err := proto.Marshal(&pb.ReportSubscription{Permit: m})
	if err != nil {
		s.log.Error().Err(err).Msg("failed to encode a permit request")
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
	s.onSent(s.domainOf(address), len(b))
}

// isListed reports whether an address is that of a listed upstream. A datagram must not make this process send to others.
func (s *Subscriber) isListed(address string) bool {
	return slices.ContainsFunc(s.facts.Instances(), func(i *facts.Instance) bool { return i.Address == address })
}

// domainOf returns the failure domain of a listed upstream.
func (s *Subscriber) domainOf(address string) id.Domain {
	for _, i := range s.facts.Instances() {
		if i.Address == address {
			return i.Domain
		}
	}
	return s.domain
}

// handlePermitAnswer delivers the answer to a permit request and stores the rate limit that comes with it.
func (s *Subscriber) handlePermitAnswer(r *pb.UpstreamReport) {
	s.vars.Add("permit_answers", 1)
	a := r.GetPermit()
	if !s.permitRequests.resolve(a) && a.GetReservation() != nil && a.GetPermit() > 0 && s.isListed(r.GetAddress()) {
		s.vars.Add("late_reservations", 1)
		s.ReleaseReservation(r.GetAddress(), a.GetPermit())
	}
	s.tracker.RecordLimitAnnouncement(r.GetAddress(), limitFromReport(r))
}

// limitFromReport decodes the rate limit of a report's upstream. It ignores invalid rates, as if the report had no
// limit.
func limitFromReport(r *pb.UpstreamReport) throttle.Announcement {
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

// limitResendInterval is the minimum time between two sends of a limit to a stager whose reports lack it.
const limitResendInterval = time.Second

// resendLimit sends the upstream's rate limit that this gateway knows to a stager that has lost it in a restart.
func (s *Subscriber) resendLimit(r *pb.UpstreamReport) {
	if r.GetLimit() != nil {
		return
	}
	rate, born, missing := s.tracker.UnannouncedLimit(r.GetAddress(), r.GetIncarnation())
	if missing && s.limitResendDue(r.GetAddress()) {
		s.SendLimit(r.GetAddress(), born, rate)
	}
}

// limitResendDue reports whether a limit may be sent to a stager again, and if so starts the next interval.
func (s *Subscriber) limitResendDue(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, now := s.stagers[address], s.now()
	if h == nil || now.Before(h.nextLimitSend) {
		return false
	}
	h.nextLimitSend = now.Add(limitResendInterval)
	return true
}

// handlePermitRequest answers a gateway's permit request for the upstream of this stager, or stores what the gateway
// reports about the upstream's rate limit.
func (r *Reporter) handlePermitRequest(m *pb.PermitRequest) {
	born := id.Incarnation(m.GetBorn())
	if m.Named != nil && throttle.ValidRate(m.GetNamed()) {
		r.limiter.RecordGatewayLimit(throttle.Rate(m.GetNamed()), born)
	}
	if m.GetEnded() > 0 {
		r.limiter.RecordGatewayEnd(m.GetEnded(), born)
	}
	r.handleReservation(m)
	if m.GetNumber() == 0 {
		return
	}
	addr, err := net.ResolveUDPAddr("udp4", m.GetSender())
	if err != nil || addr.IP == nil {
		r.vars.Add("malformed", 1)
		return
	}
	r.answerPermit(addr, m)
}

// answerPermit sends the answer to a gateway's permit request.
func (r *Reporter) answerPermit(addr *net.UDPAddr, m *pb.PermitRequest) {
	a := r.reserve(m)
	r.mu.Lock()
	address, domain := r.upstreamAddress, r.subscribers[m.GetSender()].domain
	r.mu.Unlock()
	b, err := proto.Marshal(&pb.UpstreamReport{Address: address, Incarnation: r.incarnation, Permit: a, Limit: r.limitMessage()})
	if err != nil {
		r.log.Error().Err(err).Msg("failed to encode a permit answer")
		return
	}
	r.countAnswer(a)
	if _, err := r.conn.WriteToUDP(b, addr); err != nil {
		r.vars.Add("send_failed", 1)
		return
	}
	r.onSent(domain, len(b))
}

// limitMessage encodes the upstream's rate limit for gateways; it returns nil if there is nothing to report.
func (r *Reporter) limitMessage() *pb.UpstreamLimit {
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
