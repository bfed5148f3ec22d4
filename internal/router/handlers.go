package router

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
)

// Handlers returns the handlers for calls from the routers of other nodes. They
// serve only the partitions of this node and never forward a call.
func (r *Router) Handlers() map[api.Method]wire.Handler {
	return map[api.Method]wire.Handler{
		api.MethodExecute:       requestHandler(r, executePartition, RequestOwner.Execute),
		api.MethodCancelRequest: requestHandler(r, refPartition, RequestOwner.Cancel),
		api.MethodRequestStatus: requestHandler(r, refPartition, RequestOwner.Status),
		api.MethodSubmitJob:     jobHandler(r, submitPartition, JobOwner.SubmitJob),
		api.MethodCancelJob:     jobHandler(r, jobPartition, JobOwner.CancelJob),
		api.MethodJobStatus:     jobHandler(r, jobPartition, JobOwner.JobStatus),
		api.MethodListJobs:      jobHandler(r, listPartition, JobOwner.ListJobs),
	}
}

func executePartition(in *api.ExecuteRequest) string  { return in.Partition }
func refPartition(in *api.RequestRef) string          { return in.Partition }
func submitPartition(in *api.SubmitJobRequest) string { return in.Partition }
func jobPartition(in *api.JobRef) string              { return in.Partition }
func listPartition(in *api.ListJobsRequest) string    { return in.Partition }

// encodable is a pointer to a generated message type that can be encoded.
type encodable[T any] interface {
	*T
	msgp.Marshaler
}

func requestHandler[In, Out any, P decodable[In], Q encodable[Out]](r *Router, partition func(*In) string, call func(RequestOwner, context.Context, *In) (*Out, error)) wire.Handler {
	return handler[In, Out, P, Q](func(ctx context.Context, in *In) (*Out, error) {
		owner, ok := r.options.Local.Requests(partition(in))
		if !ok {
			return nil, notOwnerError(partition(in))
		}
		return call(owner, ctx, in)
	})
}

func jobHandler[In, Out any, P decodable[In], Q encodable[Out]](r *Router, partition func(*In) string, call func(JobOwner, context.Context, *In) (*Out, error)) wire.Handler {
	return handler[In, Out, P, Q](func(ctx context.Context, in *In) (*Out, error) {
		owner, ok := r.options.Local.Jobs(partition(in))
		if !ok {
			return nil, notOwnerError(partition(in))
		}
		return call(owner, ctx, in)
	})
}

func handler[In, Out any, P decodable[In], Q encodable[Out]](serve func(context.Context, *In) (*Out, error)) wire.Handler {
	return func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
		in := new(In)
		if err := wire.Decode(payload, P(in)); err != nil {
			return nil, err
		}
		out, err := serve(ctx, in)
		if err != nil {
			return nil, errkind.From(err)
		}
		return Q(out), nil
	}
}

func notOwnerError(partition string) error {
	return errkind.New(errkind.OwnerUnavailable, "partition", "this node does not own partition %q", partition)
}
