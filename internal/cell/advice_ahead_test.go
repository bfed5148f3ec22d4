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

// Guards against short works that wait for a long call while many long-running tasks return.
func TestLongCallsAheadOfLossesLeaveANodeForShortCalls(t *testing.T) {
	const (
		services = 25
		short    = 40
		limit    = 150 * time.Millisecond
		interval = 250 * time.Millisecond
	)
	sim := startLostServices(t, services)
	sim.queue("short", 0, shortAdvice())
	sim.runUntil(3*time.Second, "known to be unresponsive", func() bool { return sim.cell.Stats().Unresponsive == 1 })
	for n := range short {
		sim.submit(oneStep(1000+n, "short", tasksOf(1, 20)))
		sim.runUntil(limit, "completed", func() bool { return sim.state(workID(1000+n)) == api.WorkStateCompleted })
		sim.runFor(interval)
	}
}
