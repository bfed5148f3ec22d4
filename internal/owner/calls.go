package owner

import (
	"context"
	"time"

	"github.com/tinylib/msgp/msgp"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/cell"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
)

// callResult is the reply of the core to a call.
type callResult[T any] struct {
	value T
	err   error
}

// callCore runs a call on the control goroutine and waits for the reply of the core.
// timeoutKind is the kind of the error if the call was queued and no reply came.
func callCore[T any](ctx context.Context, t *tenure, timeoutKind errkind.Kind, call func(reply func(T, error))) (T, error) {
	var zero T
	done := make(chan callResult[T], 1)
	if err := t.tryEnqueue(ctx, func() { call(func(value T, err error) { done <- callResult[T]{value, err} }) }); err != nil {
		return zero, err
	}
	select {
	case out := <-done:
		return out.value, out.err
	case <-ctx.Done():
		return zero, errkind.Wrap(ctx.Err(), timeoutKind, "", "the owner of the cell did not answer in time")
	case <-t.ctx.Done():
		return zero, errkind.New(timeoutKind, "", "the owner of the cell has changed")
	}
}

// Submit submits a work to the core and returns once the work is stored.
func (o *Owner) Submit(ctx context.Context, in *api.WorkSubmission) (*api.WorkAck, error) {
	t, err := o.loadedTenure(ctx)
	if err != nil {
		return nil, err
	}
	if err := o.awaitConfig(ctx, in.ConfigVersion); err != nil {
		return nil, err
	}
	known, err := callCore(ctx, t, errkind.OutcomeUnknown, func(reply func(bool, error)) {
		t.applyConfig() // the core may not have the configuration version of the caller yet
		t.cell.Submit(&in.Work, reply)
	})
	if err != nil {
		return nil, err
	}
	return &api.WorkAck{Known: known}, nil
}

// State returns the state of a work.
func (o *Owner) State(ctx context.Context, ref *api.WorkRef) (*api.WorkStatus, error) {
	t, err := o.loadedTenure(ctx)
	if err != nil {
		return nil, err
	}
	state, err := callCore(ctx, t, errkind.OwnerUnavailable, func(reply func(api.WorkState, error)) {
		reply(t.cell.State(ref))
	})
	if err != nil {
		return nil, t.confirmNotFound(ctx, err)
	}
	return &api.WorkStatus{State: state}, nil
}

// Cancel cancels a work and returns once the cancellation is stored.
func (o *Owner) Cancel(ctx context.Context, ref *api.WorkRef) error {
	t, err := o.loadedTenure(ctx)
	if err != nil {
		return err
	}
	_, err = callCore(ctx, t, errkind.OutcomeUnknown, func(reply func(struct{}, error)) {
		t.cell.Cancel(ref, func(err error) { reply(struct{}{}, err) })
	})
	return t.confirmNotFound(ctx, err)
}

// renewalWaiter is a call that waits for a commit which shows that this node still owned
// the cell at a boot time.
type renewalWaiter struct {
	since time.Duration
	done  func()
}

// confirmNotFound returns err. If the core does not know a work, another node may own the
// cell since and have accepted the work, so that error waits for the next commit.
func (t *tenure) confirmNotFound(ctx context.Context, err error) error {
	if !errkind.Is(err, errkind.NotFound) {
		return err
	}
	_, unconfirmed := callCore(ctx, t, errkind.OwnerUnavailable, func(reply func(struct{}, error)) {
		waiter := renewalWaiter{t.options.Clock.Boot(), func() { reply(struct{}{}, nil) }}
		t.renewalWaiters = append(t.renewalWaiters, waiter)
	})
	if unconfirmed != nil {
		return unconfirmed
	}
	return err
}

// ownershipRenewed answers the calls that waited for a commit sent at this boot time or
// earlier.
func (t *tenure) ownershipRenewed(sent time.Duration) {
	t.ownershipRenewedAt = sent
	waiting := t.renewalWaiters[:0:0]
	for _, w := range t.renewalWaiters {
		if w.since <= sent {
			w.done()
		} else {
			waiting = append(waiting, w)
		}
	}
	t.renewalWaiters = waiting
}

// Dump returns the state of the cell, nil if this node does not own it or does not
// answer in time.
func (o *Owner) Dump(ctx context.Context) *cell.Dump {
	t, err := o.loadedTenure(ctx)
	if err != nil {
		return nil
	}
	dump, err := callCore(ctx, t, errkind.OwnerUnavailable, func(reply func(*cell.Dump, error)) {
		reply(t.cell.Dump(), nil)
	})
	if err != nil {
		return nil
	}
	return dump
}

// loadedTenure waits until the records of the current tenure are loaded and returns
// the tenure.
func (o *Owner) loadedTenure(ctx context.Context) (*tenure, error) {
	t := o.currentTenure.Load()
	if t == nil {
		return nil, errkind.New(errkind.OwnerUnavailable, "", "this node does not own the cell")
	}
	select {
	case <-t.loaded:
		return t, nil
	case <-t.ctx.Done():
		return nil, errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.OwnerUnavailable, "", "the records of the cell are being loaded")
	}
}

// tryEnqueue queues f for the control goroutine. After an error f will not run.
func (t *tenure) tryEnqueue(ctx context.Context, f func()) error {
	select {
	case t.inbox <- f:
		return nil
	case <-t.ctx.Done():
		return errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Overloaded, "", "the owner of the cell is busy")
	}
}

// Handlers returns the handlers for calls from other nodes.
func (o *Owner) Handlers() map[api.Method]wire.Handler {
	return map[api.Method]wire.Handler{
		api.MethodExplain: o.handleExplain,
		api.MethodSubmitWork: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
			var in api.WorkSubmission
			if err := wire.Decode(payload, &in); err != nil {
				return nil, err
			}
			return o.Submit(ctx, &in)
		},
		api.MethodWorkStatus: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
			var in api.WorkRef
			if err := wire.Decode(payload, &in); err != nil {
				return nil, err
			}
			return o.State(ctx, &in)
		},
		api.MethodCancelWork: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
			var in api.WorkRef
			if err := wire.Decode(payload, &in); err != nil {
				return nil, err
			}
			return &api.WorkAck{}, o.Cancel(ctx, &in)
		},
		api.MethodAdvise:        o.relay.handleAdvise,
		api.MethodAdviceResults: o.relay.handleResults,
		api.MethodAdviceCalls:   o.relay.handleCalls,
	}
}

// awaitConfig waits until this node has the configuration version with which the
// calling node admitted a work.
func (o *Owner) awaitConfig(ctx context.Context, version int) error {
	deadline := time.NewTimer(configTimeout)
	defer deadline.Stop()
	for {
		if config := o.options.Config(); config != nil && config.Version >= version {
			return nil
		}
		poll := time.NewTimer(configPollInterval)
		select {
		case <-poll.C:
		case <-ctx.Done():
			poll.Stop()
			return errkind.Wrap(ctx.Err(), errkind.NodeNotFresh, "", "the owner does not have configuration %d yet", version)
		case <-deadline.C:
			poll.Stop()
			return errkind.New(errkind.NodeNotFresh, "", "the owner does not have configuration %d yet", version)
		}
	}
}

// Timing of awaitConfig.
const (
	configTimeout      = time.Second
	configPollInterval = 10 * time.Millisecond
)
