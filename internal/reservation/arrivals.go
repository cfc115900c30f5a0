package reservation

import (
	"cmp"
	"slices"
)

// maxArrivals bounds the remembered arrivals; engines queue fewer requests than that.
const maxArrivals = 64

// arrival is a request that the engine's figures contain.
type arrival struct {
	promptTokens float64
	rank         int
}

// arrivals are the requests that arrived last, the newest at the end. They tell the size of those that the engine shows as
// waiting.
type arrivals struct {
	list []arrival
}

func (a *arrivals) add(e *entry) {
	a.list = append(a.list, arrival{promptTokens: e.request.PromptTokens, rank: e.request.Rank})
	if len(a.list) > maxArrivals {
		a.list = slices.Delete(a.list, 0, len(a.list)-maxArrivals)
	}
}

// newest returns the n requests that are assumed to be waiting: of twice as many that arrived last, the least urgent ones,
// as the engine lets the more urgent in first, and of equal ones the newest. Requests of other origin count with the usual
// length and the highest urgency.
func (a *arrivals) newest(n int, usualPrompt float64) []arrival {
	recent := slices.Clone(a.list[max(0, len(a.list)-2*n):])
	slices.Reverse(recent)
	slices.SortStableFunc(recent, func(x, y arrival) int { return cmp.Compare(y.rank, x.rank) })
	recent = recent[:min(n, len(recent))]
	for len(recent) < n {
		recent = append(recent, arrival{promptTokens: usualPrompt})
	}
	return recent
}
