package owner

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// An advice call may last longer than a tenure, as when the nodes are stopped one after
// the other. So a call goes on after the end of its tenure, and its result and those with
// valid tickets are passed to the next owner.
const (
	minPassedOnCall  = 100 * time.Millisecond // shorter calls are repeated by the next owner instead
	minTicketTime    = 300 * time.Millisecond // a ticket of an earlier owner that expires within this time is not used
	passOnTimeout    = 2 * time.Second        // for the next owner to become known and to receive the results
	maxResultsPassed = 256                    // results in a message
)

const adviceSlack = 1500 * time.Millisecond // time that an advice call may take beyond its expected time

// advice is the answer of the adviser about one worker.
type advice struct {
	ticket  string // empty if the worker may not run the step
	expires time.Duration
}

// adviceResult is the answer of the adviser about workers of a step.
type adviceResult struct {
	step    string
	workers map[string]advice
}

// merge adds the answers about further workers.
func (r *adviceResult) merge(other map[string]advice) {
	for worker, a := range other {
		r.workers[worker] = a
	}
}

// tickets returns the tickets by worker.
func (r *adviceResult) tickets() map[string]string {
	out := map[string]string{}
	for worker, a := range r.workers {
		if a.ticket != "" {
			out[worker] = a.ticket
		}
	}
	return out
}

// expires returns when the first of the answers expires.
func (r *adviceResult) expires() time.Duration {
	first := time.Duration(0)
	for _, a := range r.workers {
		if first == 0 || a.expires < first {
			first = a.expires
		}
	}
	return first
}

// message encodes the result, with the validity that is left.
func (r *adviceResult) message(now time.Duration) api.AdviceResult {
	out := api.AdviceResult{Step: r.step, ValidMs: int((r.expires() - now).Milliseconds())}
	for worker, a := range r.workers {
		out.Workers = append(out.Workers, worker)
		if a.ticket != "" {
			out.Tickets = append(out.Tickets, api.WorkerTicket{Worker: worker, Ticket: a.ticket})
		}
	}
	return out
}

func adviceOf(workers []string, tickets []api.WorkerTicket, expires time.Duration) map[string]advice {
	out := make(map[string]advice, len(workers))
	for _, worker := range workers {
		out[worker] = advice{expires: expires}
	}
	for _, t := range tickets {
		out[t.Worker] = advice{t.Ticket, expires}
	}
	return out
}

// inheritedAdvice holds the answers that earlier owners have passed on.
type inheritedAdvice struct {
	clock clock.Clock

	mu    sync.Mutex
	steps map[string]map[string]advice // by step and worker
	added chan struct{}                // closed when answers are added
	use   inheritedUse
}

// inheritedUse counts what became of the answers of earlier owners since the start of a tenure.
type inheritedUse struct {
	answers       int // about one worker each, that were received
	expired       int // answers that were dropped because they had expired
	callsComplete int // calls that needed no call to the adviser
	callsPartial  int // calls that had answers about some of their workers
	callsWithout  int // calls that had none
}

// drainUse returns and clears the counts since the last call.
func (i *inheritedAdvice) drainUse() inheritedUse {
	i.mu.Lock()
	defer i.mu.Unlock()
	use := i.use
	i.use = inheritedUse{}
	return use
}

// countCall counts a call for which answers about some of the workers were inherited.
func (i *inheritedAdvice) countCall(known, missing int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case missing == 0:
		i.use.callsComplete++
	case known > 0:
		i.use.callsPartial++
	default:
		i.use.callsWithout++
	}
}

func newInheritedAdvice(c clock.Clock) *inheritedAdvice {
	return &inheritedAdvice{clock: c, steps: map[string]map[string]advice{}, added: make(chan struct{})}
}

// add adds results and drops the answers that have expired.
func (i *inheritedAdvice) add(results ...*adviceResult) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.dropExpired(i.clock.Boot())
	for _, r := range results {
		if i.steps[r.step] == nil {
			i.steps[r.step] = map[string]advice{}
		}
		maps.Copy(i.steps[r.step], r.workers)
		i.use.answers += len(r.workers)
	}
	close(i.added)
	i.added = make(chan struct{})
}

func (i *inheritedAdvice) dropExpired(now time.Duration) {
	for step, workers := range i.steps {
		before := len(workers)
		maps.DeleteFunc(workers, func(_ string, a advice) bool { return a.expires <= now })
		i.use.expired += before - len(workers)
		if len(workers) == 0 {
			delete(i.steps, step)
		}
	}
}

// take removes and returns the answers about these workers. It also returns the workers
// without an answer, and a channel that is closed when answers are added.
func (i *inheritedAdvice) take(step string, workers []string) (known map[string]advice, missing []string, added <-chan struct{}) {
	i.mu.Lock()
	defer i.mu.Unlock()
	known = map[string]advice{}
	for _, worker := range workers {
		a, ok := i.steps[step][worker]
		delete(i.steps[step], worker)
		if ok && a.expires-i.clock.Boot() >= minTicketTime {
			known[worker] = a
		} else {
			missing = append(missing, worker)
		}
	}
	return known, missing, i.added
}

// requestAdvice obtains the advice for a call of the core. If the tenure has ended
// meanwhile, it passes the result to the next owner.
func (t *tenure) requestAdvice(a *cell.AdviceCall) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), a.ExpectedTime+adviceSlack)
	defer cancel()
	t.adviceCallsMade.Add(1)
	r, err := t.obtainAdvice(ctx, a)
	t.adviceCallsEnded.Add(1)
	if err != nil {
		t.enqueue(func() { t.cell.AdviceFailed(a.ID) })
		return
	}
	passOn := a.ExpectedTime >= minPassedOnCall
	if t.ctx.Err() == nil {
		validFor := r.expires() - t.options.Clock.Boot()
		t.enqueue(func() { t.cell.AdviceAnswered(a.ID, r.tickets(), validFor) })
		if passOn {
			t.adviceResults.add(r, t.options.Clock.Boot())
		}
	} else if passOn {
		t.passOn([]*adviceResult{r})
	}
}

// obtainAdvice asks the adviser about those workers of a call about which no answer was
// inherited, and waits until there is an answer about each worker.
func (t *tenure) obtainAdvice(ctx context.Context, a *cell.AdviceCall) (*adviceResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &adviceResult{step: a.Step.String(), workers: map[string]advice{}}
	known, missing, added := t.inherited.take(r.step, a.Workers)
	t.inherited.countCall(len(known), len(missing))
	r.merge(known)
	var answers chan callResult[map[string]advice]
	for len(missing) > 0 {
		if answers == nil {
			answers = make(chan callResult[map[string]advice], 1)
			go func(workers []string) {
				out, err := t.callAdviser(ctx, a.Node, r.step, workers)
				answers <- callResult[map[string]advice]{out, err}
			}(missing)
		}
		select {
		case out := <-answers:
			if out.err != nil {
				t.inherited.add(r) // for the next call about these workers
				return nil, out.err
			}
			r.merge(out.value)
			return r, nil
		case <-added:
			known, missing, added = t.inherited.take(r.step, missing)
			r.merge(known)
		}
	}
	return r, nil
}

// callAdviser calls the adviser from a node.
func (t *tenure) callAdviser(ctx context.Context, node, step string, workers []string) (map[string]advice, error) {
	call := &api.AdviceCall{Step: step, Workers: workers}
	answer := &api.AdviceAnswer{}
	var err error
	if node == t.options.SelfAddress {
		answer, err = t.options.Adviser.Advise(ctx, call)
	} else {
		err = t.options.Peers.Call(ctx, node, api.MethodAdvise, call, answer)
	}
	if err != nil {
		return nil, err
	}
	expires := t.options.Clock.Boot() + time.Duration(answer.ValidMs)*time.Millisecond
	return adviceOf(workers, answer.Tickets, expires), nil
}

// adviceResults holds the results with valid tickets, in the order in which they came.
type adviceResults struct {
	mu   sync.Mutex
	list []keptResult
}

// keptResult is a result and the time when the first of its answers expires.
type keptResult struct {
	*adviceResult
	until time.Duration
}

func (r keptResult) valid(now time.Duration) bool { return r.until-now >= minTicketTime }

// add adds a result. It drops the oldest results that have expired: to look through all of
// them with each call would take more time the more calls there are, with its square.
func (a *adviceResults) add(r *adviceResult, now time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	expired := 0
	for expired < len(a.list) && !a.list[expired].valid(now) {
		expired++
	}
	a.list = append(slices.Delete(a.list, 0, expired), keptResult{r, r.expires()})
}

// valid returns the results that have not expired.
func (a *adviceResults) valid(now time.Duration) []*adviceResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []*adviceResult
	for _, r := range a.list {
		if r.valid(now) {
			out = append(out, r.adviceResult)
		}
	}
	return out
}

// passOn passes results to the next owner once it is known. If that fails, the next owner
// repeats the calls.
func (t *tenure) passOn(results []*adviceResult) {
	if len(results) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), passOnTimeout)
	defer cancel()
	address, self, ok := t.awaitNextOwner(ctx)
	if !ok {
		return
	}
	if self {
		t.inherited.add(results...)
		return
	}
	message := &api.AdviceResults{}
	for _, r := range results[max(0, len(results)-maxResultsPassed):] {
		message.Results = append(message.Results, r.message(t.options.Clock.Boot()))
	}
	if err := t.options.Peers.Call(ctx, address, api.MethodAdviceResults, message, &api.Empty{}); err != nil {
		event.AdviceNotPassedOn.Log(t.options.Logger, "to", address, "err", err)
		return
	}
	event.AdvicePassedOn.Log(t.options.Logger, "to", address, "epoch", t.epoch, "results", len(message.Results))
}

// logAdvice logs the calls for advice of the tenure, which has ended, and what became of the
// answers of earlier owners.
func (t *tenure) logAdvice() {
	use := t.inherited.drainUse()
	made, ended := t.adviceCallsMade.Load(), t.adviceCallsEnded.Load()
	event.TenureAdvice.Log(t.options.Logger, "epoch", t.epoch, "calls", made, "in_flight", made-ended,
		"inherited", use.answers, "inherited_expired", use.expired,
		"calls_inherited", use.callsComplete, "calls_partly_inherited", use.callsPartial, "calls_not_inherited", use.callsWithout)
}

// awaitNextOwner waits until an owner with a higher epoch is known.
func (t *tenure) awaitNextOwner(ctx context.Context) (address string, self, ok bool) {
	for {
		v, changed := t.options.View()
		if v.Epoch > t.epoch && v.Address != "" {
			return v.Address, v.Self, true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", false, false
		}
	}
}

// inheritAdvice handles the results that an earlier owner passes on.
func (o *Owner) inheritAdvice(in *api.AdviceResults) {
	results := make([]*adviceResult, len(in.Results))
	for i := range in.Results {
		r := &in.Results[i]
		expires := o.options.Clock.Boot() + time.Duration(r.ValidMs)*time.Millisecond
		results[i] = &adviceResult{r.Step, adviceOf(r.Workers, r.Tickets, expires)}
	}
	o.inherited.add(results...)
	owner := o.currentTenure.Load()
	epoch := 0
	if owner != nil {
		epoch = owner.epoch
	}
	event.AdviceReceived.Log(o.options.Logger, "results", len(results), "owner", owner != nil, "epoch", epoch)
}
