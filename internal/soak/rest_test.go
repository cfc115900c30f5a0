package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the checks of announcements in upstreams' answers", func() {
	var h *history
	BeforeEach(func() {
		h = newHistory()
		h.send()
	})

	It("report a request that reaches an upstream too long after its gateway has received the announcement that it leaves", func() {
		h.RecordLeavingNotice("1", "u")
		h.advance(maxSendAfterLeaving)
		h.arrive()
		Expect(h.brokenChecks()).To(BeEmpty())
		h.advance(1)
		h.arrive()
		Expect(h.brokenChecks()).To(Equal([]string{"told-leaving"}))
	})

	DescribeTable("excuse a gateway that has received an announcement by a fault", func(what string, excused bool) {
		h.RecordLeavingNotice("1", "u")
		h.RecordRestRequest("1", "u", "30")
		h.advance(time.Second)
		h.BeginFault("g", what)()
		h.advance(maxSendAfterLeaving + 1)
		for range maxRestRequests + 1 {
			h.arrive()
		}
		if excused {
			Expect(h.brokenChecks()).To(BeEmpty())
		} else {
			Expect(h.brokenChecks()).To(Equal([]string{"told-leaving"}), "being cut off from the store excuses only the Retry-After check")
		}
	},
		Entry("that kills its process", spanKilled, true), Entry("that suspends it", spanPaused, true), Entry("that terminates and restarts it", spanTerminated, true),
		Entry("that cuts it off from the store", doStoreCutOne, false))

	DescribeTable("end a Retry-After period with the upstream that has asked for it", func(ended string, want ...string) {
		h.RecordRestRequest("1", "u", "3")
		h.advance(restSlack + 1)
		h.RecordUpstreamEnd(ended)
		for range maxRestRequests + 1 {
			h.arrive()
		}
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	}, Entry("the same upstream", "u"), Entry("another one", "v", "rest"))

	It("report the third request of a gateway in a Retry-After period, and ignore requests in flight at its start and after its end", func() {
		h.RecordRestRequest("1", "u", "3")
		for range 5 {
			h.arrive()
		}
		h.advance(restSlack + 1)
		h.arrive()
		h.arrive()
		Expect(h.brokenChecks()).To(BeEmpty())
		h.arrive()
		Expect(h.brokenChecks()).To(Equal([]string{"rest"}))
		other := newHistory()
		other.send()
		other.RecordRestRequest("1", "u", "3")
		other.advance(3*time.Second + 1)
		for range 5 {
			other.arrive()
		}
		Expect(other.brokenChecks()).To(BeEmpty())
	})
})

var _ = Describe("what a store loses when it is restored from a snapshot", func() {
	It("causes no violations until it has been written again", func() {
		h := newHistory()
		h.send()
		snapshotAt := h.at
		h.advance(time.Second)
		h.RecordDeparture("u", stateDraining)
		h.RecordVersion(2)
		h.RecordConfig(3, 1)
		h.RecordStoreRestore(snapshotAt)
		h.advance(time.Hour)
		h.arrive()
		h.runs(1)
		Expect(h.configDue()).To(BeZero())
		Expect(h.brokenChecks()).To(BeEmpty())
		h.RecordStoreRewrite()
		h.advance(swapTime + 1)
		h.arrive()
		h.runs(1)
		Expect(h.configDue()).To(Equal(3))
		Expect(h.brokenChecks()).To(ConsistOf("leaving", "version"))
	})
})
