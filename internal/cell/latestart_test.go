package cell

import (
	"testing"
	"time"
)

// Guards against a start that a restarted worker carries out late, because the worker was not listed when it restarted.
func TestLateStartOnARestartedUnlistedWorkerIsRefused(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(2 * testLease)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
	sim.runFor(100 * time.Millisecond)
	sim.lateCallShare = 0
	r := sim.cell.works[workID(1)].occurrences[0].steps[0].tasks[0].runs[0]
	late := lateStart(r)
	sim.addWorker("w2", smallWorker)
	f.exitProcess()
	f.restart()
	f.listed = false
	sim.updateWorkers()
	sim.runFor(500 * time.Millisecond)
	f.listed = true
	sim.updateWorkers()
	sim.runFor(time.Second)
	if outcome := f.start(late); outcome != StartSuperseded {
		t.Errorf("late start: %v", outcome)
	}
}

// Guards against a late start on a worker that was removed from the cell and restarts within the time in which starts may arrive.
func TestUnansweredStartsOutliveTheLeaseOfAnUnlistedWorker(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(2 * testLease)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
	sim.runUntilStartUnanswered(2*time.Second, "w1")
	f.unresponsive, f.listed = true, false
	sim.updateWorkers()
	sim.runFor(testLease + 3*time.Second)
	sim.lateCallShare = 0
	f.restart()
	sim.updateWorkers()
	if len(sim.cell.workers["w1"].unansweredStarts) == 0 {
		t.Error("the next incarnation is not told to refuse the start")
	}
	sim.runFor(lateCallLimit)
	f.listed = false
	sim.updateWorkers()
	sim.runUntil(2*testLease, "removed", func() bool { return sim.cell.workers["w1"] == nil })
}

// Guards against a task that is started elsewhere while a repeated start of it may still reach
// the next incarnation of its worker, which is known to have had the run before it restarted.
func TestRepeatedStartMayReachTheNextIncarnation(t *testing.T) {
	for _, reported := range []bool{true, false} { // whether a report or an answer confirmed the run
		sim := newSimulation(t, 1)
		f := sim.addWorker("w1", smallWorker)
		sim.startOwner()
		sim.runFor(clockAhead)
		sim.answerLossShare = 1
		sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
		sim.runUntilStartUnanswered(time.Second, "w1")
		r := sim.cell.workers["w1"].runs[0]
		late := lateStart(r)
		if !reported {
			sim.answerLossShare = 0
		}
		sim.runUntil(2*time.Second, "confirmed", func() bool { return r.phase == runActive && (r.reportedSeq != 0) == reported })
		sim.answerLossShare, sim.lateCallShare = 0, 1 // the stop of the start is late
		sim.addWorker("w2", smallWorker)
		f.exitProcess()
		f.restart()
		sim.updateWorkers()
		sim.runFor(500 * time.Millisecond)
		f.start(late)
		sim.lateCallShare = 0
		// The fake workers check that the task does not run twice.
		sim.runUntilCompleted(2*lateCallLimit, 1)
	}
}

// Guards against a task that is started elsewhere while a start of it may still reach its
// worker, which has confirmed that it refuses it, but has restarted once more.
func TestStartMayReachTheIncarnationAfterTheNext(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(clockAhead)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
	sim.runUntilStartUnanswered(time.Second, "w1")
	r := sim.cell.workers["w1"].runs[0]
	late := lateStart(r)
	sim.lateCallShare = 0
	sim.addWorker("w2", smallWorker)
	f.draining = true // so that the task would start on w2
	f.exitProcess()
	f.restart()
	sim.updateWorkers()
	sim.runFor(pollWait + 200*time.Millisecond) // the stop is confirmed, and a later report made
	f.exitProcess()
	f.restart()
	f.start(late)
	sim.updateWorkers()
	// The fake workers check that the task does not run twice.
	sim.runUntilCompleted(2*lateCallLimit, 1)
}

// Guards against a start that is on its way when the end of its run is acknowledged, and that
// the next incarnation of the worker carries out.
func TestStartOnItsWayDoesNotOutliveTheAcknowledgedEnd(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(clockAhead)
	sim.answerLossShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.answerLossShare, sim.lateCallShare = 0, 1 // the second try is on its way
	r := sim.cell.workers["w1"].runs[0]
	sim.runUntil(time.Second, "start repeated", func() bool { return r.startRetries == 1 && r.startSentAt != 0 })
	late := lateStart(r)
	late.sentAt = sim.now
	sim.runFor(CallTimeLimit - 500*time.Millisecond) // the end is reported and recorded
	f.exitProcess()
	f.restart()
	sim.updateWorkers()
	f.start(late) // the fake worker checks that its end is not acknowledged
}
