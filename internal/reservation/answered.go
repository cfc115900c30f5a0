package reservation

import "time"

const (
	// rememberedFor is how long a duplicate of a request gets the answer of the first one. A datagram may be in flight for
	// as long.
	rememberedFor = time.Second
	// maxRemembered bounds the remembered answers. An engine is asked some hundreds of times a second.
	maxRemembered = 1024
)

// requestKey identifies a request for a reservation.
type requestKey struct {
	gateway string
	number  uint64
}

// answered are the answers to the latest requests, whatever has become of their reservations since.
type answered struct {
	answers map[requestKey]Answer
	// order has the keys of the answers, the oldest first.
	order []rememberedKey
}

// rememberedKey is a request with the time until which its answer is remembered.
type rememberedKey struct {
	key   requestKey
	until time.Time
}

// add remembers an answer, and drops those that have expired or are too many.
func (m *answered) add(k requestKey, a Answer, now time.Time) {
	dropped := 0
	for dropped < len(m.order) && (now.After(m.order[dropped].until) || len(m.order)-dropped >= maxRemembered) {
		delete(m.answers, m.order[dropped].key)
		dropped++
	}
	m.order = append(m.order[dropped:], rememberedKey{k, now.Add(rememberedFor)})
	m.answers[k] = a
}
