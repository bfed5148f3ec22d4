package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// randomShortJobs returns a generator of jobs whose tasks run for less than maxRun.
func randomShortJobs(queue string, size api.Resources, maxRun time.Duration) func(*rand.Rand) api.JobSubmission {
	return func(rng *rand.Rand) api.JobSubmission {
		return newSubmission(queue, 1+rng.IntN(3), size, time.Duration(rng.Int64N(int64(maxRun))))
	}
}

// submitLongRunning submits a service, a gang and batch jobs that run until they are
// stopped, and waits until all their tasks run.
func (c *Cell) submitLongRunning(tr *tracker) []*Job {
	c.t.Helper()
	batch := newSubmission(queueBatch, 4, cores(2), untilStopped)
	batch.Checkpointable = true
	jobs := []*Job{
		c.Submit(newSubmission(queueService, 6, cores(2), untilStopped)),
		c.Submit(newSubmission(queueGang, 3, accelerators(2), untilStopped)),
		c.Submit(batch),
		c.Submit(newSubmission(queueRender, 3, cores(1), untilStopped)),
	}
	c.AwaitRunning(tr, jobs...)
	return jobs
}

// taskLeasesExpire is an outage of the table service with a killed owner, during which the
// task leases expire because no node can renew them.
var taskLeasesExpire = fault{name: "leases end", inject: func(c *Cell, n *Node) func() {
	endStore := storeDown.inject(c, n)
	endKill := nodeKilled.inject(c, n)
	for _, vm := range c.vms(poolDesk) {
		c.Until("no task runs on "+vm.Id, func() bool { return len(c.Standins.Worker(vm.Id).Running()) == 0 })
	}
	return func() { // the owner is restarted before the table service is available
		endKill()
		endStore()
	}
}}

// Guards against a task running on two workers when an owner or a worker is wrongly
// considered lost, or when it is unknown whether a start command arrived.
func TestPromise2SinglePlace(t *testing.T) {
	faults := []fault{
		nodeKilled, nodePaused, storeUnreachable, isolated, peersUnreachable, storeAnswersLost, storeSlow, workerUnreachable, workerAnswersLost, workerSomeAnswersLost, vmLost,
		pairOf(nodeKilled, workerUnreachable), pairOf(nodePaused, workerUnreachable), pairOf(isolated, workerUnreachable), pairOf(workerUnreachable, vmLost),
		pairOf(nodePaused, nodeKilled), pairOf(storeUnreachable, vmLost), pairOf(nodePaused, storeAnswersLost), pairOf(storeUnreachable, workerAnswersLost), pairOf(storeAnswersLost, workerSomeAnswersLost),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		tr := c.newTracker()
		jobs := c.submitLongRunning(tr)
		flow := c.StartJobFlow(4, randomShortJobs(queueRender, cores(2), 2*time.Second))
		end := f.inject(c, c.Owner(deskWorkerPartition))
		c.Submit(newSubmission(queueRender, 3, cores(1), 300*time.Millisecond)).Await(api.JobStateDone)
		c.AwaitRunning(tr, jobs...)
		end()
		c.AwaitServing()
		c.Submit(newSubmission(queueRender, 3, cores(1), 300*time.Millisecond)).Await(api.JobStateDone)
		c.AwaitRunning(tr, jobs...)
		flow.Drain(api.JobStateDone)
	})
}

// Guards against a task that keeps running, or is started twice, after its lease has
// expired while the table service was down and its owner was killed.
func TestPromise2LeasesEnd(t *testing.T) {
	underFaults(t, Options{}, []fault{taskLeasesExpire}, func(c *Cell, f fault) {
		tr := c.newTracker()
		jobs := c.submitLongRunning(tr)
		f.inject(c, c.Owner(deskWorkerPartition))()
		c.AwaitServing()
		c.AwaitRunning(tr, jobs...)
	})
}
