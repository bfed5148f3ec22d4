package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a start with an expired ticket, after the record took longer to write
// than the ticket was valid.
func TestStaleTicketIsNotUsed(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	sim.storeUp = false
	sim.submit(oneStep(1, "advised", tasksOf(1, 200)))
	sim.runFor(4 * time.Second)
	sim.storeUp = true
	sim.runUntil(3*time.Second, "completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
	if n := sim.cell.stats.StaleTickets; n != 0 {
		t.Errorf("%d starts were refused for a stale ticket", n)
	}
}

// Guards against a work that is placed again and again and never starts, because each
// record takes longer to write than the tickets are valid.
func TestRecordsSlowerThanTickets(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	sim.commitTime = 2500 * time.Millisecond
	sim.submit(oneStep(1, "advised", tasksOf(3, 200)))
	sim.runUntil(6*time.Second, "running", func() bool { return len(sim.workers["w1"].runs) == 3 })
	sim.runUntil(9*time.Second, "completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
	if n := sim.cell.stats.StaleTickets; n != 0 {
		t.Errorf("%d starts were refused for a stale ticket", n)
	}
}

// Guards against a task that waits forever because all workers with a ticket have reached
// the limit of tasks per worker, so that no further advice is requested.
func TestMoreAdviceIsRequestedForAStepWithALimitPerWorker(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 60 {
		sim.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	sim.allowedShare = 0.3
	sim.queue("advised", 0, shortAdvice())
	sim.startOwner()
	step := tasksOf(14, 0)
	step.LongRunning = true
	step.MaxPerWorker = 1
	sim.submit(oneStep(1, "advised", step))
	sim.runUntil(10*time.Second, "all tasks run", func() bool { return sim.runningTasks() == 14 })
}

// Guards against a step that gets no advice, and waits forever beside idle workers,
// because the steps ahead of it use all long calls.
func TestFirstAdviceIsNotStarved(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 10 {
		sim.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
	sim.adviceTime = 550 * time.Millisecond
	advice := &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	sim.queue("urgent", 1, advice)
	sim.queue("patient", 1, advice).TargetLatency = time.Minute
	sim.startOwner()
	for n := range 60 { // more than the adviser can handle
		sim.after(time.Duration(n)*200*time.Millisecond, func() { sim.submit(oneStep(n+2, "urgent", tasksOf(1, 100))) })
	}
	sim.runFor(2 * time.Second)
	sim.submit(oneStep(1, "patient", tasksOf(1, 200)))
	sim.runUntil(3500*time.Millisecond, "completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
}

// Guards against a task that never runs again because its workers were not listed for a while.
func TestLongRunningTaskReturnsToWorkersThatAreListedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
	sim.queue("advised", 1, shortAdvice())
	sim.startOwner()
	step := tasksOf(2, 0)
	step.LongRunning = true
	sim.submit(oneStep(1, "advised", step))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runningTasks() == 2 })
	sim.unlistWorkers(testLease + 2*time.Second)
	sim.runUntil(3*time.Second, "running again", func() bool { return sim.runningTasks() == 2 })
}

// Guards against a task that never runs because an advice call for its last workers failed.
func TestWorkersOfAFailedAdviceCallAreAskedForAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.queue("advised", 1, shortAdvice())
	sim.startOwner()
	step := tasksOf(2, 0)
	step.LongRunning, step.MaxPerWorker = true, 1
	sim.submit(oneStep(1, "advised", step))
	sim.runUntil(3*time.Second, "first task running", func() bool { return sim.runningTasks() == 1 })
	sim.adviceFails = true
	sim.addWorker("w1", smallWorker)
	sim.updateWorkers()
	sim.runFor(time.Second)
	sim.adviceFails = false
	sim.runUntil(3*time.Second, "second task running", func() bool { return sim.runningTasks() == 2 })
}

// Guards against a gang that waits forever because only a part of its ticket holders has room.
func TestGangAsksForMoreWorkersIfItsTicketHoldersAreFull(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 60 {
		sim.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	sim.queue("advised", 1, shortAdvice())
	sim.startOwner()
	sim.runFor(200 * time.Millisecond)
	gang := tasksOf(2, 300)
	gang.Gang, gang.MaxPerWorker = true, 1
	gang.Size = api.Resources{CpuMillis: smallWorker.CPUMillis, MemoryMb: smallWorker.MemoryMB}
	sim.adviceTime = 300 * time.Millisecond
	sim.submit(oneStep(1, "advised", gang))
	s := sim.cell.works[workID(1)].occurrences[0].steps[0]
	for n := range 60 { // the first call includes w00 to w35
		sim.allowedWorkers[fmt.Sprintf("%s/w%02d", s.id(), n)] = n == 2 || n == 3 || n >= 36
	}
	sim.cell.workers["w02"].info.Labels = []string{"taken"}
	fill := tasksOf(1, 0)
	fill.LongRunning, fill.Constraint = true, "taken"
	sim.after(100*time.Millisecond, func() { sim.submit(oneStep(2, "quotes", fill)) })
	sim.runUntil(5*time.Second, "completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
}

// Guards against a long-running task that never runs again because other steps use all long calls.
func TestAdviceAfterTheLossOfAllTicketsIsNotStarved(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 10 {
		sim.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
	sim.adviceTime = 550 * time.Millisecond
	advice := &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	sim.queue("urgent", 1, advice)
	sim.queue("patient", 1, advice).TargetLatency = time.Minute
	sim.startOwner()
	longRunning := tasksOf(1, 0)
	longRunning.LongRunning = true
	sim.submit(oneStep(1, "patient", longRunning))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runningTasks() == 1 })
	for n := range 300 { // more than the adviser can handle
		sim.after(testLease+time.Duration(n)*100*time.Millisecond, func() { sim.accept(oneStep(n+2, "urgent", tasksOf(1, 100))) })
	}
	sim.unlistWorkers(testLease + 2*time.Second)
	sim.runUntil(9*time.Second, "running again", func() bool { return sim.countRuns(workID(1)) == 1 })
}

// Guards against a long-running task that stays on a draining worker, because the other workers were not listed for a while.
func TestLongRunningTaskIsEvacuatedToWorkersThatAreListedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 4 {
		sim.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
	sim.queue("advised", 1, shortAdvice())
	sim.startOwner()
	sim.runFor(6 * time.Second)
	step := tasksOf(1, 0)
	step.LongRunning, step.DisruptionBudget = true, 1
	sim.submit(oneStep(1, "advised", step))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runningTasks() == 1 })
	sim.runFor(2 * testLease)
	for _, f := range sim.workers {
		f.listed = len(f.runs) > 0
	}
	sim.updateWorkers()
	sim.runFor(time.Second)
	for _, f := range sim.workers {
		f.listed, f.draining = true, len(f.runs) > 0
	}
	sim.updateWorkers()
	sim.runUntil(3*time.Second, "moved", func() bool {
		for _, f := range sim.workers {
			if !f.draining && len(f.runs) == 1 {
				return true
			}
		}
		return false
	})
}

// Guards against works of an idle pool that get no advice while many steps of a full pool
// wait for theirs.
func TestFirstAdviceOfAnIdlePoolIsNotStarvedByAFullOne(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.addWorker("b0", smallWorker).pool = "bench"
	sim.queue("advised", 0, &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
	sim.queue("renders", 1, &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond}).Pool = "bench"
	sim.config.Pools["bench"] = &work.Pool{Name: "bench"}
	sim.adviceTime = 24 * time.Millisecond
	sim.startOwner()
	for n := range 4000 { // more than the nodes can ask for
		sim.after(time.Duration(n)*5*time.Millisecond, func() { sim.accept(oneStep(n+2, "advised", tasksOf(1, 2000))) })
	}
	sim.runFor(14 * time.Second)
	sim.accept(oneStep(1, "renders", tasksOf(1, 200)))
	sim.runUntil(4*time.Second, "completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
}

// Guards against works of an idle pool whose tickets are not renewed because short advice
// calls keep all nodes busy.
func TestLongRenewalsAreNotStarvedByShortCalls(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.addWorker("b0", smallWorker).pool = "bench"
	sim.queue("advised", 0, &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond})
	sim.queue("renders", 1, &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 1500 * time.Millisecond}).Pool = "bench"
	sim.config.Pools["bench"] = &work.Pool{Name: "bench"}
	sim.adviceTime = 24 * time.Millisecond
	sim.startOwner()
	sim.cell.SetAdviceNodes([]string{"a", "b", "c", "d"})
	render := tasksOf(1, 8000)
	render.Size.CpuMillis = smallWorker.CPUMillis
	sim.submit(oneStep(1, "renders", render))
	sim.runFor(time.Second)
	sim.submit(oneStep(2, "renders", render))
	sim.runFor(time.Second)
	for n := range 8000 { // more than the nodes can ask for
		sim.after(time.Duration(n)*4*time.Millisecond, func() { sim.submit(oneStep(n+3, "advised", tasksOf(1, 2000))) })
	}
	sim.runUntil(13*time.Second, "first completed", func() bool {
		return sim.state(workID(1)) == api.WorkStateCompleted || sim.state(workID(2)) == api.WorkStateCompleted
	})
	sim.runUntil(16*time.Second, "both completed", func() bool {
		return sim.state(workID(1)) == api.WorkStateCompleted && sim.state(workID(2)) == api.WorkStateCompleted
	})
}

// Guards against a wide gang that never has enough valid tickets at a time, because its
// tickets are renewed in calls for a few workers and the first have expired when the last
// arrive.
func TestWideGangGetsItsTicketsTogether(t *testing.T) {
	const workers, members = 60, 100
	sim := newSimulation(t, 1)
	for n := range workers {
		sim.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	sim.allowedShare = 0.6
	advice := &work.Advice{CallDuration: 540 * time.Millisecond, DurationPerWorker: 5 * time.Millisecond, ValidFor: 1500 * time.Millisecond}
	sim.queue("advised", 1, advice)
	sim.adviceTime = 840 * time.Millisecond
	sim.startOwner()
	full := tasksOf(workers, 6000)
	full.Size.CpuMillis = smallWorker.CPUMillis
	full.MaxPerWorker = 1
	sim.submit(oneStep(1, "batch", full))
	sim.runUntil(2*time.Second, "the pool is full", func() bool { return sim.runningTasks() == workers })
	gang := tasksOf(members, 1000)
	gang.Gang = true
	gang.Size.CpuMillis = smallWorker.CPUMillis / 4
	sim.submit(oneStep(2, "advised", gang))
	sim.runUntil(14*time.Second, "completed", func() bool { return sim.state(workID(2)) == api.WorkStateCompleted })
}
