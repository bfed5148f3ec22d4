package cell

import (
	"testing"
	"time"
)

// Guards against an absence that starts anew with each refused start.
func TestAbsenceCountsOverRefusedStarts(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.queue("advised", 1, shortAdvice())
	sim.startOwner()
	sim.runFor(time.Second)
	step := tasksOf(1, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "advised", step))
	for range 500 {
		clear(sim.tickets) // the worker refuses all starts for a stale ticket
		sim.runFor(simTick)
	}
	if sim.cell.stats.StaleTickets == 0 || sim.runningTasks() > 0 {
		t.Fatal("the starts were not refused")
	}
	if a := sim.cell.Stats().LongestAbsence; a < 4*time.Second {
		t.Errorf("absence %v after 5 s", a)
	}
}

// Guards against a worker that is counted as reserved for steps behind the one that waits.
func TestFirstExclusionIgnoresReservationsOfLaterSteps(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w0", smallWorker)
	sim.queue("advised", 0, shortAdvice())
	sim.queue("later", 0, nil).TargetLatency = time.Minute
	sim.startOwner()
	sim.runFor(time.Second)
	filler := tasksOf(1, 20000)
	filler.Size.CpuMillis = 2000
	sim.submit(oneStep(3, "later", filler))
	sim.runFor(200 * time.Millisecond)
	longRunning := tasksOf(2, 0)
	longRunning.LongRunning = true
	sim.submit(oneStep(1, "advised", longRunning))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.countRuns(workID(1)) == 2 })
	sim.adviceFails = true
	sim.runFor(3 * time.Second) // the ticket expires
	for _, name := range sortedKeys(f.runs) {
		if id, _ := parseTaskName(name); id.Work == workID(1) {
			f.end(name, EndFailed)
		}
	}
	later := tasksOf(1, 1000)
	later.Size.CpuMillis = 3000
	sim.submit(oneStep(2, "later", later))
	sim.runFor(500 * time.Millisecond)
	s := sim.cell.works[workID(1)].occurrences[0].steps[0]
	if n := sim.cell.countExclusions(s); n[excludedTicketExpired] != 1 {
		t.Errorf("exclusions %v of one worker with an expired ticket", n)
	}
}
