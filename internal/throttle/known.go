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

// KnownLimit is what a gateway knows of an upstream's limit; the zero value is of one without. It is not safe for concurrent use.
type KnownLimit struct {
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
	Rate       Rate
	KnownSince time.Time
	// Permits are thought to be there, and Due is how long it takes until one is.
	Permits      int
	NextPermitIn time.Duration
	// Sent is how many requests this gateway has sent since it first heard of the limit, and Alone says that it has a
	// part of its own.
	Sent     uint64
	OwnShare bool
}

// ApplyAnnouncement takes what the process beside the upstream tells.
func (k *KnownLimit) ApplyAnnouncement(t Announcement, now time.Time) {
	switch {
	case t.State == Limited:
		k.name(t.Rate, now)
		k.by, k.reported = t.Incarnation, t.FromUpstream
		k.there = bucket{rate: t.Rate, left: min(t.Permits, burst), at: now}
		if !t.FromUpstream {
			k.there.rate = max(t.Rate, trialRate)
		}
	case t.State == Unlimited, k.limited && k.by == t.Incarnation:
		// Who told the limit and tells it no more has told its end, in reports that were lost.
		*k = KnownLimit{}
	}
}

// name notes a limit that was named.
func (k *KnownLimit) name(r Rate, now time.Time) {
	if !k.limited {
		*k = KnownLimit{limited: true, since: now}
		k.there = bucket{rate: max(r, trialRate), at: now}
	}
	k.rate, k.heard = r, now
}

// ApplyAnswer takes what an answer says to a request that was sent at a moment. Only one that was sent after the limit was
// last heard of shows that it has ended, and only where nobody beside the upstream says more.
func (k *KnownLimit) ApplyAnswer(w LimitInfo, sent, now time.Time, silent bool) {
	switch {
	case w.State == Limited:
		k.name(w.Rate, now)
	case w.State == Unlimited && k.limited && silent && sent.After(k.heard):
		*k = KnownLimit{}
	}
}

// CountSent notes a request that is sent.
func (k *KnownLimit) CountSent() {
	k.sent++
}

// Limited says whether there is a limit.
func (k *KnownLimit) Limited() bool {
	return k.limited
}

// Unannounced is the limit that the process beside the upstream, by its start, has not told and so may not know.
func (k *KnownLimit) Unannounced(by uint64) (Rate, bool) {
	return k.rate, k.limited && k.by != by
}

// FromUpstream says whether the process beside the upstream needs no word of gateways.
func (k *KnownLimit) FromUpstream() bool {
	return k.reported
}

// Granted is the limit as one reads it who can ask the process beside the upstream for permits.
func (k *KnownLimit) Granted(now time.Time) Limit {
	k.sharing = false
	return Limit{Rate: k.rate, KnownSince: k.since, Permits: k.there.whole(now), NextPermitIn: k.there.due(now), Sent: k.sent}
}

// Shared is the limit as one reads it who can ask nobody and has a part of its own.
func (k *KnownLimit) Shared(now time.Time, part Rate, random func() float64) Limit {
	if !k.sharing {
		k.sharing, k.turns = true, newTurns(part, now, random)
	}
	k.turns.set(part, now)
	l := Limit{Rate: k.rate, KnownSince: k.since, NextPermitIn: k.turns.due(now), Sent: k.sent, OwnShare: true}
	if l.NextPermitIn == 0 {
		l.Permits = 1
	}
	return l
}

// Share is the rate of one of a number of gateways while nobody gives permits; lone says that nobody ever does for this upstream.
func (k *KnownLimit) Share(gateways int, lone bool) Rate {
	share := Rate(silentShare)
	if lone {
		share = loneShare
	}
	return share * max(k.rate, trialRate) / Rate(max(1, gateways))
}

// TakeSharePermit takes a permit of the gateway's own part.
func (k *KnownLimit) TakeSharePermit(now time.Time) bool {
	return k.sharing && k.turns.take(now)
}
