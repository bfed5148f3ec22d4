package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// completeTasks runs n short tasks on the only worker, until their ends are acknowledged.
func completeTasks(sim *simulation, work, n int) {
	sim.t.Helper()
	sim.submit(oneStep(work, "quotes", tasksOf(n, 50)))
	sim.runUntil(5*time.Second, "completed", func() bool { return sim.state(workID(work)) == api.WorkStateCompleted })
	sim.runFor(time.Second)
}

// checkStartedOnce checks that each task of a work was started once.
func checkStartedOnce(sim *simulation, work int) {
	sim.t.Helper()
	sim.runUntil(30*time.Second, "completed", func() bool { return sim.state(workID(work)) == api.WorkStateCompleted })
	for task, seen := range sim.observations {
		if id, _ := parseTaskName(task); id.Work == workID(work) && seen.starts != 1 {
			sim.t.Errorf("%d starts of %s", seen.starts, task)
		}
	}
}

// Guards against a poll, meant for the earlier incarnation of a worker and carried out late, that makes the next one forget ends unread.
func TestLatePollForgetsNoEndOfTheNextIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	completeTasks(sim, 1, 3)
	f.exitProcess()
	sim.submit(standing(2)) // so that the worker is polled
	sim.runFor(100 * time.Millisecond)
	f.restart()
	sim.latePolls, sim.lateBy = 2, 6*time.Second
	sim.runUntil(time.Second, "two polls late", func() bool { return sim.latePolls == 0 })
	sim.updateWorkers()
	sim.runFor(time.Second)
	sim.submit(oneStep(3, "quotes", tasksOf(3, 1500)))
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) >= 3 })
	f.unresponsive = true
	sim.runFor(5 * time.Second) // the tasks end, and the late calls are carried out
	f.unresponsive = false
	checkStartedOnce(sim, 3)
}

// Guards against a poll with the acknowledgments of the earlier incarnation that is sent to the next one before its restart is known.
func TestPollForgetsNoEndOfAnUnknownIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	completeTasks(sim, 1, 3)
	sim.submit(standing(2)) // so that the worker is polled
	sim.runFor(time.Second)
	sim.commitTime = 700 * time.Millisecond
	sim.submit(oneStep(3, "quotes", tasksOf(3, 1)))
	sim.runUntil(time.Second, "placed", func() bool { return len(sim.cell.fleet[0].runs) == 4 })
	restartUnseen(sim, f, 650*time.Millisecond) // the starts come before the next poll
	checkStartedOnce(sim, 3)
}

// Guards against a start, received by the earlier incarnation of a worker and carried out by the next one, of a task whose end as done was acknowledged.
func TestLateStartRunsNoTaskWhoseEndWasAcknowledged(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.lateStarts, sim.lateBy = 1, 5*time.Second
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.runFor(2 * time.Second)
	restartUnseen(sim, f, 100*time.Millisecond)
	sim.runFor(10 * time.Second) // the list does not show the restart; the fake worker checks its starts
}

// Guards against calls to the earlier incarnation of a worker that the next one carries out after calls of its own.
func TestCallsToTheNextIncarnationCarryAHigherToken(t *testing.T) {
	for _, listed := range []bool{true, false} { // whether the list or a report shows the restart first
		h := newHandDriven(t)
		h.list(firstIncarnation)
		h.report(h.passUntilPoll("w1"))
		h.Submit(standing(1), func(bool, error) {})
		earlier := h.passUntilPoll("w1")
		if listed {
			h.list(nextIncarnation)
		} else {
			h.reportAs(earlier, nextIncarnation.IncarnationUnixMs, nextClockMs)
		}
		if next := h.passUntilPoll("w1"); next.Token <= earlier.Token {
			t.Errorf("listed %v: token %d after %d", listed, next.Token, earlier.Token)
		}
	}
}

// Guards against a removed worker that is listed again and carries out calls from before its removal.
func TestTokenOutlivesTheRemovalOfAWorker(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	earlier := h.passUntilPoll("w1")
	h.report(earlier)
	h.list(otherWorker)
	for range 2 * int(testMaxLease/simTick) {
		h.pass(simTick)
	}
	if h.workers["w1"] != nil {
		t.Fatal("the worker is not removed")
	}
	h.list(firstIncarnation, otherWorker)
	if next := h.passUntilPoll("w1"); next.Token <= earlier.Token {
		t.Errorf("token %d after %d", next.Token, earlier.Token)
	}
}

// Guards against a later incarnation that takes a start and then an acknowledgment which was sent before it.
func TestStartAfterAnUnansweredAcknowledgmentCarriesAHigherToken(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(oneStep(1, "quotes", tasksOf(1, 100)), func(bool, error) {})
	start := h.passUntilStart()
	h.StartAnswered(&start, StartAccepted, h.now.Milliseconds())
	h.reportEnd(h.lastPoll(), start)
	ack := h.passUntilPoll("w1")
	if ack.AckedThrough != 1 {
		t.Fatalf("the poll acknowledges %d", ack.AckedThrough)
	}
	h.Submit(standing(2), func(bool, error) {})
	if next := h.passUntilStart(); next.Token <= ack.Token {
		t.Errorf("token %d after an acknowledgment with token %d", next.Token, ack.Token)
	}
	h.report(ack)
	if next := h.passUntilPoll("w1"); next.AckedThrough != 0 {
		t.Errorf("an acknowledgment that was answered is sent again")
	}
}

// Guards against an acknowledgment while the incarnation that has carried out a start is not known.
func TestStartInDoubtWithholdsTheAcknowledgment(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(oneStep(1, "quotes", tasksOf(2, 100)), func(bool, error) {})
	first, second := h.passUntilStart(), Start{}
	for _, s := range h.starts {
		if s.Task != first.Task {
			second = s
		}
	}
	h.StartAnswered(&first, StartAccepted, h.now.Milliseconds())
	h.reportEnd(h.lastPoll(), first)
	p := h.passUntilPoll("w1")
	if p.AckedThrough != 0 {
		t.Error("an end is acknowledged while a start is not answered")
	}
	h.report(p)
	h.StartAnswered(&second, StartAccepted, nextClockMs) // a later incarnation may have answered
	p = h.passUntilPoll("w1")
	if p.AckedThrough != 0 {
		t.Error("an end is acknowledged while no report has listed a start")
	}
	h.report(p, RunReport{Task: second.Task.String(), Attempt: second.Attempt})
	if p := h.passUntilPoll("w1"); p.AckedThrough != 1 {
		t.Errorf("%d is acknowledged after the report", p.AckedThrough)
	}
}

// Guards against an owner that takes a refusal because of its own later call for a newer owner.
func TestOwnLaterCallIsNoNewerOwner(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	earlier := h.passUntilPoll("w1")
	h.list(nextIncarnation)
	if !h.OvertakenByOwnCall("w1", earlier.Token) {
		t.Error("a call to the earlier incarnation counts as refused for a newer owner")
	}
	if h.OvertakenByOwnCall("w1", h.workers["w1"].token) {
		t.Error("a call with the present token counts as overtaken")
	}
}

// Guards against an owner that has no higher token left for the next incarnation of a worker.
func TestOwnerIsReplacedBeforeItsTokensRunOut(t *testing.T) {
	h := newHandDriven(t)
	h.opts.LastToken = h.opts.FirstToken + tokenReserve + 1
	for incarnation := range 4 {
		if h.TokensRunOut() != (incarnation == 3) {
			t.Errorf("before incarnation %d: %v", incarnation, h.TokensRunOut())
		}
		h.list(WorkerRef{"w1", "w1:1", incarnation + 1})
		h.pass(simTick)
	}
}

// Guards against a stop that is repeated late after a later call of its owner has overtaken it.
func TestOvertakenStopIsRepeatedAtOnce(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(standing(1), func(bool, error) {})
	start := h.passUntilStart()
	h.StartAnswered(&start, StartAccepted, h.now.Milliseconds())
	h.Cancel(&api.WorkRef{Id: workID(1), Queue: "quotes", Team: "team"}, func(error) {})
	var stops []Stop
	for len(stops) == 0 {
		stops = h.pass(simTick).Stops
	}
	h.StopOvertaken(&stops[0])
	stops = nil
	for sent := h.now; len(stops) == 0 && h.now < sent+stopRetryInterval/2; {
		stops = h.pass(simTick).Stops
	}
	if len(stops) == 0 {
		t.Errorf("no stop is sent within %v", stopRetryInterval/2)
	}
}

// Guards against a new owner that acknowledges at once because it takes the ends which its predecessor has acknowledged for ends that wait.
func TestEndsAcknowledgedByAnEarlierOwnerDoNotCountAsWaiting(t *testing.T) {
	h := newHandDriven(t)
	h.opts.PriorGrantsEnd = h.now
	h.list(firstIncarnation)
	p := h.passUntilPoll("w1")
	h.ReportReceived(p.Worker, p.Seq, &Report{
		ClockMs: h.now.Milliseconds(), IncarnationUnixMs: 1,
		Ends: []EndReport{{Number: 4 * maxEndsListed, Task: workID(1) + ".0.0.0", Attempt: 1, Outcome: EndDone}},
	})
	if p := h.passUntilPoll("w1"); p.AckedThrough != 0 {
		t.Errorf("%d is acknowledged while starts of an earlier owner may arrive", p.AckedThrough)
	}
}
