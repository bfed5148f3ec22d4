package cell

import (
	"testing"
	"time"
)

// Guards against run times that an owner learns from the part of a run that it has seen: that of a
// run of an earlier owner counts from the takeover, and each takeover would make all predictions
// too short.
func TestRunsOfAnEarlierOwnerAreNotLearned(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	f.capacity.CPUMillis = 1000 // one task at a time
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(2, 3000)))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(2 * time.Second)
	sim.takeOver()
	sim.runUntilCompleted(20*time.Second, 1)
	// The second task has started under the new owner.
	if n := sim.cell.RunTimes().Samples(); n != 1 {
		t.Errorf("%d samples of a task and a step that an earlier owner has started, and of another task", n)
	}
	sim.submit(oneStep(2, "quotes", tasksOf(2, 1000)))
	sim.runUntilCompleted(20*time.Second, 2)
	if n := sim.cell.RunTimes().Samples(); n != 4 {
		t.Errorf("%d samples after a step of two tasks more, want 4", n)
	}
}

// Guards against the time of a step that is learned although a task has ended under an earlier
// owner, whose run time is not known.
func TestStepWithATaskDoneBeforeATakeoverIsNotLearned(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	f.capacity.CPUMillis = 1000
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(2, 1000)))
	sim.runUntil(10*time.Second, "one task is done", func() bool { return sim.cell.Stats().Done == 1 })
	f.capacity.CPUMillis = 0 // the other one waits
	sim.updateWorkers()
	sim.runUntil(10*time.Second, "idle", func() bool { return len(f.runs) == 0 })
	sim.takeOver()
	f.capacity.CPUMillis = 1000
	sim.updateWorkers()
	sim.runUntilCompleted(20*time.Second, 1)
	if n := sim.cell.RunTimes().Samples(); n > 1 {
		t.Errorf("%d samples of one task and a step of which a part was seen", n)
	}
}

// Guards against the time of a step that is learned from the rest of a run that has started from a
// checkpoint.
func TestStepWithARunFromACheckpointIsNotLearned(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	step := tasksOf(1, 3000)
	step.Checkpoints = true
	sim.submit(oneStep(1, "quotes", step))
	r := sim.runUntilRunOn(1, "w1", runActive)
	sim.runUntil(5*time.Second, "half done", func() bool { return r.percent >= 50 })
	sim.cell.stopRun(r, "test")
	sim.runUntil(5*time.Second, "started again", func() bool { next := sim.firstRun(1); return next != nil && next != r && next.startPercent > 0 })
	sim.runUntilCompleted(20*time.Second, 1)
	if n := sim.cell.RunTimes().Samples(); n != 0 {
		t.Errorf("%d samples of a run from a checkpoint", n)
	}
}
