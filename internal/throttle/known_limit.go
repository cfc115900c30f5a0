package throttle

import "time"

const (
	// shareWhileSilent is the share of an upstream's limit that gateways divide among themselves while the process
	// beside it is silent to them. That process may continue to issue permits for the whole limit to other gateways. In a
	// window of 4 s, these permits (4 s of the limit) and the send slots of 5 s at this share (2 s of the limit) add up
	// to one and a half times the limit.
	shareWhileSilent = 0.4
	// shareWithoutIssuer is the share of an upstream's limit that gateways divide among themselves if no process ever
	// issues permits for the upstream. It is below 1 because the send slots of uncoordinated gateways coincide by chance.
	shareWithoutIssuer = 0.7
)

// KnownLimit is a gateway's knowledge of an upstream's rate limit; the zero value means no limit. It is not safe for
// concurrent use.
type KnownLimit struct {
	limited bool
	rate    Rate
	// knownSince is when the limit was first learnt, and lastConfirmed when it was last received.
	knownSince, lastConfirmed time.Time
	// announcedBy is the incarnation of the process beside the upstream that announced the limit; 0 if only responses
	// did.
	announcedBy uint64
	// fromUpstream is true if the process beside the upstream learns the limit from the upstream itself, so that gateways
	// need not notify it.
	fromUpstream bool
	// estimate is a local estimate of the permits that the process beside the upstream can issue.
	estimate bucket
	// slots are this gateway's send slots while the process beside the upstream is silent; sharing is true while they
	// are in use.
	slots   sendSlots
	sharing bool
	// sent counts requests since the limit was first learnt.
	sent uint64
}

// Limit is the state of a rate limit at a moment.
type Limit struct {
	Rate       Rate
	KnownSince time.Time
	// Permits is the estimated number of available permits, and NextPermitIn the time until one is available.
	Permits      int
	NextPermitIn time.Duration
	// Sent is the number of requests that this gateway has sent since it first learnt of the limit. OwnShare is true if
	// the gateway uses its own share of the limit rather than issued permits.
	Sent     uint64
	OwnShare bool
}

// ApplyAnnouncement applies an announcement of the process beside the upstream.
func (k *KnownLimit) ApplyAnnouncement(announcement Announcement, now time.Time) {
	switch {
	case announcement.State == Limited:
		k.setLimit(announcement.Rate, now)
		k.announcedBy, k.fromUpstream = announcement.Incarnation, announcement.FromUpstream
		k.estimate = bucket{rate: announcement.Rate, tokens: min(announcement.Permits, burst), updatedAt: now}
		if !announcement.FromUpstream {
			k.estimate.rate = max(announcement.Rate, minProbeRate)
		}
	case announcement.State == Unlimited, k.limited && k.announcedBy == announcement.Incarnation:
		// If the process that announced the limit now announces nothing, its announcements of the limit's end were lost.
		*k = KnownLimit{}
	}
}

// setLimit records a limit that was received.
func (k *KnownLimit) setLimit(r Rate, now time.Time) {
	if !k.limited {
		*k = KnownLimit{limited: true, knownSince: now}
		k.estimate = bucket{rate: max(r, minProbeRate), updatedAt: now}
	}
	k.rate, k.lastConfirmed = r, now
}

// ApplyAnswer applies the limit information of the response to a request sent at sentAt. A response without a limit ends
// it only if its request was sent after the limit was last received, and only while the process beside the upstream is
// silent.
func (k *KnownLimit) ApplyAnswer(info LimitInfo, sentAt, now time.Time, silent bool) {
	switch {
	case info.State == Limited:
		k.setLimit(info.Rate, now)
	case info.State == Unlimited && k.limited && silent && sentAt.After(k.lastConfirmed):
		*k = KnownLimit{}
	}
}

// CountSent counts a request that is about to be sent.
func (k *KnownLimit) CountSent() {
	k.sent++
}

// Limited reports whether there is a limit.
func (k *KnownLimit) Limited() bool {
	return k.limited
}

// Unannounced returns the limit, and whether the given incarnation of the process beside the upstream has not announced
// it and so may not know of it.
func (k *KnownLimit) Unannounced(incarnation uint64) (Rate, bool) {
	return k.rate, k.limited && k.announcedBy != incarnation
}

// FromUpstream reports whether the process beside the upstream learns the limit from the upstream itself, without
// notifications from gateways.
func (k *KnownLimit) FromUpstream() bool {
	return k.fromUpstream
}

// Granted returns the limit for a gateway that can request permits from the process beside the upstream.
func (k *KnownLimit) Granted(now time.Time) Limit {
	k.sharing = false
	return Limit{Rate: k.rate, KnownSince: k.knownSince, Permits: k.estimate.available(now), NextPermitIn: k.estimate.untilNext(now), Sent: k.sent}
}

// Shared returns the limit for a gateway that can't request permits and sends at the given rate, its share of the limit.
func (k *KnownLimit) Shared(now time.Time, rate Rate, random func() float64) Limit {
	if !k.sharing {
		k.sharing, k.slots = true, newSendSlots(rate, now, random)
	}
	k.slots.setRate(rate, now)
	l := Limit{Rate: k.rate, KnownSince: k.knownSince, NextPermitIn: k.slots.untilNext(now), Sent: k.sent, OwnShare: true}
	if l.NextPermitIn == 0 {
		l.Permits = 1
	}
	return l
}

// Share returns the rate of each of a number of gateways while none of them gets permits; noIssuer is true if no process
// ever issues permits for this upstream.
func (k *KnownLimit) Share(gateways int, noIssuer bool) Rate {
	share := Rate(shareWhileSilent)
	if noIssuer {
		share = shareWithoutIssuer
	}
	return share * max(k.rate, minProbeRate) / Rate(max(1, gateways))
}

// TakeSharePermit takes a permit from the gateway's own share.
func (k *KnownLimit) TakeSharePermit(now time.Time) bool {
	return k.sharing && k.slots.take(now)
}
