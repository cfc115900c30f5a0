package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

var _ = Describe("an upstream with a rate limit", func() {
	// shareWithCapacity is the share of requests that are placed on the upstream at the given index with capacity for them.
	shareWithCapacity := func(l []Candidate, n int, w *Forecast) float64 {
		const tries = 2000
		r := seededRandom()
		at := 0
		for range tries {
			if c, _ := Choose(l, nil, w, r); c.Instance == l[n].Instance && c.HasCapacity {
				at++
			}
		}
		return float64(at) / tries
	}
	demand := Demand{"d": {OnTime: 300}}

	It("gets only as many requests as it has permits, however idle it looks", func() {
		l := fleetOf(10, 20)
		l[3].Running, l[3].Waiting = 0, 0
		Expect(shareWithCapacity(l, 3, forecastOf(demand))).To(BeNumerically(">", 2*2.0/61))
		l[3].Limit = &throttle.Limit{Rate: 2, Permits: 2}
		// 60 requests are expected until the next reports, plus the request itself.
		Expect(shareWithCapacity(l, 3, forecastOf(demand))).To(BeNumerically("~", 2.0/61, 0.015))
	})

	It("leaves the other requests without capacity where all upstreams of a pool are limited", func() {
		l := fleetOf(10, 0)
		for n := range l {
			l[n].Limit = &throttle.Limit{Rate: 2, Permits: 1}
		}
		Expect(admittedShare(l, forecastOf(demand))).To(BeNumerically("~", 10.0/61, 0.03))
	})
})

var _ = Describe("the tracker's rate limits", func() {
	var (
		now time.Time
		t   *Tracker
		i   *facts.Instance
	)
	limited := throttle.LimitInfo{State: throttle.Limited, Rate: 2}
	BeforeEach(func() {
		now = time.Unix(1000, 0)
		t = NewTracker(func() time.Time { return now })
		i = &facts.Instance{ID: "i", Address: "a", Born: 5, ListPosition: 1}
	})
	report := func(b id.Incarnation, announcement throttle.Announcement) {
		t.SetReport("a", LoadReport{Incarnation: b, ReceivedAt: now, Limit: announcement})
	}

	It("end with the process lifetime of the upstream", func() {
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2})
		Expect(t.Candidate(i, 0).Limit.Permits).To(Equal(2))
		report(6, throttle.Announcement{Incarnation: 1})
		Expect(t.Candidate(i, 0).Limit).To(BeNil())
	})

	It("apply to one instance ID where upstreams have no incarnation", func() {
		i.Born = 0
		f := t.Begin("a", 1)
		Expect(f.RecordLimitAnswer(limited)).To(BeFalse())
		Expect(t.Candidate(i, 0).Limit).NotTo(BeNil())
		Expect(t.Candidate(&facts.Instance{ID: "j", Address: "a", ListPosition: 2}, 0).Limit).To(BeNil())
	})

	It("are sent to the process beside the upstream unless it gets them from the upstream itself", func() {
		report(5, throttle.Announcement{Incarnation: 1})
		f := t.Begin("a", 1)
		Expect(f.RecordLimitAnswer(limited)).To(BeTrue())
		_, _, unannounced := t.UnannouncedLimit("a", 1)
		Expect(unannounced).To(BeTrue())
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1})
		_, _, unannounced = t.UnannouncedLimit("a", 1)
		Expect(unannounced).To(BeFalse())
		Expect(f.RecordLimitAnswer(limited)).To(BeTrue())
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, FromUpstream: true})
		Expect(f.RecordLimitAnswer(limited)).To(BeFalse())
	})

	// Guards against permits beyond the share, and against slots that do not start at the drawn time: two gateways divide
	// 0.4 of two requests a second, which is a slot every 2.5 s.
	DescribeTable("give each gateway its share while the process beside the upstream is silent", func(start float64, takenAtMs ...int) {
		t.Gateways, t.Random = func() int { return 2 }, func() float64 { return start }
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2})
		Expect(t.TakeSharePermit("a")).To(BeFalse())
		now = now.Add(2 * time.Second)
		silentSince := now
		var taken []int
		for range 100 {
			if t.Candidate(i, 0).Limit.Permits > 0 && t.TakeSharePermit("a") {
				taken = append(taken, int(now.Sub(silentSince).Milliseconds()))
			}
			now = now.Add(100 * time.Millisecond)
		}
		Expect(taken).To(Equal(takenAtMs))
	},
		Entry("with the first slot at once", 0.0, 0, 2500, 5000, 7500),
		Entry("with the first slot in the middle of the first period", 0.5, 1300, 3800, 6300, 8800),
		Entry("with the first slot at the end of the first period", 0.98, 2500, 5000, 7500),
	)
})

var _ = Describe("the Retry-After of a caller that got no permit", func() {
	It("is spread between the next permit and the longest wait that the caller accepts", func() {
		r := seededRandom()
		shortest, longest := time.Hour, time.Duration(0)
		for range 1000 {
			d := SpreadRetryAfter(500*time.Millisecond, 6*time.Second, r)
			shortest, longest = min(shortest, d), max(longest, d)
		}
		Expect(shortest).To(BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
		Expect(longest).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond))
		Expect(SpreadRetryAfter(time.Hour, 6*time.Second, r)).To(Equal(2 * time.Second))
		Expect(SpreadRetryAfter(0, 0, r)).To(Equal(minRetryAfter))
	})
})
