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

// outcome is what a call to the core led to.
type outcome[T any] struct {
	value T
	err   error
}

// await hands a call to the core and waits until it replies. unanswered is the kind
// of the error if it does not.
func await[T any](ctx context.Context, t *tenure, unanswered errkind.Kind, call func(reply func(T, error))) (T, error) {
	var none T
	done := make(chan outcome[T], 1)
	if err := t.tryPost(ctx, func() { call(func(value T, err error) { done <- outcome[T]{value, err} }) }); err != nil {
		return none, err
	}
	select {
	case out := <-done:
		return out.value, out.err
	case <-ctx.Done():
		return none, errkind.Wrap(ctx.Err(), unanswered, "", "the owner of the cell did not answer in time")
	case <-t.ctx.Done():
		return none, errkind.New(unanswered, "", "the owner of the cell has changed")
	}
}

// Submit takes a work in and returns once it is stored.
func (o *Owner) Submit(ctx context.Context, in *api.WorkSubmission) (*api.WorkAck, error) {
	t, err := o.tenure(ctx)
	if err != nil {
		return nil, err
	}
	if err := o.awaitConfig(ctx, in.ConfigVersion); err != nil {
		return nil, err
	}
	known, err := await(ctx, t, errkind.OutcomeUnknown, func(reply func(bool, error)) {
		t.configure() // the core may not have the version of the caller yet
		t.cell.Submit(&in.Work, reply)
	})
	if err != nil {
		return nil, err
	}
	return &api.WorkAck{Known: known}, nil
}

// State returns the state of a work.
func (o *Owner) State(ctx context.Context, ref *api.WorkRef) (*api.WorkStatus, error) {
	t, err := o.tenure(ctx)
	if err != nil {
		return nil, err
	}
	state, err := await(ctx, t, errkind.OwnerUnavailable, func(reply func(api.WorkState, error)) {
		reply(t.cell.State(ref))
	})
	if err != nil {
		return nil, err
	}
	return &api.WorkStatus{State: state}, nil
}

// Cancel cancels a work and returns once that is stored.
func (o *Owner) Cancel(ctx context.Context, ref *api.WorkRef) error {
	t, err := o.tenure(ctx)
	if err != nil {
		return err
	}
	_, err = await(ctx, t, errkind.OutcomeUnknown, func(reply func(struct{}, error)) {
		t.cell.Cancel(ref, func(err error) { reply(struct{}{}, err) })
	})
	return err
}

// Dump returns the state of the cell, nil if this node does not own it or does not
// answer in time.
func (o *Owner) Dump(ctx context.Context) *cell.Dump {
	t, err := o.tenure(ctx)
	if err != nil {
		return nil
	}
	dump, err := await(ctx, t, errkind.OwnerUnavailable, func(reply func(*cell.Dump, error)) {
		reply(t.cell.Dump(), nil)
	})
	if err != nil {
		return nil
	}
	return dump
}

// tenure returns the present tenure once its records are loaded.
func (o *Owner) tenure(ctx context.Context) (*tenure, error) {
	t := o.current.Load()
	if t == nil {
		return nil, errkind.New(errkind.OwnerUnavailable, "", "this node does not own the cell")
	}
	select {
	case <-t.ready:
		return t, nil
	case <-t.ctx.Done():
		return nil, errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	case <-ctx.Done():
		return nil, errkind.Wrap(ctx.Err(), errkind.OwnerUnavailable, "", "the records of the cell are being loaded")
	}
}

// tryPost runs f on the control goroutine. An error means that it will not run.
func (t *tenure) tryPost(ctx context.Context, f func()) error {
	select {
	case t.inbox <- f:
		return nil
	case <-t.ctx.Done():
		return errkind.New(errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	case <-ctx.Done():
		return errkind.Wrap(ctx.Err(), errkind.Overloaded, "", "the owner of the cell is busy")
	}
}

// Handlers returns the handlers of the calls of other nodes.
func (o *Owner) Handlers() map[api.Method]wire.Handler {
	return map[api.Method]wire.Handler{
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
		api.MethodAdvise: func(ctx context.Context, payload []byte) (msgp.Marshaler, error) {
			var in api.AdviceCall
			if err := wire.Decode(payload, &in); err != nil {
				return nil, err
			}
			return o.options.Adviser.Advise(ctx, &in)
		},
	}
}

// awaitConfig waits until this node has the configuration version by which the
// caller admitted a work.
func (o *Owner) awaitConfig(ctx context.Context, version int) error {
	deadline := time.NewTimer(configWait)
	defer deadline.Stop()
	for {
		if config := o.options.Config(); config != nil && config.Version >= version {
			return nil
		}
		poll := time.NewTimer(configPoll)
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

// How an owner waits for a configuration that another node has already.
const (
	configWait = time.Second
	configPoll = 10 * time.Millisecond
)
