package owner

import (
	"context"
	"errors"

	"github.com/endivehill/endivehill/internal/cell"
)

// Errors that a Workers implementation returns.
var (
	ErrWrongIncarnation = errors.New("another incarnation of the worker answered")
	ErrFenced           = errors.New("the worker has been called with a higher fencing token")
)

// dispatch makes the calls that the core has decided on. Each call runs in its own
// goroutine, which reports the outcome to the control goroutine.
//
// Once the release was started, no call may grant a lease beyond the end that it records.
func (t *tenure) dispatch(e cell.Effects) {
	if t.releasing {
		e.Polls, e.Starts = nil, nil
	}
	for i := range e.Polls {
		first := t.firstContact.pollSent(e.Polls[i].Worker)
		t.runAsync(func() {
			t.pollWorker(&e.Polls[i])
			if first {
				t.enqueue(func() { t.firstContact.pending-- })
			}
		})
	}
	for i := range e.Starts {
		t.runAsync(func() { t.startTask(&e.Starts[i]) })
	}
	for i := range e.Stops {
		t.runAsync(func() { t.stopTask(&e.Stops[i]) })
	}
	for i := range e.Throttles {
		t.runAsync(func() { t.setThrottle(&e.Throttles[i]) })
	}
	for i := range e.AdviceCalls {
		go t.requestAdvice(&e.AdviceCalls[i]) // may outlast the tenure
	}
}

func (t *tenure) runAsync(f func()) {
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		f()
	}()
}

func (t *tenure) pollWorker(p *cell.Poll) {
	ctx, cancel := context.WithTimeout(t.ctx, p.Timeout+t.lagAllowance())
	defer cancel()
	report, err := t.options.Workers.Poll(ctx, p)
	switch {
	case errors.Is(err, ErrFenced):
		t.callFenced(p.Worker, p.Token, func() { t.cell.PollFailed(p.Worker, p.Seq, cell.PollOvertaken) })
	case err != nil:
		failure := pollFailure(err)
		t.enqueue(func() { t.cell.PollFailed(p.Worker, p.Seq, failure) })
	default:
		t.enqueue(func() { t.cell.ReportReceived(p.Worker, p.Seq, report) })
	}
}

// pollFailure classifies the error of a poll. A refused connection does not show that the
// process of the worker has ended: a broken link may refuse connections too.
func pollFailure(err error) cell.PollFailure {
	if errors.Is(err, ErrWrongIncarnation) {
		return cell.PollWrongIncarnation
	}
	return cell.PollUnanswered
}

// startTask sends a start, unless the process was paused for so long since the core has decided on
// it that its failure domain may be evacuated by now.
func (t *tenure) startTask(s *cell.Start) {
	if s.SendBy != 0 && t.options.Clock.Boot() > s.SendBy {
		t.enqueue(func() { t.cell.StartAnswered(s, cell.StartNotSent, 0) })
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, s.Timeout+t.lagAllowance())
	defer cancel()
	t.startTries.began(s, cancel)
	outcome, clockMs := t.options.Workers.Start(ctx, s)
	answered := func() { t.cell.StartAnswered(s, outcome, clockMs) }
	if outcome == cell.StartFenced {
		t.callFenced(s.Worker, s.Token, answered)
	} else {
		t.enqueue(answered)
	}
	t.startTries.ended(s, outcome != cell.StartUnanswered && outcome != cell.StartNotSent && outcome != cell.StartFenced)
}

func (t *tenure) stopTask(s *cell.Stop) {
	ctx, cancel := context.WithTimeout(t.ctx, s.Timeout+t.lagAllowance())
	defer cancel()
	clockMs, err := t.options.Workers.Stop(ctx, s)
	if errors.Is(err, ErrFenced) {
		t.callFenced(s.Worker, s.Token, func() { t.cell.StopOvertaken(s) })
		return
	}
	t.enqueue(func() { t.cell.StopAnswered(s, err == nil, clockMs) })
}

// callFenced handles a call that a worker has refused for its fencing token: it ends the tenure
// if a newer owner has called the worker, else overtaken handles the call.
func (t *tenure) callFenced(w cell.WorkerRef, token int, overtaken func()) {
	t.enqueue(func() {
		if !t.cell.OvertakenByOwnCall(w.ID, token) {
			t.EndTenure("a worker has been called by a newer owner")
			return
		}
		overtaken()
	})
}

func (t *tenure) setThrottle(throttle *cell.Throttle) {
	ctx, cancel := context.WithTimeout(t.ctx, throttle.Timeout+t.lagAllowance())
	defer cancel()
	if err := t.options.Workers.Throttle(ctx, throttle); err != nil {
		t.enqueue(func() { t.cell.ThrottleFailed(throttle) })
	}
}
