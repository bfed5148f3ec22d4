package cell

import (
	"testing"
	"time"
)

// backupCallsAfter counts the backup calls that are in flight after a number of long-running works
// has been submitted to an owner of some age.
func backupCallsAfter(t *testing.T, nodes, works int, age time.Duration) int {
	t.Helper()
	sim := startScarceAdvice(t, nodes)
	sim.cell.opts.Address, sim.cell.opts.PriorOwnerLost = "n0", true
	sim.runFor(age)
	step := tasksOf(1, 0)
	step.LongRunning = true
	for n := range works {
		sim.submit(oneStep(1+n, "long", step))
	}
	sim.runFor(50 * time.Millisecond)
	if sim.adviceCalls == 0 {
		t.Fatal("no call")
	}
	return sim.cell.backupCalls()
}

// Guards against backup calls that take the nodes of other work, and against those of an owner
// that lasts.
func TestBackupCallsAreLimited(t *testing.T) {
	for _, test := range []struct {
		nodes, works int
		age          time.Duration
		want         int
	}{
		{8, 1, 500 * time.Millisecond, 1}, // only one call is made through the owner's own node
		{8, 5, 500 * time.Millisecond, 1},
		{2, 1, 500 * time.Millisecond, 1},
		{3, 1, 500 * time.Millisecond, 1},
		{3, 9, 500 * time.Millisecond, 0}, // no node is idle
		{1, 5, 500 * time.Millisecond, 0},
		{8, 1, backupPeriod + time.Second, 0},
	} {
		if got := backupCallsAfter(t, test.nodes, test.works, test.age); got != test.want {
			t.Errorf("%d nodes, %d works, after %v: %d backup calls, want %d", test.nodes, test.works, test.age, got, test.want)
		}
	}
}

// Guards against backup calls where the earlier owner has handed the cell over.
func TestNoBackupCallsAfterAHandover(t *testing.T) {
	sim := startScarceAdvice(t, 8)
	sim.cell.opts.Address = "n0"
	step := tasksOf(1, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "long", step))
	sim.runFor(50 * time.Millisecond)
	if n := sim.cell.backupCalls(); n > 0 || sim.adviceCalls == 0 {
		t.Errorf("%d backup calls, %d calls in all", n, sim.adviceCalls)
	}
}

// Guards against backup calls that take the nodes of short calls.
func TestBackupCallsKeepToTheLimitOfLongCalls(t *testing.T) {
	sim := startScarceAdvice(t, 2)
	sim.cell.opts.Address, sim.cell.opts.PriorOwnerLost = "n0", true
	acceptShort(sim, 2, 300*time.Millisecond)
	sim.runFor(200 * time.Millisecond)
	step := tasksOf(1, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "long", step))
	for range 20 {
		sim.runFor(10 * time.Millisecond)
		if n := sim.cell.backupCalls(); n > 0 {
			t.Fatalf("%d backup calls while short calls are due", n)
		}
	}
}

// Guards against a step that gets no further call, or two, after its backup call.
func TestBackupCallEndsByItself(t *testing.T) {
	sim := startScarceAdvice(t, 8)
	sim.cell.opts.Address, sim.cell.opts.PriorOwnerLost = "n0", true
	sim.silentNodes = map[string]bool{"n0": true}
	sim.runFor(500 * time.Millisecond)
	step := tasksOf(1, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "long", step))
	sim.runUntil(time.Second, "started with the answer to the backup call", func() bool {
		return sim.observationOf(workID(1)+".0.0.0").starts == 1
	})
	sim.runFor(3 * time.Second)
	if n := len(sim.cell.adviceCalls); n > 0 {
		t.Errorf("%d calls are in flight", n)
	}
}
