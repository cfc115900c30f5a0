package reports

import (
	"time"

	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/placement"
)

const (
	// maxDatagramDelay is how long a datagram may be in flight. A report of the previous incarnation that arrives after
	// the current one has been silent for this long is taken for a new incarnation. A link whose packets are delayed by
	// half as much counts as slowed.
	maxDatagramDelay = time.Second
	// demandTTL is how long the demand in a report stays valid; a stager sends it once a second.
	demandTTL = 3500 * time.Millisecond
)

// stagerState is the state that a gateway keeps for one stager.
type stagerState struct {
	// Incarnations are random numbers, because the time of day may jump. A report of the previous incarnation is out of
	// date.
	incarnation, previousIncarnation, lastNumber uint64
	// lastReportAt is when the newest report arrived.
	lastReportAt time.Time
	// gatewayCount is the number of gateways that subscribe to the stager's reports, and demand is the load that callers
	// offer to them. gatewaysByDomain is the number of gateways of each failure domain, by their own counts. demand and
	// gatewaysByDomain are valid until demandUntil.
	gatewayCount     int
	demand           placement.Demand
	gatewaysByDomain map[id.Domain]int
	demandUntil      time.Time
	// heldQuestion is the question of the stager's newest report about what gateways hold; 0 for none.
	heldQuestion uint64
	// answered is the question that was last answered, at answeredAt, and answeredAll is true if the answer was complete.
	answered    uint64
	answeredAt  time.Time
	answeredAll bool
	// nextLimitSend is when a rate limit that the stager's reports lack may be sent to it again.
	nextLimitSend time.Time
}

// accept records a report's incarnation and sequence number. It returns false for a report that is older than, or the
// same as, one already accepted.
func (h *stagerState) accept(incarnation, number uint64, now time.Time) bool {
	switch {
	case incarnation == h.incarnation:
		if number <= h.lastNumber {
			return false
		}
	case incarnation == h.previousIncarnation && h.previousIncarnation != 0 && now.Sub(h.lastReportAt) < maxDatagramDelay:
		return false
	default:
		h.previousIncarnation, h.incarnation = h.incarnation, incarnation
	}
	h.lastNumber, h.lastReportAt = number, now
	return true
}
