// Package throttle keeps the requests of all gateways to an upstream within the rate limit that the upstream announces.
// The process beside the upstream, on the same VM, issues permits, and gateways request one before each send. The
// package does no network I/O.
package throttle

import (
	"math"
	"strconv"
	"strings"
)

// Rate is a number of requests per second.
type Rate float64

// LimitState is what a response says about its upstream's limit.
type LimitState int

// Unclear stands for a value that can't be parsed, Unlimited for no limit, and Limited for a limit.
const (
	Unclear LimitState = iota
	Unlimited
	Limited
)

// LimitInfo is the limit information of one response; Rate is set if State is Limited.
type LimitInfo struct {
	State LimitState
	Rate  Rate
}

// ParseLimit parses the value in which an upstream announces its limit; an empty one means no limit. A value that is not
// a number, or not a valid rate, is Unclear.
func ParseLimit(text string) LimitInfo {
	if text == "" {
		return LimitInfo{State: Unlimited}
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !ValidRate(n) {
		return LimitInfo{State: Unclear}
	}
	return LimitInfo{State: Limited, Rate: Rate(n)}
}

// ValidRate reports whether a number is a valid rate.
func ValidRate(n float64) bool {
	return n >= 0 && !math.IsInf(n, 0)
}

// String implements fmt.Stringer.
func (w LimitInfo) String() string {
	switch w.State {
	case Unlimited:
		return "none"
	case Limited:
		return strconv.FormatFloat(float64(w.Rate), 'g', -1, 64) + " a second"
	default:
		return "unclear"
	}
}
