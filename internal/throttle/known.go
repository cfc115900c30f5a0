package throttle

import "time"

const (
	// silentShare is the part of an upstream's limit that gateways share among themselves while the process beside it
	// is silent to them. That process may go on giving permits to others for the whole limit: in 4 s, 4 s of that and
	// the turns of 5 s here are one and a half times the limit.
	silentShare = 0.4
	// loneShare is that part where nobody ever gives permits: turns of gateways that don't know of each other fall
	// together by chance.
	loneShare = 0.7
)

// Known is what a gateway knows of an upstream's limit; the zero value is of one without. It is not safe for concurrent use.
type Known struct {
	limited bool
	rate    Rate
	// since is when the limit was first heard of, and heard when it was last.
	since, heard time.Time
	// by is the start of the process beside the upstream that told it; 0 where only answers did.
	by uint64
	// reported is true where that process needs no word of gateways.
	reported bool
	// there is what that process had to give, as far as this gateway can tell.
	there bucket
	// turns are this gateway's while that process is silent; sharing says that they are in use.
	turns   turns
	sharing bool
	// sent counts the requests since the limit was first heard of.
	sent uint64
}

// Limit is the state of a limit at a moment.
type Limit struct {
	Rate  Rate
	Since time.Time
	// Permits are thought to be there, and Due is how long it takes until one is.
	Permits int
	Due     time.Duration
	// Sent is how many requests this gateway has sent since it first heard of the limit, and Alone says that it has a
	// part of its own.
	Sent  uint64
	Alone bool
}

// Hear takes what the process beside the upstream tells.
func (k *Known) Hear(t Told, now time.Time) {
	switch {
	case t.Said == Limited:
		k.name(t.Rate, now)
		k.by, k.reported = t.By, t.Reported
		k.there = bucket{rate: t.Rate, left: min(t.Permits, burst), at: now}
		if !t.Reported {
			k.there.rate = max(t.Rate, trialRate)
		}
	case t.Said == Unlimited, k.limited && k.by == t.By:
		// Who told the limit and tells it no more has told its end, in reports that were lost.
		*k = Known{}
	}
}

// name notes a limit that was named.
func (k *Known) name(r Rate, now time.Time) {
	if !k.limited {
		*k = Known{limited: true, since: now}
		k.there = bucket{rate: max(r, trialRate), at: now}
	}
	k.rate, k.heard = r, now
}

// Answer takes what an answer says to a request that was sent at a moment. Only one that was sent after the limit was
// last heard of shows that it has ended, and only where nobody beside the upstream says more.
func (k *Known) Answer(w Word, sent, now time.Time, silent bool) {
	switch {
	case w.Said == Limited:
		k.name(w.Rate, now)
	case w.Said == Unlimited && k.limited && silent && sent.After(k.heard):
		*k = Known{}
	}
}

// Count notes a request that is sent.
func (k *Known) Count() {
	k.sent++
}

// Limited says whether there is a limit.
func (k *Known) Limited() bool {
	return k.limited
}

// Untold is the limit that the process beside the upstream, by its start, has not told and so may not know.
func (k *Known) Untold(by uint64) (Rate, bool) {
	return k.rate, k.limited && k.by != by
}

// Reported says whether the process beside the upstream needs no word of gateways.
func (k *Known) Reported() bool {
	return k.reported
}

// Asked is the limit as one reads it who can ask the process beside the upstream for permits.
func (k *Known) Asked(now time.Time) Limit {
	k.sharing = false
	return Limit{Rate: k.rate, Since: k.since, Permits: k.there.whole(now), Due: k.there.due(now), Sent: k.sent}
}

// Alone is the limit as one reads it who can ask nobody and has a part of its own.
func (k *Known) Alone(now time.Time, part Rate, random func() float64) Limit {
	if !k.sharing {
		k.sharing, k.turns = true, newTurns(part, now, random)
	}
	k.turns.set(part, now)
	l := Limit{Rate: k.rate, Since: k.since, Due: k.turns.due(now), Sent: k.sent, Alone: true}
	if l.Due == 0 {
		l.Permits = 1
	}
	return l
}

// Part is the rate of one of a number of gateways while nobody gives permits; lone says that nobody ever does for this upstream.
func (k *Known) Part(gateways int, lone bool) Rate {
	share := Rate(silentShare)
	if lone {
		share = loneShare
	}
	return share * max(k.rate, trialRate) / Rate(max(1, gateways))
}

// Take takes a permit of the gateway's own part.
func (k *Known) Take(now time.Time) bool {
	return k.sharing && k.turns.take(now)
}
