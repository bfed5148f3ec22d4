package cell

import (
	"fmt"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// addWorkers adds small workers named w0, w1 and so on.
func (sim *simulation) addWorkers(count int) {
	for n := range count {
		sim.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
}

// runUntilCompleted runs the simulation until work n is completed, and fails the test if that
// takes longer than a limit.
func (sim *simulation) runUntilCompleted(limit time.Duration, n int) {
	sim.t.Helper()
	sim.runUntil(limit, "completed", func() bool { return sim.state(workID(n)) == api.WorkStateCompleted })
}

// runUntilStartUnanswered runs the simulation until a call for a start on a worker has ended
// without an answer, and fails the test if that takes longer than a limit.
func (sim *simulation) runUntilStartUnanswered(limit time.Duration, worker string) {
	sim.t.Helper()
	sim.runUntil(limit, "start unanswered", func() bool { return len(sim.cell.workers[worker].unansweredStarts) > 0 })
}

// lateStart returns the start of a run as it was sent, to be carried out late.
func lateStart(r *run) *Start {
	return &Start{Worker: r.worker.ref(), Task: r.task.id(), Attempt: r.attempt, LeaseUntil: r.worker.leaseUntil}
}
