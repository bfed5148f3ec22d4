package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

// largeWorker takes as many tasks of tinyTasks as a report lists ends, and some more.
var largeWorker = work.Resources{CPUMillis: 10 * (maxEndsListed + 100), MemoryMB: 10 * (maxEndsListed + 100)}

func tinyTasks(count, estimateMs int) api.StepSpec {
	step := tasksOf(count, estimateMs)
	step.Size = api.Resources{CpuMillis: 10, MemoryMb: 10}
	return step
}

func (h *handDriven) listWithCapacity(ref WorkerRef, capacity work.Resources) {
	h.SetWorkers([]WorkerInfo{{WorkerRef: ref, Pool: "desk", Capacity: capacity}})
}

// Guards against ends that are never acknowledged, because a run that no report can list any
// more keeps its start in doubt: its end follows on as many others as a report lists.
func TestFullListOfEndsIsAcknowledged(t *testing.T) {
	h := newHandDriven(t)
	h.listWithCapacity(firstIncarnation, largeWorker)
	h.report(h.passUntilPoll("w1"))
	const tasks = maxEndsListed + 20
	h.Submit(oneStep(1, "quotes", tinyTasks(tasks, 100)), func(bool, error) {})
	for range 50 {
		if len(h.starts) == tasks {
			break
		}
		h.pass(simTick)
	}
	if len(h.starts) != tasks {
		t.Fatalf("%d starts", len(h.starts))
	}
	var ends []EndReport
	for i := range h.starts {
		s := &h.starts[i]
		h.StartAnswered(s, StartAccepted, h.now.Milliseconds())
		ends = append(ends, EndReport{Number: i + 1, Task: s.Task.String(), Attempt: s.Attempt, Outcome: EndDone})
	}
	// All tasks have ended. The worker follows the protocol from here on.
	polls := 0
	answer := func(p Poll) {
		polls++
		for len(ends) > 0 && ends[0].Number <= p.AckedThrough {
			ends = ends[1:]
		}
		h.ReportReceived(p.Worker, p.Seq, &Report{
			ClockMs: h.now.Milliseconds(), IncarnationUnixMs: p.Worker.IncarnationUnixMs, Ends: append([]EndReport(nil), ends[:min(len(ends), maxEndsListed)]...),
		})
	}
	for _, p := range h.polls[1:] {
		answer(p)
	}
	for end := h.now + 30*time.Second; h.now < end && len(ends) > 0; {
		for _, p := range h.pass(simTick).Polls {
			answer(p)
		}
	}
	if len(ends) > 0 {
		t.Errorf("after 30 s and %d polls %d ends are not acknowledged, %d runs are held on the worker", polls, len(ends), len(h.workers["w1"].runs))
	}
}

// Guards against ends of a calm worker that are not acknowledged within ackMs, because starts
// are sent to it all the while.
func TestEndsOfABusyWorkerAreAcknowledged(t *testing.T) {
	const ackTime = 4 * time.Second
	for _, way := range []time.Duration{0, 20 * time.Millisecond, 60 * time.Millisecond} {
		t.Run(fmt.Sprint(way), func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", work.Resources{CPUMillis: 40 * 10, MemoryMB: 40 * 10})
			f.slowLink = way
			sim.startOwner()
			sim.runFor(time.Second)
			sim.submit(oneStep(1, "quotes", tinyTasks(2000, 400)))
			listed := map[int]time.Duration{}
			oldest, late, polls := time.Duration(0), map[int]bool{}, sim.polls
			for end := sim.now + 15*time.Second; sim.now < end; {
				sim.runFor(simTick)
				for _, e := range f.ends {
					if listed[e.Number] == 0 {
						listed[e.Number] = sim.now
					}
					if age := sim.now - listed[e.Number]; age > ackTime {
						late[e.Number] = true
						oldest = max(oldest, age)
					}
				}
			}
			t.Logf("%d ends, %d late, oldest %v, %d polls in 15 s, token +%d", len(listed), len(late), oldest, sim.polls-polls, sim.cell.workers["w1"].token-sim.cell.opts.FirstToken)
			if len(late) > 0 {
				t.Errorf("%d of %d ends are not acknowledged within %v, the oldest in %v", len(late), len(listed), ackTime, oldest)
			}
		})
	}
}

// Guards against ends that are not acknowledged in a calm stretch of ackMs, because one start
// had no answer before it.
func TestEndsAreAcknowledgedInCalmAfterALostAnswer(t *testing.T) {
	const ackTime = 4 * time.Second
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(time.Second)
	sim.submit(standing(1))
	sim.answerLossShare = 1
	sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
	sim.answerLossShare = 0
	calm := sim.now
	for n := 2; n < 14; n++ {
		sim.submit(oneStep(n, "quotes", tasksOf(2, 100)))
		sim.runFor(300 * time.Millisecond)
	}
	sim.runFor(calm + ackTime - sim.now)
	if n := len(f.ends); n > 0 {
		sim.runUntil(time.Minute, "acknowledged", func() bool { return len(f.ends) == 0 })
		t.Errorf("%d ends of %d are not acknowledged after %v of calm, but only after %v", n, f.nextEnd-1, ackTime, sim.now-calm)
	}
}

// Guards against a new owner that acknowledges ends while a start of its predecessor may still
// be carried out by a later incarnation, which forgets the end of that run unread. The run is
// known to be on the earlier incarnation, and no end of a predecessor's run has been listed.
func TestAcknowledgmentWaitsForStartsOfAnEarlierOwner(t *testing.T) {
	for _, withAck := range []bool{false, true} { // without it nothing is wrong
		t.Run(fmt.Sprint(withAck), func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", smallWorker)
			sim.startOwner()
			sim.runFor(time.Second)
			sim.submit(oneStep(1, "quotes", tasksOf(1, 800)))
			sim.lateStarts, sim.lateBy = 1, 2500*time.Millisecond // of two tries
			sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
			sim.runFor(200 * time.Millisecond)
			sim.startOwner()
			sim.runFor(200 * time.Millisecond)
			if withAck {
				sim.submit(oneStep(2, "quotes", tasksOf(1, 10)))
				sim.runUntil(time.Second, "ended", func() bool { return len(f.ends) == 1 })
				sim.latePolls, sim.lateBy = 10, 4*time.Second
				sim.runFor(simTick)
				sim.latePolls = 0
				sim.runFor(simTick) // the worker receives the polls
			}
			restartUnseen(sim, f, 100*time.Millisecond)
			sim.addWorker("w2", smallWorker)
			f.unresponsive = true // cut off until the late calls are carried out
			sim.updateWorkersWithout("w1")
			sim.runFor(4300 * time.Millisecond)
			f.unresponsive = false
			sim.updateWorkers()
			sim.runFor(5 * time.Second)
			t.Logf("%d starts of task 1, state %s", sim.observationOf(workID(1)+".0.0.0").starts, sim.state(workID(1)))
		})
	}
}

// updateWorkersWithout passes the list of workers without one to the cell.
func (sim *simulation) updateWorkersWithout(id string) {
	sim.workers[id].listed = false
	sim.updateWorkers()
	sim.workers[id].listed = true
}

// Guards against a task that is placed on a new incarnation by the entry of the earlier one: a
// new boot may be of a different kind (capacity, labels, service).
func TestNextIncarnationTakesNoTaskBeforeItsEntryIsKnown(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(standing(1), func(bool, error) {})
	h.passUntilStart()
	h.reportAs(h.lastPoll(), nextIncarnation.IncarnationUnixMs, nextClockMs)
	h.reportAs(h.passUntilPoll("w1"), nextIncarnation.IncarnationUnixMs, nextClockMs+10)
	h.Submit(oneStep(2, "quotes", tasksOf(2, 1000)), func(bool, error) {})
	sent := len(h.starts)
	for range 20 {
		h.pass(simTick)
	}
	for _, s := range h.starts[sent:] {
		t.Errorf("task %s starts on incarnation %d, of which only the entry of incarnation %d is known", s.Task, s.Worker.IncarnationUnixMs, firstIncarnation.IncarnationUnixMs)
	}
}

// Guards against a throttle command without an answer that is carried out after later ones: the
// owner then takes an opportunistic task for suspended that works on, for as long as it runs.
func TestLateThrottleIsCorrected(t *testing.T) {
	const target = 100
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	serving, filling := standing(1), standing(2)
	serving.Steps[0].TargetLatencyMs = target
	filling.Steps[0].Opportunistic = true
	h.Submit(serving, func(bool, error) {})
	h.Submit(filling, func(bool, error) {})
	for len(h.starts) < 2 {
		h.pass(simTick)
	}
	for i := range h.starts {
		h.StartAnswered(&h.starts[i], StartAccepted, h.now.Milliseconds())
	}
	// reportTail answers the polls for d with a tail of the serving task that depends on the
	// percentage of the other one, and returns the throttle commands.
	reportTail := func(d time.Duration, tail func() int) (out []Throttle) {
		for end := h.now + d; h.now < end; {
			e := h.pass(simTick)
			out = append(out, e.Throttles...)
			for _, p := range e.Polls {
				h.report(p,
					RunReport{Task: serving.Id + ".0.0.0", Attempt: 1, Percent: 100, Usage: tail()},
					RunReport{Task: filling.Id + ".0.0.0", Attempt: 1, Percent: 100})
			}
			if len(out) > 0 {
				return out
			}
		}
		return nil
	}
	over, under := func() int { return 3 * target }, func() int { return target / 4 }
	h.report(h.lastPoll())
	if got := reportTail(time.Second, over); len(got) != 1 || got[0].Percent != 0 {
		t.Fatalf("%+v", got)
	}
	raised := reportTail(time.Second, under)
	if len(raised) != 1 || raised[0].Percent == 0 {
		t.Fatalf("%+v", raised)
	}
	h.ThrottleFailed(&raised[0]) // no answer; the worker carries it out seconds later
	if got := reportTail(time.Second, over); len(got) != 1 || got[0].Percent != 0 {
		t.Fatalf("%+v", got)
	}
	// Suspended, and well below the target. Then the late command raises it, without an answer.
	if got := reportTail(5*time.Second, over); len(got) == 0 {
		t.Error("the tail is over its target for 5 s, and no throttle command is sent")
	}
}

// Guards against an error that is logged although no end was forgotten: a worker that was
// removed and is listed again goes on counting its ends.
func TestEndsBeforeTheRemovalOfAWorkerAreNotLoggedAsForgotten(t *testing.T) {
	h := newHandDriven(t)
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(oneStep(1, "quotes", tasksOf(1, 100)), func(bool, error) {})
	start := h.passUntilStart()
	h.StartAnswered(&start, StartAccepted, h.now.Milliseconds())
	h.reportEnd(h.lastPoll(), start)
	h.report(h.passUntilPoll("w1")) // its end is acknowledged
	h.list(otherWorker)
	for range 2 * int(testMaxLease/simTick) {
		h.pass(simTick)
	}
	if h.workers["w1"] != nil {
		t.Fatal("the worker is not removed")
	}
	h.list(firstIncarnation)
	h.report(h.passUntilPoll("w1"))
	h.Submit(oneStep(2, "quotes", tasksOf(1, 100)), func(bool, error) {})
	start = h.passUntilStart()
	h.StartAnswered(&start, StartAccepted, h.now.Milliseconds())
	h.DrainLogLines()
	p := h.lastPoll()
	h.ReportReceived(p.Worker, p.Seq, &Report{
		ClockMs: h.now.Milliseconds(), IncarnationUnixMs: p.Worker.IncarnationUnixMs,
		Ends: []EndReport{{Number: 2, Task: start.Task.String(), Attempt: start.Attempt, Outcome: EndDone}},
	})
	for _, l := range h.DrainLogLines() {
		if l.Event == event.EndsForgotten {
			t.Errorf("logged: %v", l.Fields)
		}
	}
}
