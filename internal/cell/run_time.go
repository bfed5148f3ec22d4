package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/runtimes"
)

// predictionAge is how long the predictions for a step are cached.
const predictionAge = 250 * time.Millisecond

// stepPredictions holds the predicted run times of a step.
type stepPredictions struct {
	task    runtimes.Prediction
	longest runtimes.Prediction // of its longest task
	at      time.Duration       // when they were made; 0 for never
}

// predictions returns the predicted run times of a step.
func (c *Cell) predictions(s *step) *stepPredictions {
	p := &s.predictions
	if p.at == 0 || c.now-p.at > predictionAge {
		p.at = c.now
		p.task = c.runTimes.Task(c.now, runTimeKey(s), s.estimate())
		p.longest = c.runTimes.Longest(c.now, runTimeKey(s), s.estimate(), s.spec.Count)
	}
	return p
}

// runTimeKey returns the key under which the run times of the tasks of a step are learned.
func runTimeKey(s *step) runtimes.Key {
	return runtimes.Key{Queue: s.work.spec.Queue, Image: s.spec.Image, Team: s.work.team.name}
}

// estimate returns the caller's estimate of the run time of a task.
func (s *step) estimate() time.Duration { return time.Duration(s.spec.EstimateMs) * time.Millisecond }

// taskTime predicts the run time of a task of a step.
func (c *Cell) taskTime(s *step) time.Duration { return c.predictions(s).task.Time() }

// longestTaskTime predicts the run time of the longest task of a step.
func (c *Cell) longestTaskTime(s *step) time.Duration { return c.predictions(s).longest.Time() }

// remainingTime predicts how long a run that shows no progress yet continues. The work that its
// checkpoint covers does not count.
func (c *Cell) remainingTime(r *run, elapsed time.Duration) time.Duration {
	share := float64(100-r.startPercent) / 100
	if share <= 0 {
		return 0
	}
	// The model predicts whole runs, so the elapsed time is extrapolated to one.
	elapsedOfWhole := time.Duration(float64(elapsed) / share)
	return time.Duration(share * float64(c.predictions(r.task.step).task.Remaining(elapsedOfWhole)))
}

// runTime returns the run time of a run that has ended. It is not known for a run from a
// checkpoint, nor for one of an earlier owner, whose activeAt is the time of the takeover.
func (c *Cell) runTime(r *run) (d time.Duration, known bool) {
	return c.now - r.activeAt, r.activeAt != 0 && r.startPercent == 0 && r.startedHere
}

// recordTaskTime adds the time of a done run to the learned run times, if it is known.
func (c *Cell) recordTaskTime(r *run) {
	s := r.task.step
	if d, known := c.runTime(r); known && predictable(s) {
		c.runTimes.AddRun(c.now, runTimeKey(s), s.estimate(), d)
	}
}

// recordStepTime adds the run time of the longest task of a done step to the learned run times,
// if those of all its tasks are known.
func (c *Cell) recordStepTime(s *step) {
	if predictable(s) && s.longestRun > 0 && !s.untimedTasks {
		c.runTimes.AddStep(c.now, runTimeKey(s), s.estimate(), s.longestRun, s.spec.Count)
	}
}

// predictable reports whether the run times of the tasks of a step are learned.
func predictable(s *step) bool {
	return s.estimate() >= runtimes.MinModeled && !s.spec.Opportunistic && !s.spec.LongRunning
}

// RunTimes returns the learned run times.
func (c *Cell) RunTimes() *runtimes.Model { return c.runTimes }
