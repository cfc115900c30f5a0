package placement

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/throttle"
)

var _ = Describe("an upstream that takes no more than a limit", func() {
	// chosen is the share of requests that go to the upstream with the given place in the list and find room there.
	chosen := func(l []Candidate, n int, w *Forecast) float64 {
		const tries = 2000
		r := seeded()
		at := 0
		for range tries {
			if c, _ := Choose(l, nil, w, r); c.Instance == l[n].Instance && c.HasCapacity {
				at++
			}
		}
		return float64(at) / tries
	}
	demand := Demand{"d": {OnTime: 300}}

	It("gets the share of all requests for which it has permits, however idle it looks", func() {
		l := fleetOf(10, 20)
		l[3].Running, l[3].Waiting = 0, 0
		Expect(chosen(l, 3, outlookOf(demand))).To(BeNumerically(">", 2*2.0/61))
		l[3].Limit = &throttle.Limit{Rate: 2, Permits: 2}
		// 60 requests are expected until the next reports, and the one that is asked about.
		Expect(chosen(l, 3, outlookOf(demand))).To(BeNumerically("~", 2.0/61, 0.015))
	})

	It("leaves the rest without room where all of a pool are limited", func() {
		l := fleetOf(10, 0)
		for n := range l {
			l[n].Limit = &throttle.Limit{Rate: 2, Permits: 1}
		}
		Expect(letIn(l, outlookOf(demand))).To(BeNumerically("~", 10.0/61, 0.03))
	})
})

var _ = Describe("what the tracker knows of limits", func() {
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
	report := func(b id.Incarnation, told throttle.Announcement) {
		t.SetReport("a", LoadReport{Incarnation: b, ReceivedAt: now, Limit: told})
	}

	It("is of one start of an upstream", func() {
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2})
		Expect(t.Candidate(i, 0).Limit.Permits).To(Equal(2))
		report(6, throttle.Announcement{Incarnation: 1})
		Expect(t.Candidate(i, 0).Limit).To(BeNil())
	})

	It("is of one instance where upstreams don't tell their starts", func() {
		i.Born = 0
		f := t.Begin("a", 1)
		Expect(f.RecordLimitAnswer(limited)).To(BeFalse())
		Expect(t.Candidate(i, 0).Limit).NotTo(BeNil())
		Expect(t.Candidate(&facts.Instance{ID: "j", Address: "a", ListPosition: 2}, 0).Limit).To(BeNil())
	})

	It("is told to the process beside the upstream where that does not say it itself", func() {
		report(5, throttle.Announcement{Incarnation: 1})
		f := t.Begin("a", 1)
		Expect(f.RecordLimitAnswer(limited)).To(BeTrue())
		_, _, untold := t.UnannouncedLimit("a", 1)
		Expect(untold).To(BeTrue())
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1})
		_, _, untold = t.UnannouncedLimit("a", 1)
		Expect(untold).To(BeFalse())
		Expect(f.RecordLimitAnswer(limited)).To(BeTrue())
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, FromUpstream: true})
		Expect(f.RecordLimitAnswer(limited)).To(BeFalse())
	})

	It("leaves each gateway its part while the process beside the upstream is silent", func() {
		t.Gateways = func() int { return 2 }
		report(5, throttle.Announcement{LimitInfo: limited, Incarnation: 1, Permits: 2})
		Expect(t.TakeSharePermit("a")).To(BeFalse())
		now = now.Add(2 * time.Second)
		taken := 0
		for range 100 {
			now = now.Add(100 * time.Millisecond)
			if t.Candidate(i, 0).Limit.Permits > 0 && t.TakeSharePermit("a") {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", 5, 1))
	})
})

var _ = Describe("when a caller comes back that found no permit", func() {
	It("is spread from the next permit on over what the caller heeds", func() {
		r := seeded()
		least, most := time.Hour, time.Duration(0)
		for range 1000 {
			d := SpreadRetryAfter(500*time.Millisecond, 6*time.Second, r)
			least, most = min(least, d), max(most, d)
		}
		Expect(least).To(BeNumerically("~", 500*time.Millisecond, 20*time.Millisecond))
		Expect(most).To(BeNumerically("~", 2*time.Second, 20*time.Millisecond))
		Expect(SpreadRetryAfter(time.Hour, 6*time.Second, r)).To(Equal(2 * time.Second))
		Expect(SpreadRetryAfter(0, 0, r)).To(Equal(leastRetry))
	})
})
