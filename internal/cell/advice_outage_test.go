package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a node that gets no advice calls for seconds after one short failure of its
// connection, because each call that was waiting on it counts as a failure of its own.
func TestOneFailureOfALinkIsCountedOnceForAllItsCalls(t *testing.T) {
	const (
		outage   = time.Second
		callTime = 100 * time.Millisecond
	)
	sim := newSimulation(t, 1)
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		sim.addWorker(id, smallWorker)
	}
	sim.allowedShare = 1
	sim.adviceTime = callTime
	sim.queue("advised", 0, &work.Advice{CallDuration: callTime, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	sim.startOwner()
	sim.cell.opts.Address = "a"
	sim.cell.SetAdviceNodes([]string{"a", "b", "c"})
	for n := range 400 {
		sim.after(time.Duration(n)*25*time.Millisecond, func() { sim.accept(oneStep(n+1, "advised", tasksOf(1, 20))) })
	}
	sim.runFor(time.Second)
	sim.silentNodes = map[string]bool{"b": true}
	sim.runFor(outage)
	sim.silentNodes = nil
	outageEnd := sim.now
	b := sim.cell.adviceNodes[1]
	sim.runUntil(callTimeoutMargin+2*callTime, "the first call that was lost has failed", func() bool { return b.failures > 0 })
	sim.runUntil(outage+2*callTime, "all of them have failed", func() bool { return callsSentBefore(sim.cell, b, outageEnd) == 0 })
	t.Logf("%d failures, next call in %v", b.failures, b.freeAt-sim.cell.now)
	sim.runUntil(outage, "the node is called again and answers", func() bool { return b.failures == 0 })
}

// callsSentBefore counts the calls in flight through a node that were sent before a time.
func callsSentBefore(c *Cell, n *adviceNode, before time.Duration) int {
	calls := 0
	for _, call := range c.adviceCalls {
		if call.node == n && call.sentAt < before {
			calls++
		}
	}
	return calls
}

// Guards against a step without any advice that is not served ahead of the order, because the
// workers of its only call were removed from the cell before the answer arrived.
func TestStepWithoutAdviceIsOverdueAfterItsWorkersLeftDuringTheCall(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.allowedShare = 1
	sim.adviceTime = 300 * time.Millisecond
	sim.queue("advised", 0, &work.Advice{CallDuration: sim.adviceTime, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	sim.startOwner()
	sim.cell.SetAdviceNodes([]string{"a"})
	sim.submit(oneStep(1, "advised", tasksOf(1, 20)))
	sim.runUntil(time.Second, "the call is in flight", func() bool { return len(sim.cell.adviceCalls) == 1 })
	for _, w := range append([]*worker(nil), sim.cell.fleet...) {
		sim.cell.endIncarnation(w, lostWithIncarnation)
	}
	sim.runUntil(time.Second, "the call is answered", func() bool { return len(sim.cell.adviceCalls) == 0 })
	for _, aw := range sim.cell.works {
		if s := aw.occurrences[0].steps[0]; !s.advice.empty() {
			t.Errorf("advice about %d workers counts as known, and %d of them are in the cell", len(s.advice.queried), len(sim.cell.fleet))
		}
	}
}
