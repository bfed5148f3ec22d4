package cell

import (
	"math"
	"time"
)

// learnedTime is what is known of the run times of tasks that behave alike.
type learnedTime struct {
	task timeFit // of a task, by its estimate
	step timeFit // of the longest task of a step, by the estimate
}

// Bounds of what is learned.
const (
	fitMemory      = 0.985 // weight of a sample after the next one
	fitPrior       = 0.15  // weight, in samples, of the spread that is assumed in the estimates
	minFitSamples  = 4.0
	defaultSpread  = 0.5 // of the logarithm of a run time, before there are samples
	minTimeFactor  = 0.2
	maxTimeFactor  = 6.0
	minLearnTimeMs = 50
)

// timeFit predicts a run time from an estimate by a straight line through the
// logarithms of both, fitted to recent samples. Where estimates say little the
// line is flat, and the prediction is near the usual run time.
type timeFit struct {
	n, x, y, xx, xy, yy float64
}

// add takes a run time with its estimate, both in milliseconds.
func (f *timeFit) add(estimateMs, actualMs float64) {
	x, y := math.Log(estimateMs), math.Log(max(1, actualMs))
	f.n = fitMemory*f.n + 1
	f.x = fitMemory*f.x + x
	f.y = fitMemory*f.y + y
	f.xx = fitMemory*f.xx + x*x
	f.xy = fitMemory*f.xy + x*y
	f.yy = fitMemory*f.yy + y*y
}

// slope returns the slope of the line.
func (f *timeFit) slope() float64 {
	meanX, meanY := f.x/f.n, f.y/f.n
	spread := f.xx/f.n - meanX*meanX
	slope := (f.xy/f.n - meanX*meanY) / (spread + fitPrior/f.n)
	return min(max(slope, 0), 1)
}

// spread returns the standard deviation of the logarithm of a run time around its
// prediction.
func (f *timeFit) spread() float64 {
	if f.n < minFitSamples {
		return defaultSpread
	}
	meanX, meanY, slope := f.x/f.n, f.y/f.n, f.slope()
	varX := f.xx/f.n - meanX*meanX
	varY := f.yy/f.n - meanY*meanY
	rest := varY - 2*slope*(f.xy/f.n-meanX*meanY) + slope*slope*varX
	return math.Sqrt(max(0, rest))
}

// predict returns the expected run time for an estimate.
func (f *timeFit) predict(estimateMs float64) float64 {
	if f.n < minFitSamples || estimateMs < minLearnTimeMs {
		return estimateMs
	}
	meanX, meanY := f.x/f.n, f.y/f.n
	predicted := math.Exp(meanY + f.slope()*(math.Log(estimateMs)-meanX))
	return min(max(predicted, minTimeFactor*estimateMs), maxTimeFactor*estimateMs)
}

// learnKey groups tasks that behave alike.
func learnKey(s *step) string {
	if s.spec.Image != "" {
		return s.spec.Image
	}
	return s.job.spec.Queue
}

// learnedFor returns what is learned of the tasks that behave like those of the
// step.
func (c *Cell) learnedFor(s *step) *learnedTime {
	key := learnKey(s)
	l := c.learned[key]
	if l == nil {
		l = &learnedTime{}
		c.learned[key] = l
	}
	return l
}

// taskTime predicts the run time of a task of a step.
func (c *Cell) taskTime(s *step) time.Duration {
	if s.predictedAt == 0 || c.now-s.predictedAt > predictionAge {
		s.predictedAt = c.now
		s.predicted = millisOf(c.learnedFor(s).task.predict(float64(s.spec.EstimateMs)))
	}
	return s.predicted
}

// predictionAge is how long a prediction is used.
const predictionAge = 250 * time.Millisecond

// longestTime predicts the run time of the longest task of a step.
func (c *Cell) longestTime(s *step) time.Duration {
	return millisOf(c.learnedFor(s).step.predict(float64(s.spec.EstimateMs)))
}

func millisOf(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// learnTask takes the run time of a task that is done.
func (c *Cell) learnTask(r *run) {
	s := r.task.step
	if !learnable(s) || r.base > 0 || r.activeAt == 0 {
		return
	}
	c.learnedFor(s).task.add(float64(s.spec.EstimateMs), float64((c.now - r.activeAt).Milliseconds()))
}

// learnStep takes the run time of the longest task of a step that is done.
func (c *Cell) learnStep(s *step) {
	if learnable(s) && s.longest > 0 {
		c.learnedFor(s).step.add(float64(s.spec.EstimateMs), float64(s.longest.Milliseconds()))
	}
}

func learnable(s *step) bool {
	return s.spec.EstimateMs >= minLearnTimeMs && !s.spec.Opportunistic && !s.spec.LongRunning
}
