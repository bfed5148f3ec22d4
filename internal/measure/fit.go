package measure

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement at a size.
type Point struct{ Size, Value float64 }

// Fit is a line fitted to points by least squares.
type Fit struct {
	Base  float64 // value at size 0
	Slope float64 // per unit of size
	// SlopeError and BaseError are standard errors.
	SlopeError, BaseError float64
	R2                    float64 // coefficient of determination
}

// FitLine fits a line to points, which must be at least three of different sizes.
func FitLine(points []Point) Fit {
	n := float64(len(points))
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	for i, p := range points {
		xs[i], ys[i] = p.Size, p.Value
	}
	var f Fit
	f.Base, f.Slope = stat.LinearRegression(xs, ys, nil, false)
	f.R2 = stat.RSquared(xs, ys, nil, f.Base, f.Slope)
	mean := stat.Mean(xs, nil)
	var residual, spread, squares float64
	for i := range xs {
		r := ys[i] - f.At(xs[i])
		residual += r * r
		spread += (xs[i] - mean) * (xs[i] - mean)
		squares += xs[i] * xs[i]
	}
	variance := residual / (n - 2)
	f.SlopeError = math.Sqrt(variance / spread)
	f.BaseError = math.Sqrt(variance * squares / (n * spread))
	return f
}

// At returns the value of the line at a size.
func (f Fit) At(size float64) float64 { return f.Base + f.Slope*size }
