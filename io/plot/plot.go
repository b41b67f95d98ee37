package plot

import (
	"io"
	"math"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"persimmonstage/core/score"
)

const (
	width  = 22 * vg.Centimeter
	height = 13 * vg.Centimeter
	// pointsPerNine is the number of points from 90 to 99%, from 99 to 99.9%, and so on.
	pointsPerNine = 20
	nines         = 3
)

// Plot holds the curves to draw; the zero value is an empty plot.
type Plot struct {
	names  []string
	curves []plotter.XYs
}

// Add adds the curve of a row, with name in the legend; a row without complete jobs is left out.
func (p *Plot) Add(name string, r *score.Row) {
	if r.Outcomes[score.Complete] == 0 {
		return
	}
	xs, qs := percentiles()
	ys := r.Curve(qs)
	curve := make(plotter.XYs, len(xs))
	for i := range xs {
		curve[i] = plotter.XY{X: xs[i], Y: max(ys[i], 1)}
	}
	p.names = append(p.names, name)
	p.curves = append(p.curves, curve)
}

// percentiles returns the points of a curve: xs as numbers of nines (1 is 90%, 2 is 99%), qs as percentiles.
func percentiles() (xs, qs []float64) {
	for i := range pointsPerNine*nines + 1 {
		x := float64(i) / pointsPerNine
		xs = append(xs, x)
		qs = append(qs, 100*(1-math.Pow(10, -x)))
	}
	return xs, qs
}

// WriteSVG draws the curves; there must be at least one.
func (p *Plot) WriteSVG(w io.Writer) error {
	drawing := plot.New()
	drawing.Title.Text = "Response over ideal"
	drawing.X.Label.Text = "percentile"
	drawing.Y.Label.Text = "response / ideal"
	drawing.Y.Scale, drawing.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	drawing.X.Tick.Marker = plot.TickerFunc(func(_, _ float64) []plot.Tick { return ticks() })
	drawing.Add(plotter.NewGrid())
	drawing.Y.Min = 1
	drawing.Legend.Top, drawing.Legend.Left = true, true
	for i, curve := range p.curves {
		line, err := plotter.NewLine(curve)
		if err != nil {
			return err
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		drawing.Add(line)
		drawing.Legend.Add(p.names[i], line)
	}
	drawing.Y.Max = max(drawing.Y.Max, 2)
	out, err := drawing.WriterTo(width, height, "svg")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func ticks() []plot.Tick {
	out := []plot.Tick{{Value: 0, Label: "0"}, {Value: math.Log10(2), Label: "50"}}
	for n := 1; n <= nines; n++ {
		out = append(out, plot.Tick{Value: float64(n), Label: strconv.FormatFloat(100*(1-math.Pow(10, -float64(n))), 'g', 4, 64)})
	}
	return out
}
