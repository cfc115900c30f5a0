package admission

import (
	"math"
	"slices"
	"time"

	"github.com/springrail/springrail/internal/id"
)

const (
	// maxShares bounds the remembered organisations, counted once for each rank. The least recent is dropped.
	maxShares = 256
	// shareDepth is the number of requests, and shareDepthTime the time in seconds at its rate, that a bucket holds.
	// Requests that arrive at random within the share rarely come in larger groups.
	shareDepth     = 3
	shareDepthTime = 0.5
	// dividedShare is the share of the room that organisations divide, and minFreeSlots the number of free slots that one
	// beyond its share leaves to others. An engine that works at its whole capacity has a queue that others wait in.
	dividedShare = 0.9
	minFreeSlots = 2
)

// shareKey identifies an organisation's requests of one rank.
type shareKey struct {
	rank         int
	organisation id.Organisation
}

// shareEntry is what is known of an organisation's requests of one rank.
type shareEntry struct {
	offered rate
	// bucket holds the admissions that the organisation may use in overload.
	bucket  bucket
	askedAt time.Time
}

// shares are the organisations that ask.
type shares struct {
	entries map[shareKey]*shareEntry
}

// record counts an offer and returns its organisation's entry.
func (s *shares) record(f *offered) *shareEntry {
	k := shareKey{f.Rank, f.Organisation}
	e := s.entries[k]
	if e == nil {
		if len(s.entries) >= maxShares {
			s.dropOldest()
		}
		e = &shareEntry{bucket: bucket{tokens: shareDepth, at: f.now}}
		s.entries[k] = e
	}
	e.askedAt = f.now
	e.offered.add(f.weight(), f.now)
	return e
}

// dropOldest drops the entry that asked least recently.
func (s *shares) dropOldest() {
	var oldest shareKey
	var at time.Time
	for k, e := range s.entries {
		if at.IsZero() || e.askedAt.Before(at) {
			oldest, at = k, e.askedAt
		}
	}
	delete(s.entries, oldest)
}

// demand is what compares with an offer in overload.
type demand struct {
	// moreUrgent and all are the rates of the more urgent and of all offers, without those beyond their organisations'
	// shares.
	moreUrgent float64
	all        rate
	// fair is the rate that each organisation of the same priority may have.
	fair float64
	// above and upTo are the rates of the offer's own organisation at more urgent ranks of the same priority, and
	// including the offer's.
	above, upTo rate
}

// organisationRate is what an organisation offers at the ranks of one priority: in total, more urgent than an offer, and
// at least as urgent.
type organisationRate struct {
	total, above, upTo rate
}

// organisationRates are the rates of the organisations of one priority.
type organisationRates map[id.Organisation]*organisationRate

// byPriority returns the rates of all organisations, compared with the rank of an offer.
func (s *shares) byPriority(f *offered) (priorities [maxRank/routeRanks + 1]organisationRates) {
	for key, e := range s.entries {
		p := &priorities[key.rank/routeRanks]
		if *p == nil {
			*p = organisationRates{}
		}
		o := (*p)[key.organisation]
		if o == nil {
			o = &organisationRate{}
			(*p)[key.organisation] = o
		}
		o.total.merge(&e.offered, f.now)
		if key.rank < f.Rank {
			o.above.merge(&e.offered, f.now)
		}
		if key.rank <= f.Rank {
			o.upTo.merge(&e.offered, f.now)
		}
	}
	return priorities
}

// demand computes the demand that an offer competes with. Organisations of the same priority divide the room that those
// of higher priority leave. Within its share an organisation's more urgent requests come first.
func (s *shares) demand(f *offered, k *ranks) demand {
	d := demand{all: k.rate(0, maxRank+1, f.now)}
	m, used := f.load.PerSecond, 0.0
	for p, organisations := range s.byPriority(f) {
		first := p * routeRanks
		fair := organisations.fairRate(dividedShare * max(m-used, k.reserved(f.now)*m))
		if p == f.Rank/routeRanks {
			above := k.rate(first, f.Rank, f.now)
			d.fair, d.moreUrgent = fair, used+above.perSecond()
			for _, o := range organisations {
				d.moreUrgent -= o.above.excess(fair)
			}
			if o := organisations[f.Organisation]; o != nil {
				d.above, d.upTo = o.above, o.upTo
			}
		}
		all := k.rate(first, first+routeRanks, f.now)
		used += all.perSecond()
		for _, o := range organisations {
			used -= o.total.excess(fair)
		}
	}
	d.all.sum = used * rateTimeConstant.Seconds()
	return d
}

// fairRate returns the largest rate that an organisation may have, by max-min fairness: those that ask for less leave the
// rest to the others. It is infinite if the room is enough for all, or only one asks.
func (l organisationRates) fairRate(room float64) float64 {
	var rates []float64
	for _, o := range l {
		if r := o.total.perSecond(); r >= minActive {
			rates = append(rates, r)
		}
	}
	slices.Sort(rates)
	for i, r := range rates {
		if equal := room / float64(len(rates)-i); r > equal && len(rates) > 1 {
			return equal
		}
		room -= r
	}
	return math.Inf(1)
}

// decide refuses an offer of an organisation that has used its share.
func (e *shareEntry) decide(f *offered) Decision {
	d := &f.demand
	if math.IsInf(d.fair, 1) {
		return Decision{}
	}
	left := max(d.fair-d.above.perSecond(), reservedShare*d.fair)
	e.bucket.refill(left, max(shareDepth, shareDepthTime*left), f.now)
	if !d.upTo.exceeds(d.fair) || (e.bucket.tokens >= 1 && f.free() > minFreeSlots) {
		return Decision{}
	}
	return Decision{Refusal: Share, RoomIn: duration(max(0, 1-e.bucket.tokens), left)}
}
