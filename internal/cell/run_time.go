package cell

import (
	"math"
	"time"
)

// runTimeModel predicts the run times of a group of similar tasks from their estimates.
type runTimeModel struct {
	taskTime    logRegression // of a single task
	longestTask logRegression // of the longest task of a step
}

// Parameters and bounds of the models.
const (
	fitDecay      = 0.985 // factor on the weight of older samples with each new one
	fitPrior      = 0.15  // added to the sum of squared deviations, to flatten the slope while samples are few
	minFitSamples = 4.0
	defaultSpread = 0.5 // of the logarithm of a run time, while there are fewer samples than minFitSamples
	minTimeFactor = 0.2 // lowest prediction, as a factor of the estimate
	maxTimeFactor = 6.0 // highest prediction, as a factor of the estimate
	minModeledMs  = 50  // a shorter estimate is taken as it is and adds no sample
)

// logRegression predicts a run time from an estimate by linear regression of their
// logarithms over recent samples. If the estimates explain little, the slope is near 0
// and the prediction near the mean run time.
type logRegression struct {
	// Decayed number of the samples, and decayed sums of the logarithms x of the estimates
	// and y of the run times, of their squares and of their products.
	n, x, y, xx, xy, yy float64
}

// add adds a sample: an estimate and the actual run time, both in milliseconds.
func (r *logRegression) add(estimateMs, actualMs float64) {
	x, y := math.Log(estimateMs), math.Log(max(1, actualMs))
	r.n = fitDecay*r.n + 1
	r.x = fitDecay*r.x + x
	r.y = fitDecay*r.y + y
	r.xx = fitDecay*r.xx + x*x
	r.xy = fitDecay*r.xy + x*y
	r.yy = fitDecay*r.yy + y*y
}

// slope returns the slope of the regression line, between 0 and 1.
func (r *logRegression) slope() float64 {
	meanX, meanY := r.x/r.n, r.y/r.n
	varX := r.xx/r.n - meanX*meanX
	slope := (r.xy/r.n - meanX*meanY) / (varX + fitPrior/r.n)
	return min(max(slope, 0), 1)
}

// spread returns the standard deviation of the logarithms of the run times around the
// regression line.
func (r *logRegression) spread() float64 {
	if r.n < minFitSamples {
		return defaultSpread
	}
	meanX, meanY, slope := r.x/r.n, r.y/r.n, r.slope()
	varX := r.xx/r.n - meanX*meanX
	varY := r.yy/r.n - meanY*meanY
	residualVariance := varY - 2*slope*(r.xy/r.n-meanX*meanY) + slope*slope*varX
	return math.Sqrt(max(0, residualVariance))
}

// predict returns the predicted run time for an estimate, both in milliseconds.
func (r *logRegression) predict(estimateMs float64) float64 {
	if r.n < minFitSamples || estimateMs < minModeledMs {
		return estimateMs
	}
	meanX, meanY := r.x/r.n, r.y/r.n
	predicted := math.Exp(meanY + r.slope()*(math.Log(estimateMs)-meanX))
	return min(max(predicted, minTimeFactor*estimateMs), maxTimeFactor*estimateMs)
}

// modelKey returns the key of the model for the tasks of a step: the image, or the queue if
// there is none.
func modelKey(s *step) string {
	if s.spec.Image != "" {
		return s.spec.Image
	}
	return s.work.spec.Queue
}

// modelFor returns the run time model for the tasks of a step.
func (c *Cell) modelFor(s *step) *runTimeModel {
	key := modelKey(s)
	model := c.runTimeModels[key]
	if model == nil {
		model = &runTimeModel{}
		c.runTimeModels[key] = model
	}
	return model
}

// taskTime predicts the run time of a task of a step.
func (c *Cell) taskTime(s *step) time.Duration {
	if s.predictedAt == 0 || c.now-s.predictedAt > predictionAge {
		s.predictedAt = c.now
		s.predicted = durationOfMs(c.modelFor(s).taskTime.predict(float64(s.spec.EstimateMs)))
	}
	return s.predicted
}

// predictionAge is how long a prediction is cached.
const predictionAge = 250 * time.Millisecond

// longestTaskTime predicts the run time of the longest task of a step.
func (c *Cell) longestTaskTime(s *step) time.Duration {
	return durationOfMs(c.modelFor(s).longestTask.predict(float64(s.spec.EstimateMs)))
}

func durationOfMs(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// recordTaskTime adds the time of a done run to the model, unless the run started from a
// checkpoint.
func (c *Cell) recordTaskTime(r *run) {
	s := r.task.step
	if !predictable(s) || r.startPercent > 0 || r.activeAt == 0 {
		return
	}
	c.modelFor(s).taskTime.add(float64(s.spec.EstimateMs), float64((c.now - r.activeAt).Milliseconds()))
}

// recordStepTime adds the run time of the longest task of a done step to the model.
func (c *Cell) recordStepTime(s *step) {
	if predictable(s) && s.longestRun > 0 {
		c.modelFor(s).longestTask.add(float64(s.spec.EstimateMs), float64(s.longestRun.Milliseconds()))
	}
}

// predictable reports whether the run times of the tasks of a step are modeled.
func predictable(s *step) bool {
	return s.spec.EstimateMs >= minModeledMs && !s.spec.Opportunistic && !s.spec.LongRunning
}
