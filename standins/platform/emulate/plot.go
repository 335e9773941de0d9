package emulate

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the number of requests per second by verdict and saves it to path,
// in the format of its extension.
func (r Result) Plot(path string) error {
	p := plot.New()
	p.Title.Text = r.Scenario
	p.X.Label.Text = "second in which the request was sent"
	p.Y.Label.Text = "requests"
	p.Y.Min = 0
	line := func(count func(VerdictCounts) int) plotter.XYs {
		points := make(plotter.XYs, len(r.PerSecond))
		for i, g := range r.PerSecond {
			points[i] = plotter.XY{X: float64(i), Y: float64(count(g))}
		}
		return points
	}
	err := plotutil.AddLinePoints(p,
		"on time", line(func(g VerdictCounts) int { return g.OnTime }),
		"late", line(func(g VerdictCounts) int { return g.Late }),
		"refused", line(func(g VerdictCounts) int { return g.Refused }),
		"failed", line(func(g VerdictCounts) int { return g.Failed }),
	)
	if err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
