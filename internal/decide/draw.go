package decide

import (
	"math"
	"math/rand/v2"
)

// The streams of randomness: callers come the same whatever is decided, so that two ways are compared on the same ones.
const (
	seedCallers = iota + 1
	seedLinks
	seedGateways
	seedFaults
	seedClients
	seedUpstreams
)

func stream(seed uint64, of uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, of))
}

// draw draws a size: log-normal by its mean and spread, and again where it is above the bound, a few times.
func (s Size) draw(r *rand.Rand) float64 {
	if s.RelativeDeviation <= 0 {
		return s.Mean
	}
	const tries = 8
	variance := math.Log(1 + s.RelativeDeviation*s.RelativeDeviation)
	var x float64
	for range tries {
		x = s.Mean * math.Exp(math.Sqrt(variance)*r.NormFloat64()-variance/2)
		if s.Max <= 0 || x <= s.Max {
			return x
		}
	}
	return s.Max
}

// demand is the requests of a play as their callers bring them.
func (s *Scenario) demand(seed uint64) []*request {
	r, clients := stream(seed, seedCallers), stream(seed, seedClients)
	var l []*request
	total := 0.0
	for i := range s.Kinds {
		total += s.Kinds[i].Share
	}
	for di := range s.Domains {
		d := &s.Domains[di]
		homes := make([]int, d.Clients)
		for i := range homes {
			homes[i] = clients.IntN(d.Gateways)
		}
		peak := d.RequestsPerSecond * s.highest()
		if peak <= 0 {
			continue
		}
		for at := r.ExpFloat64() / peak; at < s.Seconds; at += r.ExpFloat64() / peak {
			q := &request{domain: di, at: seconds(at), home: homes[r.IntN(len(homes))]}
			thin, of := r.Float64(), r.Float64()*total
			for ki := range s.Kinds {
				q.kind = &s.Kinds[ki]
				if of -= s.Kinds[ki].Share; of < 0 {
					break
				}
			}
			q.prompt = math.Max(1, math.Round(q.kind.Prompt.draw(r)))
			q.events = int(math.Max(1, math.Round(q.kind.Events.draw(r))))
			q.elsewhere = r.IntN(max(1, d.Gateways-1))
			q.abusive = r.Float64() < s.AbusiveShare
			if thin < s.load(at)/s.highest() {
				l = append(l, q)
			}
		}
	}
	return l
}
