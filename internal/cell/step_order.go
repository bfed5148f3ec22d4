package cell

import (
	"cmp"
	"slices"
	"time"
)

// objectiveCallWorkers is the number of workers in the advice call for which the estimated
// duration of a step allows time.
const objectiveCallWorkers = 30

// usefulFactor is the multiple of its objective after which the result of an occurrence
// is of no use.
const usefulFactor = 3

// farFuture is later than any other time.
const farFuture = time.Duration(1<<62 - 1)

// rank is the first criterion in the order of the ready steps, lower first.
type rank int

const (
	rankInTime     rank = iota // can meet its deadline
	rankLate                   // will miss its deadline, but can still be useful
	rankBeyondRate             // submitted beyond the rate of the team
	rankTooLate                // its result is of no use any more, but it must be done
)

// orderKey orders the ready steps: by rank, then by the latest time at which the step
// has to start.
type orderKey struct {
	rank    rank
	startBy time.Duration
}

// compareSteps orders steps by their order keys, then by the ID of the work and the number
// of the step.
func compareSteps(a, b *step) int {
	if a.orderKey.rank != b.orderKey.rank {
		return cmp.Compare(a.orderKey.rank, b.orderKey.rank)
	}
	if a.orderKey.startBy != b.orderKey.startBy {
		return cmp.Compare(a.orderKey.startBy, b.orderKey.startBy)
	}
	if a.work != b.work {
		return cmp.Compare(a.work.spec.Id, b.work.spec.Id)
	}
	return cmp.Compare(a.number, b.number)
}

// setDeadline computes the critical paths of the steps and the deadline of an
// occurrence.
func (c *Cell) setDeadline(aw *activeWork, o *occurrence) {
	longestPath := time.Duration(0)
	for i := len(o.steps) - 1; i >= 0; i-- {
		s := o.steps[i]
		s.criticalPath = c.stepTime(s)
		for _, next := range o.steps[i+1:] {
			if slices.Contains(next.spec.After, s.number) {
				s.criticalPath = max(s.criticalPath, c.stepTime(s)+next.criticalPath)
			}
		}
		longestPath = max(longestPath, s.criticalPath)
	}
	objective := time.Duration(aw.queue.LatencyFactor*float64(longestPath)) + aw.queue.TargetLatency
	if aw.longRunning() {
		objective = aw.queue.TargetLatency
	}
	o.deadline = o.due + objective
	o.usefulUntil = o.due + usefulFactor*objective
}

// longRunning reports whether the work is a service that runs until it is canceled.
func (aw *activeWork) longRunning() bool { return aw.spec.Steps[0].LongRunning }

// stepTime estimates the duration of a step, including an advice call.
func (c *Cell) stepTime(s *step) time.Duration {
	d := c.longestTaskTime(s)
	if a := s.work.queue.Advice; a != nil {
		d += a.CallDuration + objectiveCallWorkers*a.DurationPerWorker
	}
	return d
}

// orderReady removes the steps without waiting tasks from the ready list, computes the
// order keys of the others and sorts them.
func (c *Cell) orderReady() {
	kept := c.ready[:0]
	for _, s := range c.ready {
		if s.waiting == 0 || isTerminal(s.work.state) {
			s.inReadyList = false
			s.starved = false
			s.nominations = nil
			continue
		}
		s.orderKey = c.orderKeyOf(s)
		s.starved = c.isStarved(s)
		kept = append(kept, s)
	}
	clear(c.ready[len(kept):])
	c.ready = kept
	slices.SortFunc(c.ready, compareSteps)
}

// orderKeyOf returns the current order key of a step. A step counts as late once it is expected
// to miss its deadline. In a full pool each step waits until it is nearly late; one that is
// favored although it is likely to be late makes the next ones late too.
func (c *Cell) orderKeyOf(s *step) orderKey {
	o := s.occurrence
	startBy := o.deadline - s.criticalPath
	if s.spec.LongRunning {
		return orderKey{rankInTime, startBy}
	}
	switch {
	case s.work.beyondRate:
		return orderKey{rankBeyondRate, startBy}
	case c.now <= startBy:
		return orderKey{rankInTime, startBy}
	case c.now+s.criticalPath <= o.usefulUntil:
		return orderKey{rankLate, o.usefulUntil - s.criticalPath}
	}
	return orderKey{rankTooLate, startBy}
}

// expectedEnd estimates when a run will end, from its progress if it has any, else from
// the predicted run time.
func (c *Cell) expectedEnd(r *run) time.Duration {
	s := r.task.step
	if s.spec.LongRunning {
		return farFuture
	}
	if r.phase == runStopping {
		return c.now + c.opts.StopTimeout
	}
	if r.activeAt == 0 {
		return c.now + c.remainingTime(r, 0)
	}
	elapsed := c.now - r.activeAt
	if done := r.percent - r.startPercent; done > 0 && r.progressAt > r.activeAt {
		total := time.Duration(float64(r.progressAt-r.activeAt) * float64(100-r.startPercent) / float64(done))
		return max(c.now, r.activeAt+total)
	}
	return c.now + c.remainingTime(r, elapsed)
}
