package quarantine

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// lapseTime is how long after its last heartbeat the entry of an upstream lapses.
const lapseTime = 2 * time.Second

var _ = Describe("simulations of crashes that are noticed up to 8 s late", func() {
	// lateDeployment returns a deployment whose upstreams are silent after a crash until they are back.
	lateDeployment := func() simulationConfig {
		m := promptDeployment()
		m.gateways, m.upstreams, m.proper, m.warmUp, m.maxNoticedLate = 6, 12, 150, 3*time.Second, 8*time.Second
		m.bad, m.badRate = 1, 4
		return m
	}

	// Guards against evidence that is weighed as if crashes had happened when they were noticed.
	DescribeTable("hold what crashes upstreams, in time, and nothing harmless", func(configure func(m *simulationConfig)) {
		late, harmless, crashes := 0, 0, 0
		const seeds = 20
		for seed := range uint64(seeds) {
			m := lateDeployment()
			configure(&m)
			t := simulate(m, seed)
			n, held := t.lateParts(), t.heldHarmless()
			if m.badPrompt == nil {
				n, held = t.maxLateSends(), t.heldProper()
			}
			if n > maxLatePartSends {
				late++
			}
			if held > 0 {
				harmless++
			}
			crashes += t.crashCount()
		}
		AddReportEntry("result", fmt.Sprintf("%d of %d runs with late sends, %d with something harmless held, %.1f crashes", late, seeds, harmless, float64(crashes)/seeds))
		Expect([]int{late, harmless}).To(Equal([]int{0, 0}))
	},
		Entry("a part", func(*simulationConfig) {}),
		Entry("a part, once a second", func(m *simulationConfig) { m.badRate = 1 }),
		Entry("a part beside frequent ones", func(m *simulationConfig) { m.prompt, m.badPrompt = frequentPrompt, badAmongFrequent }),
		Entry("a request", func(m *simulationConfig) { m.badPrompt = nil }),
		Entry("a request, once a second", func(m *simulationConfig) { m.badPrompt, m.badRate = nil, 1 }),
		Entry("a part, noticed up to 3 s late", func(m *simulationConfig) { m.maxNoticedLate = 3 * time.Second }),
		Entry("a part, at upstreams that are lost", func(m *simulationConfig) { m.lapse = lapseTime }),
		Entry("a part, once a second, at upstreams that are lost", func(m *simulationConfig) { m.lapse, m.badRate = lapseTime, 1 }),
		Entry("a request, at upstreams that are lost", func(m *simulationConfig) { m.lapse, m.badPrompt = lapseTime, nil }),
		Entry("a part, at upstreams that are lost while others are cut off", func(m *simulationConfig) { m.lapse, m.cutRate, m.cut = lapseTime, 0.2, 4 }),
	)

	It("hold nothing harmless where upstreams are cut off, presumed to have ended, and live on", func() {
		held, proper, refused := 0, 0, 0
		for seed := range uint64(40) {
			m := lateDeployment()
			m.bad, m.lapse, m.cutRate, m.cut = 0, lapseTime, 0.3, int(seed)%m.upstreams
			t := simulate(m, seed)
			held, proper, refused = held+t.heldHarmless()+t.heldProper(), proper+t.proper, refused+t.refused
		}
		AddReportEntry("refused", fmt.Sprint(refused, " of ", proper))
		Expect(held).To(BeZero())
		Expect(refused).To(BeNumerically("<", proper/1000))
	})

	It("hold nothing harmless where upstreams crash by themselves", func() {
		held, proper, refused := 0, 0, 0
		for seed := range uint64(40) {
			m := lateDeployment()
			m.bad, m.crashRate = 0, 0.05*float64(seed)
			m.killRate, m.killed = 0.2, int(seed)%(m.upstreams/2+1)
			t := simulate(m, seed)
			held, proper, refused = held+t.heldHarmless()+t.heldProper(), proper+t.proper, refused+t.refused
		}
		AddReportEntry("refused", fmt.Sprint(refused, " of ", proper))
		Expect(held).To(BeZero())
		Expect(refused).To(BeNumerically("<", proper/1000))
	})
})
