// Package swapplan decides when an upstream leaves its version for another one, so that a failure domain changes over one
// after the other and in time. It is pure: every upstream works its own moment out from facts that all share, and a plan
// made from old facts costs service, never a rule.
package swapplan

import "time"

// View is what the plan of one upstream rests on.
type View struct {
	// Staged is when the version lay whole beside the upstream.
	Staged time.Time
	// HeldUntil is when the version that the upstream serves may take no new requests any more.
	HeldUntil time.Time
	// OlderUntil is the same for the older versions that others of the domain serve, or zero where none is older.
	OlderUntil time.Time
	// Rank is the upstream's place among the Size upstreams of its domain, from 0.
	Rank, Size int
	// Out is how long a change-over keeps an upstream from taking requests.
	Out time.Duration
	// Bridge says that a newer version will be there soon after the present one ends, so that this one only has to bridge
	// the time between on some of the upstreams.
	Bridge bool
}

// LoadAt is when the upstream stops taking requests to load the staged version. The change-overs of a domain follow
// each other, one upstream out at a time, and closer where the time would not do. Where others serve an older version,
// whose time ends first, they go before.
func LoadAt(v View) time.Time {
	first := v.Staged
	if v.OlderUntil.After(first) && v.OlderUntil.Before(v.HeldUntil) {
		first = v.OlderUntil
	}
	left := v.HeldUntil.Sub(first)
	if left <= 0 || v.Size < 1 {
		return v.Staged
	}
	step := v.Out
	if !v.Bridge {
		step = min(step, left/time.Duration(v.Size))
	}
	return first.Add(time.Duration(v.Rank) * step)
}

// Next is what is known of a version that was named after the one in question.
type Next struct {
	// Begun is when its transfer began, and Held how many of its All chunks are there.
	Begun     time.Time
	Held, All int
	// Usual is how long the transfer of the version before took as a whole.
	Usual time.Duration
}

// leastSeen is the share of a version that must be there before its pace tells when the rest comes: the first chunks wait
// for the origin and for news of them.
const leastSeen = 0.25

// Expected is when the rest of a version is expected: by its own pace, or before that is known by the usual time from its
// beginning. A transfer that stands still is expected ever later.
func (n *Next) Expected(now time.Time) time.Time {
	passed := now.Sub(n.Begun)
	if n.All > 0 && float64(n.Held) >= leastSeen*float64(n.All) {
		return n.Begun.Add(time.Duration(float64(passed) * float64(n.All) / float64(n.Held)))
	}
	return n.Begun.Add(max(n.Usual, 2*passed))
}

// Use is what a version is still good for although a newer one is on its way.
type Use uint8

// The uses of a superseded version.
const (
	// Needless: the newer version is there before the present one ends, and each change-over takes the upstream out.
	Needless Use = iota
	// Bridges: the newer version is there soon after; some upstreams must serve in between.
	Bridges
	// Needed: nobody knows when the newer version is there.
	Needed
)

// UseOf says what a version is good for when the present one ends at a time, with the change-over's time out.
func UseOf(heldUntil time.Time, out time.Duration, n Next, now time.Time) Use {
	expected := n.Expected(now)
	switch {
	case !expected.After(heldUntil):
		return Needless
	case expected.Before(heldUntil.Add(2 * out)):
		return Bridges
	default:
		return Needed
	}
}
