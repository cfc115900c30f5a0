// Package follow connects an agent to an entry of its failure domain: it sends heartbeats and receives the
// configuration, the VM list and permits to swap a model. An agent is the springrail process on an upstream's VM, and an
// entry is a process that accepts callers' requests.
package follow

import (
	"context"
	"expvar"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/configlog"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/membership"
	"github.com/springrail/springrail/internal/platform"
	"github.com/springrail/springrail/internal/rendezvous"
	"github.com/springrail/springrail/internal/rpc"
)

// PartName is the name by which other parts require this one.
const PartName = "follow"

const (
	// heartbeatInterval is the longest time between two heartbeats.
	heartbeatInterval = time.Second
	// retryPause is the wait before another entry is tried.
	retryPause = 100 * time.Millisecond
	// listRetryInterval is how often the VM list is read from the platform while no entry is known.
	listRetryInterval = time.Second
)

// Settings is the section [vm]: how this VM is listed on the platform.
type Settings struct {
	Pool    string   `toml:"pool"`
	Engine  bool     `toml:"engine"`
	Entries []string `toml:"entries"`
}

// Check implements kernel.Section.
func (s *Settings) Check(c *kernel.Checker) {
	c.Require(s.Pool != "", "pool", "the pool of this VM's upstream")
}

func init() {
	kernel.Register(kernel.Part{
		Name:     PartName,
		Section:  "vm",
		Needs:    []string{rpc.PartName, platform.PartName},
		Settings: func() kernel.Section { return &Settings{} },
		New: func(h *kernel.Host) (any, error) {
			r := h.Part(rpc.PartName).(*rpc.Server)
			s := h.Section("vm").(*Settings)
			self := &pb.VM{
				Id: string(h.Identity.VM), Domain: string(h.Identity.Domain), Role: membership.RoleUpstream,
				Pool: s.Pool, Engine: s.Engine, Address: r.Address(),
			}
			f := New(self, s.Entries, r, h.Part(platform.PartName).(*platform.Client).ListVMs,
				h.Clock.Observe, h.Log)
			h.Metric("config_offset", expvar.Func(func() any { return f.State().Offset() }))
			return f, nil
		},
	})
}

// Follower sends heartbeats to an entry, and keeps the configuration and the VM list that it receives in return.
type Follower struct {
	*configlog.Store
	// List is the VM list as last received.
	List *membership.List

	self        *pb.VM
	seedEntries []string
	rpc         *rpc.Server
	readVMs     func(ctx context.Context) (*pb.VMList, error)
	log         *log.Logger

	mu     sync.Mutex
	status *pb.VMStatus
	// statusChanged receives a value at each status change.
	statusChanged chan struct{}
	// failedAt holds the time of the last failed heartbeat to each entry.
	failedAt map[string]time.Time
}

// New returns a Follower. The entries are seed addresses, tried after the entries of the VM list.
func New(self *pb.VM, entries []string, r *rpc.Server, readVMs func(ctx context.Context) (*pb.VMList, error),
	observe func(t kernel.Time), l *log.Logger,
) *Follower {
	return &Follower{
		Store: configlog.NewStore(observe), List: membership.NewList(), self: self, seedEntries: entries, rpc: r,
		readVMs: readVMs, log: l,
		status:        &pb.VMStatus{Vm: self, Incarnation: uint64(time.Now().UnixNano())},
		statusChanged: make(chan struct{}, 1), failedAt: map[string]time.Time{},
	}
}

// Self returns this VM as it appears in the VM list.
func (f *Follower) Self() *pb.VM {
	return f.self
}

// UpdateStatus changes the status that heartbeats carry, and triggers a heartbeat at once.
func (f *Follower) UpdateStatus(change func(s *pb.VMStatus)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := &pb.VMStatus{
		Vm: f.self, Incarnation: f.status.GetIncarnation(), Sequence: f.status.GetSequence() + 1,
		Replicas: f.status.GetReplicas(), Live: f.status.GetLive(), Load: f.status.GetLoad(),
		Leaving: f.status.GetLeaving(), UpstreamUp: f.status.GetUpstreamUp(),
	}
	change(next)
	f.status = next
	select {
	case f.statusChanged <- struct{}{}:
	default:
	}
}

// Status returns the latest status. Callers must not modify it.
func (f *Follower) Status() *pb.VMStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Run sends heartbeats until the context ends. After a failure it moves on to another entry.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address, err := f.chooseEntry(ctx)
		if err == nil {
			err = f.sendHeartbeat(ctx, address)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.log.Debug().Err(err).Str("entry", address).Msg("heartbeat to an entry failed")
		f.failedAt[address] = time.Now()
		kernel.Pause(ctx, retryPause)
	}
	return nil
}

// chooseEntry returns the first candidate that has not failed within membership.GoneAfter, or else the one that failed
// longest ago.
func (f *Follower) chooseEntry(ctx context.Context) (string, error) {
	if len(f.List.Get().GetVms()) == 0 {
		if l, err := f.readVMs(ctx); err == nil {
			f.List.Set(l)
		}
	}
	candidates := f.candidates()
	if len(candidates) == 0 {
		kernel.Pause(ctx, listRetryInterval)
		return "", trace.Wrap(platform.ErrUnavailable, "no entry is known")
	}
	best := candidates[0]
	for _, a := range candidates {
		if time.Since(f.failedAt[a]) > membership.HeartbeatTimeout {
			return a, nil
		}
		if f.failedAt[a].Before(f.failedAt[best]) {
			best = a
		}
	}
	return best, nil
}

// candidates returns the addresses of the entries to try: those of the own failure domain first, then those of the
// others, both in rendezvous order, and last the seed entries.
func (f *Follower) candidates() []string {
	local, remote := []id.VM{}, []id.VM{}
	address := map[id.VM]string{}
	for _, v := range f.List.Entries("") {
		address[id.VM(v.GetId())] = v.GetAddress()
		if v.GetDomain() == f.self.GetDomain() {
			local = append(local, id.VM(v.GetId()))
		} else {
			remote = append(remote, id.VM(v.GetId()))
		}
	}
	var l []string
	for _, v := range append(rendezvous.Order(f.self.GetId(), local), rendezvous.Order(f.self.GetId(), remote)...) {
		l = append(l, address[v])
	}
	for _, a := range f.seedEntries {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return l
}

// sendHeartbeat sends one heartbeat as a long poll. A status change cancels the poll, so that the next heartbeat
// carries the new status.
func (f *Follower) sendHeartbeat(ctx context.Context, address string) error {
	ctx, stop := context.WithTimeout(ctx, heartbeatInterval+callMargin)
	defer stop()
	select {
	case <-f.statusChanged:
	default:
	}
	type result struct {
		answer *pb.SyncResponse
		err    error
	}
	done := make(chan result, 1)
	go func() {
		a, err := f.rpc.Config(address).Sync(ctx, &pb.SyncRequest{
			Status: f.Status(), Offset: uint64(f.State().Offset()),
			VmListVersion: f.List.Get().GetVersion(), WaitMs: heartbeatInterval.Milliseconds(),
		})
		done <- result{answer: a, err: err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return trace.Wrap(r.err)
		}
		return f.applyAnswer(r.answer)
	case <-f.statusChanged:
		stop()
		r := <-done
		if r.err != nil {
			return nil
		}
		return f.applyAnswer(r.answer)
	}
}

// callMargin is the time that a call may take beyond its wait at the entry.
const callMargin = 2 * time.Second

// applyAnswer applies the configuration and the VM list of a heartbeat's answer.
func (f *Follower) applyAnswer(a *pb.SyncResponse) error {
	if a.GetState() != nil {
		f.RestoreSnapshot(a.GetState())
	}
	if _, err := f.Apply(a.GetRecords()); err != nil {
		return err
	}
	if a.GetVmList() != nil {
		f.List.Set(a.GetVmList())
	}
	f.SetReady()
	return nil
}

// permitWait is how long one request for a swap permit waits at the entry.
const permitWait = 5 * time.Second

// RequestSwapPermit asks for a permit to swap to a rollout, and returns whether it was granted and until when it is valid; zero
// if the entry does not say. The entry that issues a
// rollout's permits in this failure domain is the first in the rollout's rendezvous order that answers. If none answers
// there is no permit, as it is then unknown how many other VMs are swapping.
func (f *Follower) RequestSwapPermit(ctx context.Context, r id.Rollout) (granted bool, validUntil time.Time) {
	var local []id.VM
	address := map[id.VM]string{}
	for _, v := range f.List.Entries(id.Domain(f.self.GetDomain())) {
		local = append(local, id.VM(v.GetId()))
		address[id.VM(v.GetId())] = v.GetAddress()
	}
	ctx, stop := context.WithTimeout(ctx, permitWait+callMargin)
	defer stop()
	for _, v := range rendezvous.Order("turns/"+string(r), local) {
		sentAt := time.Now()
		a, err := f.rpc.Config(address[v]).AskTurn(ctx, &pb.AskTurnRequest{
			Rollout: string(r), Status: f.Status(), WaitMs: permitWait.Milliseconds(),
		})
		if err == nil {
			if ms := a.GetValidMs(); ms > 0 {
				validUntil = sentAt.Add(time.Duration(ms) * time.Millisecond)
			}
			return a.GetGranted(), validUntil
		}
	}
	return false, time.Time{}
}
