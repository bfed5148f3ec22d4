package scheduler

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	maxSamples     = 32   // samples kept of each learned value
	memoryQuantile = 0.95 // of the memory samples, for the size
	sizeQuantile   = 0.75 // of the samples of other resources, whose shortage only slows a task down
	highQuantile   = 0.9  // of the run time and checkpoint samples, where an underestimate must be avoided
	medianQuantile = 0.5  // of the run time samples, for a typical run time
	overrunFactor  = 0.25 // a task past its estimate is assumed to run for this fraction of its age longer
	// defaultRunTime is the estimate for work without a declared run time until
	// its run time is learned.
	defaultRunTime = 10 * time.Minute
	// staleSizeVersion causes the size of a job to be computed again.
	staleSizeVersion = -1
	// unboundedRunTime is the estimate for services and for work with an
	// unknown run time.
	unboundedRunTime = 365 * 24 * time.Hour
)

// samples keeps the most recent values in order of arrival and sorted.
type samples struct {
	ring   [maxSamples]float64
	sorted [maxSamples]float64
	count  int
	next   int
}

func (s *samples) add(x float64) {
	s.ring[s.next] = x
	s.next = (s.next + 1) % maxSamples
	s.count = min(s.count+1, maxSamples)
	copy(s.sorted[:s.count], s.ring[:s.count])
	sort.Float64s(s.sorted[:s.count])
}

// quantile returns the value below which the fraction q of the samples lies.
func (s *samples) quantile(q float64) float64 {
	return s.sorted[min(s.count-1, int(q*float64(s.count)))]
}

// usageHistory holds the measurements of the tasks of one queue of a team, as
// far as possible relative to their declared values.
type usageHistory struct {
	sizeRatios        [dimCount]samples
	runTimeRatios     samples // of the declared run time
	runSeconds        samples // of work that declares no run time
	checkpointSeconds samples
	sizeVersion       int // incremented when a learned size changes
}

// ensureHistory returns the usage history of the queue of the job and adds it
// if it does not exist.
func (s *State) ensureHistory(in *Job) *usageHistory {
	key := queueKey{in.Team, in.Queue}
	history, ok := s.histories[key]
	if !ok {
		history = &usageHistory{}
		s.histories[key] = history
	}
	return history
}

type queueKey struct{ team, queue string }

// recordPeak records the peak usage of an ended task.
func (s *State) recordPeak(t *task) {
	if t.peak == (resourceVec{}) {
		return
	}
	history := t.job.history
	before := s.sizeRatios(history)
	for d := range t.peak {
		if t.job.declared[d] > 0 {
			history.sizeRatios[d].add(float64(t.peak[d]) / float64(t.job.declared[d]))
		}
	}
	if s.sizeRatios(history) != before {
		history.sizeVersion++
		t.job.team.sizesChanged = true
		s.sizesChanged = true
	}
}

// sizeRatios returns the learned ratio to the declared size in each dimension, at
// least 1. It is rounded up to the next sixteenth, so that it does not change
// with every task.
func (s *State) sizeRatios(history *usageHistory) [dimCount]float64 {
	const steps = 16
	var out [dimCount]float64
	for d := range out {
		out[d] = 1
		if recorded := &history.sizeRatios[d]; recorded.count >= s.policy.MinSamples {
			out[d] = max(1, float64(int(recorded.quantile(sizeQuantileOf(d))*steps+1))/steps)
		}
	}
	return out
}

// sizeQuantileOf returns the quantile of the samples that determines the size
// in a dimension.
func sizeQuantileOf(dim int) float64 {
	if dim == dimMemory {
		return memoryQuantile
	}
	return sizeQuantile
}

// recordRunTime records the run time of a successful task.
func (s *State) recordRunTime(t *task, now time.Time) {
	ran := t.earlierRunTime + now.Sub(t.started)
	if t.started.IsZero() || ran <= 0 {
		return
	}
	if t.job.EstimatedRun > 0 {
		t.job.history.runTimeRatios.add(float64(ran) / float64(t.job.EstimatedRun))
		return
	}
	t.job.history.runSeconds.add(ran.Seconds())
}

// recordCheckpointTime records how long a task took to write its checkpoint.
func (s *State) recordCheckpointTime(t *task, now time.Time) {
	if t.releasing {
		t.job.history.checkpointSeconds.add(now.Sub(t.stoppedAt).Seconds())
	}
}

// estimateCheckpointTime estimates how long a task of the job takes to write a
// checkpoint.
func (s *State) estimateCheckpointTime(j *job) time.Duration {
	if recorded := &j.history.checkpointSeconds; recorded.count > 0 {
		return time.Duration(recorded.quantile(highQuantile) * float64(time.Second))
	}
	return defaultCheckpointTime
}

// estimateRunTime estimates the run time of a task of the job at the given
// quantile.
func (s *State) estimateRunTime(j *job, quantile float64) time.Duration {
	if j.Class == api.ClassService {
		return unboundedRunTime
	}
	history := j.history
	switch {
	case j.EstimatedRun > 0 && history.runTimeRatios.count >= s.policy.MinSamples:
		return time.Duration(history.runTimeRatios.quantile(quantile) * float64(j.EstimatedRun))
	case j.EstimatedRun > 0:
		return j.EstimatedRun
	case history.runSeconds.count >= s.policy.MinSamples:
		return time.Duration(history.runSeconds.quantile(quantile) * float64(time.Second))
	case quantile > medianQuantile:
		return unboundedRunTime
	}
	return defaultRunTime
}

// estimateEnd estimates when the task ends. A task that is being stopped, or that
// yields to a reservation, is assumed to end once it has written a checkpoint.
func (s *State) estimateEnd(t *task, now time.Time) time.Time {
	if t.state == taskStopping || t.yieldsToReservation {
		return now.Add(s.estimateCheckpointTime(t.job))
	}
	begin := t.started
	if begin.IsZero() {
		begin = now
	}
	end := begin.Add(s.estimateRunTime(t.job, highQuantile) - t.earlierRunTime)
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunFactor * float64(now.Sub(begin))))
}

// effectiveSize returns the resources to allocate for each task of the job: the
// maximum of its declared size, the learned size of its queue and its own peak,
// or the declared size if that maximum is infeasible.
func (s *State) effectiveSize(j *job) resourceVec {
	size := j.declared
	for d, ratio := range s.sizeRatios(j.history) {
		size[d] = max(size[d], int64(ratio*float64(size[d])))
	}
	size = size.max(j.peak)
	if size != j.declared && s.infeasibleReason(j.team, j.Job, size) != "" {
		return j.declared
	}
	return size
}

// updateSize applies a changed learned size to a waiting job and reports
// whether its size has changed.
func (s *State) updateSize(j *job) bool {
	if j.sizeVersion == j.history.sizeVersion && j.sizeFleetVersion == s.fleetVersion {
		return false
	}
	j.sizeVersion, j.sizeFleetVersion = j.history.sizeVersion, s.fleetVersion
	size := s.effectiveSize(j)
	if size == j.size {
		return false
	}
	queued := j.group != nil
	s.dequeue(j)
	n := len(j.pending)
	j.team.pendingDemand = j.team.pendingDemand.sub(j.size.times(n)).add(size.times(n))
	j.size = size
	s.releaseClaims(j)
	if queued {
		s.enqueue(j)
	}
	return true
}
