package owner

import (
	"context"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/entry"
	"github.com/endivehill/endivehill/internal/work"
)

// newEvacuationTenure returns a tenure with a worker in the failure domain f1 and a work that
// waits, and the copy of the requests that it uses.
func newEvacuationTenure(t *testing.T) (*testTenure, *entry.Evacuations) {
	t.Helper()
	tenure := newTestTenure(memoryStore{})
	tenure.options.Settings.EvacuateTime = 5 * time.Second
	evacuations := entry.NewEvacuations(tenure.options.Settings.EvacuateTime)
	tenure.options.Evacuations = evacuations.Current
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	tenure.cell.SetWorkers([]cell.WorkerInfo{{
		WorkerRef: cell.WorkerRef{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}, Pool: testPool, FailureDomain: "f1",
		Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000},
	}})
	tenure.cell.Submit(&testWork("0000000000000001").Work, func(bool, error) {})
	return tenure, evacuations
}

// starts runs passes for d and returns the starts that the core has decided on.
func (t *testTenure) starts(d time.Duration) []cell.Start {
	var out []cell.Start
	for end := t.clock.Boot() + d; t.clock.Boot() < end; {
		t.applyEvacuations()
		e := t.pass(50 * time.Millisecond)
		t.answerPolls(e)
		out = append(out, e.Starts...)
	}
	return out
}

// Guards against an owner that starts tasks by a copy of the requests for evacuation that the
// table service has not confirmed, or not in time, and against one that ignores a request.
func TestOwnerStartsNothingWithoutACurrentCopyOfTheRequests(t *testing.T) {
	tenure, evacuations := newEvacuationTenure(t)
	if n := len(tenure.starts(time.Second)); n > 0 {
		t.Errorf("%d starts without a confirmed copy", n)
	}
	evacuations.Replace([]string{"f1"})
	evacuations.ConfirmCurrent(tenure.clock.Boot())
	if n := len(tenure.starts(4 * time.Second)); n > 0 {
		t.Errorf("%d starts in an evacuated failure domain", n)
	}
	evacuations.Replace(nil)
	evacuations.ConfirmCurrent(tenure.clock.Boot() - 3500*time.Millisecond)
	if n := len(tenure.starts(time.Second)); n > 0 {
		t.Errorf("%d starts by an old copy", n)
	}
	evacuations.ConfirmCurrent(tenure.clock.Boot())
	if n := len(tenure.starts(time.Second)); n != 1 {
		t.Errorf("%d starts after the withdrawal", n)
	}
}

// Guards against an owner without a copy of the requests, on a platform that evacuates nothing,
// that waits for one.
func TestOwnerWithoutEvacuationsWaitsForNoCopy(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	tenure.options.Settings.EvacuateTime = 5 * time.Second
	if age := tenure.maxEvacuationsAge(); age != 0 {
		t.Errorf("the copy may be %v old", age)
	}
}

// countingWorkers count the starts that are sent.
type countingWorkers struct {
	Workers
	starts chan *cell.Start
}

func (w countingWorkers) Start(_ context.Context, s *cell.Start) (cell.StartOutcome, int64) {
	w.starts <- s
	return cell.StartAccepted, 1
}

// Guards against a start that is sent after a pause of the process, when the copy of the requests
// by which it was decided on is too old.
func TestStartIsNotSentAfterItsLimit(t *testing.T) {
	tenure, evacuations := newEvacuationTenure(t)
	workers := countingWorkers{starts: make(chan *cell.Start, 2)}
	tenure.options.Workers = workers
	tenure.inbox = make(chan func(), inboxSize)
	evacuations.ConfirmCurrent(tenure.clock.Boot())
	starts := tenure.starts(time.Second)
	if len(starts) != 1 || starts[0].SendBy == 0 {
		t.Fatalf("starts %+v", starts)
	}
	tenure.clock.Advance(3 * time.Second)
	tenure.startTask(&starts[0])
	if n := len(workers.starts); n > 0 {
		t.Fatalf("%d starts are sent after the limit", n)
	}
	tenure.handle(<-tenure.inbox) // the outcome
	evacuations.ConfirmCurrent(tenure.clock.Boot())
	again := tenure.starts(time.Second)
	if len(again) != 1 || again[0].Attempt <= starts[0].Attempt {
		t.Fatalf("the task is not placed again: %+v", again)
	}
	tenure.startTask(&again[0])
	if n := len(workers.starts); n != 1 {
		t.Errorf("%d starts are sent within the limit", n)
	}
}
