//nolint:misspell // The plotting library spells some names in American English.
package measure

import (
	"fmt"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// plot draws the share of the attainable worth that requests earned, by the second of their arrival, for the baseline
// and the variants that differ most from it.
func (r *decideRun) plot(file string) error {
	g := plot.New()
	g.Title.Text = fmt.Sprintf("%s: mean of %d seeds", r.Scenario, r.Differences[0].Seeds)
	g.X.Label.Text = "second in which requests came"
	g.Y.Label.Text = "earned over owed"
	g.Y.Min, g.Y.Max = 0, 1
	for n, i := range r.mostDifferent() {
		var l plotter.XYs
		for at, y := range meanResult(r.Results[i]).ShareBySecond {
			l = append(l, plotter.XY{X: float64(at), Y: y})
		}
		c, err := plotter.NewLine(l)
		if err != nil {
			return trace.Wrap(err)
		}
		c.Color, c.Dashes = plotutil.Color(n), plotutil.Dashes(n)
		g.Add(c)
		g.Legend.Add(r.Differences[i].Variant, c)
	}
	return trace.Wrap(g.Save(newsPlotWidth, newsPlotHeight, file))
}
