package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// startGang starts a gang with one member on each of two workers and returns these.
func startGang(sim *simulation) (first, second *fakeWorker) {
	sim.t.Helper()
	first, second = sim.addWorker("w1", smallWorker), sim.addWorker("w2", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	step := tasksOf(2, 3000)
	step.Gang, step.Size.CpuMillis = true, smallWorker.CPUMillis
	sim.submit(oneStep(1, "quotes", step))
	sim.awaitGang(first, second)
	return first, second
}

// awaitGang waits until both members of the gang run.
func (sim *simulation) awaitGang(first, second *fakeWorker) {
	sim.t.Helper()
	sim.runUntil(20*time.Second, "the gang runs", func() bool { return len(first.runs) == 1 && len(second.runs) == 1 })
}

// failMember ends the member of the gang on a worker as failed.
func (f *fakeWorker) failMember() {
	for _, name := range sortedKeys(f.runs) {
		f.end(name, EndFailed)
	}
}

// checkNotFailed fails the test if the gang counts as failed.
func (sim *simulation) checkNotFailed(attempts int) {
	sim.t.Helper()
	if state := sim.state(workID(1)); state == api.WorkStateFailed {
		sim.t.Errorf("the gang counts as failed after %d failed attempts, allowed are %d", attempts, sim.config.Queues["quotes"].MaxAttempts)
	}
}

// Guards against an attempt of a gang that counts twice because two of its members fail and the
// owner is replaced in between.
func TestFailedAttemptOfAGangCountsOnceAcrossOwners(t *testing.T) {
	sim := newSimulation(t, 1)
	first, second := startGang(sim)
	const attempts = 2
	for range attempts {
		sim.awaitGang(first, second)
		second.unresponsive = true
		first.failMember()
		second.failMember()
		sim.runFor(500 * time.Millisecond)
		sim.startOwner()
		second.unresponsive = false
		sim.runFor(500 * time.Millisecond)
	}
	sim.checkNotFailed(attempts)
	sim.runUntilCompleted(20*time.Second, 1)
}

// Guards against an attempt of a gang that counts twice because the failure of a member is
// reported after that of the next attempt.
func TestLateFailureOfAGangMemberCountsOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	first, second := startGang(sim)
	second.unresponsive = true
	first.failMember()
	second.failMember()
	third := sim.addWorker("w3", smallWorker)
	sim.updateWorkers()
	sim.awaitGang(first, third)
	first.failMember()
	sim.runFor(500 * time.Millisecond)
	second.unresponsive = false
	sim.runFor(time.Second)
	sim.checkNotFailed(2)
	sim.runUntilCompleted(30*time.Second, 1)
}
