package requests

import (
	"context"
	"net/http"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// dispatch starts queued requests while slots are free.
func (s *controller) dispatch() {
	if !s.owned || s.queues.size == 0 || s.options.CheckLead() != nil {
		return
	}
	for {
		c := s.queues.next(s.mayStart)
		if c == nil {
			return
		}
		e := s.selectExecutor(c)
		if e == nil {
			return
		}
		s.start(c, e)
	}
}

// mayStart reports whether the allotment of team covers one more request.
// Unaccounted slots count as used.
func (s *controller) mayStart(team string) bool {
	allotment := min(s.options.Ledger.Allotment(team).Slots, s.limits[team].Slots)
	return s.activeByTeam[team]+s.unaccountedSlots(team) < allotment
}

// selectExecutor returns the usable executor with the fewest active requests,
// or nil.
func (s *controller) selectExecutor(c *inFlightRequest) *executor {
	var best *executor
	for _, e := range s.executors {
		if e.freeSlots(s.now) == 0 || e.orphans.byRequest[c.key] > 0 {
			continue
		}
		if best == nil || busier(best, e) {
			best = e
		}
	}
	return best
}

// busier reports whether a has more active requests than b; ties are ordered by
// VM ID.
func busier(a, b *executor) bool {
	x := len(a.ownActive) + a.orphans.count()
	y := len(b.ownActive) + b.orphans.count()
	if x != y {
		return x > y
	}
	return a.vm.Id > b.vm.Id
}

// attempt is one execution of a request on an executor.
type attempt struct {
	request     *inFlightRequest
	executor    *executor
	vm          api.VM
	lease       api.PartitionLease
	deadline    time.Duration // boot time
	started     time.Duration
	chargedTime time.Duration
}

func (s *controller) start(c *inFlightRequest, e *executor) {
	r := &attempt{
		request:     c,
		executor:    e,
		vm:          e.vm,
		lease:       s.lease,
		deadline:    c.deadline,
		started:     s.now,
		chargedTime: s.queues.dequeueAndCharge(c),
	}
	c.state = stateRunning
	s.options.Metrics.started(c.queue.Name, s.now-c.arrived)
	e.ownActive[c] = struct{}{}
	s.activeByTeam[c.key.team]++
	s.activeTotal++
	s.demandChanged[c.key.team] = true
	s.partition.goroutines.Add(1)
	go func() {
		defer s.partition.goroutines.Done()
		if c.queue.Idempotent {
			s.partition.execute(r)
			return
		}
		s.partition.executeOnce(r)
	}()
}

// execute runs one attempt of an idempotent request and reports its result.
func (p *Partition) execute(r *attempt) {
	ctx, cancel := p.attemptContext(r)
	defer cancel()
	answer, err := p.deliver(ctx, r)
	p.send(attemptEndedMessage{attempt: r, sent: true, err: err, status: statusOf(answer)})
	p.send(resultMessage{attempt: r, sent: true, result: r.result(answer, err)})
}

// deliver sends a request to its executor. If another request was lost in the
// meantime, the executor may have been fenced with a newer token before this
// request arrived and have refused it; the request is then sent again with that
// token.
func (p *Partition) deliver(ctx context.Context, r *attempt) (*api.ExecutorAnswer, error) {
	for {
		token := r.executor.generation.token(r.lease)
		answer, err := p.options.Executor.Execute(ctx, r.vm, r.message(token))
		if !errkind.Is(err, errkind.Fenced) || token == r.executor.generation.token(r.lease) {
			return answer, err
		}
	}
}

// attemptContext returns a context that ends at the deadline of the attempt.
func (p *Partition) attemptContext(r *attempt) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.ioContext, r.deadline-p.options.Clock.Boot())
}

func (r *attempt) message(token int) *api.ExecutorCall {
	req := r.request.req
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

func (r *attempt) result(answer *api.ExecutorAnswer, err error) result {
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

// attemptEnded frees the slot of an attempt and updates the health of its
// executor.
func (s *controller) attemptEnded(m attemptEndedMessage) {
	r := m.attempt
	e := r.executor
	c := r.request
	delete(e.ownActive, c)
	s.activeTotal--
	s.activeByTeam[c.key.team]--
	if s.activeByTeam[c.key.team] == 0 {
		delete(s.activeByTeam, c.key.team)
	}
	s.demandChanged[c.key.team] = true
	s.queues.correctCharge(c.key.team, r.chargedTime, s.now-r.started)
	s.options.Metrics.slotReleased(c.queue.Name, s.now-r.started)
	if m.sent {
		s.updateHealth(r, m)
	}
	if e.unlisted && len(e.ownActive) == 0 && s.executors[e.vm.Id] == e {
		delete(s.executors, e.vm.Id)
	}
}

// updateHealth updates the health of an executor from the result of an attempt.
func (s *controller) updateHealth(r *attempt, m attemptEndedMessage) {
	e := r.executor
	if m.err == nil {
		s.updateHealthByStatus(e, m.status)
		return
	}
	err := errkind.From(m.err)
	if err.Outcome() != errkind.NotRun {
		r.request.mayHaveRun = true
		e.orphans.addLost(s.now, r.request.key)
		e.fenceAt = min(e.fenceAt, s.now)
	}
	switch err.Kind {
	case errkind.Fenced:
		s.superseded(r.lease.Epoch)
	case errkind.ShuttingDown:
		s.setDraining(e)
	case errkind.DeadlineExceeded, errkind.Canceled, errkind.InvalidArgument:
		// Nothing was sent because of the request itself.
	case errkind.OutcomeUnknown:
		if r.deadline <= s.now {
			s.countSuspect(e, "successive requests without an answer or with a 5xx answer")
			return
		}
		s.eject(e, err)
	default:
		s.eject(e, err)
	}
}

func (s *controller) updateHealthByStatus(e *executor, code int) {
	if code >= http.StatusInternalServerError {
		s.countSuspect(e, "successive 5xx answers")
		return
	}
	e.suspects = 0
	e.recordSuccess()
}

// countSuspect counts successive 5xx answers and missed deadlines. The requests
// themselves may cause them, so an executor is ejected only after
// suspectThreshold of them, and at most half of the executors are ejected for
// this reason.
func (s *controller) countSuspect(e *executor, reason string) {
	e.suspects++
	if e.suspects < suspectThreshold || 2*(s.failingExecutors()+1) > len(s.executors) {
		return
	}
	s.eject(e, errkind.New(errkind.UpstreamFailed, "", "%d %s", e.suspects, reason))
}

func (s *controller) failingExecutors() int {
	n := 0
	for _, e := range s.executors {
		if e.failures > 0 {
			n++
		}
	}
	return n
}

func (s *controller) eject(e *executor, err error) {
	e.recordFailure(s.now)
	event.ExecutorEjected.Log(s.options.Logger, "vm", e.vm.Id, "failures", e.failures, "err", err)
}

func (s *controller) setDraining(e *executor) {
	if e.draining {
		return
	}
	e.draining = true
	e.fenceAt = s.now + drainPollInterval
	event.ExecutorDraining.Log(s.options.Logger, "vm", e.vm.Id)
}

// applyResult handles the result of an attempt. A failed idempotent request may
// be queued again.
func (s *controller) applyResult(m resultMessage) {
	c := m.attempt.request
	if s.shouldRetry(m) {
		c.state = stateQueued
		s.queues.push(c)
		s.options.Metrics.retried(c.queue.Name)
		return
	}
	if m.recording {
		c.state = stateRecording
		c.resolve(m.result)
		return
	}
	s.finish(c, m.result)
}

func (s *controller) recordDone(c *inFlightRequest) { s.finish(c, c.result) }

// shouldRetry reports whether a failed request is queued again for another
// attempt.
func (s *controller) shouldRetry(m resultMessage) bool {
	c := m.attempt.request
	if m.result.err == nil || !c.queue.Idempotent || !m.sent {
		return false
	}
	if !s.owned || c.waiters == 0 || c.deadline <= s.now {
		return false
	}
	switch errkind.From(m.result.err).Kind {
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.OutcomeUnknown, errkind.ShuttingDown:
		return s.retryBudget.TakeRetry()
	}
	return false
}
