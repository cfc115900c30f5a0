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
	// window is the time in which upstreams count requests; excessFactor and excessCount bound how far that count may
	// exceed their limit, by the users' rules. minUtilisation is the minimum share of a limit that must be used while
	// there is demand.
	window         = 4 * time.Second
	excessFactor   = 1.5
	excessCount    = 5
	minUtilisation = 0.7
	// step is the time step of the simulation.
	step = 10 * time.Millisecond
)

// simulation is a rate-limited upstream with many gateways, in virtual time.
type simulation struct {
	now         time.Time
	random      *rand.Rand
	limiter     *Limiter
	incarnation uint64
	gateways    []KnownLimit
	// weights are the relative request rates of the gateways.
	weights []float64
	sent    []time.Time
	// refused counts requests without a permit, and needlessRefusals those of them for which the limit had capacity.
	// That is known from reference, a token bucket for all requests sent.
	refused, needlessRefusals int
	reference                 bucket
	limit                     Rate
	// silent selects gateways that receive nothing from the process beside the upstream.
	silent func(n int) bool
	// noIssuer is true if no process issues permits.
	noIssuer bool
	// lossShare is the share of announcements, permit requests and permits that are lost.
	lossShare float64
}

func newSimulation(gateways int, limit Rate, uneven bool, seed uint64) *simulation {
	s := &simulation{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)), limit: limit, silent: func(int) bool { return false }}
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

// restart restarts the process beside the upstream.
func (s *simulation) restart() {
	s.incarnation++
	s.limiter = NewLimiter(func() time.Time { return s.now })
	s.limiter.RecordUpstreamReport(LimitInfo{State: Limited, Rate: s.limit}, 1)
}

// run simulates a time with a number of requests per second.
func (s *simulation) run(d time.Duration, requestsPerSecond float64) {
	const announceInterval = 200 * time.Millisecond
	for until := s.now.Add(d); s.now.Before(until); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%announceInterval.Milliseconds() == 0 {
			s.announce()
		}
		for arrivals := requestsPerSecond * step.Seconds(); arrivals > 0; arrivals-- {
			if s.random.Float64() < arrivals {
				s.arrive(s.drawGateway())
			}
		}
	}
}

func (s *simulation) announce() {
	t := s.limiter.Announce()
	t.Incarnation = s.incarnation
	for n := range s.gateways {
		if !s.silent(n) && s.random.Float64() >= s.lossShare {
			s.gateways[n].ApplyAnnouncement(t, s.now)
		}
	}
}

// drawGateway draws the gateway of the next request.
func (s *simulation) drawGateway() int {
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

// arrive handles one request, which is sent if there is a permit.
func (s *simulation) arrive(n int) {
	sent := len(s.sent)
	s.trySend(&s.gateways[n], n)
	s.reference.setRate(s.limit, s.now)
	switch {
	case len(s.sent) > sent:
		s.reference.take(s.now)
	case s.reference.available(s.now) > 0:
		s.needlessRefusals++
		s.refused++
	default:
		s.refused++
	}
}

// trySend sends a request from a gateway if it has a permit.
func (s *simulation) trySend(k *KnownLimit, n int) {
	switch {
	case !k.Limited():
		s.sent = append(s.sent, s.now)
	case s.silent(n):
		k.Shared(s.now, k.Share(len(s.gateways), s.noIssuer), s.random.Float64)
		if k.TakeSharePermit(s.now) {
			s.sent = append(s.sent, s.now)
		}
	case k.Granted(s.now).Permits > 0:
		s.requestPermit(k)
	}
}

func (s *simulation) requestPermit(k *KnownLimit) {
	if s.random.Float64() < s.lossShare {
		return
	}
	permit := s.limiter.IssuePermit()
	t := s.limiter.Announce()
	t.Incarnation = s.incarnation
	if s.random.Float64() < s.lossShare {
		return
	}
	k.ApplyAnnouncement(t, s.now)
	if permit > 0 {
		s.sent = append(s.sent, s.now)
	}
}

// maxInWindow is the largest number of requests in any window from a time on.
func (s *simulation) maxInWindow(from time.Time) int {
	largest := 0
	l := slices.DeleteFunc(slices.Clone(s.sent), func(t time.Time) bool { return t.Before(from) })
	for first, last := 0, 0; last < len(l); last++ {
		for l[last].Sub(l[first]) >= window {
			first++
		}
		largest = max(largest, last-first+1)
	}
	return largest
}

// utilisation is the share of the limit that was used from a time on.
func (s *simulation) utilisation(from time.Time) float64 {
	n := 0
	for _, t := range s.sent {
		if !t.Before(from) {
			n++
		}
	}
	return float64(n) / (float64(s.limit) * s.now.Sub(from).Seconds())
}

func (s *simulation) allowed() float64 {
	return excessFactor*float64(s.limit)*window.Seconds() + excessCount
}

var _ = Describe("many gateways of one rate-limited upstream", func() {
	const learningTime = 3 * time.Second
	// forEachSetting runs a test with all numbers of gateways, limits, and even and uneven loads. The load is three
	// times the limit.
	forEachSetting := func(do func(s *simulation, requestsPerSecond float64)) {
		for _, gateways := range []int{7, 40, 300} {
			for _, limit := range []Rate{0.1, 0.5, 2.1, 10} {
				for seed := range uint64(20) {
					By(fmt.Sprintf("%d gateways, %g a second, seed %d", gateways, limit, seed))
					do(newSimulation(gateways, limit, seed%2 > 0, seed), 3*float64(limit))
				}
			}
		}
	}

	It("keep to the limit, and use at least 0.7 of it", func() {
		forEachSetting(func(s *simulation, requestsPerSecond float64) {
			s.run(learningTime, requestsPerSecond)
			from := s.now
			s.run(120*time.Second, requestsPerSecond)
			Expect(float64(s.maxInWindow(from))).To(BeNumerically("<=", float64(s.limit)*window.Seconds()+burst))
			Expect(s.utilisation(from)).To(BeNumerically(">=", minUtilisation))
		})
	})

	It("keep to the users' rules while the process beside it is silent to all or to some, and after its restart", func() {
		forEachSetting(func(s *simulation, requestsPerSecond float64) {
			s.run(learningTime, requestsPerSecond)
			from := s.now
			s.silent = func(n int) bool { return n%3 == 0 }
			s.run(30*time.Second, requestsPerSecond)
			s.silent = func(int) bool { return true }
			s.run(30*time.Second, requestsPerSecond)
			s.restart()
			s.silent = func(int) bool { return false }
			s.run(30*time.Second, requestsPerSecond)
			Expect(float64(s.maxInWindow(from))).To(BeNumerically("<=", s.allowed()))
		})
	})

	It("keep to the users' rules without an issuer of permits, also on a burst at all gateways after a long idle time", func() {
		forEachSetting(func(s *simulation, requestsPerSecond float64) {
			s.setStrategy("parts")
			s.run(learningTime, requestsPerSecond)
			from := s.now
			for range 3 {
				s.now = s.now.Add(time.Hour)
				s.run(20*time.Second, float64(10*len(s.gateways)))
			}
			Expect(float64(s.maxInWindow(from))).To(BeNumerically("<=", s.allowed()))
		})
	})

	It("keep to the users' rules while announcements, permit requests and permits are lost", func() {
		forEachSetting(func(s *simulation, requestsPerSecond float64) {
			s.lossShare = 0.3
			s.run(learningTime, requestsPerSecond)
			from := s.now
			s.run(60*time.Second, requestsPerSecond)
			Expect(float64(s.maxInWindow(from))).To(BeNumerically("<=", s.allowed()))
		})
	})
})

// drawIncarnation draws an incarnation of the upstream: the present one or an unknown one.
func drawIncarnation(t *rapid.T) id.Incarnation {
	return id.Incarnation(rapid.IntRange(0, 1).Draw(t, "born"))
}

var _ = Describe("limit notices in any order, duplicated and lost", func() {
	It("never issue more permits than the limits in force allow, and never block permits for good", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			now := time.Unix(1000, 0)
			l := NewLimiter(func() time.Time { return now })
			l.RecordUpstreamReport(LimitInfo{State: Limited, Rate: 1}, 1)
			const maxRate = 4.0
			var issuedAt []time.Time
			var permits []uint64
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				switch rapid.IntRange(0, 3).Draw(t, "what") {
				case 0:
					l.RecordUpstreamReport(LimitInfo{State: Limited, Rate: Rate(rapid.Float64Range(0, maxRate).Draw(t, "rate"))}, 1)
				case 1:
					l.RecordGatewayLimit(Rate(rapid.Float64Range(0, 1000).Draw(t, "announced")), drawIncarnation(t))
				case 2:
					if len(permits) > 0 {
						l.RecordGatewayEnd(rapid.SampledFrom(permits).Draw(t, "permit"), drawIncarnation(t))
					}
				case 3:
					if p := l.IssuePermit(); p > 0 {
						issuedAt, permits = append(issuedAt, now), append(permits, p)
					}
				}
			}
			for first := range issuedAt {
				n := 0
				for _, at := range issuedAt[first:] {
					if at.Sub(issuedAt[first]) < window {
						n++
					}
				}
				if float64(n) > maxRate*window.Seconds()+burst {
					t.Fatalf("%d permits in %s", n, window)
				}
			}
			By("the end of the limit")
			l.RecordUpstreamReport(LimitInfo{State: Unlimited}, 1)
			if l.IssuePermit() == 0 {
				t.Fatalf("no permit after the end of the limit")
			}
		})
	})
})
