package cell

import "time"

// Evacuation of workers that will leave.
const (
	evacuateInterval = 100 * time.Millisecond // between two looks at a leaving worker
	leaveMargin      = 300 * time.Millisecond // a run that would end so close to the departure is moved
	unknownStay      = 2 * time.Second        // assumed for a worker that does not say when it leaves
)

// evacuate moves runs off workers that will leave before the runs end. Long-running
// tasks are moved as their disruption budget allows; they would be cut by the
// departure otherwise.
func (c *Cell) evacuate() {
	for _, w := range c.fleet {
		if !w.info.Draining || w.gone || w.silentSince != 0 || c.now-w.evacuatedAt < evacuateInterval {
			continue
		}
		w.evacuatedAt = c.now
		leaves := w.leavesAt
		if leaves == 0 {
			leaves = w.drainAt + unknownStay
		}
		for _, r := range append([]*run(nil), w.runs...) {
			if r.phase == runActive && c.shouldEvacuate(r, leaves) {
				c.stopRun(r, "its worker will leave")
			}
		}
	}
}

func (c *Cell) shouldEvacuate(r *run, leaves time.Duration) bool {
	s := r.task.step
	switch {
	case s.spec.Gang, r.discard:
		return false
	case s.spec.LongRunning:
		return c.away(s) < s.spec.DisruptionBudget && c.hasRoomElsewhere(s, r.worker)
	case s.spec.Checkpoints:
		return c.expectedEnd(r) > leaves-leaveMargin
	}
	// Without a checkpoint the work so far is lost, so the run stays while it may
	// still end in time.
	return c.expectedEnd(r) > leaves+(leaves-r.activeAt)/2 && c.hasRoomElsewhere(s, r.worker)
}

// away counts the tasks of a long-running step that are not at work.
func (c *Cell) away(s *step) int {
	n := 0
	for i := range s.tasks {
		atWork := false
		for _, r := range s.tasks[i].runs {
			atWork = atWork || r.phase == runActive && r.percent == 100
		}
		if !atWork {
			n++
		}
	}
	return n
}

// hasRoomElsewhere reports whether another worker could take a task of the step.
func (c *Cell) hasRoomElsewhere(s *step, from *worker) bool {
	found := false
	c.eachCandidate(s, func(w *worker, _ string, _ bool) {
		found = found || w != from && c.suits(s, w) && c.roomFor(s, w)
	})
	return found
}
