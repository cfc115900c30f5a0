// Package throttle keeps what all gateways together send to an upstream within the limit that the upstream names. Its
// parts know no network: the process beside the upstream grants places, and gateways ask for one before each send.
package throttle

import (
	"math"
	"strconv"
	"strings"
)

// Rate is a number of requests a second.
type Rate float64

// LimitState is what an answer says of its upstream's limit.
type LimitState int

// What answers say: nothing that can be understood, that there is no limit, or a limit.
const (
	Unclear LimitState = iota
	Unlimited
	Limited
)

// LimitInfo is what one answer says, with the Rate of a Limited one.
type LimitInfo struct {
	State LimitState
	Rate  Rate
}

// ParseLimit reads the text in which an upstream names its limit; an empty one is that of an upstream that names none. What
// is no number, or none that can be kept to, is Unclear.
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

// ValidRate says whether a number can be a rate.
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
