package reports

import (
	"context"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/reservation"
)

// RequestReservation asks an upstream's stager for a reservation. It returns the answer, and whether one came before the
// context ended. A reservation that comes later is released. A stager of a release without reservations answers with a
// permit only, or with a refusal for lack of one; offered is then false.
func (s *Subscriber) RequestReservation(ctx context.Context, address string, born id.Incarnation, q reservation.Request) (a reservation.Answer, offered, answered bool) {
	r, answered := s.ask(ctx, address, &pb.PermitRequest{Born: uint64(born), Reservation: reservationToProto(&q)})
	if !answered {
		return a, false, false
	}
	a = answerFromProto(r)
	return a, r.GetReservation() != nil, true
}

// TakeReservation notifies an upstream's stager that the request of a reservation is about to be sent.
func (s *Subscriber) TakeReservation(address string, permit uint64) {
	s.sendToStager(address, &pb.PermitRequest{Taken: permit})
}

// ReleaseReservation notifies an upstream's stager that the request of a reservation is not sent to the upstream.
func (s *Subscriber) ReleaseReservation(address string, permit uint64) {
	s.sendToStager(address, &pb.PermitRequest{Released: permit})
}

func reservationToProto(q *reservation.Request) *pb.ReservationRequest {
	return &pb.ReservationRequest{
		PromptTokens: q.PromptTokens, AnswerTokens: q.AnswerTokens, TargetMs: uint32(max(0, q.Target.Milliseconds())), Late: q.Late, Begun: q.Begun,
		Rank: uint32(max(0, q.Rank)), Organisation: string(q.Organisation), Asked: uint32(max(1, q.Asked)), Model: string(q.Model), Revision: uint64(q.Revision),
		Padding: make([]byte, min(q.Padding, maxPadding)),
	}
}

// maxPadding keeps a padded reservation request within one packet.
const maxPadding = 1200

// maxRank bounds ranks received from other processes: the least urgent organisation's least urgent route.
const maxRank = 99

// reservationFromProto decodes a request for a reservation. Invalid numbers count as unknown.
func reservationFromProto(m *pb.PermitRequest) reservation.Request {
	p := m.GetReservation()
	return reservation.Request{
		Gateway: m.GetSender(), Number: m.GetNumber(), PromptTokens: validTokens(p.GetPromptTokens()), AnswerTokens: validTokens(p.GetAnswerTokens()),
		Target: time.Duration(p.GetTargetMs()) * time.Millisecond, Late: p.GetLate(), Begun: p.GetBegun(), Rank: int(min(p.GetRank(), maxRank)),
		Organisation: id.Organisation(p.GetOrganisation()), Asked: int(max(1, min(p.GetAsked(), maxAsked))), Model: id.Model(p.GetModel()), Revision: id.Revision(p.GetRevision()),
	}
}

const (
	// maxAsked bounds the number of upstreams that a gateway says to have asked.
	maxAsked = 16
	// maxTokens bounds lengths received from other processes; it is far above what fits into the memory of an engine.
	maxTokens = 1e8
)

func validTokens(n float64) float64 {
	if !(n > 0) {
		return 0
	}
	return min(n, maxTokens)
}

func answerToProto(a *reservation.Answer) *pb.ReservationAnswer {
	return &pb.ReservationAnswer{
		FirstEventUs: uint32(min(max(0, a.FirstEvent), maxAnsweredTime).Microseconds()), Refusal: pb.ReservationRefusal(a.Refusal),
		RoomInMs: uint32(min(max(0, a.RoomIn), maxAnsweredTime).Milliseconds()), Overloaded: a.Overloaded,
	}
}

// maxAnsweredTime bounds the times in answers; no caller waits as long.
const maxAnsweredTime = time.Hour

// answerFromProto decodes an answer. An unknown reason for a refusal, of a later release, counts as Busy.
func answerFromProto(r *pb.PermitAnswer) reservation.Answer {
	p := r.GetReservation()
	a := reservation.Answer{
		Permit: r.GetPermit(), FirstEvent: time.Duration(p.GetFirstEventUs()) * time.Microsecond, Refusal: admission.Refusal(p.GetRefusal()),
		RoomIn: time.Duration(p.GetRoomInMs()) * time.Millisecond, Overloaded: p.GetOverloaded(),
	}
	if p.GetRefusal() < 0 || p.GetRefusal() > pb.ReservationRefusal(admission.Version) || (a.Permit == 0 && a.Refusal == admission.Admitted) {
		a.Refusal = admission.Busy
	}
	return a
}

// Ledger returns the ledger of the reservations for the stager's upstream.
func (r *Reporter) Ledger() *reservation.Ledger {
	return r.ledger
}

// handleReservation applies what a gateway says about its reservations.
func (r *Reporter) handleReservation(m *pb.PermitRequest) {
	if m.GetTaken() > 0 {
		r.ledger.Take(m.GetTaken())
	}
	if m.GetReleased() > 0 {
		r.ledger.Release(m.GetReleased())
	}
}

// reserve answers a request for a permit, and for a reservation if one is asked for and the state of the engine is known.
func (r *Reporter) reserve(m *pb.PermitRequest) *pb.PermitAnswer {
	if m.GetReservation() == nil || !r.ledger.Ready() {
		return &pb.PermitAnswer{Number: m.GetNumber(), Permit: r.limiter.IssuePermit()}
	}
	r.lastReservation.Store(r.now().UnixNano())
	r.OnReservation()
	a := r.ledger.Reserve(reservationFromProto(m))
	return &pb.PermitAnswer{Number: m.GetNumber(), Permit: a.Permit, Reservation: answerToProto(&a)}
}

// refusalCounters are the counters of the answers without a reservation.
var refusalCounters = map[pb.ReservationRefusal]string{
	pb.ReservationRefusal_RESERVATION_REFUSAL_BUSY:    "reservations_refused_busy",
	pb.ReservationRefusal_RESERVATION_REFUSAL_RANK:    "reservations_refused_rank",
	pb.ReservationRefusal_RESERVATION_REFUSAL_SHARE:   "reservations_refused_share",
	pb.ReservationRefusal_RESERVATION_REFUSAL_LIMIT:   "reservations_refused_limit",
	pb.ReservationRefusal_RESERVATION_REFUSAL_CLOSED:  "reservations_refused_closed",
	pb.ReservationRefusal_RESERVATION_REFUSAL_VERSION: "reservations_refused_version",
}

// countAnswer counts an answer: permits, and reservations by the reason for a refusal.
func (r *Reporter) countAnswer(a *pb.PermitAnswer) {
	switch {
	case a.GetReservation() == nil && a.GetPermit() > 0:
		r.vars.Add("permits", 1)
	case a.GetReservation() == nil:
		r.vars.Add("permits_refused", 1)
	case a.GetPermit() > 0:
		r.vars.Add("reservations", 1)
	default:
		r.vars.Add(refusalCounters[a.GetReservation().GetRefusal()], 1)
	}
}
