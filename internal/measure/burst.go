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

// The strategies of a burst.
const (
	strategySwarm    = "swarm"
	strategyOrigin   = "origin"
	strategyChain    = "chain"
	strategyTree     = "tree"
	strategyPrevious = "previous"
)

// burstPlan is one burst.
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
	// Completed counts the VMs that hold the whole version; Live those that were not killed.
	Completed int `json:"completed"`
	Live      int `json:"live"`
	// WrongChunks counts chunks on shelves that differ from the content.
	WrongChunks             int     `json:"wrong_chunks"`
	SecondsFirst            float64 `json:"seconds_first"`
	SecondsHalf             float64 `json:"seconds_half"`
	SecondsAll              float64 `json:"seconds_all"`
	BoundSeconds            float64 `json:"bound_seconds"`
	TimeRatio               float64 `json:"time_ratio"`
	HalfRatio               float64 `json:"half_ratio"`
	OriginCopies            float64 `json:"origin_copies"`
	ControlBytesPerVMSecond float64 `json:"control_bytes_per_vm_second"`
	// ControlBytesPerChunk is what a VM spends on all but chunk bytes for each chunk that it takes.
	ControlBytesPerChunk float64 `json:"control_bytes_per_chunk"`
	CPUSecondsPerGiB     float64 `json:"cpu_seconds_per_gib"`
	// LiveP95TTFTRatio is the first-token time (p95) of live requests in the burst against without one; 0 without --live.
	LiveP95TTFTRatio float64 `json:"live_p95_ttft_ratio"`
	LiveP95BeforeMs  float64 `json:"live_p95_before_ms"`
	LiveFailed       int     `json:"live_failed"`
	BusyShare        float64 `json:"busy_share"`
	Timeline         []point `json:"timeline"`
	WastedShare      float64 `json:"wasted_share"`
}

// point is the number of complete VMs and the origin's copies at a time.
type point struct {
	Seconds  float64 `json:"seconds"`
	Complete int     `json:"complete"`
	Copies   float64 `json:"copies"`
	// Held is the mean share of the version that VMs hold.
	Held float64 `json:"held"`
}

// bound is the shortest time that the links allow: a VM's own link, one copy through the origin's link, and all
// copies through all links.
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

// run does one burst and returns its row.
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
	// The context ends first, as a baseline's servers hang on it and not on the fleet's own.
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
	w := newWatch(p, f, v)
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
	pair.begin(loaded)
	w.untilDone(ctx)
	row := w.row()
	pair.report(row)
	row.WrongChunks = w.wrongChunks(v, content)
	return row, nil
}

// liveRevision is the revision of the rollout that serves before the burst: the log's second record.
func (p *burstPlan) liveRevision() uint64 {
	if p.Live > 0 {
		return 2
	}
	return 0
}

// previousRelease is the swarm's settings as released before: more connections, slower news.
func previousRelease() transfer.Settings {
	s := *transfer.NewSettings()
	s.Neighbours, s.Uploads, s.Downloads, s.PerPeer = 8, 4, 6, 2
	s.HaveInterval, s.BusyRetry = 100*time.Millisecond, 50*time.Millisecond
	return s
}

// watch notes when each VM is complete.
type watch struct {
	plan     *burstPlan
	fleet    *fleet.Fleet
	version  *pb.Version
	complete func(a *fleet.Agent) bool
	faults   *faults
	started  time.Time
	cpu      time.Duration
	bytes    int64
	done     map[id.VM]float64
	// before holds what each agent had moved when the burst began.
	before   map[id.VM]transfer.Counters
	timeline []point
}

func newWatch(p *burstPlan, f *fleet.Fleet, v *pb.Version) *watch {
	w := &watch{plan: p, fleet: f, version: v, started: time.Now(), cpu: cpuTime(), done: map[id.VM]float64{},
		before: map[id.VM]transfer.Counters{},
	}
	w.bytes = w.linkBytes()
	for _, a := range f.Agents {
		w.before[a.VM] = a.Manager.Counters()
	}
	return w
}

func (w *watch) linkBytes() int64 {
	var n int64
	for _, a := range w.fleet.Agents {
		n += a.Link.Bytes.Load()
	}
	return n
}

// untilDone looks until all live VMs are complete or the time is up.
func (w *watch) untilDone(ctx context.Context) {
	next := time.Duration(0)
	for ctx.Err() == nil {
		left := 0
		for _, a := range w.fleet.Agents[:w.plan.VMs] {
			if _, ok := w.done[a.VM]; ok || a.Link.Disconnected.Load() {
				continue
			}
			if w.complete(a) {
				w.done[a.VM] = time.Since(w.started).Seconds()
				continue
			}
			left++
		}
		if since := time.Since(w.started); since >= next || left == 0 {
			w.timeline = append(w.timeline, point{Seconds: since.Seconds(), Complete: len(w.done), Copies: w.copies(), Held: w.held()})
			next = since + 50*time.Millisecond
		}
		if left == 0 && w.faults.finished() {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(2 * time.Millisecond):
		}
	}
}

// held is the mean share of the version that VMs hold; baselines do not tell.
func (w *watch) held() float64 {
	var sum float64
	for _, a := range w.fleet.Agents {
		if h := a.Manager.Holding(id.Rollout("rollout-" + w.version.GetName())); h != nil {
			have, _ := h.Count()
			sum += float64(have) / float64(config.ChunkCount(w.version))
		}
	}
	return sum / float64(len(w.fleet.Agents))
}

func (w *watch) copies() float64 {
	return float64(w.fleet.Platform.Origin.BytesSent()) / float64(w.plan.SizeBytes)
}

func (w *watch) row() *burstRow {
	p := w.plan
	r := &burstRow{
		VMs: p.VMs, Domains: p.Domains, Objective: p.objectiveName(), Strategy: p.Strategy, Fault: faultName(p.Fault),
		Completed: len(w.done), BoundSeconds: p.bound(), OriginCopies: w.copies(), Timeline: w.timeline,
	}
	var times []float64
	var moved, payload, busy, wasted int64
	for _, a := range w.fleet.Agents[:p.VMs] {
		if !a.Link.Disconnected.Load() {
			r.Live++
		}
		if t, ok := w.done[a.VM]; ok {
			times = append(times, t)
		}
		c := a.Manager.Counters().Since(w.before[a.VM])
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
	elapsed := time.Since(w.started).Seconds()
	if moved > 0 {
		r.ControlBytesPerVMSecond = float64(w.linkBytes()-w.bytes-payload) / float64(p.VMs) / elapsed
		r.ControlBytesPerChunk = float64(w.linkBytes()-w.bytes-payload) / (float64(moved) / float64(p.Chunk))
		r.CPUSecondsPerGiB = (cpuTime() - w.cpu).Seconds() / (float64(moved) / (1 << 30))
		r.BusyShare = float64(busy) / (float64(busy) + float64(moved)/float64(p.Chunk))
		r.WastedShare = float64(wasted) / float64(moved)
	}
	return r
}

// wrongChunks compares what is on the shelves with the content.
func (w *watch) wrongChunks(v *pb.Version, content []byte) int {
	wrong := 0
	for _, a := range w.fleet.Agents {
		h := a.Manager.Holding(id.Rollout("rollout-" + v.GetName()))
		if h == nil {
			continue
		}
		for c := 0; c*p2i(v.GetChunkBytes()) < len(content); c++ {
			got := h.Chunk(id.Chunk(c))
			from := c * p2i(v.GetChunkBytes())
			if got != nil && !bytes.Equal(got, content[from:min(from+p2i(v.GetChunkBytes()), len(content))]) {
				wrong++
			}
		}
	}
	return wrong
}

func p2i(n uint64) int {
	return int(n)
}

// cpuTime is the processor time of this process.
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
