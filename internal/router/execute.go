package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Execute routes one short request to a partition that it chooses. The timeout
// of req counts from the call. ctx is canceled when the caller has gone.
func (r *Router) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	c := r.options.Config()
	q, err := findQueue(c, req.Queue)
	if err != nil {
		return nil, err
	}
	if q.Class != api.ClassRequest {
		return nil, errkind.New(errkind.InvalidArgument, "queue", "queue %q is for %s work and accepts no requests", q.Name, q.Class)
	}
	partitions, err := requestPartitions(c, q.Pool, req.Team, req.RequestId)
	if err != nil {
		return nil, err
	}
	if !q.Idempotent {
		partitions = partitions[:1] // only this partition has the record
	}
	r.retryBudget.AddRequest()
	rq := &routedRequest{
		router:     r,
		req:        *req,
		idempotent: q.Idempotent,
		partitions: partitions,
		deadline:   r.options.Clock.Boot() + time.Duration(req.TimeoutMs)*time.Millisecond,
		backoff:    newBackOff(),
	}
	rq.ownerDeadline = r.options.Clock.Boot() + ownerWait
	return rq.run(ctx)
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = backoffInitial
	b.MaxInterval = backoffMax
	b.Multiplier = 2
	return b
}

// routedRequest is the state of routing one request to the owners of its
// partitions.
type routedRequest struct {
	router        *Router
	req           api.ExecuteRequest
	idempotent    bool
	partitions    []string      // in order of preference
	deadline      time.Duration // boot time
	ownerDeadline time.Duration // boot time until which to wait for an owner
	backoff       *backoff.ExponentialBackOff

	attempts    int  // attempts so far, with and without an owner
	failedCalls int  // failed calls that an owner may have accepted
	mayHaveRun  bool // an attempt ended with an outcome other than not run
}

// run calls owners until a result is final.
func (rq *routedRequest) run(ctx context.Context) (*api.ExecuteResponse, error) {
	for {
		resp, err := rq.tryNextOwner(ctx)
		if err == nil {
			return resp, nil
		}
		if !rq.shouldRetry(err) {
			return nil, rq.correctOutcome(err)
		}
		if err := rq.waitBeforeRetry(ctx, err); err != nil {
			return nil, rq.correctOutcome(err)
		}
	}
}

// tryNextOwner calls the owner of the next partition.
func (rq *routedRequest) tryNextOwner(ctx context.Context) (*api.ExecuteResponse, error) {
	left := rq.deadline - rq.router.options.Clock.Boot()
	if left < time.Millisecond {
		return nil, errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline passed before the request was started")
	}
	req := rq.req
	req.Partition = rq.partitions[rq.attempts%len(rq.partitions)]
	req.TimeoutMs = int(left / time.Millisecond)
	rq.attempts++
	resp, err := rq.router.callExecute(ctx, &req)
	if err == nil {
		return resp, nil
	}
	if errkind.From(err).Outcome() != errkind.NotRun {
		rq.mayHaveRun = true
	}
	return nil, err
}

// shouldRetry reports whether another attempt may be made after err.
func (rq *routedRequest) shouldRetry(err error) bool {
	e := errkind.From(err)
	if e.Outcome() != errkind.NotRun && !rq.idempotent {
		return false
	}
	switch e.Kind {
	case errkind.OwnerUnavailable:
		// The request did not start, so this takes nothing from the retry
		// budget. The backoff and ownerWait limit the attempts.
		return rq.router.options.Clock.Boot() < rq.ownerDeadline
	case errkind.Fenced, errkind.ShuttingDown:
		return rq.router.options.Clock.Boot() < rq.ownerDeadline && rq.takeRetry()
	case errkind.Overloaded:
		return rq.idempotent && rq.attempts < len(rq.partitions) && rq.takeRetry()
	case errkind.UpstreamUnavailable, errkind.OutcomeUnknown, errkind.UpstreamFailed:
		return rq.takeRetry()
	}
	return false
}

// takeRetry reports whether maxOwnerCalls and the retry budget allow another
// attempt, and takes it from the budget.
func (rq *routedRequest) takeRetry() bool {
	rq.failedCalls++
	return rq.failedCalls < maxOwnerCalls && rq.router.retryBudget.TakeRetry()
}

// waitBeforeRetry waits once all partitions were tried in turn. Until then, the next
// partition is tried without a delay.
func (rq *routedRequest) waitBeforeRetry(ctx context.Context, cause error) error {
	if rq.attempts%len(rq.partitions) != 0 {
		return nil
	}
	if errkind.Is(cause, errkind.OwnerUnavailable) || errkind.Is(cause, errkind.Fenced) {
		rq.router.refresh(ctx)
	}
	left := rq.deadline - rq.router.options.Clock.Boot()
	if !clock.Sleep(ctx, min(rq.backoff.NextBackOff(), backoffMax, left)) {
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "", "the caller went away before the request was started")
	}
	return nil
}

// correctOutcome replaces an error that reports the request as not run if an
// earlier attempt may have run.
func (rq *routedRequest) correctOutcome(err error) error {
	e := errkind.From(err)
	if !rq.mayHaveRun || e.Outcome() != errkind.NotRun {
		return e
	}
	return errkind.Wrap(e, errkind.OutcomeUnknown, "", "an earlier attempt may have run")
}
