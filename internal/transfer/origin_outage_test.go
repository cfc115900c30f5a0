//go:build !race

// The race detector of Go 1.26.8 ends the process within synctest.Test with these swarms, without a report of a race.

package transfer

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

var _ = Describe("a swarm whose origin is unavailable for a time", func() {
	const (
		ms = time.Millisecond
		// maxCopies and maxLate bound the chunks fetched, and the first whole copy beyond what the origin's link permits.
		maxCopies = 1.3
		maxLate   = time.Second
	)
	outage := func(from, to time.Duration) [][2]time.Duration { return [][2]time.Duration{{from, to}} }
	play := func(f simFaults) simResult {
		sim := &simulation{simFaults: f, source: newFakeSource(simChunks)}
		r := sim.run(suite, 30*time.Second)
		AddReportEntry("measured", r.String())
		return r
	}

	DescribeTable("does not fetch the version several times when it answers again", func(f simFaults) {
		for _, f.hangs = range []bool{false, true} {
			r := play(f)
			Expect(r.complete).To(Equal(simVMs-len(f.deadFrom)), r.String())
			Expect(r.copies).To(BeNumerically("<=", maxCopies), r.String())
			Expect(r.first).To(BeNumerically("<=", r.bound+maxLate), r.String())
		}
	},
		Entry("from the start", simFaults{outages: outage(0, 6000*ms)}),
		Entry("for 1.5 s", simFaults{outages: outage(1000*ms, 2500*ms)}),
		Entry("for 6 s", simFaults{outages: outage(1000*ms, 7000*ms)}),
		Entry("near the end", simFaults{outages: outage(2500*ms, 8500*ms)}),
		Entry("with a dead VM", simFaults{outages: outage(1000*ms, 7000*ms), deadFrom: map[id.VM]time.Duration{firstOf(0): 0}}),
		Entry("near the end, with a dead VM", simFaults{outages: outage(3000*ms, 9000*ms), deadFrom: map[id.VM]time.Duration{firstOf(0): 0}}),
		Entry("with a VM that ends during the outage", simFaults{outages: outage(1000*ms, 7000*ms), deadFrom: map[id.VM]time.Duration{firstOf(2): 4 * time.Second}}),
		Entry("for all but one VM", simFaults{onlyVM: firstOf(0), onlyFrom: time.Second, onlyEnd: 7 * time.Second}),
		Entry("for all but one VM from the start", simFaults{onlyVM: firstOf(0), onlyEnd: 6 * time.Second}),
	)

	// While the link is saturated, a takeover after one delay of 0.7 s was mostly one of a healthy lane, which gets a chunk in
	// each round of the lanes, and the extra requests made all lanes slower. The dead VM's chunks wait for the same link.
	It("takes over the lane of a dead VM after two rounds of the lanes while it answers others", func() {
		dead := firstOf(0)
		r := play(simFaults{deadFrom: map[id.VM]time.Duration{dead: 0}})
		Expect(r.complete).To(Equal(simVMs - 1))
		round := time.Duration(simLanes().Count()) * originChunkTime
		Expect(r.takenOverAt(simLanes(), 0, 0)).To(BeNumerically(">=", simTakeover-50*ms), r.String())
		Expect(r.takenOverAt(simLanes(), 0, 0)).To(BeNumerically("<=", 2*round+300*ms), "two rounds, and the way of the announcements")
		Expect(r.first).To(BeNumerically("<=", r.bound+maxLate), r.String())
	})

	It("sends few requests to it meanwhile", func() {
		r := play(simFaults{outages: outage(1000*ms, 7000*ms)})
		Expect(r.checks).To(BeNumerically("<", simVMs*6*int(time.Second/simTakeover*originCheckShare)))
		Expect(r.waiting).To(BeNumerically("<=", simVMs), "one request of each VM at most")
	})
})
