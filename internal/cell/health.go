package cell

import (
	"slices"
	"time"
)

// Health of workers, as seen from the runs on them.
const (
	failuresToQuarantine = 2                       // consecutive failed runs, of different works
	minQuarantine        = 2 * time.Second         // first quarantine
	maxQuarantine        = 20 * time.Second        // longest quarantine
	maxQuarantinedShare  = 0.3                     // of a pool; if more workers fail, the works are taken to be the cause
	workFaultWorkers     = 2                       // a work without a done run that fails on this many workers is taken to be the cause
	stallAfter           = 1200 * time.Millisecond // a run without progress for this time is moved
	slowStartAfter       = 1500 * time.Millisecond // the same before its first progress, to allow for a slow start; RestoreTime is added
	stallPercents        = 3                       // a run may show no progress for this percentage of its expected run time
	stallPause           = 1500 * time.Millisecond // no new tasks on a worker after a stalled run; doubled for each consecutive stall
	maxStallDoublings    = 2
	unansweredPause      = time.Second            // no new tasks on a worker that did not answer start commands
	unhealthyPause       = 500 * time.Millisecond // no new tasks on a worker that refused a start as unhealthy
	slowdownWeight       = 0.2                    // weight of a new run in the smoothed slowdown of a worker
	maxSlowdownRatio     = 5.0                    // bound of the ratio of actual to expected run time of a run
)

// donePercent is the progress of a gang member that has finished its part. The members
// end together once all have finished.
const donePercent = 100

// health holds the failures, pauses and speed of a worker.
type health struct {
	failedWorks      []string      // works of the consecutive failed runs
	quarantines      int           // doublings of the next quarantine; 0 after a done run
	quarantinedUntil time.Duration // end of the quarantine
	pausedUntil      time.Duration // end of a pause: no new tasks are placed
	stalledUntil     time.Duration // end of the pause after a stalled run
	stallPauses      int           // pauses after stalled runs since the last done run
	slowdown         float64       // smoothed ratio of actual to expected run times, minus 1
	hasSlowdown      bool
}

func (h *health) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

func (h *health) paused(now time.Duration) bool { return now < h.pausedUntil }

func (h *health) pause(now, d time.Duration) { h.pausedUntil = max(h.pausedUntil, now+d) }

// pauseStalled pauses a worker on which a run has stalled. Runs that stall during the
// pause do not extend it.
func (h *health) pauseStalled(now time.Duration) {
	if now < h.stalledUntil {
		return
	}
	h.stalledUntil = now + stallPause<<min(h.stallPauses, maxStallDoublings)
	h.stallPauses++
	h.pause(now, h.stalledUntil-now)
}

// runTimeFactor returns the factor by which tasks take longer on the worker, at least 1.
func (h *health) runTimeFactor() float64 {
	if !h.hasSlowdown {
		return 1
	}
	return max(1, 1+h.slowdown)
}

// recordRunEnd updates the health of a worker and the run time models after the end of a
// run.
func (c *Cell) recordRunEnd(r *run, outcome End) {
	h := &r.worker.health
	switch outcome {
	case EndDone:
		r.task.step.work.anyRunDone = true
		h.failedWorks = h.failedWorks[:0]
		h.quarantines, h.stallPauses = 0, 0
		if r.activeAt != 0 {
			r.task.step.longestRun = max(r.task.step.longestRun, c.now-r.activeAt)
		}
		if _, known := c.runTime(r); !known {
			r.task.step.untimedTasks = true
		}
		c.updateSlowdown(r)
		c.recordTaskTime(r)
	case EndFailed:
		c.recordFailure(r)
	}
}

// updateSlowdown compares the time of a done run with the predicted run time.
func (c *Cell) updateSlowdown(r *run) {
	s := r.task.step
	expected := c.taskTime(s)
	took, known := c.runTime(r)
	if !known || expected <= 0 || s.spec.Opportunistic {
		return
	}
	ratio := min(float64(took)/float64(expected), maxSlowdownRatio)
	h := &r.worker.health
	h.slowdown += slowdownWeight * (ratio - 1 - h.slowdown)
	h.hasSlowdown = true
}

// recordFailure counts a failed run against its worker and may quarantine the worker.
// Consecutive failures of one work count once. A work that fails on several workers
// without a done run is taken to be the cause itself.
func (c *Cell) recordFailure(r *run) {
	aw, h := r.task.step.work, &r.worker.health
	if !slices.Contains(aw.failedOn, r.worker.info.ID) {
		aw.failedOn = append(aw.failedOn, r.worker.info.ID)
	}
	if len(aw.failedOn) >= workFaultWorkers && !aw.anyRunDone {
		c.clearFailures(aw)
		return
	}
	if slices.Contains(h.failedWorks, aw.spec.Id) {
		return
	}
	h.failedWorks = append(h.failedWorks, aw.spec.Id)
	if len(h.failedWorks) < failuresToQuarantine {
		return
	}
	h.failedWorks = h.failedWorks[:0]
	if c.mayQuarantine(r.worker) {
		h.quarantinedUntil = max(h.quarantinedUntil, c.now+min(minQuarantine<<h.quarantines, maxQuarantine))
		h.quarantines = min(h.quarantines+1, maxQuarantineDoublings)
	}
}

// maxQuarantineDoublings bounds the number of doublings of a quarantine.
const maxQuarantineDoublings = 4

// clearFailures removes the failures of a work from the health of its workers.
func (c *Cell) clearFailures(aw *activeWork) {
	for _, id := range aw.failedOn {
		if w := c.workers[id]; w != nil {
			w.health.failedWorks = slices.DeleteFunc(w.health.failedWorks, func(other string) bool { return other == aw.spec.Id })
		}
	}
}

// mayQuarantine reports whether one more worker of the pool may be quarantined.
func (c *Cell) mayQuarantine(w *worker) bool {
	total, quarantined := 0, 0
	for _, other := range c.fleet {
		if other.info.Pool != w.info.Pool {
			continue
		}
		total++
		if other.health.quarantined(c.now) && other != w {
			quarantined++
		}
	}
	return quarantined == 0 || float64(quarantined+1) <= maxQuarantinedShare*float64(total)
}

// pauseUnresponsive pauses a worker that does not answer start commands.
func (c *Cell) pauseUnresponsive(w *worker) { w.health.pause(c.now, unansweredPause) }

// pauseUnhealthy pauses a worker that has refused a start as unhealthy.
func (c *Cell) pauseUnhealthy(w *worker) { w.health.pause(c.now, unhealthyPause) }

// stopStalledRuns stops runs without progress on workers that respond, so that their
// tasks are placed elsewhere.
func (c *Cell) stopStalledRuns() {
	for _, w := range c.fleet {
		if w.unresponsiveSince != 0 || !w.fenced || w.ended {
			continue
		}
		for _, r := range append([]*run(nil), w.runs...) {
			if c.stalled(r) {
				r.task.avoid(w)
				w.health.pauseStalled(c.now)
				c.stopRun(r, "the run makes no progress")
			}
		}
	}
}

func (c *Cell) stalled(r *run) bool {
	s := r.task.step
	if r.phase != runActive || s.spec.LongRunning || s.spec.Opportunistic || r.redundant {
		return false
	}
	if s.spec.Gang && r.percent == r.startPercent && c.now-r.activeAt < c.opts.GangTimeout {
		return false
	}
	if s.spec.Gang && r.percent >= donePercent {
		return false // the member has finished its part and waits for the others
	}
	// Most runs have shown progress lately. For these the limit is not computed.
	return c.noProgressFor(r, stallAfter) && c.noProgressFor(r, c.stallLimit(r))
}

// stallLimit returns how long a run may show no progress. A run without any progress yet
// gets more time, as it may be restoring its checkpoint, unless its worker is paused
// because of a stalled run. The limit grows with the predicted total run time, which the
// time that the run has already lasted extends.
func (c *Cell) stallLimit(r *run) time.Duration {
	limit := stallAfter
	if r.percent == r.startPercent && c.now >= r.worker.health.stalledUntil {
		limit = slowStartAfter + c.opts.RestoreTime
	}
	elapsed := c.now - r.activeAt
	return max(limit, (elapsed+c.remainingTime(r, elapsed))*stallPercents/100)
}
