package graph

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"persimmonstage/core/regret"
)

const (
	width  = 24 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// WriteSVG draws owed, bound and earned value by window.
func WriteSVG(w io.Writer, rows []regret.Row) error {
	drawing := plot.New()
	drawing.Title.Text = "Earned, and the most that could have been earned"
	drawing.X.Label.Text = "seconds from the first job"
	drawing.Y.Label.Text = "value of the jobs that arrived in the window"
	drawing.Y.Min = 0
	curves := []any{
		"owed", curve(rows, func(r *regret.Row) float64 { return r.Owed }),
		"bound", curve(rows, func(r *regret.Row) float64 { return r.Bound }),
		"earned", curve(rows, func(r *regret.Row) float64 { return r.Earned }),
	}
	if err := plotutil.AddLinePoints(drawing, curves...); err != nil {
		return err
	}
	out, err := drawing.WriterTo(width, height, "svg")
	if err != nil {
		return err
	}
	_, err = out.WriteTo(w)
	return err
}

func curve(rows []regret.Row, value func(r *regret.Row) float64) plotter.XYs {
	points := make(plotter.XYs, len(rows))
	for i := range rows {
		points[i] = plotter.XY{X: rows[i].At.Seconds(), Y: value(&rows[i])}
	}
	return points
}
