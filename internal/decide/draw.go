package decide

import (
	"math"
	"math/rand/v2"
)

// Independent random streams by purpose: callers arrive identically whatever is decided, so that variants are compared
// on the same arrivals.
const (
	seedCallers = iota + 1
	seedLinks
	seedGateways
	seedFaults
	seedClients
	seedUpstreams
	seedSlowness
)

func randomStream(seed uint64, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}

// draw draws a size from a log-normal distribution with the given mean and deviation. Values above the bound are redrawn
// a few times.
func (s Size) draw(r *rand.Rand) float64 {
	if s.RelativeDeviation <= 0 {
		return s.Mean
	}
	const maxDraws = 8
	variance := math.Log(1 + s.RelativeDeviation*s.RelativeDeviation)
	var x float64
	for range maxDraws {
		x = s.Mean * math.Exp(math.Sqrt(variance)*r.NormFloat64()-variance/2)
		if s.Max <= 0 || x <= s.Max {
			return x
		}
	}
	return s.Max
}

// generateRequests returns the requests of a simulation in the order of their failure domains and arrivals.
func (s *Scenario) generateRequests(seed uint64) []*request {
	r, clients := randomStream(seed, seedCallers), randomStream(seed, seedClients)
	var l []*request
	total := 0.0
	for i := range s.Kinds {
		total += s.Kinds[i].Share
	}
	for di := range s.Domains {
		d := &s.Domains[di]
		homeGateways := make([]int, d.Clients)
		for i := range homeGateways {
			homeGateways[i] = clients.IntN(d.Gateways)
		}
		peak := d.RequestsPerSecond * s.maxLoadFactor()
		if peak <= 0 {
			continue
		}
		for at := r.ExpFloat64() / peak; at < s.Seconds; at += r.ExpFloat64() / peak {
			q := &request{domain: di, arrivedAt: seconds(at), homeGateway: homeGateways[r.IntN(len(homeGateways))]}
			acceptance, kindDraw := r.Float64(), r.Float64()*total
			for ki := range s.Kinds {
				q.kind = &s.Kinds[ki]
				if kindDraw -= s.Kinds[ki].Share; kindDraw < 0 {
					break
				}
			}
			q.prompt = math.Max(1, math.Round(q.kind.Prompt.draw(r)))
			q.events = int(math.Max(1, math.Round(q.kind.Events.draw(r))))
			q.otherGateway = r.IntN(max(1, d.Gateways-1))
			q.abusive = r.Float64() < s.AbusiveShare
			if acceptance < s.loadFactor(at)/s.maxLoadFactor() {
				l = append(l, q)
			}
		}
	}
	return l
}
