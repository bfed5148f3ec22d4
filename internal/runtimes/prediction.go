package runtimes

import (
	"math"
	"time"
)

// Beginning of the tail of the run times.
const (
	bodyDeviations = 2.5  // deviations above the median, in the body
	oneDeviation   = 0.16 // share of the runs above the median by more than one deviation
	minTailRatio   = 2.0  // lowest beginning, as a multiple of the median
	maxTailRatio   = 8.0  // highest beginning, as a multiple of the median
)

// Prediction is the distribution of the run time of a task, or of the longest task of a
// step. The zero value predicts a run time of 0.
type Prediction struct {
	ms     float64 // typical run time
	spread float64
	shares shares // of the ratio to the typical run time
}

// Time returns the typical run time: the geometric mean, which is near the median.
func (p *Prediction) Time() time.Duration { return durationOf(p.ms) }

// Spread returns the standard deviation of the logarithm of the run time.
func (p *Prediction) Spread() float64 { return p.spread }

// Mean returns the mean run time, which the tail makes longer than the typical one.
func (p *Prediction) Mean() time.Duration {
	_, mean := p.shares.above(ratioAt(0))
	return durationOf(p.ms * mean)
}

// Quantile returns the time within which the given share of the runs ends.
func (p *Prediction) Quantile(share float64) time.Duration {
	return durationOf(p.ms * p.shares.ratioExceededBy(1-clampShare(share)))
}

// Remaining returns the expected remaining time of a run that has lasted the given time.
func (p *Prediction) Remaining(elapsed time.Duration) time.Duration {
	ratio := p.ratio(elapsed)
	_, mean := p.shares.above(ratio)
	return durationOf(p.base() * max(0, mean-ratio))
}

// TailChance returns the chance that a run that has lasted the given time belongs to the
// tail of the run times.
func (p *Prediction) TailChance(elapsed time.Duration) float64 {
	ratio, tail := p.ratio(elapsed), p.tailRatio()
	if ratio >= tail {
		return 1
	}
	above, _ := p.shares.above(ratio)
	inTail, _ := p.shares.above(tail)
	if above <= 0 {
		return 1
	}
	return min(inTail/above, 1)
}

// TailTime returns the run time at which the tail begins.
func (p *Prediction) TailTime() time.Duration { return durationOf(p.base() * p.tailRatio()) }

// tailRatio returns the ratio at which the tail begins. The deviation of the body is taken
// from quantiles, which the tail does not change much.
func (p *Prediction) tailRatio() float64 {
	median := p.shares.ratioExceededBy(0.5)
	deviation := p.shares.ratioExceededBy(oneDeviation) / median
	return median * min(max(math.Pow(deviation, bodyDeviations), minTailRatio), maxTailRatio)
}

// base returns the typical run time in milliseconds, at least 1.
func (p *Prediction) base() float64 { return max(1, p.ms) }

func (p *Prediction) ratio(elapsed time.Duration) float64 {
	return milliseconds(min(max(elapsed, 0), maxRunTime)) / p.base()
}

func clampShare(share float64) float64 { return min(max(share, 0), maxQuantile) }

// maxQuantile is the highest quantile that is predicted.
const maxQuantile = 0.999

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func durationOf(ms float64) time.Duration {
	return time.Duration(math.Round(ms * float64(time.Millisecond)))
}
