package cell

import (
	"testing"
	"time"
)

// Guards against tasks that start on a restarted worker without the label that they need, because its earlier incarnation had it.
func TestRestartedWorkerGetsNoTasksBeforeItsKindIsKnown(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1)) // so that the worker is polled
	sim.runFor(time.Second)
	f.entryDelay = 2 * time.Second
	restartUnseen(sim, f, 100*time.Millisecond)
	f.labels = []string{"b", "r1"}
	sim.runUntil(2*time.Second, "restart known", func() bool {
		w := sim.cell.workers["w1"]
		return w.info.IncarnationUnixMs == f.incarnationUnixMs && w.fenced
	})
	step := tasksOf(1, 100)
	step.Constraint = "a"
	sim.submit(oneStep(2, "quotes", step))
	sim.runFor(5 * time.Second)
	sim.updateWorkers()
	sim.runFor(time.Second)
	if n := sim.observationOf(workID(2) + ".0.0.0").starts; n != 0 {
		t.Errorf("%d starts on a worker of another kind", n)
	}
	f.labels = []string{"a", "r1"}
	sim.updateWorkers()
	sim.runUntil(time.Second, "started", func() bool { return sim.observationOf(workID(2)+".0.0.0").starts == 1 })
}
