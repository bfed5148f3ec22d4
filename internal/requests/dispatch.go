package requests

import (
	"context"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// dispatch starts waiting calls while there are slots.
func (s *control) dispatch() {
	if !s.owned || s.queues.size == 0 || s.o.Lead() != nil {
		return
	}
	for {
		c := s.queues.next(s.mayStart)
		if c == nil {
			return
		}
		e := s.pick(c)
		if e == nil {
			return
		}
		s.start(c, e)
	}
}

// mayStart reports whether team has allotment for one more call. Slots that the
// team may use without this owner knowing count as used.
func (s *control) mayStart(team string) bool {
	held := min(s.o.Ledger.Held(team).Slots, s.limits[team].Slots)
	return s.active[team]+s.uncertain(team) < held
}

// pick returns the usable executor with the fewest active calls, or nil.
func (s *control) pick(c *call) *executor {
	var best *executor
	for _, e := range s.executors {
		if e.free(s.now) == 0 || e.orphans.byKey[c.key] > 0 {
			continue
		}
		if best == nil || busier(best, e) {
			best = e
		}
	}
	return best
}

// busier reports whether a should be used after b.
func busier(a, b *executor) bool {
	x := len(a.own) + a.orphans.count()
	y := len(b.own) + b.orphans.count()
	if x != y {
		return x > y
	}
	return a.vm.Id > b.vm.Id
}

// run is one execution of a call on an executor.
type run struct {
	call     *call
	executor *executor
	vm       api.VM
	lease    api.PartitionLease
	deadline time.Duration // boot time
	started  time.Duration
	charged  time.Duration
}

func (s *control) start(c *call, e *executor) {
	r := &run{
		call:     c,
		executor: e,
		vm:       e.vm,
		lease:    s.lease,
		deadline: c.deadline,
		started:  s.now,
		charged:  s.queues.started(c),
	}
	c.state = stateRunning
	s.o.Metrics.started(c.queue.Name, s.now-c.arrived)
	e.own[c] = struct{}{}
	s.active[c.key.team]++
	s.inFlight++
	s.dirty[c.key.team] = true
	s.p.goroutines.Add(1)
	go func() {
		defer s.p.goroutines.Done()
		if c.queue.Idempotent {
			s.p.execute(r)
			return
		}
		s.p.executeOnce(r)
	}()
}

// execute runs an idempotent call and reports its result.
func (p *Partition) execute(r *run) {
	ctx, cancel := p.runContext(r)
	defer cancel()
	answer, err := p.deliver(ctx, r)
	p.send(returnedMessage{run: r, sent: true, err: err, code: statusOf(answer)})
	p.send(resolvedMessage{run: r, sent: true, result: r.result(answer, err)})
}

// deliver sends a call to its executor. If another call was lost meanwhile, the
// executor may have been fenced in a new round before this one arrived; it then
// did not take it, and the call is sent again.
func (p *Partition) deliver(ctx context.Context, r *run) (*api.ExecutorAnswer, error) {
	for {
		token := r.executor.round.token(r.lease)
		answer, err := p.options.Executor.Execute(ctx, r.vm, r.message(token))
		if !errkind.Is(err, errkind.Fenced) || token == r.executor.round.token(r.lease) {
			return answer, err
		}
	}
}

// runContext returns a context that ends at the deadline of the run.
func (p *Partition) runContext(r *run) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.background, r.deadline-p.options.Clock.Boot())
}

func (r *run) message(token int) *api.ExecutorCall {
	req := r.call.req
	return &api.ExecutorCall{
		Partition:   r.lease.Partition,
		Epoch:       token,
		Team:        req.Team,
		Queue:       req.Queue,
		RequestId:   req.RequestId,
		ContentType: req.ContentType,
		Body:        req.Body,
	}
}

func (r *run) result(answer *api.ExecutorAnswer, err error) result {
	if err != nil {
		return result{err: errkind.From(err)}
	}
	return result{resp: &api.ExecuteResponse{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Vm:          r.vm.Id,
	}}
}

func statusOf(a *api.ExecutorAnswer) int {
	if a == nil {
		return 0
	}
	return a.Status
}

// returned frees the slot of a run and takes the answer into the health of its
// executor.
func (s *control) returned(m returnedMessage) {
	r := m.run
	e := r.executor
	c := r.call
	delete(e.own, c)
	s.inFlight--
	s.active[c.key.team]--
	if s.active[c.key.team] == 0 {
		delete(s.active, c.key.team)
	}
	s.dirty[c.key.team] = true
	s.queues.ended(c.key.team, r.charged, s.now-r.started)
	s.o.Metrics.returned(c.queue.Name, s.now-r.started)
	if m.sent {
		s.observe(r, m)
	}
	if e.gone && len(e.own) == 0 && s.executors[e.vm.Id] == e {
		delete(s.executors, e.vm.Id)
	}
}

// observe draws conclusions about an executor from the end of a run.
func (s *control) observe(r *run, m returnedMessage) {
	e := r.executor
	if m.err == nil {
		s.observeStatus(e, m.code)
		return
	}
	err := errkind.From(m.err)
	if err.Outcome() != errkind.NotRun {
		r.call.mayHaveRun = true
		e.orphans.lost(s.now, r.call.key)
		e.fenceAt = min(e.fenceAt, s.now)
	}
	switch err.Kind {
	case errkind.Fenced:
		s.lost(r.lease.Epoch)
	case errkind.ShuttingDown:
		s.setDraining(e)
	case errkind.DeadlineExceeded, errkind.Canceled, errkind.InvalidArgument:
		// Nothing was sent, for a reason of the request.
	case errkind.OutcomeUnknown:
		if r.deadline <= s.now {
			s.observeSuspect(e, "successive requests without an answer or with a 5xx answer")
			return
		}
		s.takeOut(e, err)
	default:
		s.takeOut(e, err)
	}
}

func (s *control) observeStatus(e *executor, code int) {
	if code >= http.StatusInternalServerError {
		s.observeSuspect(e, "successive 5xx answers")
		return
	}
	e.suspects = 0
	e.succeeded()
}

// observeSuspect counts successive 5xx answers and missed deadlines. They may be
// the fault of the requests, so it takes many to take an executor out, and at
// most half of the executors are taken out for them.
func (s *control) observeSuspect(e *executor, reason string) {
	e.suspects++
	if e.suspects < suspectRun || 2*(s.failing()+1) > len(s.executors) {
		return
	}
	s.takeOut(e, errkind.New(errkind.UpstreamFailed, "", "%d %s", e.suspects, reason))
}

func (s *control) failing() int {
	n := 0
	for _, e := range s.executors {
		if e.failures > 0 {
			n++
		}
	}
	return n
}

func (s *control) takeOut(e *executor, err error) {
	e.failed(s.now)
	event.ExecutorTakenOut.Log(s.o.Logger, "vm", e.vm.Id, "failures", e.failures, "err", err)
}

func (s *control) setDraining(e *executor) {
	if e.draining {
		return
	}
	e.draining = true
	e.fenceAt = s.now + drainPollInterval
	event.ExecutorDraining.Log(s.o.Logger, "vm", e.vm.Id)
}

// resolved takes in the result of a run. An idempotent call that failed may be
// queued again.
func (s *control) resolved(m resolvedMessage) {
	c := m.run.call
	if s.retry(m) {
		c.state = stateQueued
		s.queues.push(c)
		s.o.Metrics.retried(c.queue.Name)
		return
	}
	if m.settling {
		c.state = stateSettling
		c.resolve(m.result)
		return
	}
	s.end(c, m.result)
}

func (s *control) settled(c *call) { s.end(c, c.result) }

// retry decides whether a call goes to another executor.
func (s *control) retry(m resolvedMessage) bool {
	c := m.run.call
	if m.result.err == nil || !c.queue.Idempotent || !m.sent {
		return false
	}
	if !s.owned || c.waiters == 0 || c.deadline <= s.now {
		return false
	}
	switch errkind.From(m.result.err).Kind {
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.OutcomeUnknown, errkind.ShuttingDown:
		return s.budget.Take()
	}
	return false
}
