package owner

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// Limits of the requests to the successors after a release.
const (
	notifyTimeout = 150 * time.Millisecond // for one of them to answer
	// notifyLimit bounds all requests: two without an answer and a third. Other nodes claim the
	// cell 500 ms after the release anyway.
	notifyLimit = 400 * time.Millisecond
	// sentCheckInterval is the time between two checks whether all messages are sent.
	sentCheckInterval = 10 * time.Millisecond
)

// HandOver commits the pending changes and releases the ownership, so that another node
// can take over the cell at once. It returns when the tenure or ctx has ended.
func (o *Owner) HandOver(ctx context.Context) {
	t := o.currentTenure.Load()
	if t == nil {
		return
	}
	select {
	case <-t.loaded:
	case <-t.ended:
		return
	case <-ctx.Done():
		return
	}
	select {
	case t.inbox <- func() { t.handingOver = true }:
	case <-t.ended:
		return
	case <-ctx.Done():
		return
	}
	select {
	case <-t.ended:
	case <-ctx.Done():
	}
}

// AwaitSent waits until the messages are sent that ended tenures of this node owe others: the
// requests to the successors, and the results of advice calls for the next owner. A process that
// ends before would leave the cell without an owner for longer. It returns at the latest when ctx
// ends.
func (o *Owner) AwaitSent(ctx context.Context) {
	for o.unsent.Load() > 0 && clock.Sleep(ctx, sentCheckInterval) {
	}
}

// releaseOwnership releases the ownership and ends the tenure. It is called once all
// changes are committed.
func (t *tenure) releaseOwnership() {
	t.commitInFlight, t.releasing = true, true
	ends := t.leaseEndsAtRelease()
	heartbeats := t.heartbeatsRow()
	t.runAsync(func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		successors := t.options.Successors()
		if err := t.lease.Release(ctx, firstOrEmpty(successors), append(ends, heartbeats...)...); err != nil {
			event.ReleaseFailed.Log(t.options.Logger, "err", err)
		}
		t.unsent.Add(1)
		t.cancel(errkind.New(errkind.ShuttingDown, "", "the ownership of the cell was released"))
		go t.notifySuccessors(successors) // the end of the tenure doesn't wait for their answers
	})
}

// firstOrEmpty returns the first address; empty for none.
func firstOrEmpty(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}
	return addresses[0]
}

// notifySuccessors asks one successor after the other to claim the released cell until one
// accepts. Without the request the named successor would find out at its next ping, and if it
// is being stopped, the others would wait for it in vain.
func (t *tenure) notifySuccessors(addresses []string) {
	defer t.unsent.Add(-1)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), notifyLimit)
	defer cancel()
	for _, address := range addresses {
		if ctx.Err() != nil || t.notifySuccessor(ctx, address) {
			return
		}
	}
}

// notifySuccessor asks a node to claim the released cell and reports whether it accepts. The
// request has the epoch of this owner, so that a node that serves it late does not take the
// cell from one that was asked after it.
func (t *tenure) notifySuccessor(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	request := &api.OwnerPing{Address: t.options.SelfAddress, Epoch: t.epoch}
	err := t.options.Peers.Call(ctx, address, api.MethodTakeOver, request, &api.Empty{})
	if err != nil {
		event.SuccessorCallFailed.Log(t.options.Logger, "to", address, "err", err)
	}
	return err == nil
}
