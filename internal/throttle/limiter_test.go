package throttle

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the one that gives permits for an upstream", func() {
	var (
		now     time.Time
		l       *Limiter
		changes []string
	)
	limited := func(r Rate) LimitInfo { return LimitInfo{State: Limited, Rate: r} }
	none := LimitInfo{State: Unlimited}
	BeforeEach(func() {
		now, changes = time.Unix(1000, 0), nil
		l = NewLimiter(func() time.Time { return now })
		l.OnChange = func(w LimitInfo, by string) { changes = append(changes, w.String()+" by "+by) }
	})
	// permits counts what is given of so many questions.
	permits := func(asked int) (n int) {
		for range asked {
			if l.IssuePermit() > 0 {
				n++
			}
		}
		return n
	}

	It("gives any while there is no limit, and tells nothing", func() {
		l.RecordUpstreamReport(none, 5)
		Expect(permits(100)).To(Equal(100))
		Expect(l.Announce()).To(Equal(Announcement{}))
		Expect(changes).To(BeEmpty())
	})

	It("gives none at once as a limit begins, and then as many as it allows", func() {
		l.RecordUpstreamReport(limited(2), 5)
		Expect(permits(100)).To(BeZero())
		now = now.Add(500 * time.Millisecond)
		Expect(permits(100)).To(Equal(1))
		now = now.Add(time.Hour)
		Expect(permits(100)).To(Equal(burst))
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: limited(2), FromUpstream: true}))
	})

	It("gives fewer or more as the limit changes, of what comes from then on", func() {
		l.RecordUpstreamReport(limited(1), 5)
		now = now.Add(time.Second)
		l.RecordUpstreamReport(limited(10), 5)
		Expect(permits(100)).To(Equal(1))
		now = now.Add(100 * time.Millisecond)
		Expect(permits(100)).To(Equal(1))
		l.RecordUpstreamReport(limited(0), 5)
		now = now.Add(time.Hour)
		Expect(permits(100)).To(BeZero())
	})

	It("tells the end of a limit for some time", func() {
		l.RecordUpstreamReport(limited(2), 5)
		l.RecordUpstreamReport(none, 5)
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: none}))
		Expect(permits(100)).To(Equal(100))
		now = now.Add(overFor)
		Expect(l.Announce()).To(Equal(Announcement{}))
		Expect(changes).To(Equal([]string{"2 a second by the upstream's report", "none by the upstream's report"}))
		By("a gateway that has missed it")
		l.RecordGatewayLimit(2, 5)
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: none}))
		Expect(permits(100)).To(Equal(100))
	})

	It("believes gateways where the upstream's reports name no limit", func() {
		l.RecordUpstreamReport(none, 5)
		l.RecordGatewayLimit(2, 5)
		l.RecordUpstreamReport(none, 5)
		Expect(permits(100)).To(BeZero())
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: limited(2)}))
	})

	It("takes a limit as ended only by an answer to a permit that was given after the limit was last named", func() {
		before := l.IssuePermit()
		l.RecordGatewayLimit(2, 5)
		l.RecordGatewayEnd(before, 5)
		Expect(l.Announce().State).To(Equal(Limited))
		now = now.Add(time.Second)
		first := l.IssuePermit()
		l.RecordGatewayLimit(2, 5)
		l.RecordGatewayEnd(first, 5)
		Expect(l.Announce().State).To(Equal(Limited))
		second := l.IssuePermit()
		l.RecordGatewayEnd(second+1, 5)
		Expect(l.Announce().State).To(Equal(Limited))
		l.RecordGatewayEnd(second, 5)
		Expect(l.Announce().State).To(Equal(Unlimited))
	})

	It("tries an upstream that takes nothing now and then, where only answers can tell that this has ended", func() {
		l.RecordGatewayLimit(0, 5)
		now = now.Add(9 * time.Second)
		Expect(permits(100)).To(BeZero())
		now = now.Add(time.Second)
		Expect(permits(100)).To(Equal(1))
	})

	It("forgets the limit of a start that is over, and what is said of it", func() {
		l.RecordUpstreamReport(limited(2), 5)
		l.RecordUpstreamReport(none, 6)
		Expect(permits(100)).To(Equal(100))
		l.RecordGatewayLimit(2, 5)
		Expect(permits(100)).To(Equal(100))
		l.RecordGatewayLimit(2, 6)
		Expect(permits(100)).To(BeZero())
	})
})

var _ = Describe("what a gateway knows of a limit", func() {
	var (
		now time.Time
		k   KnownLimit
	)
	half := func() float64 { return 0.5 }
	limited := func(r Rate) LimitInfo { return LimitInfo{State: Limited, Rate: r} }
	BeforeEach(func() { now, k = time.Unix(1000, 0), KnownLimit{} })

	It("comes from the process beside the upstream, with the permits that it has", func() {
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(2), Incarnation: 1, Permits: 1.5, FromUpstream: true}, now)
		Expect(k.Granted(now)).To(Equal(Limit{Rate: 2, KnownSince: now, Permits: 1}))
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(2), Incarnation: 1, FromUpstream: true}, now)
		Expect(k.Granted(now).Permits).To(BeZero())
		Expect(k.Granted(now).NextPermitIn).To(Equal(500 * time.Millisecond))
		now = now.Add(500 * time.Millisecond)
		Expect(k.Granted(now).Permits).To(Equal(1))
		k.ApplyAnnouncement(Announcement{LimitInfo: LimitInfo{State: Unlimited}, Incarnation: 1}, now)
		Expect(k.Limited()).To(BeFalse())
	})

	It("ends as that process tells it no more, but not as another start of that process has not heard of it", func() {
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(3), Incarnation: 1}, now)
		k.ApplyAnnouncement(Announcement{Incarnation: 2}, now)
		Expect(k.Limited()).To(BeTrue())
		rate, untold := k.Unannounced(2)
		Expect(rate).To(Equal(Rate(3)))
		Expect(untold).To(BeTrue())
		k.ApplyAnnouncement(Announcement{Incarnation: 1}, now)
		Expect(k.Limited()).To(BeFalse())
	})

	It("comes from answers too, and ends by one that was asked for later only while nobody else can tell", func() {
		k.ApplyAnswer(limited(2), now.Add(-time.Second), now, true)
		Expect(k.Limited()).To(BeTrue())
		Expect(k.Granted(now).Permits).To(BeZero())
		none := LimitInfo{State: Unlimited}
		k.ApplyAnswer(none, now.Add(-time.Millisecond), now, true)
		Expect(k.Limited()).To(BeTrue())
		k.ApplyAnswer(LimitInfo{}, now.Add(time.Millisecond), now, true)
		Expect(k.Limited()).To(BeTrue())
		k.ApplyAnswer(none, now.Add(time.Millisecond), now, false)
		Expect(k.Limited()).To(BeTrue())
		k.ApplyAnswer(none, now.Add(time.Millisecond), now, true)
		Expect(k.Limited()).To(BeFalse())
	})

	It("is shared among gateways while the process beside the upstream is silent", func() {
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(2), Incarnation: 1, Permits: 2}, now)
		part := k.Share(4, false)
		Expect(part).To(BeNumerically("~", 0.2))
		Expect(k.Share(4, true)).To(BeNumerically("~", 0.35))
		Expect(k.Shared(now, part, half).Permits).To(BeZero())
		taken := 0
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			k.Shared(now, part, half)
			if k.TakeSharePermit(now) {
				taken++
			}
		}
		Expect(taken).To(BeNumerically("~", 8, 1))
		By("a turn that nobody used, which is over")
		now = now.Add(time.Hour)
		for k.Shared(now, part, half).NextPermitIn > 0 {
			now = now.Add(10 * time.Millisecond)
		}
		Expect(k.TakeSharePermit(now)).To(BeTrue())
		Expect(k.TakeSharePermit(now)).To(BeFalse())
		By("that process, which is back")
		k.Granted(now)
		Expect(k.TakeSharePermit(now)).To(BeFalse())
	})
})
