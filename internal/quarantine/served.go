package quarantine

import "time"

const (
	// servedTTL is how long an answered request is remembered. One that many callers send is answered again and again,
	// and is not suspected however many upstreams crash while it is in flight.
	servedTTL = time.Minute
	// minUsualAnswers is the number of recent complete answers from which on a part is unlikely to crash upstreams.
	minUsualAnswers = 3
	// maxServed limits the requests that are remembered; a gateway typically answers 30 a second. They take 0.4 MB.
	maxServed = 4096
)

// recentlyServed remembers the requests that were answered last.
type recentlyServed struct {
	now      func() time.Time
	servedAt map[Fingerprint]time.Time
	counts   map[Fingerprint]int
	// ring holds the requests in the order of their first answers; oldest is the index of the oldest one once it is
	// full.
	ring   []Fingerprint
	oldest int
}

func newRecentlyServed(now func() time.Time) *recentlyServed {
	return &recentlyServed{now: now, servedAt: map[Fingerprint]time.Time{}, counts: map[Fingerprint]int{}}
}

// add notes an answer.
func (s *recentlyServed) add(f Fingerprint) {
	s.addAt(f, s.now())
}

// addAt notes an answer that was given at a time, unless a later one is known.
func (s *recentlyServed) addAt(f Fingerprint, at time.Time) {
	last, known := s.servedAt[f]
	if known && at.Before(last) {
		return
	}
	if !s.has(f) {
		s.counts[f] = 0
	}
	s.counts[f]++
	s.servedAt[f] = at
	if known {
		return
	}
	if len(s.ring) < maxServed {
		s.ring = append(s.ring, f)
		return
	}
	delete(s.servedAt, s.ring[s.oldest])
	delete(s.counts, s.ring[s.oldest])
	s.ring[s.oldest] = f
	s.oldest = (s.oldest + 1) % maxServed
}

// has reports whether a request was answered recently.
func (s *recentlyServed) has(f Fingerprint) bool {
	at, ok := s.servedAt[f]
	return ok && s.now().Sub(at) < servedTTL
}

// count returns how often a request was answered recently, with no minute between two answers.
func (s *recentlyServed) count(f Fingerprint) int {
	if !s.has(f) {
		return 0
	}
	return s.counts[f]
}
