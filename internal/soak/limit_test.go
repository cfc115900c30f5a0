package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of rate limits", func() {
	var h *history
	BeforeEach(func() {
		h = newHistory()
		h.send()
	})
	// arriveEvery makes a request arrive at regular intervals for a while.
	arriveEvery := func(gap, d time.Duration) {
		for until := h.at.Add(d); h.at.Before(until); h.advance(gap) {
			h.arrive()
		}
	}

	It("reports an exceeded limit only after the time that gateways have to learn of it", func() {
		Expect(h.RecordLimit("u", 2)).To(BeTrue())
		arriveEvery(100*time.Millisecond, 4*time.Second)
		Expect(h.brokenChecks()).To(BeEmpty())
		arriveEvery(100*time.Millisecond, 4*time.Second)
		Expect(h.brokenChecks()).To(Equal([]string{"limit"}))
	})

	It("accepts requests within the limit, during a fault and after the limit has ended", func() {
		Expect(h.RecordLimit("u", 2)).To(BeTrue())
		Expect(h.RecordLimit("u", 3)).To(BeFalse())
		arriveEvery(400*time.Millisecond, 20*time.Second)
		done := h.BeginFault("g", doPause)
		arriveEvery(100*time.Millisecond, 8*time.Second)
		done()
		h.RecordLimitEnd("u")
		arriveEvery(100*time.Millisecond, 8*time.Second)
		Expect(h.brokenChecks()).To(BeEmpty())
	})
})
