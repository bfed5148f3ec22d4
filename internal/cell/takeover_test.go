package cell

import (
	"testing"
	"time"
)

// Guards against long-running tasks that stay away after the loss of their worker and, soon
// after it, of the owner, because the next owner waits for leases that nobody has granted.
func TestLongRunningTaskReturnsSoonAfterLossOfWorkerAndOwner(t *testing.T) {
	const returnLimit = 9 * time.Second // after the loss of the worker
	for _, ownerLostAfter := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		sim := newSimulation(t, 1)
		f := sim.addWorker("w1", smallWorker)
		sim.startOwner()
		sim.submit(standing(1))
		sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
		sim.runFor(10 * time.Second)
		other := sim.addWorker("w2", smallWorker)
		sim.updateWorkers()
		f.crashMachine()
		lost := sim.now
		sim.runFor(ownerLostAfter)
		sim.cell = nil
		sim.runFor(300 * time.Millisecond)
		sim.startOwner()
		sim.runUntil(20*time.Second, "running again", func() bool { return len(other.runs) == 1 })
		if away := sim.now - lost; away > returnLimit {
			t.Errorf("owner lost after %v: away for %v, want at most %v", ownerLostAfter, away, returnLimit)
		}
	}
}

// Guards against a new owner that starts a task again whose end a worker would report, since
// the leases of the earlier owner have expired long ago.
func TestEndsAreReadBeforeRunsOfAnEarlierOwnerAreLost(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 600)))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.addWorker("w2", smallWorker)
	sim.cell = nil
	sim.runFor(20 * time.Second) // the task ends
	sim.startOwner()
	sim.runFor(10 * time.Second)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a next owner that forgets the runs and ends of an occurrence, and starts its
// tasks again, because by its time of day the occurrence is not due yet.
func TestOccurrenceInProgressOutlivesAStepOfTheClock(t *testing.T) {
	const step = 4 * time.Second
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	spec := oneStep(1, "quotes", tasksOf(1, 4000))
	spec.RepeatCount, spec.IntervalMs = 2, 60000
	spec.StartAtUnixMs = int(sim.wall.Add(step).UnixMilli())
	sim.submit(spec)
	sim.runFor(500 * time.Millisecond)
	sim.wall = sim.wall.Add(step)
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(200 * time.Millisecond)
	sim.wall = sim.wall.Add(-step)
	sim.takeOver()
	sim.runFor(10 * time.Second)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a run that counts as lost because its owner was replaced before it sent the
// start.
func TestRunThatWasNeverSentIsNotLost(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(2, 300)))
	sim.runUntil(time.Second, "recorded", func() bool { return len(sim.progress[workID(1)]) > 0 })
	sim.takeOver()
	sim.lateCallShare = 0
	sim.runUntilCompleted(5*time.Second, 1)
	if n := sim.cell.stats.Lost.Total(); n > 0 {
		t.Errorf("%d runs are lost", n)
	}
}
