package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Guards against tasks that are placed in an evacuated failure domain, and against a request
// that is not withdrawn. The simulation checks each start and each advice call.
func TestNothingIsPlacedInAnEvacuatedDomain(t *testing.T) {
	for _, queue := range []string{"quotes", "advised"} {
		sim, w1, w2 := newEvacuationSimulation(t)
		sim.evacuate("f1")
		sim.submit(oneStep(1, queue, tasksOf(8, 3000)))
		sim.runUntil(2*time.Second, "running", func() bool { return len(w2.runs) == 4 })
		sim.runFor(time.Second)
		if len(w1.runs) > 0 {
			t.Errorf("%s: %d tasks run in the evacuated failure domain", queue, len(w1.runs))
		}
		s := sim.cell.works[workID(1)].occurrences[0].steps[0]
		if n := sim.cell.countExclusions(s); n[excludedEvacuated] != 1 {
			t.Errorf("%s: exclusions %v with one worker in an evacuated failure domain", queue, n)
		}
		sim.evacuate()
		sim.runUntil(time.Second, "running in the restored failure domain", func() bool { return len(w1.runs) == 4 })
		sim.runUntilCompleted(20*time.Second, 1)
	}
}

// Guards against a gang with a member in an evacuated failure domain.
func TestGangStaysOutOfAnEvacuatedDomain(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f1")
	gang := tasksOf(6, 1000) // needs both workers
	gang.Gang = true
	sim.submit(oneStep(1, "quotes", gang))
	sim.runFor(2 * time.Second)
	if n := sim.runningTasks(); n > 0 {
		t.Errorf("%d members run", n)
	}
	sim.evacuate()
	sim.runUntil(2*time.Second, "running", func() bool { return len(w1.runs)+len(w2.runs) == 6 })
	sim.evacuate("f1")
	sim.runUntilCompleted(10*time.Second, 1)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts: a gang that runs was not left to end", n)
	}
}

// Guards against tasks that end by themselves and are stopped by an evacuation.
func TestTasksRunToTheirEndInAnEvacuatedDomain(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.evacuate("f2")
	step := tasksOf(2, 9000)
	step.Checkpoints = true
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(time.Second, "running", func() bool { return len(w1.runs) == 2 })
	sim.evacuate("f1")
	sim.runUntilCompleted(40*time.Second, 1) // longer than a lease
	for task, seen := range sim.observations {
		if seen.starts != 1 {
			t.Errorf("%d starts of %s", seen.starts, task)
		}
	}
	if sim.stops > 0 {
		t.Errorf("%d stops", sim.stops)
	}
}

// Guards against a speculative copy in an evacuated failure domain.
func TestNoSpeculativeCopyInAnEvacuatedDomain(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	step := tasksOf(1, 20000)
	step.Speculative = true
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(time.Second, "running", func() bool { return len(w1.runs) == 1 })
	sim.runFor(500 * time.Millisecond)
	w1.stalled = true
	sim.runFor(copyAfterStall + 300*time.Millisecond)
	if len(w2.runs) > 0 {
		t.Error("a copy runs in the evacuated failure domain")
	}
	sim.evacuate()
	sim.runUntil(2*time.Second, "copied", func() bool { return len(w2.runs) == 1 })
}

// Guards against the start of a run that was recorded, or was being recorded, when the
// evacuation was requested.
func TestRecordedRunIsNotStartedInAnEvacuatedDomain(t *testing.T) {
	for _, gang := range []bool{false, true} {
		sim, w1, w2 := newEvacuationSimulation(t)
		sim.evacuate("f2")
		sim.commitTime = 600 * time.Millisecond
		step := tasksOf(2, 1000)
		step.Gang = gang
		sim.submit(oneStep(1, "quotes", step))
		sim.runUntilRunOn(1, "w1", runRecording)
		sim.evacuate("f1")
		sim.runUntil(3*time.Second, "running elsewhere", func() bool { return len(w2.runs) == 2 })
		if len(w1.runs) > 0 || sim.cell.Stats().StoppedForEvacuation == 0 {
			t.Errorf("gang %v: %d runs on w1, %d counted as stopped", gang, len(w1.runs), sim.cell.Stats().StoppedForEvacuation)
		}
		sim.runUntilCompleted(10*time.Second, 1)
	}
}

// Guards against the start of a run that is recorded in the moment between the request and the
// next check of the runs.
func TestRunRecordedAfterTheRequestIsNotStarted(t *testing.T) {
	sim, _, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", tasksOf(1, 1000)))
	r := sim.runUntilRunOn(1, "w1", runRecording)
	sim.evacuate("f1")
	sim.cell.startRecorded(r)
	if starts := sim.cell.DrainEffects().Starts; len(starts) > 0 || !r.ended {
		t.Errorf("%d starts of a run whose failure domain is evacuated", len(starts))
	}
	sim.runUntil(time.Second, "running elsewhere", func() bool { return len(w2.runs) == 1 })
}

// Guards against a start that was held for an acknowledgment and is sent after the request.
func TestHeldStartIsNotSentInAnEvacuatedDomain(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(standing(1)) // so that w1 is polled
	sim.runUntil(time.Second, "running", func() bool { return len(w1.runs) == 1 })
	sim.runFor(1100 * time.Millisecond)
	w := sim.cell.workers["w1"]
	w.polls[len(w.polls)-1].acked = 1
	w.ackDueAt = sim.now - maxAckWait
	sim.submit(oneStep(2, "quotes", tasksOf(1, 1000)))
	sim.runUntil(500*time.Millisecond, "held", func() bool { return len(sim.cell.heldStarts) == 1 })
	sim.evacuate("f1")
	sim.runUntil(2*time.Second, "running elsewhere", func() bool { return len(w2.runs) == 1 })
	sim.runUntilCompleted(5*time.Second, 2)
	if n := sim.observationOf(workID(2) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}

// Guards against a start without an answer that is sent again in an evacuated failure domain,
// and against a task that runs elsewhere while its worker may still accept that start.
func TestUnansweredStartIsNotRepeatedInAnEvacuatedDomain(t *testing.T) {
	for _, copyStalled := range []bool{false, true} { // a stop does not wait for a current copy
		sim, _, w2 := newEvacuationSimulation(t)
		sim.evacuate("f2")
		sim.lateCallShare = 1
		sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
		r := sim.runUntilRunOn(1, "w1", runStarting)
		late := lateStart(r)
		sim.runUntil(time.Second, "to be repeated", func() bool { return r.startRetryAt != 0 })
		sim.lateCallShare = 0
		sim.evacuate("f1")
		if copyStalled {
			sim.evacuations.copyStalled = true
			sim.cell.evacuations.confirmedAt = NeverConfirmed
		}
		sim.runFor(2 * simTick)
		if r.phase != runStopping {
			t.Fatalf("copy stalled %v: the run is in phase %v", copyStalled, r.phase)
		}
		sim.evacuations.copyStalled = false
		sim.runUntil(15*time.Second, "running elsewhere", func() bool { return len(w2.runs) == 1 })
		late.Token = sim.cell.workers["w1"].token
		if outcome := sim.workers["w1"].start(late); outcome != StartSuperseded {
			t.Errorf("copy stalled %v: late start: %v", copyStalled, outcome)
		}
		sim.runUntilCompleted(20*time.Second, 1)
	}
}

// Guards against a run that has waited for a new ticket and is started after the request, and
// against an advice call for that ticket.
func TestAwaitedTicketStartsNothingInAnEvacuatedDomain(t *testing.T) {
	sim, _, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.commitTime = ticketValidity + 500*time.Millisecond
	sim.submit(oneStep(1, "advised", tasksOf(1, 1000)))
	sim.runUntilRunOn(1, "w1", runRecording)
	sim.adviceFails = true
	sim.runUntil(10*time.Second, "awaiting a ticket", func() bool { return len(sim.cell.awaitingTicket) == 1 })
	sim.commitTime = 10 * time.Millisecond
	sim.evacuate("f1")
	sim.cell.awaitingTicket[0].task.step.advice.inFlight = false
	sim.cell.requestAwaitedTickets()
	if calls := sim.cell.DrainEffects().AdviceCalls; len(calls) > 0 {
		t.Errorf("calls %+v", calls)
	}
	sim.adviceFails = false
	sim.runUntil(10*time.Second, "running elsewhere", func() bool { return len(w2.runs) == 1 })
}

// Guards against a renewal of tickets, noted before the request, that names workers in an
// evacuated failure domain.
func TestNotedRenewalNamesNoEvacuatedWorker(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.submit(oneStep(1, "advised", tasksOf(10, 8000)))
	sim.runFor(time.Second)
	s := sim.cell.works[workID(1)].occurrences[0].steps[0]
	s.advice.renewals = []*worker{sim.cell.workers["w1"], sim.cell.workers["w2"]}
	sim.evacuate("f1")
	if workers := sim.cell.workersForCall(s, false); len(workers) != 1 || workers[0].info.ID != "w2" {
		t.Errorf("the call names %d workers", len(workers))
	}
	// The call names the ID, which a later incarnation has as well.
	sim.evacuate()
	s.advice.renewals = []*worker{sim.cell.workers["w1"]}
	w1.exitProcess()
	w1.restart()
	sim.updateWorkers()
	sim.evacuate("f1")
	for _, w := range sim.cell.workersForCall(s, false) {
		if w.info.ID == "w1" {
			t.Error("the call names an earlier incarnation of an evacuated worker")
		}
	}
}

// Guards against preemption in an evacuated failure domain, and against a nomination from before
// the request that keeps a step there.
func TestNoPreemptionInAnEvacuatedDomain(t *testing.T) {
	for _, nominated := range []bool{false, true} {
		sim, w1, w2 := newEvacuationSimulation(t)
		low := tasksOf(8, 30000)
		low.Checkpoints = true
		sim.submit(oneStep(1, "batch", low))
		sim.runUntil(time.Second, "running", func() bool { return sim.runningTasks() == 8 })
		urgent := tasksOf(1, 1000)
		urgent.Size.CpuMillis = smallWorker.CPUMillis
		if nominated {
			sim.submit(oneStep(2, "quotes", urgent))
			s := sim.cell.works[workID(2)].occurrences[0].steps[0]
			sim.runUntil(3*time.Second, "nominated", func() bool { return len(s.nominations) == 1 })
			from := s.nominations[0].worker
			sim.evacuate(from.info.FailureDomain)
			sim.runFor(100 * time.Millisecond)
			if s.nominates(from) {
				t.Error("the nomination is kept")
			}
		} else {
			sim.evacuate("f1")
			sim.submit(oneStep(2, "quotes", urgent))
			sim.runUntil(3*time.Second, "preempted", func() bool { return sim.cell.stats.Preempted > 0 })
			if sim.runFor(200 * time.Millisecond); len(w1.runs) != 4 {
				t.Errorf("%d runs are left in the evacuated failure domain", len(w1.runs))
			}
		}
		sim.runUntilCompleted(10*time.Second, 2)
		sim.evacuate()
		sim.runUntil(5*time.Second, "running again", func() bool { return len(w1.runs)+len(w2.runs) == 8 })
	}
}

// Guards against an owner that has not read the requests, or reads them with its first copy, and
// starts tasks in an evacuated failure domain after a takeover.
func TestNextOwnerStartsNothingInAnEvacuatedDomain(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f1")
	sim.submit(oneStep(1, "quotes", tasksOf(6, 4000)))
	sim.runUntil(time.Second, "running", func() bool { return len(w2.runs) == 4 })
	sim.evacuations.copyStalled = true // of the next owner
	sim.takeOver()
	sim.runFor(10 * time.Second)
	if n := sim.observationOf(workID(1) + ".0.0.5").starts; n > 0 || sim.eventCounts[event.EvacuationsUnknown.Number] == 0 {
		t.Errorf("%d starts of a task without a confirmed copy", n)
	}
	sim.evacuations.copyStalled = false
	sim.runUntilCompleted(10*time.Second, 1)
	if len(w1.runs) > 0 {
		t.Error("tasks run in the evacuated failure domain")
	}
}

// Guards against a run that the earlier owner has recorded in an evacuated failure domain and
// not sent, and that the next owner starts there.
func TestNextOwnerDoesNotStartARecordedRun(t *testing.T) {
	sim, _, w2 := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.commitTime = 400 * time.Millisecond
	sim.submit(oneStep(1, "quotes", tasksOf(1, 1000)))
	sim.runUntilRunOn(1, "w1", runRecording)
	sim.runUntil(time.Second, "stored", func() bool { return len(sim.progress[workID(1)]) > 0 })
	sim.cell = nil
	sim.evacuate("f1")
	sim.runFor(300 * time.Millisecond)
	sim.startOwner()
	sim.runUntil(5*time.Second, "running elsewhere", func() bool { return len(w2.runs) == 1 })
}

// Guards against a newer document of the configuration, as a node may get it from the owner of
// the cell, that withdraws or confirms requests.
func TestConfigurationChangesNoEvacuation(t *testing.T) {
	sim, w1, w2 := newEvacuationSimulation(t)
	sim.evacuate("f1")
	sim.evacuations.copyStalled = true
	config := *sim.config
	config.Version++
	sim.cell.Configure(&config)
	sim.submit(oneStep(1, "quotes", tasksOf(6, 1500)))
	sim.runUntil(time.Second, "running", func() bool { return len(w2.runs) == 4 })
	sim.runFor(4 * time.Second)
	if len(w1.runs) > 0 {
		t.Error("tasks run in the evacuated failure domain")
	}
	config.Version++
	sim.cell.Configure(&config)
	if sim.cell.evacuationsKnown() {
		t.Error("a document has confirmed the requests")
	}
}

// Guards against an evacuation that ends an owner of a platform without evacuations: without a
// limit for the age of the copy nothing waits for it.
func TestWithoutALimitNothingWaitsForACopy(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkerIn("f1", "w1")
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 100)))
	sim.runUntilCompleted(3*time.Second, 1)
	if s := sim.cell.startLimit(); s != 0 {
		t.Errorf("starts are limited to %v", s)
	}
}

// Guards against a worker that is taken for one outside the evacuated failure domain because it
// has joined, or restarted, after the request.
func TestWorkersThatComeAfterTheRequestAreEvacuated(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.evacuate("f1", "f2")
	sim.submit(oneStep(1, "quotes", tasksOf(2, 100)))
	sim.addWorkerIn("f1", "w3")
	w1.exitProcess()
	w1.restart()
	sim.updateWorkers()
	sim.runFor(3 * time.Second)
	if n := sim.runningTasks(); n > 0 || sim.state(workID(1)) != api.WorkStateQueued {
		t.Errorf("%d tasks run", n)
	}
	sim.evacuate("f2")
	sim.runUntilCompleted(3*time.Second, 1)
}

// Guards against an operator who can't tell from the events, the metrics and the state dump what
// is left in an evacuated failure domain.
func TestOperatorSeesWhatIsLeftInAnEvacuatedDomain(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.runFor(300 * time.Millisecond)
	sim.submit(oneStep(1, "quotes", tasksOf(2, 2000)))
	sim.runUntil(time.Second, "running", func() bool { return len(w1.runs) == 2 })
	sim.evacuate("f1", "f2")
	sim.runFor(200 * time.Millisecond)
	if runs := sim.cell.Stats().EvacuatedRuns; runs["f1"] != 2 || runs["f2"] != 0 || len(runs) != 2 {
		t.Errorf("runs left: %v", runs)
	}
	d := sim.cell.Dump()
	if len(d.EvacuatedDomains) != 2 || d.EvacuatedDomains[0].Domain != "f1" || d.EvacuatedDomains[0].Runs != 2 || d.EvacuatedDomains[0].Workers != 1 {
		t.Errorf("state dump: %+v", d.EvacuatedDomains)
	}
	if d.EvacuationsAgeMs < 0 || !d.Workers[0].Evacuated || d.Workers[0].FailureDomain != "f1" || d.Workers[0].Open {
		t.Errorf("state dump: confirmed %d ms ago, %+v", d.EvacuationsAgeMs, d.Workers[0])
	}
	count := func(e event.Event) int { return sim.eventCounts[e.Number] }
	if count(event.DomainEvacuated) != 2 || count(event.DomainEmpty) != 1 {
		t.Errorf("events %v while tasks run", sim.eventCounts)
	}
	sim.runUntilCompleted(10*time.Second, 1)
	sim.runFor(time.Second)
	sim.evacuate("f2")
	sim.runFor(100 * time.Millisecond)
	if count(event.DomainEmpty) != 2 || count(event.DomainRestored) != 1 {
		t.Errorf("events %v at the end", sim.eventCounts)
	}
}

// Guards against an evacuation that is reported as complete by a new owner before it knows where
// the recorded runs are.
func TestNewOwnerDoesNotReportAnEmptyDomainTooEarly(t *testing.T) {
	sim, w1, _ := newEvacuationSimulation(t)
	sim.evacuate("f2")
	sim.submit(oneStep(1, "quotes", tasksOf(1, 30000)))
	sim.runUntil(time.Second, "running", func() bool { return len(w1.runs) == 1 })
	sim.evacuate("f1")
	before := sim.eventCounts[event.DomainEmpty.Number]
	w1.listed = false
	sim.takeOver()
	sim.runFor(time.Second)
	w1.listed = true
	sim.updateWorkers()
	sim.runFor(time.Second)
	if n := sim.eventCounts[event.DomainEmpty.Number] - before; n > 0 {
		t.Errorf("%d reports although a task runs", n)
	}
}
