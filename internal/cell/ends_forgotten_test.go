package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// completeTasks runs n short tasks on the only worker, until their ends are acknowledged.
func completeTasks(sim *simulation, work, n int) {
	sim.t.Helper()
	sim.submit(oneStep(work, "quotes", tasksOf(n, 50)))
	sim.runUntil(5*time.Second, "completed", func() bool { return sim.state(workID(work)) == api.WorkStateCompleted })
	sim.runFor(time.Second)
}

// checkStartedOnce checks that each task of a work was started once.
func checkStartedOnce(sim *simulation, work int) {
	sim.t.Helper()
	sim.runUntil(30*time.Second, "completed", func() bool { return sim.state(workID(work)) == api.WorkStateCompleted })
	for task, seen := range sim.observations {
		if id, _ := parseTaskName(task); id.Work == workID(work) && seen.starts != 1 {
			sim.t.Errorf("%d starts of %s", seen.starts, task)
		}
	}
}

// Guards against a poll, meant for the earlier incarnation of a worker and carried out late, that makes the next one forget ends unread.
func TestLatePollForgetsNoEndOfTheNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	completeTasks(sim, 1, 3)
	f.exitProcess()
	sim.submit(standing(2)) // so that the worker is polled
	sim.runFor(100 * time.Millisecond)
	f.restart()
	sim.latePolls, sim.lateBy = 2, 6*time.Second
	sim.runUntil(time.Second, "two polls late", func() bool { return sim.latePolls == 0 })
	sim.updateWorkers()
	sim.runFor(time.Second)
	sim.submit(oneStep(3, "quotes", tasksOf(3, 1500)))
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) >= 3 })
	f.unresponsive = true
	sim.runFor(5 * time.Second) // the tasks end, and the late calls are carried out
	f.unresponsive = false
	checkStartedOnce(sim, 3)
}

// Guards against a poll with the acknowledgments of the earlier incarnation that is sent to the next one before its restart is known.
func TestPollForgetsNoEndOfAnUnknownIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	completeTasks(sim, 1, 3)
	sim.submit(standing(2)) // so that the worker is polled
	sim.runFor(time.Second)
	sim.commitTime = 700 * time.Millisecond
	sim.submit(oneStep(3, "quotes", tasksOf(3, 1)))
	sim.runUntil(time.Second, "placed", func() bool { return len(sim.cell.fleet[0].runs) == 4 })
	restartUnseen(sim, f, 650*time.Millisecond) // the starts come before the next poll
	checkStartedOnce(sim, 3)
}

// Guards against a start, received by the earlier incarnation of a worker and carried out by the next one, of a task whose end as done was acknowledged.
func TestLateStartRunsNoTaskWhoseEndWasAcknowledged(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.lateStarts, sim.lateBy = 1, 5*time.Second
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.runFor(2 * time.Second)
	restartUnseen(sim, f, 100*time.Millisecond)
	sim.runFor(10 * time.Second) // the list does not show the restart; the fake worker checks its starts
}
