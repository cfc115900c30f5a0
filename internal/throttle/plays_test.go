package throttle

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/springrail/springrail/internal/id"
)

const (
	// window is the time in which upstreams count what reaches them, and overShare and overCount are how far that may
	// lie above their limit (the users' rules). usedShare is the least share of a limit that is to be used while there
	// is demand.
	window    = 4 * time.Second
	overShare = 1.5
	overCount = 5
	usedShare = 0.7
	// step is the time between two looks of a play.
	step = 10 * time.Millisecond
)

// scene is a limited upstream before many gateways, in virtual time.
type scene struct {
	now      time.Time
	random   *rand.Rand
	limiter  *Limiter
	by       uint64
	gateways []KnownLimit
	// weights say how uneven callers are.
	weights []float64
	sent    []time.Time
	// refused counts callers without a permit, and vain those of them for whom the limit had room by all that was sent.
	refused, vain int
	room          bucket
	limit         Rate
	// silent are gateways that hear nothing from the process beside the upstream.
	silent func(n int) bool
	// lone says that nobody ever gives permits.
	lone bool
	// lost is the share of news and answers that is lost.
	lost float64
}

func newScene(gateways int, limit Rate, uneven bool, seed uint64) *scene {
	s := &scene{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), limit: limit, silent: func(int) bool { return false }}
	s.gateways = make([]KnownLimit, gateways)
	for n := range gateways {
		w := 1.0
		if uneven {
			w = 1 / float64(n+1)
		}
		s.weights = append(s.weights, w)
	}
	s.restart()
	return s
}

// restart starts the process beside the upstream anew.
func (s *scene) restart() {
	s.by++
	s.limiter = NewLimiter(func() time.Time { return s.now })
	s.limiter.RecordUpstreamReport(LimitInfo{State: Limited, Rate: s.limit}, 1)
}

// play goes on for a time with a number of callers a second.
func (s *scene) play(d time.Duration, callers float64) {
	const tellEvery = 200 * time.Millisecond
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%tellEvery.Milliseconds() == 0 {
			s.tell()
		}
		for came := callers * step.Seconds(); came > 0; came-- {
			if s.random.Float64() < came {
				s.call(s.drawn())
			}
		}
	}
}

func (s *scene) tell() {
	t := s.limiter.Announce()
	t.Incarnation = s.by
	for n := range s.gateways {
		if !s.silent(n) && s.random.Float64() >= s.lost {
			s.gateways[n].ApplyAnnouncement(t, s.now)
		}
	}
}

// drawn is the gateway that the next caller comes to.
func (s *scene) drawn() int {
	sum := 0.0
	for _, w := range s.weights {
		sum += w
	}
	at := s.random.Float64() * sum
	for n, w := range s.weights {
		if at -= w; at < 0 {
			return n
		}
	}
	return len(s.weights) - 1
}

// call is one caller's request, which is sent where there is a permit.
func (s *scene) call(n int) {
	sent := len(s.sent)
	s.offer(&s.gateways[n], n)
	s.room.set(s.limit, s.now)
	switch {
	case len(s.sent) > sent:
		s.room.take(s.now)
	case s.room.whole(s.now) > 0:
		s.vain++
		s.refused++
	default:
		s.refused++
	}
}

// offer sends a request of a gateway if it has a permit.
func (s *scene) offer(k *KnownLimit, n int) {
	switch {
	case !k.Limited():
		s.sent = append(s.sent, s.now)
	case s.silent(n):
		k.Shared(s.now, k.Share(len(s.gateways), s.lone), s.random.Float64)
		if k.TakeSharePermit(s.now) {
			s.sent = append(s.sent, s.now)
		}
	case k.Granted(s.now).Permits > 0:
		s.ask(k)
	}
}

func (s *scene) ask(k *KnownLimit) {
	if s.random.Float64() < s.lost {
		return
	}
	permit := s.limiter.IssuePermit()
	t := s.limiter.Announce()
	t.Incarnation = s.by
	if s.random.Float64() < s.lost {
		return
	}
	k.ApplyAnnouncement(t, s.now)
	if permit > 0 {
		s.sent = append(s.sent, s.now)
	}
}

// worst is the largest number of requests in any window from a moment on.
func (s *scene) worst(from time.Time) int {
	most := 0
	l := slices.DeleteFunc(slices.Clone(s.sent), func(t time.Time) bool { return t.Before(from) })
	for first, last := 0, 0; last < len(l); last++ {
		for l[last].Sub(l[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// used is the share of the limit that was used from a moment on.
func (s *scene) used(from time.Time) float64 {
	n := 0
	for _, t := range s.sent {
		if !t.Before(from) {
			n++
		}
	}
	return float64(n) / (float64(s.limit) * s.now.Sub(from).Seconds())
}

func (s *scene) allowed() float64 {
	return overShare*float64(s.limit)*window.Seconds() + overCount
}

var _ = Describe("many gateways before one limited upstream", func() {
	const known = 3 * time.Second
	// each plays what it is given with all sizes, limits and spreads of callers, of whom there are three times as many
	// as the limit takes.
	each := func(do func(s *scene, callers float64)) {
		for _, gateways := range []int{7, 40, 300} {
			for _, limit := range []Rate{0.1, 0.5, 2.1, 10} {
				for seed := range uint64(20) {
					By(fmt.Sprintf("%d gateways, %g a second, seed %d", gateways, limit, seed))
					do(newScene(gateways, limit, seed%2 > 0, seed), 3*float64(limit))
				}
			}
		}
	}

	It("send it what it takes and no more, and use at least 0.7 of that", func() {
		each(func(s *scene, callers float64) {
			s.play(known, callers)
			from := s.now
			s.play(120*time.Second, callers)
			Expect(float64(s.worst(from))).To(BeNumerically("<=", float64(s.limit)*window.Seconds()+burst))
			Expect(s.used(from)).To(BeNumerically(">=", usedShare))
		})
	})

	It("keep to the rule while the process beside it is silent to all, to some, and has started again", func() {
		each(func(s *scene, callers float64) {
			s.play(known, callers)
			from := s.now
			s.silent = func(n int) bool { return n%3 == 0 }
			s.play(30*time.Second, callers)
			s.silent = func(int) bool { return true }
			s.play(30*time.Second, callers)
			s.restart()
			s.silent = func(int) bool { return false }
			s.play(30*time.Second, callers)
			Expect(float64(s.worst(from))).To(BeNumerically("<=", s.allowed()))
		})
	})

	It("keep to the rule where nobody gives permits, also as callers come to all of them at once after a long time without", func() {
		each(func(s *scene, callers float64) {
			s.follow("parts")
			s.play(known, callers)
			from := s.now
			for range 3 {
				s.now = s.now.Add(time.Hour)
				s.play(20*time.Second, float64(10*len(s.gateways)))
			}
			Expect(float64(s.worst(from))).To(BeNumerically("<=", s.allowed()))
		})
	})

	It("keep to the rule while news, questions and answers are lost", func() {
		each(func(s *scene, callers float64) {
			s.lost = 0.3
			s.play(known, callers)
			from := s.now
			s.play(60*time.Second, callers)
			Expect(float64(s.worst(from))).To(BeNumerically("<=", s.allowed()))
		})
	})
})

// birth draws a start of the upstream: the present one, an earlier one, or none that is told.
func birth(t *rapid.T) id.Incarnation {
	return id.Incarnation(rapid.IntRange(0, 1).Draw(t, "born"))
}

var _ = Describe("news of limits in any order, doubled and lost", func() {
	It("never lets more permits out than the limits that were in force allow, and never loses one for good", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			l := NewLimiter(func() time.Time { return now })
			l.RecordUpstreamReport(LimitInfo{State: Limited, Rate: 1}, 1)
			const most = 4.0
			var given []time.Time
			var permits []uint64
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					l.RecordUpstreamReport(LimitInfo{State: Limited, Rate: Rate(rapid.Float64Range(0, most).Draw(t, "rate"))}, 1)
				case 1:
					l.RecordGatewayLimit(Rate(rapid.Float64Range(0, 1000).Draw(t, "told")), birth(t))
				case 2:
					if len(permits) > 0 {
						l.RecordGatewayEnd(rapid.SampledFrom(permits).Draw(t, "permit"), birth(t))
					}
				case 3:
					if p := l.IssuePermit(); p > 0 {
						given, permits = append(given, now), append(permits, p)
					}
				}
			}
			for first := range given {
				n := 0
				for _, at := range given[first:] {
					if at.Sub(given[first]) < window {
						n++
					}
				}
				if float64(n) > most*window.Seconds()+burst {
					t.Fatalf("%d permits in %s", n, window)
				}
			}
			By("a limit that has ended")
			l.RecordUpstreamReport(LimitInfo{State: Unlimited}, 1)
			if l.IssuePermit() == 0 {
				t.Fatalf("no permit after the end of the limit")
			}
		})
	})
})
