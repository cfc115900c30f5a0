package measure

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/config"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/id"
	"github.com/springrail/springrail/internal/transfer"
)

// The distribution strategies that a burst can be measured with.
const (
	strategySwarm    = "swarm"
	strategyOrigin   = "origin"
	strategyChain    = "chain"
	strategyTree     = "tree"
	strategyPrevious = "previous"
)

// burstPlan is the configuration of one burst: the distribution of a version to all VMs of a fleet.
type burstPlan struct {
	fleet.Options
	Strategy  string
	Objective pb.Objective
	SizeBytes int
	Chunk     int
	Fault     []string
	Timeout   time.Duration
	// Live is the number of live requests a second; 0 sends none.
	Live int
}

// burstRow is the result of one burst.
type burstRow struct {
	VMs       int    `json:"vms"`
	Domains   int    `json:"domains"`
	Objective string `json:"objective"`
	Strategy  string `json:"strategy"`
	Fault     string `json:"fault"`
	// Completed counts the VMs that hold the whole version, and Live the VMs that were not killed.
	Completed int `json:"completed"`
	Live      int `json:"live"`
	// WrongChunks counts stored chunks whose bytes differ from the content.
	WrongChunks             int     `json:"wrong_chunks"`
	SecondsFirst            float64 `json:"seconds_first"`
	SecondsHalf             float64 `json:"seconds_half"`
	SecondsAll              float64 `json:"seconds_all"`
	BoundSeconds            float64 `json:"bound_seconds"`
	TimeRatio               float64 `json:"time_ratio"`
	HalfRatio               float64 `json:"half_ratio"`
	OriginCopies            float64 `json:"origin_copies"`
	ControlBytesPerVMSecond float64 `json:"control_bytes_per_vm_second"`
	// ControlBytesPerChunk is the traffic other than chunk data on VMs' links, per chunk received.
	ControlBytesPerChunk float64 `json:"control_bytes_per_chunk"`
	CPUSecondsPerGiB     float64 `json:"cpu_seconds_per_gib"`
	// LiveP95TTFTRatio is the p95 time to first token of live requests during the burst, divided by that before it; 0
	// without --live.
	LiveP95TTFTRatio float64      `json:"live_p95_ttft_ratio"`
	LiveP95BeforeMs  float64      `json:"live_p95_before_ms"`
	LiveFailed       int          `json:"live_failed"`
	BusyShare        float64      `json:"busy_share"`
	Timeline         []burstPoint `json:"timeline"`
	WastedShare      float64      `json:"wasted_share"`
}

// burstPoint is a sample of a burst's progress: the number of complete VMs and the copies that the origin has sent.
type burstPoint struct {
	Seconds  float64 `json:"seconds"`
	Complete int     `json:"complete"`
	Copies   float64 `json:"copies"`
	// Held is the mean share of the version's chunks that VMs hold.
	Held float64 `json:"held"`
}

// bound returns the shortest time, in seconds, that the links' capacity allows: the longest of the times for the
// version through a VM's own link, one copy through the origin's link, and all copies through all links.
func (p *burstPlan) bound() float64 {
	s, n, b := float64(p.SizeBytes), float64(p.VMs), p.LinkBytesPerSecond
	o := p.OriginLinks * b
	if p.HalfDuplex {
		return max(s/b, s/o, 2*n*s/(o+n*b))
	}
	return max(s/b, s/o, n*s/(o+n*b))
}

func (p *burstPlan) objectiveName() string {
	if p.Objective == pb.Objective_OBJECTIVE_ORIGIN_BYTES {
		return objectiveBytes
	}
	return objectiveTime
}

// run executes one burst and returns its row.
func (p *burstPlan) run(ctx context.Context) (*burstRow, error) {
	ctx, stop := context.WithTimeout(ctx, p.Timeout)
	defer stop()
	if p.Strategy == strategyPrevious {
		s := previousRelease()
		p.Swarm = &s
	}
	f, err := fleet.New(ctx, p.Options)
	if err != nil {
		return nil, err
	}
	// Cancelled before Close: a baseline's servers stop with this context and not with the fleet's own.
	defer func() {
		stop()
		f.Close()
	}()
	if err := f.WaitReady(ctx); err != nil {
		return nil, err
	}
	pair, err := p.startLive(ctx, f)
	if err != nil {
		return nil, err
	}
	v, content, err := f.Publish("v1", p.SizeBytes, p.Chunk)
	if err != nil {
		return nil, err
	}
	w := newBurstWatch(p, f, v)
	if p.Strategy == strategySwarm || p.Strategy == strategyPrevious {
		if err := f.CreateRollout(v, p.Objective, p.Live == 0, p.liveRevision()); err != nil {
			return nil, err
		}
		w.complete = func(a *fleet.Agent) bool {
			h := a.Manager.Holding(id.Rollout("rollout-" + v.GetName()))
			return h != nil && h.Complete()
		}
	} else {
		b := newBaseline(f, v, p.Strategy)
		b.start(ctx)
		w.complete = b.complete
	}
	faults := startFaults(ctx, p, f)
	defer faults.stop()
	w.faults = faults
	loaded, end := context.WithCancel(ctx)
	defer end()
	pair.start(loaded)
	w.waitDone(ctx)
	row := w.row()
	pair.report(row)
	row.WrongChunks = w.wrongChunks(v, content)
	return row, nil
}

// liveRevision returns the revision of the rollout that serves before the burst: the log's second record; 0 without
// live requests.
func (p *burstPlan) liveRevision() uint64 {
	if p.Live > 0 {
		return 2
	}
	return 0
}

// previousRelease returns the swarm settings of the previous release: more connections, and longer intervals between
// questions to neighbours.
func previousRelease() transfer.Settings {
	s := *transfer.NewSettings()
	s.Neighbours, s.Uploads, s.Downloads, s.PerPeer = 8, 4, 6, 2
	s.HaveInterval, s.BusyRetry = 100*time.Millisecond, 50*time.Millisecond
	return s
}

// burstWatch records the progress of a burst and when each VM completes.
type burstWatch struct {
	plan            *burstPlan
	fleet           *fleet.Fleet
	version         *pb.Version
	complete        func(a *fleet.Agent) bool
	faults          *faults
	startedAt       time.Time
	cpuBefore       time.Duration
	linkBytesBefore int64
	completedAt     map[id.VM]float64
	// countersBefore holds each agent's transfer counters at the start of the burst.
	countersBefore map[id.VM]transfer.Counters
	timeline       []burstPoint
}

func newBurstWatch(p *burstPlan, f *fleet.Fleet, v *pb.Version) *burstWatch {
	w := &burstWatch{plan: p, fleet: f, version: v, startedAt: time.Now(), cpuBefore: cpuTime(), completedAt: map[id.VM]float64{},
		countersBefore: map[id.VM]transfer.Counters{},
	}
	w.linkBytesBefore = w.linkBytes()
	for _, a := range f.Agents {
		w.countersBefore[a.VM] = a.Manager.Counters()
	}
	return w
}

func (w *burstWatch) linkBytes() int64 {
	var n int64
	for _, a := range w.fleet.Agents {
		n += a.Link.Bytes.Load()
	}
	return n
}

// waitDone polls until all live VMs are complete and all faults have finished, or the context ends.
func (w *burstWatch) waitDone(ctx context.Context) {
	next := time.Duration(0)
	for ctx.Err() == nil {
		remaining := 0
		for _, a := range w.fleet.Agents[:w.plan.VMs] {
			if _, ok := w.completedAt[a.VM]; ok || a.Link.Disconnected.Load() {
				continue
			}
			if w.complete(a) {
				w.completedAt[a.VM] = time.Since(w.startedAt).Seconds()
				continue
			}
			remaining++
		}
		if since := time.Since(w.startedAt); since >= next || remaining == 0 {
			w.timeline = append(w.timeline, burstPoint{Seconds: since.Seconds(), Complete: len(w.completedAt), Copies: w.copies(), Held: w.meanHeldShare()})
			next = since + 50*time.Millisecond
		}
		if remaining == 0 && w.faults.finished() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// meanHeldShare returns the mean share of the version's chunks that VMs hold; it is 0 for baselines, which don't
// report it.
func (w *burstWatch) meanHeldShare() float64 {
	var sum float64
	for _, a := range w.fleet.Agents {
		if h := a.Manager.Holding(id.Rollout("rollout-" + w.version.GetName())); h != nil {
			have, _ := h.Count()
			sum += float64(have) / float64(config.ChunkCount(w.version))
		}
	}
	return sum / float64(len(w.fleet.Agents))
}

func (w *burstWatch) copies() float64 {
	return float64(w.fleet.Platform.Origin.BytesSent()) / float64(w.plan.SizeBytes)
}

func (w *burstWatch) row() *burstRow {
	p := w.plan
	r := &burstRow{
		VMs: p.VMs, Domains: p.Domains, Objective: p.objectiveName(), Strategy: p.Strategy, Fault: faultName(p.Fault),
		Completed: len(w.completedAt), BoundSeconds: p.bound(), OriginCopies: w.copies(), Timeline: w.timeline,
	}
	var times []float64
	var moved, payload, busy, wasted int64
	for _, a := range w.fleet.Agents[:p.VMs] {
		if !a.Link.Disconnected.Load() {
			r.Live++
		}
		if t, ok := w.completedAt[a.VM]; ok {
			times = append(times, t)
		}
		c := a.Manager.Counters().Since(w.countersBefore[a.VM])
		moved += c.Received + c.Origin
		payload += c.Sent + c.Received + c.Broken + c.Origin
		busy += c.Busy
		wasted += c.Received + c.Broken + c.Origin - int64(p.SizeBytes)
	}
	slices.Sort(times)
	if len(times) > 0 {
		r.SecondsFirst, r.SecondsHalf, r.SecondsAll = times[0], times[(len(times)-1)/2], times[len(times)-1]
	}
	r.TimeRatio, r.HalfRatio = r.SecondsAll/r.BoundSeconds, r.SecondsHalf/r.BoundSeconds
	elapsed := time.Since(w.startedAt).Seconds()
	if moved > 0 {
		r.ControlBytesPerVMSecond = float64(w.linkBytes()-w.linkBytesBefore-payload) / float64(p.VMs) / elapsed
		r.ControlBytesPerChunk = float64(w.linkBytes()-w.linkBytesBefore-payload) / (float64(moved) / float64(p.Chunk))
		r.CPUSecondsPerGiB = (cpuTime() - w.cpuBefore).Seconds() / (float64(moved) / (1 << 30))
		r.BusyShare = float64(busy) / (float64(busy) + float64(moved)/float64(p.Chunk))
		r.WastedShare = float64(wasted) / float64(moved)
	}
	return r
}

// wrongChunks counts the stored chunks that differ from the content.
func (w *burstWatch) wrongChunks(v *pb.Version, content []byte) int {
	wrong := 0
	for _, a := range w.fleet.Agents {
		h := a.Manager.Holding(id.Rollout("rollout-" + v.GetName()))
		if h == nil {
			continue
		}
		for c := 0; c*toInt(v.GetChunkBytes()) < len(content); c++ {
			got := h.Chunk(id.Chunk(c))
			from := c * toInt(v.GetChunkBytes())
			if got != nil && !bytes.Equal(got, content[from:min(from+toInt(v.GetChunkBytes()), len(content))]) {
				wrong++
			}
		}
	}
	return wrong
}

func toInt(n uint64) int {
	return int(n)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func faultName(l []string) string {
	if len(l) == 0 {
		return "none"
	}
	return fmt.Sprint(l)
}
