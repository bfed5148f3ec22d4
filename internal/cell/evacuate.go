package cell

import "time"

// Evacuation of draining workers.
const (
	evacuateInterval   = 100 * time.Millisecond // between checks of a draining worker
	leaveMargin        = 300 * time.Millisecond // a run that would end this close to the departure is moved
	defaultTimeToLeave = 2 * time.Second        // for a worker that does not announce when it leaves
)

// evacuate stops runs on draining workers that would leave before the runs end, so that
// their tasks are placed elsewhere. Long-running tasks, which the departure would cut
// off, are moved within their disruption budget.
func (c *Cell) evacuate() {
	for _, w := range c.fleet {
		if !w.info.Draining || w.ended || w.unresponsiveSince != 0 || c.now-w.evacuationCheckedAt < evacuateInterval {
			continue
		}
		w.evacuationCheckedAt = c.now
		leavesAt := w.leavesAt
		if leavesAt == 0 {
			leavesAt = w.drainingSince + defaultTimeToLeave
		}
		for _, r := range append([]*run(nil), w.runs...) {
			if r.phase == runActive && c.shouldEvacuate(r, leavesAt) {
				c.stopRun(r, "its worker is draining")
			}
		}
	}
}

// requestEvacuationAdvice emits advice calls for long-running steps on draining workers that
// no ticket holder has room for. A step asks for advice only while tasks wait, so its tickets
// may be gone by now.
func (c *Cell) requestEvacuationAdvice() {
	for _, w := range c.fleet {
		if !w.info.Draining || w.ended {
			continue
		}
		for _, r := range w.runs {
			s := r.task.step
			if !s.spec.LongRunning || s.work.queue.Advice == nil || s.advice.inFlight || r.phase != runActive || c.hasRoomElsewhere(s, w) {
				continue
			}
			if !c.callForAdvice(s, c.unqueriedWorkers(s)) {
				return
			}
		}
	}
}

func (c *Cell) shouldEvacuate(r *run, leavesAt time.Duration) bool {
	s := r.task.step
	switch {
	case s.spec.Gang, r.redundant:
		return false
	case s.spec.LongRunning:
		// It could not be placed elsewhere while the requests for evacuation are not known.
		return c.evacuationsKnown() && c.countUnavailable(s) < s.spec.DisruptionBudget && c.hasRoomElsewhere(s, r.worker)
	case s.spec.Checkpoints:
		return c.expectedEnd(r) > leavesAt-leaveMargin
	}
	// Without checkpoints a move loses the progress of the run. So the run is moved only if
	// it is expected to end clearly after the departure: by more than half of the time that
	// it will have run by then.
	return c.expectedEnd(r) > leavesAt+(leavesAt-r.activeAt)/2 && c.hasRoomElsewhere(s, r.worker)
}

// countUnavailable counts the tasks of a long-running step that are not fully available.
func (c *Cell) countUnavailable(s *step) int {
	n := 0
	for i := range s.tasks {
		available := false
		for _, r := range s.tasks[i].runs {
			available = available || r.phase == runActive && r.percent == 100
		}
		if !available {
			n++
		}
	}
	return n
}

// hasRoomElsewhere reports whether another worker has room for a task of the step.
func (c *Cell) hasRoomElsewhere(s *step, from *worker) bool {
	found := false
	c.eachCandidate(s, func(w *worker, _ string, _ bool) {
		found = found || w != from && c.meetsConstraints(s, w) && c.hasRoomFor(s, w)
	})
	return found
}
