package cell

import (
	"testing"
	"time"
)

// Guards against accepted works that wait for the advice of one node, while the nodes that
// are being stopped still could make calls.
func TestStoppingNodesStillMakeCalls(t *testing.T) {
	sim := startScarceAdvice(t, 5)
	const works = 40
	stops := sim.now + 4*time.Second
	sim.cell.SetStoppingNodes(map[string]time.Duration{"n1": stops, "n2": stops, "n3": stops, "n4": stops})
	sim.cell.SetAdviceNodes([]string{"n0"})
	for n := range works {
		sim.accept(oneStep(1+n, "long", tasksOf(2, 300)))
	}
	sim.runUntil(4*time.Second, "all works are completed", func() bool { return sim.completed(1, works) })
}

// Guards against calls that are lost because their node stops before the answer.
func TestCallsDoNotOutlastAStoppingNode(t *testing.T) {
	sim := startScarceAdvice(t, 5)
	stops := sim.now + 2100*time.Millisecond
	sim.cell.SetStoppingNodes(map[string]time.Duration{"n1": stops, "n2": stops, "n3": stops, "n4": stops})
	sim.cell.SetAdviceNodes([]string{"n0"})
	for n := range 60 {
		sim.accept(oneStep(1+n, "long", tasksOf(2, 300)))
	}
	sim.runFor(4 * time.Second)
	if len(sim.adviserBusy) < 3 {
		t.Errorf("calls to %d nodes", len(sim.adviserBusy))
	}
	for node, end := range sim.adviserBusy {
		if node != "n0" && end > stops {
			t.Errorf("a call to %s ends %v after the node has stopped", node, end-stops)
		}
	}
}

// Guards against a stopping node that is kept from ending by calls that others could make.
func TestStoppingNodeIsNotNeededBesideAFreeNode(t *testing.T) {
	sim := startScarceAdvice(t, 2)
	sim.cell.SetStoppingNodes(map[string]time.Duration{"n1": sim.now + 4*time.Second})
	sim.cell.SetAdviceNodes([]string{"n0"})
	for n := range 3 {
		sim.submit(oneStep(1+n, "long", tasksOf(2, 300)))
		sim.runFor(time.Second)
	}
	if sim.adviserBusy["n1"] != 0 || sim.adviserBusy["n0"] == 0 {
		t.Errorf("calls until %v", sim.adviserBusy)
	}
}

// Guards against works that are accepted for the advice of nodes that are being stopped.
func TestAdmissionCountsOnTheNodesThatStay(t *testing.T) {
	accepted := func(stopping map[string]time.Duration) int {
		sim := startScarceAdvice(t, 1)
		for node, left := range stopping {
			stopping[node] = sim.now + left
		}
		sim.cell.SetStoppingNodes(stopping)
		sim.cell.SetAdviceNodes([]string{"n0"})
		n := 0
		for id := range 200 {
			if sim.offer(oneStep(1+id, "long", tasksOf(2, 300))) {
				n++
			}
		}
		return n
	}
	alone := accepted(nil)
	stopping := map[string]time.Duration{"n1": 4 * time.Second, "n2": 4 * time.Second}
	// Each of the two still has 3 s for calls of 0.224 s, and the works of the overhead.
	most := alone + int(2*3*time.Second/(224*time.Millisecond))
	if got := accepted(stopping); got < alone || got > most {
		t.Errorf("%d works accepted, want %d to %d", got, alone, most)
	}
}
