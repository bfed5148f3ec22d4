package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// Guards against a finished work that is not known before the end of its retention time, because
// the time of day steps forward, or that of the next owner is ahead.
func TestFinishedWorkOutlivesAStepOfTheClock(t *testing.T) {
	const step = 8 * time.Second
	for _, replaced := range []bool{false, true} {
		sim := newSimulation(t, 1)
		sim.addWorker("w1", smallWorker)
		sim.startOwner()
		sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
		sim.runUntilCompleted(5*time.Second, 1)
		sim.wall = sim.wall.Add(step)
		if replaced {
			sim.takeOver()
		}
		sim.runFor(sim.cell.opts.StatusRetention - 3*time.Second)
		if state := sim.state(workID(1)); state != api.WorkStateCompleted {
			t.Errorf("owner replaced %v: state %q", replaced, state)
		}
		sim.runFor(step + 2*retentionReserve)
		if n := len(sim.finished); n > 0 {
			t.Errorf("owner replaced %v: %d records of finished works are kept", replaced, n)
		}
	}
}
