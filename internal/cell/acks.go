package cell

import (
	"slices"
	"time"
)

// Timing of acknowledgments.
const (
	pollIntervalWithheld = 50 * time.Millisecond   // between polls while an acknowledgment waits for the answer to a start
	pollIntervalInDoubt  = 20 * time.Millisecond   // the same while a report is enough
	maxAckWait           = 1500 * time.Millisecond // after it no start is sent until the ends are acknowledged
)

// maxEndsWithheld is the number of ends up to which an acknowledgment waits for starts that may
// be carried out late. A report has to have room for the ends that follow.
const maxEndsWithheld = maxEndsListed / 2

// ackToSend returns the number up to which the next poll acknowledges ends; 0 for none. A
// number that the worker has received is not sent again.
func (c *Cell) ackToSend(w *worker) int {
	if w.acked <= w.ackReceived || w.unresponsiveSince != 0 || c.ackDoubt(w) != noDoubt {
		return 0
	}
	return w.acked
}

// noteAckSent notes in a poll, and for its worker, whether it acknowledges ends.
func (c *Cell) noteAckSent(w *worker, p *pendingPoll) {
	if p.acked == 0 {
		if w.acked > w.ackReceived && w.ackDueAt == 0 {
			w.ackDueAt = c.now
		}
		return
	}
	w.acksUnanswered++
	p.ackDueAt = w.ackDueAt
	if c.ackOverdue(w) {
		p.wait = 0 // starts wait for its answer
	} else {
		w.ackDueAt = 0
	}
}

// ackAnswered notes that the incarnation has carried out a poll.
func (w *worker) ackAnswered(p *pendingPoll) {
	if p.acked == 0 {
		return
	}
	w.ackReceived = max(w.ackReceived, p.acked)
	w.ackDueAt = 0
	if p.token == w.token {
		w.acksUnanswered--
	}
}

// ackOvertaken notes that the incarnation has refused a poll, and so its acknowledgment.
func (w *worker) ackOvertaken(p *pendingPoll) {
	if w.ackDueAt == 0 {
		w.ackDueAt = p.ackDueAt
	}
}

// ackOverdue reports whether ends have not been acknowledged for long, because there was always
// a start in doubt or a later call overtook the poll.
func (c *Cell) ackOverdue(w *worker) bool { return w.ackDueAt != 0 && c.now-w.ackDueAt >= maxAckWait }

// holdsStarts reports whether starts on a worker wait until its ends are acknowledged.
func (c *Cell) holdsStarts(w *worker) bool {
	return c.ackOverdue(w) && w.unresponsiveSince == 0 && (c.startDoubt(w) != noDoubt || w.ackPending())
}

// ackPending reports whether a poll with an acknowledgment awaits its answer.
func (w *worker) ackPending() bool {
	return slices.ContainsFunc(w.polls, func(p pendingPoll) bool { return p.acked > 0 && !p.overdue })
}

// sendHeldStarts sends the starts that are no longer held.
func (c *Cell) sendHeldStarts() {
	held := c.heldStarts
	c.heldStarts = nil
	for _, r := range held {
		if !r.ended && r.phase == runRecording {
			c.startRecorded(r)
		}
	}
}

// pollInDoubt polls a worker whose acknowledgment waits. It lists its ends again in each
// answer, so the polls have no wait.
func (c *Cell) pollInDoubt(w *worker, doubt startDoubt) {
	interval := pollIntervalWithheld
	if doubt == doubtUntilReport {
		interval = pollIntervalInDoubt
	}
	if c.now-w.pollSent >= interval {
		c.sendPoll(w, 0)
	}
}
