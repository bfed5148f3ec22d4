package cell

import (
	"testing"
	"time"
)

// Guards against a long-running task on a lost worker that is away for as long as owners follow each
// other, because each one waits anew for leases that the one before may have granted.
func TestLongRunningTaskReturnsFromALostWorkerWhileOwnersFollowEachOther(t *testing.T) {
	const (
		tenure    = 3 * time.Second
		waitLimit = 20 * time.Second
	)
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
	for len(other.runs) == 0 {
		if sim.now-lost > waitLimit {
			t.Fatalf("the task does not run %v after its worker was lost", sim.now-lost)
		}
		sim.cell = nil
		sim.runFor(300 * time.Millisecond)
		sim.startOwner()
		sim.runFor(tenure)
	}
	t.Logf("back after at most %v", sim.now-lost)
}
