package owner

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/errkind"
	"github.com/endivehill/endivehill/internal/event"
)

// notifyTimeout is the time to tell the successor that the ownership is released.
const notifyTimeout = 150 * time.Millisecond

// HandOver commits the pending changes and releases the ownership, so that another node
// can take over the cell at once. It returns when the tenure or ctx has ended.
func (o *Owner) HandOver(ctx context.Context) {
	t := o.currentTenure.Load()
	if t == nil {
		return
	}
	select {
	case <-t.loaded:
	case <-t.ctx.Done():
		return
	case <-ctx.Done():
		return
	}
	t.enqueue(func() { t.handingOver = true })
	select {
	case <-t.ctx.Done():
	case <-ctx.Done():
	}
}

// releaseOwnership releases the ownership and ends the tenure. It is called once all
// changes are committed.
func (t *tenure) releaseOwnership() {
	t.commitInFlight = true
	t.runAsync(func() {
		ctx, cancel := context.WithTimeout(t.ctx, commitTimeout)
		defer cancel()
		successor := t.options.Successor()
		if err := t.lease.Release(ctx, successor); err != nil {
			event.ReleaseFailed.Log(t.options.Logger, "err", err)
		}
		t.cancel(errkind.New(errkind.ShuttingDown, "", "the ownership of the cell was released"))
		if successor != "" {
			t.notifySuccessor(successor)
		}
	})
}

// notifySuccessor tells the successor that the ownership is released. Without the call
// the successor would find out at its next ping.
func (t *tenure) notifySuccessor(address string) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.ctx), notifyTimeout)
	defer cancel()
	if err := t.options.Peers.Call(ctx, address, api.MethodTakeOver, &api.Empty{}, &api.Empty{}); err != nil {
		event.SuccessorCallFailed.Log(t.options.Logger, "to", address, "err", err)
	}
}
