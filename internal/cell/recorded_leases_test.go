package cell

import (
	"encoding/base64"
	"fmt"
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against a recorded end of leases that passes while a worker still holds one, and against
// one for a worker whose lease the next owner learns by calling it.
func TestLeaseEndsOfLostWorkersAreRecorded(t *testing.T) {
	sim := newSimulation(t, 1)
	for n := range 4 { // with room for one task each
		sim.addWorker(fmt.Sprintf("w%d", n), work.ResourcesOf(standing(1).Steps[0].Size))
	}
	sim.startOwner()
	for n := range 3 {
		sim.submit(standing(n))
	}
	sim.runUntil(time.Second, "running", func() bool { return sim.runningTasks() == 3 })
	sim.runFor(3 * time.Second)
	if ends := sim.cell.LeaseEnds(); len(ends) != 0 {
		t.Errorf("recorded for workers that respond: %+v", ends)
	}
	var silent, unlisted *fakeWorker
	for _, id := range sortedKeys(sim.workers) {
		f := sim.workers[id]
		switch {
		case len(f.runs) == 0:
			f.unresponsive = true // nothing runs there
		case silent == nil:
			silent, f.unresponsive = f, true
		case unlisted == nil:
			unlisted, f.listed = f, false
		}
	}
	sim.runFor(2 * time.Second)
	sim.updateWorkers()
	sim.runFor(100 * time.Millisecond)
	ends := sim.cell.LeaseEnds()
	if len(ends) != 2 || ends[0].Worker != silent.id || ends[1].Worker != unlisted.id {
		t.Fatalf("recorded %+v, want %s and %s", ends, silent.id, unlisted.id)
	}
	for _, end := range ends {
		f := sim.workers[end.Worker]
		left := time.Duration(float64(f.leaseUntil-f.clock())/minClockRate) * time.Millisecond
		if end.StartUnixMs != f.incarnationUnixMs || end.Recorded != (f == silent) || end.End < sim.now+left || end.End > sim.now+left+300*time.Millisecond {
			t.Errorf("recorded %+v, %v from now; the lease is held for %v", end, end.End-sim.now, left)
		}
	}
}

// Guards against a recorded end of leases that does not hold, because a call may give a lease to
// another incarnation of the worker.
func TestWorkerThatMayHoldAStrayLeaseIsNotRecorded(t *testing.T) {
	t.Run("restarted", func(t *testing.T) {
		sim, f := newSimulationWithRestart(t)
		sim.submit(standing(1))
		sim.runUntil(time.Second, "started", func() bool { return len(f.runs) == 1 })
		sim.updateWorkers()
		sim.runFor(time.Second)
		f.unresponsive = true
		sim.runFor(2 * time.Second)
		if w := sim.cell.workers["w1"]; w.unresponsiveSince == 0 || sim.now >= sim.cell.strayLeaseEnd(w) {
			t.Fatal("no stray lease is possible")
		}
		if ends := sim.cell.LeaseEnds(); len(ends) != 0 {
			t.Errorf("recorded %+v", ends)
		}
	})
	t.Run("start without an answer", func(t *testing.T) {
		h := newHandDriven(t)
		h.list(firstIncarnation)
		h.report(h.passUntilPoll("w1"))
		h.Submit(standing(1), func(bool, error) {})
		s := h.passUntilStart()
		h.StartAnswered(&s, StartUnanswered, 0)
		h.list()
		if ends := h.LeaseEnds(); len(ends) != 0 {
			t.Errorf("recorded %+v", ends)
		}
	})
}

// Guards against a release that the table service rejects because of its size.
func TestNumberOfRecordedLeaseEndsIsBounded(t *testing.T) {
	for _, maxRowBytes := range []int{defaultMaxRowBytes, 4096} {
		h := newHandDriven(t)
		h.opts.MaxRowBytes = maxRowBytes
		row := api.LeaseEndsRow{Epoch: 1 << 40}
		for n := range maxLeaseEnds + 100 {
			w := h.ensureWorker(WorkerRef{ID: fmt.Sprintf("%064d", n), IncarnationUnixMs: int(h.wall.UnixMilli())})
			w.runs = []*run{{}}
		}
		ends := h.LeaseEnds()
		for _, end := range ends {
			row.Workers = append(row.Workers, api.WorkerLeaseEnd{Worker: end.Worker, BornUnixMs: end.StartUnixMs, EndMs: 1 << 40})
		}
		value, err := row.MarshalMsg(nil)
		if err != nil {
			t.Fatal(err)
		}
		if n := base64.StdEncoding.EncodedLen(len(value)); n > h.opts.MaxRowBytes || len(ends) > maxLeaseEnds || len(ends) < maxLeaseEnds/20 {
			t.Errorf("%d entries of %d bytes as text, the limit is %d bytes", len(ends), n, h.opts.MaxRowBytes)
		}
	}
}

// Guards against a task that is started again whose end a worker would report, because its
// lease has expired by the record of the earlier owner.
func TestEndsAreReadBeforeRunsAreLostByARecord(t *testing.T) {
	sim := newSimulation(t, 1)
	f := sim.addWorker("w1", smallWorker)
	sim.startOwner()
	sim.submit(oneStep(1, "quotes", tasksOf(1, 600)))
	sim.runUntil(time.Second, "running", func() bool { return len(f.runs) == 1 })
	sim.addWorker("w2", smallWorker)
	sim.release()
	sim.startOwner()
	if ends := sim.cell.LeaseEnds(); len(ends) != 1 {
		t.Fatalf("recorded %+v", ends)
	}
	sim.release()
	sim.runFor(20 * time.Second) // the task ends
	sim.startOwner()
	sim.runFor(10 * time.Second)
	if n := sim.observationOf(workID(1) + ".0.0.0").starts; n != 1 {
		t.Errorf("%d starts", n)
	}
}
