package cell

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Timing of start and stop commands.
const (
	startRetryDelay    = 10 * time.Millisecond  // unit of the backoff before an unanswered start is sent again
	maxStartRetryDelay = 600 * time.Millisecond // longest backoff between two tries of a start
	stopRetryInterval  = 400 * time.Millisecond // between stops of a run whose end is not reported yet
	maxStartTries      = 4                      // unanswered tries of a start after which the run is stopped
	unthrottledPercent = 100                    // throttle of a run at full speed
	noRoomPause        = 100 * time.Millisecond // no new tasks on a worker that refused a start for lack of room
)

// StartOutcome is the outcome of a start command.
type StartOutcome int

// Outcomes of a start.
const (
	StartAccepted         StartOutcome = iota // the worker has accepted the run
	StartUnanswered                           // no answer; the worker may have accepted the run
	StartNotSent                              // no connection to the worker was free in time, or an earlier owner did not get to it
	StartFenced                               // the worker has carried out a call with a higher token
	StartSuperseded                           // this attempt or a later one was stopped or has ended there
	StartLeaseExpired                         // the lease had expired
	StartNoRoom                               // the worker has too little room
	StartStaleTicket                          // the ticket was not valid
	StartRefused                              // the worker is unhealthy and has not started the run
	StartInvalid                              // the worker can't parse the command
	StartWrongIncarnation                     // another incarnation of the worker answered
)

// sendStart emits the start command of a run whose record is written.
func (c *Cell) sendStart(r *run) {
	w, t := r.worker, r.task
	if w.acksUnanswered > 0 {
		c.raiseToken(w)
	}
	r.phase, r.startedHere = runStarting, true
	w.leaseCalls.sent()
	r.startSentAt = c.now
	c.effects.Starts = append(c.effects.Starts, Start{
		Worker: w.ref(), Token: w.token, Task: t.id(), Attempt: r.attempt, Payload: t.step.work.spec.Payload,
		LeaseUntil: c.extendLease(w), Checkpoint: r.startCheckpoint, Ticket: r.ticket, Try: r.startRetries,
		OverdueAfter: c.startOverdueAfter(w, r.startRetries), ConnWait: startConnWait + c.callAllowance, Timeout: CallTimeLimit,
		SendBy: c.startLimit(), sentAt: c.now,
	})
}

// StartAnswered handles the outcome of a start command, which may be late. A late refusal of
// an earlier try proves nothing, since a later try may have been accepted.
func (c *Cell) StartAnswered(s *Start, outcome StartOutcome, clockMs int64) {
	w := c.workerByRef(s.Worker)
	if w == nil {
		return
	}
	if outcome == StartWrongIncarnation {
		c.endIncarnation(w, lostWithAddress)
		return
	}
	w.leaseCalls.settled(c.now, outcome != StartUnanswered)
	inDoubt := outcome == StartAccepted && !c.startedByThisIncarnation(w, clockMs)
	w.updateClock(c.now, clockMs)
	if outcome == StartUnanswered {
		w.startCallEnded(s, c.now)
	} else {
		w.startSettled(s)
		if outcome != StartNotSent && s.sentAt != 0 {
			w.roundTrip.observe(c.now - s.sentAt)
		}
	}
	r := w.findRun(s.Task.String(), s.Attempt)
	if r == nil {
		return
	}
	if inDoubt {
		r.inDoubtSeq = c.nextSeq()
	}
	currentTry := s.Try == r.startRetries
	if currentTry && outcome != StartUnanswered && outcome != StartNotSent {
		r.startSentAt = 0
	}
	switch outcome {
	case StartAccepted:
		c.startAccepted(r)
	case StartUnanswered:
		if currentTry {
			c.startUnanswered(r)
		}
	case StartNotSent:
		c.startNotSent(r, currentTry)
	case StartSuperseded:
		// A report lists the end of the run, or a stop overtook the start.
		if r.phase == runStarting {
			r.phase = runStopping
			r.confirmedSeq = c.nextSeq()
		}
	default:
		if currentTry {
			c.startRefused(r, outcome)
		}
	}
}

// startAccepted handles the confirmation of a start, also for a run that is being stopped.
func (c *Cell) startAccepted(r *run) {
	if r.phase == runStarting {
		c.activate(r)
		return
	}
	if r.confirmedSeq == 0 {
		r.confirmedSeq = c.nextSeq()
	}
}

// startUnanswered schedules the next try of a start; starts are idempotent. After
// maxStartTries the run is stopped instead, which also makes the worker refuse starts
// that arrive later.
func (c *Cell) startUnanswered(r *run) {
	if r.startSentAt != 0 {
		c.noteUnansweredStart(r.worker, r)
	}
	if r.phase != runStarting {
		return
	}
	r.worker.answerLostAt = c.now
	r.startRetries++
	if r.startRetries >= maxStartTries {
		c.pauseUnresponsive(r.worker)
		c.stopRun(r, "the start was not answered")
		return
	}
	r.startRetryAt = c.now + min(startRetryDelay<<r.startRetries, maxStartRetryDelay)
}

// startNotSent handles a try of a start that was not sent. If no other try was sent, the
// worker can't have started the run, and the task is placed again at once. A member of a gang
// is tried again, since the others would have to start anew with it.
func (c *Cell) startNotSent(r *run, currentTry bool) {
	r.unsentStarts++
	if r.task.step.spec.Gang && r.phase == runStarting {
		if currentTry {
			c.startUnanswered(r)
		}
		return
	}
	tries := r.startRetries
	if r.startSentAt != 0 {
		tries++
	}
	if r.unsentStarts < tries || r.phase != runStarting && r.phase != runStopping {
		return
	}
	r.worker.health.pause(c.now, noRoomPause)
	c.endUnstarted(r, StartNotSent)
}

// startRefused ends a run that the worker has not started. If a repeated start is
// refused, an earlier one may have been accepted, so the run is stopped instead.
func (c *Cell) startRefused(r *run, outcome StartOutcome) {
	t := r.task
	if r.startRetries > r.unsentStarts {
		c.stopRun(r, "a repeated start was refused after an unanswered one")
		return
	}
	switch outcome {
	case StartStaleTicket:
		c.stats.StaleTickets++
		t.step.invalidateTicket(r.worker)
	case StartNoRoom:
		c.stats.StartsRefusedForRoom++
		r.worker.health.pause(c.now, noRoomPause)
	case StartRefused:
		c.pauseUnhealthy(r.worker)
	}
	c.endUnstarted(r, outcome)
}

// endUnstarted ends a run that its worker has not started and will not start.
func (c *Cell) endUnstarted(r *run, outcome StartOutcome) {
	if !r.task.step.spec.Gang {
		r.task.notBefore = c.now
	}
	c.logRun(event.StartRefused, r, "reason", outcome.String(), "tries", r.startRetries+1)
	c.runEnded(r, EndStopped, r.startCheckpoint)
}

// stopRun stops a run. A run whose start is not sent yet ends at once.
func (c *Cell) stopRun(r *run, reason string) {
	if r.stopReason == "" {
		r.stopReason = reason
		c.logRun(event.RunStopRequested, r, "reason", reason)
	}
	switch r.phase {
	case runRecording, runStopping:
		if r.phase == runRecording {
			c.runEnded(r, EndStopped, r.startCheckpoint)
		}
	default:
		r.phase = runStopping
		c.sendStop(r)
	}
}

func (c *Cell) sendStop(r *run) {
	r.stopSentAt = c.now
	r.stopsSent++
	c.effects.Stops = append(c.effects.Stops, Stop{Worker: r.worker.ref(), Token: r.worker.token, Task: r.taskName, Attempt: r.attempt, Try: r.stopsSent - 1, Timeout: r.worker.commandOverdueAfter(r.stopsSent - 1)})
}

// StopAnswered handles the answer to a stop command. From then on the worker refuses to
// start the run; if the run had started, a later report lists its end.
func (c *Cell) StopAnswered(s *Stop, answered bool, clockMs int64) {
	w := c.workerByRef(s.Worker)
	if w == nil || !answered {
		return
	}
	w.updateClock(c.now, clockMs)
	for i := range w.unansweredStarts {
		if u := &w.unansweredStarts[i]; u.taskName == s.Task && u.attempt == s.Attempt {
			u.needsStop = false
		}
	}
	if r := w.findRun(s.Task, s.Attempt); r != nil && r.phase == runStopping && r.confirmedSeq == 0 {
		r.confirmedSeq = c.nextSeq() // a later report that does not list the run proves it gone
		if w.nextPoll > c.now {
			w.nextPoll = c.now
		}
	}
}

// StopOvertaken handles a stop that the worker has refused because it had carried out a later
// call of this owner. It is sent again at once.
func (c *Cell) StopOvertaken(s *Stop) {
	w := c.workerByRef(s.Worker)
	if w == nil {
		return
	}
	if r := w.findRun(s.Task, s.Attempt); r != nil {
		r.stopSentAt = 0
	}
	for i := range w.unansweredStarts {
		if u := &w.unansweredStarts[i]; u.taskName == s.Task && u.attempt == s.Attempt {
			u.stopSentAt = 0
		}
	}
}

// retryCommands repeats starts and stops that are not confirmed yet. A start carries a lease,
// so it waits while no lease may be granted, or while the requests for evacuation are not known.
// In an evacuated failure domain the run is stopped instead.
func (c *Cell) retryCommands() {
	for _, w := range c.fleet {
		if w.ended || w.unresponsiveSince != 0 {
			continue
		}
		c.stopUnansweredStarts(w)
		for _, r := range w.runs {
			retry := r.phase == runStarting && r.startRetryAt != 0
			switch {
			case retry && w.evacuated:
				r.startRetryAt = 0
				c.stopForEvacuation(r)
			case retry && c.now >= r.startRetryAt && c.now < c.leaseLimit && !c.leaseEndMayBeRecorded(w) && c.evacuationsKnown():
				r.startRetryAt = 0
				c.repeatStart(r)
			case r.phase == runStopping && c.now-r.stopSentAt >= stopRetryInterval:
				c.sendStop(r)
			}
		}
	}
}

// repeatStart sends a start again, or stops the run if another member of its gang has
// finished the task meanwhile.
func (c *Cell) repeatStart(r *run) {
	if r.redundant {
		c.stopRun(r, "the gang is done")
		return
	}
	c.sendStart(r)
}

// stopUnansweredStarts sends a new incarnation of a worker stops for the starts that were
// sent to the previous one, and drops starts that can no longer be carried out.
func (c *Cell) stopUnansweredStarts(w *worker) {
	w.forgetExpiredStarts(c.now)
	for i := range w.unansweredStarts {
		u := &w.unansweredStarts[i]
		if u.needsStop && (u.stopSentAt == 0 || c.now-u.stopSentAt >= stopRetryInterval) {
			u.stopSentAt = c.now
			c.effects.Stops = append(c.effects.Stops, Stop{Worker: w.ref(), Token: w.token, Task: u.taskName, Attempt: u.attempt, Timeout: w.commandOverdueAfter(0)})
		}
	}
}

// sendDeferredStop stops a run that has just been confirmed, if a stop was requested or
// its task or work has ended in the meantime.
func (c *Cell) sendDeferredStop(r *run) {
	if r.stopReason != "" || r.redundant || isTerminal(r.task.step.work.state) {
		r.phase = runStopping
		c.sendStop(r)
	}
}

// String returns the outcome for log lines.
func (o StartOutcome) String() string {
	switch o {
	case StartAccepted:
		return "taken"
	case StartUnanswered:
		return "no answer"
	case StartNotSent:
		return "the start was not sent"
	case StartFenced:
		return "a call with a higher fencing token has overtaken the start"
	case StartSuperseded:
		return "the attempt was stopped or has ended"
	case StartLeaseExpired:
		return "the lease was over"
	case StartNoRoom:
		return "the worker has no room"
	case StartStaleTicket:
		return "the ticket was not valid"
	case StartRefused:
		return "the worker is unhealthy"
	case StartInvalid:
		return "the worker can't read the order"
	case StartWrongIncarnation:
		return "another life of the worker answered"
	}
	return "unknown"
}
