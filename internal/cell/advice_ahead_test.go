package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against long-running tasks that stay away for one advice call after the other once
// the leases of their lost worker have expired.
func TestAdviceIsReadyWhenTheLeasesOfALostWorkerExpire(t *testing.T) {
	const (
		services    = 6 // twice as many as nodes that make long calls at a time
		returnLimit = 300 * time.Millisecond
	)
	for _, ownerLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner lost %v", ownerLost), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.queue("services", 1, &work.Advice{CallDuration: 560 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
			sim.adviceTime = 560 * time.Millisecond
			sim.adviserBusy = map[string]time.Duration{}
			f := sim.addWorker("w0", work.Resources{CPUMillis: 2 * smallWorker.CPUMillis, MemoryMB: 2 * smallWorker.MemoryMB})
			sim.startOwner()
			for n := range services {
				step := tasksOf(1, 0)
				step.LongRunning = true
				sim.submit(oneStep(n+1, "services", step))
			}
			sim.runUntil(10*time.Second, "running", func() bool { return len(f.runs) == services })
			sim.addWorker("w1", smallWorker)
			sim.addWorker("w2", smallWorker)
			sim.updateWorkers()
			f.crashMachine()
			if ownerLost {
				sim.runFor(time.Second)
				sim.cell = nil
				sim.runFor(300 * time.Millisecond)
				sim.startOwner()
			}
			sim.runUntil(10*time.Second, "lost", func() bool { return sim.cell.stats.Lost.Total() == services })
			sim.runUntil(returnLimit, "running again", func() bool { return len(sim.workers["w1"].runs)+len(sim.workers["w2"].runs) == services })
		})
	}
}

// startLostServices starts a cell of three nodes and seven workers, the first of which runs
// this many long-running tasks and is then gone. A call takes 560 ms and 8 ms for each worker.
func startLostServices(t *testing.T, services int) *simulation {
	t.Helper()
	large := work.Resources{CPUMillis: 32000, MemoryMB: 65536}
	sim := newSimulation(t, 1)
	sim.queue("services", 1, &work.Advice{CallDuration: 560 * time.Millisecond, DurationPerWorker: 8 * time.Millisecond, ValidFor: 1500 * time.Millisecond})
	sim.adviserBusy = map[string]time.Duration{}
	sim.allowedShare = 0.7
	lost := sim.addWorker("w0", large)
	sim.startOwner()
	for n := range services {
		step := tasksOf(1, 0)
		step.LongRunning = true
		sim.submit(oneStep(n+1, "services", step))
	}
	sim.runUntil(20*time.Second, "running", func() bool { return len(lost.runs) == services })
	for n := range 6 {
		sim.addWorker(fmt.Sprintf("w%d", n+1), large)
	}
	sim.updateWorkers()
	sim.runFor(5 * time.Second)
	lost.crashMachine()
	return sim
}

// Guards against many long-running tasks of a lost worker that return two at a time, while the third node has no calls.
func TestAllNodesAskForAdviceWhenNothingElseNeedsIt(t *testing.T) {
	const (
		services    = 25
		returnLimit = 9 * time.Second // an absence of 6 s, and 3 s more
	)
	sim := startLostServices(t, services)
	sim.runUntil(returnLimit, "running again", func() bool { return sim.runningTasks() == services })
}

// Guards against many long-running tasks that return two at a time beside a few short works, although the third node has no call for most of the time.
func TestNodeOfShortCallsBringsLostTasksBackBetweenThem(t *testing.T) {
	const (
		services    = 25
		interval    = 250 * time.Millisecond
		returnLimit = 9 * time.Second // an absence of 6 s, and 3 s more
	)
	sim := startLostServices(t, services)
	lostAt := sim.now
	sim.runUntil(3*time.Second, "known to be unresponsive", func() bool { return sim.cell.Stats().Unresponsive == 1 })
	submitShort(sim, interval, returnLimit)
	sim.runUntil(lostAt+returnLimit-sim.now, "running again", func() bool { return sim.runsOfWorks(services) == services })
}

// Guards against short works that wait for more than one long call while many long-running tasks return.
func TestShortCallsGoNextWhileLostTasksReturn(t *testing.T) {
	const (
		services = 32
		short    = 70
		interval = 100 * time.Millisecond
		longWait = 7 * interval // a long call of 608 ms, and the work
	)
	sim := startLostServices(t, services)
	sim.runUntil(3*time.Second, "known to be unresponsive", func() bool { return sim.cell.Stats().Unresponsive == 1 })
	submitShort(sim, interval, short*interval)
	sim.runFor(longWait)
	for n := range short {
		sim.runFor(interval)
		if sim.state(workID(1000+n)) != api.WorkStateCompleted {
			t.Fatalf("short work %d is not completed after %v", n, longWait+interval)
		}
	}
}

// Guards against many short works that lose their node to the calls for lost long-running tasks.
func TestShortCallsKeepTheirNodeWhileLostTasksReturn(t *testing.T) {
	const (
		services = 25
		interval = 8 * time.Millisecond    // more than the nodes can ask for
		minDone  = 138                     // four fifths of what one node can ask for in that time
		window   = 4500 * time.Millisecond // with lost tasks waiting, or soon to be lost
	)
	sim := startLostServices(t, services)
	sim.runUntil(4*time.Second, "long calls", func() bool { return len(sim.cell.adviceCalls) > 0 })
	submitShort(sim, interval, window)
	sim.runFor(window)
	if n := sim.cell.stats.Done; n < minDone {
		t.Errorf("%d short works done in %v, want at least %d", n, window, minDone)
	}
}

// submitShort submits short works for d from now on.
func submitShort(sim *simulation, interval, d time.Duration) {
	sim.queue("short", 0, shortAdvice())
	for n := range int(d / interval) {
		sim.after(time.Duration(n)*interval, func() { sim.accept(oneStep(1000+n, "short", tasksOf(1, 20))) })
	}
}

// runsOfWorks counts the runs of the first works.
func (sim *simulation) runsOfWorks(works int) int {
	runs := 0
	for n := range works {
		runs += sim.countRuns(workID(n + 1))
	}
	return runs
}
