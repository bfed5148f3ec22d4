package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/checker"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// awaitStarts waits until at least n tasks and n requests have been started later than
// the time after on the VMs for which matchVM returns true.
func (c *Cell) awaitStarts(tr *tracker, what string, after time.Duration, n int, matchVM func(vm string) bool) {
	c.t.Helper()
	c.Until(what, func() bool {
		tasks, requests := 0, 0
		for _, r := range tr.startsAfter(after, func(r history.Record) bool { return matchVM(r.VM) }) {
			if r.Task != "" {
				tasks++
			} else {
				requests++
			}
		}
		return tasks >= n && requests >= n
	})
}

// Guards against starting work on a leaving VM, whether the VM refuses work itself or is
// only listed as leaving, also when the owner that knows that it is leaving is lost.
func TestPromise8Leaving(t *testing.T) {
	none := fault{name: "no fault", inject: func(*Cell, *Node) func() { return func() {} }}
	for _, kind := range []struct {
		name   string
		refuse bool
		faults []fault
	}{
		{"listed", false, []fault{none, nodeKilled, nodePaused, storeUnreachable, isolated, pairOf(nodeKilled, storeUnreachable), pairOf(nodePaused, storeAnswersLost)}},
		{"refusing", true, []fault{none, nodeKilled, vmListDown, pairOf(nodePaused, vmListDown), pairOf(isolated, nodeKilled)}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			underFaults(t, Options{}, kind.faults, func(c *Cell, f fault) { testLeavingVM(c, f, kind.refuse) })
		})
	}
}

func testLeavingVM(c *Cell, f fault, refuse bool) {
	shape := LoadShape{MaxRun: 500 * time.Millisecond}
	c.StartShapedLoad(queueQuote, 40, shape)
	c.StartShapedLoad(queueOrder, 20, shape)
	flow := c.StartJobFlow(8, randomShortJobs(queueBatch, cores(2), time.Second))
	tr := c.newTracker()
	vm := c.vms(poolDesk)[c.randomInt(len(c.vms(poolDesk)))].Id
	isLeavingVM := func(id string) bool { return id == vm }
	isOther := map[string]bool{}
	for _, other := range c.vms(poolDesk) {
		isOther[other.Id] = other.Id != vm
	}
	isOtherVM := func(id string) bool { return isOther[id] }
	c.awaitStarts(tr, "work starts on "+vm, 0, 1, isLeavingVM)

	end := f.inject(c, c.anyDeskOwner())
	c.logEvent("%s is leaving", vm)
	c.Standins.SetVMLeaving(vm, refuse)
	leavingSince := c.Recorder.Now()
	c.awaitStarts(tr, "work starts on other VMs after the grace", leavingSince+checker.DefaultOptions().LeaveGrace, minProbes, isOtherVM)
	end()
	c.AwaitServing()
	c.awaitStarts(tr, "work starts on other VMs after the fault", c.Recorder.Now(), minProbes, isOtherVM)

	c.Standins.Executor(vm).SetMode(standin.ExecutorMode{})
	c.Standins.Worker(vm).SetMode(standin.WorkerMode{})
	c.Standins.VMs.SetLive(vm)
	c.awaitStarts(tr, "work starts on "+vm+" again", c.Recorder.Now(), 1, isLeavingVM)
	flow.Drain(api.JobStateDone)
}
