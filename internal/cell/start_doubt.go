package cell

import "time"

// startDoubt tells whether a later incarnation may carry out a start that was sent to a worker,
// or may have done so. That a start was answered does not tell by which incarnation, unless the
// clock in the answer does: the clock of an incarnation starts with it.
type startDoubt int

const (
	noDoubt          startDoubt = iota
	doubtUntilReport            // a report of this incarnation settles it
	doubtUntilAnswer            // the answer to the start is awaited
	doubtUntilExpiry            // only the time after which no call is carried out settles it
)

// startDoubt returns the doubt about the starts that are settled soon.
func (c *Cell) startDoubt(w *worker) startDoubt {
	doubt := noDoubt
	for _, r := range w.runs {
		switch {
		case r.startSentAt != 0:
			return doubtUntilAnswer
		case r.inDoubtSeq > w.reportSeq:
			doubt = doubtUntilReport
		}
	}
	for i := range w.unansweredStarts {
		if u := &w.unansweredStarts[i]; u.ticketed && u.until > c.now && u.sentAt >= w.reportPollSentAt {
			doubt = doubtUntilReport
		}
	}
	return doubt
}

// ackDoubt returns the doubt for which the ends of a worker are not acknowledged.
func (c *Cell) ackDoubt(w *worker) startDoubt {
	if doubt := c.startDoubt(w); doubt != noDoubt {
		return doubt
	}
	if w.processedEnd-w.ackReceived <= maxEndsWithheld && c.lateStartMayArrive(w) {
		return doubtUntilExpiry
	}
	return noDoubt
}

// lateStartMayArrive reports whether a later incarnation may carry out a start without an
// answer. It refuses the ticket of one that was sent before this incarnation was last heard of.
func (c *Cell) lateStartMayArrive(w *worker) bool {
	if c.now < w.earlierStartsUntil {
		return true
	}
	for i := range w.unansweredStarts {
		if u := &w.unansweredStarts[i]; !u.ticketed && u.until > c.now {
			return true
		}
	}
	return false
}

// clockMargin allows for the resolution of the clocks in startedByThisIncarnation.
const clockMargin = 100 * time.Millisecond

// startedByThisIncarnation reports whether the clock in the answer to a start shows that no
// later incarnation has carried it out: one that has started since the last report was made
// has a lower reading.
func (c *Cell) startedByThisIncarnation(w *worker, clockMs int64) bool {
	return w.reportSeq != 0 && time.Duration(clockMs)*time.Millisecond > c.now-w.reportPollSentAt+clockMargin
}

// noteEarlierStarts notes that an earlier owner has started a run on a worker, and may have a
// start of it on its way, of which a later incarnation would not refuse the ticket.
func (c *Cell) noteEarlierStarts(w *worker) {
	w.earlierStartsUntil = max(w.earlierStartsUntil, c.opts.PriorGrantsEnd+lateCallLimit)
}

// noteEarlierStart does so for a run whose end is listed.
func (c *Cell) noteEarlierStart(w *worker, r *run, workID string) {
	if (r == nil || !r.startedHere) && !c.needsTicket(workID) {
		c.noteEarlierStarts(w)
	}
}

// needsTicket reports whether the starts of a work carry a ticket.
func (c *Cell) needsTicket(workID string) bool {
	if aw := c.works[workID]; aw != nil {
		return aw.queue.Advice != nil
	}
	q := c.config.Queues[c.finished[workID].queue]
	return q != nil && q.Advice != nil
}
