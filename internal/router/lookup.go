package router

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
)

// RequestStatus returns the state of a request. The queue is not given, so all
// partitions that may have the request are asked, the most likely ones first.
func (r *Router) RequestStatus(ctx context.Context, team, id string) (*api.RequestStatus, error) {
	return r.findRequest(ctx, api.MethodRequestStatus, team, id)
}

// CancelRequest removes a queued request and returns its state.
func (r *Router) CancelRequest(ctx context.Context, team, id string) (*api.RequestStatus, error) {
	return r.findRequest(ctx, api.MethodCancelRequest, team, id)
}

func (r *Router) findRequest(ctx context.Context, method api.Method, team, id string) (*api.RequestStatus, error) {
	c := r.options.Config()
	var partitions []string
	for _, pool := range candidatePools(c, team, true) {
		if in, err := requestPartitions(c, pool, team, id); err == nil {
			partitions = append(partitions, in...)
		}
	}
	return findInPartitions(partitions, notFoundError("request", id), func(partition string) (*api.RequestStatus, error) {
		ref := &api.RequestRef{Partition: partition, Team: team, RequestId: id}
		return r.requestCall(ctx, method, ref)
	})
}

func notFoundError(what, id string) error {
	return errkind.New(errkind.NotFound, "id", "%s %q is not known", what, id)
}

// findInPartitions calls partitions in order until one has the object. It
// returns notFound only if every partition reported not_found; otherwise the
// object may be in a partition that did not answer.
func findInPartitions[T any](partitions []string, notFound error, call func(partition string) (*T, error)) (*T, error) {
	failure := notFound
	for _, partition := range partitions {
		out, err := call(partition)
		if err == nil {
			return out, nil
		}
		if !errkind.Is(err, errkind.NotFound) {
			failure = err
		}
	}
	return nil, failure
}

// requestCall calls the owner of an executor partition.
func (r *Router) requestCall(ctx context.Context, method api.Method, ref *api.RequestRef) (*api.RequestStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return callOwnerWithRetry(ctx, r, ref.Partition, func() (*api.RequestStatus, bool, error) {
		owner, ok := r.options.Local.Requests(ref.Partition)
		if !ok {
			return nil, false, nil
		}
		out, err := callLocalOwner(ctx, owner, method, ref)
		return out, true, err
	}, method, ref)
}

func callLocalOwner(ctx context.Context, owner RequestOwner, method api.Method, ref *api.RequestRef) (*api.RequestStatus, error) {
	if method == api.MethodCancelRequest {
		return owner.Cancel(ctx, ref)
	}
	return owner.Status(ctx, ref)
}

// decodable is a pointer to a generated message type that can be decoded.
type decodable[T any] interface {
	*T
	msgp.Unmarshaler
}

// callOwnerWithRetry calls the owner of a partition, local or remote, and
// retries while the partition changes its owner; errors of that kind mean that
// nothing was done. local returns false if the owner is not on this node.
func callOwnerWithRetry[T any, P decodable[T]](ctx context.Context, r *Router, partition string, local func() (*T, bool, error), method api.Method, in msgp.Marshaler) (*T, error) {
	delay := newBackOff()
	for {
		out, err := callOwnerOnce[T, P](ctx, r, partition, local, method, in)
		if err == nil || !ownerChanged(err) {
			return out, ownerNotReached(err, partition)
		}
		r.refresh(ctx)
		if !clock.Sleep(ctx, delay.NextBackOff()) {
			return nil, err
		}
	}
}

// ownerNotReached replaces the error for the router's own time limit with
// owner_unavailable. The caller has set no deadline; for the caller, the error
// means that the owner was not reached, nothing was done and a retry may
// succeed.
func ownerNotReached(err error, partition string) error {
	if !errkind.Is(err, errkind.DeadlineExceeded) {
		return err
	}
	return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the owner of %s was not reached within %s", partition, controlTimeout)
}

func callOwnerOnce[T any, P decodable[T]](ctx context.Context, r *Router, partition string, local func() (*T, bool, error), method api.Method, in msgp.Marshaler) (*T, error) {
	if out, ok, err := local(); ok {
		return out, err
	}
	lease, ok := r.options.Directory.Owner(partition)
	if !ok {
		return nil, noOwnerError(partition)
	}
	out := new(T)
	if err := r.options.Caller.Call(ctx, lease.Address, method, in, P(out)); err != nil {
		return nil, err
	}
	return out, nil
}

// ownerChanged reports whether an error means that the call did not reach the
// owner and that a retry may reach the next owner.
func ownerChanged(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.OwnerUnavailable, errkind.Fenced, errkind.ShuttingDown:
		return true
	}
	return false
}
