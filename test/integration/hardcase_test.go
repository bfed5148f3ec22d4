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

// Further queues of the tests of hard cases.
const (
	queueBenchBatch = "quoting.bench"
	queueOtherGang  = "quoting.gang"
	queueUrgent     = "quoting.urgent"
)

// manyQueues adds the further queues and raises the limits over the fleet.
func manyQueues(c *api.Configuration) {
	*c = withLimit(*c, api.Resources{CpuMillis: 400_000, MemoryMb: 800_000, Accelerators: 48, Slots: 96})
	addQueue(c, queueRender, func(q *api.Queue) { q.Name, q.Pool = queueBenchBatch, poolBench })
	addQueue(c, queueGang, func(q *api.Queue) { q.Name, q.Team = queueOtherGang, teamQuoting })
	addQueue(c, queueRender, func(q *api.Queue) { q.Name, q.Urgency = queueUrgent, api.UrgencyUrgent })
}

// refused submits a job that must be refused as one of a kind.
func (c *Cell) refused(in api.JobSubmission, want errkind.Kind) {
	c.t.Helper()
	ctx, cancel := context.WithTimeout(c.ctx, patience)
	defer cancel()
	if _, err := c.trySubmit(ctx, in); kindOf(err) != want {
		c.t.Errorf("%d tasks of %+v for queue %s: %v, want %s", in.Tasks, in.Resources, in.Queue, err, want)
	}
}

// Guards against VMs that are filled by what tasks declare when they use three
// times as much, and against tasks that never end because they outgrow their size.
func TestHardCase11SizesFarOff(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	declared, used := cores(1), cores(3)
	shape := func(tasks int, run time.Duration) api.JobSubmission {
		in := work(queueBatch, tasks, declared, run)
		in.Payload, in.EstimatedRunMs = payload(run, used, 0), 50
		return in
	}
	for range 4 { // from which the sizes are learned
		c.Submit(shape(2, 2*time.Second)).Await(api.JobStateDone)
	}
	learned := c.Recorder.Now()
	jobs := []*Job{c.Submit(shape(20, 3*time.Second)), c.Submit(shape(20, 3*time.Second))}
	for _, j := range jobs {
		j.Await(api.JobStateDone)
	}
	c.Finish()
	var true_ []history.Record
	for _, r := range c.Recorder.Records() {
		if r.Task != "" && r.At < learned {
			continue
		}
		if r.Task != "" {
			r.Resources = used
		}
		true_ = append(true_, r)
	}
	for _, v := range checker.Check(true_, checker.DefaultOptions()) {
		if v.Guarantee == checker.Capacity {
			t.Errorf("with true sizes: %s", v)
		}
	}
}

// Guards against a worker that fails every task and so empties the queue while
// the rest of the cell is busy.
func TestHardCase12WorkerFailsEverything(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	k := c.tracker()
	bad := c.vms(poolDesk)[c.pick(len(c.vms(poolDesk)))].Id
	c.begin("worker of " + bad + " fails every task")
	c.Standins.Worker(bad).SetMode(standin.WorkerMode{FailAll: true})
	var jobs []*Job
	for range 60 {
		jobs = append(jobs, c.Submit(work(queueBatch, 1, cores(2), time.Second)))
	}
	for _, j := range jobs {
		j.Await(api.JobStateDone)
	}
	// A VM has room for 8 of the tasks. They may all be placed before the first
	// failure is reported.
	if n := len(k.startsOf(0, func(r history.Record) bool { return r.VM == bad })); n == 0 || n > 16 {
		t.Errorf("%d tasks were started on the VM that fails them, want 1 to 16", n)
	}
	c.Standins.Worker(bad).SetMode(standin.WorkerMode{})
	c.end("worker of " + bad + " fails every task")
}

// Guards against a job that fails everywhere and is started again and again, or
// takes the VMs it failed on out of service.
func TestHardCase12JobFailsEverywhere(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	k := c.tracker()
	var jobs []*Job
	for i := range 6 {
		in := work(queueBatch, 2, cores(1), 100*time.Millisecond)
		in.Payload = payload(50*time.Millisecond, cores(1), 1)
		in.MaxAttempts = 2 + i
		jobs = append(jobs, c.Submit(in))
	}
	for _, j := range jobs {
		j.Await(api.JobStateFailed)
		starts := k.startsOf(0, func(r history.Record) bool { return r.Task != "" && jobOf(r.Task) == j.in.Id })
		if n := len(starts); n > 2*j.in.MaxAttempts {
			t.Errorf("a job with 2 tasks of at most %d attempts was started %d times", j.in.MaxAttempts, n)
		}
	}
	// A quarter of the VMs may be in quarantine, which is one.
	whole := c.Submit(work(queueBatch, 5, cores(15), endless))
	c.AwaitRunning(k, whole)
}

// Guards against jobs that can never run and are accepted, or block the others
// after the fleet has shrunk.
func TestHardCase13NeverRunnable(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{Config: manyQueues})
	whole := work(queueGang, 6, accelerated(4), 300*time.Millisecond)
	huge := work(queueBatch, 1, cores(17), time.Second)
	wide := work(queueGang, 7, accelerated(4), time.Second)
	for _, in := range []api.JobSubmission{huge, wide, work(queueBatch, 1, accelerated(1), time.Second), work(queueGang, 49, accelerated(1), time.Second)} {
		c.refused(in, errkind.NeverRunnable)
	}
	k := c.tracker()
	filler := c.Submit(work(queueBenchBatch, 6, accelerated(3), endless))
	c.AwaitRunning(k, filler)
	waiting := c.Submit(whole)
	lost := c.vms(poolBench)[:2]
	for _, vm := range lost {
		c.fault("VM %s is lost", vm.Id)
		c.Standins.Lose(vm.Id)
	}
	c.Until("the gang of the whole pool is refused", func() bool {
		ctx, cancel := context.WithTimeout(c.ctx, callTimeout)
		defer cancel()
		j, err := c.trySubmit(ctx, whole)
		if err == nil {
			j.Cancel()
		}
		return kindOf(err) == errkind.NeverRunnable
	})
	c.Until("the filler is canceled", filler.Cancel)
	c.Submit(work(queueBenchBatch, 4, accelerated(4), 300*time.Millisecond)).Await(api.JobStateDone)
	c.Submit(work(queueOtherGang, 4, accelerated(4), 300*time.Millisecond)).Await(api.JobStateDone)
	if row, ok := waiting.Row(); !ok || row.State != api.JobStateQueued {
		t.Errorf("the gang that does not fit at present is %q, want %q", row.State, api.JobStateQueued)
	}
	for _, vm := range lost {
		c.replaceVM(vm)
	}
	waiting.Await(api.JobStateDone)
}

// Guards against two gangs that each hold a part of what they need, and against
// a gang that starts in part.
func TestHardCase14TwoGangs(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{Config: manyQueues})
	var jobs []*Job
	for range 4 { // each needs more than half of the pool
		jobs = append(jobs, c.Submit(work(queueGang, 4, accelerated(4), time.Second)), c.Submit(work(queueOtherGang, 5, accelerated(3), time.Second)))
	}
	k := c.tracker()
	for _, j := range jobs {
		j.Await(api.JobStateDone)
		starts := k.startsOf(0, func(r history.Record) bool { return r.Task != "" && jobOf(r.Task) == j.in.Id })
		if len(starts) != j.in.Tasks {
			t.Errorf("a gang of %d was started as %d tasks", j.in.Tasks, len(starts))
		}
	}
}

// Guards against a large gang that never starts because small jobs take every
// accelerator that becomes free, also when those run longer than they declare.
func TestHardCase14LargeGangAmongSmallJobs(t *testing.T) {
	for _, tc := range []struct {
		name     string
		declared time.Duration
	}{{"as declared", time.Second}, {"longer than declared", 100 * time.Millisecond}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{Config: manyQueues})
			c.Flow(30, func(rng *rand.Rand) api.JobSubmission {
				in := work(queueBenchBatch, 1, accelerated(1), time.Duration(500+rng.IntN(1000))*time.Millisecond)
				in.EstimatedRunMs = int(tc.declared.Milliseconds())
				return in
			})
			k := c.tracker()
			c.Until("small jobs take most accelerators", func() bool { return k.usage(teamQuoting).Accelerators >= 20 })
			c.Submit(work(queueGang, 6, accelerated(4), 300*time.Millisecond)).Await(api.JobStateDone)
		})
	}
}

// urgentStart is the bound of the tests for the start of urgent work. The target
// is 1.2 s; this machine runs many cells at once, with the race detector.
const urgentStart = 6 * time.Second

// Guards against urgent work that waits for other work in a full cell.
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
			c := NewCell(t, Options{Config: manyQueues})
			k := c.tracker()
			full := work(queueBatch, 48, cores(2), endless)
			full.Checkpointable = tc.checkpointable
			c.AwaitRunning(k, c.Submit(full))
			waiting := c.Submit(work(queueRender, 10, cores(2), endless)) // waits for its minimum share
			c.Standins.Objects.SetFaults(tc.objects)
			var slowest time.Duration
			for range 5 {
				submitted := c.Recorder.Now()
				j := c.Submit(work(queueUrgent, 2, cores(4), 200*time.Millisecond))
				c.AwaitRunningOnce(k, j)
				for _, r := range k.startsOf(submitted, func(r history.Record) bool { return r.Task != "" && jobOf(r.Task) == j.in.Id }) {
					slowest = max(slowest, r.At-submitted)
				}
				j.Await(api.JobStateDone)
			}
			t.Logf("the slowest start of urgent work took %v", slowest)
			if slowest > urgentStart {
				t.Errorf("the slowest start of urgent work took %v, want at most %v", slowest, urgentStart)
			}
			if row, ok := waiting.Row(); !ok || row.FinishedUnixMs > 0 {
				t.Errorf("the other work is %q", row.State)
			}
			c.Standins.Objects.SetFaults(standin.Faults{})
		})
	}
}

// AwaitRunningOnce waits until all tasks of a job were started.
func (c *Cell) AwaitRunningOnce(k *tracker, j *Job) {
	c.t.Helper()
	c.Until(fmt.Sprintf("all tasks of job %s are started", j.in.Id), func() bool {
		tasks := map[string]bool{}
		for _, r := range k.startsOf(0, func(r history.Record) bool { return r.Task != "" && jobOf(r.Task) == j.in.Id }) {
			tasks[r.Task] = true
		}
		return len(tasks) == j.in.Tasks
	})
}
