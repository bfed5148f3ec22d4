package cell

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a task that is started elsewhere while a start of it without a ticket, which is
// carried out seconds after its call has ended, may still reach a later incarnation of its worker.
func TestLateStartWithoutATicketRunsBesideNoOtherRun(t *testing.T) {
	for _, restartsBefore := range []int{0, 1} { // before the worker confirms the stop of the start
		t.Run(fmt.Sprint(restartsBefore), func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", smallWorker)
			sim.startOwner()
			sim.runFor(clockAhead)
			sim.lateStarts, sim.lateBy = 1, 9*time.Second
			sim.submit(oneStep(1, "quotes", tasksOf(1, 20000)))
			sim.runUntil(time.Second, "start unanswered", func() bool { return len(sim.cell.workers["w1"].unansweredStarts) > 0 })
			sim.addWorker("w2", smallWorker)
			f.draining = true // so that the task starts on w2, if it does
			for range restartsBefore {
				f.exitProcess()
				f.restart()
			}
			sim.updateWorkers()
			sim.runFor(5 * time.Second)
			f.exitProcess()
			f.restart()
			sim.updateWorkers()
			f.unresponsive = true // but carries the late start out
			// The fake workers check that the task does not run twice.
			sim.runFor(5 * time.Second)
		})
	}
}
