package cell

import (
	"slices"
	"time"
)

// Judgment of workers by what runs on them.
const (
	failuresToQuarantine = 2                       // failed runs of different works in a row
	minQuarantine        = 2 * time.Second         // first quarantine
	maxQuarantine        = 20 * time.Second        // longest quarantine
	maxQuarantinedShare  = 0.3                     // of the workers of a pool; if more fail, the works are at fault
	suspectAfter         = 2                       // workers on which a work failed before the work itself is at fault
	stallAfter           = 1200 * time.Millisecond // a run whose progress stands still so long is moved
	slowStartAfter       = 1500 * time.Millisecond // so long without any progress may be a slow start
	stalledPercents      = 3                       // in the time that so many take at the expected pace, some progress is seen
	stallPause           = 1500 * time.Millisecond // no new tasks on a worker on which a run stood still; doubled each time in a row
	maxStallDoublings    = 2
	unansweredPause      = time.Second            // no new tasks on a worker that did not answer orders
	refusedPause         = 500 * time.Millisecond // no new tasks on a worker that refused one as unhealthy
	slownessWeight       = 0.2
	maxSlowness          = 5.0
)

// donePercent is the progress of a member of a gang that has done its part. It ends
// when all have.
const donePercent = 100

// health is the judgment of a worker.
type health struct {
	failedWorks    []string // works whose runs failed in a row
	quarantines    int
	failingUntil   time.Duration // end of the quarantine
	closedUntil    time.Duration // end of a pause for another reason
	stalledUntil   time.Duration // end of the pause because a run stood still
	stalls         int           // such pauses since a run was done
	slow           float64       // run times by estimate, less 1; smoothed
	slowSampleSeen bool
}

func (h *health) quarantined(now time.Duration) bool { return now < h.failingUntil }

func (h *health) closed(now time.Duration) bool { return now < max(h.failingUntil, h.closedUntil) }

func (h *health) pause(now, d time.Duration) { h.closedUntil = max(h.closedUntil, now+d) }

// noteStall pauses a worker on which a run stands still. All that stand still there
// at a time count once.
func (h *health) noteStall(now time.Duration) {
	if now < h.stalledUntil {
		return
	}
	h.stalledUntil = now + stallPause<<min(h.stalls, maxStallDoublings)
	h.stalls++
	h.pause(now, h.stalledUntil-now)
}

// slowness returns by which factor tasks take longer on the worker, at least 1.
func (h *health) slowness() float64 {
	if !h.slowSampleSeen {
		return 1
	}
	return max(1, 1+h.slow)
}

// noteEnd judges a worker by the end of a run.
func (c *Cell) noteEnd(r *run, how End) {
	h := &r.worker.health
	switch how {
	case EndDone:
		r.task.step.job.anyDone = true
		h.failedWorks = h.failedWorks[:0]
		h.quarantines, h.stalls = 0, 0
		if r.activeAt != 0 {
			r.task.step.longest = max(r.task.step.longest, c.now-r.activeAt)
		}
		c.noteSpeed(r)
		c.learnTask(r)
	case EndFailed:
		c.noteFailure(r)
	}
}

// noteSpeed compares the run time of a task with that of its like elsewhere.
func (c *Cell) noteSpeed(r *run) {
	s := r.task.step
	expected := c.taskTime(s)
	if r.base > 0 || r.activeAt == 0 || expected <= 0 || s.spec.Opportunistic {
		return
	}
	ratio := min(float64(c.now-r.activeAt)/float64(expected), maxSlowness)
	h := &r.worker.health
	h.slow += slownessWeight * (ratio - 1 - h.slow)
	h.slowSampleSeen = true
}

// noteFailure counts a failed run against its worker. Runs of one work count once.
// A work that fails on several workers and has never succeeded is at fault itself.
func (c *Cell) noteFailure(r *run) {
	j, h := r.task.step.job, &r.worker.health
	if !slices.Contains(j.failedOn, r.worker.info.ID) {
		j.failedOn = append(j.failedOn, r.worker.info.ID)
	}
	if len(j.failedOn) >= suspectAfter && !j.anyDone {
		c.exonerate(j)
		return
	}
	if slices.Contains(h.failedWorks, j.spec.Id) {
		return
	}
	h.failedWorks = append(h.failedWorks, j.spec.Id)
	if len(h.failedWorks) < failuresToQuarantine {
		return
	}
	h.failedWorks = h.failedWorks[:0]
	if c.mayQuarantine(r.worker) {
		h.failingUntil = max(h.failingUntil, c.now+min(minQuarantine<<h.quarantines, maxQuarantine))
		h.quarantines = min(h.quarantines+1, maxQuarantines)
	}
}

// maxQuarantines bounds the doubling of the quarantine.
const maxQuarantines = 4

// exonerate takes the failures of a work off the workers that they were counted
// against.
func (c *Cell) exonerate(j *job) {
	for _, id := range j.failedOn {
		if w := c.workers[id]; w != nil {
			w.health.failedWorks = slices.DeleteFunc(w.health.failedWorks, func(other string) bool { return other == j.spec.Id })
		}
	}
}

// mayQuarantine reports whether one more worker of the pool may be closed.
func (c *Cell) mayQuarantine(w *worker) bool {
	pool, closed := 0, 0
	for _, other := range c.fleet {
		if other.info.Pool != w.info.Pool {
			continue
		}
		pool++
		if other.health.quarantined(c.now) && other != w {
			closed++
		}
	}
	return closed == 0 || float64(closed+1) <= maxQuarantinedShare*float64(pool)
}

// noteUnanswered keeps tasks away from a worker that does not answer orders.
func (c *Cell) noteUnanswered(w *worker) { w.health.pause(c.now, unansweredPause) }

// noteRefused keeps tasks away from a worker that calls itself unhealthy.
func (c *Cell) noteRefused(w *worker) { w.health.pause(c.now, refusedPause) }

// watchProgress moves runs that stand still, while the worker itself answers.
func (c *Cell) watchProgress() {
	for _, w := range c.fleet {
		if w.silentSince != 0 || !w.fenced || w.gone {
			continue
		}
		for _, r := range append([]*run(nil), w.runs...) {
			if c.stalled(r) {
				r.task.bad = append(r.task.bad, w)
				w.health.noteStall(c.now)
				c.stopRun(r, "its progress stands still")
			}
		}
	}
}

func (c *Cell) stalled(r *run) bool {
	s := r.task.step
	if r.phase != runActive || s.spec.LongRunning || s.spec.Opportunistic || r.discard {
		return false
	}
	if s.spec.Gang && r.percent == r.base && c.now-r.activeAt < c.opts.GangTimeout {
		return false
	}
	if s.spec.Gang && r.percent >= donePercent {
		return false // it has done its part and waits for the other members
	}
	return c.standsStill(r, c.stallLimit(r))
}

// stallLimit returns how long a run may show no progress. One that has not begun may
// be loading its checkpoint, unless others on its worker stand still too.
func (c *Cell) stallLimit(r *run) time.Duration {
	limit := stallAfter
	if r.percent == r.base && c.now >= r.worker.health.stalledUntil {
		limit = slowStartAfter + c.opts.RestoreTime
	}
	return max(limit, c.taskTime(r.task.step)*stalledPercents/100)
}
