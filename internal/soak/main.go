// Package soak runs gateways and stagers as processes over loopback, injects faults that are drawn from a seed, and
// checks what callers and upstreams observe. It simulates the platform's store, the upstreams, the origin of weights and
// the callers.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// The exit codes.
const (
	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// Result is the outcome of one seed.
type Result struct {
	Seed       uint64         `json:"seed"`
	Cause      string         `json:"cause,omitempty"`
	Violations []*Violation   `json:"violations"`
	Counts     map[string]int `json:"counts"`
	Problem    string         `json:"problem,omitempty"`
}

// flags holds the command line.
type flags struct {
	Settings
	seeds     int
	json      bool
	keepDir   string
	cases     bool
	faultList string
	// knownRed are the checks that are known to fail.
	knownRed []string
}

// Main runs the command line and returns the exit code.
func Main(args []string, out, problems io.Writer) int {
	a := kingpin.New("springrail-soak", "Runs gateways and stagers over loopback under faults drawn by seed.")
	a.HelpFlag.Short('h')
	a.UsageWriter(out)
	a.ErrorWriter(problems)
	f := &flags{}
	a.Flag("seed", "First seed of all choices.").Default("1").Uint64Var(&f.Seed)
	a.Flag("seeds", "Number of seeds, one after the other.").Default("1").IntVar(&f.seeds)
	a.Flag("seconds", "Length of each run, without its start.").Default("45").IntVar(&f.Seconds)
	a.Flag("gateways", "Number of gateways.").Default("4").IntVar(&f.Gateways)
	a.Flag("stagers", "Number of stagers, each with a model engine.").Default("6").IntVar(&f.Stagers)
	a.Flag("domains", "Number of failure domains.").Default("2").IntVar(&f.Domains)
	a.Flag("engines", "Share of departures that are of engines.").Default("0.15").Float64Var(&f.EngineShare)
	a.Flag("faults", "What may be drawn, split by commas; all without: "+strings.Join(faultChoices(), ", ")+".").StringVar(&f.faultList)
	a.Flag("bin", "Folder with springrail-gateway and springrail-stager.").Default("bin").StringVar(&f.BinDir)
	a.Flag("keep-logs", "Folder that keeps the processes' logs, one folder for each seed.").StringVar(&f.keepDir)
	a.Flag("cases", "Run the kept cases instead of --seed and --seeds.").BoolVar(&f.cases)
	a.Flag("known-red", "Check that is known to fail: what it finds is printed, and does not fail the run; may be given again.").
		StringsVar(&f.knownRed)
	a.Flag("json", "Print JSON.").BoolVar(&f.json)
	stopped := false
	a.Terminate(func(int) { stopped = true })
	_, err := a.Parse(args)
	if stopped {
		return exitDone
	}
	if err == nil {
		err = f.validate()
	}
	if err != nil {
		fmt.Fprintf(problems, "springrail-soak: %v; see springrail-soak --help\n", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return f.runAll(ctx, out, problems)
}

// faultChoices returns the sorted names of everything that can be drawn.
func faultChoices() []string {
	l := append(append(slices.Clone(faultNames), actNames...), doCrasher, doLimit, doPauseUpstream, doRetryAfter, doStoreRestore, doOriginOutage, doStopSeries, doAnswersLost, doHerdKill, doCorruptInSwap, doHurtAfterHold, doLongHeld, doManySenders, doSilentCrash, doSilentLoss, doSignals)
	l = append(l, reservationFaults...)
	slices.Sort(l)
	return slices.Compact(l)
}

func (f *flags) validate() error {
	if f.faultList != "" {
		f.Faults = strings.Split(f.faultList, ",")
	}
	for _, n := range f.Faults {
		if !slices.Contains(faultChoices(), n) {
			return trace.BadParameter("unknown fault %q", n)
		}
	}
	length := time.Duration(f.Seconds) * time.Second
	if f.Gateways < 1 || f.Stagers < 1 || f.Domains < 1 || f.Gateways < f.Domains || length < 2*quietTail || f.seeds < 1 {
		return trace.BadParameter("need at least one gateway per domain, one domain, one stager, one seed and a run of %v", 2*quietTail)
	}
	return nil
}

// runAll runs all seeds or cases and returns the exit code.
func (f *flags) runAll(ctx context.Context, out, problems io.Writer) int {
	code := exitDone
	var all []*Result
	for _, c := range f.plannedRuns() {
		if ctx.Err() != nil {
			break
		}
		r := f.runOne(ctx, &c.Settings)
		r.Cause = c.Cause
		all = append(all, r)
		if r.failed(f.knownRed) {
			code = exitFailed
		}
		if !f.json {
			r.print(out)
		}
	}
	if f.json {
		e := json.NewEncoder(out)
		if err := e.Encode(map[string]any{"runs": all}); err != nil {
			fmt.Fprintf(problems, "springrail-soak: %v\n", err)
			return exitFailed
		}
	}
	return code
}

// failed reports whether a run has found a violation of a check that is not known to fail, or did not complete.
func (r *Result) failed(red []string) bool {
	return r.Problem != "" || slices.ContainsFunc(r.Violations, func(v *Violation) bool { return !slices.Contains(red, v.Check) })
}

// plannedRuns returns the seeds or kept cases to run.
func (f *flags) plannedRuns() []Case {
	if f.cases {
		l := slices.Clone(cases)
		for i := range l {
			l[i].BinDir = f.BinDir
		}
		return l
	}
	l := make([]Case, f.seeds)
	for n := range l {
		l[n].Settings = f.Settings
		l[n].Seed += uint64(n)
	}
	return l
}

// runOne runs one seed with a separate log folder.
func (f *flags) runOne(ctx context.Context, s *Settings) *Result {
	r := &Result{Seed: s.Seed}
	dir, err := os.MkdirTemp("", "springrail-soak")
	if err == nil && f.keepDir != "" {
		_ = os.Remove(dir)
		dir = filepath.Join(f.keepDir, fmt.Sprint("seed-", s.Seed))
		err = os.MkdirAll(dir, 0o750)
	}
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	if f.keepDir == "" {
		defer os.RemoveAll(dir)
	}
	s.LogDir = dir
	b, err := Run(ctx, s)
	if err != nil {
		r.Problem = err.Error()
	}
	r.Counts, r.Violations = b.Counts(), b.Violations()
	for _, v := range r.Violations {
		v.Around = append(v.Around, logLines(dir, v, b.start)...)
	}
	return r
}

// Run runs one seed and returns its history.
func Run(ctx context.Context, s *Settings) (*History, error) {
	b := NewHistory(s.Seed, time.Now)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	w, err := newFleet(ctx, s, b)
	if w != nil {
		defer w.close()
	}
	if err != nil {
		return b, err
	}
	return b, w.run(ctx)
}

// print writes a result as text.
func (r *Result) print(out io.Writer) {
	fmt.Fprintf(out, "seed %d: %d violations", r.Seed, len(r.Violations))
	if r.Cause != "" {
		fmt.Fprintf(out, " (a kept case: %s)", r.Cause)
	}
	if r.Problem != "" {
		fmt.Fprintf(out, "; not run to its end: %s", r.Problem)
	}
	fmt.Fprintln(out)
	for _, k := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(out, "  %6d %s\n", r.Counts[k], k)
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "VIOLATION seed %d, %.3f s, %s (%d times): %s %s: %s\n", v.Seed, float64(v.AtMs)/1000, v.Check, v.Times,
			v.Process, v.Request, v.Text)
		for _, l := range v.Around {
			fmt.Fprintf(out, "    %s\n", l)
		}
	}
}
