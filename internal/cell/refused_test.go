package cell

import (
	"testing"
	"time"
)

// Guards against second runs of the tasks of a live worker whose address refuses
// connections, listed or not, with the same owner and after a takeover.
func TestRefusedConnectionsToALiveWorkerDoNotRestartItsTasks(t *testing.T) {
	for _, c := range []struct {
		name               string
		unlisted, takeover bool
	}{
		{name: "listed"}, {name: "unlisted", unlisted: true}, {name: "takeover", takeover: true}, {name: "unlisted, takeover", unlisted: true, takeover: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", smallWorker)
			sim.startOwner()
			sim.submit(oneStep(1, "quotes", tasksOf(2, 20000)))
			sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 2 })
			sim.runFor(time.Second)
			other := sim.addWorker("w2", smallWorker)
			f.unresponsive, f.refusesConnections, f.listed = true, true, !c.unlisted
			if c.takeover {
				sim.startOwner()
			}
			sim.updateWorkers()
			sim.runFor(3 * time.Second)
			if len(f.runs) != 2 || len(other.runs) != 0 {
				t.Fatalf("%d tasks run on the worker that refuses connections and %d on the other one, want 2 and 0", len(f.runs), len(other.runs))
			}
			sim.runUntil(testLease+4*time.Second, "restarted after the lease", func() bool { return len(other.runs) == 2 })
			f.unresponsive, f.refusesConnections, f.listed = false, false, true
			sim.updateWorkers()
			sim.runUntilCompleted(time.Minute, 1)
		})
	}
}
