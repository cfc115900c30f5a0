package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const (
	// partThreshold is the number of crashes after which the users' requirements bound the requests with a part, to
	// maxLatePartSends from contactTime after it on.
	partThreshold    = 5
	maxLatePartSends = 3
	contactTime      = 3 * time.Second
	// firstPartCount is the number of parts that prompts begin with, of which some are much more frequent than others.
	firstPartCount = 60
	// laterPartCount is the number of parts that follow each of them.
	laterPartCount = 5
)

func partNamed(name string) Fingerprint {
	return hash([]byte(name), partLabel)
}

func partsNamed(names []string) (l []Fingerprint) {
	for _, n := range names {
		l = append(l, partNamed(n))
	}
	return l
}

// sharedPrompt draws one to four shared parts; each but the first belongs to the one before.
func sharedPrompt(random *rand.Rand) (l []string) {
	last := fmt.Sprint("p", int(firstPartCount*random.Float64()*random.Float64()*random.Float64()))
	l = append(l, last)
	for range random.IntN(4) {
		last = fmt.Sprint(last, ".", random.IntN(laterPartCount))
		l = append(l, last)
	}
	return l
}

// badAt returns prompts whose part at a place crashes upstreams.
func badAt(place int) func(random *rand.Rand, bad string) []string {
	return func(random *rand.Rand, bad string) []string {
		l := sharedPrompt(random)
		return slices.Insert(l, min(place, len(l)), bad)
	}
}

// badWithCompanion returns prompts whose part that crashes upstreams always comes with the same rare other part.
func badWithCompanion(random *rand.Rand, bad string) []string {
	return append(sharedPrompt(random), "rare", bad)
}

// frequentPrompt draws two parts of ten, so that each is in many requests.
func frequentPrompt(random *rand.Rand) []string {
	return []string{fmt.Sprint("a", random.IntN(3)), fmt.Sprint("c", random.IntN(7))}
}

func badAmongFrequent(random *rand.Rand, bad string) []string {
	return slices.Insert(frequentPrompt(random), 1, bad)
}

// promptDeployment returns a deployment whose requests state the parts of their prompts.
func promptDeployment() simulationConfig {
	m := typicalDeployment()
	m.prompt, m.badPrompt, m.warmUp = sharedPrompt, badAt(1), 5*time.Second
	return m
}

// lateParts counts the sends of requests with a part later than contactTime after its fifth crash, and returns the maximum
// over the parts.
func (t *simulation) lateParts() (highest int) {
	for kind, crashes := range t.crashTimes {
		n := 0
		for _, at := range t.sends[kind] {
			if len(crashes) >= partThreshold && at > crashes[partThreshold-1]+contactTime {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

// heldHarmless counts what is held at some gateway although it has no part that crashes upstreams.
func (t *simulation) heldHarmless() int {
	held := map[Fingerprint]bool{}
	for _, l := range t.trackers {
		for _, h := range l.HeldRequests() {
			held[h.Fingerprint] = !slices.ContainsFunc(h.Parts, func(f Fingerprint) bool {
				for b := range t.bad {
					if f == partNamed(fmt.Sprint("bad", b)) {
						return true
					}
				}
				return false
			})
		}
	}
	n := 0
	for _, harmless := range held {
		if harmless {
			n++
		}
	}
	return n
}

var _ = Describe("simulations of prompt parts that crash upstreams", func() {
	DescribeTable("hold only the part, in time, among random crashes", func(configure func(m *simulationConfig)) {
		const seeds = 10
		crashes, late, refused, proper := 0, 0, 0, 0
		for seed := range uint64(seeds) {
			m := promptDeployment()
			m.bad, m.badRate, m.crashRate = 1, 5, 0.1
			configure(&m)
			t := simulate(m, seed)
			crashes, late, refused, proper = crashes+t.crashCount(), max(late, t.lateParts()), refused+t.refused, proper+t.proper
			Expect(t.lateParts()).To(BeNumerically("<=", maxLatePartSends), fmt.Sprint("seed ", seed))
			Expect(t.heldHarmless()).To(BeZero(), fmt.Sprint("seed ", seed))
		}
		AddReportEntry("result", fmt.Sprintf("%.1f crashes, at most %d late sends, %d of %d harmless requests refused", float64(crashes)/seeds, late, refused, proper))
		Expect(refused).To(BeNumerically("<", proper/100))
	},
		Entry("5 requests a second", func(*simulationConfig) {}),
		Entry("1 request a second", func(m *simulationConfig) { m.badRate = 1 }),
		Entry("25 requests a second", func(m *simulationConfig) { m.badRate = 25 }),
		Entry("in the first place", func(m *simulationConfig) { m.badPrompt = badAt(0) }),
		Entry("in the third place", func(m *simulationConfig) { m.badPrompt = badAt(2) }),
		Entry("after the others", func(m *simulationConfig) { m.badPrompt = badAt(9) }),
		Entry("with a rare part that is harmless", func(m *simulationConfig) { m.badPrompt = badWithCompanion }),
		Entry("three parts at once", func(m *simulationConfig) { m.bad, m.badRate = 3, 4 }),
		Entry("2 gateways", func(m *simulationConfig) { m.gateways = 2 }),
		Entry("40 gateways", func(m *simulationConfig) { m.gateways, m.upstreams, m.proper = 40, 100, 400 }),
		Entry("little other traffic", func(m *simulationConfig) { m.proper = 5 }),
		Entry("one crash a second", func(m *simulationConfig) { m.crashRate = 1 }),
		Entry("groups of upstreams that are killed together", func(m *simulationConfig) { m.killRate, m.killed = 0.2, 8 }),
	)

	It("hold no part of harmless prompts in 100 runs with random crashes and up to half of the upstreams killed together every 5 s", func() {
		held, proper, refused := 0, 0, 0
		for seed := range uint64(100) {
			m := promptDeployment()
			m.crashRate, m.killRate, m.killed = 0.01*float64(seed), 0.2, int(seed)%(m.upstreams/2+1)
			t := simulate(m, seed)
			held, proper, refused = held+t.heldHarmless(), proper+t.proper, refused+t.refused
		}
		AddReportEntry("refused", fmt.Sprint(refused, " of ", proper))
		Expect(held).To(BeZero())
		Expect(refused).To(BeNumerically("<", proper/1000))
	})

	It("hold no harmless part if two parts crash the only four upstreams from the start on", func() {
		for seed := range uint64(10) {
			m := promptDeployment()
			m.gateways, m.upstreams, m.proper, m.warmUp = 4, 4, 60, 0
			m.prompt, m.badPrompt, m.bad, m.badRate = frequentPrompt, badAmongFrequent, 2, 4
			t := simulate(m, seed)
			Expect(t.heldHarmless()).To(BeZero(), fmt.Sprint("seed ", seed))
			Expect(t.lateParts()).To(BeNumerically("<=", maxLatePartSends), fmt.Sprint("seed ", seed))
		}
	})

	// Guards against several parts, or requests, that hide each other's crashes.
	DescribeTable("hold all that crash upstreams at once, in time, and nothing harmless", func(configure func(m *simulationConfig)) {
		late, harmless := 0, 0
		const seeds = 20
		for seed := range uint64(seeds) {
			m := promptDeployment()
			m.gateways, m.upstreams, m.proper, m.warmUp = 6, 12, 150, 3*time.Second
			m.bad, m.badRate = 2, 4
			configure(&m)
			t := simulate(m, seed)
			n := t.lateParts()
			if m.badPrompt == nil {
				n = t.maxLateSends()
			}
			if n > maxLatePartSends {
				late++
			}
			if m.badPrompt != nil && t.heldHarmless() > 0 {
				harmless++
			}
		}
		AddReportEntry("result", fmt.Sprintf("%d of %d runs with late sends, %d with harmless parts held", late, seeds, harmless))
		Expect([]int{late, harmless}).To(Equal([]int{0, 0}))
	},
		Entry("two parts", func(*simulationConfig) {}),
		Entry("two parts, at two gateways and four upstreams", func(m *simulationConfig) { m.gateways, m.upstreams, m.proper = 2, 4, 60 }),
		Entry("two frequent parts, at two gateways and four upstreams", func(m *simulationConfig) { m.gateways, m.upstreams, m.proper, m.badRate = 2, 4, 60, 16 }),
		Entry("two parts beside frequent ones", func(m *simulationConfig) { m.prompt, m.badPrompt = frequentPrompt, badAmongFrequent }),
		Entry("two frequent parts beside frequent ones", func(m *simulationConfig) { m.prompt, m.badPrompt, m.badRate = frequentPrompt, badAmongFrequent, 12 }),
		Entry("two parts beside frequent ones, from the start on", func(m *simulationConfig) { m.prompt, m.badPrompt, m.warmUp = frequentPrompt, badAmongFrequent, 0 }),
		Entry("two parts that crash all upstreams at once, which are back after 2 s", func(m *simulationConfig) { m.badRate, m.downtime = 50, 2*time.Second }),
		Entry("two parts that crash all upstreams at once, which are back after 4 s", func(m *simulationConfig) { m.badRate, m.downtime = 50, 4*time.Second }),
		Entry("two parts that crash all upstreams at once, which are back after 10 s", func(m *simulationConfig) { m.badRate, m.downtime = 50, 10*time.Second }),
		Entry("three parts that crash most upstreams at once, which are back after 4 s", func(m *simulationConfig) { m.bad, m.badRate, m.downtime = 3, 17, 4*time.Second }),
		Entry("three parts", func(m *simulationConfig) { m.bad = 3 }),
		Entry("three parts beside frequent ones", func(m *simulationConfig) { m.bad, m.prompt, m.badPrompt = 3, frequentPrompt, badAmongFrequent }),
		Entry("four parts", func(m *simulationConfig) { m.bad = 4 }),
		Entry("four parts beside frequent ones", func(m *simulationConfig) { m.bad, m.prompt, m.badPrompt = 4, frequentPrompt, badAmongFrequent }),
		Entry("four parts beside frequent ones, from the start on", func(m *simulationConfig) {
			m.bad, m.prompt, m.badPrompt, m.warmUp = 4, frequentPrompt, badAmongFrequent, 0
		}),
		Entry("two requests", func(m *simulationConfig) { m.badPrompt = nil }),
		Entry("four requests", func(m *simulationConfig) { m.bad, m.badPrompt = 4, nil }),
	)
})
