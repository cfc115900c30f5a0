package transfer

import "time"

// linkSamples is the number of deliveries from which the time of a chunk is estimated. It is small so that a drop in
// bandwidth shows after few deliveries.
const linkSamples = 4

// linkEstimator estimates how long one chunk takes on the link of this VM. It takes the fastest of the last deliveries:
// no transfer is faster than the link permits, while a slow one may be due to its sender. A mean made healthy links seem
// slow, as senders share their links among three uploads: 5 to 10 of 18 upstreams were excluded during a distribution,
// counted from the log lines of refused requests.
type linkEstimator struct {
	samples [linkSamples]time.Duration
	count   int
}

// record adds a delivery during which a number of transfers shared the link.
func (l *linkEstimator) record(took time.Duration, sharing int) {
	l.samples[l.count%linkSamples] = took / time.Duration(max(1, sharing))
	l.count++
}

// chunkTime returns the time of one chunk alone on the link, and false until there are enough deliveries.
func (l *linkEstimator) chunkTime() (time.Duration, bool) {
	if l.count < linkSamples {
		return 0, false
	}
	fastest := l.samples[0]
	for _, d := range l.samples {
		fastest = min(fastest, d)
	}
	return fastest, true
}
