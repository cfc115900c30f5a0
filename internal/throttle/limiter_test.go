package throttle

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the limiter of an upstream", func() {
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
	// permits counts the permits issued for a number of requests.
	permits := func(requests int) (n int) {
		for range requests {
			if l.IssuePermit() > 0 {
				n++
			}
		}
		return n
	}

	It("issues any number of permits without a limit, and announces nothing", func() {
		l.RecordUpstreamReport(none, 5)
		Expect(permits(100)).To(Equal(100))
		Expect(l.Announce()).To(Equal(Announcement{}))
		Expect(changes).To(BeEmpty())
	})

	It("issues no permit when a limit begins, and then as many as it allows", func() {
		l.RecordUpstreamReport(limited(2), 5)
		Expect(permits(100)).To(BeZero())
		now = now.Add(500 * time.Millisecond)
		Expect(permits(100)).To(Equal(1))
		now = now.Add(time.Hour)
		Expect(permits(100)).To(Equal(burst))
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: limited(2), FromUpstream: true}))
	})

	It("applies a changed limit from then on", func() {
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

	It("announces the end of a limit for some time", func() {
		l.RecordUpstreamReport(limited(2), 5)
		l.RecordUpstreamReport(none, 5)
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: none}))
		Expect(permits(100)).To(Equal(100))
		now = now.Add(endAnnouncedFor)
		Expect(l.Announce()).To(Equal(Announcement{}))
		Expect(changes).To(Equal([]string{"2 a second by the upstream's report", "none by the upstream's report"}))
		By("a notice of a gateway that has missed the end")
		l.RecordGatewayLimit(2, 5)
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: none}))
		Expect(permits(100)).To(Equal(100))
	})

	It("accepts limits from gateways while the upstream's reports contain none", func() {
		l.RecordUpstreamReport(none, 5)
		l.RecordGatewayLimit(2, 5)
		l.RecordUpstreamReport(none, 5)
		Expect(permits(100)).To(BeZero())
		Expect(l.Announce()).To(Equal(Announcement{LimitInfo: limited(2)}))
	})

	It("ends a limit only on a response to a permit issued after the limit was last received", func() {
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

	It("issues permits at the minimum probe rate for a limit of 0 that only responses can end", func() {
		l.RecordGatewayLimit(0, 5)
		now = now.Add(9 * time.Second)
		Expect(permits(100)).To(BeZero())
		now = now.Add(time.Second)
		Expect(permits(100)).To(Equal(1))
	})

	It("drops the limit of an earlier process lifetime, and later notices of it", func() {
		l.RecordUpstreamReport(limited(2), 5)
		l.RecordUpstreamReport(none, 6)
		Expect(permits(100)).To(Equal(100))
		l.RecordGatewayLimit(2, 5)
		Expect(permits(100)).To(Equal(100))
		l.RecordGatewayLimit(2, 6)
		Expect(permits(100)).To(BeZero())
	})
})

var _ = Describe("a gateway's knowledge of a limit", func() {
	var (
		now time.Time
		k   KnownLimit
	)
	half := func() float64 { return 0.5 }
	limited := func(r Rate) LimitInfo { return LimitInfo{State: Limited, Rate: r} }
	BeforeEach(func() { now, k = time.Unix(1000, 0), KnownLimit{} })

	It("comes from announcements, with the available permits", func() {
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

	It("ends when its announcer stops announcing it, but not when a restarted process does not know it", func() {
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(3), Incarnation: 1}, now)
		k.ApplyAnnouncement(Announcement{Incarnation: 2}, now)
		Expect(k.Limited()).To(BeTrue())
		rate, unannounced := k.Unannounced(2)
		Expect(rate).To(Equal(Rate(3)))
		Expect(unannounced).To(BeTrue())
		k.ApplyAnnouncement(Announcement{Incarnation: 1}, now)
		Expect(k.Limited()).To(BeFalse())
	})

	It("comes from responses too, and ends on the response to a later request only while there are no announcements", func() {
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

	It("is divided among gateways while the process beside the upstream is silent", func() {
		k.ApplyAnnouncement(Announcement{LimitInfo: limited(2), Incarnation: 1, Permits: 2}, now)
		share := k.Share(4, false)
		Expect(share).To(BeNumerically("~", 0.2))
		Expect(k.Share(4, true)).To(BeNumerically("~", 0.35))
		Expect(k.Shared(now, share, half).Permits).To(BeZero())
		sent := 0
		for range 400 {
			now = now.Add(100 * time.Millisecond)
			k.Shared(now, share, half)
			if k.TakeSharePermit(now) {
				sent++
			}
		}
		Expect(sent).To(BeNumerically("~", 8, 1))
		By("an unused slot that has expired")
		now = now.Add(time.Hour)
		for k.Shared(now, share, half).NextPermitIn > 0 {
			now = now.Add(10 * time.Millisecond)
		}
		Expect(k.TakeSharePermit(now)).To(BeTrue())
		Expect(k.TakeSharePermit(now)).To(BeFalse())
		By("that process, which reports again")
		k.Granted(now)
		Expect(k.TakeSharePermit(now)).To(BeFalse())
	})
})
