package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// clockAhead is the reading of a worker's clock before it restarts in these tests. On the
// clock of the next incarnation a lease of the previous one ends that much later.
const clockAhead = 65 * time.Second

// restartUnseen restarts the process of a worker under its ID, before the list of workers
// shows it.
func restartUnseen(sim *simulation, f *fakeWorker, downFor time.Duration) {
	f.exitProcess()
	sim.runFor(downFor)
	f.restart()
}

// newSimulationWithRestart returns a simulation whose only worker, w1, has just restarted
// under its ID, which the owner does not know.
func newSimulationWithRestart(t *testing.T) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(clockAhead)
	restartUnseen(sim, f, 100*time.Millisecond)
	return sim, f
}

// standing returns a work with one long-running task.
func standing(n int) *api.WorkSpec {
	step := tasksOf(1, 0)
	step.LongRunning = true
	return oneStep(n, "quotes", step)
}

// Guards against a task that is started elsewhere while it runs on a worker that had
// restarted under its ID before the owner knew of it.
func TestRunThatTheNextIncarnationHasTakenIsKept(t *testing.T) {
	for _, listed := range []bool{true, false} { // whether the list or a report shows the restart first
		sim, f := newSimulationWithRestart(t)
		sim.submit(oneStep(1, "quotes", tasksOf(2, 2000)))
		sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 2 })
		sim.addWorker("w2", smallWorker)
		if listed {
			sim.updateWorkers()
		}
		sim.runFor(time.Second)
		sim.updateWorkers()
		sim.runUntilCompleted(10*time.Second, 1)
		for task, seen := range sim.observations {
			if seen.starts != 1 {
				t.Errorf("listed %v: %d starts of %s", listed, seen.starts, task)
			}
		}
	}
}

// Guards against a second start of a task that ended as done on a worker which had restarted
// under its ID before the owner knew of it.
func TestEndOnTheNextIncarnationCounts(t *testing.T) {
	sim, f := newSimulationWithRestart(t)
	sim.submit(oneStep(1, "quotes", tasksOf(1, 10)))
	sim.runUntil(time.Second, "ended", func() bool { return len(f.ends) == 1 })
	sim.addWorker("w2", smallWorker)
	f.unresponsive = true // the list shows the restart before its first report does
	sim.updateWorkers()
	sim.runFor(300 * time.Millisecond)
	f.unresponsive = false
	sim.runUntilCompleted(10*time.Second, 1)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a next owner that declares a run lost whose worker had restarted under its
// ID before the earlier owner knew of it.
func TestRunThatTheNextIncarnationHasTakenOutlivesTheOwner(t *testing.T) {
	sim, f := newSimulationWithRestart(t)
	sim.submit(standing(1))
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.cell = nil
	sim.runFor(500 * time.Millisecond)
	sim.addWorker("w2", smallWorker)
	sim.startOwner()
	sim.runFor(20 * time.Second)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a poll that gives a restarted worker a lease on the clock of its earlier
// incarnation, which outlasts what the owner reckons with.
func TestPollDoesNotRepeatALeaseOnTheEarlierClock(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runFor(clockAhead)
	restartUnseen(sim, f, 100*time.Millisecond)
	sim.runFor(200 * time.Millisecond) // polls of the earlier incarnation are repeated
	sim.updateWorkers()
	sim.submit(standing(2))
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 2 })
	if held := time.Duration(f.leaseUntil-f.clock()) * time.Millisecond; held > testLease {
		t.Errorf("the worker holds a lease of %v, want at most %v", held, testLease)
	}
}

// Guards against tasks of one worker that run on while another one has them: it restarts under
// its ID, takes many tasks and is cut off while it holds a lease from a repeated poll.
func TestTasksOfARestartedAndCutOffWorkerDoNotRunTwice(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runFor(clockAhead)
	restartUnseen(sim, f, 150*time.Millisecond)
	sim.runFor(200 * time.Millisecond) // polls of the earlier incarnation are repeated
	sim.updateWorkers()
	const tasks = 12
	step := tasksOf(tasks, 4000)
	step.Size = api.Resources{CpuMillis: smallWorker.CPUMillis / 20, MemoryMb: smallWorker.MemoryMB / 20}
	sim.submit(oneStep(2, "quotes", step))
	sim.runUntil(time.Second, "started", func() bool { return sim.countRuns(workID(2)) == tasks })
	sim.runFor(400 * time.Millisecond)
	f.unresponsive = true
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	// The fake workers check that no task runs twice.
	sim.runUntil(LeaseBound(testLease)+time.Second, "started elsewhere", func() bool { return len(other.runs) > 0 })
	sim.runFor(testMaxLease)
	done := 0
	for _, e := range f.ends {
		if e.Outcome == EndDone {
			done++
		}
	}
	if done == 0 || done == tasks {
		t.Errorf("%d of %d first runs have ended done", done, tasks)
	}
	f.unresponsive = false
	sim.runUntilCompleted(20*time.Second, 2)
}

// Guards against a task that is started elsewhere while its restarted worker is cut off and
// still holds a lease that was sent on the clock of its earlier incarnation.
func TestLeaseOnTheEarlierClockIsWaitedFor(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		sim, f := newSimulationWithRestart(t)
		sim.submit(standing(1)) // its start carries the lease
		sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
		sim.updateWorkers()
		sim.runFor(300 * time.Millisecond)
		if takeOver {
			sim.cell = nil
			sim.runFor(200 * time.Millisecond)
		}
		f.unresponsive = true
		other := sim.addWorker("w2", smallWorker)
		if takeOver {
			sim.startOwner()
		}
		sim.updateWorkers()
		// The fake workers check that the task does not run twice.
		sim.runUntil(lateCallLimit+2*testMaxLease, "restarted", func() bool { return len(other.runs) == 1 })
	}
}

// Guards against a wait for a lease that no call can have given to the next incarnation.
func TestRestartWithoutLeaseCallsDelaysNothing(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runFor(clockAhead)
	restartUnseen(sim, f, 300*time.Millisecond)
	sim.updateWorkers()
	sim.runUntil(2*time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.runFor(time.Second)
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	f.crashMachine()
	sim.runUntil(LeaseBound(testLease)+time.Second, "restarted", func() bool { return len(other.runs) == 1 })
}

// Guards against a next owner that waits too short for a worker with a lease on the clock of
// its earlier incarnation, because neither the record nor the list tells of the restart.
func TestNextOwnerWaitsForAStrayLeaseOfAnUnlistedWorker(t *testing.T) {
	sim, f := newSimulationWithRestart(t)
	sim.submit(standing(1)) // its start carries the lease
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.updateWorkers()
	sim.runFor(300 * time.Millisecond)
	sim.submit(standing(2)) // placed while the lease is in force
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 2 })
	f.unresponsive = true
	sim.runFor(3100 * time.Millisecond)
	f.listed = false
	sim.cell = nil
	sim.runFor(200 * time.Millisecond)
	other := sim.addWorker("w2", smallWorker)
	sim.startOwner()
	// The fake workers check that no task runs twice.
	sim.runUntil(2*lateCallLimit+2*testMaxLease, "restarted", func() bool { return len(other.runs) == 2 })
}

// Guards against a start that is repeated after the time for which this owner grants leases, so that a next owner does not wait for the lease which a restarted worker takes from it.
func TestStartIsNotRepeatedAfterTheLeaseLimit(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(standing(1), func(bool, error) {})
	h.passUntilStart()
	h.SetLeaseLimit(h.now)
	sent := len(h.starts)
	for range 50 {
		h.pass(simTick)
	}
	if n := len(h.starts) - sent; n > 0 {
		t.Errorf("%d more tries are sent", n)
	}
	h.SetLeaseLimit(2 * time.Hour)
	for range 100 {
		h.pass(simTick)
	}
	if len(h.starts) == sent {
		t.Error("no try is sent after the next commit")
	}
}
