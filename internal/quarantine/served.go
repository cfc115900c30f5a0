package quarantine

import (
	"time"

	"github.com/springrail/springrail/internal/id"
)

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
	// contents has what each is a use of, as far as known, and uses lists those of each content with their organisations.
	contents map[Fingerprint]Fingerprint
	uses     map[Fingerprint]map[Fingerprint]id.Organisation
	// ring holds the requests in the order of their first answers; oldest is the index of the oldest one once it is
	// full.
	ring   []Fingerprint
	oldest int
}

func newRecentlyServed(now func() time.Time) *recentlyServed {
	return &recentlyServed{now: now, servedAt: map[Fingerprint]time.Time{}, counts: map[Fingerprint]int{}, contents: map[Fingerprint]Fingerprint{}, uses: map[Fingerprint]map[Fingerprint]id.Organisation{}}
}

// add notes an answer.
func (s *recentlyServed) add(f Fingerprint) {
	s.addAt(f, s.now())
}

// addOf notes an answer on an organisation's use of a request or part.
func (s *recentlyServed) addOf(f, use Fingerprint, o id.Organisation) {
	s.add(use)
	s.contents[use] = f
	if s.uses[f] == nil {
		s.uses[f] = map[Fingerprint]id.Organisation{}
	}
	s.uses[f][use] = o
}

// forget removes a use.
func (s *recentlyServed) forget(use Fingerprint) {
	delete(s.servedAt, use)
	delete(s.counts, use)
	if f, ok := s.contents[use]; ok {
		delete(s.contents, use)
		if delete(s.uses[f], use); len(s.uses[f]) == 0 {
			delete(s.uses, f)
		}
	}
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
	s.forget(s.ring[s.oldest])
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
