package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Guards against long-running tasks that stay away for one advice call after the other once
// the leases of their lost worker have expired.
func TestAdviceIsReadyWhenTheLeasesOfALostWorkerExpire(t *testing.T) {
	const (
		services    = 4 // twice as many as nodes that make long calls at a time
		returnLimit = 300 * time.Millisecond
	)
	for _, ownerLost := range []bool{false, true} {
		t.Run(fmt.Sprintf("owner lost %v", ownerLost), func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.queue("services", 1, &work.Advice{CallDuration: 560 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
			sim.adviceTime = 560 * time.Millisecond
			sim.adviserBusy = map[string]time.Duration{}
			f := sim.addWorker("w0", smallWorker)
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
