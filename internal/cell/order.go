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
	rankExcess             // beyond the rate that the team may expect
	rankLate               // is of some use although it is late
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

// keyOf returns the key of a step at present. Estimates are rough, so a step
// counts as late only when half of its estimate would not suffice.
func (c *Cell) keyOf(s *step) orderKey {
	o := s.occ
	startBy := o.deadline - s.path
	if s.spec.LongRunning {
		return orderKey{rankInTime, startBy}
	}
	switch {
	case c.now+s.path/2 <= o.deadline:
		if s.job.excess {
			return orderKey{rankExcess, startBy}
		}
		return orderKey{rankInTime, startBy}
	case c.now+s.path/2 <= o.latest:
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

// rateBucket limits how many works a second count as expected.
type rateBucket struct {
	tokens float64
	at     time.Duration
}

// rateBurst is how many seconds of its rate a team may send at once.
const rateBurst = 3.0

// take reports whether one more work is within the rate. A rate of 0 is none.
func (b *rateBucket) take(now time.Duration, perSecond float64) bool {
	if perSecond <= 0 {
		return true
	}
	if b.at == 0 {
		b.tokens = rateBurst * perSecond
	} else {
		b.tokens = min(rateBurst*perSecond, b.tokens+perSecond*(now-b.at).Seconds())
	}
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// waitsForTime reports whether occurrences of a work are still to come.
func (j *job) waitsForTime() bool {
	return j.spec.RepeatCount > 0 && j.nextOcc < j.spec.RepeatCount && !ended(j.state)
}
