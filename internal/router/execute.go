package router

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
)

// Execute routes one short request. The partition of req is chosen here; its
// timeout counts from the call. ctx ends when the caller has gone.
func (r *Router) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	c := r.o.Config()
	q, err := findQueue(c, req.Queue)
	if err != nil {
		return nil, err
	}
	if q.Class != api.ClassRequest {
		return nil, errkind.New(errkind.InvalidArgument, "queue", "queue %q takes %s work and not requests", q.Name, q.Class)
	}
	partitions, err := requestPartitions(c, q.Pool, req.Team, req.RequestId)
	if err != nil {
		return nil, err
	}
	if !q.Idempotent {
		partitions = partitions[:1] // the one that has the record
	}
	r.budget.Request()
	a := &attempts{
		router:     r,
		req:        *req,
		idempotent: q.Idempotent,
		partitions: partitions,
		deadline:   r.o.Clock.Boot() + time.Duration(req.TimeoutMs)*time.Millisecond,
		pause:      newPause(),
	}
	a.ownerBy = r.o.Clock.Boot() + ownerWait
	return a.run(ctx)
}

func newPause() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = pauseInitial
	b.MaxInterval = pauseMax
	b.Multiplier = 2
	return b
}

// attempts is the course of one request through its owners.
type attempts struct {
	router     *Router
	req        api.ExecuteRequest
	idempotent bool
	partitions []string // in order of preference
	deadline   time.Duration
	ownerBy    time.Duration // until when to wait for an owner
	pause      *backoff.ExponentialBackOff

	tried      int  // partitions tried, with and without an owner
	sends      int  // attempts that an owner took in
	mayHaveRun bool // whether an attempt ended with an outcome other than not run
}

// run makes attempts until one is final.
func (a *attempts) run(ctx context.Context) (*api.ExecuteResponse, error) {
	for {
		resp, err := a.try(ctx)
		if err == nil {
			return resp, nil
		}
		if !a.again(err) {
			return nil, a.truthful(err)
		}
		if err := a.wait(ctx, err); err != nil {
			return nil, a.truthful(err)
		}
	}
}

// try calls the owner of the next partition.
func (a *attempts) try(ctx context.Context) (*api.ExecuteResponse, error) {
	left := a.deadline - a.router.o.Clock.Boot()
	if left < time.Millisecond {
		return nil, errkind.New(errkind.DeadlineExceeded, "deadline", "the deadline passed before the request was started")
	}
	req := a.req
	req.Partition = a.partitions[a.tried%len(a.partitions)]
	req.TimeoutMs = int(left / time.Millisecond)
	a.tried++
	resp, err := a.router.execute(ctx, &req)
	if err == nil {
		return resp, nil
	}
	if errkind.From(err).Outcome() != errkind.NotRun {
		a.mayHaveRun = true
	}
	return nil, err
}

// again decides whether another attempt may be made after err.
func (a *attempts) again(err error) bool {
	e := errkind.From(err)
	if e.Outcome() != errkind.NotRun && !a.idempotent {
		return false
	}
	switch e.Kind {
	case errkind.OwnerUnavailable:
		// Nothing was done for the request, so this costs no retry. The pauses and
		// ownerWait bound it.
		return a.router.o.Clock.Boot() < a.ownerBy
	case errkind.Fenced, errkind.ShuttingDown:
		return a.router.o.Clock.Boot() < a.ownerBy && a.afford()
	case errkind.Overloaded:
		return a.idempotent && a.tried < len(a.partitions) && a.afford()
	case errkind.UpstreamUnavailable, errkind.OutcomeUnknown, errkind.UpstreamFailed:
		return a.afford()
	}
	return false
}

// afford takes another attempt out of the retry budget.
func (a *attempts) afford() bool {
	a.sends++
	return a.sends < maxSends && a.router.budget.Take()
}

// wait pauses before the next attempt, unless that goes to a partition that was
// not tried yet.
func (a *attempts) wait(ctx context.Context, cause error) error {
	if a.tried%len(a.partitions) != 0 {
		return nil
	}
	if errkind.Is(cause, errkind.OwnerUnavailable) || errkind.Is(cause, errkind.Fenced) {
		a.router.refresh(ctx)
	}
	left := a.deadline - a.router.o.Clock.Boot()
	if !clock.Sleep(ctx, min(a.pause.NextBackOff(), pauseMax, left)) {
		return errkind.Wrap(ctx.Err(), errkind.Canceled, "", "the caller went away before the request was started")
	}
	return nil
}

// truthful replaces an error that says that the request was not run if an
// earlier attempt may have run.
func (a *attempts) truthful(err error) error {
	e := errkind.From(err)
	if !a.mayHaveRun || e.Outcome() != errkind.NotRun {
		return e
	}
	return errkind.Wrap(e, errkind.OutcomeUnknown, "", "an earlier attempt may have run")
}
