package router

import (
	"cmp"
	"context"
	"slices"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/config"
	"github.com/endivehill/endivehill/internal/errkind"
)

// SubmitJob routes a job to the owner of the worker partition of its queue's
// pool. A job is identified by its ID, so the caller may repeat a submission
// whose outcome is unknown; the router does not.
func (r *Router) SubmitJob(ctx context.Context, spec *api.JobSpec) (*api.JobRow, error) {
	q, err := findQueue(r.options.Config(), spec.Queue)
	if err != nil {
		return nil, err
	}
	if q.Class == api.ClassRequest {
		return nil, errkind.New(errkind.InvalidArgument, "queue", "queue %q is for requests and accepts no jobs", q.Name)
	}
	in := &api.SubmitJobRequest{Partition: config.WorkerPartitionName(q.Pool), Spec: *spec}
	return jobCall[api.JobRow](ctx, r, in.Partition, api.MethodSubmitJob, in, func(ctx context.Context, o JobOwner) (*api.JobRow, error) {
		return o.SubmitJob(ctx, in)
	})
}

// JobStatus returns a job of a team.
func (r *Router) JobStatus(ctx context.Context, team, id string) (*api.JobRow, error) {
	return r.findJob(ctx, api.MethodJobStatus, team, id, JobOwner.JobStatus)
}

// CancelJob cancels a job of a team.
func (r *Router) CancelJob(ctx context.Context, team, id string) (*api.JobRow, error) {
	return r.findJob(ctx, api.MethodCancelJob, team, id, JobOwner.CancelJob)
}

type jobMethod func(JobOwner, context.Context, *api.JobRef) (*api.JobRow, error)

func (r *Router) findJob(ctx context.Context, method api.Method, team, id string, local jobMethod) (*api.JobRow, error) {
	return findInPartitions(r.workerPartitions(team), notFoundError("job", id), func(partition string) (*api.JobRow, error) {
		ref := &api.JobRef{Partition: partition, Team: team, Id: id}
		return jobCall[api.JobRow](ctx, r, partition, method, ref, func(ctx context.Context, o JobOwner) (*api.JobRow, error) {
			return local(o, ctx, ref)
		})
	})
}

// ListJobs returns a page of jobs of all partitions, sorted by team and ID. An
// empty team selects all teams. The partition of in is ignored.
func (r *Router) ListJobs(ctx context.Context, in *api.ListJobsRequest) (*api.JobList, error) {
	out := &api.JobList{Jobs: []api.JobRow{}}
	for _, partition := range r.workerPartitions(in.Team) {
		partitionRequest := *in
		partitionRequest.Partition = partition
		page, err := jobCall[api.JobList](ctx, r, partition, api.MethodListJobs, &partitionRequest, func(ctx context.Context, o JobOwner) (*api.JobList, error) {
			return o.ListJobs(ctx, &partitionRequest)
		})
		if err != nil {
			return nil, err
		}
		out.Jobs = append(out.Jobs, page.Jobs...)
	}
	slices.SortFunc(out.Jobs, func(a, b api.JobRow) int {
		return cmp.Or(cmp.Compare(a.Spec.Team, b.Spec.Team), cmp.Compare(a.Spec.Id, b.Spec.Id))
	})
	if in.Limit > 0 && len(out.Jobs) > in.Limit {
		out.Jobs = out.Jobs[:in.Limit]
	}
	return out, nil
}

func (r *Router) workerPartitions(team string) []string {
	var out []string
	for _, pool := range candidatePools(r.options.Config(), team, false) {
		out = append(out, config.WorkerPartitionName(pool))
	}
	return out
}

// jobCall calls the owner of a worker partition.
func jobCall[T any, P decodable[T]](ctx context.Context, r *Router, partition string, method api.Method, in msgp.Marshaler, local func(context.Context, JobOwner) (*T, error)) (*T, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callOwnerWithRetry[T, P](ctx, r, partition, func() (*T, bool, error) {
		owner, ok := r.options.Local.Jobs(partition)
		if !ok {
			return nil, false, nil
		}
		out, err := local(ctx, owner)
		return out, true, err
	}, method, in)
}
