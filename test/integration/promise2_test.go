package integration

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// shortWork returns a shape of jobs that run for less than a time.
func shortWork(queue string, size api.Resources, most time.Duration) func(*rand.Rand) api.JobSubmission {
	return func(rng *rand.Rand) api.JobSubmission {
		return work(queue, 1+rng.IntN(3), size, time.Duration(rng.Int64N(int64(most))))
	}
}

// standing submits a service, a gang and batch work that run until they are
// stopped, and waits until they run.
func (c *Cell) standing(k *tracker) []*Job {
	c.t.Helper()
	batch := work(queueBatch, 4, cores(2), endless)
	batch.Checkpointable = true
	jobs := []*Job{
		c.Submit(work(queueService, 6, cores(2), endless)),
		c.Submit(work(queueGang, 3, accelerated(2), endless)),
		c.Submit(batch),
		c.Submit(work(queueRender, 3, cores(1), endless)),
	}
	c.AwaitRunning(k, jobs...)
	return jobs
}

// leasesEnd brings about a fault during which the task leases end, because nobody
// can renew them.
var leasesEnd = fault{name: "leases end", begin: func(c *Cell, n *Node) func() {
	endStore := storeDown.begin(c, n)
	endKill := killed.begin(c, n)
	for _, vm := range c.vms(poolDesk) {
		c.Until("no task runs on "+vm.Id, func() bool { return len(c.Standins.Worker(vm.Id).Running()) == 0 })
	}
	return func() { // the owner comes back before the table service
		endKill()
		endStore()
	}
}}

// Guards against a task that runs in two places: when an owner or a worker is
// taken as gone and is not, and when it is not known whether a start arrived.
func TestPromise2SinglePlace(t *testing.T) {
	faults := []fault{
		killed, paused, noStore, alone, noPeers, answersLost, storeSlow, workerCut, workerDeaf, workerLossy, vmLost,
		both(killed, workerCut), both(paused, workerCut), both(alone, workerCut), both(workerCut, vmLost),
		both(paused, killed), both(noStore, vmLost), both(paused, answersLost), both(noStore, workerDeaf), both(answersLost, workerLossy),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		k := c.tracker()
		jobs := c.standing(k)
		flow := c.Flow(4, shortWork(queueRender, cores(2), 2*time.Second))
		end := f.begin(c, c.Owner(deskWorkers))
		c.Submit(work(queueRender, 3, cores(1), 300*time.Millisecond)).Await(api.JobStateDone)
		c.AwaitRunning(k, jobs...)
		end()
		c.AwaitServing()
		c.Submit(work(queueRender, 3, cores(1), 300*time.Millisecond)).Await(api.JobStateDone)
		c.AwaitRunning(k, jobs...)
		flow.Drain(api.JobStateDone)
	})
}

// Guards against a task that goes on, or is started twice, when its lease ended
// while the table service was down and its owner was killed.
func TestPromise2LeasesEnd(t *testing.T) {
	underFaults(t, Options{}, []fault{leasesEnd}, func(c *Cell, f fault) {
		k := c.tracker()
		jobs := c.standing(k)
		f.begin(c, c.Owner(deskWorkers))()
		c.AwaitServing()
		c.AwaitRunning(k, jobs...)
	})
}
