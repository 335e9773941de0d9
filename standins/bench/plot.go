package bench

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
	barWidth   = 24 // points
)

// Plot writes a bar chart for each result name to bench-NAME.svg in the directory.
func Plot(directory string, results []Result) error {
	byName := make(map[string][]Result)
	for _, r := range results {
		byName[r.Name] = append(byName[r.Name], r)
	}
	for name, group := range byName {
		if err := draw(filepath.Join(directory, "bench-"+name+".svg"), name, group); err != nil {
			return fmt.Errorf("plot %s: %w", name, err)
		}
	}
	return nil
}

func draw(path, name string, group []Result) error {
	p := plot.New()
	p.Title.Text = name
	// The unit is that of the first result, as a chart has one axis for all.
	p.Y.Label.Text = group[0].Unit
	p.Y.Min = 0
	var values plotter.Values
	var labels []string
	for _, r := range group {
		values = append(values, r.Value)
		labels = append(labels, r.Variant)
	}
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return err
	}
	p.Add(bars)
	p.NominalX(labels...)
	return p.Save(plotWidth, plotHeight, path)
}
