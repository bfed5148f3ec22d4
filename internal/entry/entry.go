package entry

import (
	"context"
	"errors"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/election"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/wire"
	"github.com/endivehill/endivehill/internal/work"
)

// Timing of calls to the owner.
const (
	ownerWait     = 600 * time.Millisecond // for an owner to be known
	retryPause    = 25 * time.Millisecond
	callTimeout   = 1200 * time.Millisecond // one try of a call to the owner
	backlogMaxAge = 1500 * time.Millisecond
)

// Owner takes the calls if this node owns the cell.
type Owner interface {
	Submit(ctx context.Context, in *api.WorkSubmission) (*api.WorkAck, error)
	State(ctx context.Context, ref *api.WorkRef) (*api.WorkStatus, error)
	Cancel(ctx context.Context, ref *api.WorkRef) error
	Backlog() ([]api.QueueBacklog, bool)
}

// errNoOwner tells that no owner was known for the time that a call waits for one.
var errNoOwner = errors.New("the cell has no owner at present")

// Options configures an Entry.
type Options struct {
	View  func() (election.View, <-chan struct{})
	Owner Owner
	Peers wire.Caller
	Clock clock.Clock
}

// Entry hands the calls of submitters to the owner of the cell.
type Entry struct{ options Options }

// New returns an entry.
func New(o Options) *Entry { return &Entry{o} }

// Submit hands a work in. It returns once the work is stored.
func (e *Entry) Submit(ctx context.Context, caller Caller, spec *api.WorkSpec) error {
	if err := work.Validate(spec); err != nil {
		return err
	}
	spec.Queue, spec.Team = caller.Queue.Name, caller.Team
	in := &api.WorkSubmission{Work: *spec, ConfigVersion: caller.Version}
	return e.call(ctx, true, func(ctx context.Context, v election.View) error {
		if v.Self {
			_, err := e.options.Owner.Submit(ctx, in)
			return err
		}
		return e.options.Peers.Call(ctx, v.Address, api.MethodSubmitWork, in, &api.WorkAck{})
	})
}

// State returns the state of a work.
func (e *Entry) State(ctx context.Context, caller Caller, id string) (api.WorkState, error) {
	ref := &api.WorkRef{Id: id, Queue: caller.Queue.Name, Team: caller.Team}
	var out api.WorkStatus
	err := e.call(ctx, false, func(ctx context.Context, v election.View) error {
		if !v.Self {
			return e.options.Peers.Call(ctx, v.Address, api.MethodWorkStatus, ref, &out)
		}
		status, err := e.options.Owner.State(ctx, ref)
		if err == nil {
			out = *status
		}
		return err
	})
	return out.State, err
}

// Cancel cancels a work. It returns once that is stored.
func (e *Entry) Cancel(ctx context.Context, caller Caller, id string) error {
	ref := &api.WorkRef{Id: id, Queue: caller.Queue.Name, Team: caller.Team}
	return e.call(ctx, false, func(ctx context.Context, v election.View) error {
		if v.Self {
			return e.options.Owner.Cancel(ctx, ref)
		}
		return e.options.Peers.Call(ctx, v.Address, api.MethodCancelWork, ref, &api.WorkAck{})
	})
}

// Backlog returns the number of works of a queue of which no task has started. A new
// owner can't tell it at once, so what its predecessor told serves for a while.
func (e *Entry) Backlog(ctx context.Context, queue string) (int, error) {
	backlog, err := e.backlog(ctx)
	if err != nil {
		return 0, err
	}
	for _, b := range backlog {
		if b.Queue == queue {
			return b.Waiting, nil
		}
	}
	return 0, nil
}

// backlog waits a little for a backlog that is not too old.
func (e *Entry) backlog(ctx context.Context) ([]api.QueueBacklog, error) {
	began := e.options.Clock.Boot()
	for {
		v, _ := e.options.View()
		if v.Self {
			if backlog, loaded := e.options.Owner.Backlog(); loaded {
				return backlog, nil
			}
		}
		if now := e.options.Clock.Boot(); v.BacklogAt != 0 && now-v.BacklogAt <= backlogMaxAge {
			return v.Backlog, nil
		} else if now-began > ownerWait || !clock.Sleep(ctx, retryPause) {
			return nil, errkind.New(errkind.OwnerUnavailable, "", "no owner of the cell has told its backlog lately")
		}
	}
}

// Ready reports whether the owner of the cell is known and answers.
func (e *Entry) Ready() bool {
	v, _ := e.options.View()
	if v.Isolated {
		return false
	}
	return v.Self || v.Address != "" && e.options.Clock.Boot()-v.SeenAt < backlogMaxAge
}

// call calls the owner, and again while that may help. A submission whose outcome
// became unknown is never reported as not run.
func (e *Entry) call(ctx context.Context, submission bool, f func(ctx context.Context, v election.View) error) error {
	unknown := false
	for {
		err := e.try(ctx, f)
		if err == nil {
			return nil
		}
		k := errkind.From(err)
		unknown = unknown || submission && k.Outcome() == errkind.Unknown
		if !retryable(k) || ctx.Err() != nil || errors.Is(err, errNoOwner) {
			return settled(k, unknown)
		}
		if !clock.Sleep(ctx, retryPause) {
			return settled(k, unknown)
		}
	}
}

// settled returns the error for the caller. After a try whose outcome is unknown, only
// a refusal of the owner tells that the submission has not run.
func settled(k *errkind.Error, unknown bool) error {
	if unknown && k.Outcome() == errkind.NotRun && (retryable(k) || ownDecision(k)) {
		return errkind.Wrap(k, errkind.OutcomeUnknown, "", "an earlier try may have been stored")
	}
	return k
}

// ownDecision reports whether an error says why this node has not sent a call.
func ownDecision(k *errkind.Error) bool {
	switch k.Kind {
	case errkind.NodeIsolated, errkind.Canceled, errkind.DeadlineExceeded:
		return true
	}
	return false
}

// retryable reports whether the same call may succeed with another owner or a
// little later.
func retryable(k *errkind.Error) bool {
	switch k.Kind {
	case errkind.OwnerUnavailable, errkind.OutcomeUnknown, errkind.ShuttingDown, errkind.Fenced, errkind.NodeNotFresh:
		return true
	}
	return false
}

func (e *Entry) try(ctx context.Context, f func(ctx context.Context, v election.View) error) error {
	v, err := e.owner(ctx)
	if err != nil {
		return err
	}
	try, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	go e.cancelWhenLost(try, cancel, v.Address)
	err = f(try, v)
	if errkind.Is(err, errkind.Canceled) && ctx.Err() == nil {
		// The caller is still there: this try was given up before it was sent.
		return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	}
	return err
}

// cancelWhenLost ends a call to an owner once another one is known, or once this node
// can reach none. The call may then be repeated, here or at another node.
func (e *Entry) cancelWhenLost(ctx context.Context, cancel context.CancelFunc, owner string) {
	for {
		v, changed := e.options.View()
		if v.Isolated || v.Address != "" && v.Address != owner {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// owner waits a little for the owner to be known.
func (e *Entry) owner(ctx context.Context) (election.View, error) {
	wait := time.NewTimer(ownerWait)
	defer wait.Stop()
	for {
		v, changed := e.options.View()
		switch {
		case v.Isolated:
			return v, errkind.New(errkind.NodeIsolated, "", "neither the owner of the cell nor the table service answers this node")
		case v.Address != "":
			return v, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return v, errkind.Wrap(errNoOwner, errkind.OwnerUnavailable, "", "the owner did not appear in time")
		case <-ctx.Done():
			return v, errkind.Wrap(ctx.Err(), errkind.OwnerUnavailable, "", "the cell has no owner at present")
		}
	}
}
