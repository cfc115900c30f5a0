package reports

import (
	"time"

	"github.com/springrail/springrail/internal/placement"
)

const (
	// lateMost is how long a datagram may be on its way: one of an earlier start that comes after such a silence of the
	// newest start is of a still newer one. A link whose packets wait half as long counts as slowed (the users' rules).
	lateMost = time.Second
	// demandLife is how long the demand that a stager has told counts: it tells it once a second.
	demandLife = 3500 * time.Millisecond
)

// heard is what a stager has said last.
type heard struct {
	// Incarnations are random, as the time of day may jump; a report of the one before the current is late.
	incarnation, before, number uint64
	// at is when the newest report came.
	at time.Time
	// gateways is the number of its subscribers, and demand what callers bring to them.
	gateways    int
	demand      placement.Demand
	demandUntil time.Time
	// retell is when a limit that it does not tell may be told to it again.
	retell time.Time
}

// next notes a report's place and says whether it follows all that came before.
func (h *heard) next(incarnation, number uint64, now time.Time) bool {
	switch {
	case incarnation == h.incarnation:
		if number <= h.number {
			return false
		}
	case incarnation == h.before && h.before != 0 && now.Sub(h.at) < lateMost:
		return false
	default:
		h.before, h.incarnation = h.incarnation, incarnation
	}
	h.number, h.at = number, now
	return true
}
