package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a commit with more entries than the table service accepts, which is
// refused on every retry.
func TestBatchesStayWithinTheBounds(t *testing.T) {
	sim := newSimulation(t, 1)
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		sim.addWorker(id, work.Resources{CPUMillis: 400000, MemoryMB: 1 << 20})
	}
	sim.startOwner()
	for n := range 200 {
		sim.submit(oneStep(n, "quotes", tasksOf(2, 300)))
	}
	sim.runUntil(10*time.Second, "all completed", func() bool { return len(sim.finished) == 200 })
}

// Guards against a work whose commit was not applied and that is reported as stored, or is
// refused as not run and then stored by a later commit.
func TestRefusedCommitRefusesNewWorks(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	var got error
	spec := oneStep(1, "quotes", tasksOf(1, 200))
	sim.specs[spec.Id] = spec
	sim.cell.Submit(spec, func(_ bool, err error) { got = err })
	b := sim.cell.TakeBatch()
	sim.cell.NotCommitted(b, errStoreDown)
	if got != errStoreDown {
		t.Fatalf("the submitter got %v", got)
	}
	sim.runFor(3 * time.Second)
	if sim.cell.works[spec.Id] != nil || len(sim.works) != 0 {
		t.Error("the refused work is still known")
	}
	sim.submit(spec)
	sim.runUntil(3*time.Second, "completed", func() bool { return sim.state(spec.Id) == api.WorkStateCompleted })
}

var errStoreDown = constError("the store is down")

type constError string

func (e constError) Error() string { return string(e) }

// Guards against submissions that are answered only when no record of any work is
// unwritten, which never happens while the store is slow.
func TestSubmissionIsAnsweredWhenItsRecordIsStored(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	answered := map[string]bool{}
	submit := func(first, count int) {
		for n := range count {
			spec := oneStep(first+n, "quotes", tasksOf(1, 200))
			sim.specs[spec.Id] = spec
			sim.cell.Submit(spec, func(bool, error) { answered[spec.Id] = true })
		}
	}
	submit(0, 150)
	for round := range 3 {
		b := sim.cell.TakeBatch()
		submit(1000*(round+1), 60) // more records than a commit holds are always waiting
		sim.cell.Committed(b)
		for _, rows := range b.Rows {
			if !answered[rows.ID] {
				t.Fatalf("round %d: work %s is stored and not answered", round, rows.ID)
			}
		}
	}
	for id := range answered {
		if !sim.cell.works[id].stored {
			t.Errorf("work %s is answered and not stored", id)
		}
	}
}

// Guards against a submission that is repeated while its record is being written, and is
// then not answered until another work is written.
func TestRepeatedSubmissionIsAnsweredWithTheFirst(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.startOwner()
	spec := oneStep(1, "quotes", tasksOf(1, 200))
	answers := 0
	sim.cell.Submit(spec, func(bool, error) { answers++ })
	b := sim.cell.TakeBatch()
	sim.cell.Submit(spec, func(bool, error) { answers++ })
	sim.cell.Committed(b)
	if b = sim.cell.TakeBatch(); b == nil || !b.Empty() {
		t.Fatalf("batch %+v", b)
	}
	sim.cell.Committed(b)
	if answers != 2 {
		t.Errorf("%d of 2 submitters are answered", answers)
	}
}

// Guards against new works, starts and final states whose records wait behind records that
// nobody waits for, while records change faster than the store writes them.
func TestRecordsThatAreWaitedForAreWrittenFirst(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", smallWorker)
	sim.startOwner()
	for n := range 300 {
		spec := oneStep(n, "quotes", tasksOf(1, 200))
		sim.specs[spec.Id] = spec
		sim.cell.Submit(spec, func(bool, error) {})
	}
	for b := sim.cell.TakeBatch(); b != nil; b = sim.cell.TakeBatch() {
		sim.cell.Committed(b)
	}
	for n := range 300 {
		sim.cell.markDirty(sim.cell.works[workID(n)])
	}
	spec := oneStep(1000, "quotes", tasksOf(1, 200))
	sim.cell.Submit(spec, func(bool, error) {})
	b := sim.cell.TakeBatch()
	if b.Rows[0].ID != spec.Id {
		t.Errorf("the first record is that of %s", b.Rows[0].ID)
	}
	sim.cell.Committed(b)
	sim.now += 2 * time.Second
	sim.cell.Advance(sim.now, sim.wall)
	sim.cell.Submit(oneStep(1001, "quotes", tasksOf(1, 200)), func(bool, error) {})
	if b = sim.cell.TakeBatch(); b.Rows[0].ID == workID(1001) {
		t.Error("records that have waited for long are not written first")
	}
}

// submitWaiting submits works that no worker can run, and stores them.
func (sim *simulation) submitWaiting(count int) {
	sim.queue("no workers", 0, nil).Pool = "empty"
	for n := range count {
		sim.submit(oneStep(1000+n, "no workers", tasksOf(1, 200)))
	}
	for b := sim.cell.TakeBatch(); b != nil; b = sim.cell.TakeBatch() {
		sim.cell.Committed(b)
	}
}

// Guards against ends that are not acknowledged while any record waits, so that a worker
// reports the next ends late and its room stays charged.
func TestEndsAreAcknowledgedWhileRecordsOfOtherWorksWait(t *testing.T) {
	const tasks, others = 10, 2 * maxBatchEntries
	sim := newSimulation(t, 1)
	sim.addWorker("w1", work.Resources{CPUMillis: 1000, MemoryMB: 1100})
	sim.startOwner()
	sim.submitWaiting(others)
	sim.submit(oneStep(1, "quotes", tasksOf(tasks, 200)))
	began := sim.now
	for sim.state(workID(1)) != api.WorkStateCompleted && sim.now-began < time.Minute {
		for n := range others {
			sim.cell.markDirty(sim.cell.works[workID(1000+n)])
		}
		sim.runFor(simTick)
	}
	took := sim.now - began
	t.Logf("%d tasks of 0.2 s, one after the other, took %v", tasks, took)
	if took > tasks*450*time.Millisecond {
		t.Errorf("not within %v", tasks*450*time.Millisecond)
	}
}

// Guards against an acknowledged end that no record shows: a later owner would run its task
// again.
func TestEndIsNotAcknowledgedBeforeItsRecordIsWritten(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addWorker("w1", work.Resources{CPUMillis: 4000, MemoryMB: 4200})
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 400)))
	sim.submit(oneStep(2, "quotes", tasksOf(1, 400)))
	sim.runUntil(time.Second, "both started", func() bool { return sim.runningTasks() == 2 })
	w := sim.cell.workers["w1"]
	end := func(number int) {
		seq := sim.cell.nextSeq()
		w.polls = append(w.polls, pendingPoll{seq: seq})
		e := EndReport{Number: number, Task: workID(number) + ".0.0.0", Attempt: 1, Outcome: EndDone}
		sim.cell.ReportReceived(w.ref(), seq, &Report{ClockMs: sim.workers["w1"].clock(), IncarnationUnixMs: w.info.IncarnationUnixMs, Ends: []EndReport{e}})
	}
	ackedIs := func(want int, when string) {
		t.Helper()
		if w.acked != want {
			t.Errorf("acknowledged through %d %s, want %d", w.acked, when, want)
		}
	}
	end(1)
	first := sim.cell.TakeBatch()
	end(2)
	sim.cell.Committed(first)
	ackedIs(1, "with the record of the first end written")
	sim.cell.NotCommitted(sim.cell.TakeBatch(), errStoreDown)
	ackedIs(1, "after a commit that was not applied")
	for b := sim.cell.TakeBatch(); b != nil; b = sim.cell.TakeBatch() {
		sim.cell.Committed(b)
	}
	ackedIs(2, "with all records written")
}
