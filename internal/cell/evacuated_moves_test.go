package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// longRunningStep returns a step of long-running tasks of which this many may be away.
func longRunningStep(count, budget int) api.StepSpec {
	step := tasksOf(count, 0)
	step.LongRunning, step.DisruptionBudget = true, budget
	return step
}

// Guards against long-running tasks that stay in an evacuated failure domain although another
// worker has room, and against moves beyond the disruption budget of their step.
func TestLongRunningTasksMoveWithinTheirBudget(t *testing.T) {
	for _, queue := range []string{"quotes", "advised"} {
		const tasks, budget = 3, 1
		sim, w1, w2 := newEvacuationSimulation(t)
		sim.evacuate("f2")
		sim.submit(oneStep(1, queue, longRunningStep(tasks, budget)))
		sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == tasks })
		sim.runFor(5 * time.Second) // the tickets expire
		sim.evacuate("f1")
		s := sim.cell.works[workID(1)].occurrences[0].steps[0]
		sim.runUntil(10*time.Second, "moved", func() bool {
			if away := tasks - len(w1.runs) - len(w2.runs); away > budget {
				t.Fatalf("%s: %d tasks are away", queue, away)
			}
			if n := sim.cell.countUnavailable(s); n > budget {
				t.Fatalf("%s: %d tasks are not available", queue, n)
			}
			return len(w2.runs) == tasks
		})
		if n := sim.cell.Stats().StoppedForEvacuation; n != tasks {
			t.Errorf("%s: %d runs were stopped for the evacuation", queue, n)
		}
		sim.evacuate()
		sim.runFor(3 * time.Second)
		if len(w2.runs) != tasks {
			t.Errorf("%s: tasks move back after the withdrawal", queue)
		}
	}
}

// Guards against long-running tasks that are stopped although no worker can take them: without a
// disruption budget, without room elsewhere, and without advice.
func TestLongRunningTasksStayWithoutAnotherWorker(t *testing.T) {
	for _, test := range []struct {
		name   string
		budget int
		full   bool
		queue  string
	}{
		{"no budget", 0, false, "quotes"},
		{"no room", 1, true, "quotes"},
		{"no advice", 1, false, "advised"},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim, w1, w2 := newEvacuationSimulation(t)
			step := longRunningStep(2, test.budget)
			sim.evacuate("f2")
			sim.submit(oneStep(1, test.queue, step))
			sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == 2 })
			if test.full {
				sim.evacuate()
				w2.labels = []string{"w2"}
				sim.updateWorkers()
				filler := tasksOf(1, 60000)
				filler.Size.CpuMillis, filler.Constraint = smallWorker.CPUMillis, "w2"
				sim.submit(oneStep(2, "quotes", filler))
				sim.runUntil(2*time.Second, "full", func() bool { return len(w2.runs) == 1 })
			}
			sim.runFor(5 * time.Second)
			sim.evacuate("f1")
			if test.queue == "advised" {
				sim.allowedWorkers[oneStepID(1)+"/w2"] = false
			}
			sim.runFor(4 * time.Second)
			if sim.countRuns(workID(1)) != 2 || sim.stops > 0 {
				t.Errorf("%d of 2 tasks run, %d stops", sim.countRuns(workID(1)), sim.stops)
			}
			if test.queue == "advised" && sim.adviceCalls > 3 {
				t.Errorf("%d advice calls", sim.adviceCalls)
			}
		})
	}
}

// Guards against a long-running task that is stopped before there is a valid ticket for another
// worker, and so is away for an advice call.
func TestLongRunningTasksMoveOnlyWithAValidTicket(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.submit(oneStep(1, "advised", longRunningStep(2, 1)))
	sim.runUntil(2*time.Second, "running", func() bool { return sim.countRuns(workID(1)) == 2 })
	sim.runFor(5 * time.Second) // the tickets for both workers expire
	from, to := w1, w2
	if len(w1.runs) == 0 {
		from, to = w2, w1
	}
	sim.adviceFails = true
	sim.evacuate(from.domain)
	sim.runFor(2 * time.Second)
	if sim.stops > 0 {
		t.Errorf("%d stops without a valid ticket", sim.stops)
	}
	sim.adviceFails = false
	sim.runUntil(10*time.Second, "moved", func() bool { return len(to.runs) == 2 })
}

// oneStepID returns the ID of the only step of a work.
func oneStepID(n int) string { return workID(n) + ".0.0" }

// Guards against many long-running tasks that are stopped for the same room.
func TestTasksAreNotStoppedForTheSameRoom(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	w1.capacity = w1.capacity.Times(2)
	sim.updateWorkers()
	const services = 8
	for n := range services {
		sim.submit(oneStep(n, "quotes", longRunningStep(1, 1)))
	}
	sim.evacuate("f2")
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == services })
	w3 := sim.addWorkerIn("f3", "w3")
	w3.capacity.CPUMillis = 2000
	sim.updateWorkers()
	sim.runFor(2 * time.Second)
	sim.evacuate("f1", "f2")
	for range 400 {
		if away := services - sim.runningTasks(); away > 2 {
			t.Fatalf("%d tasks are away for the room of 2", away)
		}
		sim.runFor(simTick)
	}
	if len(w3.runs) != 2 || len(w1.runs) != services-2 || len(w2.runs) != 0 {
		t.Errorf("%d tasks have moved, %d have stayed", len(w3.runs), len(w1.runs))
	}
	if sim.stops != 2 {
		t.Errorf("%d stops", sim.stops)
	}
}

// Guards against newer work that takes the room for which a long-running task was stopped.
func TestRoomOfAMoveIsKept(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	step := longRunningStep(1, 1)
	step.Size.CpuMillis = smallWorker.CPUMillis
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == 1 })
	sim.runFor(time.Second)
	sim.evacuate("f1")
	sim.runUntil(time.Second, "stopped", func() bool { return sim.stops == 1 })
	sim.submit(oneStep(2, "quotes", tasksOf(4, 60000)))
	sim.runUntil(time.Second, "moved", func() bool { return sim.countRuns(workID(1)) == 1 && len(w2.runs) == 1 })
}

// Guards against long-running tasks that are stopped while nothing may be placed elsewhere.
func TestNothingMovesWithoutACurrentCopy(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", longRunningStep(2, 1)))
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == 2 })
	sim.runFor(time.Second)
	sim.evacuations.copyStalled = true
	sim.cell.SetEvacuatedDomains([]string{"f1"}, 0)
	sim.cell.evacuations.confirmedAt = NeverConfirmed
	sim.runFor(3 * time.Second)
	if len(w1.runs) != 2 || sim.stops > 0 {
		t.Errorf("%d of 2 tasks run, %d stops", len(w1.runs), sim.stops)
	}
}

// Guards against a long-running task that is stopped although it can't be placed again, because
// the limit of its team has been lowered below what it uses.
func TestNothingMovesBeyondTheLimitOfItsTeam(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", longRunningStep(3, 1)))
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == 3 })
	sim.runFor(time.Second)
	setLimit := func(cpuMillis int) {
		config := *sim.config
		config.Version++
		config.Teams = map[string]*work.Team{"team": {Name: "team", Limit: work.Resources{CPUMillis: cpuMillis}}}
		sim.config = &config
		sim.cell.Configure(sim.config)
	}
	setLimit(2000)
	sim.evacuate("f1")
	sim.runFor(4 * time.Second)
	if n := sim.runningTasks(); n != 3 || sim.stops > 0 {
		t.Errorf("%d of 3 tasks run, %d stops", n, sim.stops)
	}
	setLimit(3000)
	sim.runUntil(10*time.Second, "moved", func() bool { return len(w2.runs) == 3 })
}

// Guards against a long-running task that is stopped with a ticket that expires before the stop is
// over, and so is away for an advice call.
func TestTicketOutlastsTheStopOfAMove(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.submit(oneStep(1, "advised", longRunningStep(1, 1)))
	sim.runUntil(2*time.Second, "running", func() bool { return sim.countRuns(workID(1)) == 1 })
	from, to := "f1", "w2"
	if len(w1.runs) == 0 {
		from, to = "f2", "w1"
	}
	sim.runFor(time.Second)
	s := sim.cell.works[workID(1)].occurrences[0].steps[0]
	s.ticketOf(sim.cell.workers[to]).expires = sim.now + sim.cell.opts.StopTimeout
	sim.adviceFails = true
	sim.evacuate(from)
	sim.runFor(2 * time.Second)
	if sim.stops > 0 {
		t.Errorf("%d stops with a ticket that expires before the task can start", sim.stops)
	}
	sim.adviceFails = false
	sim.runUntil(10*time.Second, "moved", func() bool { return len(sim.workers[to].runs) == 1 })
}
