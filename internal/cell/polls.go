package cell

import (
	"cmp"
	"slices"
	"time"
)

// Timing of polls.
const (
	pollWait               = time.Second            // how long a worker waits for an end before it answers
	pollWaitWithoutLease   = 50 * time.Millisecond  // the same while a worker that responds is granted no lease
	maxLeaseWait           = 300 * time.Millisecond // after a report a poll waits for as long until it may carry a lease
	pollWaitAfterLoss      = 250 * time.Millisecond // the same while answers are being lost
	answerLossWindow       = 3 * time.Second        // pollWaitAfterLoss applies this long after a lost answer
	workersPerLoss         = 64                     // with one lost answer in this many workers, pollWaitAfterLoss applies to all
	pollRetryDelay         = 50 * time.Millisecond  // before the next poll after an error
	slowPollRetryDelay     = 600 * time.Millisecond // after more than pollSlowAfterErrors errors in a row
	pollSlowAfterErrors    = 4                      // errors in a row
	clockRefreshInterval   = 30 * time.Second       // between polls of an idle worker; leases get shorter as the reading of its clock gets older
	pollIntervalUnrecorded = 800 * time.Millisecond // between polls while ends wait for their record to be written
	maxEndsListed          = 500                    // a report lists at most this many ends
	maxFirstPolls          = 96                     // first polls of workers that wait for an answer at a time
)

// sendFirstPolls polls workers that have not answered this owner yet, those with runs first.
// The number in flight is limited: a new owner of a large cell can't open connections to all
// workers within the time limit of a poll, and would repeat them all.
func (c *Cell) sendFirstPolls() {
	free := maxFirstPolls
	var due []*worker
	for _, w := range c.fleet {
		switch {
		case w.fenced || w.ended || w.info.Address == "":
		case w.pollPending():
			free--
		case c.now >= w.nextPoll && len(w.polls) < maxPollsInFlight:
			due = append(due, w)
		}
	}
	if free < len(due) {
		slices.SortStableFunc(due, func(a, b *worker) int { return cmp.Compare(b.firstPollRank(), a.firstPollRank()) })
	}
	for _, w := range due[:min(max(free, 0), len(due))] {
		c.sendPoll(w, 0)
	}
}

// firstPollRank ranks workers for their first poll: those with runs, whose leases must be
// renewed, before idle ones, and in both groups those that did not answer before last.
func (w *worker) firstPollRank() int {
	rank := 0
	if len(w.runs) > 0 {
		rank += 2
	}
	if w.pollErrors == 0 {
		rank++
	}
	return rank
}

// sendDuePolls emits the polls that are due.
func (c *Cell) sendDuePolls() {
	c.sendFirstPolls()
	lossy := c.answersAreLost()
	for _, w := range c.fleet {
		if w.pollPending() || len(w.polls) >= maxPollsInFlight || w.ended || !w.fenced || c.now < w.nextPoll || w.info.Address == "" {
			continue
		}
		if c.leaseIsAwaited(w) {
			continue
		}
		doubt := noDoubt
		if w.acked > w.ackReceived {
			doubt = c.ackDoubt(w)
		}
		switch {
		case doubt != noDoubt:
			c.pollInDoubt(w, doubt)
		case w.acked < w.processedEnd: // ends wait for their record, so a poll only renews the lease
			if c.now-w.pollSent >= pollIntervalUnrecorded {
				c.sendPoll(w, 0)
			}
		case len(w.runs) > 0 || len(w.unknownRuns) > 0:
			c.sendPoll(w, c.pollWait(w, lossy))
		case w.ackReceived < w.acked, w.unresponsiveSince != 0, c.now-w.clockAt >= clockRefreshInterval:
			c.sendPoll(w, 0)
		}
	}
}

// leaseIsAwaited reports whether the next poll of a worker that responds again waits, because it may
// carry a lease soon. On a slow link the lease would wait for the answer to a poll without one.
func (c *Cell) leaseIsAwaited(w *worker) bool {
	return c.leaseEndMayBeRecorded(w) && !w.isLost() && c.now-w.reportedAt < maxLeaseWait
}

// pollWait returns how long a worker may wait for an end before it answers. While answers
// of this worker, or of many, are being lost the wait is short, because a lost answer is
// detected only after it. An unresponsive worker answers at once: only the poll after that
// extends its lease. So does the one after the end of its leases is no longer recorded.
func (c *Cell) pollWait(w *worker, lossy bool) time.Duration {
	if w.unresponsiveSince != 0 {
		return 0
	}
	if c.leaseEndMayBeRecorded(w) {
		return pollWaitWithoutLease
	}
	if lossy || c.lostAnswer(w) {
		return pollWaitAfterLoss
	}
	return pollWait
}

// lostAnswer reports whether a call to a worker had no answer within answerLossWindow.
func (c *Cell) lostAnswer(w *worker) bool {
	return w.answerLostAt != 0 && c.now-w.answerLostAt < answerLossWindow
}

// answersAreLost reports whether answers of so many workers are being lost that the network
// or this node is the likely cause. Single losses are usual in a large cell, and frequent
// polls of all workers would take most of the time of the owner.
func (c *Cell) answersAreLost() bool {
	lost := 0
	for _, w := range c.fleet {
		if c.lostAnswer(w) {
			lost++
		}
	}
	return lost > 0 && lost*workersPerLoss >= len(c.fleet)
}

func (c *Cell) sendPoll(w *worker, wait time.Duration) {
	w.pollSent = c.now
	lease := c.pollLease(w)
	p := pendingPoll{seq: c.nextSeq(), sentAt: c.now, wait: wait, token: w.token, acked: c.ackToSend(w), carriesLease: lease != 0}
	c.noteAckSent(w, &p)
	if p.carriesLease {
		w.leaseCalls.sent()
	}
	w.polls = append(w.polls, p)
	c.effects.Polls = append(c.effects.Polls, Poll{
		Worker: w.ref(), Seq: p.seq, Token: p.token, LeaseUntil: lease, AckedThrough: p.acked, Wait: p.wait,
		OverdueAfter: c.pollOverdueAfter(w, p.wait), Timeout: p.wait + CallTimeLimit,
	})
}

// unansweredAck is a poll without an answer that acknowledges ends. The worker, or its next
// incarnation, may carry it out late.
type unansweredAck struct {
	number int
	sentAt time.Duration // 0 if there is none
}

// noteUnansweredAck notes a poll that has no answer.
func (w *worker) noteUnansweredAck(p *pendingPoll) {
	if p.acked > 0 {
		w.unansweredAck = unansweredAck{p.acked, p.sentAt}
	}
}

// lastUnansweredAck returns the last poll with an acknowledgment that has no answer, also one
// in flight.
func (w *worker) lastUnansweredAck() unansweredAck {
	for i := len(w.polls) - 1; i >= 0; i-- {
		if p := &w.polls[i]; p.acked > 0 {
			return unansweredAck{p.acked, p.sentAt}
		}
	}
	return w.unansweredAck
}
