package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the checks of what upstreams say in their answers", func() {
	var h *history
	BeforeEach(func() {
		h = newHistory()
		h.send()
	})

	It("find a request that reaches an upstream long after its gateway was told that it leaves", func() {
		h.RecordLeavingNotice("1", "u")
		h.pass(toldWithinLeaving)
		h.arrive()
		Expect(h.broken()).To(BeEmpty())
		h.pass(1)
		h.arrive()
		Expect(h.broken()).To(Equal([]string{"told-leaving"}))
	})

	DescribeTable("let a fault excuse a gateway that was told", func(what string, excused bool) {
		h.RecordLeavingNotice("1", "u")
		h.RecordRestRequest("1", "u", "30")
		h.pass(time.Second)
		h.BeginFault("g", what)()
		h.pass(toldWithinLeaving + 1)
		for range restMost + 1 {
			h.arrive()
		}
		if excused {
			Expect(h.broken()).To(BeEmpty())
		} else {
			Expect(h.broken()).To(Equal([]string{"told-leaving"}), "a cut excuses it towards rest alone")
		}
	},
		Entry("that ends its process", spanKilled, true), Entry("that stops it", spanPaused, true), Entry("that restarts it", spanTerminated, true),
		Entry("that cuts it off from the store", doCutOne, false))

	It("find three requests of a gateway in a rest, and pass over those on their way and after it", func() {
		h.RecordRestRequest("1", "u", "3")
		for range 5 {
			h.arrive()
		}
		h.pass(restSlack + 1)
		h.arrive()
		h.arrive()
		Expect(h.broken()).To(BeEmpty())
		h.arrive()
		Expect(h.broken()).To(Equal([]string{"rest"}))
		other := newHistory()
		other.send()
		other.RecordRestRequest("1", "u", "3")
		other.pass(3*time.Second + 1)
		for range 5 {
			other.arrive()
		}
		Expect(other.broken()).To(BeEmpty())
	})
})

var _ = Describe("what a store that comes back older has lost", func() {
	It("is held against nobody until it has been written again", func() {
		h := newHistory()
		h.send()
		copied := h.at
		h.pass(time.Second)
		h.RecordDeparture("u", stateDraining)
		h.RecordVersion(2)
		h.RecordConfig(3, 1)
		h.RecordStoreRestore(copied)
		h.pass(time.Hour)
		h.arrive()
		h.runs(1)
		Expect(h.configDue()).To(BeZero())
		Expect(h.broken()).To(BeEmpty())
		h.RecordStoreRewrite()
		h.pass(swapWithin + 1)
		h.arrive()
		h.runs(1)
		Expect(h.configDue()).To(Equal(3))
		Expect(h.broken()).To(ConsistOf("leaving", "version"))
	})
})
