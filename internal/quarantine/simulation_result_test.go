package quarantine

import (
	"fmt"
	"time"
)

// maxLateSends counts the sends of a bad request more than 3 s after the third crash under it, and returns the maximum over the
// bad requests.
func (t *simulation) maxLateSends() (highest int) {
	for name, crashes := range t.crashTimes {
		n := 0
		for _, at := range t.sends[name] {
			if len(crashes) >= 3 && at > crashes[2]+3*time.Second {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// crashCount counts the crashes under bad requests.
func (t *simulation) crashCount() (n int) {
	for _, l := range t.crashTimes {
		n += len(l)
	}
	return n
}

// heldProper counts the harmless requests that some gateway holds.
func (t *simulation) heldProper() (n int) {
	held := map[Fingerprint]bool{}
	for _, l := range t.trackers {
		for _, h := range l.HeldRequests() {
			held[h.Fingerprint] = true
		}
	}
	for b := range t.bad {
		delete(held, request(fmt.Sprint("bad", b)))
	}
	return len(held)
}
