// Package router finds the partition and the owner of a request or job, calls
// the owner on this node or on another one, and retries within a budget. A
// non-idempotent request that may have run is never repeated.
package router

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/retry"
)

// RequestOwner is the owner of an executor partition on this node.
type RequestOwner interface {
	Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error)
	Cancel(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error)
	Status(ctx context.Context, ref *api.RequestRef) (*api.RequestStatus, error)
}

// JobOwner is the owner of a worker partition on this node.
type JobOwner interface {
	SubmitJob(ctx context.Context, in *api.SubmitJobRequest) (*api.JobRow, error)
	CancelJob(ctx context.Context, ref *api.JobRef) (*api.JobRow, error)
	JobStatus(ctx context.Context, ref *api.JobRef) (*api.JobRow, error)
	ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error)
}

// Local finds the owners on this node. Its methods return false for a partition that
// this node does not own.
type Local interface {
	Requests(partition string) (RequestOwner, bool)
	Jobs(partition string) (JobOwner, bool)
}

// Directory returns the owners of partitions (package ownership).
type Directory interface {
	// Owner returns the newest known lease of a partition, or false if no live
	// owner is known.
	Owner(partition string) (api.PartitionLease, bool)
	// Refresh reads the owners from the table service.
	Refresh(ctx context.Context) error
}

// Caller calls other nodes (package wire).
type Caller interface {
	Call(ctx context.Context, addr string, method api.Method, in msgp.Marshaler, out msgp.Unmarshaler) error
}

// Options are the dependencies of a Router.
type Options struct {
	Local     Local
	Directory Directory
	Caller    Caller
	// Config returns the configuration in force, never nil.
	Config func() *api.Configuration
	Clock  clock.Clock
	Logger log.Logger
}

// Router routes requests and jobs to the owners of their partitions. It is safe
// for concurrent use.
type Router struct {
	options     Options
	retryBudget *retry.Budget
}

// New returns a router.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Router{options: o, retryBudget: retry.NewBudget(o.Clock)}
}

// Limits and intervals of routing.
const (
	// answerGrace is how long after the deadline of a request the router still
	// waits for the answer of another node. At the deadline the owner reports
	// whether the request was started, which is better than an unknown outcome.
	answerGrace = 250 * time.Millisecond
	// ownerWait limits how long a request waits for its partition to have an
	// owner. A takeover takes about 5 s.
	ownerWait = 10 * time.Second
	// maxOwnerCalls limits how often one request is sent to owners.
	maxOwnerCalls = 6

	backoffInitial = 10 * time.Millisecond
	backoffMax     = 500 * time.Millisecond
	refreshTimeout = time.Second      // of a refresh of the owners, and of the call in abandon
	controlTimeout = 10 * time.Second // of status, cancel and job calls
)

// noOwnerError returns the error for a partition without a known owner.
func noOwnerError(partition string) error {
	return errkind.New(errkind.OwnerUnavailable, "partition", "partition %q currently has no owner", partition)
}

// callExecute sends a request to the owner of its partition, on this node or
// another one.
func (r *Router) callExecute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	if owner, ok := r.options.Local.Requests(req.Partition); ok {
		return owner.Execute(ctx, req)
	}
	lease, ok := r.options.Directory.Owner(req.Partition)
	if !ok {
		return nil, noOwnerError(req.Partition)
	}
	timeout := time.Duration(req.TimeoutMs)*time.Millisecond + answerGrace
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out := new(api.ExecuteResponse)
	err := r.options.Caller.Call(callCtx, lease.Address, api.MethodExecute, req, out)
	if ctx.Err() != nil {
		r.abandon(ctx, lease.Address, req)
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// abandon tells an owner, without waiting for its answer, that the caller of a
// request has gone, so that the owner need not start the request.
func (r *Router) abandon(ctx context.Context, addr string, req *api.ExecuteRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
	ref := &api.RequestRef{Partition: req.Partition, Team: req.Team, RequestId: req.RequestId, Abandoned: true}
	go func() {
		defer cancel()
		// If the call fails, the request stays queued at the owner until its deadline at most.
		_ = r.options.Caller.Call(ctx, addr, api.MethodCancelRequest, ref, new(api.RequestStatus))
	}()
}

// refresh reads the owners from the table service after an owner was missing or
// was not reached. If the table service is unavailable, the owners known from
// peers remain in use.
func (r *Router) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_ = r.options.Directory.Refresh(ctx)
}
