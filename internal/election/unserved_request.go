package election

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Limits for passing on a request to take the cell over.
const (
	passRequestTimeout = 150 * time.Millisecond // for a node to accept it
	// passRequestLimit bounds all calls. The other nodes claim a released cell after successorWait.
	passRequestLimit = successorWait
)

// takeUnservedRequest returns the epoch of the owner that has lately asked this node to take the
// cell over, and drops the request; 0 if there is none that is not served.
func (a *Agent) takeUnservedRequest() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.takeOverRequestedAt == 0 || a.now()-a.takeOverRequestedAt > takeOverRequestMaxAge {
		return 0
	}
	a.takeOverRequestedAt = 0
	return a.takeOverFrom
}

// passRequestOn passes the request of the owner of an epoch to the standbys, the preferred first,
// until one accepts it, if that owner has released the cell: the others would wait for this node in
// vain. An owner that still runs asks another node itself.
func (a *Agent) passRequestOn(epoch int) {
	ctx, cancel := context.WithTimeout(context.Background(), passRequestLimit)
	defer cancel()
	row, err := readOwnershipRow(ctx, a.options.Store)
	if err != nil || !row.record.Released || row.record.Epoch != epoch {
		return // another node claims the cell, or finds out that it may
	}
	a.mu.Lock()
	standbys := a.standbyAddresses
	a.mu.Unlock()
	for _, address := range standbys {
		if address == a.options.Holder.Address {
			continue
		}
		if ctx.Err() != nil || a.passRequestTo(ctx, address, epoch) {
			return
		}
	}
}

// passRequestTo passes a request to a node and reports whether it accepts.
func (a *Agent) passRequestTo(ctx context.Context, address string, epoch int) bool {
	ctx, cancel := context.WithTimeout(ctx, passRequestTimeout)
	defer cancel()
	err := a.options.Caller.Call(ctx, address, api.MethodTakeOver, a.takeOverRequest(epoch), &api.Empty{})
	if err != nil {
		event.SuccessorCallFailed.Log(a.options.Logger, "to", address, "err", err)
	}
	return err == nil
}
