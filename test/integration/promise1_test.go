package integration

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// randomMisdeclaredJobs returns a generator of jobs whose tasks use between a third of and
// three times the resources that they declare, and whose declared run time is the same
// factor times the true one.
func randomMisdeclaredJobs(queue string) func(*rand.Rand) api.JobSubmission {
	return func(rng *rand.Rand) api.JobSubmission {
		size := cores(1 + rng.IntN(6))
		run := time.Duration(200+rng.IntN(2000)) * time.Millisecond
		in := newSubmission(queue, 1+rng.IntN(3), size, run)
		factor := math.Pow(3, 2*rng.Float64()-1)
		in.Payload = payload(run, api.Resources{CpuMillis: int(factor * float64(size.CpuMillis)), MemoryMb: int(factor * float64(size.MemoryMb))}, 0)
		in.EstimatedRunMs = int(factor * float64(run.Milliseconds()))
		in.Checkpointable = rng.IntN(2) == 0
		return in
	}
}

// anyDeskOwner returns the owner of one of the partitions of the desk pool.
func (c *Cell) anyDeskOwner() *Node {
	names := []string{deskWorkerPartition, poolDesk + "-executors-0", poolDesk + "-executors-1"}
	return c.Owner(names[c.randomInt(len(names))])
}

// Guards against exceeding the slots, the resources or the connections of a VM when a new
// owner does not know what its predecessor started, and when declared sizes are wrong and
// usage is reported late.
func TestPromise1Capacity(t *testing.T) {
	faults := []fault{
		nodeKilled, nodePaused, storeUnreachable, isolated, storeAnswersLost, vmLost, workerSomeAnswersLost,
		pairOf(nodePaused, nodeKilled), pairOf(nodePaused, storeAnswersLost), pairOf(storeUnreachable, workerAnswersLost), pairOf(nodeKilled, vmLost),
	}
	underFaults(t, Options{UsageLag: 3 * time.Second}, faults, func(c *Cell, f fault) {
		shape := LoadShape{MaxRun: 1500 * time.Millisecond}
		quotes, orders := c.StartShapedLoad(queueQuote, 40, shape), c.StartShapedLoad(queueOrder, 40, shape)
		flows := []*JobFlow{c.StartJobFlow(4, randomMisdeclaredJobs(queueBatch)), c.StartJobFlow(4, randomMisdeclaredJobs(queueRender))}
		tr := c.newTracker()
		c.Until("most slots are in use", func() bool { return tr.usage(teamCutting).Slots+tr.usage(teamQuoting).Slots >= 40 })
		c.Until("half of the cores are in use", func() bool { return tr.usage(teamCutting).CpuMillis+tr.usage(teamQuoting).CpuMillis >= 48_000 })
		end := f.inject(c, c.anyDeskOwner())
		c.Submit(newSubmission(queueRender, 3, cores(1), 100*time.Millisecond)).Await(api.JobStateDone)
		quotes.AwaitDone(100)
		orders.AwaitDone(20)
		end()
		c.AwaitServing()
		quotes.AwaitDone(50)
		orders.AwaitDone(50)
		for _, flow := range flows {
			flow.Stop()
		}
	})
}
