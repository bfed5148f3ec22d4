package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// awaitStarts waits until a number of tasks and of requests were started after a
// time on the VMs that a function selects.
func (c *Cell) awaitStarts(k *tracker, what string, after time.Duration, n int, on func(vm string) bool) {
	c.t.Helper()
	c.Until(what, func() bool {
		tasks, requests := 0, 0
		for _, r := range k.startsOf(after, func(r history.Record) bool { return on(r.VM) }) {
			if r.Task != "" {
				tasks++
			} else {
				requests++
			}
		}
		return tasks >= n && requests >= n
	})
}

// Guards against work on a VM that is leaving: whether it refuses work itself or
// is only listed, and when the owner that knows of it goes away.
func TestPromise8Leaving(t *testing.T) {
	none := fault{name: "no fault", begin: func(*Cell, *Node) func() { return func() {} }}
	for _, kind := range []struct {
		name   string
		refuse bool
		faults []fault
	}{
		{"listed", false, []fault{none, killed, paused, noStore, alone, both(killed, noStore), both(paused, answersLost)}},
		{"refusing", true, []fault{none, killed, listDown, both(paused, listDown), both(alone, killed)}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			underFaults(t, Options{}, kind.faults, func(c *Cell, f fault) { leave(c, f, kind.refuse) })
		})
	}
}

func leave(c *Cell, f fault, refuse bool) {
	shape := Shape{MaxRun: 500 * time.Millisecond}
	c.ShapedLoad(queueQuote, 40, shape)
	c.ShapedLoad(queueOrder, 20, shape)
	flow := c.Flow(8, shortWork(queueBatch, cores(2), time.Second))
	k := c.tracker()
	vm := c.vms(poolDesk)[c.pick(len(c.vms(poolDesk)))].Id
	only := func(id string) bool { return id == vm }
	pool := map[string]bool{}
	for _, other := range c.vms(poolDesk) {
		pool[other.Id] = other.Id != vm
	}
	others := func(id string) bool { return pool[id] }
	c.awaitStarts(k, "work starts on "+vm, 0, 1, only)

	end := f.begin(c, c.anyDeskOwner())
	c.note("%s is leaving", vm)
	c.Standins.Leave(vm, refuse)
	left := c.Recorder.Now()
	c.awaitStarts(k, "work starts on other VMs after the grace", left+checker.DefaultOptions().LeaveGrace, enoughProbes, others)
	end()
	c.AwaitServing()
	c.awaitStarts(k, "work starts on other VMs after the fault", c.Recorder.Now(), enoughProbes, others)

	c.Standins.Executor(vm).SetMode(standin.ExecutorMode{})
	c.Standins.Worker(vm).SetMode(standin.WorkerMode{})
	c.Standins.VMs.SetLive(vm)
	c.awaitStarts(k, "work starts on "+vm+" again", c.Recorder.Now(), 1, only)
	flow.Drain(api.JobStateDone)
}
