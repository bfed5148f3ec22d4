package cell

import (
	"testing"
	"time"
)

// Guards against a next owner that gives an attempt the number of a copy that has ended while the
// original run went on.
func TestNumberOfAnEndedCopyIsNotUsedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	original := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	step := tasksOf(1, 5000)
	step.Speculative = true
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(time.Second, "running", func() bool { return len(original.runs) == 1 })
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	original.unresponsive = true
	sim.runUntil(3*time.Second, "copied", func() bool { return len(other.runs) == 1 })
	task := workID(1) + ".0.0.0"
	ended := other.runs[task].attempt
	other.draining = true // so that no other copy is placed
	sim.updateWorkers()
	other.end(task, EndFailed)
	sim.runUntil(2*time.Second, "the failure is recorded", func() bool { return len(other.ends) == 0 })
	sim.startOwner()
	third := sim.addWorker("w3", smallWorker)
	sim.updateWorkers()
	var next *fakeRun
	sim.runUntil(30*time.Second, "running again", func() bool {
		for _, f := range []*fakeWorker{other, third} {
			if r := f.runs[task]; r != nil {
				next = r
			}
		}
		return next != nil
	})
	if next.attempt <= ended {
		t.Errorf("the next attempt has number %d, the copy that has ended had %d", next.attempt, ended)
	}
}
