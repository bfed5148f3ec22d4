package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// testDriver is a State whose placed tasks start at once.
type testDriver struct {
	*State
	t       *testing.T
	now     time.Time
	running map[TaskID]Decision
}

func newTestDriver(t *testing.T, vms int, teams ...string) *testDriver {
	return &testDriver{State: newState(vms, teams...), t: t, now: testStart, running: map[TaskID]Decision{}}
}

// runPass advances the clock, runs a pass and reports the placed tasks as started.
func (d *testDriver) runPass(after time.Duration) []Decision {
	d.now = d.now.Add(after)
	out := d.Schedule(d.now, 1000)
	for _, x := range out {
		if x.Kind == DecisionPlace {
			d.running[x.Task] = x
			d.TaskStarted(x.Task, x.Attempt, d.now)
		}
	}
	return out
}

// exitTask ends the last attempt of a task.
func (d *testDriver) exitTask(id TaskID, o Outcome) {
	d.TaskExited(id, d.running[id].Attempt, o, d.now)
	delete(d.running, id)
}

// endStoppedTasks ends the tasks that were stopped.
func (d *testDriver) endStoppedTasks(out []Decision) {
	for _, x := range out {
		switch x.Kind {
		case DecisionStop:
			d.exitTask(x.Task, OutcomeStopped)
		case DecisionCheckpoint:
			d.exitTask(x.Task, OutcomeCheckpointed)
		}
	}
}

func (d *testDriver) submitJob(j Job) { d.t.Helper(); mustSubmit(d.t, d.State, j, d.now) }

// countDecisions counts the decisions of a kind for jobs whose ID has the prefix.
func countDecisions(out []Decision, kind DecisionKind, prefix string) int {
	n := 0
	for _, x := range out {
		if x.Kind == kind && len(x.Job) >= len(prefix) && x.Job[:len(prefix)] == prefix {
			n++
		}
	}
	return n
}

// TestSubmitErrors guards against accepting work that is malformed or could
// never run, and against rejecting work that could run.
func TestSubmitErrors(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Job)
		want   errkind.Kind
	}{
		{"fits", func(*Job) {}, ""},
		{"whole VM", func(j *Job) { j.Resources = resources(16, 64, 0) }, ""},
		{"larger than any VM", func(j *Job) { j.Resources = resources(17, 1, 0) }, errkind.NeverRunnable},
		{"accelerators where there are none", func(j *Job) { j.Resources = resources(1, 1, 1) }, errkind.NeverRunnable},
		{"gang as large as the pool", func(j *Job) { j.Class, j.Tasks, j.Resources = api.ClassGang, 8, resources(8, 1, 0) }, ""},
		{"gang larger than the pool", func(j *Job) { j.Class, j.Tasks, j.Resources = api.ClassGang, 9, resources(8, 1, 0) }, errkind.NeverRunnable},
		{"task over the limit of the team", func(j *Job) { j.Team, j.ID = "small", "small/j" }, errkind.NeverRunnable},
		{"unknown team", func(j *Job) { j.Team, j.ID = "nobody", "nobody/j" }, errkind.NeverRunnable},
		{"no tasks", func(j *Job) { j.Tasks = 0 }, errkind.InvalidArgument},
		{"zero size", func(j *Job) { j.Resources = api.Resources{} }, errkind.InvalidArgument},
		{"negative size", func(j *Job) { j.Resources.MemoryMb = -1 }, errkind.InvalidArgument},
		{"short request", func(j *Job) { j.Class = api.ClassRequest }, errkind.InvalidArgument},
		{"deadline in the past", func(j *Job) { j.Deadline = testStart.Add(-1) }, errkind.DeadlineExceeded},
		{"ID in use", func(j *Job) { j.ID = "a/used" }, errkind.RequestIDConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(4, "a")
			s.SetTeams([]api.Team{{Name: "a", Share: 1, Limit: resources(1000, 1000, 8)}, {Name: "small", Share: 1, Limit: resources(1, 1, 0)}})
			mustSubmit(t, s, testJob("a", "used", api.ClassBatch, 1, 1), testStart)
			j := testJob("a", "j", api.ClassBatch, 1, 2)
			tc.change(&j)
			err := s.Submit(j, testStart)
			if (tc.want == "") != (err == nil) || (err != nil && !errkind.Is(err, tc.want)) {
				t.Fatalf("got %v, want %q", err, tc.want)
			}
		})
	}
}

// TestFleetShrinks guards against failing jobs during a short loss of VMs, and
// against jobs that wait forever after the fleet has shrunk permanently.
func TestFleetShrinks(t *testing.T) {
	for _, back := range []bool{true, false} {
		t.Run(fmt.Sprintf("VM comes back %v", back), func(t *testing.T) {
			d := newTestDriver(t, 2, "a")
			d.submitJob(testJob("a", "first", api.ClassBatch, 2, 16))
			d.runPass(0)
			d.submitJob(testJob("a", "gang", api.ClassGang, 2, 16))
			d.RemoveVM("vm-0001", d.now)
			out := d.runPass(time.Second)
			out = append(out, d.runPass(time.Minute)...)
			if n := countDecisions(out, DecisionFailJob, "a/gang"); n != 0 {
				t.Fatal("the gang failed during a short loss of a VM")
			}
			if back {
				d.UpsertVM(testVM(1))
			}
			d.runPass(time.Second)
			if failed := countDecisions(d.runPass(d.policy.InfeasibleGrace), DecisionFailJob, "a/gang") == 1; failed == back {
				t.Fatalf("the gang failed: %v, after the grace time", failed)
			}
		})
	}
}

// TestDeadline guards against starting work whose deadline passed while it waited.
func TestDeadline(t *testing.T) {
	d := newTestDriver(t, 1, "a")
	d.submitJob(testJob("a", "first", api.ClassBatch, 1, 16))
	d.runPass(0)
	late := testJob("a", "late", api.ClassBatch, 1, 16)
	late.Deadline = d.now.Add(time.Minute)
	d.submitJob(late)
	d.runPass(time.Second)
	d.now = late.Deadline.Add(time.Second)
	d.exitTask("a/first/0", OutcomeSuccess)
	out := d.runPass(0)
	if countDecisions(out, DecisionPlace, "a/late") != 0 || countDecisions(out, DecisionFailJob, "a/late") != 1 {
		t.Fatalf("got %+v, want only the failure of the late job", out)
	}
}

// TestUrgentPreempts guards against urgent work that waits while all VMs are full: it must
// be placed within 1.2 s, whichever team occupies the VMs, without preempting services.
func TestUrgentPreempts(t *testing.T) {
	const limit, step = 1200 * time.Millisecond, 100 * time.Millisecond
	for _, checkpointable := range []bool{true, false} {
		t.Run(fmt.Sprintf("checkpointable %v", checkpointable), func(t *testing.T) {
			d := newTestDriver(t, 4, "a", "b")
			d.submitJob(testJob("b", "service", api.ClassService, 4, 8))
			batch := testJob("b", "batch", api.ClassBatch, 8, 4)
			batch.Checkpointable = checkpointable
			d.submitJob(batch)
			d.runPass(0)
			urgent := testJob("a", "urgent", api.ClassBatch, 2, 6)
			urgent.Urgency = api.UrgencyUrgent
			d.now = d.now.Add(5 * time.Second)
			d.submitJob(urgent)
			placed := 0
			var stopping []Decision
			for waited := time.Duration(0); waited <= limit && placed < 2; waited += step {
				out := d.runPass(step)
				if countDecisions(out, DecisionStop, "b/service")+countDecisions(out, DecisionCheckpoint, "b/service") > 0 {
					t.Fatal("a service was preempted")
				}
				placed += countDecisions(out, DecisionPlace, "a/urgent")
				// Stops take one step; checkpoints never complete and must be aborted.
				var stops []Decision
				for _, x := range out {
					if x.Kind == DecisionStop {
						stops = append(stops, x)
					}
				}
				d.endStoppedTasks(stopping)
				stopping = stops
			}
			if placed != 2 {
				t.Fatalf("%d of 2 urgent tasks were placed in %v", placed, limit)
			}
		})
	}
}

// TestSharePreemption guards against a team that keeps all VMs, against thrashing by
// preemption before the minimum run time, and against the wrong order of victims.
func TestSharePreemption(t *testing.T) {
	d := newTestDriver(t, 4, "a", "b")
	for i, name := range []string{"old", "plain", "young"} {
		j := testJob("b", name, api.ClassBatch, 4, 4)
		j.Checkpointable = name != "plain"
		d.submitJob(j)
		d.runPass(time.Duration(i) * 10 * time.Second)
	}
	d.submitJob(testJob("b", "service", api.ClassService, 4, 4))
	d.runPass(0)
	d.submitJob(testJob("a", "batch", api.ClassBatch, 16, 4))
	if out := d.runPass(time.Second); countDecisions(out, DecisionStop, "b")+countDecisions(out, DecisionCheckpoint, "b") != 0 {
		t.Fatal("a task was preempted before its minimum run time")
	}
	placed, first := 0, ""
	d.now = d.now.Add(d.policy.MinRun)
	for range 50 {
		out := d.runPass(time.Second)
		for _, x := range out {
			if (x.Kind == DecisionStop || x.Kind == DecisionCheckpoint) && first == "" {
				first = x.Job
			}
		}
		if countDecisions(out, DecisionStop, "b/service")+countDecisions(out, DecisionCheckpoint, "b/service") > 0 {
			t.Fatal("a service was preempted for batch work")
		}
		placed += countDecisions(out, DecisionPlace, "a/batch")
		d.endStoppedTasks(out)
	}
	if first != "b/young" {
		t.Errorf("first preempted job is %q, want the one that is cheapest to checkpoint and most recently started", first)
	}
	if placed != 8 {
		t.Errorf("%d tasks of the team below its share were placed, want the 8 of its half", placed)
	}
}

// TestBudget guards against tasks that are placed, or keep running, above a team's budget.
func TestBudget(t *testing.T) {
	d := newTestDriver(t, 4, "a")
	d.SetBudget("a", resources(10, 100, 0))
	d.submitJob(testJob("a", "batch", api.ClassBatch, 8, 4))
	if n := countDecisions(d.runPass(0), DecisionPlace, "a"); n != 2 {
		t.Fatalf("%d tasks placed, want 2", n)
	}
	if got := d.PendingDemand("a"); got.CpuMillis != 24_000 {
		t.Fatalf("pending demand is %+v, want 24000 millicores", got)
	}
	d.SetBudget("a", resources(4, 100, 0))
	out := d.runPass(time.Second)
	if n := countDecisions(out, DecisionStop, "a"); n != 1 {
		t.Fatalf("%d tasks stopped, want 1", n)
	}
	d.endStoppedTasks(out)
	d.SetBudget("a", resources(100, 100, 0))
	if n := countDecisions(d.runPass(time.Second), DecisionPlace, "a"); n != 7 {
		t.Fatalf("%d tasks placed, want 7", n)
	}
}

// TestGangReservation guards against starvation of a gang by small tasks, and
// against a deadlock of two gangs that each hold a part of the VMs.
func TestGangReservation(t *testing.T) {
	d := newTestDriver(t, 4, "a", "b")
	ends := map[TaskID]time.Time{}
	started := 0
	for i := range 600 {
		if i%2 == 0 { // small tasks that would use all freed capacity
			d.submitJob(testJob("b", fmt.Sprintf("small%d", i), api.ClassBatch, 1, 8))
		}
		if i == 60 {
			for _, name := range []string{"one", "two"} {
				j := testJob("a", name, api.ClassGang, 3, 16)
				d.submitJob(j)
			}
		}
		for _, x := range d.runPass(time.Second) {
			if x.Kind == DecisionPlace {
				ends[x.Task] = d.now.Add(20 * time.Second)
			}
			if x.Group != "" {
				started++
			}
			if x.Kind == DecisionStop {
				d.exitTask(x.Task, OutcomeStopped)
				delete(ends, x.Task)
			}
		}
		for _, x := range d.heldInOrder() {
			if !ends[x.Task].After(d.now) {
				d.exitTask(x.Task, OutcomeSuccess)
			}
		}
	}
	if started != 6 {
		t.Fatalf("%d tasks of the gangs were placed, want 6", started)
	}
}

func (d *testDriver) heldInOrder() []Decision {
	return (&eventModel{held: d.running}).heldInOrder()
}

// TestGangRestart guards against a gang that continues after one of its tasks was lost.
func TestGangRestart(t *testing.T) {
	d := newTestDriver(t, 4, "a")
	d.submitJob(testJob("a", "gang", api.ClassGang, 4, 8))
	d.runPass(0)
	d.exitTask("a/gang/1", OutcomeLost)
	out := d.runPass(time.Second)
	if countDecisions(out, DecisionStop, "a") != 3 || countDecisions(out, DecisionPlace, "a") != 0 {
		t.Fatalf("got %+v, want only stops of the 3 other tasks", out)
	}
	d.endStoppedTasks(out)
	if n := countDecisions(d.runPass(time.Second), DecisionPlace, "a"); n != 4 {
		t.Fatalf("%d tasks placed again, want 4", n)
	}
}

// TestSpread guards against services and gangs whose tasks share a failure
// domain, rack or VM without need.
func TestSpread(t *testing.T) {
	for _, class := range []api.Class{api.ClassService, api.ClassGang} {
		d := newTestDriver(t, 30, "a")
		d.submitJob(testJob("a", "j", class, 6, 2))
		domains, racks := map[string]int{}, map[string]int{}
		for _, x := range d.runPass(0) {
			v := d.vms[x.VM]
			domains[v.FailureDomain]++
			racks[v.Rack]++
		}
		if len(domains) != 3 || len(racks) != 6 {
			t.Errorf("%s: tasks by failure domain %v and by rack %v, want 3 domains and 6 racks", class, domains, racks)
		}
	}
}

// TestQuarantine guards against a VM that fails every task and so attracts all
// work, and against a faulty job that causes healthy VMs to be quarantined.
func TestQuarantine(t *testing.T) {
	t.Run("VM", func(t *testing.T) {
		d := newTestDriver(t, 4, "a")
		failures := 0
		for i := range 60 {
			d.submitJob(testJob("a", fmt.Sprintf("j%d", i), api.ClassBatch, 1, 1))
			d.runPass(time.Second)
			for _, x := range d.heldInOrder() {
				if x.VM == "vm-0000" {
					failures++
					d.exitTask(x.Task, OutcomeFailed)
					continue
				}
				d.exitTask(x.Task, OutcomeSuccess)
			}
			if n := countDecisions(d.runPass(0), DecisionFailJob, "a"); n != 0 {
				t.Fatal("a job failed because of the faulty VM")
			}
		}
		if failures == 0 || failures > 4 {
			t.Fatalf("%d tasks failed on the faulty VM, want 1 to 4", failures)
		}
	})
	t.Run("job", func(t *testing.T) {
		d := newTestDriver(t, 4, "a")
		d.submitJob(testJob("a", "bad", api.ClassBatch, 1, 1))
		used, failed := map[string]bool{}, 0
		for range 30 {
			out := d.runPass(time.Second)
			failed += countDecisions(out, DecisionFailJob, "a/bad")
			for _, x := range d.heldInOrder() {
				used[x.VM] = true
				d.exitTask(x.Task, OutcomeFailed)
			}
		}
		if failed != 1 || len(used) != 3 || d.countQuarantined(d.now) != 0 {
			t.Fatalf("the faulty job was failed %d times after running on the VMs %v, %d VMs are quarantined; want 1, 3 VMs and none", failed, used, d.countQuarantined(d.now))
		}
	})
}

// TestOversizedTask guards against a task that takes the resources of other tasks on its
// VM: it must be throttled, then stopped, and then placed with its real size.
func TestOversizedTask(t *testing.T) {
	d := newTestDriver(t, 1, "a")
	j := testJob("a", "big", api.ClassBatch, 1, 4)
	j.Checkpointable = true
	d.submitJob(j)
	d.submitJob(testJob("a", "rest", api.ClassService, 1, 12))
	d.runPass(0)
	use := func() {
		d.ReportUsage("vm-0000", []TaskUsage{{"a/big/0", 1, resources(8, 4, 0)}, {"a/rest/0", 1, resources(12, 12, 0)}}, d.now)
	}
	use()
	if out := d.runPass(time.Second); countDecisions(out, DecisionThrottle, "a/big") != 1 || countDecisions(out, DecisionCheckpoint, "a") != 0 {
		t.Fatalf("after the first report: got %+v, want only a throttle", out)
	}
	d.now = d.now.Add(d.policy.ThrottleGrace)
	use()
	out := d.runPass(0)
	if countDecisions(out, DecisionCheckpoint, "a/big") != 1 {
		t.Fatalf("after the grace time: got %+v, want a checkpoint", out)
	}
	d.endStoppedTasks(out)
	if n := countDecisions(d.runPass(time.Second), DecisionPlace, "a/big"); n != 0 {
		t.Fatal("the task was placed again where it does not fit")
	}
	d.UpsertVM(testVM(1))
	d.runPass(time.Second)
	if got := d.vms["vm-0001"].allocated[dimCPU]; got != 8000 {
		t.Fatalf("the VM has %d millicores allocated, want 8000", got)
	}
}

// TestLearning guards against learned sizes and run times that later jobs do not use.
func TestLearning(t *testing.T) {
	d := newTestDriver(t, 8, "a")
	for i := range 2 * d.policy.MinSamples {
		j := testJob("a", fmt.Sprintf("j%d", i), api.ClassBatch, 1, 2)
		d.submitJob(j)
		d.runPass(0)
		d.ReportUsage(d.running[NewTaskID(j.ID, 0)].VM, []TaskUsage{{NewTaskID(j.ID, 0), 1, resources(4, 1, 0)}}, d.now)
		d.now = d.now.Add(3 * time.Minute)
		d.exitTask(NewTaskID(j.ID, 0), OutcomeSuccess)
	}
	next := testJob("a", "next", api.ClassBatch, 1, 2)
	d.submitJob(next)
	d.runPass(0)
	got := d.findTask("a/next/0")
	if got.size[dimCPU] < 4000 || got.size[dimMemory] != 2048 {
		t.Errorf("the task has %v allocated, want 4000 millicores or more and 2048 MB", got.size)
	}
	if run := d.estimateRunTime(got.job, medianQuantile); run != 3*time.Minute {
		t.Errorf("learned run time %v, want 3m", run)
	}
}

// TestTakeover guards against placing a task again that may still run after a takeover.
func TestTakeover(t *testing.T) {
	d := newTestDriver(t, 2, "a")
	d.submitJob(testJob("a", "j", api.ClassBatch, 3, 2))
	restore := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	restore(d.RestoreTask("a/j/0", "vm-0000", 4, api.TaskStateRunning, testStart))
	restore(d.RestoreTask("a/j/1", "vm-0001", 2, api.TaskStateRunning, testStart))
	restore(d.HoldUnfenced("a/j/1", "vm-0001", testStart.Add(16*time.Second)))
	restore(d.RestoreTask("a/j/2", "", 7, api.TaskStatePending, time.Time{}))
	out := d.runPass(time.Second)
	if len(out) != 1 || out[0].Task != "a/j/2" || out[0].Attempt != 8 {
		t.Fatalf("got %+v, want only attempt 8 of the pending task", out)
	}
	out = d.runPass(16 * time.Second)
	if len(out) != 1 || out[0].Task != "a/j/1" || out[0].Attempt != 3 {
		t.Fatalf("got %+v, want attempt 3 of the task that could not be fenced", out)
	}
	if err := d.RestoreTask("a/none/0", "vm-0000", 1, api.TaskStateRunning, testStart); !errkind.Is(err, errkind.NotFound) {
		t.Fatalf("restoring a task of an unknown job: got %v, want not found", err)
	}
}

// TestLeaving guards against tasks placed on a leaving VM and a service stopped all at once.
func TestLeaving(t *testing.T) {
	d := newTestDriver(t, 2, "a")
	d.submitJob(testJob("a", "service", api.ClassService, 4, 2))
	batch := testJob("a", "batch", api.ClassBatch, 2, 3)
	batch.Checkpointable = true
	d.submitJob(batch)
	d.runPass(0)
	leaving := testVM(0)
	leaving.State = VMLeaving
	d.UpsertVM(leaving)
	for range 20 {
		out := d.runPass(time.Second)
		if n := countDecisions(out, DecisionStop, "a/service") + countDecisions(out, DecisionCheckpoint, "a/service"); n > 1 {
			t.Fatalf("%d tasks of the service were stopped at once, want at most 1", n)
		}
		d.endStoppedTasks(out)
	}
	if len(d.vms["vm-0000"].tasks) != 0 || len(d.vms["vm-0001"].tasks) != 6 {
		t.Fatalf("%d tasks are left on the leaving VM and %d run on the other, want 0 and 6", len(d.vms["vm-0000"].tasks), len(d.vms["vm-0001"].tasks))
	}
}

// TestBackground guards against background work that never runs or runs before other work.
func TestBackground(t *testing.T) {
	d := newTestDriver(t, 1, "a")
	background := testJob("a", "background", api.ClassBatch, 1, 16)
	background.Urgency = api.UrgencyBackground
	d.submitJob(background)
	d.submitJob(testJob("a", "first", api.ClassBatch, 1, 16))
	last := "first"
	for i := range 60 {
		d.runPass(0)
		if _, ok := d.running["a/background/0"]; ok {
			if waited := d.now.Sub(testStart); waited < d.policy.BackgroundDelay/2 {
				t.Fatalf("background work ran before normal work, after %v", waited)
			}
			return
		}
		d.now = d.now.Add(time.Minute)
		d.submitJob(testJob("a", fmt.Sprintf("n%d", i), api.ClassBatch, 1, 16))
		for _, x := range d.heldInOrder() {
			d.exitTask(x.Task, OutcomeSuccess)
		}
	}
	t.Fatalf("background work has not run within an hour, last was %s", last)
}
