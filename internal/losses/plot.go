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
	// plotWidth and plotHeight fit a landscape A4 page.
	plotWidth  = 26 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
	// maxPlotCauses is the maximum number of causes drawn separately, including in-time answers. The others are drawn as
	// one sum.
	maxPlotCauses = 7
	// otherCauses is the legend entry of the sum of the remaining causes.
	otherCauses = "other causes"
)

// Plot draws the number of requests per span and cause as stacked bars. The file name's extension selects the format.
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
	for i, cause := range a.plottedCauses() {
		b, err := plotter.NewBarChart(a.countsBySpan(cause), width)
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

// plottedCauses returns the legend entries in drawing order: in-time answers, the most frequent causes, and otherCauses
// if any causes remain.
func (a *Summary) plottedCauses() []string {
	l := []string{causeInTime}
	for _, c := range a.Causes {
		if c != causeInTime && len(l) < maxPlotCauses {
			l = append(l, c)
		}
	}
	if len(a.Causes) > len(l) {
		l = append(l, otherCauses)
	}
	return l
}

// countsBySpan returns the number of requests with a cause in each span.
func (a *Summary) countsBySpan(cause string) plotter.Values {
	drawn := map[string]bool{}
	for _, c := range a.plottedCauses() {
		drawn[c] = true
	}
	v := make(plotter.Values, len(a.Spans))
	for i := range a.Spans {
		for c, n := range a.Spans[i].Causes {
			if c == cause || (cause == otherCauses && !drawn[c]) {
				v[i] += float64(n)
			}
		}
	}
	return v
}

// ticks returns about ten evenly spaced axis marks, labelled with the spans' start times.
func (a *Summary) ticks(_, _ float64) []plot.Tick {
	const marks = 10
	step := max(1, len(a.Spans)/marks)
	var l []plot.Tick
	for i := 0; i < len(a.Spans); i += step {
		l = append(l, plot.Tick{Value: float64(i), Label: a.Spans[i].Name})
	}
	return l
}

// barColour returns grey for requests answered in time, which are the first bar, and a distinct colour for each other cause.
func barColour(i int) color.Color {
	if i == 0 {
		return color.Gray{Y: 0xd0}
	}
	return plotutil.Color(i - 1)
}
