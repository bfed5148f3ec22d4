package cell

import (
	"testing"
	"time"
)

// newOwnerDuringACall returns a simulation in which a new owner has taken over while a call for a
// long-running task is in flight, and the calls that the earlier owner had in flight.
func newOwnerDuringACall(t *testing.T) (*simulation, []AdviceCallInFlight) {
	t.Helper()
	sim := startScarceAdvice(t, 1)
	sim.config.Queues["long"].Advice.CallDuration = time.Second
	step := tasksOf(1, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "long", step))
	sim.runFor(200 * time.Millisecond)
	calls := sim.cell.AdviceCallsInFlight()
	if len(calls) != 1 {
		t.Fatalf("calls in flight: %v", calls)
	}
	sim.release()
	sim.startOwner()
	sim.cell.SetAdviceNodes([]string{calls[0].Node})
	return sim, calls
}

// Guards against an owner that asks again about a step whose call by the owner before is in
// flight, so that each owner that follows makes the next answers later.
func TestCallOfAnEarlierOwnerInFlightIsNotRepeated(t *testing.T) {
	sim, calls := newOwnerDuringACall(t)
	sim.cell.AdviceCallsInherited(calls)
	made := sim.adviceCalls
	sim.runFor(calls[0].Ends - sim.now)
	if sim.adviceCalls != made {
		t.Errorf("%d calls beside the one in flight", sim.adviceCalls-made)
	}
	inherit(sim, inheritedFor(sim, 1, "earlier", time.Second, calls[0].Workers...))
	sim.runUntil(300*time.Millisecond, "started", func() bool { return sim.observationOf(workID(1)+".0.0.0").starts == 1 })
}

// Guards against a step that waits for a call of an earlier owner that has failed.
func TestCallOfAnEarlierOwnerWithoutAnAnswerIsRepeated(t *testing.T) {
	sim, calls := newOwnerDuringACall(t)
	sim.cell.AdviceCallsInherited(calls)
	sim.runUntil(calls[0].Ends-sim.now+2*time.Second, "started", func() bool { return sim.observationOf(workID(1)+".0.0.0").starts == 1 })
}

// Guards against a series of owners that loses the calls in flight with an owner that does not know
// the nodes yet.
func TestCallsInFlightArePassedOnByAnOwnerThatHasNotUsedThem(t *testing.T) {
	sim, calls := newOwnerDuringACall(t)
	sim.cell.SetAdviceNodes(nil)
	sim.cell.AdviceCallsInherited(calls)
	if got := sim.cell.AdviceCallsInFlight(); len(got) != 1 || got[0].Ends != calls[0].Ends {
		t.Errorf("calls in flight: %v, want %v", got, calls)
	}
}
