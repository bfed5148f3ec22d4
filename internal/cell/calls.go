package cell

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/endivehill/endivehill/internal/event"
)

// A call to a worker without an answer goes through two bounds. Once it is overdue, the
// worker counts as unresponsive, a poll or start is sent once more, and the connection is
// left. The call itself goes on until CallTimeLimit, and an answer until then is used: a
// slow worker carries out every call, and a series of short ones would never hear from it.

// CallTimeLimit is how long a call to a worker may take beyond the wait of a poll.
const CallTimeLimit = 1500 * time.Millisecond

// startConnWait is how long a start may wait for a connection in use. It leaves enough of
// CallTimeLimit for a slow round trip.
const startConnWait = 150 * time.Millisecond

// Times after which an answer is overdue, if the round trip of the worker is not longer.
const (
	shortestPollTimeout     = 350 * time.Millisecond // beyond the wait of the poll
	shortestCommandTimeout  = 150 * time.Millisecond // first try of a start or stop; workers normally answer at once
	shortestRetryTimeout    = 400 * time.Millisecond // later tries
	shortestThrottleTimeout = 300 * time.Millisecond
)

// maxPollsInFlight is the number of polls of a worker without an answer, overdue ones
// included.
const maxPollsInFlight = 3

// pendingPoll is a poll that was neither answered nor has failed.
type pendingPoll struct {
	seq          uint64
	sentAt       time.Duration
	wait         time.Duration
	token        int
	acked        int           // 0: it acknowledges no end
	ackDueAt     time.Duration // since when the ends waited for the acknowledgment; 0 if they did not
	carriesLease bool
	overdue      bool
}

// SetCallAllowance sets the time that answers of workers get beyond their timeout because
// this node handles them late.
func (c *Cell) SetCallAllowance(d time.Duration) { c.callAllowance = d }

// overdueAfter returns the time after which the answer of a worker is overdue, at least
// shortest.
func (w *worker) overdueAfter(shortest time.Duration) time.Duration {
	return w.roundTrip.timeout(shortest, CallTimeLimit)
}

// commandOverdueAfter returns the time after which the answer to a start or stop is overdue.
func (w *worker) commandOverdueAfter(try int) time.Duration {
	if try == 0 {
		return w.overdueAfter(shortestCommandTimeout)
	}
	return w.overdueAfter(shortestRetryTimeout)
}

// pollOverdueAfter returns the time after which the answer to a poll is overdue. The owner may
// handle it late.
func (c *Cell) pollOverdueAfter(w *worker, wait time.Duration) time.Duration {
	return wait + w.overdueAfter(shortestPollTimeout) + c.callAllowance
}

// startOverdueAfter is the same for a start.
func (c *Cell) startOverdueAfter(w *worker, try int) time.Duration {
	return w.commandOverdueAfter(try) + c.callAllowance
}

// pollPending reports whether a poll awaits its answer and is not overdue.
func (w *worker) pollPending() bool {
	return len(w.polls) > 0 && !w.polls[len(w.polls)-1].overdue
}

// takePoll removes a pending poll and returns it; false if it is not pending.
func (w *worker) takePoll(seq uint64) (pendingPoll, bool) {
	for i, p := range w.polls {
		if p.seq == seq {
			w.polls = append(w.polls[:i], w.polls[i+1:]...)
			return p, true
		}
	}
	return pendingPoll{}, false
}

// settlePoll removes a pending poll that was answered or has failed.
func (c *Cell) settlePoll(w *worker, seq uint64, answered bool) (pendingPoll, bool) {
	p, ok := w.takePoll(seq)
	if ok && p.carriesLease {
		w.leaseCalls.settled(c.now, answered)
	}
	return p, ok
}

// checkOverdueCalls handles the polls and starts whose answers have become overdue.
func (c *Cell) checkOverdueCalls() {
	for _, w := range c.fleet {
		if w.pollPending() {
			p := &w.polls[len(w.polls)-1]
			if c.now >= p.sentAt+c.pollOverdueAfter(w, p.wait) {
				p.overdue = true
				c.stats.OverduePolls++
				c.pollUnanswered(w)
			}
		}
		for _, r := range w.runs {
			if r.phase == runStarting && r.startSentAt != 0 && c.now >= r.startSentAt+c.startOverdueAfter(w, r.startRetries) {
				c.stats.OverdueStarts++
				c.startUnanswered(r)
			}
		}
	}
}

// pollUnanswered marks a worker as unresponsive after a poll that is overdue or has failed.
func (c *Cell) pollUnanswered(w *worker) {
	w.pollErrors++
	w.answerLostAt = c.now
	delay := pollRetryDelay
	if w.pollErrors > pollSlowAfterErrors {
		delay = slowPollRetryDelay
	}
	w.nextPoll = c.now + w.jitter(delay)
	if w.unresponsiveSince == 0 {
		w.unresponsiveSince = c.now
		c.changed = true
	}
}

// jitter varies a delay by a quarter in both directions, differently for each worker and
// try, so that the polls of many lost workers are not repeated at once.
func (w *worker) jitter(d time.Duration) time.Duration {
	const steps = 1024
	step := (xxhash.Sum64String(w.info.ID) + uint64(w.pollErrors)*steps/3) % steps
	return d*3/4 + d/2*time.Duration(step)/steps
}

// observePoll takes the time that the answer to a poll has taken. The wait of the worker is
// known only if no end has made it answer earlier.
func (c *Cell) observePoll(w *worker, p *pendingPoll, report *Report) {
	answeredEarly := len(report.Ends) > 0 && report.Ends[len(report.Ends)-1].Number > p.acked
	if p.wait > 0 && answeredEarly {
		return
	}
	w.roundTrip.observe(c.now - p.sentAt - p.wait)
}

// usableReport reports whether the answer to a poll may be used. One without a clock,
// incarnation or list, or of an earlier incarnation than the known one, proves nothing. A
// report that was made before one which has been used already proves nothing more; that is
// usual if its poll was overtaken.
func (c *Cell) usableReport(w *worker, p *pendingPoll, report *Report) bool {
	switch {
	case report.Incomplete, report.ClockMs <= 0, report.IncarnationUnixMs <= 0, report.IncarnationUnixMs < w.info.IncarnationUnixMs:
	case report.IncarnationUnixMs > w.info.IncarnationUnixMs || report.ClockMs >= w.reportClockMs:
		return true
	case w.overtaken(p):
		return false
	}
	c.stats.InvalidReports++
	c.log(event.ReportInvalid, "worker", w.info.ID, "incarnation", w.info.IncarnationUnixMs,
		"reported_incarnation", report.IncarnationUnixMs, "clock_ms", report.ClockMs, "last_clock_ms", w.reportClockMs, "incomplete", report.Incomplete)
	return false
}

// overtaken reports whether the answer to a poll is not awaited any more: it is overdue, or a
// report has arrived since the poll was sent.
func (w *worker) overtaken(p *pendingPoll) bool { return p.overdue || p.sentAt < w.reportedAt }

// workerAnswers notes that a report has arrived.
func (c *Cell) workerAnswers(w *worker, p *pendingPoll) {
	if p.overdue {
		c.stats.LateReports++
	}
	if w.unresponsiveSince != 0 && w.fenced {
		c.log(event.WorkerAnswers, "worker", w.info.ID, "unresponsive_ms", c.sinceMs(w.unresponsiveSince), "late_answer", p.overdue,
			"round_trip_ms", w.roundTrip.smoothed.Milliseconds(), "poll_errors", w.pollErrors)
	}
	w.pollErrors, w.nextPoll = 0, 0
	if w.unresponsiveSince != 0 || !w.fenced {
		w.unresponsiveSince = 0
		w.fenced = true
		c.changed = true
	}
}
