//nolint:misspell // The plotting library spells some names in American English.
package losses

import (
	"image/color"
	"time"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	// plotWidth and plotHeight fit a page of A4 on its side.
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// plotCauses is the number of causes with a colour of their own, in-time answers included; the rest are summed up.
	plotCauses = 7
	// plotRest names that sum.
	plotRest = "other causes"
)

// Plot draws what became of the requests of each span as stacked bars. The ending of the file's name says its form.
func (a *Summary) Plot(file string) error {
	if a.All.Requests == 0 {
		return trace.BadParameter("there is no request to draw")
	}
	p := plot.New()
	p.Title.Text = "Requests by what became of them"
	p.X.Label.Text = "seconds since " + a.Start.UTC().Format(time.RFC3339)
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	width := plotWidth / vg.Length(len(a.Spans)+1)
	var below *plotter.BarChart
	for i, cause := range a.plotted() {
		b, err := plotter.NewBarChart(a.heights(cause), width)
		if err != nil {
			return trace.Wrap(err)
		}
		b.Color = barColour(i)
		b.LineStyle.Width = 0
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(cause, b)
	}
	p.X.Tick.Marker = plot.TickerFunc(a.ticks)
	return trace.Wrap(p.Save(plotWidth, plotHeight, file))
}

// plotted lists the causes that have a colour, in-time answers first.
func (a *Summary) plotted() []string {
	l := []string{causeInTime}
	for _, c := range a.Causes {
		if c != causeInTime && len(l) < plotCauses {
			l = append(l, c)
		}
	}
	if len(a.Causes) > len(l) {
		l = append(l, plotRest)
	}
	return l
}

// heights are the counts of a cause by span.
func (a *Summary) heights(cause string) plotter.Values {
	drawn := map[string]bool{}
	for _, c := range a.plotted() {
		drawn[c] = true
	}
	v := make(plotter.Values, len(a.Spans))
	for i := range a.Spans {
		for c, n := range a.Spans[i].Causes {
			if c == cause || (cause == plotRest && !drawn[c]) {
				v[i] += float64(n)
			}
		}
	}
	return v
}

// ticks marks about every tenth part of the time, in seconds.
func (a *Summary) ticks(_, _ float64) []plot.Tick {
	const marks = 10
	step := max(1, len(a.Spans)/marks)
	var l []plot.Tick
	for i := 0; i < len(a.Spans); i += step {
		l = append(l, plot.Tick{Value: float64(i), Label: a.Spans[i].Name})
	}
	return l
}

// barColour is grey for what needs no look and a colour for each loss.
func barColour(i int) color.Color {
	if i == 0 {
		return color.Gray{Y: 0xd0}
	}
	return plotutil.Color(i - 1)
}
