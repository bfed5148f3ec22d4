package requests

import (
	"context"
	"errors"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
)

// submit queues a request, or joins it to the same request in flight.
func (s *control) submit(m submitMessage) (*call, error) {
	key := callKey{m.req.Team, m.req.RequestId}
	q, err := s.queueFor(m.req)
	if err != nil {
		return nil, err
	}
	if c := s.calls[key]; c != nil {
		return s.join(c, m)
	}
	if err := s.accept(m.req, q); err != nil {
		return nil, err
	}
	if !q.Idempotent && !s.store.admits(s.now) {
		return nil, storeDown()
	}
	if s.recent.add(key, m.hash, !q.Idempotent, s.now) {
		return nil, idConflict(key.id)
	}
	s.budget.Request()
	s.nextSeq++
	c := &call{
		key:      key,
		req:      m.req,
		queue:    q,
		hash:     m.hash,
		seq:      s.nextSeq,
		arrived:  s.now,
		deadline: m.deadline,
		waiters:  1,
		index:    -1,
		done:     make(chan struct{}),
	}
	s.calls[key] = c
	if !q.Idempotent {
		s.store.admitted(c)
	}
	s.queues.push(c)
	s.dirty[key.team] = true
	return c, nil
}

// queueFor returns the queue of a request if the request is valid for it.
func (s *control) queueFor(req *api.ExecuteRequest) (api.Queue, error) {
	q, ok := s.queueByName[req.Queue]
	if !ok {
		return q, errkind.New(errkind.NotFound, "queue", "queue %q does not exist", req.Queue)
	}
	if q.Class != api.ClassRequest {
		return q, errkind.New(errkind.InvalidArgument, "queue", "queue %q takes %s work and not requests", q.Name, q.Class)
	}
	if q.Team != req.Team {
		return q, errkind.New(errkind.PermissionDenied, "queue", "queue %q belongs to another team", q.Name)
	}
	if q.Idempotent {
		return q, CheckID(req.RequestId)
	}
	return q, CheckRecordedID(req.RequestId, s.o.Clock.Now())
}

// accept checks that a new request may be queued.
func (s *control) accept(req *api.ExecuteRequest, q api.Queue) error {
	if !s.owned {
		return notOwner(s.o.Partition)
	}
	if len(s.releasing) > 0 {
		return errkind.New(errkind.ShuttingDown, "", "the owner of partition %q is stopping", s.o.Partition)
	}
	if err := s.o.Lead(); err != nil {
		return errkind.Wrap(err, errkind.OwnerUnavailable, "partition", "the owner of partition %q may not place work", s.o.Partition)
	}
	if s.limits[req.Team].Slots == 0 {
		return errkind.New(errkind.NeverRunnable, "queue", "the limit of team %q has no request slots", req.Team)
	}
	if s.queues.size >= s.o.MaxQueued {
		return errkind.New(errkind.Overloaded, "queue", "partition %q has %d requests waiting", s.o.Partition, s.queues.size)
	}
	if n := s.queues.perQueue[q.Name]; n >= max(1, s.o.MaxQueued/queueFraction) {
		return errkind.New(errkind.Overloaded, "queue", "queue %q has %d requests waiting", q.Name, n)
	}
	return nil
}

// join adds a caller to a call in flight.
func (s *control) join(c *call, m submitMessage) (*call, error) {
	if c.hash != m.hash {
		return nil, idConflict(c.key.id)
	}
	if c.state == stateSettling {
		return c.replayed(), nil
	}
	c.waiters++
	c.abandoned.Store(false)
	if c.state == stateQueued && m.deadline > c.deadline {
		c.deadline = m.deadline
		s.queues.reorder(c)
	}
	return c, nil
}

func idConflict(id string) error {
	return errkind.New(errkind.RequestIDConflict, "Request-Id", "request ID %q was used before with another queue or body", id)
}

// leave takes one caller off a call and returns what that caller gets; nil if
// the call has a result.
func (s *control) leave(c *call, cause error) error {
	if c.state == stateSettling || c.state == stateOver {
		return nil
	}
	c.waiters--
	c.abandoned.Store(c.waiters == 0)
	if c.state == stateRunning {
		return unknown(cause, "no answer before the deadline of the caller")
	}
	if c.waiters > 0 {
		return unknown(cause, "the request waits for other callers with the same ID")
	}
	s.queues.remove(c)
	err := canceled("the caller went away before the request was started")
	if errors.Is(cause, context.DeadlineExceeded) {
		err = expired()
	}
	s.end(c, result{err: err})
	return c.result.err
}

// cancel removes a waiting call. It returns nil if the call is not in flight.
func (s *control) cancel(key callKey, abandoned bool) *api.RequestStatus {
	c := s.calls[key]
	if c == nil || c.state == stateSettling {
		return s.status(key)
	}
	if c.state == stateRunning {
		return &api.RequestStatus{State: api.RequestStateRunning, Reason: "a running request is not interrupted"}
	}
	if abandoned && c.waiters > 1 {
		return s.status(key)
	}
	s.queues.remove(c)
	s.end(c, result{err: canceled("canceled before it was started")})
	state, reason := stateOfError(c.result.err)
	return &api.RequestStatus{State: state, Reason: reason}
}

// status returns what the control goroutine knows of a request, or nil.
func (s *control) status(key callKey) *api.RequestStatus {
	c := s.calls[key]
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
	state, why := stateOfError(c.result.err)
	return &api.RequestStatus{State: state, Reason: why}
}
