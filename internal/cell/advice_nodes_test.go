package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Guards against long-running tasks and short works that wait while their advice calls go
// again and again to nodes that do not answer: such a node has no backlog, so it looked like
// the least busy one.
func TestNodesWithoutAnswersGetFewAdviceCalls(t *testing.T) {
	const lasting, short = 4, 40
	for _, silent := range [][]string{{"b"}, {"b", "c", "d"}, {"b", "c", "d", "e"}} {
		sim := newSimulation(t, 1)
		for _, id := range []string{"w0", "w1", "w2", "w3"} {
			sim.addWorker(id, smallWorker)
		}
		sim.allowedShare = 1
		sim.queue("advised", 0, &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second})
		sim.silentNodes = map[string]bool{}
		for _, node := range silent {
			sim.silentNodes[node] = true
		}
		sim.startOwner()
		sim.cell.opts.Address = "a"
		sim.cell.SetAdviceNodes([]string{"a", "b", "c", "d", "e"})
		for n := range lasting {
			step := tasksOf(1, 0)
			step.LongRunning = true
			sim.submit(oneStep(1000+n, "advised", step))
		}
		sim.runUntil(time.Second, "the long-running tasks run", func() bool { return sim.runningTasks() == lasting })
		for n := range short {
			sim.after(time.Duration(n)*200*time.Millisecond, func() { sim.submit(oneStep(n+1, "advised", tasksOf(1, 50))) })
		}
		sim.runFor(12 * time.Second)
		// In 12 s a node fails at most at 0, 0.5, 1.2, 2.7, 5.7 and 11.7 s, each time with the
		// calls that were given to it within its backlog.
		if limit := 12 * len(silent); sim.silentCalls > limit {
			t.Errorf("%d of 5 nodes silent: %d calls to them, want at most %d", len(silent), sim.silentCalls, limit)
		}
	}
}

// Guards against works that wait for seconds after the adviser answers again, because the
// calls of all nodes have failed for long.
func TestAdviceIsAskedForSoonAfterAnOutageOfTheAdviser(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w0", smallWorker)
	sim.queue("advised", 0, &work.Advice{CallDuration: 20 * time.Millisecond, DurationPerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	sim.startOwner()
	sim.adviceFails = true
	sim.submit(oneStep(1, "advised", tasksOf(1, 200)))
	sim.runFor(20 * time.Second)
	sim.adviceFails = false
	sim.runUntil(2*time.Second, "completed", func() bool { return sim.state(workID(1)) == "completed" })
}

// Guards against nodes that failed together and are tried again together.
func TestBackoffOfAdviceNodesIsSpread(t *testing.T) {
	seen := map[time.Duration]bool{}
	for _, address := range []string{"a", "b", "c", "d"} {
		n := &adviceNode{address: address}
		last := time.Duration(0)
		for call := range 10 {
			now := time.Duration(call) * time.Second
			n.freeAt = 0
			n.callFailed(now, now)
			last = n.freeAt - now
			if last > time.Duration(float64(maxNodeBackoff)*(1+nodeBackoffJitter)) {
				t.Errorf("backoff %v", last)
			}
		}
		seen[last] = true
	}
	if len(seen) < 4 {
		t.Errorf("backoffs %v", seen)
	}
}
