package stager

import (
	"context"
	"time"

	"github.com/springrail/springrail/internal/facts"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/rendezvous"
	"github.com/springrail/springrail/internal/swapplan"
)

// planInputs returns the inputs of the swap schedule for this upstream. It returns false if there is nothing to
// schedule: an upstream that receives no requests in its present state may load at once.
func (s *Stager) planInputs(g *targetVersion, staged time.Time) (swapplan.Inputs, bool) {
	state, _ := s.upstreamState()
	held := facts.HeldRevision(state.Held, g.model)
	until := s.facts.ServableUntil(g.model, held, s.settings.SwapWithin)
	if held == 0 || until.IsZero() || g.wanted.LearntAt.IsZero() {
		return swapplan.Inputs{}, false
	}
	v := swapplan.Inputs{StagedAt: staged, ServableUntil: until.Add(-swapplan.CloseMargin), SwapDuration: s.expectedSwapDuration()}
	vms := []id.VM{s.dependencies.Self.VM}
	for _, i := range s.facts.Instances() {
		if i.Pool != g.pool || i.Domain != s.dependencies.Self.Domain || i.Address == s.ports.Address {
			continue
		}
		vms = append(vms, id.VM(i.Address))
		other := facts.HeldRevision(i.Held, g.model)
		if other == 0 || other >= held {
			continue
		}
		if end := s.facts.ServableUntil(g.model, other, s.settings.SwapWithin).Add(-swapplan.CloseMargin); end.After(v.OlderServableUntil) {
			v.OlderServableUntil = end
		}
	}
	v.Rank, v.Size = rendezvous.Rank(g.rolloutID(), vms, s.dependencies.Self.VM), len(vms)
	v.BridgeOnly = s.remainingNeed(g, &v) == swapplan.BridgesGap
	return v, true
}

// remainingNeed returns what a version is still needed for if a newer one is being transferred; the newest version is
// always needed.
func (s *Stager) remainingNeed(g *targetVersion, v *swapplan.Inputs) swapplan.Need {
	n := g.successor.Load()
	if n == nil {
		return swapplan.Needed
	}
	held, all := n.holding.Count()
	next := swapplan.NextVersion{StartedAt: n.startedAt, ChunksHeld: held, ChunksTotal: all, UsualDuration: v.StagedAt.Sub(g.wanted.LearntAt)}
	return swapplan.NeedFor(v.ServableUntil, v.SwapDuration, next, s.now())
}

// loadAt returns when this upstream should stop accepting requests for a version that is completely staged at the given
// time.
func (s *Stager) loadAt(g *targetVersion, staged time.Time) time.Time {
	v, ok := s.planInputs(g, staged)
	if !ok {
		return staged
	}
	return swapplan.LoadAt(v)
}

// waitForSwapSlot waits until this upstream may load the version.
func (s *Stager) waitForSwapSlot(ctx context.Context, g *targetVersion) {
	staged := s.now()
	for ctx.Err() == nil {
		v, ok := s.planInputs(g, staged)
		if !ok {
			return
		}
		wait := swapplan.LoadAt(v).Sub(s.now())
		unneeded := s.remainingNeed(g, &v) == swapplan.Unneeded
		if wait <= 0 && !unneeded {
			return
		}
		if unneeded {
			wait = swapplan.PlanCheckInterval
		}
		kernel.Pause(ctx, min(wait, swapplan.PlanCheckInterval))
	}
}

// recordSwapDuration updates the expected swap duration, a moving average, with the time since the upstream stopped
// accepting requests.
func (s *Stager) recordSwapDuration() {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := s.now().Sub(s.closedAt)
	s.swapDuration += time.Duration(swapplan.SwapDurationWeight * float64(took-s.swapDuration))
}

// expectedSwapDuration returns for how long a swap is expected to keep the upstream from accepting requests.
func (s *Stager) expectedSwapDuration() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.swapDuration
}
