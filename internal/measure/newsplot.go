//nolint:misspell // The plotting library spells some names in American English.
package measure

import (
	"fmt"
	"image/color"

	"github.com/gravitational/trace"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

const (
	// newsPlotWidth and newsPlotHeight fit an A4 page in landscape.
	newsPlotWidth  = 26 * vg.Centimeter
	newsPlotHeight = 14 * vg.Centimeter
	// newsPlotLostLabel is the legend entry of changes that some process never applied.
	newsPlotLostLabel = "never known by some process"
)

// plot draws each change's propagation delay to the last process over the time at which the store took it. The file
// extension selects the format.
func (w *newsRow) plot(file string, p *newsPlan) error {
	g := plot.New()
	g.Title.Text = fmt.Sprintf("News: %d gateways, %d stagers, %d domains, fault %s, seed %d", w.Gateways, w.Stagers, w.Domains, w.Fault, w.Seed)
	g.X.Label.Text = "second of the run at which the store took the change"
	g.Y.Label.Text = "seconds until the last process in touch knew it"
	g.Legend.Top = true
	g.Y.Min = 0
	top := max(newsLateAfter.Seconds(), w.All.P100)
	if p.hasAnyFault() {
		if err := newsShade(g, p, top); err != nil {
			return err
		}
	}
	for i, name := range []string{newsPresent.String(), newsLeaving.String(), newsDropped.String(), newsConfig.String(), newsPlotLostLabel} {
		var l plotter.XYs
		for _, c := range w.Points {
			switch {
			case c.Never && name == newsPlotLostLabel:
				l = append(l, plotter.XY{X: c.At, Y: top})
			case !c.Never && c.Change == name:
				l = append(l, plotter.XY{X: c.At, Y: c.Seconds})
			}
		}
		if len(l) == 0 {
			continue
		}
		s, err := plotter.NewScatter(l)
		if err != nil {
			return trace.Wrap(err)
		}
		s.Color, s.Shape, s.Radius = plotutil.Color(i), plotutil.Shape(i), vg.Points(2.5)
		if name == newsPlotLostLabel {
			s.Color, s.Shape, s.Radius = color.RGBA{R: 0xd0, A: 0xff}, draw.CrossGlyph{}, vg.Points(5)
		}
		g.Add(s)
		g.Legend.Add(name, s)
	}
	return trace.Wrap(g.Save(newsPlotWidth, newsPlotHeight, file))
}

// newsShade shades the time of the faults.
func newsShade(g *plot.Plot, p *newsPlan, top float64) error {
	from, to := p.faultStart().Seconds(), p.faultEnd().Seconds()
	s, err := plotter.NewPolygon(plotter.XYs{{X: from}, {X: to}, {X: to, Y: top}, {X: from, Y: top}})
	if err != nil {
		return trace.Wrap(err)
	}
	s.Color = color.Gray{Y: 0xec}
	s.Width = 0
	g.Add(s)
	g.Legend.Add("time of the fault", s)
	return nil
}
