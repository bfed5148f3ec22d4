package owner

import (
	"testing"
	"time"

	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/work"
)

// Guards against an owner that is paused while it handles queued events, takes a report for
// older than it is, and starts tasks elsewhere while their worker still holds a lease.
func TestReportAfterAPauseIsTakenAtItsTime(t *testing.T) {
	tenure := newTestTenure(memoryStore{})
	if !tenure.loadRecords() {
		t.Fatal("the records are not loaded")
	}
	tenure.inbox = make(chan func(), inboxSize)
	refs := []cell.WorkerRef{{ID: "w1", IncarnationUnixMs: 1, Address: "w1"}, {ID: "w2", IncarnationUnixMs: 1, Address: "w2"}}
	list := func(workers ...cell.WorkerRef) {
		var infos []cell.WorkerInfo
		for _, ref := range workers {
			infos = append(infos, cell.WorkerInfo{WorkerRef: ref, Pool: testPool, Capacity: work.Resources{CPUMillis: 8000, MemoryMB: 8000}})
		}
		tenure.cell.SetWorkers(infos)
	}
	workerClock := func() int64 { return tenure.clock.Boot().Milliseconds() } // of w1
	var running []cell.RunReport
	report := func() *cell.Report {
		return &cell.Report{ClockMs: workerClock(), IncarnationUnixMs: 1, Running: running}
	}
	pass := func() cell.Effects {
		tenure.cell.SetLeaseLimit(tenure.clock.Boot() + taskGrantLimit)
		return tenure.pass(10 * time.Millisecond)
	}

	list(refs[0])
	row := testWork("0000000000000001")
	tenure.cell.Submit(&row.Work, func(bool, error) {})
	var poll *cell.Poll // without an answer
	for len(running) == 0 || poll == nil {
		e := pass()
		for i := range e.Polls {
			if p := &e.Polls[i]; len(running) == 0 {
				tenure.cell.ReportReceived(p.Worker, p.Seq, report())
			} else {
				poll = p
			}
		}
		for i := range e.Starts {
			s := &e.Starts[i]
			running = append(running, cell.RunReport{Task: s.Task.String(), Attempt: s.Attempt})
			tenure.cell.StartAnswered(s, cell.StartAccepted, workerClock())
		}
	}

	const pause = 4 * time.Second
	tenure.inbox <- func() { tenure.cell.ReportReceived(poll.Worker, poll.Seq, report()) }
	tenure.handle(func() { tenure.clock.Advance(pause) })

	list(refs...)
	leaseUntil := int64(0) // the latest lease of w1, which answers no more
	var unanswered []cell.Poll
	unansweredAt := tenure.clock.Boot()
	for range 2 * taskGrantLimit / (10 * time.Millisecond) {
		if len(unanswered) > 0 && tenure.clock.Boot()-unansweredAt > unanswered[0].Wait+time.Second {
			tenure.cell.PollFailed(refs[0], unanswered[0].Seq, cell.PollUnanswered)
			unanswered = unanswered[1:]
		}
		e := pass()
		for i := range e.Polls {
			p := &e.Polls[i]
			if p.Worker == refs[0] {
				longest := workerClock() + tenure.options.Settings.MaxTaskLease.Milliseconds()
				leaseUntil = max(leaseUntil, min(p.LeaseUntil, longest))
				unanswered = append(unanswered, *p)
				unansweredAt = tenure.clock.Boot()
				continue
			}
			tenure.cell.ReportReceived(p.Worker, p.Seq, &cell.Report{ClockMs: workerClock(), IncarnationUnixMs: 1})
		}
		if len(e.Starts) > 0 {
			if left := leaseUntil - workerClock(); left > 0 {
				t.Errorf("the task is started on %s while %s holds a lease for %d ms more", e.Starts[0].Worker.ID, refs[0].ID, left)
			}
			return
		}
	}
	t.Error("the task is not started again")
}
