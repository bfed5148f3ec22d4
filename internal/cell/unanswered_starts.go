package cell

import (
	"slices"
	"time"
)

// unansweredStart is a start without an answer. It may be carried out late, even by the
// next incarnation of the worker, which has the same ID.
type unansweredStart struct {
	taskName   string
	attempt    int
	try        int
	ticketed   bool          // an incarnation that starts later refuses the ticket of the start
	sentAt     time.Duration // when the call was sent
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
		taskName: r.taskName, attempt: r.attempt, try: r.startRetries, ticketed: r.ticket != "", sentAt: r.startSentAt,
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

// forgetExpiredStarts drops the unanswered starts that can no longer be carried out.
func (w *worker) forgetExpiredStarts(now time.Duration) {
	w.unansweredStarts = slices.DeleteFunc(w.unansweredStarts, func(u unansweredStart) bool { return u.until <= now })
}
