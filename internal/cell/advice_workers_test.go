package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a call that names workers with free capacity on which long-running tasks leave no
// room for the step, before those on which tasks that end make room.
func TestCallNamesWorkersBesideWhoseLongRunningTasksThereIsRoom(t *testing.T) {
	const held = 40 // workers with a long-running task, as many as others
	sim := newSimulation(t, 1)
	for n := range 2 * held {
		sim.addWorker(fmt.Sprintf("w%02d", n), smallWorker)
	}
	sim.queue("services", 0, &work.Advice{CallDuration: 700 * time.Millisecond, DurationPerWorker: 10 * time.Millisecond, ValidFor: ticketValidity})
	sim.startOwner()
	service := tasksOf(held, 0)
	service.LongRunning, service.MaxPerWorker, service.Size.CpuMillis = true, 1, 3000
	sim.submit(oneStep(1, "quotes", service))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runningTasks() == held })
	ending := tasksOf(2*held, 60000)
	ending.Size.CpuMillis = 2000
	sim.submit(oneStep(2, "quotes", ending))
	sim.runUntil(3*time.Second, "running", func() bool { return sim.runningTasks() == 3*held })
	var named []string
	sim.adviser = func(a AdviceCall) { named = a.Workers }
	step := tasksOf(1, 0)
	step.LongRunning, step.Size.CpuMillis = true, 2000
	sim.submit(oneStep(3, "services", step))
	sim.runUntil(time.Second, "called", func() bool { return len(named) > 0 })
	for _, id := range named {
		for name, r := range sim.workers[id].runs {
			if r.longRunning {
				t.Errorf("the call names %s, which runs %s", id, name)
			}
		}
	}
}
