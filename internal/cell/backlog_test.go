package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a backlog without works whose starts no worker has carried out.
func TestUnansweredStartLeavesTheWorkInTheBacklog(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	f.unresponsive = true
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.runFor(3 * time.Second)
	if b := sim.cell.Backlog(); len(b) != 1 || b[0].Waiting != 1 {
		t.Errorf("backlog %+v with one accepted work that has not started", b)
	}
	if s := sim.state(workID(1)); s != api.WorkStateQueued {
		t.Errorf("state %s of a work that has not started", s)
	}
	f.unresponsive = false
	sim.runUntilCompleted(10*time.Second, 1)
	if b := sim.cell.Backlog(); len(b) != 0 {
		t.Errorf("backlog %+v without an unfinished work", b)
	}
}

// Guards against a work with a done task in the backlog, if the start and its run were lost to the owner.
func TestLateEndTakesTheWorkOutOfTheBacklog(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(6 * time.Second)
	sim.answerLossShare = 1
	step := tasksOf(2, 300)
	step.MaxPerWorker = 1
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(time.Second, "start carried out", func() bool { return sim.runningTasks() == 1 })
	f.unresponsive = true
	sim.runFor(testLease + 4*time.Second)
	sim.answerLossShare = 0
	f.unresponsive, f.stalled = false, true
	sim.runUntil(2*time.Second, "one task done", func() bool { return sim.cell.stats.Done == 1 })
	if b := sim.cell.Backlog(); len(b) != 0 {
		t.Errorf("backlog %+v with a done task", b)
	}
}

// Guards against a state that changes from running back to queued at a takeover.
func TestStateStaysRunningOverTakeovers(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	f.unresponsive = true
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.runFor(time.Second)
	for n := range 3 {
		sim.startOwner()
		sim.runFor(13 * time.Second) // the leases of the earlier owner end, and with them the run
		if s := sim.state(workID(1)); s != api.WorkStateRunning {
			t.Errorf("state %s after takeover %d", s, n+1)
		}
	}
}
