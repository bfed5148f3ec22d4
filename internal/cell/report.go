package cell

import (
	"slices"

	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

// End is the way in which a run ended.
type End string

// Ends of runs.
const (
	EndDone           End = "done"
	EndFailed         End = "failed"  // because of the task or the worker
	EndStopped        End = "stopped" // by a stop command
	EndLeaseExpired   End = "lapsed"  // the lease expired, or the run was declared lost
	EndGangBroken     End = "broken"  // another member of the gang has ended
	EndGangIncomplete End = "alone"   // the other members of the gang did not start in time
)

// RunReport is the state of a run on a worker.
type RunReport struct {
	Task       string
	Attempt    int
	Checkpoint string
	Percent    int // progress; 100 for a long-running task that is available
	Usage      int // tail latency in ms of a long-running task, else cpu millis in use
}

// EndReport is the end of one run on a worker.
type EndReport struct {
	Number     int // higher than the numbers of earlier ends on the worker
	Task       string
	Attempt    int
	Outcome    End
	Checkpoint string
}

// Report is the answer of a worker to a Poll.
type Report struct {
	ClockMs           int64
	IncarnationUnixMs int
	Running           []RunReport
	Ends              []EndReport
	Incomplete        bool // a list is missing, which does not mean that it is empty
}

// PollFailure is the reason why a poll failed.
type PollFailure int

// Reasons for a failed poll.
const (
	PollUnanswered       PollFailure = iota // no answer; the runs on the worker may go on
	PollWrongIncarnation                    // another incarnation of the worker, or another worker, answered
	PollOvertaken                           // the worker has carried out a later call of this owner and refused the poll
)

// PollFailed handles a failed poll.
func (c *Cell) PollFailed(ref WorkerRef, seq uint64, failure PollFailure) {
	w := c.workerByRef(ref)
	if w == nil {
		return
	}
	p, ok := c.settlePoll(w, seq, failure == PollOvertaken)
	switch {
	case !ok:
	case failure == PollOvertaken:
		w.ackOvertaken(&p)
		w.nextPoll = c.now
	case failure == PollWrongIncarnation:
		c.endIncarnation(w, lostWithAddress)
	default:
		w.noteUnansweredAck(&p)
		if !p.overdue {
			c.pollUnanswered(w)
		}
	}
}

// ReportReceived handles the report of a worker, which may be late. It proves what it says
// for the time of its making: ends for good, running tasks and the clock unless a report that
// was made later has been used already, and missing runs if they were confirmed before its
// poll was sent.
func (c *Cell) ReportReceived(ref WorkerRef, seq uint64, report *Report) {
	w := c.workerByRef(ref)
	if w == nil {
		return
	}
	p, ok := c.settlePoll(w, seq, true)
	if !ok {
		return
	}
	if report.IncarnationUnixMs == w.info.IncarnationUnixMs {
		w.ackAnswered(&p)
	}
	if !c.usableReport(w, &p, report) {
		if !w.overtaken(&p) {
			c.pollUnanswered(w)
		}
		return
	}
	if report.IncarnationUnixMs > w.info.IncarnationUnixMs {
		c.beginIncarnation(w, report.IncarnationUnixMs)
		return
	}
	w.reportClockMs = report.ClockMs
	w.reportSeq, w.reportPollSentAt = max(w.reportSeq, seq), max(w.reportPollSentAt, p.sentAt)
	w.updateClock(c.now, report.ClockMs)
	w.dropStrayLease(p.sentAt)
	w.reportedAt = c.now
	c.observePoll(w, &p, report)
	c.workerAnswers(w, &p)
	c.processRunning(w, seq, report)
	c.processEnds(w, report.Ends)
	if len(report.Ends) < maxEndsListed {
		c.loseUnlistedRuns(w, seq)
	}
}

// processRunning updates the runs from a report, and stops those that are not recorded.
func (c *Cell) processRunning(w *worker, seq uint64, report *Report) {
	unknown := map[string]bool{}
	for i := range report.Running {
		in := &report.Running[i]
		r := w.findRun(in.Task, in.Attempt)
		if r == nil {
			unknown[in.Task] = true
			c.stopUnknownRun(w, in)
			continue
		}
		c.updateRun(r, in)
		c.confirmListed(r, seq)
	}
	if len(unknown) != len(w.unknownRuns) {
		c.changed = true
	}
	w.unknownRuns = unknown
}

// stopUnknownRun stops a run that is not recorded. A start of an earlier owner, or one
// that was delayed, may have started it.
func (c *Cell) stopUnknownRun(w *worker, in *RunReport) {
	c.effects.Stops = append(c.effects.Stops, Stop{Worker: w.ref(), Token: w.token, Task: in.Task, Attempt: in.Attempt, Timeout: w.commandOverdueAfter(0)})
}

func (c *Cell) updateRun(r *run, in *RunReport) {
	if r.phase == runStarting || r.phase == runRecording {
		c.activate(r)
	}
	if in.Percent != r.percent {
		r.progressAt = c.now
	}
	r.percent = in.Percent
	r.usage = in.Usage
	if in.Checkpoint != "" {
		r.newestCheckpoint = in.Checkpoint
	}
}

// confirmListed notes that a report lists the run, so that it is known to be on this
// incarnation of its worker.
func (c *Cell) confirmListed(r *run, seq uint64) {
	r.reportedSeq = seq
	r.awaitsReport = false
	r.incarnationUnixMs = c.incarnationToRecord(r.worker)
	if r.confirmedSeq == 0 {
		r.confirmedSeq = c.nextSeq()
	}
}

// activate marks a run as confirmed by its worker.
func (c *Cell) activate(r *run) {
	r.phase = runActive
	r.task.step.work.started = true
	r.activeAt, r.progressAt = c.now, c.now
	r.confirmedSeq = c.nextSeq()
	c.stats.Started++
	c.sendDeferredStop(r)
}

// processEnds processes the ends in a report. A worker reports an end until it receives
// the acknowledgment, so ends with numbers up to processedEnd are skipped.
func (c *Cell) processEnds(w *worker, ends []EndReport) {
	for i := range ends {
		e := &ends[i]
		if e.Number <= w.processedEnd {
			continue
		}
		if e.Number > w.processedEnd+1 && (w.endsFromOne || w.processedEnd > 0) {
			c.logForgottenEnds(w, e.Number)
		}
		if w.processedEnd == 0 {
			w.ackReceived = max(w.ackReceived, e.Number-1) // the worker has forgotten those before
		}
		w.processedEnd = e.Number
		w.unackedEnds = append(w.unackedEnds, unackedEnd{number: e.Number, work: workOfTask(e.Task), task: e.Task, attempt: e.Attempt})
		r := w.findRun(e.Task, e.Attempt)
		c.noteEarlierStart(w, r, workOfTask(e.Task))
		if r != nil {
			r.task.step.work.started = true
			c.runEnded(r, e.Outcome, e.Checkpoint)
		} else {
			c.processLateEnd(w, e)
		}
	}
}

// workOfTask returns the ID of the work of a task, empty if the name is not valid.
func workOfTask(name string) string {
	id, _ := parseTaskName(name)
	return id.Work
}

// processLateEnd processes the end of a run that this or an earlier owner has declared
// lost. A done end completes the task, so that it is not run again. A failure counts only
// if this owner declared the run lost, because an earlier owner may have counted it.
func (c *Cell) processLateEnd(w *worker, e *EndReport) {
	key := lostRunKey{w.ref(), e.Task, e.Attempt}
	r, lostHere := c.lostRuns[key]
	delete(c.lostRuns, key)
	if t := c.taskByName(e.Task); !lostHere && t != nil && e.Attempt <= t.attempt {
		r = &run{task: t, worker: w, taskName: e.Task, attempt: e.Attempt}
	}
	if r == nil || r.task.phase == taskDone || isTerminal(r.task.step.work.state) {
		return
	}
	r.task.step.work.started = true
	switch {
	case e.Outcome == EndDone:
		c.logRun(event.LateEnd, r, "outcome", string(e.Outcome), "lost_here", lostHere)
		r.task.step.untimedTasks = true
		c.completeRun(r)
	case e.Outcome == EndFailed && lostHere:
		c.logRun(event.LateEnd, r, "outcome", string(e.Outcome), "lost_here", lostHere)
		c.runFailed(r)
	}
	c.markDirty(r.task.step.work)
}

// taskByName returns a task of an unfinished occurrence, or nil.
func (c *Cell) taskByName(name string) *task {
	id, ok := parseTaskName(name)
	if !ok || c.works[id.Work] == nil {
		return nil
	}
	o := c.works[id.Work].occurrence(id.Occurrence)
	if o == nil || id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
		return nil
	}
	return &o.steps[id.Step].tasks[id.Index]
}

// findRun returns the run with the task name and attempt, or nil.
func (w *worker) findRun(task string, attempt int) *run {
	for _, r := range w.runs {
		if r.attempt == attempt && r.taskName == task {
			return r
		}
	}
	return nil
}

// addRun adds a run to its task and worker, and charges it to the worker and the team.
func (c *Cell) addRun(t *task, w *worker, attempt int) *run {
	s := t.step
	r := &run{
		task: t, worker: w, incarnationUnixMs: c.incarnationToRecord(w), attempt: attempt, taskName: t.id().String(), size: s.sizeOnWorker(),
		placedAt: c.now, startPercent: t.checkpointPercent, percent: t.checkpointPercent, throttlePercent: unthrottledPercent,
	}
	if t.phase == taskWaiting {
		t.phase = taskPlaced
		s.waiting--
	}
	t.attempt = max(t.attempt, attempt)
	t.runs = append(t.runs, r)
	w.runs = append(w.runs, r)
	w.used = w.used.Plus(r.size)
	s.work.team.used = s.work.team.used.Plus(s.size)
	s.work.runs++
	s.work.recordBytes += taskEntryBytes + len(w.info.ID)
	s.occurrence.begin(s.work)
	c.markDirty(s.work)
	return r
}

// removeRun removes a run from its task and worker and releases its resources.
func (c *Cell) removeRun(r *run) {
	r.ended = true
	w, s := r.worker, r.task.step
	w.dropRun(r)
	for i := range r.task.runs {
		if r.task.runs[i] == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			break
		}
	}
	s.work.team.used = s.work.team.used.Minus(s.size)
	s.work.runs--
	c.markDirty(s.work)
	c.changed = true
}

// runEnded handles the end of a run: it completes the task, or counts the failure and
// requeues the task.
func (c *Cell) runEnded(r *run, outcome End, checkpoint string) {
	t, s := r.task, r.task.step
	if r.activeAt != 0 {
		t.lastActiveAt = c.now
	}
	if r.startSentAt != 0 {
		c.noteUnansweredStart(r.worker, r)
	}
	c.recordRunEnd(r, outcome)
	c.removeRun(r)
	if checkpoint == "" {
		checkpoint = r.newestCheckpoint
	}
	if r.redundant || t.phase == taskDone || isTerminal(s.work.state) {
		if outcome == EndDone && !isTerminal(s.work.state) {
			c.completeRun(r)
		}
		return
	}
	if outcome == EndDone {
		c.completeRun(r)
		return
	}
	if s.spec.Checkpoints && checkpoint != "" {
		t.checkpoint = checkpoint
		t.checkpointPercent = r.percent
	}
	if outcome == EndFailed {
		c.runFailed(r)
	}
	if s.spec.Gang {
		c.gangMemberEnded(s)
		return
	}
	c.requeueTask(t)
}

// completeRun finishes the task of a done run. In a gang one done member completes all
// tasks. A long-running task is requeued.
func (c *Cell) completeRun(r *run) {
	s := r.task.step
	if s.spec.LongRunning {
		c.requeueTask(r.task)
		return
	}
	if !s.spec.Gang {
		c.finishTask(r.task)
		return
	}
	for i := range s.tasks {
		c.finishTask(&s.tasks[i])
		for _, other := range slices.Clone(s.tasks[i].runs) {
			if other.attempt != r.attempt {
				c.stopRun(other, "another attempt of the gang is done")
			}
		}
	}
}

// runFailed counts a failed attempt, and fails the work at the limit of its queue.
func (c *Cell) runFailed(r *run) {
	t, s := r.task, r.task.step
	c.logRun(event.RunFailed, r, "failures", t.failures+1, "max_attempts", s.work.queue.MaxAttempts)
	c.stats.TaskFailed++
	t.avoid(r.worker)
	if s.spec.LongRunning {
		return
	}
	t.failures++
	failures := t.failures
	if s.spec.Gang {
		if r.attempt <= s.failedAttempt {
			return // a failure of this attempt counts, or came so late that the next attempt has failed since
		}
		s.failedAttempt = r.attempt
		s.failures++
		failures = s.failures
	}
	if limit := s.work.queue.MaxAttempts; limit > 0 && failures >= limit {
		c.failWork(s.work)
	}
}

// requeueTask makes a placed task without runs wait for placement again.
func (c *Cell) requeueTask(t *task) {
	if t.phase != taskPlaced || len(t.runs) > 0 || isTerminal(t.step.work.state) {
		return
	}
	t.phase = taskWaiting
	t.step.waiting++
	c.makeReady(t.step)
}

// gangMemberEnded stops the other members of the gang, and requeues all tasks once none
// runs.
func (c *Cell) gangMemberEnded(s *step) {
	for i := range s.tasks {
		for _, r := range s.tasks[i].runs {
			c.stopRun(r, "another member of the gang has ended")
		}
	}
	for i := range s.tasks {
		if len(s.tasks[i].runs) > 0 {
			return
		}
	}
	for i := range s.tasks {
		c.requeueTask(&s.tasks[i])
	}
}

// parseTaskName parses a task name and reports whether it is valid.
func parseTaskName(name string) (work.TaskID, bool) {
	id, err := work.ParseTaskID(name)
	return id, err == nil
}
