package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/event"
	"github.com/endivehill/endivehill/internal/work"
)

const (
	minPassedOnCall = 100 * time.Millisecond  // shorter calls are repeated by the next owner instead
	minTicketTime   = 300 * time.Millisecond  // a ticket of an earlier owner that expires within this time is not used
	adviceSlack     = 1500 * time.Millisecond // time that an advice call may take beyond its expected time
)

// adviceResult is the answer of the adviser about workers of a step.
type adviceResult struct {
	step    work.StepID
	workers []string
	tickets []api.WorkerTicket // for those of the workers that may run the step
	// answeredAt is the boot time at which this node has received the answer, and expires the one
	// at which the tickets expire.
	answeredAt, expires time.Duration
}

// newAdviceResult returns the result of a call that the adviser has answered now.
func newAdviceResult(step work.StepID, workers []string, answer *api.AdviceAnswer, now time.Duration) *adviceResult {
	return &adviceResult{step, workers, answer.Tickets, now, now + validity(answer.ValidMs)}
}

// maxValidity bounds the validity of tickets, so that results are not kept for long.
const maxValidity = 10 * time.Second

// validity converts a validity in milliseconds.
func validity(ms int) time.Duration {
	return time.Duration(min(max(0, ms), int(maxValidity.Milliseconds()))) * time.Millisecond
}

// valid reports whether a next owner can use the tickets.
func (r *adviceResult) valid(now time.Duration) bool { return r.expires-now >= minTicketTime }

// ticketsByWorker returns the tickets by worker.
func (r *adviceResult) ticketsByWorker() map[string]string {
	out := make(map[string]string, len(r.tickets))
	for _, t := range r.tickets {
		out[t.Worker] = t.Ticket
	}
	return out
}

// message encodes the result, with the validity that is left.
func (r *adviceResult) message(now time.Duration) api.AdviceResult {
	return api.AdviceResult{
		Step: r.step.String(), Workers: r.workers, Tickets: r.tickets, ValidMs: int((r.expires - now).Milliseconds()),
	}
}

// validResults returns the results that a next owner can use.
func validResults(results []*adviceResult, now time.Duration) []*adviceResult {
	var out []*adviceResult
	for _, r := range results {
		if r.valid(now) {
			out = append(out, r)
		}
	}
	return out
}

// latestResults returns those of the results that are valid for longest, at most maxResultsPassed,
// in the order in which they expire.
func latestResults(results []*adviceResult) []*adviceResult {
	sorted := slices.SortedStableFunc(slices.Values(results), func(a, b *adviceResult) int { return cmp.Compare(a.expires, b.expires) })
	return sorted[max(0, len(sorted)-maxResultsPassed):]
}

// validFor returns how long a next owner can use at least one of the results.
func validFor(results []*adviceResult, now time.Duration) time.Duration {
	var longest time.Duration
	for _, r := range results {
		longest = max(longest, r.expires-now-minTicketTime)
	}
	return longest
}

// decodeAdviceResults decodes the results in a message that arrives now. It leaves out those
// that are malformed and returns the error of the last one.
func decodeAdviceResults(in *api.AdviceResults, now time.Duration) (results []*adviceResult, malformed error) {
	results = make([]*adviceResult, 0, len(in.Results))
	for _, r := range in.Results {
		step, err := work.ParseStepID(r.Step)
		if err != nil {
			malformed = err
			continue
		}
		results = append(results, &adviceResult{step, r.Workers, r.Tickets, now, now + validity(r.ValidMs)})
	}
	return results, malformed
}

// requestAdvice obtains the advice for a call of the core. If the tenure has ended
// meanwhile, it passes the result to the next owner.
func (t *tenure) requestAdvice(a *cell.AdviceCall) {
	limit := a.ExpectedTime + adviceSlack
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), limit)
	defer cancel()
	began := t.options.Clock.Boot()
	t.adviceUse.callsMade.Add(1)
	r, err := t.callAdviser(ctx, a)
	t.adviceUse.callsEnded.Add(1)
	if err != nil || r.answeredAt-began > limit {
		t.enqueue(func() { t.cell.AdviceFailed(a.ID) })
		return
	}
	validFor := r.expires - t.options.Clock.Boot()
	t.enqueue(func() { t.cell.AdviceAnswered(a.ID, r.ticketsByWorker(), validFor) })
	if a.ExpectedTime >= minPassedOnCall {
		t.keepResults(r)
	}
}

// callAdviser calls the adviser from the node of a call.
func (t *tenure) callAdviser(ctx context.Context, a *cell.AdviceCall) (*adviceResult, error) {
	call := &api.AdviceCall{Step: a.Step.String(), Workers: a.Workers}
	if a.ExpectedTime >= minPassedOnCall {
		call.Epoch = t.epoch
	}
	answer := &api.AdviceAnswer{}
	var err error
	if a.Node == t.options.SelfAddress {
		answer, err = t.options.Adviser.Advise(ctx, call)
	} else {
		err = t.options.Peers.Call(ctx, a.Node, api.MethodAdvise, call, answer)
	}
	if err != nil {
		return nil, err
	}
	return newAdviceResult(a.Step, a.Workers, answer, t.options.Clock.Boot()), nil
}

// keepResults keeps results for the next owner, or passes them on if the tenure has ended. It
// returns those that are new.
func (t *tenure) keepResults(results ...*adviceResult) []*adviceResult {
	added, open := t.adviceResults.add(t.options.Clock.Boot(), results...)
	if !open {
		t.relay.passOnFirst(results, t.epoch)
	}
	return added
}

// receiveResults gives results of earlier owners to the core, and keeps them for the next owner.
func (t *tenure) receiveResults(results []*adviceResult) {
	received := t.keepResults(results...)
	if len(received) == 0 {
		return
	}
	t.adviceUse.inherited.Add(int64(len(received)))
	t.enqueue(func() {
		for _, r := range received {
			t.cell.AdviceInherited(&cell.InheritedAdvice{Step: r.step, Workers: r.workers, Tickets: r.ticketsByWorker(), Expires: r.expires})
		}
	})
}

// logAdvice logs the use of advice in the tenure, which has ended.
func (t *tenure) logAdvice() {
	made, ended := t.adviceUse.callsMade.Load(), t.adviceUse.callsEnded.Load()
	use := t.cell.InheritedAdviceUse()
	event.TenureAdvice.Log(t.options.Logger, "epoch", t.epoch, "calls", made, "in_flight", made-ended, "inherited", t.adviceUse.inherited.Load(),
		"applied", use.Applied, "unknown_step", use.UnknownStep, "no_worker", use.NoWorker)
}
