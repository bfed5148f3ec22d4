package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

// WorkerInfo describes a worker, as in the list of workers.
type WorkerInfo struct {
	WorkerRef
	Pool           string
	FailureDomain  string
	Rack           string
	Labels         []string
	Capacity       work.Resources
	Draining       bool
	MinTimeToLeave time.Duration // minimum time until a draining worker leaves; 0 if not known
}

// worker is the state of one incarnation of a worker.
type worker struct {
	info            WorkerInfo
	listed          bool // the current list of workers contains it
	wasListed       bool // it has been listed before
	rejectsOverload bool // it refuses tasks that do not fit
	used            work.Resources
	runs            []*run
	unknownRuns     map[string]bool // names of running tasks without a record; they are being stopped
	fenced          bool            // it has accepted the epoch of this owner and refuses earlier owners
	ended           bool            // this incarnation has ended
	drainingSince   time.Duration   // when it was first listed as draining
	leavesAt        time.Duration   // earliest departure of a draining worker; 0 if not known
	departed        bool            // it has taken itself off the list of workers

	// Clock and lease. Times without a comment are boot times of this node.
	clockMs    int64 // last reading of the worker's clock
	clockAt    time.Duration
	clockKnown bool
	leaseUntil int64 // end of the latest lease sent, on the worker's clock; 0 if none was sent
	leaseCalls leaseCalls
	stray      strayLease

	// Polls and reports.
	polls             []pendingPoll // in the order in which they were sent
	pollSent          time.Duration // when the last poll was sent
	roundTrip         roundTrip
	reportedAt        time.Duration // arrival of the last report
	reportClockMs     int64         // reading of the worker's clock in that report
	nextPoll          time.Duration
	pollErrors        int
	answerLostAt      time.Duration // when a call last had no answer
	unresponsiveSince time.Duration // time of the first error since the last report; 0 if none
	processedEnd      int           // highest number of a processed end
	unackedEnds       []unackedEnd  // processed ends above acked, by number
	acked             int           // highest number whose records are written
	sentAck           int           // highest number acknowledged to the worker

	unansweredStarts    []unansweredStart // starts that it may still carry out
	evacuationCheckedAt time.Duration     // last check of its runs while it drains
	throttleChangedAt   time.Duration     // last change of the throttle of its opportunistic tasks
	throttleReportAt    time.Duration     // arrival of the report on which the last adjustment is based

	health       health
	queryScore   float64       // for the step of the current advice call
	contention   float64       // sum of contentionShare of the waiting steps with a ticket for it
	reservations []reservation // room reserved in the current pass
}

func (w *worker) ref() WorkerRef { return w.info.WorkerRef }

// SetWorkers replaces the list of workers.
func (c *Cell) SetWorkers(list []WorkerInfo) {
	for _, w := range c.fleet {
		w.listed = false
	}
	for i := range list {
		c.listWorker(&list[i])
	}
	for _, w := range append([]*worker(nil), c.fleet...) {
		if !w.listed {
			c.unlistWorker(w)
		}
	}
	if !c.fleetListed && len(list) > 0 {
		c.fleetListed = true
		c.log(event.WorkersListed, "workers", len(list))
	}
	c.changed = true
}

// listWorker adds or updates a worker from the list.
func (c *Cell) listWorker(info *WorkerInfo) {
	w := c.workers[info.ID]
	if w != nil && w.info.IncarnationUnixMs != info.IncarnationUnixMs {
		if info.IncarnationUnixMs < w.info.IncarnationUnixMs {
			return // the list is older than the last report of the worker
		}
		w = nil // a new incarnation
	}
	if w == nil {
		w = c.ensureWorker(info.WorkerRef)
	}
	w.listed, w.wasListed, w.departed = true, true, false
	c.longestWorkerID = max(c.longestWorkerID, len(info.ID))
	w.info = *info
	w.rejectsOverload = c.poolRejectsOverload(info.Pool)
	if info.Draining && w.drainingSince == 0 {
		w.drainingSince = c.now
		if info.MinTimeToLeave > 0 {
			w.leavesAt = c.now + info.MinTimeToLeave
		}
	}
}

// unlistWorker handles a worker that is no longer listed. Its runs are kept until their
// lease expires, because they go on if the worker is only cut off from the list.
func (c *Cell) unlistWorker(w *worker) {
	if w.hasLeft() {
		c.endIncarnation(w, lostWithDeparture)
		return
	}
	if len(w.runs) == 0 && len(w.unknownRuns) == 0 && c.now >= c.leaseEnd(w) {
		c.removeIfUnlisted(w)
	}
}

// removeIfUnlisted removes an unlisted worker, unless its next incarnation has to be told to
// refuse starts that may still arrive.
func (c *Cell) removeIfUnlisted(w *worker) {
	w.forgetExpiredStarts(c.now)
	if !w.listed && len(w.unansweredStarts) == 0 {
		c.removeWorker(w)
	}
}

// forgetExpiredStarts drops the unanswered starts that can no longer be carried out.
func (w *worker) forgetExpiredStarts(now time.Duration) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool { return u.until <= now })
}

// WorkersDeparted notes workers that have taken themselves off the list.
func (c *Cell) WorkersDeparted(refs []WorkerRef) {
	for _, ref := range refs {
		if w := c.workerByRef(ref); w != nil {
			w.departed = true
		}
	}
}

// hasLeft reports whether a draining worker counts as gone: it has taken itself off the list
// and does not respond. That it is no longer listed does not suffice, since a worker that is
// cut off drops off the list as well while its runs go on.
func (w *worker) hasLeft() bool {
	return w.info.Draining && !w.listed && w.departed && w.unresponsiveSince != 0
}

// ensureWorker returns the referenced incarnation of a worker, or a later one. It adds the
// incarnation if neither is known.
func (c *Cell) ensureWorker(ref WorkerRef) *worker {
	if w := c.workers[ref.ID]; w != nil && w.info.IncarnationUnixMs == ref.IncarnationUnixMs {
		return w
	}
	w := &worker{info: WorkerInfo{WorkerRef: ref}, unknownRuns: map[string]bool{}}
	if old := c.workers[ref.ID]; old != nil {
		if old.info.IncarnationUnixMs > ref.IncarnationUnixMs {
			return old // starts sent to an earlier incarnation may still reach this one
		}
		w.inheritLease(old, c.now)
		if !old.fenced && len(old.runs) > 0 {
			c.assumePriorStrayLease(w)
		}
		c.carryOver(old, w)
		c.endIncarnation(old, lostWithIncarnation)
	}
	c.workers[ref.ID] = w
	at := sort.Search(len(c.fleet), func(i int) bool { return c.fleet[i].info.ID >= ref.ID })
	c.fleet = append(c.fleet, nil)
	copy(c.fleet[at+1:], c.fleet[at:])
	c.fleet[at] = w
	if c.fleetListed {
		c.log(event.WorkerAdded, "worker", ref.ID, "incarnation", ref.IncarnationUnixMs)
	}
	return w
}

// unansweredStart is a start without an answer. It may be carried out late, even by the
// next incarnation of the worker, which has the same ID.
type unansweredStart struct {
	taskName   string
	attempt    int
	try        int
	until      time.Duration
	callEnds   time.Duration // until then its call may be accepted by a later incarnation
	needsStop  bool          // a stop has to be sent to this incarnation
	stopSentAt time.Duration // when the last stop was sent; 0 for none
}

// startMayArrive reports whether the worker, or its next incarnation, may still carry out an
// unanswered try of the start of a run.
func (w *worker) startMayArrive(r *run, now time.Duration) bool {
	return slices.ContainsFunc(w.unansweredStarts, func(u unansweredStart) bool {
		return u.taskName == r.taskName && u.attempt == r.attempt && u.until > now
	})
}

// startCallPending reports whether the call of a start of a run goes on. An incarnation that
// refuses the start may end before it does.
func (w *worker) startCallPending(task string, attempt int, now time.Duration) bool {
	return slices.ContainsFunc(w.unansweredStarts, func(u unansweredStart) bool {
		return u.taskName == task && u.attempt == attempt && u.callEnds > now
	})
}

// noteUnansweredStart notes that the last try of the start of a run has no answer.
func (c *Cell) noteUnansweredStart(w *worker, r *run) {
	w.unansweredStarts = append(w.unansweredStarts, unansweredStart{
		taskName: r.taskName, attempt: r.attempt, try: r.startRetries,
		until: c.now + lateCallLimit, callEnds: r.startSentAt + CallTimeLimit + c.callAllowance,
	})
	r.startSentAt = 0
}

// startCallEnded notes that the call of a try has ended without an answer.
func (w *worker) startCallEnded(s *Start, now time.Duration) {
	for i := range w.unansweredStarts {
		if u := &w.unansweredStarts[i]; u.taskName == s.Task.String() && u.attempt == s.Attempt && u.try == s.Try {
			u.callEnds = min(u.callEnds, now)
		}
	}
}

// startSettled drops an unanswered try that was answered late, or was never sent.
func (w *worker) startSettled(s *Start) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool {
		return u.taskName == s.Task.String() && u.attempt == s.Attempt && u.try == s.Try && !u.needsStop
	})
}

// carryOver moves the runs of a worker that its next incarnation may have to that
// incarnation, and the unanswered starts that it may still carry out. Both incarnations
// have the same ID, so the next one takes starts that were sent to the previous one. Only a
// report shows which of the two has a run.
func (c *Cell) carryOver(old, next *worker) {
	for _, r := range append([]*run(nil), old.runs...) {
		if r.startSentAt != 0 {
			c.noteUnansweredStart(old, r)
		}
		startMayArrive := old.startMayArrive(r, c.now)
		if r.phase == runRecording || r.reportedSeq != 0 && !startMayArrive {
			continue // not sent yet, or known to have been on the previous incarnation
		}
		old.dropRun(r)
		c.moveToNextIncarnation(r, next, startMayArrive)
	}
	for _, u := range old.unansweredStarts {
		if u.until > c.now {
			u.needsStop, u.stopSentAt = true, 0
			next.unansweredStarts = append(next.unansweredStarts, u)
		}
	}
}

// moveToNextIncarnation moves a run that no report has listed to the next incarnation of its
// worker. If its start was answered, and no other try of it may still arrive, the next report
// decides whether it runs there. Otherwise it is stopped, and occupies room until the stop is
// confirmed.
func (c *Cell) moveToNextIncarnation(r *run, next *worker, startMayArrive bool) {
	switch {
	case r.awaitsReport && !startMayArrive:
	case r.confirmedSeq != 0 && !r.carriedOver && !startMayArrive:
		r.awaitsReport = true
	default:
		r.awaitsReport, r.carriedOver = false, true
		r.phase, r.stopReason = runStopping, "the worker has restarted"
	}
	if !r.awaitsReport && !startMayArrive {
		next.unansweredStarts = append(next.unansweredStarts, unansweredStart{taskName: r.taskName, attempt: r.attempt, until: c.now + lateCallLimit, needsStop: true})
	}
	r.incarnationUnixMs, r.restored = unknownIncarnation, false
	c.markDirty(r.task.step.work)
	r.worker, r.confirmedSeq, r.stopSentAt = next, 0, 0
	next.runs = append(next.runs, r)
	next.used = next.used.Plus(r.size)
}

// dropRun removes a run from the worker and releases its room.
func (w *worker) dropRun(r *run) {
	for i := range w.runs {
		if w.runs[i] == r {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			w.used = w.used.Minus(r.size)
			return
		}
	}
}

// beginIncarnation replaces a worker by its next incarnation, which is not listed yet.
func (c *Cell) beginIncarnation(old *worker, incarnationUnixMs int) {
	info := old.info
	info.IncarnationUnixMs = incarnationUnixMs
	info.Draining = false
	next := c.ensureWorker(info.WorkerRef)
	next.info = info
	next.listed, next.wasListed, next.rejectsOverload = old.listed, old.wasListed, old.rejectsOverload
}

// workerByRef returns the referenced incarnation of a worker, or nil.
func (c *Cell) workerByRef(ref WorkerRef) *worker {
	w := c.workers[ref.ID]
	if w == nil || w.info.IncarnationUnixMs != ref.IncarnationUnixMs {
		return nil
	}
	return w
}

func (c *Cell) removeWorker(w *worker) {
	if c.workers[w.info.ID] == w {
		delete(c.workers, w.info.ID)
	}
	for i := range c.fleet {
		if c.fleet[i] == w {
			c.fleet = append(c.fleet[:i], c.fleet[i+1:]...)
			break
		}
	}
	w.ended = true
	c.removals++
	c.changed = true
	c.log(event.WorkerRemoved, "worker", w.info.ID, "incarnation", w.info.IncarnationUnixMs, "listed", w.listed, "report_age_ms", c.sinceMs(w.reportedAt))
}

// free returns the unused capacity of the worker.
func (w *worker) free() work.Resources { return w.info.Capacity.Minus(w.used) }

// acceptsTasks reports whether new tasks may be placed on the worker.
func (c *Cell) acceptsTasks(w *worker) bool {
	return c.isOpen(w) && !w.health.quarantined(c.now)
}

// isOpen reports whether new tasks may be placed on the worker unless it is quarantined.
func (c *Cell) isOpen(w *worker) bool {
	return w.listed && w.fenced && !w.ended && !w.info.Draining && len(w.unknownRuns) == 0 &&
		w.unresponsiveSince == 0 && !w.health.paused(c.now)
}
