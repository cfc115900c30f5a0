package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/springrail/springrail/internal/id"
)

const (
	// largestShare is the share of the requests that the largest organisation sends.
	largestShare = 0.57
	// victim is an organisation whose requests are sound, and state the ID of a part that crashes upstreams for others.
	victim = "victim"
	// largeSeeds is the number of runs with many gateways, which take long under the race detector.
	largeSeeds = 4
	// minVictimShare is the smallest share of its requests that are not refused.
	minVictimShare = 0.9
)

// senders draws one of several organisations, of which the first is the largest.
func senders(number int) func(random *rand.Rand, now time.Duration, bad bool) id.Organisation {
	return func(random *rand.Rand, _ time.Duration, _ bool) id.Organisation {
		if number < 2 || random.Float64() < largestShare {
			return "club0"
		}
		return id.Organisation(fmt.Sprint("club", 1+random.IntN(number-1)))
	}
}

// oneThenOthers draws the first organisation for what crashes upstreams until a time, and the others from then on.
func oneThenOthers(number int, until time.Duration) func(random *rand.Rand, now time.Duration, bad bool) id.Organisation {
	return func(random *rand.Rand, now time.Duration, bad bool) id.Organisation {
		if !bad {
			return senders(number)(random, now, bad)
		}
		if now < until {
			return "club0"
		}
		return id.Organisation(fmt.Sprint("club", 1+random.IntN(number-1)))
	}
}

// identity returns what a request is recognised by.
func (r *simulatedRequest) identity() Identity {
	q := known(request(r.name), r.parts...)
	if r.sender == "" {
		return q
	}
	q.Organisation, q.Use = r.sender, hash(nil, "use", string(r.sender), r.name)
	for _, p := range r.parts {
		q.PartUses = append(q.PartUses, hash(p[:], "use", string(r.sender)))
	}
	return q
}

// tellOthers passes a gateway's news on to the others.
func (t *simulation) tellOthers(l *SuspectTracker, tell func(o *SuspectTracker)) {
	for _, o := range t.trackers {
		if o != l && t.shared {
			t.schedule(newsDelay, func() { tell(o) })
		}
	}
}

// mayTry reports whether a suspected request may be sent: no other like it is in flight at its gateway.
func (t *simulation) mayTry(r *simulatedRequest) bool {
	if t.inFlight[r.gateway][r.name] > 0 {
		return false
	}
	h, ok := t.trackers[r.gateway].HeldForOthers(r.identity())
	if !ok {
		return t.trackers[r.gateway].Try(r.identity().Fingerprint)
	}
	if t.tried[r.gateway][h] != nil || !t.trackers[r.gateway].Try(h) {
		return false
	}
	t.tried[r.gateway][h], r.tried = r, h
	return true
}

// end notes that a request is no longer in flight at its gateway.
func (t *simulation) end(r *simulatedRequest) {
	t.inFlight[r.gateway][r.name]--
	if t.tried[r.gateway][r.tried] == r {
		delete(t.tried[r.gateway], r.tried)
	}
}

// scheduleVictims schedules the requests of the organisation that states the ID of a part that crashes upstreams for others.
func (t *simulation) scheduleVictims() {
	t.scheduleAtRate(0, t.victimRate, func(n int) {
		r := &simulatedRequest{name: fmt.Sprint(victim, n), kind: victim, sender: victim}
		r.parts = partsNamed(t.badPrompt(t.random, "bad0"))
		t.arrive(r)
	})
}

// countVictim counts a request of that organisation from contactTime after the warm-up on.
func (t *simulation) countVictim(r *simulatedRequest, v Verdict) {
	if r.sender != victim || t.now < t.warmUp+contactTime {
		return
	}
	t.victims++
	if v >= Waits {
		t.victimsRefused++
	}
}

// victimShare returns the share of that organisation's requests that were not refused.
func (t *simulation) victimShare() float64 {
	return 1 - float64(t.victimsRefused)/float64(max(1, t.victims))
}

var _ = Describe("simulations of prompt parts that several organisations send", func() {
	// Guards against evidence that is kept for each organisation by itself.
	DescribeTable("hold what crashes upstreams for all, in time, and nothing harmless", func(configure func(m *simulationConfig)) {
		const seeds = 20
		crashes, late, highest, harmless, refused, proper := 0, 0, 0, 0, 0, 0
		for seed := range uint64(seeds) {
			m := promptDeployment()
			m.gateways, m.upstreams, m.proper, m.warmUp = 6, 12, 150, 3*time.Second
			m.bad, m.badRate, m.crashRate, m.sender = 1, 4, 0.1, senders(10)
			configure(&m)
			if m.gateways > 6 && seed >= largeSeeds {
				break
			}
			t := simulate(m, seed)
			n := t.lateParts()
			highest = max(highest, n)
			if n > maxLatePartSends {
				late++
			}
			if t.heldHarmless() > 0 {
				harmless++
			}
			crashes, refused, proper = crashes+t.crashCount(), refused+t.refused, proper+t.proper
		}
		AddReportEntry("result", fmt.Sprintf("%d of %d runs with late sends, at most %d, %d with harmless parts held; %.1f crashes, %d of %d harmless requests refused",
			late, seeds, highest, harmless, float64(crashes)/seeds, refused, proper))
		Expect([]int{late, harmless}).To(Equal([]int{0, 0}))
	},
		Entry("two organisations", func(m *simulationConfig) { m.sender = senders(2) }),
		Entry("10 organisations", func(*simulationConfig) {}),
		Entry("10 organisations, one request a second", func(m *simulationConfig) { m.badRate = 1 }),
		Entry("10 organisations, 20 requests a second", func(m *simulationConfig) { m.badRate = 20 }),
		Entry("10 organisations, beside frequent parts", func(m *simulationConfig) { m.prompt, m.badPrompt = frequentPrompt, badAmongFrequent }),
		Entry("10 organisations, two parts", func(m *simulationConfig) { m.bad = 2 }),
		Entry("10 organisations, two parts beside frequent ones", func(m *simulationConfig) { m.bad, m.prompt, m.badPrompt = 2, frequentPrompt, badAmongFrequent }),
		Entry("10 organisations, two parts beside frequent ones, from the start on", func(m *simulationConfig) {
			m.bad, m.prompt, m.badPrompt, m.warmUp = 2, frequentPrompt, badAmongFrequent, 0
		}),
		Entry("10 organisations, two parts that crash all upstreams at once, which are back after 4 s", func(m *simulationConfig) {
			m.bad, m.badRate, m.downtime = 2, 50, 4*time.Second
		}),
		Entry("10 organisations, upstreams back after 10 s", func(m *simulationConfig) { m.downtime = 10 * time.Second }),
		Entry("24 organisations, at 42 gateways and 40 upstreams", func(m *simulationConfig) {
			m.gateways, m.upstreams, m.proper, m.sender = 42, 40, 500, senders(24)
		}),
		Entry("24 organisations, at 42 gateways and 40 upstreams, 20 requests a second", func(m *simulationConfig) {
			m.gateways, m.upstreams, m.proper, m.badRate, m.sender = 42, 40, 500, 20, senders(24)
		}),
		Entry("9 others once it is held for the first", func(m *simulationConfig) { m.badRate, m.sender = 20, oneThenOthers(10, 12*time.Second) }),
		Entry("23 others once it is held for the first, at 42 gateways and 40 upstreams", func(m *simulationConfig) {
			m.gateways, m.upstreams, m.proper, m.badRate, m.sender = 42, 40, 500, 20, oneThenOthers(24, 12*time.Second)
		}),
	)

	// Guards against an organisation that has the part of another one held, or cleared, by stating its ID.
	DescribeTable("serve an organisation for which a part is sound that crashes upstreams for others", func(configure func(m *simulationConfig)) {
		const seeds = 20
		late, highest, refused, lowest := 0, 0, 0, 1.0
		for seed := range uint64(seeds) {
			m := promptDeployment()
			m.gateways, m.upstreams, m.proper, m.warmUp = 6, 12, 150, 5*time.Second
			m.bad, m.badRate, m.crashRate, m.sender, m.victimRate = 1, 4, 0.1, senders(1), 16
			configure(&m)
			t := simulate(m, seed)
			n := t.lateParts()
			highest, lowest = max(highest, n), min(lowest, t.victimShare())
			if n > maxLatePartSends {
				late++
			}
			if t.victimShare() < minVictimShare {
				refused++
			}
		}
		AddReportEntry("result", fmt.Sprintf("%d of %d runs with late sends, at most %d, %d with its requests refused; the smallest share served %.2f",
			late, seeds, highest, refused, lowest))
		Expect([]int{late, refused}).To(Equal([]int{0, 0}))
	},
		Entry("frequent", func(*simulationConfig) {}),
		Entry("one request a second", func(m *simulationConfig) { m.victimRate = 1 }),
		Entry("one request in 5 s", func(m *simulationConfig) { m.victimRate = 0.2 }),
		Entry("frequent, 20 bad requests a second", func(m *simulationConfig) { m.badRate = 20 }),
		Entry("frequent, one bad request a second", func(m *simulationConfig) { m.badRate = 1 }),
		Entry("frequent, bad requests of 10 organisations", func(m *simulationConfig) { m.sender = senders(10) }),
		Entry("one request a second, bad requests of 10 organisations", func(m *simulationConfig) { m.victimRate, m.sender = 1, senders(10) }),
	)
})
