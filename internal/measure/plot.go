package measure

import (
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// PlotAllSeries plots each metric of all saved results with its fitted line.
func PlotAllSeries(dir string) error {
	for _, s := range AllSeries() {
		r, err := LoadResult(dir, s.Name)
		if err != nil {
			return err
		}
		for i, m := range s.Metrics {
			path := filepath.Join(dir, s.Name+"-"+strings.ReplaceAll(m.Name, " ", "-")+".svg")
			if err := plotMetric(path, s, m, r.metricPoints(i)); err != nil {
				return err
			}
		}
	}
	return nil
}

func plotMetric(path string, s Series, m Metric, points []Point) error {
	p := plot.New()
	p.Title.Text = m.Name + " by " + s.Size
	p.X.Label.Text = s.Size
	p.Y.Label.Text = m.Name + " (" + m.Unit + ")"
	p.X.Min = 0
	p.Y.Min = 0
	measured := make(plotter.XYs, len(points))
	for i, point := range points {
		measured[i].X, measured[i].Y = point.Size, point.Value
	}
	scatter, err := plotter.NewScatter(measured)
	if err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	fit := FitLine(points)
	end := max(s.Target, s.Sizes[len(s.Sizes)-1])
	line, err := plotter.NewLine(plotter.XYs{{X: 0, Y: fit.At(0)}, {X: end, Y: fit.At(end)}})
	if err != nil {
		return errors.Wrapf(err, "plot %s", path)
	}
	p.Add(plotter.NewGrid(), scatter, line)
	return errors.Wrapf(p.Save(plotWidth, plotHeight, path), "plot %s", path)
}
