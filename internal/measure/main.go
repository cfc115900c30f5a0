// Package measure implements the command springrail-measure: experiments with real components over loopback
// connections of limited bandwidth.
package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/pprof"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/alecthomas/units"

	pb "github.com/springrail/springrail/gen/springrail/v1"
	"github.com/springrail/springrail/internal/fleet"
	"github.com/springrail/springrail/internal/standin"
	"github.com/springrail/springrail/internal/transfer"
)

// Main runs the command line of springrail-measure and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	a := kingpin.New("springrail-measure", "Runs experiments on real parts over loopback with shaped links.")
	a.HelpFlag.Short('h')
	a.UsageWriter(stdout)
	a.ErrorWriter(stderr)
	profile := a.Flag("cpu-profile", "File for a processor profile.").String()
	actions := map[string]func(ctx context.Context, w io.Writer) error{
		"config": configCommand(a.Command("config", "Time until a change is in force, its cost, and recovery.")),
		"burst":  burstCommand(a.Command("burst", "Time until a version is on N VMs, and the origin's bytes.")),
		"news":   newsCommand(a.Command("news", "Time until all processes know a change of the list or the configuration.")),
		"decide": decideCommand(a.Command("decide", "Ways to decide where requests go, held against each other on a model in virtual time.")),
	}
	stopped := false
	a.Terminate(func(int) { stopped = true })
	name, err := a.Parse(args)
	if stopped {
		return 0
	}
	if err != nil {
		fmt.Fprintf(stderr, "springrail-measure: %v; see springrail-measure --help\n", err)
		return 2
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if *profile != "" {
		f, err := os.Create(*profile)
		if err != nil {
			fmt.Fprintf(stderr, "springrail-measure: %v\n", err)
			return 1
		}
		defer f.Close()
		if err := pprof.StartCPUProfile(f); err != nil {
			fmt.Fprintf(stderr, "springrail-measure: %v\n", err)
			return 1
		}
		defer pprof.StopCPUProfile()
	}
	if err := actions[name](ctx, stdout); err != nil {
		fmt.Fprintf(stderr, "springrail-measure: %v\n", err)
		return 1
	}
	return 0
}

// burstRuns is the JSON output of the command burst.
type burstRuns struct {
	Runs []*burstRow `json:"runs"`
}

// burstFlags holds the flags of the command burst.
type burstFlags struct {
	vms         []int
	domains     int
	strategies  []string
	objectives  []string
	size        units.Base2Bytes
	chunk       units.Base2Bytes
	link        units.Base2Bytes
	originLinks float64
	halfDuplex  bool
	fault       []string
	seed        uint64
	repeat      int
	live        int
	pace        float64
	json        bool
	swarm       *transfer.Settings
}

func burstCommand(c *kingpin.CmdClause) func(ctx context.Context, w io.Writer) error {
	f := &burstFlags{swarm: transfer.NewSettings()}
	c.Flag("vms", "Number of VMs; may be given again.").Default("32").IntsVar(&f.vms)
	c.Flag("domains", "Number of failure domains.").Default("2").IntVar(&f.domains)
	c.Flag("strategy", "swarm, origin, chain, tree or previous; may be given again. None takes all.").
		EnumsVar(&f.strategies, strategySwarm, strategyOrigin, strategyChain, strategyTree, strategyPrevious)
	c.Flag("objective", "time or origin-bytes; may be given again.").Default(objectiveTime).
		EnumsVar(&f.objectives, objectiveTime, objectiveBytes)
	c.Flag("size", "Size of the version.").Default("16MiB").BytesVar(&f.size)
	c.Flag("chunk", "Size of a chunk.").Default("128KiB").BytesVar(&f.chunk)
	c.Flag("link", "Speed of a VM's link a second.").Default("4MiB").BytesVar(&f.link)
	c.Flag("origin-links", "Speed of the origin's link in VM links.").Default("2").Float64Var(&f.originLinks)
	c.Flag("half-duplex", "One bucket for both directions of a VM's link.").BoolVar(&f.halfDuplex)
	c.Flag("fault", "A fault; may be given again for two at once.").EnumsVar(&f.fault, faultNames...)
	c.Flag("seed", "Seed of all choices.").Default("1").Uint64Var(&f.seed)
	c.Flag("repeat", "Runs of each row.").Default("1").IntVar(&f.repeat)
	c.Flag("live", "Live requests a second while the burst runs (swarm only).").IntVar(&f.live)
	c.Flag("pace", "Share of the VM's link that uploads are paced to; 0 does not pace.").FloatVar(&f.pace)
	c.Flag("json", "Print JSON.").BoolVar(&f.json)
	s := f.swarm
	c.Flag("neighbours", "Neighbours in the own domain.").Default(strconv.Itoa(s.Neighbours)).IntVar(&s.Neighbours)
	c.Flag("uploads", "Uploads at one time.").Default(strconv.Itoa(s.Uploads)).IntVar(&s.Uploads)
	c.Flag("downloads", "Downloads at one time.").Default(strconv.Itoa(s.Downloads)).IntVar(&s.Downloads)
	c.Flag("per-peer", "Downloads at one time from one neighbour.").Default(strconv.Itoa(s.PerPeer)).IntVar(&s.PerPeer)
	c.Flag("have-every", "Shortest time between questions to a neighbour.").Default(s.HaveInterval.String()).DurationVar(&s.HaveInterval)
	c.Flag("busy-retry", "Wait after a busy neighbour.").Default(s.BusyRetry.String()).DurationVar(&s.BusyRetry)
	c.Flag("patience", "How long a lane may stand still.").Default(s.TakeoverDelay.String()).DurationVar(&s.TakeoverDelay)
	return f.run
}

// plans returns the bursts for all combinations of the flags, each repeated as --repeat says.
func (f *burstFlags) plans() []*burstPlan {
	strategies := f.strategies
	if len(strategies) == 0 {
		strategies = []string{strategySwarm, strategyOrigin, strategyChain, strategyTree, strategyPrevious}
	}
	var l []*burstPlan
	for _, n := range f.vms {
		for _, o := range f.objectives {
			for _, s := range strategies {
				for i := range f.repeat {
					l = append(l, f.plan(n, o, s, uint64(i)))
				}
			}
		}
	}
	return l
}

// originSizeDivisor reduces the version's size for the strategy origin: its ratio to its bound does not depend on the
// size, and the full size would take half an hour.
const originSizeDivisor = 8

func (f *burstFlags) plan(vms int, objective, strategy string, i uint64) *burstPlan {
	p := &burstPlan{
		Options: fleet.Options{
			VMs: vms, Domains: f.domains, LinkBytesPerSecond: float64(f.link), OriginLinks: f.originLinks,
			HalfDuplex: f.halfDuplex, Seed: f.seed + i, Swarm: f.swarm,
		},
		Strategy: strategy, Objective: pb.Objective_OBJECTIVE_TIME, SizeBytes: int(f.size), Chunk: int(f.chunk),
		Fault: f.fault, Timeout: burstTimeout, Live: f.live,
	}
	p.Serving, p.Engine = f.live > 0, standin.DefaultEngine()
	paced := *f.swarm
	paced.UplinkBytesPerSecond = int(f.pace * float64(f.link))
	p.Swarm = &paced
	if objective == objectiveBytes {
		p.Objective = pb.Objective_OBJECTIVE_ORIGIN_BYTES
	}
	if strategy == strategyOrigin {
		p.SizeBytes /= originSizeDivisor
	}
	return p
}

// burstTimeout limits the duration of one burst.
const burstTimeout = 3 * time.Minute

// The objectives of a rollout, as values of the flag.
const (
	objectiveTime  = "time"
	objectiveBytes = "origin-bytes"
)

func (f *burstFlags) run(ctx context.Context, w io.Writer) error {
	var rows []*burstRow
	for _, p := range f.plans() {
		r, err := p.run(ctx)
		if err != nil {
			return err
		}
		rows = append(rows, r)
		if !f.json {
			printRow(w, r, len(rows) == 1)
		}
	}
	if f.json {
		return json.NewEncoder(w).Encode(burstRuns{Runs: rows})
	}
	return nil
}

func printRow(w io.Writer, r *burstRow, head bool) {
	t := tabwriter.NewWriter(w, 9, 0, 1, ' ', tabwriter.AlignRight)
	if head {
		fmt.Fprintln(t, "vms\tobjective\tstrategy\tfault\tdone\tfirst s\thalf s\tall s\tbound s\thalf/bound\tall/bound\tcopies\tctl B/s\tctl B/chunk\tCPU s/GiB\tbusy\twaste\twrong\tTTFT ms\tin burst\t")
	}
	fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d/%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.2f\t%.2f\t%.3f\t%d\t%.1f\t%.2f\t\n",
		r.VMs, r.Objective, r.Strategy, r.Fault, r.Completed, r.Live, r.SecondsFirst, r.SecondsHalf, r.SecondsAll,
		r.BoundSeconds, r.HalfRatio, r.TimeRatio, r.OriginCopies, r.ControlBytesPerVMSecond, r.ControlBytesPerChunk, r.CPUSecondsPerGiB,
		r.BusyShare, r.WastedShare, r.WrongChunks, r.LiveP95BeforeMs, r.LiveP95TTFTRatio)
	_ = t.Flush()
}
