package integration

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/client"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

const (
	cancellations = 5_000
	burstCallers  = 64 // concurrent callers that submit and cancel
	retryCallers  = 1_500
)

// inParallel calls do for each number below n, at most atOnce calls at a time.
func inParallel(n, atOnce int, do func(i int)) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range atOnce {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				do(i)
			}
		})
	}
	wg.Wait()
}

// Guards against cancellations that are lost in a burst, against canceled jobs that start
// after it, and against a burst that delays the work of other teams.
func TestHardCase16Cancellations(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{Config: addTestQueues})
	tr := c.newTracker()
	service := c.Submit(newSubmission(queueService, 6, cores(1), untilStopped))
	c.AwaitRunning(tr, service)
	jobs := make([]*Job, cancellations)
	inParallel(len(jobs), burstCallers, func(i int) {
		ctx, cancel := context.WithTimeout(c.ctx, waitTimeout)
		defer cancel()
		jobs[i], _ = c.trySubmit(ctx, newSubmission(queueBatch, 1, cores(1), untilStopped))
	})
	c.logEvent("burst of %d cancellations", cancellations)
	var failed atomic.Int64
	var burst sync.WaitGroup
	burst.Go(func() {
		inParallel(len(jobs), burstCallers, func(i int) {
			if jobs[i] == nil || !c.poll(waitTimeout, jobs[i].Cancel) {
				failed.Add(1)
			}
		})
	})
	c.Submit(newSubmission(queueUrgent, 2, cores(1), 100*time.Millisecond)).Await(api.JobStateDone)
	burst.Wait()
	if n := failed.Load(); n > 0 {
		t.Fatalf("%d of %d jobs were not submitted or not canceled", n, cancellations)
	}
	canceled := c.Recorder.Now()
	c.Until("only the service of the team runs", func() bool { return tr.usage(teamCutting).CpuMillis == 6_000 })
	for range 50 { // a sample, so that jobs canceled in each state are among them
		jobs[c.randomInt(len(jobs))].Await(api.JobStateCanceled)
	}
	c.Submit(newSubmission(queueBatch, 3, cores(1), 100*time.Millisecond)).Await(api.JobStateDone)
	for _, r := range tr.startsAfter(canceled, func(r history.Record) bool { return r.Team == teamCutting }) {
		if r.At > canceled && containsJob(jobs, jobIDOf(r.Task)) {
			t.Errorf("task %s was started %v after its job was canceled", r.Task, r.At-canceled)
		}
	}
}

func containsJob(jobs []*Job, id string) bool {
	for _, j := range jobs {
		if j.submission.Id == id {
			return true
		}
	}
	return false
}

// Guards against the loss of one rack making a service or request queues unavailable.
func TestHardCase16RackLost(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	tr := c.newTracker()
	quotes, orders := c.StartLoad(queueQuote, 40), c.StartLoad(queueOrder, 20)
	jobs := c.submitLongRunning(tr)
	rack := c.vms(poolDesk)[0].Rack
	var lost []api.VM
	for _, vm := range c.vms(poolDesk) {
		if vm.Rack == rack {
			lost = append(lost, vm)
			c.instantFault("VM %s is lost", vm.Id)
			c.Standins.LoseVM(vm.Id)
		}
	}
	if left := len(tr.runningTasks(jobs[0])); left < 4 {
		t.Errorf("%d of 6 tasks of a service are left after the loss of one of 3 racks", left)
	}
	quotes.AwaitDone(50)
	orders.AwaitDone(50)
	c.AwaitRunning(tr, jobs...)
	for _, vm := range lost {
		c.replaceVM(vm)
	}
	c.Submit(newSubmission(queueBatch, 6, cores(10), 100*time.Millisecond)).Await(api.JobStateDone)
	if n := orders.failed.Load() + quotes.failed.Load(); n > 2*int64(len(lost))*8 {
		t.Errorf("%d requests failed, more than twice the slots of the rack", n)
	}
}

// Guards against retries that multiply the load when all callers fail at the same time
// and retry at the same time.
func TestHardCase16AllCallersRetry(t *testing.T) {
	t.Parallel()
	c := NewCell(t, Options{})
	set := func(m standin.ExecutorMode) {
		for _, vm := range c.vms(poolDesk) {
			c.Standins.Executor(vm.Id).SetMode(m)
		}
	}
	c.beginFault("all executors hang")
	set(standin.ExecutorMode{Hang: true})
	key, team := c.keys[teamQuoting], teamQuoting
	ids := make([]string, retryCallers)
	deadline := time.Now().Add(4 * time.Second)
	send := func(i, node int, deadline time.Time) error {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		_, err := c.Caller(key, c.Nodes[node%len(c.Nodes)]).Send(ctx, team, client.Request{Queue: queueQuote, ID: ids[i], Body: requestBody(10, 100, uint64(i)), Deadline: deadline})
		return err
	}
	inParallel(retryCallers, retryCallers, func(i int) {
		ids[i] = NewID(time.Now())
		if err := send(i, i, deadline); err == nil {
			t.Errorf("request %d was answered while all executors hang", i)
		}
	})
	c.endFault("all executors hang")
	set(standin.ExecutorMode{})
	c.logEvent("all callers retry")
	retried := c.Recorder.Now()
	inParallel(retryCallers, retryCallers, func(i int) {
		var err error
		if !c.poll(waitTimeout, func() bool { // a full queue refuses some requests at first
			err = send(i, i+1, time.Now().Add(20*time.Second))
			return !errkind.Is(err, errkind.Overloaded)
		}) || err != nil {
			t.Errorf("request %d: %v", i, err)
		}
	})
	starts := len(c.newTracker().startsAfter(retried, func(r history.Record) bool { return r.RequestID != "" }))
	t.Logf("%d requests caused %d executions", retryCallers, starts)
	if starts > retryCallers*12/10 {
		t.Errorf("%d requests caused %d executions", retryCallers, starts)
	}
	c.StartLoad(queueQuote, 40).AwaitDone(40)
}

// Guards against work that is lost or runs twice when all nodes are lost at once and
// replaced, before and after the task leases have expired.
func TestHardCaseAllNodesLost(t *testing.T) {
	for _, tc := range []struct {
		name      string
		sameNames bool
		late      bool
	}{{"same names", true, false}, {"other names", false, false}, {"other names after the leases", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			c := NewCell(t, Options{Spares: 3})
			tr := c.newTracker()
			quotes, orders := c.StartLoad(queueQuote, 30), c.StartLoad(queueOrder, 30)
			jobs := c.submitLongRunning(tr)
			flow := c.StartJobFlow(4, randomShortJobs(queueRender, cores(2), 2*time.Second))
			quotes.AwaitDone(20)
			old, spares := c.Nodes[:3], c.Nodes[3:]
			for _, n := range old {
				n.Kill()
			}
			if tc.late {
				for _, vm := range c.Standins.VMs.Listing().Vms {
					c.Until("no task runs on "+vm.Id, func() bool { return len(c.Standins.Worker(vm.Id).Running()) == 0 })
				}
			}
			for i := range old {
				if tc.sameNames {
					old[i].Replace()
				} else {
					spares[i].Start()
				}
			}
			c.AwaitServing()
			quotes.AwaitDone(20)
			orders.AwaitDone(20)
			c.AwaitRunning(tr, jobs...)
			flow.Drain(api.JobStateDone)
		})
	}
}
