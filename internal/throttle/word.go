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

// Said is what an answer says of its upstream's limit.
type Said int

// What answers say: nothing that can be understood, that there is no limit, or a limit.
const (
	Unclear Said = iota
	Unlimited
	Limited
)

// Word is what one answer says, with the Rate of a Limited one.
type Word struct {
	Said Said
	Rate Rate
}

// Parse reads the text in which an upstream names its limit; an empty one is that of an upstream that names none. What
// is no number, or none that can be kept to, is Unclear.
func Parse(text string) Word {
	if text == "" {
		return Word{Said: Unlimited}
	}
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !Valid(n) {
		return Word{Said: Unclear}
	}
	return Word{Said: Limited, Rate: Rate(n)}
}

// Valid says whether a number can be a rate.
func Valid(n float64) bool {
	return n >= 0 && !math.IsInf(n, 0)
}

// String implements fmt.Stringer.
func (w Word) String() string {
	switch w.Said {
	case Unlimited:
		return "none"
	case Limited:
		return strconv.FormatFloat(float64(w.Rate), 'g', -1, 64) + " a second"
	default:
		return "unclear"
	}
}
