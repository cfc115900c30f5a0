// Package swapplan decides when an upstream leaves its version for another one, so that a failure domain changes over one
// after the other and in time. It is pure: every upstream works its own moment out from facts that all share, and a plan
// made from old facts costs service, never a rule.
package swapplan

import "time"

// Inputs is what the plan of one upstream rests on.
type Inputs struct {
	// StagedAt is when the version lay whole beside the upstream.
	StagedAt time.Time
	// ServableUntil is when the version that the upstream serves may take no new requests any more.
	ServableUntil time.Time
	// OlderServableUntil is the same for the older versions that others of the domain serve, or zero where none is older.
	OlderServableUntil time.Time
	// Rank is the upstream's place among the Size upstreams of its domain, from 0.
	Rank, Size int
	// SwapDuration is how long a change-over keeps an upstream from taking requests.
	SwapDuration time.Duration
	// BridgeOnly says that a newer version will be there soon after the present one ends, so that this one only has to bridge
	// the time between on some of the upstreams.
	BridgeOnly bool
}

// LoadAt is when the upstream stops taking requests to load the staged version. The change-overs of a domain follow
// each other, one upstream out at a time, and closer where the time would not do. Where others serve an older version,
// whose time ends first, they go before.
func LoadAt(v Inputs) time.Time {
	first := v.StagedAt
	if v.OlderServableUntil.After(first) && v.OlderServableUntil.Before(v.ServableUntil) {
		first = v.OlderServableUntil
	}
	left := v.ServableUntil.Sub(first)
	if left <= 0 || v.Size < 1 {
		return v.StagedAt
	}
	step := v.SwapDuration
	if !v.BridgeOnly {
		step = min(step, left/time.Duration(v.Size))
	}
	return first.Add(time.Duration(v.Rank) * step)
}

// NextVersion is what is known of a version that was named after the one in question.
type NextVersion struct {
	// StartedAt is when its transfer began, and Held how many of its All chunks are there.
	StartedAt               time.Time
	ChunksHeld, ChunksTotal int
	// UsualDuration is how long the transfer of the version before took as a whole.
	UsualDuration time.Duration
}

// leastSeen is the share of a version that must be there before its pace tells when the rest comes: the first chunks wait
// for the origin and for news of them.
const leastSeen = 0.25

// ExpectedAt is when the rest of a version is expected: by its own pace, or before that is known by the usual time from its
// beginning. A transfer that stands still is expected ever later.
func (n *NextVersion) ExpectedAt(now time.Time) time.Time {
	passed := now.Sub(n.StartedAt)
	if n.ChunksTotal > 0 && float64(n.ChunksHeld) >= leastSeen*float64(n.ChunksTotal) {
		return n.StartedAt.Add(time.Duration(float64(passed) * float64(n.ChunksTotal) / float64(n.ChunksHeld)))
	}
	return n.StartedAt.Add(max(n.UsualDuration, 2*passed))
}

// Need is what a version is still good for although a newer one is on its way.
type Need uint8

// The uses of a superseded version.
const (
	// Unneeded: the newer version is there before the present one ends, and each change-over takes the upstream out.
	Unneeded Need = iota
	// BridgesGap: the newer version is there soon after; some upstreams must serve in between.
	BridgesGap
	// Needed: nobody knows when the newer version is there.
	Needed
)

// NeedFor says what a version is good for when the present one ends at a time, with the change-over's time out.
func NeedFor(heldUntil time.Time, out time.Duration, n NextVersion, now time.Time) Need {
	expected := n.ExpectedAt(now)
	switch {
	case !expected.After(heldUntil):
		return Unneeded
	case expected.Before(heldUntil.Add(2 * out)):
		return BridgesGap
	default:
		return Needed
	}
}
