package requests

import (
	"context"
	"errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// submit queues a new request, or adds the caller to the same request if that
// is in flight.
func (s *controller) submit(m submitMessage) (*inFlightRequest, error) {
	key := requestKey{m.req.Team, m.req.RequestId}
	q, err := s.queueFor(m.req)
	if err != nil {
		return nil, err
	}
	if c := s.inFlight[key]; c != nil {
		return s.join(c, m)
	}
	if err := s.admit(m.req, q); err != nil {
		return nil, err
	}
	if !q.Idempotent && !s.tableHealth.allowsNew(s.now) {
		return nil, storeUnavailableError()
	}
	if s.recent.add(key, m.hash, !q.Idempotent, s.now) {
		return nil, idConflictError(key.id)
	}
	s.retryBudget.AddRequest()
	s.nextSeq++
	c := &inFlightRequest{
		key:        key,
		req:        m.req,
		queue:      q,
		bodyHash:   m.hash,
		arrivalSeq: s.nextSeq,
		arrived:    s.now,
		deadline:   m.deadline,
		waiters:    1,
		heapIndex:  -1,
		done:       make(chan struct{}),
	}
	s.inFlight[key] = c
	if !q.Idempotent {
		s.tableHealth.setProbeIfFailing(c)
	}
	s.queues.push(c)
	s.demandChanged[key.team] = true
	return c, nil
}

// queueFor returns the queue that a request names, after checking that the
// request is valid for it.
func (s *controller) queueFor(req *api.ExecuteRequest) (api.Queue, error) {
	q, ok := s.queueByName[req.Queue]
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
	return q, CheckRecordedID(req.RequestId, s.options.Clock.Now())
}

// admit checks that a new request may be queued.
func (s *controller) admit(req *api.ExecuteRequest, q api.Queue) error {
	if !s.owned {
		return notOwnerError(s.options.Partition)
	}
	if len(s.releasing) > 0 {
		return errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", s.options.Partition)
	}
	if err := s.options.CheckLead(); err != nil {
		return errkind.Wrap(err, errkind.OwnerUnavailable, "partition", "the owner of partition %q may not place work", s.options.Partition)
	}
	if s.limits[req.Team].Slots == 0 {
		return errkind.New(errkind.NeverRunnable, "queue", "the limit of team %q has no request slots", req.Team)
	}
	if s.queues.size >= s.options.MaxQueued {
		return errkind.New(errkind.Overloaded, "queue", "partition %q has %d requests waiting", s.options.Partition, s.queues.size)
	}
	if n := s.queues.perQueue[q.Name]; n >= max(1, s.options.MaxQueued/perQueueDivisor) {
		return errkind.New(errkind.Overloaded, "queue", "queue %q has %d requests waiting", q.Name, n)
	}
	return nil
}

// join adds a caller to a request in flight.
func (s *controller) join(c *inFlightRequest, m submitMessage) (*inFlightRequest, error) {
	if c.bodyHash != m.hash {
		return nil, idConflictError(c.key.id)
	}
	if c.state == stateRecording {
		return c.replayed(), nil
	}
	c.waiters++
	c.abandoned.Store(false)
	if c.state == stateQueued && m.deadline > c.deadline {
		c.deadline = m.deadline
		s.queues.deadlineChanged(c)
	}
	return c, nil
}

func idConflictError(id string) error {
	return errkind.New(errkind.RequestIDConflict, "Request-Id", "request ID %q was used before with another queue or body", id)
}

// removeWaiter removes one caller from a request and returns the error for that
// caller, or nil if the request has a result.
func (s *controller) removeWaiter(c *inFlightRequest, cause error) error {
	if c.state == stateRecording || c.state == stateRemoved {
		return nil
	}
	c.waiters--
	c.abandoned.Store(c.waiters == 0)
	if c.state == stateRunning {
		return outcomeUnknownError(cause, "no answer before the deadline of the caller")
	}
	if c.waiters > 0 {
		return outcomeUnknownError(cause, "the request is still queued for other callers with the same ID")
	}
	s.queues.remove(c)
	err := canceledError("the caller went away before the request was started")
	if errors.Is(cause, context.DeadlineExceeded) {
		err = deadlineError()
	}
	s.finish(c, result{err: err})
	return c.result.err
}

// cancel removes a queued request. It returns nil if the request is not in
// flight and no recent outcome is known.
func (s *controller) cancel(key requestKey, abandoned bool) *api.RequestStatus {
	c := s.inFlight[key]
	if c == nil || c.state == stateRecording {
		return s.status(key)
	}
	if c.state == stateRunning {
		return &api.RequestStatus{State: api.RequestStateRunning, Reason: "a running request is not interrupted"}
	}
	if abandoned && c.waiters > 1 {
		return s.status(key)
	}
	s.queues.remove(c)
	s.finish(c, result{err: canceledError("canceled before it was started")})
	state, reason := stateOfError(c.result.err)
	return &api.RequestStatus{State: state, Reason: reason}
}

// status returns the state of a request that is in flight or recent, or nil.
func (s *controller) status(key requestKey) *api.RequestStatus {
	c := s.inFlight[key]
	if c == nil {
		return s.recent.status(key)
	}
	switch c.state {
	case stateQueued:
		return &api.RequestStatus{State: api.RequestStateQueued}
	case stateRunning:
		return &api.RequestStatus{State: api.RequestStateRunning}
	}
	if c.result.err == nil {
		return &api.RequestStatus{State: api.RequestStateDone}
	}
	state, reason := stateOfError(c.result.err)
	return &api.RequestStatus{State: state, Reason: reason}
}
