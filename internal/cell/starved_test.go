package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// maxAbsence is the longest time for which callers accept that a long-running task is away.
const maxAbsence = 6 * time.Second

// startWithService starts an owner with one long-running task of the size, which may run on
// the worker w0, which it returns, and the others.
func startWithService(sim *simulation, size work.Resources, others ...string) *fakeWorker {
	sim.t.Helper()
	sim.queue("services", 1, &work.Advice{CallDuration: 500 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
	sim.adviceTime = 500 * time.Millisecond
	f := sim.addWorker("w0", smallWorker)
	for _, id := range others {
		sim.addWorker(id, smallWorker)
	}
	sim.startOwner()
	step := tasksOf(1, 0)
	step.LongRunning = true
	step.Size.CpuMillis, step.Size.MemoryMb = size.CPUMillis, size.MemoryMB
	spec := oneStep(1, "services", step)
	spec.Team = "services"
	sim.submit(spec)
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runs(workID(1) + ".0.0.0") })
	return f
}

// Guards against a long-running task that waits while tasks that end by themselves occupy
// its workers for long.
func TestLongRunningTaskTakesTheRoomOfTasksThatEnd(t *testing.T) {
	gangs := tasksOf(4, 30000)
	gangs.Gang = true
	small := tasksOf(16, 30000)
	small.Size.CpuMillis, small.Size.MemoryMb = 250, 512
	checkpointed := tasksOf(4, 30000)
	checkpointed.Checkpoints = true
	for _, test := range []struct {
		name  string
		queue string
		step  api.StepSpec
	}{
		{"higher priority", "quotes", checkpointed},
		{"without checkpoints", "batch", tasksOf(4, 30000)},
		{"gang", "quotes", gangs},
		{"many small tasks", "quotes", small},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := startWithService(sim, smallWorker)
			f.restart()
			sim.submit(oneStep(2, test.queue, test.step))
			sim.updateWorkers()
			sim.runUntil(maxAbsence, "running again", func() bool { return sim.runs(workID(1) + ".0.0.0") })
		})
	}
}

// Guards against runs that are stopped on one worker after the other while the task for
// which room was made waits for a ticket.
func TestPreemptionMakesRoomOnceWhileTheAdviserFails(t *testing.T) {
	sim := newSimulation(t, 1)
	startWithService(sim, smallWorker, "w1", "w2", "w3")
	name := workID(1) + ".0.0.0"
	busy := tasksOf(30, 30000)
	busy.Checkpoints = true
	sim.submit(oneStep(2, "batch", busy))
	sim.runFor(3 * time.Second) // the tickets expire
	sim.adviceFails = true
	for _, f := range sim.workers {
		f.end(name, EndFailed)
	}
	sim.runFor(5 * time.Second)
	if n := sim.cell.stats.Preempted; n > 4 {
		t.Errorf("%d runs were preempted for one task, 4 make room for it", n)
	}
	sim.adviceFails = false
	sim.runUntil(2*time.Second, "running again", func() bool { return sim.runs(name) })
}

// Guards against a long-running task that waits for the end of a quarantine although the
// only worker that it may use is sound again.
func TestLongRunningTaskDoesNotWaitForTheEndOfAQuarantine(t *testing.T) {
	sim := newSimulation(t, 1)
	f := startWithService(sim, work.Resources{CPUMillis: 1000, MemoryMB: 1024})
	f.failsTasks = true
	h := &sim.cell.workers["w0"].health
	for n := 2; h.quarantinedUntil < sim.now+2*maxAbsence; n++ {
		sim.submit(oneStep(n, "quotes", tasksOf(1, 300)))
		sim.runFor(500 * time.Millisecond)
	}
	f.failsTasks = false
	f.end(workID(1)+".0.0.0", EndFailed)
	sim.runUntil(maxAbsence, "running again", func() bool { return sim.runs(workID(1) + ".0.0.0") })
}

// Guards against tasks that are placed on a quarantined worker while others have room.
func TestStarvedTaskPrefersSoundWorkers(t *testing.T) {
	sim := newSimulation(t, 1)
	f := startWithService(sim, smallWorker, "w1", "w2")
	name := workID(1) + ".0.0.0"
	sim.adviceFails = true
	sim.runFor(3 * time.Second) // the tickets expire
	for _, f := range sim.workers {
		f.end(name, EndFailed)
	}
	sim.runFor(starvedAfter)
	sim.cell.workers[f.id].health.quarantinedUntil = sim.now + maxQuarantine
	sim.cell.workers["w1"].health.quarantinedUntil = sim.now + maxQuarantine
	sim.adviceFails = false
	sim.runUntil(3*time.Second, "running again", func() bool { return sim.runs(name) })
	if sim.workers["w2"].runs[name] == nil {
		t.Errorf("the task runs on a quarantined worker")
	}
}

// Guards against a long-running task that gets no ticket because short advice calls keep
// all nodes busy.
func TestAdviceForALongRunningTaskIsNotStarvedByShortCalls(t *testing.T) {
	sim := newSimulation(t, 1)
	startWithService(sim, smallWorker, "w1", "w2", "w3")
	name := workID(1) + ".0.0.0"
	sim.queue("advised", 0, &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
	sim.adviceTime = 24 * time.Millisecond
	for n := range 2000 { // more than the nodes can ask for
		sim.after(time.Duration(n)*5*time.Millisecond, func() { sim.submit(oneStep(n+2, "advised", tasksOf(1, 20))) })
	}
	sim.runFor(3 * time.Second) // the tickets expire
	for _, f := range sim.workers {
		f.end(name, EndFailed)
	}
	sim.runUntil(maxAbsence, "running again", func() bool { return sim.runs(name) })
}

// Guards against long-running tasks that get advice one after the other while other steps need many short calls.
func TestAdviceForLongRunningTasksGoesBeforeShortCalls(t *testing.T) {
	const works = 20
	sim := newSimulation(t, 1)
	sim.addWorkers(10)
	sim.queue("urgent", 0, shortAdvice())
	sim.queue("services", 1, &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	sim.adviceTimes = map[string]time.Duration{"services": 550 * time.Millisecond}
	sim.startOwner()
	for n := range 200 * 12 {
		sim.after(time.Duration(n)*5*time.Millisecond, func() { sim.accept(oneStep(1000+n, "urgent", tasksOf(1, 20))) })
	}
	sim.runFor(time.Second)
	step := tasksOf(1, 0)
	step.LongRunning = true
	step.Size.CpuMillis = 100
	for n := range works {
		sim.submit(oneStep(n, "services", step))
	}
	sim.runUntil(9*time.Second, "all long-running tasks run", func() bool {
		for n := range works {
			if sim.countRuns(workID(n)) == 0 {
				return false
			}
		}
		return true
	})
}

// Guards against a long-running task that never gets the room of tasks that end by themselves,
// because each of the owners that follow each other counts its absence anew.
func TestLongRunningTaskTakesRoomWhileOwnersFollowEachOther(t *testing.T) {
	const tenure = 2 * time.Second
	sim := newSimulation(t, 1)
	f := startWithService(sim, smallWorker)
	f.restart()
	sim.submit(oneStep(2, "quotes", tasksOf(4, 60000)))
	sim.updateWorkers()
	sim.runFor(500 * time.Millisecond)
	for end := sim.now + maxAbsence; !sim.runs(workID(1) + ".0.0.0"); sim.runFor(tenure) {
		if sim.now > end {
			t.Fatalf("not running again after %v", maxAbsence)
		}
		sim.release()
		sim.startOwner()
	}
}
