package measure

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// Series is one quantity of a cell at several sizes.
type Series struct {
	Name    string
	Size    string // what the size counts
	Sizes   []float64
	Target  float64 // size of docs/design.md 1.6
	Metrics []Metric
	// run measures one size; the values are those of Metrics.
	run func(ctx context.Context, m *Measurement, size float64) ([]float64, error)
}

// Metric is one measured value.
type Metric struct {
	Name string
	Unit string
}

// Measurement configures a measurement.
type Measurement struct {
	Program string        // the endivehill program
	Window  time.Duration // for which each size is measured
	Repeats int           // of each size
	Log     func(format string, args ...any)
}

// Result holds the points of a series: one value for each metric, in order.
type Result struct {
	Series string   `json:"series"`
	Points []Values `json:"points"`
}

// Values are the metrics of one run at one size.
type Values struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Find returns the series of a name.
func Find(name string) (Series, error) {
	for _, s := range All() {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, errors.Errorf("series %q does not exist", name)
}

// Run measures all sizes of a series. The repeats go over all sizes in turn, so
// that a slow spell of the machine does not fall on one size.
func (s Series) Run(ctx context.Context, m *Measurement) (Result, error) {
	out := Result{Series: s.Name}
	for range m.Repeats {
		for _, size := range s.Sizes {
			values, err := s.run(ctx, m, size)
			if err != nil {
				return Result{}, errors.Wrapf(err, "%s, %g %s", s.Name, size, s.Size)
			}
			m.Log("%s %g: %.4g", s.Name, size, values)
			out.Points = append(out.Points, Values{size, values})
		}
	}
	return out, nil
}

// Fit fits the values of a metric over the size.
func (s Series) Fit(r Result, metric string) (Fit, error) {
	for i, m := range s.Metrics {
		if m.Name == metric {
			return FitLine(r.column(i)), nil
		}
	}
	return Fit{}, errors.Errorf("series %s has no metric %q", s.Name, metric)
}

func (r Result) column(i int) []Point {
	var out []Point
	for _, p := range r.Points {
		out = append(out, Point{p.Size, p.Values[i]})
	}
	return out
}
