package owner

import (
	"context"
	"errors"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
)

// Errors of a Workers implementation.
var (
	ErrWrongLife = errors.New("another life of the worker answered")
	ErrNoProcess = errors.New("no process listens at the address of the worker")
	ErrFenced    = errors.New("a newer owner has spoken to the worker")
)

// dispatch carries out decisions. Each call has a goroutine of its own, which
// posts the outcome back.
func (t *tenure) dispatch(e cell.Effects) {
	for i := range e.Holds {
		t.goCall(func() { t.hold(&e.Holds[i]) })
	}
	for i := range e.Starts {
		t.goCall(func() { t.start(&e.Starts[i]) })
	}
	for i := range e.Stops {
		t.goCall(func() { t.stop(&e.Stops[i]) })
	}
	for i := range e.Paces {
		t.goCall(func() { t.pace(&e.Paces[i]) })
	}
	for i := range e.Asks {
		t.goCall(func() { t.ask(&e.Asks[i]) })
	}
}

func (t *tenure) goCall(f func()) {
	t.calls.Add(1)
	go func() {
		defer t.calls.Done()
		f()
	}()
}

func (t *tenure) hold(h *cell.Hold) {
	ctx, cancel := context.WithTimeout(t.ctx, h.Wait+holdSlack)
	defer cancel()
	report, err := t.options.Workers.Hold(ctx, t.epoch, h)
	switch {
	case errors.Is(err, ErrFenced):
		t.Drop("a worker has seen a higher epoch")
	case err != nil:
		failure := holdFailure(err)
		t.post(func() { t.cell.HoldFailed(h.Worker, h.Seq, failure) })
	default:
		t.post(func() { t.cell.HoldReported(h.Worker, h.Seq, report) })
	}
}

func holdFailure(err error) cell.HoldFailure {
	switch {
	case errors.Is(err, ErrWrongLife):
		return cell.HoldWrongLife
	case errors.Is(err, ErrNoProcess):
		return cell.HoldRefused
	}
	return cell.HoldUnanswered
}

func (t *tenure) start(s *cell.Start) {
	ctx, cancel := context.WithTimeout(t.ctx, tryTimeout(s.Try))
	defer cancel()
	outcome, clockMs := t.options.Workers.Start(ctx, t.epoch, s)
	if outcome == cell.StartFenced {
		t.Drop("a worker has seen a higher epoch")
		return
	}
	t.post(func() { t.cell.StartAnswered(s, outcome, clockMs) })
}

// tryTimeout returns how long an answer is waited for. Workers answer at once, so
// the first try is given up early; a worker that is only slow gets more time.
func tryTimeout(try int) time.Duration {
	if try == 0 {
		return orderTimeout
	}
	return repeatTimeout
}

func (t *tenure) stop(s *cell.Stop) {
	ctx, cancel := context.WithTimeout(t.ctx, tryTimeout(s.Try))
	defer cancel()
	clockMs, err := t.options.Workers.Stop(ctx, t.epoch, s)
	if errors.Is(err, ErrFenced) {
		t.Drop("a worker has seen a higher epoch")
		return
	}
	t.post(func() { t.cell.StopAnswered(s, err == nil, clockMs) })
}

func (t *tenure) pace(p *cell.Pace) {
	ctx, cancel := context.WithTimeout(t.ctx, paceTimeout)
	defer cancel()
	if err := t.options.Workers.Pace(ctx, t.epoch, p); err != nil {
		t.post(func() { t.cell.PaceFailed(p) })
	}
}

func (t *tenure) ask(a *cell.Ask) {
	ctx, cancel := context.WithTimeout(t.ctx, a.Cost+askSlack)
	defer cancel()
	call := &api.AdviceCall{Step: a.Step.String(), Workers: a.Workers}
	var answer *api.AdviceAnswer
	var err error
	if a.Asker == t.options.Self {
		answer, err = t.options.Adviser.Advise(ctx, call)
	} else {
		answer = &api.AdviceAnswer{}
		err = t.options.Peers.Call(ctx, a.Asker, api.MethodAdvise, call, answer)
	}
	if err != nil {
		t.post(func() { t.cell.AskFailed(a.ID) })
		return
	}
	tickets := make(map[string]string, len(answer.Tickets))
	for _, ticket := range answer.Tickets {
		tickets[ticket.Worker] = ticket.Ticket
	}
	validFor := time.Duration(answer.ValidMs) * time.Millisecond
	t.post(func() { t.cell.Advised(a.ID, tickets, validFor) })
}
