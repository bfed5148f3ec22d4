package cell

import (
	"testing"
	"time"
)

// Guards against a task that runs twice, because its worker has restarted and holds a longer lease
// than an owner knows, by a late call of the earlier owner to the earlier incarnation.
func TestLateLeaseOfAnEarlierOwnerLetsNoTaskRunTwice(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(clockAhead)
	sim.latePolls, sim.lateBy = 1, 800*time.Millisecond
	sim.runUntil(clockRefreshInterval+time.Second, "polled", func() bool { return sim.latePolls == 0 })
	sim.kill()
	sim.runFor(networkDelay)
	f.exitProcess()
	f.restart()
	sim.runFor(900 * time.Millisecond)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	f.unresponsive = true
	sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	sim.runFor(15 * time.Second) // the fake workers check that the task does not run twice
}
