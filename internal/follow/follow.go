// Package follow keeps an agent in touch with its home entry: it sends heartbeats and takes configuration, the VM
// list and turns to swap.
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

// PartName is what other parts name in their needs.
const PartName = "follow"

const (
	// beat is the longest time between two heartbeats.
	beat = time.Second
	// retryPause is the wait before another entry is asked.
	retryPause = 100 * time.Millisecond
	// listRetry is how often the VM list is read while no entry answers.
	listRetry = time.Second
)

// Settings is the section [vm]: how this VM stands in the platform's list.
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
			h.AddMetric("config_offset", expvar.Func(func() any { return f.State().Offset() }))
			return f, nil
		},
	})
}

// Follower is an agent's tie to its home entry.
type Follower struct {
	*configlog.Store
	List *membership.List

	self    *pb.VM
	entries []string
	rpc     *rpc.Server
	readVMs func(ctx context.Context) (*pb.VMList, error)
	log     *log.Logger

	mu     sync.Mutex
	status *pb.VMStatus
	poke   chan struct{}
	failed map[string]time.Time
}

// New makes a Follower. The entries are addresses to ask before a VM list is known.
func New(self *pb.VM, entries []string, r *rpc.Server, readVMs func(ctx context.Context) (*pb.VMList, error),
	observe func(t kernel.Time), l *log.Logger,
) *Follower {
	return &Follower{
		Store: configlog.NewStore(observe), List: membership.NewList(), self: self, entries: entries, rpc: r,
		readVMs: readVMs, log: l,
		status: &pb.VMStatus{Vm: self, Incarnation: uint64(time.Now().UnixNano())},
		poke:   make(chan struct{}, 1), failed: map[string]time.Time{},
	}
}

// Self is this VM as it would stand in the list.
func (f *Follower) Self() *pb.VM {
	return f.self
}

// UpdateStatus changes the status that goes out with the next heartbeat and sends that at once.
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
	case f.poke <- struct{}{}:
	default:
	}
}

// Status returns the newest status; do not change it.
func (f *Follower) Status() *pb.VMStatus {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.status
}

// Run keeps in touch until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		address, err := f.home(ctx)
		if err == nil {
			err = f.sync(ctx, address)
		}
		if err == nil || ctx.Err() != nil {
			continue
		}
		f.log.Debug().Err(err).Str("entry", address).Msg("no answer from an entry")
		f.failed[address] = time.Now()
		kernel.Pause(ctx, retryPause)
	}
	return nil
}

// home picks the first entry, in a rendezvous order, that has not failed lately: the own failure domain's first, then
// the others'.
func (f *Follower) home(ctx context.Context) (string, error) {
	if len(f.List.Get().GetVms()) == 0 {
		if l, err := f.readVMs(ctx); err == nil {
			f.List.Set(l)
		}
	}
	candidates := f.candidates()
	if len(candidates) == 0 {
		kernel.Pause(ctx, listRetry)
		return "", trace.Wrap(platform.ErrUnavailable, "no entry is known")
	}
	best := candidates[0]
	for _, a := range candidates {
		if time.Since(f.failed[a]) > membership.HeartbeatTimeout {
			return a, nil
		}
		if f.failed[a].Before(f.failed[best]) {
			best = a
		}
	}
	return best, nil
}

func (f *Follower) candidates() []string {
	near, far := []id.VM{}, []id.VM{}
	address := map[id.VM]string{}
	for _, v := range f.List.Entries("") {
		address[id.VM(v.GetId())] = v.GetAddress()
		if v.GetDomain() == f.self.GetDomain() {
			near = append(near, id.VM(v.GetId()))
		} else {
			far = append(far, id.VM(v.GetId()))
		}
	}
	var l []string
	for _, v := range append(rendezvous.Order(f.self.GetId(), near), rendezvous.Order(f.self.GetId(), far)...) {
		l = append(l, address[v])
	}
	for _, a := range f.entries {
		if !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	return l
}

// sync does one heartbeat. A change of the status ends the long poll early, so that the next one carries it.
func (f *Follower) sync(ctx context.Context, address string) error {
	ctx, stop := context.WithTimeout(ctx, beat+dialMargin)
	defer stop()
	select {
	case <-f.poke:
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
			VmListVersion: f.List.Get().GetVersion(), WaitMs: beat.Milliseconds(),
		})
		done <- result{answer: a, err: err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			return trace.Wrap(r.err)
		}
		return f.take(r.answer)
	case <-f.poke:
		stop()
		r := <-done
		if r.err != nil {
			return nil
		}
		return f.take(r.answer)
	}
}

// dialMargin is what a heartbeat may take beyond its wait.
const dialMargin = 2 * time.Second

func (f *Follower) take(a *pb.SyncResponse) error {
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

// turnWait is how long one question for a turn waits at the entry.
const turnWait = 5 * time.Second

// RequestSwapPermit asks the entry that gives a rollout's turns in this failure domain: the first in the rollout's rendezvous
// order that answers. Without an entry there is no turn, as nobody could say who else is out.
func (f *Follower) RequestSwapPermit(ctx context.Context, r id.Rollout) bool {
	var near []id.VM
	address := map[id.VM]string{}
	for _, v := range f.List.Entries(id.Domain(f.self.GetDomain())) {
		near = append(near, id.VM(v.GetId()))
		address[id.VM(v.GetId())] = v.GetAddress()
	}
	ctx, stop := context.WithTimeout(ctx, turnWait+dialMargin)
	defer stop()
	for _, v := range rendezvous.Order("turns/"+string(r), near) {
		a, err := f.rpc.Config(address[v]).AskTurn(ctx, &pb.AskTurnRequest{
			Rollout: string(r), Status: f.Status(), WaitMs: turnWait.Milliseconds(),
		})
		if err == nil {
			return a.GetGranted()
		}
	}
	return false
}
