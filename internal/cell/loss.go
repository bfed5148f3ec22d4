package cell

import "github.com/endivehill/endivehill/internal/event"

// LossReason tells what shows that a run can no longer be running although its worker has
// not reported its end. Each path that ends such a run has a reason of its own.
type LossReason int

// Reasons of losses.
const (
	lostWithLease       LossReason = iota // all leases of an unresponsive worker have expired
	lostUnlisted                          // a report does not list a run that was confirmed before its poll
	lostNotTaken                          // the first report after a restart does not list the run
	lostWithIncarnation                   // a later incarnation of the worker is listed or has reported
	lostWithAddress                       // another process has answered at the address of the worker
	lostWithDeparture                     // a draining worker has taken itself off the list
	lossReasons
)

// String returns the reason for log lines and metrics.
func (r LossReason) String() string {
	switch r {
	case lostWithLease:
		return "the lease of an unresponsive worker has expired"
	case lostUnlisted:
		return "the worker does not list the run"
	case lostNotTaken:
		return "the first report of the worker does not list the run"
	case lostWithIncarnation:
		return "a later incarnation of the worker has started"
	case lostWithAddress:
		return "another process answers at the address of the worker"
	case lostWithDeparture:
		return "the draining worker has left"
	}
	return "unknown"
}

// Losses counts lost runs by reason.
type Losses [lossReasons]int

// Total returns the number of lost runs.
func (l Losses) Total() int {
	n := 0
	for _, count := range l {
		n += count
	}
	return n
}

// lostRunKey identifies a run that was declared lost because the lease of its worker had
// expired.
type lostRunKey struct {
	worker  WorkerRef
	task    string
	attempt int
}

// pruneLostRuns drops the lost runs of works that have ended.
func (c *Cell) pruneLostRuns() {
	for key, r := range c.lostRuns {
		if isTerminal(r.task.step.work.state) {
			delete(c.lostRuns, key)
		}
	}
}

// loseUnlistedRuns declares runs lost that are missing from the report, although the
// worker had confirmed them before the poll was sent. The same holds for runs that await the
// first report after a restart. A run of an earlier owner that is missing was never started:
// the worker lists ends until their record is written, and accepts no more starts of that owner.
func (c *Cell) loseUnlistedRuns(w *worker, seq uint64) {
	for _, r := range append([]*run(nil), w.runs...) {
		if r.reportedSeq == seq {
			continue
		}
		switch {
		case r.carriedOver && w.startCallPending(r.taskName, r.attempt, c.now): // it may reach one incarnation more
		case r.awaitsReport && r.restored: // else the worker would list the run or its end
			c.endUnstarted(r, StartNotSent)
		case r.awaitsReport:
			c.loseRun(r, lostNotTaken)
		case r.confirmedSeq != 0 && r.confirmedSeq < seq:
			c.loseRun(r, lostUnlisted)
		}
	}
}

// loseRun ends a run that can no longer be running and whose outcome is not known. The run
// may have ended already, with another member of its gang.
func (c *Cell) loseRun(r *run, reason LossReason) {
	if r.ended {
		return
	}
	c.stats.Lost[reason]++
	c.logLost(r, reason)
	c.runEnded(r, EndLeaseExpired, "")
}

// logLost logs what the owner knew of the worker of a lost run. The age of the last report
// and of the clock reading, and the time until which a lease may be held, tell the reasons
// for a wrong decision apart.
func (c *Cell) logLost(r *run, reason LossReason) {
	w := r.worker
	c.logRun(event.RunLost, r, "reason", reason.String(), "incarnation", w.info.IncarnationUnixMs,
		"confirmed", r.confirmedSeq != 0, "reported", r.reportedSeq != 0, "awaits_report", r.awaitsReport, "carried_over", r.carriedOver,
		"listed", w.listed, "unresponsive_ms", c.sinceMs(w.unresponsiveSince), "clock_age_ms", c.sinceMs(w.clockAt),
		"lease_left_ms", (c.leaseEnd(w) - c.now).Milliseconds(), "lease_calls", w.leaseCalls.inFlight)
}

// endIncarnation removes a worker whose incarnation has ended. Its runs are lost.
func (c *Cell) endIncarnation(w *worker, reason LossReason) {
	if w.ended {
		return
	}
	w.ended = true
	c.loseRuns(w, reason)
	c.removeWorker(w)
}

// loseRuns declares all runs of a worker lost.
func (c *Cell) loseRuns(w *worker, reason LossReason) {
	for len(w.runs) > 0 {
		c.loseRun(w.runs[len(w.runs)-1], reason)
	}
	w.unknownRuns = map[string]bool{}
}
