package admission

import (
	"math"
	"math/rand/v2"
	"time"
)

// arrivals draws the requests. Bursts of 3 to 7 s begin 8 to 12 s after the one before.
func (m *model) arrivals(capacity float64, r *rand.Rand) []*job {
	var l []*job
	scatter := func(mean float64) float64 { return max(1, mean*math.Exp(0.944*r.NormFloat64()-0.446)) } // deviation 1.2 of the mean
	burstAt, burstEnd, weight := 0.0, 0.0, modelOrganisations-1+m.hog
	for t := 0.0; t < modelSeconds; {
		if t >= burstEnd {
			burstAt = t + 8 + 4*r.Float64()
			burstEnd = burstAt + 3 + 4*r.Float64()
		}
		rate := m.load * capacity * weight / modelOrganisations
		j := &job{inBurst: m.burst > 0 && t >= burstAt}
		if j.inBurst {
			rate *= m.burst
		}
		t += r.ExpFloat64() / rate
		j.arrived, j.due = time.Duration(t*1e9), time.Duration(t*1e9)
		if x := r.Float64() * weight; x >= m.hog {
			j.organisation = 1 + int(x-m.hog)
		}
		for x := r.Float64(); j.kind < len(m.kinds)-1 && x >= m.kinds[j.kind].share; j.kind++ {
			x -= m.kinds[j.kind].share
		}
		if j.prompt, j.left = scatter(m.kinds[j.kind].prompt), scatter(m.kinds[j.kind].answer); !m.oneRank {
			j.rank = j.kind
		}
		l = append(l, j)
	}
	return l
}
