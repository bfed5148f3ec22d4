package cell

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Guards against an owner that polls all workers of a large cell four times as often because
// single workers do not answer, and guards the frequent polls while many do not answer.
func TestLostAnswersOfSingleWorkersDoNotRaiseThePollRate(t *testing.T) {
	const (
		workers = 200
		seconds = 10
	)
	for _, tt := range []struct{ unreachable, minPolls, maxPolls int }{
		{1, workers * seconds * 8 / 10, workers * seconds * 5 / 4},
		{workers / 10, workers * seconds * 2, workers * seconds * 5},
	} {
		t.Run(fmt.Sprint(tt.unreachable, " unreachable"), func(t *testing.T) {
			sim := newSimulation(t, 1)
			for n := range workers {
				sim.addWorker(fmt.Sprintf("w%03d", n), smallWorker)
			}
			sim.startOwner()
			step := tasksOf(workers, 0)
			step.LongRunning = true
			step.MaxPerWorker = 1
			sim.submit(oneStep(1, "batch", step))
			sim.runUntil(5*time.Second, "all tasks run", func() bool { return sim.runningTasks() == workers })
			for n := range tt.unreachable {
				sim.workers[fmt.Sprintf("w%03d", n)].unresponsive = true
			}
			before := sim.polls
			sim.runFor(seconds * time.Second)
			if got := sim.polls - before; got < tt.minPolls || got > tt.maxPolls {
				t.Errorf("%d polls of %d workers in %d s, want %d to %d", got, workers, seconds, tt.minPolls, tt.maxPolls)
			}
		})
	}
}

// Guards against a new owner of a large cell that opens connections to all workers at once,
// which takes longer than their polls may, and against leases that expire because idle
// workers are polled before those with running tasks.
func TestFirstPollsOfALargeCellArePaced(t *testing.T) {
	const workers, busy = 1000, 100
	sim := newSimulation(t, 1)
	for n := range workers {
		sim.addWorker(fmt.Sprintf("w%04d", n), smallWorker)
	}
	sim.startOwner()
	step := tasksOf(busy, 0)
	step.LongRunning = true
	step.MaxPerWorker = 1
	sim.submit(oneStep(1, "batch", step))
	sim.runUntil(5*time.Second, "all tasks run", func() bool { return sim.runningTasks() == busy })
	sim.startOwner()
	c := sim.cell
	answered := map[string]bool{}
	for len(answered) < workers {
		c.Schedule()
		e := c.DrainEffects()
		first := slices.DeleteFunc(e.Polls, func(p Poll) bool { return answered[p.Worker.ID] })
		if len(first) == 0 || len(first) > maxFirstPolls {
			t.Fatalf("%d first polls at once after %d answers", len(first), len(answered))
		}
		for _, p := range first {
			if len(sim.workers[p.Worker.ID].runs) == 0 && len(answered)+maxFirstPolls < busy {
				t.Fatalf("%s without a task is polled after %d answers", p.Worker.ID, len(answered))
			}
			answered[p.Worker.ID] = true
			c.ReportReceived(p.Worker, p.Seq, &Report{ClockMs: 1, IncarnationUnixMs: p.Worker.IncarnationUnixMs})
		}
	}
}

// Guards against a log that is full of the workers of a large cell when the owner changes,
// so that the lines about works are dropped.
func TestFirstListOfWorkersIsLoggedOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 100 {
		sim.addWorker(fmt.Sprintf("w%03d", n), smallWorker)
	}
	sim.startOwner()
	count := func() (listed, added int) {
		for _, l := range sim.cell.DrainLogLines() {
			switch l.Event {
			case event.WorkersListed:
				listed++
			case event.WorkerAdded:
				added++
			}
		}
		return listed, added
	}
	if listed, added := count(); listed != 1 || added != 0 {
		t.Errorf("%d lists and %d workers are logged, want 1 and 0", listed, added)
	}
	sim.addWorker("new", smallWorker)
	sim.updateWorkers()
	if listed, added := count(); listed != 0 || added != 1 {
		t.Errorf("then %d lists and %d workers are logged, want 0 and 1", listed, added)
	}
}
