package transfer

import "time"

// linkSamples is the number of deliveries that the time of a chunk is taken from. A link that narrows shows after that
// many, so it is small.
const linkSamples = 4

// linkTime estimates how long one chunk takes the link of this VM. A transfer that is slow at its sender says nothing of
// the receiver's link, while no transfer is faster than the link lets it be: the quickest of the last few counts. With the
// mean, a sender that shares its link among three uploads made healthy links look narrow: 5 to 10 of 18 upstreams were
// passed over in a burst, as counted from the log lines of refused requests.
type linkTime struct {
	last  [linkSamples]time.Duration
	count int
}

// note takes a delivery that took a time while a number of transfers shared the link.
func (l *linkTime) note(took time.Duration, sharing int) {
	l.last[l.count%linkSamples] = took / time.Duration(max(1, sharing))
	l.count++
}

// chunk is the time of one chunk alone on the link; it is not known before enough have been delivered.
func (l *linkTime) chunk() (time.Duration, bool) {
	if l.count < linkSamples {
		return 0, false
	}
	least := l.last[0]
	for _, d := range l.last {
		least = min(least, d)
	}
	return least, true
}
