package cell

import "time"

// A long-running task is to run at all times, while a task that ends by itself can be run
// again. So a step with a long-running task that has waited for too long is starved: it may
// preempt any run that ends by itself and use quarantined workers, which may be sound again.

// starvedAfter is how long a waiting long-running task is away before its step is starved.
const starvedAfter = 2500 * time.Millisecond

// isStarved reports whether a ready step is starved.
func (c *Cell) isStarved(s *step) bool {
	if !s.spec.LongRunning {
		return false
	}
	for i := range s.tasks {
		if t := &s.tasks[i]; t.phase == taskWaiting && c.absence(t) >= starvedAfter {
			return true
		}
	}
	return false
}

// mayUse reports whether new tasks of the step may be placed on the worker.
func (c *Cell) mayUse(s *step, w *worker) bool {
	if s.starved {
		return c.isOpen(w)
	}
	return c.acceptsTasks(w)
}
