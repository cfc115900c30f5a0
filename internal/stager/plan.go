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

// view is what the plan for this upstream rests on, and whether there is anything to plan: an upstream that gets no
// requests as it is may load at once.
func (s *Stager) view(g *goal, staged time.Time) (swapplan.Inputs, bool) {
	state, _ := s.current()
	held := facts.HeldRevision(state.Held, g.model)
	until := s.facts.ServableUntil(g.model, held, s.settings.SwapWithin)
	if held == 0 || until.IsZero() || g.wanted.LearntAt.IsZero() {
		return swapplan.Inputs{}, false
	}
	v := swapplan.Inputs{StagedAt: staged, ServableUntil: until.Add(-swapplan.CloseMargin), SwapDuration: s.expectedOut()}
	vms := []id.VM{s.env.Self.VM}
	for _, i := range s.facts.Instances() {
		if i.Pool != g.pool || i.Domain != s.env.Self.Domain || i.Address == s.ports.Address {
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
	v.Rank, v.Size = rendezvous.Rank(g.name(), vms, s.env.Self.VM), len(vms)
	v.BridgeOnly = s.use(g, &v) == swapplan.BridgesGap
	return v, true
}

// use is what a version is still good for: the newest is always needed.
func (s *Stager) use(g *goal, v *swapplan.Inputs) swapplan.Need {
	n := g.newer.Load()
	if n == nil {
		return swapplan.Needed
	}
	held, all := n.holding.Count()
	next := swapplan.NextVersion{StartedAt: n.begun, ChunksHeld: held, ChunksTotal: all, UsualDuration: v.StagedAt.Sub(g.wanted.LearntAt)}
	return swapplan.NeedFor(v.ServableUntil, v.SwapDuration, next, s.now())
}

// loadAt is when this upstream is to stop taking requests for a version that is whole at a moment.
func (s *Stager) loadAt(g *goal, staged time.Time) time.Time {
	v, ok := s.view(g, staged)
	if !ok {
		return staged
	}
	return swapplan.LoadAt(v)
}

// turn waits until this upstream may load.
func (s *Stager) turn(ctx context.Context, g *goal) {
	staged := s.now()
	for ctx.Err() == nil {
		v, ok := s.view(g, staged)
		if !ok {
			return
		}
		wait := swapplan.LoadAt(v).Sub(s.now())
		needless := s.use(g, &v) == swapplan.Unneeded
		if wait <= 0 && !needless {
			return
		}
		if needless {
			wait = swapplan.PlanCheckInterval
		}
		kernel.Pause(ctx, min(wait, swapplan.PlanCheckInterval))
	}
}

// noteOut learns how long a change-over has kept this upstream from taking requests.
func (s *Stager) noteOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	took := s.now().Sub(s.closedAt)
	s.out += time.Duration(swapplan.SwapDurationWeight * float64(took-s.out))
}

// expectedOut is how long a change-over is expected to take.
func (s *Stager) expectedOut() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out
}
