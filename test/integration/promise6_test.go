package integration

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/history"
	"github.com/endivehill/endivehill/internal/standin"
)

// minRefusals is the number of refused calls that a test needs to be conclusive.
const minRefusals = 20

// allExecutorsDraining makes every executor refuse requests.
var allExecutorsDraining = fault{"all upstreams draining", false, func(c *Cell, _ *Node) func() {
	set := func(draining bool) {
		for _, vm := range c.Standins.VMs.Listing().Vms {
			if e := c.Standins.Executor(vm.Id); e != nil {
				e.UpdateMode(func(m *standin.ExecutorMode) { m.Draining = draining })
			}
		}
	}
	c.beginFault("all upstreams draining")
	set(true)
	return func() {
		set(false)
		c.endFault("all upstreams draining")
	}
}}

// Guards against an error with outcome "not run" for a request that does run: from an
// owner that is fenced or cut off, after a lost answer, or after the deadline.
func TestPromise6NotRunIsTrue(t *testing.T) {
	faults := []fault{
		nodeKilled, nodePaused, storeUnreachable, isolated, peerRequestsDropped, storeDown, storeHangs, storeAnswersLost, allExecutorsDraining,
		pairOf(nodePaused, storeAnswersLost), pairOf(nodeKilled, executorsDraining), pairOf(storeUnreachable, peersSlow), pairOf(storeDown, nodeKilled), pairOf(peerRequestsDropped, peerAnswersCut), pairOf(nodePaused, upstreamAnswersCut),
	}
	underFaults(t, Options{}, faults, func(c *Cell, f fault) {
		loads := []*RequestLoad{c.StartLoad(queueQuote, 20), c.StartLoad(queueOrder, 20)}
		// The deadline of most of these passes before the upstream has answered.
		for _, queue := range []string{queueQuote, queueOrder} {
			c.StartShapedLoad(queue, 30, LoadShape{MaxRun: 200 * time.Millisecond, Deadline: 50 * time.Millisecond})
		}
		awaitAllDone(loads, answersAfterFault)
		before := c.countCalls(history.NotRun, "")
		f.runDuring(c, c.Owner("desk-executors-0"), func() {
			c.Until("calls end with the outcome not run", func() bool { return c.countCalls(history.NotRun, "") >= before+minRefusals })
		})
		awaitAllDone(loads, answersAfterFault)
	})
}

// Guards against a full queue that drops requests it accepted, or runs requests that it
// refused.
func TestPromise6Overload(t *testing.T) {
	t.Parallel()
	const perSecond = 1000 // of 150 ms on average; 48 slots serve 320 a second
	c := NewCell(t, Options{})
	quotes := c.StartLoad(queueQuote, 20)
	flood := c.StartShapedLoad(queueOrder, perSecond, LoadShape{MaxRun: 300 * time.Millisecond, Deadline: 500 * time.Millisecond})
	c.Until("the deadline of requests passes before they run", func() bool { return c.countCalls(history.NotRun, errkind.DeadlineExceeded) >= minRefusals })
	quotes.AwaitDone(answersDuringFault)
	flood.Stop()
	quotes.AwaitDone(answersAfterFault)
}
