package measure

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Series measures a cell at several values of one size, such as the number of
// workers.
type Series struct {
	Name    string
	Size    string // what Sizes count
	Sizes   []float64
	Target  float64 // target size of docs/design.md 1.6
	Metrics []Metric
	// run measures one size and returns the values of Metrics in their order.
	run func(ctx context.Context, rc *RunConfig, size float64) ([]float64, error)
}

// Metric is the name and unit of a measured value.
type Metric struct {
	Name string
	Unit string
}

// RunConfig configures the run of a series.
type RunConfig struct {
	Program string        // path of the endivehill program
	Window  time.Duration // measurement time of each run
	Repeats int           // runs of each size
	Log     func(format string, args ...any)
}

// Result holds the measured points of a series.
type Result struct {
	Series string      `json:"series"`
	Points []RunValues `json:"points"`
}

// RunValues holds the values of one run at one size, in the order of the metrics.
type RunValues struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// FindSeries returns the series with a name.
func FindSeries(name string) (Series, error) {
	for _, s := range AllSeries() {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, errors.Errorf("series %q does not exist", name)
}

// Run measures all sizes of a series. Each repetition goes through all sizes, so
// that a slow period of the machine does not affect a single size only.
func (s Series) Run(ctx context.Context, rc *RunConfig) (Result, error) {
	out := Result{Series: s.Name}
	for range rc.Repeats {
		for _, size := range s.Sizes {
			values, err := s.run(ctx, rc, size)
			if err != nil {
				return Result{}, errors.Wrapf(err, "%s, %g %s", s.Name, size, s.Size)
			}
			rc.Log("%s %g: %.4g", s.Name, size, values)
			out.Points = append(out.Points, RunValues{size, values})
		}
	}
	return out, nil
}

// Fit fits a line to the values of a metric over the size.
func (s Series) Fit(r Result, metric string) (Fit, error) {
	for i, m := range s.Metrics {
		if m.Name == metric {
			return FitLine(r.metricPoints(i)), nil
		}
	}
	return Fit{}, errors.Errorf("series %s has no metric %q", s.Name, metric)
}

func (r Result) metricPoints(i int) []Point {
	var out []Point
	for _, p := range r.Points {
		out = append(out, Point{p.Size, p.Values[i]})
	}
	return out
}
