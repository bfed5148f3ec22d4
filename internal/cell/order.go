package cell

import (
	"cmp"
	"slices"
	"time"
)

// adviceWorkers is the number of workers that the objective of a work allows to
// be named in one call for advice.
const adviceWorkers = 30

// lateFactor times its objective after its submission, a work is of no more use.
const lateFactor = 3

// farFuture is a time after every other.
const farFuture = time.Duration(1<<62 - 1)

// rank separates steps by what it is worth to start them now.
type rank int

const (
	rankInTime rank = iota // can be done in time
	rankLate               // is of some use although it is late
	rankExcess             // beyond the rate that the team may expect
	rankPast               // must be done, but is of no more use
)

// orderKey orders the ready steps: by rank, then by the latest time at which the
// step may start.
type orderKey struct {
	rank    rank
	startBy time.Duration
}

func compareSteps(a, b *step) int {
	if a.key.rank != b.key.rank {
		return cmp.Compare(a.key.rank, b.key.rank)
	}
	if a.key.startBy != b.key.startBy {
		return cmp.Compare(a.key.startBy, b.key.startBy)
	}
	if a.job != b.job {
		return cmp.Compare(a.job.spec.Id, b.job.spec.Id)
	}
	return cmp.Compare(a.number, b.number)
}

// setDeadline computes by when an occurrence should be done.
func (c *Cell) setDeadline(j *job, o *occurrence) {
	longest := time.Duration(0)
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.path = c.stepTime(s)
		for _, next := range o.steps[i+1:] {
			if slices.Contains(next.spec.After, s.number) {
				s.path = max(s.path, c.stepTime(s)+next.path)
			}
		}
		longest = max(longest, s.path)
	}
	objective := time.Duration(j.queue.Stretch*float64(longest)) + j.queue.TargetLatency
	if j.longRunning() {
		objective = j.queue.TargetLatency
	}
	o.deadline = o.due + objective
	o.latest = o.due + lateFactor*objective
}

// longRunning reports whether the work runs until it is canceled.
func (j *job) longRunning() bool { return j.spec.Steps[0].LongRunning }

// stepTime estimates the time that a step takes, advice included.
func (c *Cell) stepTime(s *step) time.Duration {
	d := c.longestTime(s)
	if a := s.job.queue.Advice; a != nil {
		d += a.Decision + adviceWorkers*a.PerWorker
	}
	return d
}

// orderReady computes the keys of the ready steps and sorts them. Steps of which
// nothing waits any more are removed.
func (c *Cell) orderReady() {
	kept := c.ready[:0]
	for _, s := range c.ready {
		if s.waiting == 0 || ended(s.job.state) {
			s.inReady = false
			s.claims = nil
			continue
		}
		s.key = c.keyOf(s)
		kept = append(kept, s)
	}
	clear(c.ready[len(kept):])
	c.ready = kept
	slices.SortFunc(c.ready, compareSteps)
}

// maxDoubt is the largest part of its predicted time by which a step is assumed to
// be faster.
const maxDoubt = 0.5

// least returns the time that a step and those after it need at least, as far as
// run times can be predicted.
func (c *Cell) least(s *step) time.Duration {
	doubt := min(maxDoubt, c.learnedFor(s).step.spread())
	return time.Duration((1 - doubt) * float64(s.path))
}

// keyOf returns the key of a step at present. A step counts as late only when it
// would be late even if it were as fast as may be expected.
func (c *Cell) keyOf(s *step) orderKey {
	o := s.occ
	startBy := o.deadline - s.path
	least := c.least(s)
	if s.spec.LongRunning {
		return orderKey{rankInTime, startBy}
	}
	switch {
	case s.job.excess:
		return orderKey{rankExcess, startBy}
	case c.now+least <= o.deadline:
		return orderKey{rankInTime, startBy}
	case c.now+least <= o.latest:
		return orderKey{rankLate, o.latest - s.path}
	}
	return orderKey{rankPast, startBy}
}

// expectedEnd estimates when a run will end.
func (c *Cell) expectedEnd(r *run) time.Duration {
	s := r.task.step
	if s.spec.LongRunning {
		return farFuture
	}
	if r.phase == runStopping {
		return c.now + c.opts.StopTimeout
	}
	if r.activeAt == 0 {
		return c.now + c.taskTime(s)
	}
	elapsed := c.now - r.activeAt
	if done := r.percent - r.base; done > 0 && r.movedAt > r.activeAt {
		total := time.Duration(float64(r.movedAt-r.activeAt) * float64(100-r.base) / float64(done))
		return max(c.now, r.activeAt+total)
	}
	left := time.Duration(float64(c.taskTime(s)) * float64(100-r.base) / 100)
	// A task that is over its estimate is expected to take half as long again.
	return r.activeAt + max(left, elapsed+left/2*boolDuration(elapsed > left))
}

func boolDuration(b bool) time.Duration {
	if b {
		return 1
	}
	return 0
}
