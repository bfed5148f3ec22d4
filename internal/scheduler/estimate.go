package scheduler

import (
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

const (
	sampleCount    = 32   // samples kept of each learned value
	memoryQuantile = 0.95 // of the samples for a size in memory
	sizeQuantile   = 0.75 // of the samples for other resources, whose shortage only slows a task
	longQuantile   = 0.9  // of the samples for a run time that must not be underrated
	typicalRun     = 0.5  // quantile of the samples for a typical run time
	overrunFactor  = 0.25 // of its age by which a task past its estimate is taken to run on
	// undeclaredRun stands for the run time of work that declares none, until it
	// is learned.
	undeclaredRun = 10 * time.Minute
	// staleSize marks the size of a job as to be computed again.
	staleSize = -1
	// endless is the estimate for services and for what is not known at all.
	endless = 365 * 24 * time.Hour
)

// samples keeps the most recent values and their order.
type samples struct {
	ring   [sampleCount]float64
	sorted [sampleCount]float64
	count  int
	next   int
}

func (s *samples) add(x float64) {
	s.ring[s.next] = x
	s.next = (s.next + 1) % sampleCount
	s.count = min(s.count+1, sampleCount)
	copy(s.sorted[:s.count], s.ring[:s.count])
	sort.Float64s(s.sorted[:s.count])
}

// quantile returns the value below which the fraction q of the samples lies.
func (s *samples) quantile(q float64) float64 {
	return s.sorted[min(s.count-1, int(q*float64(s.count)))]
}

// learned is what is known of the tasks of one queue of a team, relative to what
// they declare.
type learned struct {
	size       [dims]samples
	run        samples // relative to the declared run time
	absolute   samples // seconds, of work that declares no run time
	checkpoint samples // seconds
	version    int     // raised when a learned size changes
}

// learnedOf returns what is known of the queue of the job.
func (c *Cell) learnedOf(in *Job) *learned {
	key := queueKey{in.Team, in.Queue}
	l, ok := c.learned[key]
	if !ok {
		l = &learned{}
		c.learned[key] = l
	}
	return l
}

type queueKey struct{ team, queue string }

// learnSize records the peak usage of an ended task.
func (c *Cell) learnSize(t *task) {
	if t.peak == (vec{}) {
		return
	}
	l := t.job.learned
	before := c.ratios(l)
	for d := range t.peak {
		if t.job.declared[d] > 0 {
			l.size[d].add(float64(t.peak[d]) / float64(t.job.declared[d]))
		}
	}
	if c.ratios(l) != before {
		l.version++
		t.job.team.relearned = true
		c.relearned = true
	}
}

// ratios returns the learned ratio of each dimension to the declared size, in
// steps of a sixteenth so that it does not change with every task.
func (c *Cell) ratios(l *learned) [dims]float64 {
	const steps = 16
	var out [dims]float64
	for d := range out {
		out[d] = 1
		if s := &l.size[d]; s.count >= c.policy.LearnSamples {
			out[d] = max(1, float64(int(s.quantile(quantileOf(d))*steps+1))/steps)
		}
	}
	return out
}

// quantileOf returns the quantile of the samples that a task is counted for.
func quantileOf(dim int) float64 {
	if dim == dimMemory {
		return memoryQuantile
	}
	return sizeQuantile
}

// learnRun records the run time of a task that has succeeded.
func (c *Cell) learnRun(t *task, now time.Time) {
	ran := t.ran + now.Sub(t.started)
	if t.started.IsZero() || ran <= 0 {
		return
	}
	if t.job.EstimatedRun > 0 {
		t.job.learned.run.add(float64(ran) / float64(t.job.EstimatedRun))
		return
	}
	t.job.learned.absolute.add(ran.Seconds())
}

// learnCheckpoint records how long a task took to write its checkpoint.
func (c *Cell) learnCheckpoint(t *task, now time.Time) {
	if t.releasing {
		t.job.learned.checkpoint.add(now.Sub(t.stoppedAt).Seconds())
	}
}

// checkpointTime estimates how long a task of the job takes for a checkpoint.
func (c *Cell) checkpointTime(j *job) time.Duration {
	if s := &j.learned.checkpoint; s.count > 0 {
		return time.Duration(s.quantile(longQuantile) * float64(time.Second))
	}
	return unknownCheckpoint
}

// runTime estimates the run time of a task of the job at the quantile.
func (c *Cell) runTime(j *job, quantile float64) time.Duration {
	if j.Class == api.ClassService {
		return endless
	}
	l := j.learned
	switch {
	case j.EstimatedRun > 0 && l.run.count >= c.policy.LearnSamples:
		return time.Duration(l.run.quantile(quantile) * float64(j.EstimatedRun))
	case j.EstimatedRun > 0:
		return j.EstimatedRun
	case l.absolute.count >= c.policy.LearnSamples:
		return time.Duration(l.absolute.quantile(quantile) * float64(time.Second))
	case quantile > typicalRun:
		return endless
	}
	return undeclaredRun
}

// endOf estimates when the task ends.
func (c *Cell) endOf(t *task, now time.Time) time.Time {
	if t.state == taskStopping || t.yields {
		return now.Add(c.checkpointTime(t.job))
	}
	begin := t.started
	if begin.IsZero() {
		begin = now
	}
	end := begin.Add(c.runTime(t.job, longQuantile) - t.ran)
	if end.After(now) {
		return end
	}
	return now.Add(time.Duration(overrunFactor * float64(now.Sub(begin))))
}

// sizeOf returns what a task of the job is counted for when placed: the maximum
// of its declared size, the learned size of its queue and its own peak, unless
// nothing could hold that.
func (c *Cell) sizeOf(j *job) vec {
	size := j.declared
	for d, ratio := range c.ratios(j.learned) {
		size[d] = max(size[d], int64(ratio*float64(size[d])))
	}
	size = size.max(j.peak)
	if size != j.declared && c.unfit(j.team, j.Job, size) != "" {
		return j.declared
	}
	return size
}

// resize applies a changed learned size to a waiting job and reports whether
// its size has changed.
func (c *Cell) resize(j *job) bool {
	if j.sizeVersion == j.learned.version && j.sizeFleet == c.fleetVersion {
		return false
	}
	j.sizeVersion, j.sizeFleet = j.learned.version, c.fleetVersion
	size := c.sizeOf(j)
	if size == j.size {
		return false
	}
	queued := j.group != nil
	c.dequeue(j)
	n := len(j.pending)
	j.team.wanted = j.team.wanted.sub(j.size.times(n)).add(size.times(n))
	j.size = size
	c.dropClaims(j)
	if queued {
		c.enqueue(j)
	}
	return true
}
