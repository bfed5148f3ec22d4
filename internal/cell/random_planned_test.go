package cell

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

var (
	plannedSeeds    = flag.Int("planned", 1, "number of seeds of planned work in a grown cell, besides those that have failed once")
	plannedFrom     = flag.Uint64("planned-from", 3, "first of these seeds")
	plannedHandover = flag.Bool("planned-handover", false, "let owners also hand over without a release, after which the next one waits for the ends of all leases")
	plannedTrace    = flag.Bool("planned-trace", false, "log the owners and calls for each step that waits too long")
)

// failedPlannedSeeds are seeds of planned work that exposed a fault: a departure that no owner
// noticed (236).
var failedPlannedSeeds = []uint64{236}

// Bounds of the absence of a long-running task in calm times, and of the wait of a work while less
// than half of its pool is in use.
const (
	toleratedAbsence = 6 * time.Second // since its last run
	returnTime       = 3 * time.Second // from then on, if there is room all the while
	neededRoom       = 2               // tasks for which there has to be room
)

// plannedTask is what is observed of a long-running task.
type plannedTask struct {
	step      work.StepID
	spec      *api.StepSpec
	ranAt     time.Duration // last time with an active run, or when it was first looked at
	everRan   bool
	roomSince time.Duration // since when there has been room for it, after toleratedAbsence
	reported  bool
}

// Guards against long-running tasks that stay away, and works that are not begun, beside workers
// with room while nodes stop, owners follow each other and workers leave as planned.
func TestTasksRunThroughPlannedWork(t *testing.T) {
	seeds := slices.Clone(failedPlannedSeeds)
	for n := range uint64(*plannedSeeds) {
		seeds = append(seeds, *plannedFrom+n)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runPlannedWork(t, seed)
		})
	}
}

func runPlannedWork(t *testing.T, seed uint64) {
	p := newPlannedWork(t, seed)
	t.Logf("%+v", p.shape)
	p.replaceOwner()
	for end := p.now + p.shape.simulatedTime; p.now < end; {
		p.ended, p.settled = p.now > end-endOfTraffic, p.now > end-settledTime
		p.submitPlannedLoad()
		p.stopNodes()
		p.runFor(plannedStep)
		p.failServices()
		p.checkTasks()
		p.checkWorks()
		if p.rand.Float64() < float64(plannedStep)/float64(p.shape.drainEvery) {
			p.drainWorker()
		}
	}
	t.Logf("longest absence %v, %d long-running tasks, %d runs began", p.longest, len(p.tasks), len(p.seen))
}

// submitPlannedLoad submits the works of plannedStep.
func (p *plannedWork) submitPlannedLoad() {
	if p.cell == nil || p.ended {
		return
	}
	if len(p.services) < p.shape.services && p.rand.IntN(2) == 0 {
		p.submitService()
	}
	const taskCPU, taskMs, perWork = 2000, 2000, 8
	tasks := p.shape.utilization * float64(p.shape.workers*p.shape.workerCPU) / taskCPU / (taskMs / 1000) * plannedStep.Seconds()
	p.submitSome(tasks/perWork, "short", perWork, taskCPU, taskMs)
	p.submitSome(p.shape.mediumWorks*plannedStep.Seconds(), "medium", perWork, taskCPU, taskMs)
}

// submitSome submits an expected number of works to a queue.
func (p *plannedWork) submitSome(expected float64, queue string, tasks, cpu, ms int) {
	n := int(expected)
	if p.rand.Float64() < expected-float64(n) {
		n++
	}
	for range n {
		step := api.StepSpec{Count: 1 + p.rand.IntN(2*tasks-1), EstimateMs: ms/2 + p.rand.IntN(ms), Size: api.Resources{CpuMillis: cpu/2 + p.rand.IntN(cpu), MemoryMb: 512}}
		p.submitPlanned(queue, step)
	}
}

// submitService submits a work with one long-running step.
func (p *plannedWork) submitService() {
	step := api.StepSpec{
		Count: 1 + p.rand.IntN(4), LongRunning: true, MaxPerWorker: p.shape.maxPerWorker, DisruptionBudget: p.rand.IntN(3),
		Size: api.Resources{CpuMillis: p.shape.serviceCPU, MemoryMb: 512},
	}
	p.services = append(p.services, p.submitPlanned("services", step))
}

// submitPlanned submits a work, which may be refused.
func (p *plannedWork) submitPlanned(queue string, step api.StepSpec) *api.WorkSpec {
	p.next++
	spec := oneStep(p.next, queue, step)
	p.specs[spec.Id] = spec
	p.cell.Submit(spec, func(_ bool, err error) {
		if err != nil {
			delete(p.specs, spec.Id)
		}
	})
	return spec
}

// failServices ends runs of long-running tasks, some time after they began.
func (p *plannedWork) failServices() {
	for _, id := range p.workerIDs() {
		f := p.workers[id]
		for _, name := range sortedKeys(f.runs) {
			r := f.runs[name]
			key := fmt.Sprint(name, "/", r.attempt)
			if !r.longRunning || p.seen[key] {
				continue
			}
			p.seen[key] = true
			if p.rand.Float64() < p.shape.failShare {
				p.after(200*time.Millisecond+time.Duration(p.rand.Int64N(int64(10*time.Second))), func() {
					if f.runs[name] == r {
						f.end(name, EndFailed)
					}
				})
			}
		}
	}
}

// checkTasks checks that no long-running task stays away beside workers with room.
func (p *plannedWork) checkTasks() {
	active := map[string]bool{}
	for _, f := range p.workers {
		for name, r := range f.runs {
			active[name] = r.longRunning && r.stopAt == 0
		}
	}
	for _, spec := range p.services {
		if p.works[spec.Id] == nil {
			continue // not accepted
		}
		for i := range spec.Steps[0].Count {
			id := work.TaskID{StepID: work.StepID{Work: spec.Id}, Index: i}
			p.checkTask(id, &spec.Steps[0], active[id.String()])
		}
	}
}

// checkTask checks a long-running task. What a task waits for that has never run, checkWorks checks.
func (p *plannedWork) checkTask(id work.TaskID, spec *api.StepSpec, active bool) {
	name := id.String()
	t := p.tasks[name]
	if t == nil {
		t = &plannedTask{step: id.StepID, spec: spec, ranAt: p.now}
		p.tasks[name] = t
	}
	if active {
		if p.now-t.ranAt > returnTime {
			p.tracef(t.step.String(), "%s runs again after %v", name, p.now-t.ranAt)
		}
		t.ranAt, t.everRan, t.roomSince, t.reported = p.now, true, 0, false
		return
	}
	away := p.now - t.ranAt
	if !t.everRan || away <= toleratedAbsence {
		return
	}
	if p.roomFor(t, true) < neededRoom {
		t.roomSince = 0
		return
	}
	if t.roomSince == 0 {
		t.roomSince = p.now
	}
	p.longest = max(p.longest, away)
	if p.now-t.roomSince > returnTime && !t.reported {
		t.reported = true
		p.t.Errorf("at %v task %s has no active run for %v, room for %d now, for %d if tasks that end are stopped: %s", p.now-time.Hour, name, away, p.roomFor(t, false), p.roomFor(t, true), p.waitingFor(t.step))
		if *plannedTrace {
			p.logTrace(t)
		}
	}
}

// roomFor returns for how many tasks of the step of a task there is room on workers that may run
// it, among the runs there or only among the long-running ones.
func (p *plannedWork) roomFor(t *plannedTask, amongLongRunning bool) int {
	total := 0
	for _, id := range p.workerIDs() {
		f := p.workers[id]
		if !f.listed || f.draining || f.dead || !p.allowed(t.step.String(), id) {
			continue
		}
		free, own := f.capacity.CPUMillis, 0
		for _, r := range f.runs {
			if r.longRunning || !amongLongRunning {
				free -= r.size.CPUMillis
			}
			if r.step == t.step.String() {
				own++
			}
		}
		fit := max(0, free/t.spec.Size.CpuMillis)
		if limit := t.spec.MaxPerWorker; limit > 0 {
			fit = min(fit, max(0, limit-own))
		}
		total += fit
	}
	return total
}

// waitingFor returns what the tasks of a step wait for, as event 7073 has it.
func (p *plannedWork) waitingFor(id work.StepID) string {
	if p.cell == nil {
		return "no owner"
	}
	s := p.cell.findStep(id)
	if s == nil {
		return "unknown to the owner"
	}
	p.cell.logWaitingStep(event.LongRunningStepWaits, s)
	lines := p.cell.DrainLogLines()
	return fmt.Sprint(lines[len(lines)-1].Fields)
}

// logTrace logs the owners, and the calls for the step of a task.
func (p *plannedWork) logTrace(t *plannedTask) {
	for _, key := range []string{"", t.step.String()} {
		for _, line := range p.trace[key] {
			p.t.Logf("%s %s", key, line)
		}
	}
}

// checkWorks checks that each work has something running soon once the pool is nearly idle.
func (p *plannedWork) checkWorks() {
	if !p.settled || p.usedShare() >= 0.5 {
		clear(p.idle)
		return
	}
	for _, id := range sortedKeys(p.works) {
		if p.countRuns(id) > 0 || p.specs[id] == nil {
			delete(p.idle, id)
			continue
		}
		if p.idle[id] == 0 {
			p.idle[id] = p.now
		}
		t := &plannedTask{step: work.StepID{Work: id}, spec: &p.specs[id].Steps[0]}
		switch waited := p.now - p.idle[id]; {
		case p.roomFor(t, false) < neededRoom:
			p.idle[id] = p.now
		case waited > returnTime:
			p.t.Errorf("at %v work %s of %s has nothing running for %v: %s", p.now-time.Hour, id, p.specs[id].Queue, waited, p.waitingFor(t.step))
			p.idle[id] = p.now + time.Hour
			if *plannedTrace {
				p.logTrace(t)
			}
		}
	}
}

// usedShare returns the share of the pool that is in use.
func (p *plannedWork) usedShare() float64 {
	used, total := 0, 0
	for _, f := range p.workers {
		if f.dead || !f.listed {
			continue
		}
		total += f.capacity.CPUMillis
		for _, r := range f.runs {
			used += r.size.CPUMillis
		}
	}
	return fraction(used, total)
}
