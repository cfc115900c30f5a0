package soak

import (
	"net/http"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// sendRanked sends 100 requests of a rank, of which some are refused.
func (h *history) sendRanked(priority string, refused int) {
	for n := range 100 {
		id := priority + "-" + strconv.Itoa(n)
		h.RecordSent(id, &request{gateway: h.gateway, priority: priority})
		if n < refused {
			h.RecordRefused(id, http.StatusServiceUnavailable)
		}
	}
}

var _ = Describe("the checks of ranks and refusals", func() {
	DescribeTable("report broken guarantees and nothing else", func(play func(h *history), want ...string) {
		h := newHistory()
		h.streamTargets = append(h.streamTargets, "stager-1")
		play(h)
		h.CheckRanks()
		Expect(h.brokenChecks()).To(Equal(append([]string{}, want...)))
	},
		Entry("a refusal at once", func(h *history) { h.send(); h.advance(maxRefusalDelay); h.RecordRefused("1", 503) }),
		Entry("a late refusal without an attempt", func(h *history) { h.send(); h.advance(maxRefusalDelay + 1); h.RecordRefused("1", 503) }, "late-refusal"),
		Entry("a late refusal after an upstream has refused", func(h *history) { h.send(); h.arrive(); h.advance(maxRefusalDelay + 1); h.RecordRefused("1", 503) }),
		Entry("a late refusal after an attempt over a faulty link", func(h *history) {
			h.send()
			h.RecordOffered([]byte("POST /look/ HTTP/1.1\r\nRequest-Id: 1\r\nHost: u\r\n\r\n"))
			h.advance(maxRefusalDelay + 1)
			h.RecordRefused("1", 503)
		}),
		Entry("a late refusal after an attempt of another request over a faulty link", func(h *history) {
			h.send()
			h.RecordOffered([]byte("POST /look/ HTTP/1.1\r\nRequest-Id: 11\r\nHost: u\r\n\r\n"))
			h.advance(maxRefusalDelay + 1)
			h.RecordRefused("1", 503)
		}, "late-refusal"),
		Entry("a late refusal is excused by a fault of its gateway", func(h *history) {
			h.send()
			h.BeginFault("g", spanPaused)()
			h.advance(maxRefusalDelay + 1)
			h.RecordRefused("1", 503)
		}),
		Entry("a late refusal is not excused by faults of the store and of datagrams", func(h *history) {
			h.send()
			defer h.BeginFault(storeTarget, doStoreDown)()
			defer h.BeginFault(datagramTarget, doDatagramLoss)()
			h.advance(maxRefusalDelay + 1)
			h.RecordRefused("1", 503)
		}, "late-refusal"),
		Entry("the Priority of the request's rank", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, priority: "2", ownPriority: "0"})
			h.RecordPriority("1", []string{"2"})
		}),
		Entry("a caller's own Priority at an engine", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, priority: "2", ownPriority: "0"})
			h.RecordPriority("1", []string{"0"})
		}, "priority"),
		Entry("a caller's own Priority beside that of the rank", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, priority: "2", ownPriority: "77"})
			h.RecordPriority("1", []string{"2", "77"})
		}, "priority"),
		Entry("a caller's own Priority at a plain upstream", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, ownPriority: "77"})
			h.RecordPriority("1", []string{"77"})
		}, "priority"),
		Entry("no Priority at a plain upstream", func(h *history) {
			h.RecordSent("1", &request{gateway: h.gateway, ownPriority: "77"})
			h.RecordPriority("1", nil)
		}),
		Entry("the most urgent rank refused a little more often", func(h *history) { h.sendRanked(mostUrgent, 15); h.sendRanked(leastUrgent, 10) }),
		Entry("the most urgent rank refused much more often", func(h *history) { h.sendRanked(mostUrgent, 16); h.sendRanked(leastUrgent, 10) }, "rank"),
		Entry("the least urgent rank refused much more often", func(h *history) { h.sendRanked(mostUrgent, 0); h.sendRanked(leastUrgent, 90) }),
		Entry("refusals in an unhealthy fleet do not count", func(h *history) {
			h.sendRanked(leastUrgent, 0)
			end := h.BeginFault("stager-1", spanKilled)
			h.sendRanked(mostUrgent, 100)
			end()
			h.advance(settleTime)
			h.sendRanked(mostUrgent, 5)
		}),
		Entry("refusals count once the fleet has settled", func(h *history) {
			h.sendRanked(leastUrgent, 0)
			h.BeginFault("stager-1", spanKilled)()
			h.advance(settleTime)
			h.sendRanked(mostUrgent, 6)
		}, "rank"),
		Entry("refusals beside a fault of what serves no streams", func(h *history) {
			h.BeginFault("plain upstream", "crashed")()
			h.advance(time.Second)
			h.sendRanked(leastUrgent, 0)
			h.sendRanked(mostUrgent, 6)
		}, "rank"),
	)
})
