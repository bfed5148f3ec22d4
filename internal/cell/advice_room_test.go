package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against steps that find room and wait for advice, while steps of a full pool get
// tickets that expire unused.
func TestAdviceGoesFirstToStepsThatFindRoom(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.config.Pools["bench"] = &work.Pool{Name: "bench"}
	render := sim.queue("render", 1, &work.Advice{CallDuration: 560 * time.Millisecond, DurationPerWorker: 8 * time.Millisecond, ValidFor: 2 * time.Second})
	render.Pool, render.TargetLatency = "bench", 10*time.Second
	sim.config.Queues["long"].TargetLatency = 20 * time.Second
	sim.queue("fill", 0, nil).Pool = "bench"
	for _, id := range []string{"b0", "b1", "b2", "b3"} {
		sim.addWorker(id, work.Resources{CPUMillis: 32000, MemoryMB: 64000}).pool = "bench"
	}
	sim.cell.Configure(sim.config)
	sim.updateWorkers()
	filler := tasksOf(4, 60000)
	filler.Size.CpuMillis = 32000
	sim.submit(oneStep(1, "fill", filler))
	sim.runUntil(time.Second, "the pool is full", func() bool { return sim.countRuns(workID(1)) == 4 })
	for n := range 20 {
		sim.accept(oneStep(10+n, "render", tasksOf(1, 300)))
	}
	sim.runFor(100 * time.Millisecond)
	const advised = 8
	for n := range advised {
		sim.accept(oneStep(50+n, "long", tasksOf(2, 300)))
	}
	// Calls for them, for the step of the full pool whose call is made already, and for two
	// overdue ones.
	bound := advised*224*time.Millisecond + 3*592*time.Millisecond + time.Second
	sim.runUntil(bound, "the works that find room are completed", func() bool { return sim.completed(50, advised) })
}

// completed reports whether count works from the first on are completed.
func (sim *simulation) completed(first, count int) bool {
	for n := range count {
		if sim.state(workID(first+n)) != api.WorkStateCompleted {
			return false
		}
	}
	return true
}

// Guards against late steps whose long calls hold up much more work that shorter calls would
// start.
func TestLateStepsWithMoreWorkForACallComeFirst(t *testing.T) {
	sim := startScarceAdvice(t, 1)
	sim.queue("costly", 1, &work.Advice{CallDuration: 560 * time.Millisecond, DurationPerWorker: 8 * time.Millisecond, ValidFor: 2 * time.Second}).TargetLatency = 0
	sim.cell.Configure(sim.config)
	sim.cell.SetAdviceNodes(nil)
	const works = 8
	for n := range works {
		sim.accept(oneStep(10+n, "costly", tasksOf(1, 300)))
	}
	sim.runFor(500 * time.Millisecond)
	for n := range works {
		sim.accept(oneStep(50+n, "long", tasksOf(4, 300)))
	}
	sim.runFor(3 * time.Second) // all of them miss their objectives
	sim.cell.SetAdviceNodes([]string{"n0"})
	// Calls for them, and for two overdue costly ones.
	bound := works*224*time.Millisecond + 2*656*time.Millisecond + time.Second
	sim.runUntil(bound, "the works with more work for a call are completed", func() bool { return sim.completed(50, works) })
	sim.runUntil(works*656*time.Millisecond+time.Second, "all works are completed", func() bool { return sim.completed(10, works) })
}
