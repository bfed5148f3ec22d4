package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a start that is sent after its ticket ran out, while the record
// was written slowly.
func TestStaleTicketIsNotUsed(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", smallWorker)
	w.queue("advised", 0, &work.Advice{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	w.own()
	w.storeUp = false
	w.submit(oneStep(1, "advised", tasksOf(1, 200)))
	w.run(4 * time.Second)
	w.storeUp = true
	w.until(3*time.Second, "completed", func() bool { return w.state(workID(1)) == api.WorkStateCompleted })
	if n := w.cell.stats.StaleTickets; n != 0 {
		t.Errorf("%d starts were refused for a stale ticket", n)
	}
}

// Guards against a work that never starts because its records take longer to be
// written than tickets are valid: each time it was placed anew.
func TestRecordsSlowerThanTickets(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", smallWorker)
	w.queue("advised", 0, &work.Advice{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	w.own()
	w.commitTime = 2500 * time.Millisecond
	w.submit(oneStep(1, "advised", tasksOf(3, 200)))
	w.until(6*time.Second, "running", func() bool { return len(w.workers["w1"].runs) == 3 })
	w.until(9*time.Second, "completed", func() bool { return w.state(workID(1)) == api.WorkStateCompleted })
	if n := w.cell.stats.StaleTickets; n != 0 {
		t.Errorf("%d starts were refused for a stale ticket", n)
	}
}

// Guards against a task that waits for ever because the workers that were asked
// about have room, but hold as many tasks of its step as they may.
func TestMoreWorkersAreAskedForASpreadStep(t *testing.T) {
	w := newWorld(t, 1)
	for n := range 60 {
		w.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	w.goodShare = 0.3
	w.queue("advised", 0, &work.Advice{Decision: 20 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second})
	w.own()
	step := tasksOf(14, 0)
	step.LongRunning = true
	step.MaxPerWorker = 1
	w.submit(oneStep(1, "advised", step))
	w.until(10*time.Second, "all tasks run", func() bool {
		n := 0
		for _, f := range w.workers {
			n += len(f.runs)
		}
		return n == 14
	})
}

// Guards against a step that is never asked for because steps ahead of it take all
// long calls for advice: its work would wait for ever while the workers are free.
func TestFirstAdviceIsNotStarved(t *testing.T) {
	w := newWorld(t, 1)
	for n := range 10 {
		w.addWorker(fmt.Sprintf("w%d", n), smallWorker)
	}
	w.askCost = 550 * time.Millisecond
	advice := &work.Advice{Decision: 540 * time.Millisecond, PerWorker: time.Millisecond, ValidFor: 2 * time.Second}
	w.queue("urgent", 1, advice)
	w.queue("patient", 1, advice).TargetLatency = time.Minute
	w.own()
	for n := range 60 { // more than the adviser can serve
		w.after(time.Duration(n)*200*time.Millisecond, func() { w.submit(oneStep(n+2, "urgent", tasksOf(1, 100))) })
	}
	w.run(2 * time.Second)
	w.submit(oneStep(1, "patient", tasksOf(1, 200)))
	w.until(3500*time.Millisecond, "completed", func() bool { return w.state(workID(1)) == api.WorkStateCompleted })
}
