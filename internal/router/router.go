// Package router finds the partition and the owner of a request or job, calls
// the owner on this node or another one, and retries within a budget. It never
// repeats a non-idempotent request that may have run.
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

// Local finds the owners on this node. It returns false for a partition that
// this node does not own.
type Local interface {
	Requests(partition string) (RequestOwner, bool)
	Jobs(partition string) (JobOwner, bool)
}

// Directory knows the owners of partitions (package ownership).
type Directory interface {
	Owner(partition string) (api.PartitionLease, bool)
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
	o      Options
	budget *retry.Budget
}

// New returns a router.
func New(o Options) *Router {
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
	return &Router{o: o, budget: retry.NewBudget(o.Clock)}
}

// Bounds of routing.
const (
	// grace is how much longer than its deadline the answer of another node is
	// waited for. At the deadline the owner tells whether the request was started,
	// which is better than an unknown outcome.
	grace = 250 * time.Millisecond
	// ownerWait bounds the time that a request waits for a partition to have an
	// owner. A takeover needs about 5 s.
	ownerWait = 10 * time.Second
	// maxSends bounds how often one request is sent to owners.
	maxSends = 6

	pauseInitial   = 10 * time.Millisecond
	pauseMax       = 500 * time.Millisecond
	refreshTimeout = time.Second
	controlTimeout = 10 * time.Second // of status, cancel and job calls
)

// noOwner returns the error for a partition without a known owner.
func noOwner(partition string) error {
	return errkind.New(errkind.OwnerUnavailable, "partition", "partition %q has no owner at present", partition)
}

// execute sends a request to the owner of its partition, wherever that is.
func (r *Router) execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteResponse, error) {
	if owner, ok := r.o.Local.Requests(req.Partition); ok {
		return owner.Execute(ctx, req)
	}
	lease, ok := r.o.Directory.Owner(req.Partition)
	if !ok {
		return nil, noOwner(req.Partition)
	}
	timeout := time.Duration(req.TimeoutMs)*time.Millisecond + grace
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	out := new(api.ExecuteResponse)
	err := r.o.Caller.Call(callCtx, lease.Address, api.MethodExecute, req, out)
	if ctx.Err() != nil {
		r.abandon(ctx, lease.Address, req)
	}
	if err != nil {
		return nil, err
	}
	return out, nil
}

// abandon tells an owner that the caller of a request has gone, so that it need
// not start it.
func (r *Router) abandon(ctx context.Context, addr string, req *api.ExecuteRequest) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), refreshTimeout)
	ref := &api.RequestRef{Partition: req.Partition, Team: req.Team, RequestId: req.RequestId, Abandoned: true}
	go func() {
		defer cancel()
		// If this fails, the owner finds out at the deadline of the request.
		_ = r.o.Caller.Call(ctx, addr, api.MethodCancelRequest, ref, new(api.RequestStatus))
	}()
}

// refresh reads the owners from the table service, because the known one is
// gone. Without the table service, the owners known from peers must do.
func (r *Router) refresh(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	_ = r.o.Directory.Refresh(ctx)
}
