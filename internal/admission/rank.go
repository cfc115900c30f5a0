package admission

import (
	"math"
	"time"
)

const (
	// maxRank is the least urgent rank. The tens are the organisation's priority, the ones the route's.
	maxRank    = 99
	routeRanks = 10
	// keptFor is the number of running requests until whose end free slots are kept for the more urgent offers expected by
	// then, and maxKeptSlots bounds the kept slots. With at most two, fewer than 0.95 of the most urgent requests are on
	// time in a burst (docs/design/0007-ranks-and-shares.md).
	keptFor      = 4
	maxKeptSlots = 4
	// reservedShare is the share of the capacity that each rank keeps. Together the ranks keep at most maxReserved.
	reservedShare = 0.05
	maxReserved   = 0.5
	// minActive is the rate from which a rank or an organisation counts as asking, in offers per second.
	minActive = 0.01
)

// ranks are the offered rates by rank, and what is reserved for each.
type ranks struct {
	rates   [maxRank + 1]rate
	targets [maxRank + 1]time.Duration
	// reserves hold at most one request each. A rank's own admissions take from its reserve, so that it is the least that
	// a rank gets and not an addition.
	reserves [maxRank + 1]bucket
	// holdUntil is the time until which offers more urgent than holdRank may not queue, so that a reserved request gets
	// a slot.
	holdUntil time.Time
	holdRank  int
}

// record counts an offer.
func (k *ranks) record(f *offered) {
	k.targets[f.Rank] = f.target
	k.rates[f.Rank].add(f.weight(), f.now)
	k.reserves[f.Rank].refill(k.reserved(f.now)*f.load.PerSecond, 1, f.now)
}

// weight returns the part of a request that an offer counts for.
func (f *offered) weight() float64 {
	return 1 / float64(max(1, f.Asked))
}

// rate returns the rate of all offers of the ranks from first to before end.
func (k *ranks) rate(first, end int, now time.Time) rate {
	all := rate{at: now}
	for i := first; i < end; i++ {
		all.merge(&k.rates[i], now)
	}
	return all
}

// moreUrgent returns the rate of the offers that are more urgent than a rank.
func (k *ranks) moreUrgent(rank int, now time.Time) float64 {
	all := k.rate(0, rank, now)
	return all.perSecond()
}

// exceed reports whether all offers exceed a rate.
func (k *ranks) exceed(perSecond float64, now time.Time) bool {
	all := k.rate(0, maxRank+1, now)
	return all.exceeds(perSecond)
}

// active returns the number of ranks in use.
func (k *ranks) active(now time.Time) int {
	n := 0
	for i := range k.rates {
		if k.inUse(i, now) {
			n++
		}
	}
	return n
}

func (k *ranks) inUse(rank int, now time.Time) bool {
	r := &k.rates[rank]
	if r.sum > 0 {
		r.advance(now)
	}
	return r.perSecond() >= minActive
}

// shortestTarget returns the shortest target of the offer and the more urgent ranks in use. By a longer one, less urgent
// requests would fill the queue before an overload shows.
func (k *ranks) shortestTarget(f *offered) time.Duration {
	shortest := f.target
	for i := range f.Rank {
		if k.inUse(i, f.now) {
			shortest = min(shortest, k.targets[i])
		}
	}
	return shortest
}

// reserved returns the share of the capacity that each rank keeps.
func (k *ranks) reserved(now time.Time) float64 {
	return min(reservedShare, maxReserved/float64(max(1, k.active(now))))
}

// keptSlots returns the number of free slots that are kept for more urgent offers.
func (f *offered) keptSlots() int {
	return int(min(maxKeptSlots, math.Round(keptFor*f.demand.moreUrgent/max(f.load.PerSecond, minActive))))
}

// decide decides about an offer by its rank, with a number of free slots kept for more urgent ones.
func (k *ranks) decide(f *offered, kept int) Decision {
	l, latest, free := &f.load, limit(f.target), f.free()
	room := max(l.PerSecond-f.demand.moreUrgent, k.reserved(f.now)*l.PerSecond)
	wait := duration(float64(l.AheadInQueue+1), room)
	waitByItself := duration(float64(l.AheadInQueue+1), l.PerSecond)
	switch {
	case free > kept && l.ReadTime <= latest:
		return Decision{}
	case f.Late:
		return Decision{Refusal: f.reason(free > 0), RoomIn: duration(float64(max(1, kept+1-free)), room)}
	case free <= 0 && f.Rank < k.holdRank && f.now.Before(k.holdUntil):
		return Decision{Refusal: Busy, RoomIn: k.holdUntil.Sub(f.now)}
	case l.ReadTime+wait <= latest:
		return Decision{}
	}
	return Decision{Refusal: f.reason(free > 0 || l.ReadTime+waitByItself <= latest), RoomIn: max(duration(1, room), l.ReadTime+wait-latest)}
}

// reason returns the reason of a refusal, given whether the offer would have room without more urgent ones.
func (f *offered) reason(hasRoom bool) Refusal {
	if hasRoom && f.demand.moreUrgent > 0 {
		return Rank
	}
	return Busy
}

// takeReserve reports whether the offer is admitted by what is reserved for its rank. Where more urgent offers alone
// would fill the engine, they may not queue until the request is expected to have a slot: the engine would let each of
// them in first.
func (k *ranks) takeReserve(f *offered) bool {
	if k.reserves[f.Rank].tokens < 1 {
		return false
	}
	if m := f.load.PerSecond; m-f.demand.moreUrgent < k.reserved(f.now)*m {
		if until := f.now.Add(duration(float64(max(0, -f.free())+1), m)); until.After(k.holdUntil) {
			k.holdUntil = until
		}
		k.holdRank = f.Rank
	}
	return true
}

// maxWait bounds predicted waits, which a rate near zero would raise beyond a Duration. No caller waits as long.
const maxWait = time.Hour

// duration returns the time in which a number of requests pass at a rate.
func duration(n, perSecond float64) time.Duration {
	if s := n / perSecond; s < maxWait.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxWait
}
