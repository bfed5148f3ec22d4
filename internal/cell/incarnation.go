package cell

// A worker may start again under its ID. What was sent to its earlier incarnation may then
// have been carried out, or still be carried out, by the next one.

// beginIncarnation replaces a worker by its next incarnation, which is not listed yet. It may be
// of another kind, so it gets no tasks before its entry is listed.
func (c *Cell) beginIncarnation(old *worker, incarnationUnixMs int) {
	info := old.info
	info.IncarnationUnixMs = incarnationUnixMs
	info.Draining = false
	next := c.ensureWorker(info.WorkerRef)
	next.info = info
	c.updateEvacuated(next)
	next.listed, next.wasListed, next.rejectsOverload = old.listed, old.wasListed, old.rejectsOverload
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
			continue // not sent yet, or known to have been on the previous incarnation only
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

// moveToNextIncarnation moves a run that the next incarnation of its worker may have, or may
// still be told to start, to that incarnation. If its start was answered, and no other try of it may still arrive, the next report
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
		next.unansweredStarts = append(next.unansweredStarts, unansweredStart{taskName: r.taskName, attempt: r.attempt, ticketed: r.ticket != "", until: c.now + lateCallLimit, needsStop: true})
	}
	r.incarnationUnixMs, r.restored = unknownIncarnation, false
	c.markDirty(r.task.step.work)
	r.worker, r.confirmedSeq, r.stopSentAt, r.inDoubtSeq = next, 0, 0, c.nextSeq()
	next.runs = append(next.runs, r)
	next.used = next.used.Plus(r.size)
}
