package cell

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/work"
)

// wideWork returns a work with a short task and a wide step behind it.
func wideWork(n, tasks int, runTime time.Duration) *api.WorkSpec {
	size := api.Resources{CpuMillis: 250, MemoryMb: 200}
	return &api.WorkSpec{Id: workID(n), Queue: "batch", Team: "team", Steps: []api.StepSpec{
		{Count: 1, EstimateMs: 300, Size: size},
		{Count: tasks, EstimateMs: int(runTime.Milliseconds()), Size: size, After: []int{0}, Checkpoints: true},
	}}
}

// Guards against a wide work whose record exceeds the limits of the table service, so that
// its commits are rejected and nothing of any work is recorded. The store of the simulation
// checks the limits.
func TestWideWorkStaysWithinTheLimitsOfTheTableService(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 17 {
		sim.addWorker(fmt.Sprintf("executor-%02d", n), work.Resources{CPUMillis: 32000, MemoryMB: 65536})
	}
	sim.startOwner()
	sim.submit(wideWork(1, 2000, 5*time.Minute))
	sim.runUntil(10*time.Second, "all tasks run", func() bool { return sim.runningTasks() == 2000 })
	sim.workers["executor-00"].crashMachine()
	sim.takeOver()
	sim.submit(oneStep(2, "quotes", tasksOf(2, 300)))
	sim.runUntil(5*time.Second, "the other work is completed", func() bool { return sim.state(workID(2)) == api.WorkStateCompleted })
	sim.cell.Cancel(&api.WorkRef{Id: workID(1), Queue: "batch", Team: "team"}, func(error) {})
	sim.runUntil(15*time.Second, "canceled, with no run left", func() bool { return sim.ended[workID(1)] })
	if len(sim.progress) != 0 {
		t.Errorf("%d progress rows are left", len(sim.progress))
	}
}

// Guards against a schedule with many occurrences in progress, whose record grows with each
// of them beyond the limits of the table service.
func TestRecordBoundsTheOccurrencesInProgress(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	spec := wideWork(1, 1000, time.Second)
	spec.RepeatCount, spec.StartAtUnixMs = 2000, 1
	sim.submit(spec)
	aw := sim.cell.works[spec.Id]
	o := aw.occurrences[0]
	aw.startedOccurrences = maxStartedBytes/o.doneBytes() - 1
	if !sim.cell.recordHasRoom(o.steps[0], 1) {
		t.Errorf("no room beside %d occurrences in progress", aw.startedOccurrences)
	}
	aw.startedOccurrences++
	if sim.cell.recordHasRoom(o.steps[0], 1) {
		t.Errorf("room beside %d occurrences in progress", aw.startedOccurrences)
	}
	o.begin(aw)
	if !sim.cell.recordHasRoom(o.steps[0], 1) {
		t.Error("no room for an occurrence in progress")
	}
}

// Guards against a work that is accepted although its row is longer than the table service
// takes.
func TestWorkThatCannotBeRecordedIsRefused(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	spec := oneStep(1, "quotes", tasksOf(1, 300))
	spec.Steps[0].Constraint = string(make([]byte, 60<<10))
	var got error
	sim.cell.Submit(spec, func(_ bool, err error) { got = err })
	if !errkind.Is(got, errkind.InvalidArgument) {
		t.Errorf("the submitter got %v", got)
	}
	if sim.cell.TakeBatch() != nil {
		t.Error("the work is recorded")
	}
}

// Guards against a gang that is accepted and then never placed, because its record has no
// room for all its tasks.
func TestGangThatCannotBeRecordedIsRefused(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	spec := oneStep(1, "quotes", tasksOf(4000, 300))
	spec.Steps[0].Gang = true
	var got error
	sim.cell.Submit(spec, func(_ bool, err error) { got = err })
	if !errkind.Is(got, errkind.InvalidArgument) {
		t.Errorf("the submitter got %v", got)
	}
}

// Guards against a commit that the table service rejects because of one work, and that holds
// up the works beside it.
func TestRejectedCommitHoldsUpOnlyTheWorkAtFault(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	answers := map[string]error{}
	for n := range 5 {
		spec := oneStep(n, "quotes", tasksOf(1, 300))
		sim.specs[spec.Id] = spec
		sim.cell.Submit(spec, func(_ bool, err error) { answers[spec.Id] = err })
	}
	rejected := workID(2)
	for range 20 {
		b := sim.cell.TakeBatch()
		if b == nil {
			break
		}
		if slices.ContainsFunc(b.Rows, func(r Rows) bool { return r.ID == rejected }) {
			sim.cell.CommitRejected(b, errStoreDown)
		} else {
			sim.cell.Committed(b)
		}
	}
	for n := range 5 {
		err, answered := answers[workID(n)]
		if refused := workID(n) == rejected; !answered || (err != nil) != refused || (sim.cell.works[workID(n)] == nil) != refused {
			t.Errorf("work %d: answered %v with %v", n, answered, err)
		}
	}
}

// Guards against an accepted work that is dropped, or that holds up the renewal of the
// ownership, because the table service rejects a later record of it.
func TestStoredWorkWhoseRecordIsRejectedIsWrittenAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 300)))
	sim.cell.Committed(sim.cell.TakeBatch())
	sim.storeUp = false
	sim.runFor(100 * time.Millisecond) // places the task
	sim.cell.CommitRejected(sim.cell.TakeBatch(), errStoreDown)
	if b := sim.cell.TakeBatch(); b != nil {
		t.Errorf("%d rows are written at once, %d answers wait", len(b.Rows), len(b.answers))
	}
	if sim.runningTasks() != 0 {
		t.Error("a task without a record runs")
	}
	sim.storeUp = true
	sim.runUntilCompleted(5*time.Second, 1)
}

// Guards against parts of a progress row that lose or repeat an entry, or exceed the limit.
func TestPartsOfAProgressRowAddUp(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	row := &api.ProgressRow{State: api.WorkStateRunning, Team: "team", Queue: "batch", Started: true}
	for n := range 2000 {
		row.DoneOccurrences = append(row.DoneOccurrences, n)
		row.Done = append(row.Done, api.DoneTasks{Occurrence: n, Bits: make([]byte, r.IntN(20))})
		row.Tasks = append(row.Tasks, api.TaskProgress{Index: n, Attempt: 1 + r.IntN(9), Worker: "w", Checkpoint: string(make([]byte, r.IntN(16)))})
	}
	const limit = 8 << 10
	parts := splitProgress(row, limit)
	for n, p := range parts {
		if size := p.Msgsize(); size > limit {
			t.Errorf("part %d has %d bytes", n, size)
		}
	}
	if diff := cmp.Diff(row, JoinProgress(parts)); diff != "" {
		t.Error(diff)
	}
}
