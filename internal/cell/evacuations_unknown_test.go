package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Guards against starts by a copy of the requests that is too old, and against leases, stops and
// acknowledgments that wait for a newer one.
func TestStaleCopyStartsNothing(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.submit(standing(1))
	long := tasksOf(1, 60000)
	sim.submit(oneStep(2, "quotes", long))
	sim.runUntil(time.Second, "running", func() bool { return sim.runningTasks() == 2 })
	sim.evacuations.copyStalled = true
	sim.evacuate("f1") // the owner does not learn of it
	for n := range 60 {
		sim.submit(oneStep(10+n, "quotes", tasksOf(1, 100)))
		sim.runFor(100 * time.Millisecond)
	}
	started := 0
	for n := range 60 {
		started += sim.observationOf(workID(10+n) + ".0.0.0").starts
	}
	if started < 20 || started > 31 {
		t.Errorf("%d of 60 tasks were started in 6 s, want those of the first 3 s", started)
	}
	sim.cell.Cancel(&api.WorkRef{Id: workID(2), Queue: "quotes", Team: "team"}, func(error) {})
	sim.runFor(2 * testLease)
	if sim.countRuns(workID(1)) != 1 || sim.countRuns(workID(2)) != 0 {
		t.Errorf("%d runs of the long-running task, %d of the canceled one", sim.countRuns(workID(1)), sim.countRuns(workID(2)))
	}
	if n := len(w1.ends) + len(w2.ends); n > 0 {
		t.Errorf("%d ends are not acknowledged", n)
	}
	sim.evacuations.copyStalled = false
	sim.runUntil(10*time.Second, "all done", func() bool { return len(sim.cell.works) == 1 })
	if sim.eventCounts[event.EvacuationsUnknown.Number] != 1 || sim.eventCounts[event.EvacuationsKnown.Number] != 1 {
		t.Errorf("events %v", sim.eventCounts)
	}
}

// Guards against tasks and copies that are placed, and tasks that are preempted for them, while
// the copy is too old: their room and their tickets would be lost.
func TestStaleCopyPlacesNothing(t *testing.T) {
	sim, _, _ := newEvacuationSimulation(t)
	speculative := tasksOf(1, 60000)
	speculative.Speculative = true
	sim.submit(oneStep(1, "quotes", speculative))
	low := tasksOf(2, 60000)
	low.Checkpoints = true
	sim.submit(oneStep(2, "batch", low))
	sim.runUntil(time.Second, "running", func() bool { return sim.runningTasks() == 3 })
	sim.evacuations.copyStalled = true
	sim.runFor(sim.evacuations.maxAge)
	sim.workers[sim.placedOn(1)].unresponsive = true
	sim.runFor(pollWait + shortestPollTimeout + 2*copyAfterUnresponsive)
	if n := len(sim.firstRun(1).task.runs); n != 1 {
		t.Errorf("%d runs of the speculative task", n)
	}
	sim.submit(oneStep(3, "quotes", tasksOf(8, 1000)))
	sim.runFor(2 * time.Second)
	if sim.firstRun(3) != nil || sim.cell.stats.Preempted > 0 {
		t.Errorf("placed: %v, %d runs preempted", sim.firstRun(3) != nil, sim.cell.stats.Preempted)
	}
	s := sim.cell.works[workID(3)].occurrences[0].steps[0]
	if n := sim.cell.countExclusions(s); n[excludedEvacuationsUnknown] != 2 {
		t.Errorf("exclusions %v", n)
	}
}

// Guards against a recorded start that is sent, or a start that is repeated, after the copy has
// become too old.
func TestRecordedStartWaitsForACurrentCopy(t *testing.T) {
	for _, queue := range []string{"quotes", "advised"} {
		sim, _, _ := newEvacuationSimulation(t)
		sim.commitTime = 800 * time.Millisecond
		sim.evacuations.copyStalled = true
		sim.runFor(sim.evacuations.maxAge - 500*time.Millisecond)
		sim.submit(oneStep(1, queue, tasksOf(1, 100)))
		sim.runFor(5 * time.Second)
		if sim.firstRun(1) == nil || sim.runningTasks() > 0 || sim.state(workID(1)) != api.WorkStateQueued {
			t.Errorf("%s: the run does not wait", queue)
		}
		sim.evacuations.copyStalled = false
		sim.runUntilCompleted(5*time.Second, 1)
	}
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 100)))
	sim.runUntil(time.Second, "sent", func() bool { return sim.firstRun(1) != nil && sim.firstRun(1).startRetryAt != 0 })
	sim.evacuations.copyStalled = true
	sim.cell.evacuations.confirmedAt = NeverConfirmed
	tries := sim.firstRun(1).startRetries
	sim.runFor(2 * time.Second)
	if r := sim.firstRun(1); r.startSentAt != 0 || r.startRetries != tries || len(w1.runs)+len(w2.runs) > 0 {
		t.Errorf("the start was repeated, %d tries after %d", r.startRetries, tries)
	}
}

// Guards against starts that are sent by a paused process after the copy has become too old.
func TestStartCarriesTheLimitOfTheCopy(t *testing.T) {
	sim, _, _ := newEvacuationSimulation(t)
	confirmedAt := sim.now
	sim.evacuations.copyStalled = true
	sim.submit(oneStep(1, "quotes", tasksOf(1, 100)))
	r := sim.runUntilRunOn(1, sim.placedOn(1), runRecording)
	sim.cell.startRecorded(r)
	starts := sim.cell.DrainEffects().Starts
	if len(starts) != 1 || starts[0].SendBy > sim.now+sim.evacuations.maxAge || starts[0].SendBy < confirmedAt {
		t.Errorf("starts %+v", starts)
	}
}

// placedOn runs the simulation until a work has a run, and returns its worker.
func (sim *simulation) placedOn(n int) string {
	sim.t.Helper()
	sim.runUntil(5*time.Second, "placed", func() bool { return sim.firstRun(n) != nil })
	return sim.firstRun(n).worker.info.ID
}

// Guards against long-running tasks that are stopped on a draining worker while nothing may be
// placed elsewhere.
func TestNothingLeavesADrainingWorkerWithoutACurrentCopy(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", longRunningStep(2, 1)))
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs) == 2 })
	sim.evacuate()
	sim.runFor(time.Second)
	sim.evacuations.copyStalled = true
	sim.runFor(3500 * time.Millisecond)
	w1.draining, w1.timeToLeave = true, 10*time.Second
	sim.updateWorkers()
	sim.runFor(2 * time.Second)
	if len(w1.runs) != 2 || sim.stops > 0 {
		t.Errorf("%d of 2 tasks run, %d stops", len(w1.runs), sim.stops)
	}
	sim.evacuations.copyStalled = false
	sim.runUntil(5*time.Second, "moved", func() bool { return len(w2.runs) == 2 })
}
