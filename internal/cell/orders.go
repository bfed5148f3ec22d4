package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Timing of orders.
const (
	orderRetry      = 10 * time.Millisecond  // before an order without an answer is sent again
	maxOrderRetry   = 600 * time.Millisecond // longest pause between two tries of an order
	stopRetry       = 400 * time.Millisecond // after which a stop without an end is sent again
	maxStartTries   = 4                      // tries of a start before the run is stopped instead
	fullPace        = 100                    // percent
	roomRefusedWait = 100 * time.Millisecond // before a task that found no room is placed again
)

// StartOutcome is what is known after a start was sent.
type StartOutcome int

// Outcomes of a start.
const (
	StartTaken       StartOutcome = iota // the worker has the run
	StartUnknown                         // no answer
	StartFenced                          // a newer owner has spoken to the worker
	StartSuperseded                      // the run is not higher than one that was stopped or ended there
	StartLate                            // its lease was over
	StartNoRoom                          // the worker refused for want of room
	StartStaleTicket                     // the ticket was not valid
	StartRefused                         // the worker is unhealthy and has done nothing
	StartInvalid                         // the worker can't read the order
	StartWrongLife                       // another life of the worker answered
)

// sendStart emits the start of a run whose record is written.
func (c *Cell) sendStart(r *run) {
	w, t := r.worker, r.task
	r.phase = runOrdered
	c.effects.Starts = append(c.effects.Starts, Start{
		Worker: w.ref(), Task: t.id(), Attempt: r.attempt, Payload: t.step.job.spec.Payload,
		LeaseUntil: c.renewal(w), Checkpoint: r.checkpoint, Ticket: r.ticket, Try: r.orderTry,
	})
}

// StartAnswered takes the outcome of a start.
func (c *Cell) StartAnswered(s *Start, outcome StartOutcome, clockMs int64) {
	w := c.lookup(s.Worker)
	if w == nil {
		return
	}
	if outcome == StartWrongLife {
		c.endLife(w)
		return
	}
	w.readClock(c.now, clockMs)
	r := w.run(s.Task.String(), s.Attempt)
	if r == nil {
		return
	}
	switch outcome {
	case StartTaken:
		c.startTaken(r)
	case StartUnknown:
		c.startUnknown(r)
	case StartSuperseded:
		// An end of the run is listed, or a stop of it came first.
		if r.phase == runOrdered {
			r.phase = runStopping
			r.confirmed = c.nextSeq()
		}
	default:
		c.startRefused(r, outcome)
	}
}

func (c *Cell) startTaken(r *run) {
	if r.phase == runOrdered {
		c.activate(r)
		return
	}
	if r.confirmed == 0 {
		r.confirmed = c.nextSeq()
	}
}

// startUnknown sends the start again: it has no effect if the first one was
// carried out. After several tries the run is stopped, which also keeps a start
// that is still on its way from being carried out.
func (c *Cell) startUnknown(r *run) {
	if r.phase != runOrdered {
		return
	}
	c.lossAt = c.now
	r.orderTry++
	r.worker.unanswered = append(r.worker.unanswered, unanswered{name: r.name, attempt: r.attempt, until: c.now + unansweredLimit})
	if r.orderTry >= maxStartTries {
		c.noteUnanswered(r.worker)
		c.stopRun(r, "the start was not answered")
		return
	}
	r.retryAt = c.now + min(orderRetry<<r.orderTry, maxOrderRetry)
}

// startRefused ends a run that the worker has not started and will not start. A
// refusal that answers a repeated start says nothing about the earlier ones, so
// the run is stopped then.
func (c *Cell) startRefused(r *run, outcome StartOutcome) {
	t := r.task
	if r.orderTry > 0 && outcome != StartFenced {
		c.stopRun(r, "the start was refused after one that was not answered")
		return
	}
	switch outcome {
	case StartStaleTicket:
		c.stats.StaleTickets++
		t.step.dropTicket(r.worker)
	case StartNoRoom:
		c.stats.RoomRefused++
		r.worker.health.pause(c.now, roomRefusedWait)
	case StartRefused:
		c.noteRefused(r.worker)
	}
	if !t.step.spec.Gang {
		t.notBefore = c.now
	}
	c.logRun(event.StartRefused, r, "reason", outcome.String(), "tries", r.orderTry+1)
	c.runEnded(r, EndStopped, r.checkpoint)
}

// stopRun has a run stopped. A run whose record is being written ends at once.
func (c *Cell) stopRun(r *run, reason string) {
	if r.reason == "" {
		r.reason = reason
		c.logRun(event.RunStopped, r, "reason", reason)
	}
	switch r.phase {
	case runRecording, runStopping:
		if r.phase == runRecording {
			c.runEnded(r, EndStopped, r.checkpoint)
		}
	default:
		r.phase = runStopping
		c.sendStop(r)
	}
}

func (c *Cell) sendStop(r *run) {
	r.stopAt = c.now
	r.stopTry++
	c.effects.Stops = append(c.effects.Stops, Stop{Worker: r.worker.ref(), Task: r.name, Attempt: r.attempt, Try: r.stopTry - 1})
}

// StopAnswered takes the answer to a stop. The end of a run that had started is
// listed; one that had not started is refused from now on.
func (c *Cell) StopAnswered(s *Stop, answered bool, clockMs int64) {
	w := c.lookup(s.Worker)
	if w == nil || !answered {
		return
	}
	w.readClock(c.now, clockMs)
	for i := range w.unanswered {
		if u := &w.unanswered[i]; u.name == s.Task && u.attempt == s.Attempt {
			u.pending = false
		}
	}
	if r := w.run(s.Task, s.Attempt); r != nil && r.phase == runStopping && r.confirmed == 0 {
		r.confirmed = c.nextSeq() // a later report lists it, or it is not there
		if w.nextHold > c.now {
			w.nextHold = c.now
		}
	}
}

// retryOrders sends starts and stops again that had no effect yet.
func (c *Cell) retryOrders() {
	for _, w := range c.fleet {
		if w.gone || w.silentSince != 0 {
			continue
		}
		c.stopUnanswered(w)
		for _, r := range w.runs {
			switch {
			case r.phase == runOrdered && r.retryAt != 0 && c.now >= r.retryAt:
				r.retryAt = 0
				c.sendStart(r)
			case r.phase == runStopping && c.now-r.stopAt >= stopRetry:
				c.sendStop(r)
			}
		}
	}
}

// stopUnanswered stops, on a new life of a worker, the starts that were meant for
// the life before, and forgets those that can't be carried out any more.
func (c *Cell) stopUnanswered(w *worker) {
	w.unanswered = slices.DeleteFunc(w.unanswered, func(u unanswered) bool { return u.until <= c.now })
	for i := range w.unanswered {
		u := &w.unanswered[i]
		if u.pending && (u.stopAt == 0 || c.now-u.stopAt >= stopRetry) {
			u.stopAt = c.now
			c.effects.Stops = append(c.effects.Stops, Stop{Worker: w.ref(), Task: u.name, Attempt: u.attempt})
		}
	}
}

// resumePendingStop sends the stop of a run that was to be stopped before it was
// known to be there.
func (c *Cell) resumePendingStop(r *run) {
	if r.reason != "" || r.discard || ended(r.task.step.job.state) {
		r.phase = runStopping
		c.sendStop(r)
	}
}

// String returns the outcome for log lines.
func (o StartOutcome) String() string {
	switch o {
	case StartTaken:
		return "taken"
	case StartUnknown:
		return "no answer"
	case StartFenced:
		return "a newer owner has spoken to the worker"
	case StartSuperseded:
		return "the attempt was stopped or has ended"
	case StartLate:
		return "the lease was over"
	case StartNoRoom:
		return "the worker has no room"
	case StartStaleTicket:
		return "the ticket was not valid"
	case StartRefused:
		return "the worker is unhealthy"
	case StartInvalid:
		return "the worker can't read the order"
	case StartWrongLife:
		return "another life of the worker answered"
	}
	return "unknown"
}
