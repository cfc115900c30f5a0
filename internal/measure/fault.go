package measure

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/standin"
)

// The share of VMs that each fault affects, as the project's goals state it.
const (
	deathShare   = 0.10
	stallShare   = 0.10
	corruptShare = 0.05
	slowShare    = 0.10
)

// faultNames lists the faults that can be injected into a burst.
var faultNames = []string{
	"vm-death", "stall", "slow-peer", "corrupt-peer", "corrupt-origin", "version-swap", "domain-cut", "origin-down",
	"store-down", "list-lag",
}

// faults injects faults into a fleet while a burst runs.
type faults struct {
	plan    *burstPlan
	fleet   *fleet.Fleet
	random  *rand.Rand
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	mu      sync.Mutex
	running int
}

// startFaults injects the plan's faults after a quarter of the burst's bound.
func startFaults(ctx context.Context, p *burstPlan, f *fleet.Fleet) *faults {
	ctx, stop := context.WithCancel(ctx)
	s := &faults{plan: p, fleet: f, random: rand.New(rand.NewPCG(p.Seed, 1)), cancel: stop, running: len(p.Fault)}
	for _, name := range p.Fault {
		s.wait.Go(func() {
			defer s.faultEnded()
			s.waitQuarterBound(ctx)
			s.apply(ctx, name)
		})
	}
	return s
}

func (s *faults) faultEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// finished reports whether all faults have been injected and the temporary ones have ended.
func (s *faults) finished() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running == 0
}

func (s *faults) stop() {
	s.cancel()
	s.wait.Wait()
}

// waitQuarterBound waits a quarter of the burst's bound.
func (s *faults) waitQuarterBound(ctx context.Context) {
	const share = 0.25
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(share * s.plan.bound() * float64(time.Second))):
	}
}

// randomAgents returns a random share of the agents, at least one.
func (s *faults) randomAgents(share float64) []*fleet.Agent {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := max(1, int(share*float64(len(s.fleet.Agents))))
	var l []*fleet.Agent
	for _, i := range s.random.Perm(len(s.fleet.Agents))[:n] {
		l = append(l, s.fleet.Agents[i])
	}
	return l
}

func (s *faults) apply(ctx context.Context, name string) {
	origin := s.fleet.Platform.Origin
	switch name {
	case "vm-death":
		for _, a := range s.randomAgents(deathShare) {
			a.Kill()
		}
	case "stall":
		for _, a := range s.randomAgents(stallShare) {
			a.Link.SetRate(1)
			a.Link.Disconnected.Store(true)
		}
	case "slow-peer":
		for _, a := range s.randomAgents(slowShare) {
			a.Link.Uplink.SetLimit(a.Link.Uplink.Limit() / 10)
		}
	case "corrupt-peer":
		for _, a := range s.randomAgents(corruptShare) {
			a.Link.Corrupt.Store(true)
		}
	case "corrupt-origin":
		origin.SetFaults(standin.WeightsFaults{CorruptEvery: 10})
	case "version-swap":
		origin.SetFaults(standin.WeightsFaults{Swap: true})
		s.waitQuarterBound(ctx)
		origin.SetFaults(standin.WeightsFaults{})
	case "domain-cut":
		s.fleet.Partition(s.fleet.Agents[0].Domain)
		s.waitQuarterBound(ctx)
		s.fleet.HealPartition()
	case "origin-down":
		origin.SetFaults(standin.WeightsFaults{Outage: true})
		s.waitQuarterBound(ctx)
		origin.SetFaults(standin.WeightsFaults{})
	case "store-down":
		s.fleet.Platform.Store.SetFaults(standin.WeightsFaults{Outage: true})
	case "list-lag":
		s.fleet.Platform.VMs.SetOutage(true)
	}
}
