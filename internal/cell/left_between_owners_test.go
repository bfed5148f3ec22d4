package cell

import (
	"testing"
	"time"
)

// Guards against tasks that wait for the lease of a draining worker to expire, because it has
// left while no owner watched the list of workers.
func TestWorkerThatHasLeftBetweenTwoOwnersIsGone(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 1 })
	other := sim.addWorker("w2", smallWorker)
	f.draining = true
	sim.updateWorkers()
	sim.runFor(time.Second)
	sim.release()
	f.crashMachine()
	f.listed = false
	sim.runFor(200 * time.Millisecond)
	sim.startOwner()
	began := sim.now
	sim.cell.WorkersDraining([]WorkerRef{f.info().WorkerRef})
	sim.cell.WorkersDeparted([]WorkerRef{f.info().WorkerRef})
	sim.updateWorkers()
	sim.runUntil(20*time.Second, "restarted", func() bool { return len(other.runs) == 1 })
	if took := sim.now - began; took > time.Second {
		t.Errorf("restarted %v after the takeover", took)
	}
}

// Guards against a second run of a task whose draining worker answers no more and has dropped off
// the list between two owners, but has not taken itself off.
func TestDrainingWorkerThatIsCutOffBetweenTwoOwnersHasNotLeft(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 1 })
	other := sim.addWorker("w2", smallWorker)
	f.draining = true
	sim.updateWorkers()
	sim.runFor(time.Second)
	sim.release()
	f.unresponsive, f.listed = true, false
	sim.runFor(200 * time.Millisecond)
	sim.startOwner()
	sim.cell.WorkersDraining([]WorkerRef{f.info().WorkerRef})
	sim.updateWorkers()
	sim.runUntil(20*time.Second, "restarted", func() bool { return len(other.runs) == 1 }) // the fake workers check that it does not run twice
}

// Guards against a worker that counts as draining by the record of an earlier owner although its
// entry says otherwise.
func TestEntryOfAWorkerPrecedesTheRecordThatItDrains(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.updateWorkers()
	sim.cell.WorkersDraining([]WorkerRef{f.info().WorkerRef})
	if sim.cell.workers["w1"].info.Draining {
		t.Error("the worker drains")
	}
}
