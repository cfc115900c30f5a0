package throttle

import "time"

// slotLifetime is how long a send slot may be used. If slots could be kept, all gateways would use theirs at once after
// a time without requests.
const slotLifetime = time.Second

// sendSlots are the times at which a gateway may send one request on its own share of a limit.
type sendSlots struct {
	rate Rate
	// next is the first unused slot; it may have begun.
	next time.Time
}

// newSendSlots returns the slots for a rate. The first one starts at a random time within the first period, so that the
// slots of several gateways don't coincide.
func newSendSlots(rate Rate, now time.Time, random func() float64) sendSlots {
	t := sendSlots{rate: rate}
	t.next = now.Add(time.Duration(random() * float64(t.period())))
	return t
}

// period returns the time between two slots.
func (t *sendSlots) period() time.Duration {
	if s := 1 / float64(t.rate); s < maxWait.Seconds() {
		return time.Duration(s * float64(time.Second))
	}
	return maxWait
}

// setRate changes the rate from now on, and scales the remaining time until the next slot accordingly.
func (t *sendSlots) setRate(rate Rate, now time.Time) {
	if rate == t.rate {
		return
	}
	remaining := max(0, t.next.Sub(now))
	t.next = now.Add(time.Duration(float64(remaining) / float64(t.period()) * float64((&sendSlots{rate: rate}).period())))
	t.rate = rate
}

// skipExpired skips slots that have expired.
func (t *sendSlots) skipExpired(now time.Time) {
	if overdue := now.Sub(t.next) - slotLifetime; overdue > 0 {
		t.next = t.next.Add((overdue/t.period() + 1) * t.period())
	}
}

// untilNext returns the time until a slot begins; 0 during one.
func (t *sendSlots) untilNext(now time.Time) time.Duration {
	t.skipExpired(now)
	return max(0, t.next.Sub(now))
}

// take consumes a slot if one is available.
func (t *sendSlots) take(now time.Time) bool {
	if t.untilNext(now) > 0 {
		return false
	}
	t.next = t.next.Add(t.period())
	return true
}
