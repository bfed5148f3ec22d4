package router

import (
	"context"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
)

// RequestStatus tells what is known of a request. The queue is not known, so
// all partitions that may have it are asked, the most likely ones first.
func (r *Router) RequestStatus(ctx context.Context, team, id string) (*api.RequestStatus, error) {
	return r.findRequest(ctx, api.MethodRequestStatus, team, id)
}

// CancelRequest removes a request that waits and returns its state.
func (r *Router) CancelRequest(ctx context.Context, team, id string) (*api.RequestStatus, error) {
	return r.findRequest(ctx, api.MethodCancelRequest, team, id)
}

func (r *Router) findRequest(ctx context.Context, method api.Method, team, id string) (*api.RequestStatus, error) {
	c := r.o.Config()
	var partitions []string
	for _, pool := range pools(c, team, true) {
		if in, err := requestPartitions(c, pool, team, id); err == nil {
			partitions = append(partitions, in...)
		}
	}
	return search(partitions, notFound("request", id), func(partition string) (*api.RequestStatus, error) {
		ref := &api.RequestRef{Partition: partition, Team: team, RequestId: id}
		return r.requestCall(ctx, method, ref)
	})
}

func notFound(what, id string) error {
	return errkind.New(errkind.NotFound, "id", "%s %q is not known", what, id)
}

// search asks partitions in order for an object. not_found is the answer only if
// every partition gave it; otherwise the object may be where nobody answered.
func search[T any](partitions []string, none error, ask func(partition string) (*T, error)) (*T, error) {
	failure := none
	for _, partition := range partitions {
		out, err := ask(partition)
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
	return onOwner(ctx, r, ref.Partition, func() (*api.RequestStatus, bool, error) {
		owner, ok := r.o.Local.Requests(ref.Partition)
		if !ok {
			return nil, false, nil
		}
		out, err := localRequest(ctx, owner, method, ref)
		return out, true, err
	}, method, ref)
}

func localRequest(ctx context.Context, owner RequestOwner, method api.Method, ref *api.RequestRef) (*api.RequestStatus, error) {
	if method == api.MethodCancelRequest {
		return owner.Cancel(ctx, ref)
	}
	return owner.Status(ctx, ref)
}

// message is a pointer to a generated type.
type message[T any] interface {
	*T
	msgp.Unmarshaler
}

// onOwner calls the owner of a partition, local or remote. While the partition
// changes its owner, it tries again; such errors mean that nothing was done.
// local returns false if the owner is not on this node.
func onOwner[T any, P message[T]](ctx context.Context, r *Router, partition string, local func() (*T, bool, error), method api.Method, in msgp.Marshaler) (*T, error) {
	pause := newPause()
	for {
		out, err := callOwner[T, P](ctx, r, partition, local, method, in)
		if err == nil || !ownerChanged(err) {
			return out, asUnavailable(err, partition)
		}
		r.refresh(ctx)
		if !clock.Sleep(ctx, pause.NextBackOff()) {
			return nil, err
		}
	}
}

// asUnavailable replaces the end of the router's own time limit by what it means
// for the caller, who set no deadline: the owner was not reached, nothing was
// done, and another try may reach it.
func asUnavailable(err error, partition string) error {
	if !errkind.Is(err, errkind.DeadlineExceeded) {
		return err
	}
	return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the owner of %s was not reached within %s", partition, controlTimeout)
}

func callOwner[T any, P message[T]](ctx context.Context, r *Router, partition string, local func() (*T, bool, error), method api.Method, in msgp.Marshaler) (*T, error) {
	if out, ok, err := local(); ok {
		return out, err
	}
	lease, ok := r.o.Directory.Owner(partition)
	if !ok {
		return nil, noOwner(partition)
	}
	out := new(T)
	if err := r.o.Caller.Call(ctx, lease.Address, method, in, P(out)); err != nil {
		return nil, err
	}
	return out, nil
}

// ownerChanged reports whether an error means that the call did not reach the
// owner and may reach the next one.
func ownerChanged(err error) bool {
	switch errkind.From(err).Kind {
	case errkind.OwnerUnavailable, errkind.Fenced, errkind.ShuttingDown:
		return true
	}
	return false
}
