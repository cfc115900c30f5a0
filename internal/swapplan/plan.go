// Package swapplan decides when an upstream swaps its version of a model for another one, so that the upstreams of a
// failure domain swap one after the other and in time. The package is pure: each upstream computes its own time from
// facts that all share. A plan made from outdated facts reduces capacity but breaks no rule.
package swapplan

import "time"

// Inputs is what the plan of one upstream is computed from.
type Inputs struct {
	// StagedAt is when the new version was completely staged on the upstream's VM.
	StagedAt time.Time
	// ServableUntil is when the version that the upstream serves may no longer take new requests.
	ServableUntil time.Time
	// OlderServableUntil is when the older versions that other upstreams of the domain serve may no longer take new
	// requests, or zero if there are none.
	OlderServableUntil time.Time
	// Rank is the upstream's position among the Size upstreams of its domain, from 0.
	Rank, Size int
	// SwapDuration is how long a swap keeps an upstream from taking requests.
	SwapDuration time.Duration
	// BridgeOnly is true if a newer version will be available soon after the present one ends, so that the staged
	// version only has to bridge the gap on some of the upstreams.
	BridgeOnly bool
}

// LoadAt returns when the upstream stops taking requests to load the staged version. The upstreams of a domain swap one
// at a time, or closer together if the time is too short. Upstreams with an older version, which ends earlier, swap
// first.
func LoadAt(v Inputs) time.Time {
	first := v.StagedAt
	if v.OlderServableUntil.After(first) && v.OlderServableUntil.Before(v.ServableUntil) {
		first = v.OlderServableUntil
	}
	remaining := v.ServableUntil.Sub(first)
	if remaining <= 0 || v.Size < 1 {
		return v.StagedAt
	}
	step := v.SwapDuration
	if !v.BridgeOnly {
		step = min(step, remaining/time.Duration(v.Size))
	}
	return first.Add(time.Duration(v.Rank) * step)
}

// NextVersion is what is known of a version that was published after the one in question.
type NextVersion struct {
	// StartedAt is when its transfer began, and ChunksHeld how many of its ChunksTotal chunks are available locally.
	StartedAt               time.Time
	ChunksHeld, ChunksTotal int
	// UsualDuration is how long the transfer of the previous version took.
	UsualDuration time.Duration
}

// minShareForPace is the share of a version's chunks that must be available before their pace predicts the rest: the
// first chunks wait for the origin and for announcements that neighbours hold them.
const minShareForPace = 0.25

// ExpectedAt returns when the transfer of a version is expected to be complete: by its own pace or, before that is
// known, by the usual duration. While a transfer stalls, the expected time moves later.
func (n *NextVersion) ExpectedAt(now time.Time) time.Time {
	elapsed := now.Sub(n.StartedAt)
	if n.ChunksTotal > 0 && float64(n.ChunksHeld) >= minShareForPace*float64(n.ChunksTotal) {
		return n.StartedAt.Add(time.Duration(float64(elapsed) * float64(n.ChunksTotal) / float64(n.ChunksHeld)))
	}
	return n.StartedAt.Add(max(n.UsualDuration, 2*elapsed))
}

// Need is what a version is still needed for although a newer one is being transferred.
type Need uint8

// The needs for a superseded version.
const (
	// Unneeded: the newer version is available before the present one ends, and each swap takes the upstream out of
	// service.
	Unneeded Need = iota
	// BridgesGap: the newer version is available soon after the present one ends; some upstreams must serve in between.
	BridgesGap
	// Needed: it is not known when the newer version will be available.
	Needed
)

// NeedFor returns what a version is needed for if the present one ends at the given time and a swap takes the given
// duration.
func NeedFor(servableUntil time.Time, swapDuration time.Duration, n NextVersion, now time.Time) Need {
	expected := n.ExpectedAt(now)
	switch {
	case !expected.After(servableUntil):
		return Unneeded
	case expected.Before(servableUntil.Add(2 * swapDuration)):
		return BridgesGap
	default:
		return Needed
	}
}
