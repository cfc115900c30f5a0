package measure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"
)

// errChangesLost means that some change never reached some process.
var errChangesLost = errors.New("some changes never reached every process")

// errStatesDiffer means that a process's final state differs from the store's.
var errStatesDiffer = errors.New("the final state of some processes differs from the store's")

type newsRuns struct {
	Runs []*newsRow `json:"runs"`
}

// newsFlags holds the flags of the command news.
type newsFlags struct {
	plan    newsPlan
	seconds float64
	repeat  int
	plot    string
	json    bool
}

func newsCommand(c *kingpin.CmdClause) func(ctx context.Context, w io.Writer) error {
	f := &newsFlags{}
	p := &f.plan
	c.Flag("gateways", "Number of gateways.").Default("6").IntVar(&p.gateways)
	c.Flag("stagers", "Number of stagers.").Default("30").IntVar(&p.stagers)
	c.Flag("domains", "Number of failure domains.").Default("2").IntVar(&p.domains)
	c.Flag("regions", "Number of regions; the store is in the first, and domains lie in them by turns.").Default("2").IntVar(&p.regions)
	c.Flag("changes", "Changes of the list of upstreams a second.").Default("6").Float64Var(&p.changesPerSecond)
	c.Flag("upstreams", "Number of upstreams in the list.").Default("64").IntVar(&p.upstreams)
	c.Flag("heartbeat", "Time between an upstream's heartbeats, which are records too; 0s is none.").Default("1s").DurationVar(&p.heartbeat)
	c.Flag("config-bytes", "Size of the configuration.").Default("600000").IntVar(&p.configBytes)
	c.Flag("config-every", "Time between changes of the configuration; 0s is none.").Default("5s").DurationVar(&p.configEvery)
	c.Flag("region-mbps", "Speed of the link from a region to another one, each way, in Mbit/s.").Default("24").Float64Var(&p.regionMbps)
	c.Flag("region-delay", "Delay between regions, one way.").Default("10ms").DurationVar(&p.regionDelay)
	c.Flag("process-mbps", "Speed of a process's link, each way, in Mbit/s.").Default("400").Float64Var(&p.processMbps)
	c.Flag("seed", "Seed of all choices.").Default("1").Uint64Var(&p.seed)
	c.Flag("seconds", "How long changes are made; faults begin after a quarter.").Default("24").Float64Var(&f.seconds)
	c.Flag("fault", "A fault; may be given again for several at once.").Default(newsFaultNone).EnumsVar(&p.faults, newsFaultNames...)
	c.Flag("repeat", "Number of runs, each with the next seed.").Default("1").IntVar(&f.repeat)
	c.Flag("plot", "File for a plot of the last run.").StringVar(&f.plot)
	c.Flag("json", "Print JSON.").BoolVar(&f.json)
	return f.run
}

func (f *newsFlags) run(ctx context.Context, w io.Writer) error {
	f.plan.duration = time.Duration(f.seconds * float64(time.Second))
	if err := f.plan.validate(); err != nil {
		return err
	}
	var rows []*newsRow
	never, different := 0, 0
	for i := range f.repeat {
		p := f.plan
		p.seed += uint64(i)
		r := newNewsRun(ctx, &p)
		row, err := r.run(ctx)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		never, different = never+row.All.Never, different+len(row.Differences)
		if !f.json {
			row.print(w)
		}
		if f.plot != "" && i == f.repeat-1 {
			if err := row.plot(f.plot, &p); err != nil {
				return err
			}
		}
	}
	if f.json {
		if err := json.NewEncoder(w).Encode(newsRuns{Runs: rows}); err != nil {
			return trace.Wrap(err)
		}
	}
	switch {
	case never > 0:
		return trace.Wrap(errChangesLost)
	case different > 0:
		return trace.Wrap(errStatesDiffer)
	}
	return nil
}

// newsMaxPrintedProblems limits how many lost changes and how many differences are printed; JSON has all.
const newsMaxPrintedProblems = 12

// print writes the row as tables.
func (w *newsRow) print(out io.Writer) {
	t := tabwriter.NewWriter(out, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "gateways\tstagers\tdomains\tregions\tfault\tseed\tchanges\tnever known\tpassed over\tlate\tp50 s\tp95 s\tp99 s\tp100 s\tdifferent\tended\tCPU\ttimers late s\t")
	a := &w.All
	fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%.2f\t%.3f\t\n", w.Gateways, w.Stagers, w.Domains,
		w.Regions, w.Fault, w.Seed, a.Changes, a.Never, a.PassedOver, a.Late, a.P50, a.P95, a.P99, a.P100, len(w.Differences), w.ProcessesEnded, w.CPUShare, w.TimersLateMax)
	_ = t.Flush()
	w.printDelays(out)
	t = tabwriter.NewWriter(out, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "role\tprocesses\tstore calls/s\tstore B/s\tquestions/s\thanded on B/s\tgot B/s\t")
	for _, r := range w.Roles {
		fmt.Fprintf(t, "%s\t%d\t%.1f\t%.0f\t%.1f\t%.0f\t%.0f\t\n", r.Role, r.Processes, r.StoreCallsPerSecond, r.StoreBytesPerSecond, r.QuestionsPerSecond, r.SentBytesPerSecond, r.ReceivedBytesPerSecond)
	}
	_ = t.Flush()
	w.printProblems(out)
	fmt.Fprintln(out)
}

// printDelays writes the propagation delays by kind of change, by how processes learnt of it, and as a histogram.
func (w *newsRow) printDelays(out io.Writer) {
	t := tabwriter.NewWriter(out, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "change\tnumber\tnever known\tpassed over\tlate\tp50 s\tp95 s\tp99 s\tp100 s\t")
	for _, k := range w.Kinds {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t\n", k.Name, k.Changes, k.Never, k.PassedOver, k.Late, k.P50, k.P95, k.P99, k.P100)
	}
	_ = t.Flush()
	t = tabwriter.NewWriter(out, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "learnt by\ttimes\tlast for\tp50 s\tp100 s\t")
	for _, k := range w.Ways {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.3f\t%.3f\t\n", k.Way, k.Learnt, k.LastLearnt, k.P50, k.P100)
	}
	_ = t.Flush()
	const width = 50
	for _, b := range w.Histogram {
		bar := strings.Repeat("#", (b.Changes*width+w.All.Changes-1)/max(1, w.All.Changes))
		fmt.Fprintf(out, "%7.3f to %7.3f s %6d %s\n", b.From, b.To, b.Changes, bar)
	}
}

// printProblems lists the changes that some process never applied, and the final differences from the store.
func (w *newsRow) printProblems(out io.Writer) {
	for i, n := range w.Never {
		if i == newsMaxPrintedProblems {
			fmt.Fprintf(out, "... %d more\n", len(w.Never)-i)
			break
		}
		fmt.Fprintf(out, "never known: %s %s, taken at %.2f s, by %d processes, of which %d know later ones: %s\n", n.Key, n.Change, n.AtSeconds,
			len(n.Processes), len(n.PassedOver), newsAbbreviate(n.Processes))
	}
	for i, d := range w.Differences {
		if i == newsMaxPrintedProblems {
			fmt.Fprintf(out, "... %d more\n", len(w.Differences)-i)
			break
		}
		fmt.Fprintf(out, "different at the end: %s has %s as %s, the store %s\n", d.Process, d.Key, d.Holds, d.Store)
	}
}

// newsAbbreviate joins the first names of a list of processes.
func newsAbbreviate(l []string) string {
	const maxNames = 4
	if len(l) <= maxNames {
		return strings.Join(l, " ")
	}
	return strings.Join(l[:maxNames], " ") + " ..."
}
