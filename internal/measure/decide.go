package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
	"github.com/gravitational/trace"

	"github.com/springrail/springrail/internal/decide"
)

// decideFlags holds the flags of the command decide.
type decideFlags struct {
	scenarios []string
	variants  []string
	baseline  string
	seed      uint64
	seeds     int
	jobs      int
	plot      string
	load      float64
	gateways  int
	slowShare float64
	json      bool
}

// decideRun is the result of one scenario as printed in JSON.
type decideRun struct {
	Scenario    string              `json:"scenario"`
	Differences []decide.Difference `json:"differences"`
	Results     [][]*decide.Result  `json:"results"`
}

type decideRuns struct {
	Runs []*decideRun `json:"runs"`
}

func decideCommand(c *kingpin.CmdClause) func(ctx context.Context, w io.Writer) error {
	f := &decideFlags{}
	var names []string
	for _, w := range decide.Variants() {
		names = append(names, w.Name)
	}
	c.Flag("scenario", "File of a scenario; may be given again.").Required().StringsVar(&f.scenarios)
	c.Flag("way", "A way to decide: "+strings.Join(names, ", ")+"; may be given again. None takes all.").EnumsVar(&f.variants, names...)
	c.Flag("against", "The way that the others are held against.").Default(names[0]).EnumVar(&f.baseline, names...)
	c.Flag("seed", "First seed; each way plays the same ones.").Default("1").Uint64Var(&f.seed)
	c.Flag("seeds", "Number of seeds.").Default("20").IntVar(&f.seeds)
	c.Flag("jobs", "Plays at one time.").Default("2").IntVar(&f.jobs)
	c.Flag("plot", "File for a plot of the last scenario by second, ending in .svg.").StringVar(&f.plot)
	c.Flag("load", "Constant load factor instead of the scenario's.").Float64Var(&f.load)
	c.Flag("gateways", "Number of gateways in all failure domains together instead of the scenario's.").IntVar(&f.gateways)
	c.Flag("slow-share", "Share of the engines that are slow in turns instead of the scenario's.").Default("-1").Float64Var(&f.slowShare)
	c.Flag("json", "Print JSON.").BoolVar(&f.json)
	return f.run
}

// selectedVariants returns the variants to simulate, the baseline first.
func (f *decideFlags) selectedVariants() []*decide.Variant {
	names := f.variants
	if len(names) == 0 {
		for _, w := range decide.Variants() {
			names = append(names, w.Name)
		}
	}
	l := []*decide.Variant{decide.VariantByName(f.baseline)}
	for _, n := range names {
		if n != f.baseline {
			l = append(l, decide.VariantByName(n))
		}
	}
	return l
}

func (f *decideFlags) run(ctx context.Context, w io.Writer) error {
	var all decideRuns
	for _, file := range f.scenarios {
		s, err := decide.Load(file)
		if err != nil {
			return err
		}
		f.adjust(s)
		rows, err := decide.Run(ctx, s, f.selectedVariants(), f.seed, max(1, f.seeds), f.jobs)
		if err != nil {
			return err
		}
		r := &decideRun{Scenario: s.Name, Results: rows}
		for _, l := range rows {
			r.Differences = append(r.Differences, decide.ComparePaired(rows[0], l))
		}
		all.Runs = append(all.Runs, r)
		if !f.json {
			r.print(w)
		}
	}
	if f.plot != "" {
		if err := all.Runs[len(all.Runs)-1].plot(f.plot); err != nil {
			return err
		}
	}
	if f.json {
		return trace.Wrap(json.NewEncoder(w).Encode(all))
	}
	return nil
}

// adjust replaces the parts of a scenario that flags give.
func (f *decideFlags) adjust(s *decide.Scenario) {
	if f.load > 0 {
		s.Load = []decide.LoadStep{{Factor: f.load}}
	}
	if f.slowShare >= 0 {
		s.Engine.SlowShare = f.slowShare
	}
	for i := range s.Domains {
		if n := len(s.Domains); f.gateways > 0 {
			s.Domains[i].Gateways = max(1, (f.gateways+n-1-i)/n)
		}
	}
}

// print writes a scenario's table: each variant's worth, its difference from the baseline over the same seeds, and
// the means of the metrics behind it.
func (r *decideRun) print(out io.Writer) {
	fmt.Fprintf(out, "%s, %d seeds\n", r.Scenario, r.Differences[0].Seeds)
	t := tabwriter.NewWriter(out, 9, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tworth\tdifference\t95% within\twhole\twindows\tkind\tdomain\tin time\tlate\tlate first\trefused\tp50 ms\tp90 ms\tp95 ms\tpredicted p50\tp90\tactual p50\tp90\tpredicted\tbusiest\ton over\t")
	for i, d := range r.Differences {
		m := meanResult(r.Results[i])
		fmt.Fprintf(t, "%s\t%.3f\t%+.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.2f\t%.2f\t%d\t\n", d.Variant, d.Worth, d.Mean, d.HalfInterval,
			m.Overall, m.WorstWindows, m.WorstKind, m.WorstDomain, m.InTime, m.Late, m.LateFirst, m.Refused, m.FirstEventMs["p50"], m.FirstEventMs["p90"], m.FirstEventMs["p95"],
			m.PredictedMs["p50"], m.PredictedMs["p90"], m.ObservedMs["p50"], m.ObservedMs["p90"], m.Prediction, m.BusiestRatio, m.BegunOnExpired)
	}
	_ = t.Flush()
	fmt.Fprintln(out)
}

// meanResult returns the mean of a variant's results over all seeds; event counts are summed.
func meanResult(l []*decide.Result) *decide.Result {
	m := &decide.Result{FirstEventMs: map[string]float64{}, PredictedMs: map[string]float64{}, ObservedMs: map[string]float64{}}
	n := float64(len(l))
	for _, r := range l {
		for _, x := range []struct {
			sum *float64
			add float64
		}{
			{&m.Overall, r.Overall}, {&m.WorstWindows, r.WorstWindows}, {&m.WorstKind, r.WorstKind}, {&m.WorstDomain, r.WorstDomain}, {&m.InTime, r.InTime}, {&m.Late, r.Late},
			{&m.Refused, r.Refused}, {&m.Prediction, r.Prediction}, {&m.BusiestRatio, r.BusiestRatio}, {&m.LateFirst, r.LateFirst},
		} {
			*x.sum += x.add / n
		}
		for _, x := range []struct{ sum, add map[string]float64 }{{m.FirstEventMs, r.FirstEventMs}, {m.PredictedMs, r.PredictedMs}, {m.ObservedMs, r.ObservedMs}} {
			for k, v := range x.add {
				x.sum[k] += v / n
			}
		}
		m.BegunOnExpired += r.BegunOnExpired
		m.ShareBySecond = addMean(m.ShareBySecond, r.ShareBySecond, n)
	}
	return m
}

// addMean adds 1/n of each second's value to the sums.
func addMean(sum, l []float64, n float64) []float64 {
	for len(sum) < len(l) {
		sum = append(sum, 0)
	}
	for i, x := range l {
		sum[i] += x / n
	}
	return sum
}

// mostDifferent returns the indices of the variants that a plot shows: the baseline and those whose mean difference
// from it is largest.
func (r *decideRun) mostDifferent() []int {
	const maxShown = 5
	l := make([]int, 0, len(r.Differences))
	for i := 1; i < len(r.Differences); i++ {
		l = append(l, i)
	}
	sort.SliceStable(l, func(a, b int) bool { return math.Abs(r.Differences[l[a]].Mean) > math.Abs(r.Differences[l[b]].Mean) })
	return append([]int{0}, l[:min(maxShown, len(l))]...)
}
