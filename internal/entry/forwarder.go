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

// Timing of calls that are forwarded to the owner.
const (
	ownerWaitTimeout = 600 * time.Millisecond // until an owner is known
	retryInterval    = 25 * time.Millisecond
	tryTimeout       = 1200 * time.Millisecond // of one try of a call to the owner
	backlogMaxAge    = 1500 * time.Millisecond // of a backlog, and of the owner's last answer while the node is ready
)

// Owner handles the calls if this node owns the cell.
type Owner interface {
	Submit(ctx context.Context, in *api.WorkSubmission) (*api.WorkAck, error)
	State(ctx context.Context, ref *api.WorkRef) (*api.WorkStatus, error)
	Cancel(ctx context.Context, ref *api.WorkRef) error
	Backlog() ([]api.QueueBacklog, bool)
}

// errNoOwner means that no owner became known within ownerWaitTimeout.
var errNoOwner = errors.New("the cell has no owner at present")

// Options configures a Forwarder.
type Options struct {
	View  func() (election.View, <-chan struct{})
	Owner Owner
	Peers wire.Caller
	Clock clock.Clock
}

// Forwarder forwards the calls of submitters to the owner of the cell.
type Forwarder struct{ options Options }

// NewForwarder returns a Forwarder.
func NewForwarder(o Options) *Forwarder { return &Forwarder{o} }

// Submit submits a work. It returns once the work is stored.
func (f *Forwarder) Submit(ctx context.Context, call AdmittedCall, spec *api.WorkSpec) error {
	if err := work.Validate(spec); err != nil {
		return err
	}
	spec.Queue, spec.Team = call.Queue.Name, call.Team
	in := &api.WorkSubmission{Work: *spec, ConfigVersion: call.Version}
	return f.callOwner(ctx, true, func(ctx context.Context, v election.View) error {
		if v.Self {
			_, err := f.options.Owner.Submit(ctx, in)
			return err
		}
		return f.options.Peers.Call(ctx, v.Address, api.MethodSubmitWork, in, &api.WorkAck{})
	})
}

// State returns the state of a work.
func (f *Forwarder) State(ctx context.Context, call AdmittedCall, id string) (api.WorkState, error) {
	ref := &api.WorkRef{Id: id, Queue: call.Queue.Name, Team: call.Team}
	var out api.WorkStatus
	err := f.callOwner(ctx, false, func(ctx context.Context, v election.View) error {
		if !v.Self {
			return f.options.Peers.Call(ctx, v.Address, api.MethodWorkStatus, ref, &out)
		}
		status, err := f.options.Owner.State(ctx, ref)
		if err == nil {
			out = *status
		}
		return err
	})
	return out.State, err
}

// Cancel cancels a work. It returns once the cancellation is stored.
func (f *Forwarder) Cancel(ctx context.Context, call AdmittedCall, id string) error {
	ref := &api.WorkRef{Id: id, Queue: call.Queue.Name, Team: call.Team}
	return f.callOwner(ctx, false, func(ctx context.Context, v election.View) error {
		if v.Self {
			return f.options.Owner.Cancel(ctx, ref)
		}
		return f.options.Peers.Call(ctx, v.Address, api.MethodCancelWork, ref, &api.WorkAck{})
	})
}

// Backlog returns the number of works of a queue of which no task has started. A new
// owner does not know it before it has loaded the records; until then the backlog that
// its predecessor reported is used, if that is not older than backlogMaxAge.
func (f *Forwarder) Backlog(ctx context.Context, queue string) (int, error) {
	backlog, err := f.awaitBacklog(ctx)
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

// awaitBacklog waits up to ownerWaitTimeout for a backlog that is not older than
// backlogMaxAge.
func (f *Forwarder) awaitBacklog(ctx context.Context) ([]api.QueueBacklog, error) {
	began := f.options.Clock.Boot()
	for {
		v, _ := f.options.View()
		if v.Self {
			if backlog, loaded := f.options.Owner.Backlog(); loaded {
				return backlog, nil
			}
		}
		if now := f.options.Clock.Boot(); v.BacklogAt != 0 && now-v.BacklogAt <= backlogMaxAge {
			return v.Backlog, nil
		} else if now-began > ownerWaitTimeout || !clock.Sleep(ctx, retryInterval) {
			return nil, errkind.New(errkind.OwnerUnavailable, "", "no owner of the cell has reported its backlog recently")
		}
	}
}

// Ready reports whether the owner of the cell is known and has answered recently.
func (f *Forwarder) Ready() bool {
	v, _ := f.options.View()
	if v.Isolated {
		return false
	}
	return v.Self || v.Address != "" && f.options.Clock.Boot()-v.LastAnswerAt < backlogMaxAge
}

// callOwner calls the owner and retries the call while another try may succeed. Once a
// try may have stored a submission, a failure is reported as an unknown outcome, unless
// the owner has refused the submission since.
func (f *Forwarder) callOwner(ctx context.Context, submission bool, call func(ctx context.Context, v election.View) error) error {
	mayBeStored := false
	for {
		err := f.tryOnce(ctx, call)
		if err == nil {
			return nil
		}
		e := errkind.From(err)
		mayBeStored = mayBeStored || submission && e.Outcome() == errkind.Unknown
		if !retryable(e) || ctx.Err() != nil || errors.Is(err, errNoOwner) {
			return callerError(e, mayBeStored)
		}
		if !clock.Sleep(ctx, retryInterval) {
			return callerError(e, mayBeStored)
		}
	}
}

// callerError returns the error for the caller. After a try whose outcome is unknown, only
// a refusal by the owner proves that the submission has not run.
func callerError(e *errkind.Error, mayBeStored bool) error {
	if mayBeStored && e.Outcome() == errkind.NotRun && (retryable(e) || undecided(e)) {
		return errkind.Wrap(e, errkind.OutcomeUnknown, "", "an earlier try may have stored the work")
	}
	return e
}

// undecided reports whether an error may come from a try that the owner did not decide: this
// node did not send it, or a queue or a limit on the way to the owner was full.
func undecided(e *errkind.Error) bool {
	switch e.Kind {
	case errkind.NodeIsolated, errkind.Canceled, errkind.DeadlineExceeded, errkind.Overloaded, errkind.ConnectionLimit:
		return true
	}
	return false
}

// retryable reports whether the same call may succeed later or with another owner.
func retryable(e *errkind.Error) bool {
	switch e.Kind {
	case errkind.OwnerUnavailable, errkind.OutcomeUnknown, errkind.ShuttingDown, errkind.Fenced, errkind.NodeNotFresh:
		return true
	}
	return false
}

// tryOnce waits for an owner and makes one try of a call to it.
func (f *Forwarder) tryOnce(ctx context.Context, call func(ctx context.Context, v election.View) error) error {
	v, err := f.awaitOwner(ctx)
	if err != nil {
		return err
	}
	try, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	go f.cancelOnOwnerChange(try, cancel, v.Address)
	err = call(try, v)
	if errkind.Is(err, errkind.Canceled) && ctx.Err() == nil {
		// The caller has not canceled: cancelOnOwnerChange canceled this try before it
		// was sent.
		return errkind.Wrap(err, errkind.OwnerUnavailable, "", "the owner of the cell has changed")
	}
	return err
}

// cancelOnOwnerChange cancels a call to an owner once another owner is known or this node
// is isolated. The call may then be retried, by this node or by the caller at another.
func (f *Forwarder) cancelOnOwnerChange(ctx context.Context, cancel context.CancelFunc, owner string) {
	for {
		v, changed := f.options.View()
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

// awaitOwner waits up to ownerWaitTimeout until an owner is known.
func (f *Forwarder) awaitOwner(ctx context.Context) (election.View, error) {
	wait := time.NewTimer(ownerWaitTimeout)
	defer wait.Stop()
	for {
		v, changed := f.options.View()
		switch {
		case v.Isolated:
			return v, errkind.New(errkind.NodeIsolated, "", "neither the owner of the cell nor the table service answers this node")
		case v.Address != "":
			return v, nil
		}
		select {
		case <-changed:
		case <-wait.C:
			return v, errkind.Wrap(errNoOwner, errkind.OwnerUnavailable, "", "no owner became known in time")
		case <-ctx.Done():
			return v, errkind.Wrap(ctx.Err(), errkind.OwnerUnavailable, "", "the cell has no owner at present")
		}
	}
}
