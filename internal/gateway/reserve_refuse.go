package gateway

import (
	"time"

	"github.com/phuslu/log"

	"github.com/springrail/springrail/internal/admission"
	"github.com/springrail/springrail/internal/placement"
)

// excludeClosed excludes the upstreams that take no requests at all, and reports whether all offers are of such ones.
func (q *Query) excludeClosed(offers []reservationOffer) bool {
	excluded := 0
	for _, o := range offers {
		switch o.answer.Refusal {
		case admission.Closed, admission.Version, admission.Limit:
			q.Excluded[o.choice.Instance] = true
			excluded++
		default:
		}
	}
	return excluded > 0 && excluded == len(offers)
}

// refusalReasons are the refusals for load with the reasons that callers and logs are given and the names of their counters,
// the one that applies first where upstreams differ.
var refusalReasons = []struct {
	refusal         admission.Refusal
	reason, counter string
}{
	{admission.Busy, "too busy", "reservations_refused_busy"},
	{admission.Rank, "rank", "reservations_refused_rank"},
	{admission.Share, "share of the organisation", "reservations_refused_share"},
}

// loadRefusal sums up the answers of the upstreams that refused a request for load.
type loadRefusal struct {
	reason, counter string
	// roomIn is the shortest time until one of them has room, and predicted the soonest first event.
	roomIn, predicted time.Duration
	overloaded        bool
}

// newLoadRefusal returns the sum of the refusals for load; ok is false if there is none.
func newLoadRefusal(offers []reservationOffer) (r loadRefusal, ok bool) {
	for i := len(refusalReasons) - 1; i >= 0; i-- {
		for _, o := range offers {
			a := o.answer
			if a.Refusal != refusalReasons[i].refusal {
				continue
			}
			if !ok {
				r.roomIn, r.predicted = a.RoomIn, a.FirstEvent
			}
			ok, r.reason, r.counter = true, refusalReasons[i].reason, refusalReasons[i].counter
			r.roomIn, r.predicted, r.overloaded = min(r.roomIn, a.RoomIn), min(r.predicted, a.FirstEvent), r.overloaded || a.Overloaded
		}
	}
	return r, ok
}

// refuseReservation refuses a request for which no upstream that answered has room. In overload callers return at a random
// time up to the longest wait that they accept: one that returns into the same burst is refused for good.
func (f *callerRequest) refuseReservation(q *Query, offers []reservationOffer) *Refusal {
	b := f.gateway.balancer()
	// The log line explains the choice in the own failure domain, not that among the others.
	q.decision = f.decision
	q.decision.noteRefusals(offers)
	f.decision = q.decision
	r, ok := newLoadRefusal(offers)
	if !ok {
		return b.refuseNoUpstream(q, q.decision.retryAfterSwap(b.Now()))
	}
	f.gateway.metrics.count(r.counter)
	refusal := b.refuse(q, r.reason, r.roomIn)
	if r.overloaded {
		refusal.RetryAfter = placement.SpreadRetryAfter(r.roomIn, q.CallerDeadline.Sub(b.Now()), b.Random())
	}
	refusal.Predicted = r.predicted
	return refusal
}

// noteRefusals counts the upstreams whose stagers say that they take no requests at all.
func (k *decision) noteRefusals(offers []reservationOffer) {
	for _, o := range offers {
		switch o.answer.Refusal {
		case admission.Closed:
			k.excluded.closed++
		case admission.Version:
			k.excluded.other++
		case admission.Limit:
			dueIn := o.answer.RoomIn
			if o.choice.Limit != nil {
				dueIn = max(dueIn, o.choice.Limit.NextPermitIn)
			}
			k.noteLimited(dueIn)
		default:
		}
	}
}

// logReservation adds what is known of the request's reservation to its log line.
func (f *callerRequest) logReservation(e *log.Entry) *log.Entry {
	if f.reservation.asked == 0 {
		return e
	}
	return e.Int("asked", f.reservation.asked).Int("offers", f.reservation.answered).Int64("reserve_us", f.reservation.took.Microseconds()).Int("rank", int(f.rank))
}
