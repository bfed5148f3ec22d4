package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// Additional queues for the tests of hard cases.
const (
	queueBenchBatch = "quoting.bench"
	queueOtherGang  = "quoting.gang"
	queueUrgent     = "quoting.urgent"
)

// addTestQueues adds the additional queues and raises the limits of the teams to
// at least the capacity of the fleet.
func addTestQueues(c *api.Configuration) {
	*c = withLimit(*c, api.Resources{CpuMillis: 400_000, MemoryMb: 800_000, Accelerators: 48, Slots: 96})
	addQueue(c, queueRender, func(q *api.Queue) { q.Name, q.Pool = queueBenchBatch, poolBench })
	addQueue(c, queueGang, func(q *api.Queue) { q.Name, q.Team = queueOtherGang, teamQuoting })
	addQueue(c, queueRender, func(q *api.Queue) { q.Name, q.Urgency = queueUrgent, api.UrgencyUrgent })
}

// expectRefused submits a job that must be refused with the given error kind.
func (c *Cell) expectRefused(in api.JobSubmission, want errkind.Kind) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, waitTimeout)
	defer cancel()
	if _, err := c.trySubmit(ctx, in); kindOf(err) != want {
		c.t.Errorf("%d tasks of %+v for queue %s: %v, want %s", in.Tasks, in.Resources, in.Queue, err, want)
	}
}

// Guards against VMs that are packed by declared size when tasks use three times as
// much, and against tasks that never finish because they exceed their declared size.
func TestHardCase11SizesFarOff(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	declared, used := cores(1), cores(3)
	newUnderdeclared := func(tasks int, run time.Duration) api.JobSubmission {
		in := newSubmission(queueBatch, tasks, declared, run)
		in.Payload, in.EstimatedRunMs = payload(run, used, 0), 50
		return in
	}
	for range 4 { // the scheduler learns the sizes from these
		c.Submit(newUnderdeclared(2, 2*time.Second)).Await(api.JobStateDone)
	}
	learned := c.Recorder.Now()
	jobs := []*Job{c.Submit(newUnderdeclared(20, 3*time.Second)), c.Submit(newUnderdeclared(20, 3*time.Second))}
	for _, j := range jobs {
		j.Await(api.JobStateDone)
	}
	c.Finish()
	var withTrueSizes []history.Record
	for _, r := range c.Recorder.Records() {
		if r.Task != "" && r.At < learned {
			continue
		}
		if r.Task != "" {
			r.Resources = used
		}
		withTrueSizes = append(withTrueSizes, r)
	}
	for _, v := range checker.Check(withTrueSizes, checker.DefaultOptions()) {
		if v.Guarantee == checker.Capacity {
			t.Errorf("with true sizes: %s", v)
		}
	}
}

const (
	tasksPerDeskVM  = 8               // tasks of two cores for which a VM of the desk pool has capacity
	failingTime     = 2 * time.Second // time for which only the VM that fails all tasks has capacity
	fillMaxAttempts = 20              // of a task that may fail once or more before it runs on another VM
)

// fillOtherVMs occupies all VMs of the desk pool but one, which fails every task.
func (c *Cell) fillOtherVMs(tr *tracker) *Job {
	c.t.Helper()
	fill := newSubmission(queueBatch, tasksPerDeskVM*(len(c.vms(poolDesk))-1), cores(2), untilStopped)
	fill.MaxAttempts = fillMaxAttempts
	j := c.Submit(fill)
	c.AwaitRunning(tr, j)
	return j
}

// Guards against a worker that fails every task and therefore drains the queue while the
// other workers are busy.
func TestHardCase12WorkerFailsEverything(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	tr := c.newTracker()
	bad := c.vms(poolDesk)[c.randomInt(len(c.vms(poolDesk)))].Id
	c.beginFault("worker of " + bad + " fails every task")
	c.Standins.Worker(bad).SetMode(standin.WorkerMode{FailAll: true})
	filler := c.fillOtherVMs(tr)
	startsOnBad := func() int {
		return len(tr.startsAfter(0, func(r history.Record) bool {
			return r.VM == bad && r.Task != "" && jobIDOf(r.Task) != filler.submission.Id
		}))
	}
	var jobs []*Job
	for range 60 {
		jobs = append(jobs, c.Submit(newSubmission(queueBatch, 1, cores(2), time.Second)))
	}
	c.Until("a task is started on the VM that fails it", func() bool { return startsOnBad() > 0 })
	time.Sleep(failingTime)
	if !filler.Cancel() {
		t.Error("no node confirmed the cancellation of the job that occupies the other VMs")
	}
	for _, j := range jobs {
		j.Await(api.JobStateDone)
	}
	// A VM has capacity for 8 of the tasks, which may all be placed before the first
	// failure is reported.
	if n := startsOnBad(); n == 0 || n > 16 {
		t.Errorf("%d tasks were started on the VM that fails them, want 1 to 16", n)
	}
	c.Standins.Worker(bad).SetMode(standin.WorkerMode{})
	c.endFault("worker of " + bad + " fails every task")
}

// Guards against a job that fails on every VM being restarted without limit, or causing
// the VMs on which it failed to be taken out of service.
func TestHardCase12JobFailsEverywhere(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	tr := c.newTracker()
	var jobs []*Job
	for i := range 6 {
		in := newSubmission(queueBatch, 2, cores(1), 100*time.Millisecond)
		in.Payload = payload(50*time.Millisecond, cores(1), 1)
		in.MaxAttempts = 2 + i
		jobs = append(jobs, c.Submit(in))
	}
	for _, j := range jobs {
		j.Await(api.JobStateFailed)
		starts := tr.startsAfter(0, func(r history.Record) bool { return r.Task != "" && jobIDOf(r.Task) == j.submission.Id })
		if n := len(starts); n > 2*j.submission.MaxAttempts {
			t.Errorf("a job with 2 tasks of at most %d attempts was started %d times", j.submission.MaxAttempts, n)
		}
	}
	// A quarter of the VMs, which is one, may be in quarantine.
	poolWideJob := c.Submit(newSubmission(queueBatch, 5, cores(15), untilStopped))
	c.AwaitRunning(tr, poolWideJob)
}

// Guards against jobs that can never run being accepted, or blocking other jobs after
// the fleet has shrunk.
func TestHardCase13NeverRunnable(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{Config: addTestQueues})
	wholePoolGang := newSubmission(queueGang, 6, accelerators(4), 300*time.Millisecond)
	oversizedTask := newSubmission(queueBatch, 1, cores(17), time.Second)
	oversizedGang := newSubmission(queueGang, 7, accelerators(4), time.Second)
	for _, in := range []api.JobSubmission{oversizedTask, oversizedGang, newSubmission(queueBatch, 1, accelerators(1), time.Second), newSubmission(queueGang, 49, accelerators(1), time.Second)} {
		c.expectRefused(in, errkind.NeverRunnable)
	}
	tr := c.newTracker()
	filler := c.Submit(newSubmission(queueBenchBatch, 6, accelerators(3), untilStopped))
	c.AwaitRunning(tr, filler)
	waiting := c.Submit(wholePoolGang)
	lost := c.vms(poolBench)[:2]
	for _, vm := range lost {
		c.instantFault("VM %s is lost", vm.Id)
		c.Standins.LoseVM(vm.Id)
	}
	c.Until("the gang of the whole pool is refused", func() bool {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		defer cancel()
		j, err := c.trySubmit(ctx, wholePoolGang)
		if err == nil {
			j.Cancel()
		}
		return kindOf(err) == errkind.NeverRunnable
	})
	c.Until("the filler is canceled", filler.Cancel)
	c.Submit(newSubmission(queueBenchBatch, 4, accelerators(4), 300*time.Millisecond)).Await(api.JobStateDone)
	c.Submit(newSubmission(queueOtherGang, 4, accelerators(4), 300*time.Millisecond)).Await(api.JobStateDone)
	if row, ok := waiting.Row(); !ok || row.State != api.JobStateQueued {
		t.Errorf("the gang that currently does not fit is %q, want %q", row.State, api.JobStateQueued)
	}
	for _, vm := range lost {
		c.replaceVM(vm)
	}
	waiting.Await(api.JobStateDone)
}

// Guards against a deadlock of two gangs that each hold part of the resources they need,
// and against a gang of which only some tasks start.
func TestHardCase14TwoGangs(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{Config: addTestQueues})
	var jobs []*Job
	for range 4 { // each needs more than half of the pool
		jobs = append(jobs, c.Submit(newSubmission(queueGang, 4, accelerators(4), time.Second)), c.Submit(newSubmission(queueOtherGang, 5, accelerators(3), time.Second)))
	}
	tr := c.newTracker()
	for _, j := range jobs {
		j.Await(api.JobStateDone)
		starts := tr.startsAfter(0, func(r history.Record) bool { return r.Task != "" && jobIDOf(r.Task) == j.submission.Id })
		if len(starts) != j.submission.Tasks {
			t.Errorf("a gang of %d was started as %d tasks", j.submission.Tasks, len(starts))
		}
	}
}

// Guards against starvation of a large gang by small jobs that take every accelerator
// that becomes free, also when these run longer than declared.
func TestHardCase14LargeGangAmongSmallJobs(t *testing.T) {
	for _, tc := range []struct {
		name     string
		declared time.Duration
	}{{"as declared", time.Second}, {"longer than declared", 100 * time.Millisecond}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{Config: addTestQueues})
			c.StartJobFlow(30, func(rng *rand.Rand) api.JobSubmission {
				in := newSubmission(queueBenchBatch, 1, accelerators(1), time.Duration(500+rng.IntN(1000))*time.Millisecond)
				in.EstimatedRunMs = int(tc.declared.Milliseconds())
				return in
			})
			tr := c.newTracker()
			c.Until("small jobs take most accelerators", func() bool { return tr.usage(teamQuoting).Accelerators >= 20 })
			c.Submit(newSubmission(queueGang, 6, accelerators(4), 300*time.Millisecond)).Await(api.JobStateDone)
		})
	}
}

// maxUrgentStart is the longest time until urgent work starts that the tests accept. The
// target is 1.2 s, but the test machine runs many cells at once, with the race detector.
const maxUrgentStart = 6 * time.Second

// Guards against urgent work waiting for other work to finish in a full cell.
func TestHardCase15FullCell(t *testing.T) {
	for _, tc := range []struct {
		name           string
		checkpointable bool
		objects        standin.Faults
	}{
		{"stopped", false, standin.Faults{}},
		{"checkpointed", true, standin.Faults{}},
		{"slow checkpoints", true, standin.Faults{Delay: 4 * time.Second}},
		{"no checkpoints", true, standin.Faults{Down: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{Config: addTestQueues})
			tr := c.newTracker()
			full := newSubmission(queueBatch, 48, cores(2), untilStopped)
			full.Checkpointable = tc.checkpointable
			c.AwaitRunning(tr, c.Submit(full))
			waiting := c.Submit(newSubmission(queueRender, 10, cores(2), untilStopped)) // waits for its minimum share
			c.Standins.Objects.SetFaults(tc.objects)
			var slowest time.Duration
			for range 5 {
				submitted := c.Recorder.Now()
				j := c.Submit(newSubmission(queueUrgent, 2, cores(4), 200*time.Millisecond))
				c.AwaitStarted(tr, j)
				for _, r := range tr.startsAfter(submitted, func(r history.Record) bool { return r.Task != "" && jobIDOf(r.Task) == j.submission.Id }) {
					slowest = max(slowest, r.At-submitted)
				}
				j.Await(api.JobStateDone)
			}
			t.Logf("the slowest start of urgent work took %v", slowest)
			if slowest > maxUrgentStart {
				t.Errorf("the slowest start of urgent work took %v, want at most %v", slowest, maxUrgentStart)
			}
			if row, ok := waiting.Row(); !ok || row.FinishedUnixMs > 0 {
				t.Errorf("the waiting job has the state %q, want a state in which it is not finished", row.State)
			}
			c.Standins.Objects.SetFaults(standin.Faults{})
		})
	}
}

// AwaitStarted waits until every task of a job has been started at least once.
func (c *Cell) AwaitStarted(tr *tracker, j *Job) {
	c.t.Helper()
	c.Until(fmt.Sprintf("all tasks of job %s are started", j.submission.Id), func() bool {
		tasks := map[string]bool{}
		for _, r := range tr.startsAfter(0, func(r history.Record) bool { return r.Task != "" && jobIDOf(r.Task) == j.submission.Id }) {
			tasks[r.Task] = true
		}
		return len(tasks) == j.submission.Tasks
	})
}
