package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the check of limits", func() {
	var h *history
	BeforeEach(func() {
		h = newHistory()
		h.send()
	})
	// arriveEvery has a request arrive at intervals for a time.
	arriveEvery := func(gap, d time.Duration) {
		for until := h.at.Add(d); h.at.Before(until); h.pass(gap) {
			h.arrive()
		}
	}

	It("finds a limit that is broken once gateways have been told", func() {
		Expect(h.RecordLimit("u", 2)).To(BeTrue())
		arriveEvery(100*time.Millisecond, 4*time.Second)
		Expect(h.broken()).To(BeEmpty())
		arriveEvery(100*time.Millisecond, 4*time.Second)
		Expect(h.broken()).To(Equal([]string{"limit"}))
	})

	It("lets pass what a limit allows, what a fault excuses, and what comes after its end", func() {
		Expect(h.RecordLimit("u", 2)).To(BeTrue())
		Expect(h.RecordLimit("u", 3)).To(BeFalse())
		arriveEvery(400*time.Millisecond, 20*time.Second)
		done := h.BeginFault("g", doPause)
		arriveEvery(100*time.Millisecond, 8*time.Second)
		done()
		h.RecordLimitEnd("u")
		arriveEvery(100*time.Millisecond, 8*time.Second)
		Expect(h.broken()).To(BeEmpty())
	})
})
