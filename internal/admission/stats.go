package admission

import (
	"cmp"
	"slices"

	"github.com/springrail/springrail/internal/id"
)

// maxListedOrganisations is the number of organisations in the figures for operators.
const maxListedOrganisations = 8

// OrganisationRate is the offered rate of an organisation.
type OrganisationRate struct {
	Organisation id.Organisation
	PerSecond    float64
}

// Stats are figures for operators.
type Stats struct {
	// OfferedByRank is the offered rate by rank, in requests per second.
	OfferedByRank map[int]float64
	// Organisations are those with the highest offered rates, the highest first.
	Organisations []OrganisationRate
	// Busy, Rank and Share are the numbers of refusals by reason since the start.
	Busy, Rank, Share uint64
}

// Stats returns the current figures.
func (c *Controller) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	s := Stats{OfferedByRank: map[int]float64{}, Busy: c.refusals[Busy], Rank: c.refusals[Rank], Share: c.refusals[Share]}
	for i := range c.ranks.rates {
		if r := c.ranks.rate(i, i+1, now); r.perSecond() >= minActive {
			s.OfferedByRank[i] = r.perSecond()
		}
	}
	rates := map[id.Organisation]float64{}
	for k, e := range c.shares.entries {
		e.offered.advance(now)
		rates[k.organisation] += e.offered.perSecond()
	}
	for o, r := range rates {
		if r >= minActive {
			s.Organisations = append(s.Organisations, OrganisationRate{Organisation: o, PerSecond: r})
		}
	}
	slices.SortFunc(s.Organisations, func(a, b OrganisationRate) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Organisation, b.Organisation))
	})
	s.Organisations = s.Organisations[:min(len(s.Organisations), maxListedOrganisations)]
	return s
}
