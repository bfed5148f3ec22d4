package cell

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a commit with more entries than the table service takes, which
// it refused for ever.
func TestBatchesStayWithinTheBounds(t *testing.T) {
	w := newWorld(t, 1)
	for _, id := range []string{"w1", "w2", "w3", "w4"} {
		w.addWorker(id, work.Resources{CPUMillis: 400000, MemoryMB: 1 << 20})
	}
	w.own()
	for n := range 200 {
		w.submit(oneStep(n, "quotes", tasksOf(2, 300)))
	}
	w.until(10*time.Second, "all completed", func() bool { return len(w.finished) == 200 })
}

// Guards against a work that is told to be stored, or refused as not run, when the
// opposite is true.
func TestRefusedCommitRefusesNewWorks(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", smallWorker)
	w.own()
	var got error
	spec := oneStep(1, "quotes", tasksOf(1, 200))
	w.specs[spec.Id] = spec
	w.cell.Submit(spec, func(_ bool, err error) { got = err })
	b := w.cell.TakeBatch()
	w.cell.NotCommitted(b, errStoreDown)
	if got != errStoreDown {
		t.Fatalf("the submitter got %v", got)
	}
	w.run(3 * time.Second)
	if w.cell.jobs[spec.Id] != nil || len(w.works) != 0 {
		t.Error("the refused work is still known")
	}
	w.submit(spec)
	w.until(3*time.Second, "completed", func() bool { return w.state(spec.Id) == api.WorkStateCompleted })
}

var errStoreDown = errNamed("the store is down")

type errNamed string

func (e errNamed) Error() string { return string(e) }

// Guards against submitters that wait for the records of other works: while the store
// is slow there are always some that are not written.
func TestSubmissionIsAnsweredWhenItsRecordIsStored(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", smallWorker)
	w.own()
	answered := map[string]bool{}
	submit := func(first, count int) {
		for n := range count {
			spec := oneStep(first+n, "quotes", tasksOf(1, 200))
			w.specs[spec.Id] = spec
			w.cell.Submit(spec, func(bool, error) { answered[spec.Id] = true })
		}
	}
	submit(0, 150)
	for round := range 3 {
		b := w.cell.TakeBatch()
		submit(1000*(round+1), 60) // more than a commit holds are always waiting
		w.cell.Committed(b)
		for _, rows := range b.Rows {
			if !answered[rows.ID] {
				t.Fatalf("round %d: work %s is stored and not answered", round, rows.ID)
			}
		}
	}
	for id := range answered {
		if !w.cell.jobs[id].stored {
			t.Errorf("work %s is answered and not stored", id)
		}
	}
}

// Guards against a submission that is repeated while its record is being written and
// is answered only when another work is written.
func TestRepeatedSubmissionIsAnsweredWithTheFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.own()
	spec := oneStep(1, "quotes", tasksOf(1, 200))
	answers := 0
	w.cell.Submit(spec, func(bool, error) { answers++ })
	b := w.cell.TakeBatch()
	w.cell.Submit(spec, func(bool, error) { answers++ })
	w.cell.Committed(b)
	if b = w.cell.TakeBatch(); b == nil || !b.Empty() {
		t.Fatalf("batch %+v", b)
	}
	w.cell.Committed(b)
	if answers != 2 {
		t.Errorf("%d of 2 submitters are answered", answers)
	}
}

// Guards against new works, starts and results that wait behind records that nobody
// waits for, while the store takes fewer records than change.
func TestRecordsThatAreWaitedForAreWrittenFirst(t *testing.T) {
	w := newWorld(t, 1)
	w.addWorker("w1", smallWorker)
	w.own()
	for n := range 300 {
		spec := oneStep(n, "quotes", tasksOf(1, 200))
		w.specs[spec.Id] = spec
		w.cell.Submit(spec, func(bool, error) {})
	}
	for b := w.cell.TakeBatch(); b != nil; b = w.cell.TakeBatch() {
		w.cell.Committed(b)
	}
	for n := range 300 {
		w.cell.mark(w.cell.jobs[workID(n)])
	}
	spec := oneStep(1000, "quotes", tasksOf(1, 200))
	w.cell.Submit(spec, func(bool, error) {})
	b := w.cell.TakeBatch()
	if b.Rows[0].ID != spec.Id {
		t.Errorf("the first record is that of %s", b.Rows[0].ID)
	}
	w.cell.Committed(b)
	w.now += 2 * time.Second
	w.cell.Advance(w.now, w.wall)
	w.cell.Submit(oneStep(1001, "quotes", tasksOf(1, 200)), func(bool, error) {})
	if b = w.cell.TakeBatch(); b.Rows[0].ID == workID(1001) {
		t.Error("records that have waited for long are not written first")
	}
}
