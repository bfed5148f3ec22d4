package cell

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a gang that waits while smaller tasks keep taking the room on its workers,
// because room was kept for one of its members on each worker.
func TestGangWithSeveralMembersOnAWorkerGetsItsRoom(t *testing.T) {
	const workers, perWorker = 10, 4
	sim := newSimulation(t, 1)
	for n := range workers {
		sim.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	sim.startOwner()
	small := tasksOf(1, 700)
	small.Size.CpuMillis = smallWorker.CPUMillis / perWorker
	submitted := 1
	for n := range 1200 { // about 60 a second, which is more than the pool can run
		sim.after(time.Duration(n)*16*time.Millisecond, func() {
			submitted++
			sim.submit(oneStep(submitted, "batch", small))
		})
	}
	sim.runFor(2 * time.Second)
	gang := small
	gang.Gang = true
	gang.Count = workers * perWorker * 3 / 4
	sim.submit(oneStep(100000, "quotes", gang))
	sim.runUntilCompleted(6*time.Second, 100000)
}

// Guards against a start that is repeated after the gang is done, and that a worker which has
// restarted under its ID carries out.
func TestDoneGangIsNotStartedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	first, second := sim.addWorker("w1", smallWorker), sim.addWorker("w2", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	step := tasksOf(2, 300)
	step.Gang, step.Size.CpuMillis = true, smallWorker.CPUMillis
	sim.submit(oneStep(1, "quotes", step))
	sim.answerLossShare = 1
	sim.runUntil(time.Second, "started", func() bool { return len(first.runs)+len(second.runs) == 2 })
	second.unresponsive = true
	sim.runUntilCompleted(time.Second, 1)
	second.restart()
	sim.runFor(5 * time.Second)
	for task, seen := range sim.observations {
		if seen.starts != 1 {
			t.Errorf("%d starts of %s", seen.starts, task)
		}
	}
}
