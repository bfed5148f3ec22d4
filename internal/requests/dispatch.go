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
func (c *controller) dispatch() {
	if !c.owned || c.queued.size == 0 || c.options.CheckLead() != nil {
		return
	}
	for {
		req := c.queued.next(c.mayStart)
		if req == nil {
			return
		}
		e := c.selectExecutor(req)
		if e == nil {
			return
		}
		c.start(req, e)
	}
}

// mayStart reports whether the allotment of team covers one more request.
// Unaccounted slots count as used.
func (c *controller) mayStart(team string) bool {
	allotment := min(c.options.Ledger.Allotment(team).Slots, c.limits[team].Slots)
	return c.activeByTeam[team]+c.unaccountedSlots(team) < allotment
}

// selectExecutor returns the usable executor with the fewest active requests,
// or nil.
func (c *controller) selectExecutor(req *inFlightRequest) *executor {
	var best *executor
	for _, e := range c.executors {
		if e.freeSlots(c.now) == 0 || e.orphans.byRequest[req.key] > 0 {
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
	started     time.Duration // boot time
	chargedTime time.Duration // slot time that the team was charged at the start
}

func (c *controller) start(req *inFlightRequest, e *executor) {
	a := &attempt{
		request:     req,
		executor:    e,
		vm:          e.vm,
		lease:       c.lease,
		deadline:    req.deadline,
		started:     c.now,
		chargedTime: c.queued.dequeueAndCharge(req),
	}
	req.state = stateRunning
	c.options.Metrics.started(req.queue.Name, c.now-req.arrived)
	e.ownActive[req] = struct{}{}
	c.activeByTeam[req.key.team]++
	c.activeTotal++
	c.demandChanged[req.key.team] = true
	c.partition.goroutines.Add(1)
	go func() {
		defer c.partition.goroutines.Done()
		if req.queue.Idempotent {
			c.partition.execute(a)
			return
		}
		c.partition.executeOnce(a)
	}()
}

// execute runs one attempt of an idempotent request and reports its result.
func (p *Partition) execute(a *attempt) {
	ctx, cancel := p.attemptContext(a)
	defer cancel()
	answer, err := p.deliver(ctx, a)
	p.send(attemptEndedMessage{attempt: a, sent: true, err: err, status: statusOf(answer)})
	p.send(resultMessage{attempt: a, sent: true, result: a.result(answer, err)})
}

// deliver sends a request to its executor. If another request was lost in the
// meantime, the executor may have been fenced with a newer token before this
// request arrived and have refused it; the request is then sent again with that
// token.
func (p *Partition) deliver(ctx context.Context, a *attempt) (*api.ExecutorAnswer, error) {
	for {
		token := a.executor.generation.token(a.lease)
		answer, err := p.options.Executor.Execute(ctx, a.vm, a.executorCall(token))
		if !errkind.Is(err, errkind.Fenced) || token == a.executor.generation.token(a.lease) {
			return answer, err
		}
	}
}

// attemptContext returns a context that ends at the deadline of the attempt.
func (p *Partition) attemptContext(a *attempt) (context.Context, context.CancelFunc) {
	return context.WithTimeout(p.ioContext, a.deadline-p.options.Clock.Boot())
}

func (a *attempt) executorCall(token int) *api.ExecutorCall {
	req := a.request.req
	return &api.ExecutorCall{
		Partition:   a.lease.Partition,
		Epoch:       token,
		Team:        req.Team,
		Queue:       req.Queue,
		RequestId:   req.RequestId,
		ContentType: req.ContentType,
		Body:        req.Body,
	}
}

func (a *attempt) result(answer *api.ExecutorAnswer, err error) result {
	if err != nil {
		return result{err: errkind.From(err)}
	}
	return result{resp: &api.ExecuteResponse{
		Status:      answer.Status,
		ContentType: answer.ContentType,
		Body:        answer.Body,
		Vm:          a.vm.Id,
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
func (c *controller) attemptEnded(m attemptEndedMessage) {
	a := m.attempt
	e := a.executor
	req := a.request
	delete(e.ownActive, req)
	c.activeTotal--
	c.activeByTeam[req.key.team]--
	if c.activeByTeam[req.key.team] == 0 {
		delete(c.activeByTeam, req.key.team)
	}
	c.demandChanged[req.key.team] = true
	c.queued.correctCharge(req.key.team, a.chargedTime, c.now-a.started)
	c.options.Metrics.slotReleased(req.queue.Name, c.now-a.started)
	if m.sent {
		c.updateHealth(a, m)
	}
	if e.unlisted && len(e.ownActive) == 0 && c.executors[e.vm.Id] == e {
		delete(c.executors, e.vm.Id)
	}
}

// updateHealth updates the health of an executor from the result of an attempt.
func (c *controller) updateHealth(a *attempt, m attemptEndedMessage) {
	e := a.executor
	if m.err == nil {
		c.updateHealthByStatus(e, m.status)
		return
	}
	err := errkind.From(m.err)
	if err.Outcome() != errkind.NotRun {
		a.request.mayHaveRun = true
		c.addLost(e, a.request.key)
	}
	switch err.Kind {
	case errkind.Fenced:
		c.superseded(a.lease.Epoch)
	case errkind.ShuttingDown:
		c.setDraining(e)
	case errkind.DeadlineExceeded, errkind.Canceled, errkind.InvalidArgument:
		// The request was not sent, for a reason that does not concern the executor.
	case errkind.OutcomeUnknown:
		if a.deadline <= c.now {
			c.countSuspectResult(e, "successive requests without an answer or with a 5xx answer")
			return
		}
		c.eject(e, err)
	default:
		c.eject(e, err)
	}
}

// addLost records that the answer to a request on an executor was lost. If its VM left the
// list and came back during the request, the slot belongs to the present executor.
func (c *controller) addLost(e *executor, key requestKey) {
	if current := c.executors[e.vm.Id]; current != nil {
		e = current
	}
	e.orphans.addLost(c.now, key)
	e.fenceAt = min(e.fenceAt, c.now)
}

func (c *controller) updateHealthByStatus(e *executor, code int) {
	if code >= http.StatusInternalServerError {
		c.countSuspectResult(e, "successive 5xx answers")
		return
	}
	e.suspectResults = 0
	e.recordSuccess()
}

// countSuspectResult counts successive 5xx answers and missed deadlines. The requests
// themselves may cause them, so an executor is ejected only after
// suspectThreshold of them, and only if no more than half of the executors are
// failing then.
func (c *controller) countSuspectResult(e *executor, reason string) {
	e.suspectResults++
	if e.suspectResults < suspectThreshold || 2*(c.failingExecutors()+1) > len(c.executors) {
		return
	}
	c.eject(e, errkind.New(errkind.UpstreamFailed, "", "%d %s", e.suspectResults, reason))
}

func (c *controller) failingExecutors() int {
	n := 0
	for _, e := range c.executors {
		if e.failures > 0 {
			n++
		}
	}
	return n
}

func (c *controller) eject(e *executor, err error) {
	e.recordFailure(c.now)
	event.ExecutorEjected.Log(c.options.Logger, "vm", e.vm.Id, "failures", e.failures, "err", err)
}

func (c *controller) setDraining(e *executor) {
	if e.draining {
		return
	}
	e.draining = true
	e.fenceAt = c.now + drainPollInterval
	event.ExecutorDraining.Log(c.options.Logger, "vm", e.vm.Id)
}

// applyResult handles the result of an attempt. A failed idempotent request may
// be queued again.
func (c *controller) applyResult(m resultMessage) {
	req := m.attempt.request
	if c.shouldRetry(m) {
		req.state = stateQueued
		c.queued.push(req)
		c.options.Metrics.retried(req.queue.Name)
		return
	}
	if m.recording {
		req.state = stateRecording
		req.resolve(m.result)
		return
	}
	c.finish(req, m.result)
}

func (c *controller) recordDone(req *inFlightRequest) { c.finish(req, req.result) }

// shouldRetry reports whether a failed request is queued again for another
// attempt.
func (c *controller) shouldRetry(m resultMessage) bool {
	req := m.attempt.request
	if m.result.err == nil || !req.queue.Idempotent || !m.sent {
		return false
	}
	if !c.owned || req.waiters == 0 || req.deadline <= c.now {
		return false
	}
	switch errkind.From(m.result.err).Kind {
	case errkind.UpstreamUnavailable, errkind.UpstreamFailed, errkind.OutcomeUnknown, errkind.ShuttingDown:
		return c.retryBudget.TakeRetry()
	}
	return false
}
