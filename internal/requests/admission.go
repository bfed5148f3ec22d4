package requests

import (
	"context"
	"errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// submit queues a new request. If a request with the same ID is in flight, the
// caller joins that request instead.
func (c *controller) submit(m submitMessage) (*inFlightRequest, error) {
	key := requestKey{m.req.Team, m.req.RequestId}
	q, err := c.queueFor(m.req)
	if err != nil {
		return nil, err
	}
	if req := c.inFlight[key]; req != nil {
		return c.join(req, m)
	}
	if err := c.admit(m.req, q); err != nil {
		return nil, err
	}
	if !q.Idempotent && !c.tableHealth.allowsNew(c.now) {
		return nil, storeUnavailableError()
	}
	repeated := c.recent.contains(key)
	if c.recent.add(key, m.bodyHash, !q.Idempotent, c.now) {
		return nil, idConflictError(key.id)
	}
	c.retryBudget.AddRequest()
	c.nextSeq++
	req := &inFlightRequest{
		key:        key,
		req:        m.req,
		queue:      q,
		bodyHash:   m.bodyHash,
		arrivalSeq: c.nextSeq,
		arrived:    c.now,
		deadline:   m.deadline,
		waiters:    1,
		repeated:   repeated,
		heapIndex:  -1,
		done:       make(chan struct{}),
	}
	c.inFlight[key] = req
	if !q.Idempotent {
		c.tableHealth.setProbeIfFailing(req)
	}
	c.queued.push(req)
	c.demandChanged[key.team] = true
	return req, nil
}

// queueFor returns the queue that a request names, after checking that the
// request is valid for it.
func (c *controller) queueFor(req *api.ExecuteRequest) (api.Queue, error) {
	q, ok := c.queueByName[req.Queue]
	if !ok {
		return q, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", req.Queue)
	}
	if q.Class != api.ClassRequest {
		return q, errkind.New(errkind.InvalidArgument, "queue", "queue %q is for %s work and accepts no requests", q.Name, q.Class)
	}
	if q.Team != req.Team {
		return q, errkind.New(errkind.PermissionDenied, "queue", "queue %q belongs to another team", q.Name)
	}
	if q.Idempotent {
		return q, CheckID(req.RequestId)
	}
	return q, CheckRecordedID(req.RequestId, c.options.Clock.Now())
}

// admit checks that a new request may be queued.
func (c *controller) admit(req *api.ExecuteRequest, q api.Queue) error {
	if !c.owned {
		return notOwnerError(c.options.Partition)
	}
	if len(c.releasing) > 0 {
		return errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", c.options.Partition)
	}
	if err := c.options.CheckLead(); err != nil {
		return errkind.Wrap(err, errkind.OwnerUnavailable, "partition", "the owner of partition %q may not place work", c.options.Partition)
	}
	if c.limits[req.Team].Slots == 0 {
		return errkind.New(errkind.NeverRunnable, "queue", "the limit of team %q has no request slots", req.Team)
	}
	if c.queued.size >= c.options.MaxQueued {
		return errkind.New(errkind.Overloaded, "queue", "partition %q has %d requests waiting", c.options.Partition, c.queued.size)
	}
	if n := c.queued.sizeByQueue[q.Name]; n >= max(1, c.options.MaxQueued/perQueueDivisor) {
		return errkind.New(errkind.Overloaded, "queue", "queue %q has %d requests waiting", q.Name, n)
	}
	return nil
}

// join adds a caller to a request in flight. A later deadline of the caller replaces
// that of a queued request.
func (c *controller) join(req *inFlightRequest, m submitMessage) (*inFlightRequest, error) {
	if req.bodyHash != m.bodyHash {
		return nil, idConflictError(req.key.id)
	}
	if req.state == stateRecording {
		return req.replayed(), nil
	}
	req.waiters++
	req.abandoned.Store(false)
	if req.state == stateQueued && m.deadline > req.deadline {
		req.deadline = m.deadline
		c.queued.deadlineChanged(req)
	}
	return req, nil
}

func idConflictError(id string) error {
	return errkind.New(errkind.RequestIDConflict, "Request-Id", "request ID %q was used before with another queue or body", id)
}

// removeWaiter removes one caller from a request and returns the error for that
// caller, or nil if the request has a result.
func (c *controller) removeWaiter(req *inFlightRequest, cause error) error {
	if req.state == stateRecording || req.state == stateRemoved {
		return nil
	}
	req.waiters--
	req.abandoned.Store(req.waiters == 0)
	if req.state == stateRunning {
		return outcomeUnknownError(cause, "no answer before the deadline of the caller")
	}
	if req.waiters > 0 {
		return outcomeUnknownError(cause, "the request is still queued for other callers with the same ID")
	}
	c.queued.remove(req)
	err := canceledError("the caller went away before the request was started")
	if errors.Is(cause, context.DeadlineExceeded) {
		err = deadlineError()
	}
	c.finish(req, result{err: err})
	return req.result.err
}

// cancel removes a queued request. If abandoned is set, only one caller has gone,
// and a request with other callers stays queued. cancel returns nil if the request
// is not in flight and no recent outcome is known.
func (c *controller) cancel(key requestKey, abandoned bool) *api.RequestStatus {
	req := c.inFlight[key]
	if req == nil || req.state == stateRecording {
		return c.status(key)
	}
	if req.state == stateRunning {
		return &api.RequestStatus{State: api.RequestStateRunning, Reason: "a running request is not interrupted"}
	}
	if abandoned && req.waiters > 1 {
		return c.status(key)
	}
	c.queued.remove(req)
	c.finish(req, result{err: canceledError("canceled before it was started")})
	state, reason := stateOfError(req.result.err)
	return &api.RequestStatus{State: state, Reason: reason}
}

// status returns the state of a request that is in flight or recent, or nil.
func (c *controller) status(key requestKey) *api.RequestStatus {
	req := c.inFlight[key]
	if req == nil {
		return c.recent.status(key)
	}
	switch req.state {
	case stateQueued:
		return &api.RequestStatus{State: api.RequestStateQueued}
	case stateRunning:
		return &api.RequestStatus{State: api.RequestStateRunning}
	}
	if req.result.err == nil {
		return &api.RequestStatus{State: api.RequestStateDone}
	}
	state, reason := stateOfError(req.result.err)
	return &api.RequestStatus{State: state, Reason: reason}
}
