package cell

import (
	"fmt"
	"testing"
	"time"
)

// newRecordedLossSimulation returns a simulation with a long-running task on w1, which is cut off for
// so long that the end of its lease is recorded.
func newRecordedLossSimulation(t *testing.T) (*simulation, *fakeWorker) {
	t.Helper()
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.runFor(10 * time.Second)
	f.unresponsive = true
	sim.runUntil(3*time.Second, "recorded", func() bool { return len(sim.leaseEnds) == 1 })
	return sim, f
}

// Guards against a lease, or a start with one, that is granted to a worker while the next owner would
// rely on the recorded end.
func TestWorkerThatAnswersAgainIsGrantedNoLeaseWhileItsEndIsRecorded(t *testing.T) {
	sim, f := newRecordedLossSimulation(t)
	sim.storeUp = false
	held := f.leaseUntil
	f.unresponsive = false
	sim.submit(oneStep(2, "quotes", tasksOf(1, 300)))
	sim.runFor(time.Second)
	if w := sim.cell.workers["w1"]; w.isLost() {
		t.Fatal("the worker does not answer again")
	}
	if f.leaseUntil != held || len(f.runs) != 1 {
		t.Errorf("the lease was extended by %d ms, and %d tasks run", f.leaseUntil-held, len(f.runs))
	}
	sim.storeUp = true
	sim.runUntil(500*time.Millisecond, "lease extended", func() bool { return f.leaseUntil > held })
	if len(sim.leaseEnds) != 0 {
		t.Error("its end is recorded still")
	}
	sim.runUntil(500*time.Millisecond, "both tasks run", func() bool { return len(f.runs) == 2 })
}

// Guards against a worker on a slow link that loses its runs, because its lease waits for the answer
// to a poll which could not carry one yet.
func TestFirstPollAfterALossCarriesALease(t *testing.T) {
	sim, _ := newRecordedLossSimulation(t)
	sim.workers["w1"].unresponsive = false
	w := sim.cell.workers["w1"]
	sim.runUntil(time.Second, "answered", func() bool { return !w.isLost() })
	sim.runUntil(time.Second, "polled", w.pollPending)
	if p := w.polls[len(w.polls)-1]; !p.carriesLease {
		t.Error("the poll carries no lease")
	}
}

// Guards against the same by the owner that follows, and by a commit of which it does not know
// whether it was carried out.
func TestNextOwnerGrantsNoLeaseWhileTheEndIsRecorded(t *testing.T) {
	sim, f := newRecordedLossSimulation(t)
	sim.kill()
	sim.runFor(300 * time.Millisecond)
	f.unresponsive = false
	held := f.leaseUntil
	sim.startOwner()
	sim.commitTime = 700 * time.Millisecond
	sim.runUntil(2*time.Second, "the row without the worker stored", func() bool { return len(sim.leaseEnds) == 0 })
	if w := sim.cell.workers["w1"]; w.isLost() || !sim.commitInFlight || f.leaseUntil != held {
		t.Errorf("lost: %v, commit in flight: %v, the lease was extended by %d ms", w.isLost(), sim.commitInFlight, f.leaseUntil-held)
	}
	sim.runUntil(500*time.Millisecond, "lease extended", func() bool { return f.leaseUntil > held })
	if len(f.runs) != 1 {
		t.Errorf("%d tasks run", len(f.runs))
	}
}

// Guards against leases that are granted before a row which can't be read, and on which the next owner
// may rely, is replaced.
func TestNoLeaseIsGrantedBeforeAnUnreadableRowIsReplaced(t *testing.T) {
	sim, f := newRecordedLossSimulation(t)
	sim.kill()
	f.unresponsive = false
	held := f.leaseUntil
	sim.unreadableShare = 1
	sim.startOwner()
	sim.storeUp = false
	sim.runFor(time.Second)
	if w := sim.cell.workers["w1"]; w.isLost() || f.leaseUntil != held {
		t.Errorf("lost: %v; the lease was extended by %d ms", w.isLost(), f.leaseUntil-held)
	}
	sim.storeUp = true
	sim.runUntil(500*time.Millisecond, "lease extended", func() bool { return f.leaseUntil > held })
	if len(sim.leaseEnds) != 0 {
		t.Error("the row is not replaced")
	}
}

// Guards against commits that write the row in calm, at each short interruption, or again and again
// while a worker is lost.
func TestRowOfLeaseEndsIsWrittenOnlyWhenItChanges(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(standing(1))
	sim.runFor(10 * time.Second)
	f.unresponsive = true
	sim.runFor(leaseEndsDelay)
	f.unresponsive = false
	sim.runFor(5 * time.Second)
	if sim.leaseEndWrites != 0 {
		t.Errorf("%d writes in calm and after a short interruption", sim.leaseEndWrites)
	}
	f.unresponsive = true
	sim.runFor(4 * time.Second)
	if sim.leaseEndWrites != 1 {
		t.Errorf("%d writes for a lost worker", sim.leaseEndWrites)
	}
	f.unresponsive = false
	sim.runFor(5 * time.Second)
	if sim.leaseEndWrites != 2 || len(f.runs) != 1 {
		t.Errorf("%d writes after it answers again, %d tasks run", sim.leaseEndWrites, len(f.runs))
	}
}

// newHandDrivenWithLosses returns a cell with workers that have runs and do not answer.
func newHandDrivenWithLosses(t *testing.T, workers int) *handDriven {
	t.Helper()
	h := newHandDriven(t)
	for n := range workers {
		w := h.ensureWorker(WorkerRef{ID: fmt.Sprint("w", n), IncarnationUnixMs: 1})
		w.runs = []*run{{}}
	}
	h.Advance(h.now+leaseEndsDelay, h.wall)
	return h
}

// takeRow takes the next batch, after the least time between two writes, and returns the entries of
// its row; false if it has none.
func (h *handDriven) takeRow() (*Batch, bool) {
	h.Advance(h.now+leaseEndsSpacing, h.wall)
	b := h.TakeBatch()
	return b, b != nil && b.WritesLeaseEnds
}

// Guards against a row that is written in each commit because not all lost workers fit.
func TestRowWithTheMostLeaseEndsIsWrittenOnce(t *testing.T) {
	h := newHandDrivenWithLosses(t, maxLeaseEnds+100)
	b, ok := h.takeRow()
	if !ok || len(b.LeaseEnds) > maxLeaseEnds || len(b.LeaseEnds) < maxLeaseEnds/2 {
		t.Fatalf("written: %v", ok)
	}
	h.Committed(b)
	if b, ok := h.takeRow(); ok {
		t.Errorf("written again, with %d entries", len(b.LeaseEnds))
	}
}

// Guards against an entry that counts as stored although its commit was not carried out.
func TestRowThatWasNotStoredIsWrittenAgain(t *testing.T) {
	h := newHandDrivenWithLosses(t, 1)
	b, ok := h.takeRow()
	if !ok || !h.leaseEndMayBeRecorded(h.workers["w0"]) {
		t.Fatal("not written, or a lease may be granted meanwhile")
	}
	h.NotCommitted(b, nil)
	if h.leaseEndMayBeRecorded(h.workers["w0"]) {
		t.Error("no lease may be granted although nothing was stored")
	}
	if b, ok = h.takeRow(); !ok || len(b.LeaseEnds) != 1 || b.LeaseEnds[0].Recorded {
		t.Fatal("not written again")
	}
	h.Committed(b)
	if _, ok := h.takeRow(); ok || !h.leaseEndMayBeRecorded(h.workers["w0"]) {
		t.Error("written again, or a lease may be granted")
	}
}

// Guards against works that can't be stored for as long as the table service rejects the row, and
// against a row that is given up because a work is rejected with it.
func TestRejectedRowOfLeaseEndsDoesNotHoldUpWorks(t *testing.T) {
	for _, rowIsCause := range []bool{true, false} {
		t.Run(fmt.Sprint(rowIsCause), func(t *testing.T) {
			h := newHandDrivenWithLosses(t, 1)
			var stored error
			h.Submit(oneStep(1, "quotes", tasksOf(1, 300)), func(_ bool, err error) { stored = err })
			b, ok := h.takeRow()
			if !ok || len(b.Rows) != 1 {
				t.Fatal("not in one batch")
			}
			h.CommitRejected(b, fmt.Errorf("rejected"))
			if b, ok = h.takeRow(); !ok || len(b.Rows) != 0 {
				t.Fatal("the row is not written alone")
			}
			if rowIsCause {
				h.CommitRejected(b, fmt.Errorf("rejected"))
			} else {
				h.Committed(b)
			}
			if b, ok = h.takeRow(); ok || len(b.Rows) != 1 {
				t.Fatal("the work is not stored without the row")
			}
			h.Committed(b)
			if recorded := h.leaseEndMayBeRecorded(h.workers["w0"]); recorded == rowIsCause || stored != nil {
				t.Errorf("recorded: %v; the work: %v", recorded, stored)
			}
		})
	}
}
