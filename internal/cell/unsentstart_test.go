package cell

import (
	"testing"
	"time"
)

// newSimulationWithStart returns a simulation in which a start was sent twice, without an
// answer, and its run.
func newSimulationWithStart(t *testing.T) (*simulation, *run) {
	t.Helper()
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.runFor(2 * testLease)
	sim.lateCallShare = 1
	sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
	var r *run
	sim.runUntil(time.Second, "start sent twice", func() bool {
		if runs := sim.cell.works[workID(1)].occurrences[0].steps[0].tasks[0].runs; len(runs) > 0 {
			r = runs[0]
		}
		return r != nil && r.startRetries == 1 && r.startSentAt != 0
	})
	return sim, r
}

// Guards against a run that is stopped and declared lost, or moved while it may be running, after tries of its start were not sent.
func TestRunIsMovedOnlyIfNoStartWasSent(t *testing.T) {
	type answer struct {
		try     int
		outcome StartOutcome
	}
	for _, tt := range []struct {
		name         string
		answers      []answer
		moved, stops bool
	}{
		{"no try sent", []answer{{0, StartNotSent}, {1, StartNotSent}}, true, false},
		{"first try may be sent", []answer{{1, StartNotSent}}, false, false},
		{"second try may be sent", []answer{{0, StartNotSent}}, false, false},
		{"only the refused try sent", []answer{{0, StartNotSent}, {1, StartStaleTicket}}, true, false},
		{"refused after a try that may be sent", []answer{{1, StartStaleTicket}}, false, true},
		{"accepted", []answer{{1, StartAccepted}, {0, StartNotSent}}, false, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			sim, r := newSimulationWithStart(t)
			w := r.worker
			for _, a := range tt.answers {
				sim.cell.StartAnswered(&Start{Worker: w.ref(), Task: r.task.id(), Attempt: r.attempt, Try: a.try}, a.outcome, 0)
			}
			if moved := w.findRun(r.taskName, r.attempt) == nil; moved != tt.moved {
				t.Errorf("moved: %t, want %t", moved, tt.moved)
			}
			if stopped := r.phase == runStopping; stopped != tt.stops {
				t.Errorf("stopped: %t, want %t", stopped, tt.stops)
			}
			if n := sim.cell.stats.Lost.Total(); n > 0 {
				t.Errorf("%d runs are lost", n)
			}
		})
	}
}
