package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

var smallWorker = work.Resources{CPUMillis: 4000, MemoryMB: 8192}

func tasksOf(count, estimateMs int) api.StepSpec {
	return api.StepSpec{Count: count, EstimateMs: estimateMs, Size: api.Resources{CpuMillis: 1000, MemoryMb: 1024}}
}

// Guards against a step that starts before the step it depends on is done, and against a
// work that never completes.
func TestStepsRunInOrder(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	second := tasksOf(2, 300)
	second.After = []int{0}
	spec := &api.WorkSpec{Id: workID(1), Queue: "quotes", Team: "team", Steps: []api.StepSpec{tasksOf(3, 500), second}}
	sim.submit(spec)
	sim.runUntil(time.Second, "running", func() bool { return sim.state(spec.Id) == api.WorkStateRunning })
	sim.runUntil(5*time.Second, "completed", func() bool { return sim.state(spec.Id) == api.WorkStateCompleted })
	if len(sim.works) != 0 || len(sim.finished) != 1 {
		t.Errorf("%d records of active works and %d of finished ones are left", len(sim.works), len(sim.finished))
	}
}

// Guards against a task that waits forever after it has failed once on each worker that
// it may use.
func TestTaskReturnsToWorkersOnWhichItFailed(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	f.failsTasks = true
	sim.submit(oneStep(1, "quotes", tasksOf(1, 200)))
	sim.runUntil(2*time.Second, "failed once", func() bool { return sim.cell.stats.TaskFailed == 1 })
	f.failsTasks = false
	sim.runUntilCompleted(10*time.Second, 1)
}

// Guards against a task that waits for a pool that its queue no longer uses, until a takeover.
func TestWaitingTaskFollowsItsQueueToAnotherPool(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	longRunning := tasksOf(1, 0)
	longRunning.LongRunning = true
	sim.submit(oneStep(1, "quotes", longRunning))
	sim.runFor(time.Second)
	moved := *sim.config.Queues["quotes"]
	moved.Pool = "other"
	sim.config = &work.Config{Version: 2, Queues: map[string]*work.Queue{"quotes": &moved}, Pools: map[string]*work.Pool{"other": {Name: "other"}}}
	sim.cell.Configure(sim.config)
	sim.addWorker("w1", smallWorker).pool = "other"
	sim.updateWorkers()
	sim.runUntil(2*time.Second, "running", func() bool { return sim.runningTasks() == 1 })
}

// Guards against a list of workers that grows with each failure of a long-running task.
func TestFailuresOnOneWorkerAreKeptOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	longRunning := tasksOf(1, 0)
	longRunning.LongRunning = true
	sim.submit(oneStep(1, "quotes", longRunning))
	for range 5 {
		sim.runUntil(30*time.Second, "running", func() bool { return sim.runningTasks() == 1 })
		f.end(sortedKeys(f.runs)[0], EndFailed)
		sim.runUntil(time.Second, "failed", func() bool { return sim.runningTasks() == 0 })
	}
	sim.runUntil(time.Second, "counted", func() bool { return sim.cell.stats.TaskFailed == 5 })
	if n := len(sim.cell.works[workID(1)].occurrences[0].steps[0].tasks[0].avoidWorkers); n != 1 {
		t.Errorf("%d workers to avoid after 5 failures on one", n)
	}
}

// Guards against endless attempts of a work that always fails.
func TestWorkFailsAfterItsAttempts(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.addWorker("w2", smallWorker)
	sim.failShare = 1
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(2, 200)))
	sim.runUntil(10*time.Second, "failed", func() bool { return sim.state(workID(1)) == api.WorkStateFailed })
	sim.runUntil(2*time.Second, "free", func() bool { return sim.cell.workers["w1"].used == work.Resources{} })
}

// Guards against urgent work that waits for batch work of its own team while the team is
// at its limit.
func TestLimitYieldsToUrgentWorkOfTheTeam(t *testing.T) {
	sim := newSimulation(t, 1)
	for _, id := range []string{"w1", "w2", "w3"} {
		sim.addWorker(id, smallWorker)
	}
	sim.config.Teams["team"] = &work.Team{Name: "team", SubmitRate: 10, Limit: work.Resources{CPUMillis: 4000}}
	sim.startOwner()
	batch := tasksOf(4, 20000)
	batch.Checkpoints = true
	sim.submit(oneStep(1, "batch", batch))
	sim.runUntil(time.Second, "batch running", func() bool { return sim.state(workID(1)) == api.WorkStateRunning })
	sim.runFor(time.Second)
	sim.submit(oneStep(2, "quotes", tasksOf(2, 300)))
	sim.runUntil(2500*time.Millisecond, "urgent work completed", func() bool { return sim.state(workID(2)) == api.WorkStateCompleted })
}

// Guards against a task that is never restarted because each unanswered poll to its lost
// worker extends the lease.
func TestTasksOfALostWorkerAreRestarted(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	longRunning := tasksOf(1, 0)
	longRunning.LongRunning = true
	sim.submit(oneStep(1, "quotes", longRunning))
	sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(3 * time.Second)
	other := sim.addWorker("w2", smallWorker)
	f.crashMachine()
	f.listed = false
	sim.after(4500*time.Millisecond, sim.updateWorkers)
	sim.runUntil(testLease+4*time.Second, "restarted", func() bool { return len(other.runs) == 1 })
}

// Guards against tasks of an ended process that wait for longer than the lease, or for the
// lease although the next process is known, with the same owner and after a takeover.
func TestTasksOfAnEndedProcessAreRestarted(t *testing.T) {
	for _, takeover := range []bool{false, true} {
		for _, returns := range []bool{false, true} {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", smallWorker)
			sim.startOwner()
			sim.submit(oneStep(1, "quotes", tasksOf(2, 5000)))
			sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 2 })
			sim.runFor(time.Second)
			other := sim.addWorker("w2", smallWorker)
			f.exitProcess()
			leaseEnd := LeaseBound(testLease)
			if takeover {
				sim.startOwner()
				leaseEnd = sim.cell.leaseEnd(sim.cell.workers["w1"]) - sim.now
			}
			if returns {
				f.restart()
				leaseEnd = 0
			}
			sim.updateWorkers()
			sim.runUntil(leaseEnd+500*time.Millisecond, "restarted", func() bool { return len(f.runs)+len(other.runs) == 2 })
			if !returns {
				f.restart()
				sim.updateWorkers()
			}
			sim.runUntilCompleted(15*time.Second, 1)
		}
	}
}

// Guards against a second run of a task while the lease granted by the earlier owner is
// valid. The new owner has reached the worker once before it became unresponsive.
func TestLeasesOfAnEarlierOwnerAreWaitedFor(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 30000)))
	sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(2 * time.Second)
	sim.addWorker("w2", smallWorker)
	sim.startOwner()
	sim.runFor(50 * time.Millisecond)
	f.unresponsive = true
	sim.runFor(20 * time.Second) // the fake workers check that the task does not run twice
}

// Guards against a speculative task that waits for the lease of an unresponsive worker
// although another worker has room.
func TestSpeculativeTaskOnAnUnresponsiveWorkerIsCopied(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	step := tasksOf(1, 2000)
	step.Speculative = true
	sim.submit(oneStep(1, "quotes", step))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	f.unresponsive = true
	sim.runUntil(3*time.Second, "copied", func() bool { return len(other.runs) == 1 })
	f.unresponsive = false
	sim.runUntilCompleted(5*time.Second, 1)
	sim.runUntil(2*time.Second, "free", func() bool { return len(f.runs)+len(other.runs) == 0 })
}

// Guards against tasks that stay on a draining worker until it leaves.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	longRunning := tasksOf(2, 0)
	longRunning.LongRunning = true
	longRunning.DisruptionBudget = 1
	sim.submit(oneStep(1, "quotes", longRunning))
	long := tasksOf(1, 20000)
	long.Checkpoints = true
	sim.submit(oneStep(2, "batch", long))
	sim.runUntil(2*time.Second, "running", func() bool { return len(f.runs) == 3 })
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	sim.runFor(time.Second)
	f.draining = true
	sim.updateWorkers()
	sim.runUntil(3*time.Second, "moved", func() bool { return len(f.runs) == 0 && len(other.runs) == 3 })
}

// Guards against works that always fail and get their workers quarantined, so that other
// works wait.
func TestAlwaysFailingWorksDoNotQuarantineWorkers(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(8)
	sim.startOwner()
	const rounds, longestWait = 40, 2 * time.Second
	for n := range rounds {
		sim.alwaysFails[workID(2*n)] = true
		sim.submit(oneStep(2*n, "quotes", tasksOf(3, 200)))
		sim.alwaysFails[workID(1000+n)] = true
		sim.submit(oneStep(1000+n, "quotes", tasksOf(3, 200)))
		sim.submit(oneStep(2*n+1, "quotes", tasksOf(2, 200)))
		sim.runFor(200 * time.Millisecond)
	}
	sim.runFor(longestWait)
	for n := range rounds {
		if state := sim.state(workID(2*n + 1)); state != api.WorkStateCompleted {
			t.Errorf("work %d is %s %v after the last submission", n, state, longestWait)
		}
	}
}

// Guards against a worker that fails all tasks and is not quarantined because the works
// are taken to be the cause.
func TestWorkerThatFailsEverythingIsQuarantined(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(8)
	sim.startOwner()
	sim.workers["w0"].failsTasks = true
	for n := range 40 {
		sim.submit(oneStep(n, "quotes", tasksOf(3, 200)))
		sim.runFor(100 * time.Millisecond)
	}
	sim.runFor(2 * time.Second)
	if n := sim.cell.stats.TaskFailed; n > 12 {
		t.Errorf("%d tasks failed on one worker of eight", n)
	}
}

// Guards against an owner that exceeds the limits of teams before it has received the
// configuration.
func TestOwnerWithoutConfigurationPlacesNothing(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.config.Teams["team"] = &work.Team{Name: "team", Limit: work.Resources{CPUMillis: 2000}}
	sim.addWorkers(4)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(8, 1000)))
	sim.runFor(50 * time.Millisecond)
	known := sim.config
	sim.config = &work.Config{Teams: known.Teams, Queues: known.Queues} // the fake workers still check the limit
	sim.startOwner()
	sim.cell.config = &work.Config{}
	sim.cell.team("team").limit = work.Resources{}
	sim.runFor(time.Second)
	sim.config = known
	sim.cell.Configure(known)
	sim.runUntilCompleted(10*time.Second, 1)
}

// Guards against another attempt of a task whose run was declared lost, when the lease of
// its unresponsive worker expired, and was then reported as ended.
func TestLateEndOfALostRunCounts(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fails bool
		want  api.WorkState
	}{{"done", false, api.WorkStateCompleted}, {"failed", true, api.WorkStateFailed}} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			f := sim.addWorker("w1", smallWorker)
			sim.config.Queues["quotes"].MaxAttempts = 1
			sim.startOwner()
			f.failsTasks = tc.fails
			sim.submit(oneStep(1, "quotes", tasksOf(1, 300)))
			sim.runFor(150 * time.Millisecond)
			f.unresponsive = true
			sim.runFor(LeaseBound(testLease) + time.Second)
			if n := sim.cell.stats.Lost.Total(); n != 1 {
				t.Fatalf("%d runs lost, want 1", n)
			}
			f.unresponsive = false
			sim.runUntil(3*time.Second, string(tc.want), func() bool { return sim.state(workID(1)) == tc.want })
			if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
				t.Errorf("the task was started %d times", n)
			}
		})
	}
}

// Guards against a worker that gets no tasks after it was unresponsive for longer than
// its lease.
func TestUnresponsiveWorkerIsUsedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 10000)))
	sim.runFor(150 * time.Millisecond)
	f.unresponsive = true
	sim.runFor(LeaseBound(testLease) + time.Second)
	f.unresponsive = false
	sim.submit(oneStep(2, "quotes", tasksOf(1, 300)))
	sim.runUntilCompleted(3*time.Second, 2)
}

// Guards against urgent work that waits because deferrable work uses the whole limit of
// its team.
func TestDeferrableWorkLeavesAShareOfTheLimit(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorkers(4)
	sim.config.Teams["team"] = &work.Team{Name: "team", Limit: work.Resources{CPUMillis: 10000}}
	sim.config.Queues["batch"].TargetLatency = time.Minute
	sim.startOwner()
	sim.submit(oneStep(1, "batch", tasksOf(20, 5000)))
	sim.runFor(time.Second)
	sim.submit(oneStep(2, "quotes", tasksOf(1, 300)))
	sim.runUntil(time.Second, "urgent work completed", func() bool { return sim.state(workID(2)) == api.WorkStateCompleted })
	sim.runUntil(40*time.Second, "deferrable work completed", func() bool { return sim.state(workID(1)) == api.WorkStateCompleted })
}

// Guards against deferrable work that waits although its team runs nothing, because one
// task takes most of the limit of the team.
func TestDeferrableWorkOfAnIdleTeamStartsAtOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.config.Teams["team"] = &work.Team{Name: "team", Limit: work.Resources{CPUMillis: 4000}}
	sim.config.Queues["batch"].TargetLatency = time.Minute
	sim.startOwner()
	step := tasksOf(1, 1000)
	step.Size.CpuMillis = 4000
	sim.submit(oneStep(1, "batch", step))
	sim.runUntil(500*time.Millisecond, "running", func() bool { return sim.state(workID(1)) == api.WorkStateRunning })
}

// Guards against gang members that keep running after an earlier attempt is reported as
// done. That attempt was declared lost when the lease of its unresponsive worker expired.
func TestLateEndOfAGangStopsItsNewerAttempt(t *testing.T) {
	sim := newSimulation(t, 1)
	first := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	gang := tasksOf(2, 3000)
	gang.Gang = true
	sim.submit(oneStep(1, "quotes", gang))
	sim.runFor(150 * time.Millisecond)
	for _, r := range first.runs {
		r.runTime = 2 * time.Second
	}
	first.unresponsive = true
	sim.runFor(LeaseBound(testLease) + time.Second)
	second := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	sim.runUntil(3*time.Second, "running again", func() bool { return len(second.runs) == 2 })
	for _, r := range second.runs {
		r.runTime = time.Minute
	}
	first.unresponsive = false
	sim.runUntil(2500*time.Millisecond, "stopped on the second worker", func() bool { return len(second.runs) == 0 })
	sim.runUntilCompleted(time.Second, 1)
}

// Guards against a gang that is stopped as stalled because a member that has finished its
// part waits for slower ones.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	gang := tasksOf(2, 1000)
	gang.Gang = true
	sim.submit(oneStep(1, "quotes", gang))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 2 })
	f.runs[workID(1)+".0.0.1"].runTime = 6 * time.Second
	sim.runUntilCompleted(15*time.Second, 1)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("the gang was started %d times", n)
	}
}

// Guards against runs that stay for seconds on a stalled worker, and against new tasks
// for that worker while it is stalled.
func TestStalledRunsAreMovedSoon(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(2, 2000)))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 2 })
	sim.runFor(1500 * time.Millisecond)
	f.stalled = true
	other := sim.addWorker("w2", smallWorker)
	sim.updateWorkers()
	sim.runUntil(2800*time.Millisecond, "moved", func() bool { return len(other.runs) == 2 })
	sim.submit(oneStep(2, "quotes", tasksOf(4, 2000)))
	sim.runFor(10 * time.Second)
	if n := sim.cell.workers["w1"].health.stallPauses; n < 2 || n > 3 {
		t.Errorf("the worker was tried again %d times in 10 s", n)
	}
}

// Guards against gang members whose room is released twice, so that their team exceeds its
// limit, when the lease of their worker expires before their record is written.
func TestUnrecordedGangOnALostWorkerIsReleasedOnce(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 8000)))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.storeUp = false
	gang := tasksOf(2, 300)
	gang.Gang = true
	sim.submit(oneStep(2, "quotes", gang))
	sim.runFor(100 * time.Millisecond)
	f.unresponsive = true
	sim.runFor(2*testLease + time.Second)
	if used := sim.cell.team("team").used; used != (work.Resources{}) {
		t.Errorf("the team is charged %+v with nothing running", used)
	}
}

// Guards against works of other teams that are refused for a full pool while only the limit
// of one team blocks its tasks.
func TestTeamAtItsLimitDoesNotSaturateThePool(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.config.Teams["limited"] = &work.Team{Name: "limited", Limit: work.Resources{CPUMillis: 1000}}
	sim.config.Teams["team"] = &work.Team{Name: "team", SubmitRate: 0.1}
	sim.startOwner()
	limited := oneStep(1, "quotes", tasksOf(2, 3000))
	limited.Team = "limited"
	sim.submit(limited)
	sim.submit(oneStep(2, "quotes", tasksOf(1, 100)))
	sim.runFor(500 * time.Millisecond)
	if n := sim.runningTasks(); n != 1 {
		t.Fatalf("%d tasks run, want 1", n)
	}
	for n := range 3 { // beyond the rate of the team
		sim.submit(oneStep(3+n, "quotes", tasksOf(1, 100)))
	}
}

// Guards against deferrable work that uses the last accelerators within the limit of its
// team, so that urgent work of the team waits.
func TestDeferrableWorkLeavesAShareOfTheAccelerators(t *testing.T) {
	sim := newSimulation(t, 1)
	gpuWorker := work.Resources{CPUMillis: 64000, MemoryMB: 65536, Accelerators: 20}
	f := sim.addWorker("w1", gpuWorker)
	sim.config.Teams["team"] = &work.Team{Name: "team", Limit: work.Resources{Accelerators: 10}}
	sim.config.Queues["batch"].LatencyFactor = 10
	sim.startOwner()
	step := tasksOf(10, 8000)
	step.Size.Accelerators = 1
	sim.submit(oneStep(1, "batch", step))
	sim.runFor(time.Second)
	if n := len(f.runs); n != 8 {
		t.Errorf("%d deferrable tasks with an accelerator each run within a limit of 10, want 8", n)
	}
}
