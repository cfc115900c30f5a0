//go:build !race

// The race detector of Go 1.26.8 ends the process within synctest.Test with these swarms, without a report of a race.

package transfer

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/kernel"
	"github.com/springrail/springrail/internal/swarm"
)

const (
	// originChunkTime and peerChunkTime are the times that a chunk takes on the origin's link and on that of a VM.
	originChunkTime = 48 * time.Millisecond
	peerChunkTime   = 27 * time.Millisecond
	simRoundTrip    = 2 * time.Millisecond
	simRollout      = "r"
	simVMs          = 48
	simChunks       = 64
	simTakeover     = 700 * time.Millisecond
)

// simFaults is what fails in a simulation.
type simFaults struct {
	// outages are the times in which the origin answers nobody; hangs is true if its requests then wait instead of failing.
	outages [][2]time.Duration
	hangs   bool
	// onlyVM, if set, is the only VM that the origin answers from onlyFrom to onlyEnd.
	onlyVM            id.VM
	onlyFrom, onlyEnd time.Duration
	// deadFrom is when VMs end.
	deadFrom map[id.VM]time.Duration
}

// simulation is a swarm of downloads in virtual time, with an origin whose link carries one chunk at a time.
type simulation struct {
	simFaults
	source  *fakeSource
	start   time.Time
	members []Member
	vms     map[id.VM]*simulatedVM
	link    chan struct{}

	mu      sync.Mutex
	sent    int
	asked   map[id.Chunk]time.Duration
	waiting int
	result  simResult
}

type simulatedVM struct {
	*Download
	uploads *Uploads
}

// simResult holds what a run has shown.
type simResult struct {
	copies      float64
	first, last time.Duration
	complete    int
	// bound is when the origin's link can have carried one copy while it answers all VMs.
	bound time.Duration
	// checks is the number of requests for the manifest, and waiting the largest number of requests at the origin.
	checks, waiting int
	// asked is when each chunk was first requested from the origin.
	asked map[id.Chunk]time.Duration
}

// takenOverAt returns when a chunk of a lane was first requested from the origin after the lane's VM had ended.
func (r simResult) takenOverAt(l swarm.Lanes, lane int, ended time.Duration) time.Duration {
	first := time.Duration(0)
	for c, at := range r.asked {
		if l.Lane(c) == lane && at > ended && (first == 0 || at < first) {
			first = at
		}
	}
	return first
}

func (r simResult) String() string {
	return fmt.Sprintf("%.2f copies, first whole %.2f s (bound %.2f s), last %.2f s, %d whole, %d checks, at most %d waiting",
		r.copies, r.first.Seconds(), r.bound.Seconds(), r.last.Seconds(), r.complete, r.checks, r.waiting)
}

// simLanes returns the lanes of the simulated version.
func simLanes() swarm.Lanes {
	var l []swarm.Member
	for _, m := range simMembers() {
		l = append(l, m.Member)
	}
	return swarm.NewLanes(simRollout, l)
}

// firstOf returns the VM of rank 0 in a lane.
func firstOf(lane int) id.VM {
	for _, m := range simMembers() {
		if simLanes().Ranks(m.VM)[lane] == 0 {
			return m.VM
		}
	}
	return ""
}

func simMembers() []Member {
	var l []Member
	for i := range simVMs {
		name := fmt.Sprintf("vm%d", i)
		l = append(l, Member{Member: swarm.Member{VM: id.VM(name), Domain: id.Domain(fmt.Sprint(i % 3))}, Address: name})
	}
	return l
}

// run plays the simulation for at most the given time.
func (sim *simulation) run(t *testing.T, limit time.Duration) simResult {
	synctest.Test(t, func(*testing.T) {
		sim.start, sim.members, sim.vms = time.Now(), simMembers(), map[id.VM]*simulatedVM{}
		sim.link, sim.asked = make(chan struct{}, 1), map[id.Chunk]time.Duration{}
		ctx, stop := context.WithTimeout(context.Background(), limit)
		defer stop()
		for _, m := range sim.members {
			sim.vms[m.VM] = sim.newVM(m)
		}
		var done sync.WaitGroup
		for _, m := range sim.members {
			done.Go(func() { sim.runVM(ctx, m.VM) })
		}
		done.Wait()
		stop()
		sim.summarise()
	})
	return sim.result
}

func (sim *simulation) runVM(ctx context.Context, v id.VM) {
	if at, dies := sim.deadFrom[v]; dies {
		var stop context.CancelFunc
		ctx, stop = context.WithTimeout(ctx, at)
		defer stop()
	}
	sim.vms[v].Run(ctx)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.vms[v].holding.Complete() {
		at := time.Since(sim.start)
		sim.result.complete++
		sim.result.last = at
		if sim.result.first == 0 {
			sim.result.first = at
		}
	}
}

func (sim *simulation) summarise() {
	r := &sim.result
	r.copies = float64(sim.sent) / simChunks
	r.asked = sim.asked
	carried := time.Duration(0)
	for at := time.Duration(0); carried < simChunks*originChunkTime; at += time.Millisecond {
		if !sim.unavailable(at) && (sim.onlyVM == "" || at < sim.onlyFrom || at >= sim.onlyEnd) {
			carried += time.Millisecond
		}
		r.bound = at
	}
}

func (sim *simulation) newVM(m Member) *simulatedVM {
	s := NewSettings()
	s.Uploads, s.Downloads, s.TakeoverDelay, s.SourceTimeout = 3, 6, simTakeover, 3*time.Second
	h := &kernel.Host{Log: &log.Logger{Level: log.PanicLevel}, Events: kernel.NewEventRing(kernel.NewClock(time.Now), 64)}
	manager := &Manager{host: h, settings: s, self: m.Member, holdings: NewHoldingStore(1 << 30), seed: 1}
	holding, err := manager.holdings.Open(sim.source.rollout)
	if err != nil {
		panic(err)
	}
	v := &simulatedVM{uploads: NewUploads(manager.holdings, s.Uploads, nil, &manager.stats)}
	v.Download = NewDownload(manager.dependencies(), sim.source.rollout, holding, Transport{
		Members: func() []Member { return sim.members }, FetchChunk: sim.fetchChunk, FetchManifest: sim.fetchManifest, Have: sim.have,
		FetchFromSource: func(ctx context.Context, r *pb.Rollout, object string, from, length int64) (SourceData, error) {
			return sim.fetchFromSource(ctx, m.VM, object, from, length)
		},
	})
	return v
}

// reach waits for a round trip to a VM; one that has ended never responds.
func (sim *simulation) reach(ctx context.Context, address string) (*simulatedVM, error) {
	if at, dies := sim.deadFrom[id.VM(address)]; dies && time.Since(sim.start) >= at {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	kernel.Pause(ctx, simRoundTrip)
	return sim.vms[id.VM(address)], ctx.Err()
}

func (sim *simulation) have(ctx context.Context, address string, q *pb.HaveRequest) (*pb.HaveResponse, error) {
	v, err := sim.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	a, err := v.uploads.Have(ctx, q)
	if _, late := sim.reach(ctx, address); late != nil {
		return nil, late
	}
	return a, err
}

func (sim *simulation) fetchManifest(ctx context.Context, address string, _ id.Rollout) ([]byte, error) {
	v, err := sim.reach(ctx, address)
	for err == nil {
		changed := v.holding.Changed()
		if raw := v.holding.Manifest(); raw != nil {
			return raw, nil
		}
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-changed:
		}
	}
	return nil, err
}

func (sim *simulation) fetchChunk(ctx context.Context, address string, _ id.Rollout, c id.Chunk, _ int64) ([]byte, error) {
	v, err := sim.reach(ctx, address)
	if err != nil {
		return nil, err
	}
	if !v.uploads.acquireSlot() {
		return nil, ErrBusy
	}
	defer func() { <-v.uploads.slots }()
	kernel.Pause(ctx, time.Duration(len(v.uploads.slots))*peerChunkTime)
	if _, err := sim.reach(ctx, address); err != nil {
		return nil, err
	}
	return v.holding.Chunk(c), ctx.Err()
}

func (sim *simulation) unavailable(at time.Duration) bool {
	for _, o := range sim.outages {
		if at >= o[0] && at < o[1] {
			return true
		}
	}
	return false
}

// answers reports whether the origin answers a VM now.
func (sim *simulation) answers(v id.VM) bool {
	at := time.Since(sim.start)
	return !sim.unavailable(at) && (sim.onlyVM == "" || sim.onlyVM == v || at < sim.onlyFrom || at >= sim.onlyEnd)
}

// await returns once the origin takes a request of a VM, or an error if it does not.
func (sim *simulation) await(ctx context.Context, v id.VM) error {
	for !sim.answers(v) {
		if !sim.hangs {
			return errUnavailable
		}
		kernel.Pause(ctx, simRoundTrip)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return ctx.Err()
}

func (sim *simulation) fetchFromSource(ctx context.Context, v id.VM, object string, from, length int64) (SourceData, error) {
	sim.addWaiting(1)
	defer sim.addWaiting(-1)
	kernel.Pause(ctx, simRoundTrip)
	if object == objectManifest {
		sim.mu.Lock()
		sim.result.checks++
		sim.mu.Unlock()
		return SourceData{Data: sim.source.raw}, sim.await(ctx, v)
	}
	sim.mu.Lock()
	if c := id.Chunk(from / testChunkBytes); sim.asked[c] == 0 {
		sim.asked[c] = time.Since(sim.start)
	}
	sim.mu.Unlock()
	if err := sim.await(ctx, v); err != nil {
		return SourceData{}, err
	}
	select {
	case sim.link <- struct{}{}:
	case <-ctx.Done():
		return SourceData{}, ctx.Err()
	}
	defer func() { <-sim.link }()
	if err := sim.await(ctx, v); err != nil {
		return SourceData{}, err
	}
	kernel.Pause(ctx, originChunkTime)
	if err := sim.await(ctx, v); err != nil {
		return SourceData{}, err
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.sent++
	return SourceData{Data: bytes.Clone(sim.source.content[from : from+length]), OriginBytes: length}, nil
}

func (sim *simulation) addWaiting(n int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.waiting += n
	sim.result.waiting = max(sim.result.waiting, sim.waiting)
}
