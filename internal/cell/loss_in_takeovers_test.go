package cell

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a long-running task on a lost worker that is away for as long as owners follow each
// other, because each one waits anew for leases that the one before may have granted.
func TestLongRunningTaskReturnsFromALostWorkerWhileOwnersFollowEachOther(t *testing.T) {
	for _, tenure := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(tenure), func(t *testing.T) { testLossInTakeovers(t, tenure, (*simulation).release) })
	}
}

// Guards against the same while owners are killed.
func TestLongRunningTaskReturnsFromALostWorkerWhileOwnersAreKilled(t *testing.T) {
	for _, tenure := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(tenure), func(t *testing.T) { testLossInTakeovers(t, tenure, (*simulation).kill) })
	}
}

// Guards against the same while owners ask other nodes to claim the cell.
func TestLongRunningTaskReturnsFromALostWorkerWhileOwnersAreReplaced(t *testing.T) {
	for _, tenure := range []time.Duration{1200 * time.Millisecond, 3 * time.Second, 5 * time.Second} {
		t.Run(fmt.Sprint(tenure), func(t *testing.T) { testLossInTakeovers(t, tenure, (*simulation).replace) })
	}
}

// Guards against the same while every second owner ends before it has loaded the records.
func TestLongRunningTaskReturnsFromALostWorkerWhileOwnersEndBeforeTheyHaveLoaded(t *testing.T) {
	for name, endTenure := range map[string]func(*simulation){"released": (*simulation).release, "killed": (*simulation).kill} {
		t.Run(name, func(t *testing.T) {
			testLossInTakeovers(t, 3*time.Second, func(sim *simulation) {
				endTenure(sim)
				sim.runFor(300 * time.Millisecond)
				sim.endBeforeLoad()
			})
		})
	}
}

// testLossInTakeovers loses the worker of a long-running task while owners end in some way.
func testLossInTakeovers(t *testing.T, tenure time.Duration, endTenure func(sim *simulation)) {
	const waitLimit = 20 * time.Second
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(10 * time.Second)
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	f.crashMachine()
	lost := sim.now
	for len(other.runs) == 0 {
		if sim.now-lost > waitLimit {
			t.Fatalf("the task does not run %v after its worker was lost", sim.now-lost)
		}
		endTenure(sim)
		sim.runFor(300 * time.Millisecond)
		sim.startOwner()
		sim.runFor(tenure)
	}
	t.Logf("back after at most %v", sim.now-lost)
}
