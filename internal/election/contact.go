package election

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// A node that reaches neither the owner nor the table service can't serve its callers
// and can't learn of a new owner, while other nodes may do both. It reports itself as
// isolated, so that its callers are sent to other nodes instead of waiting.
const (
	isolatedAfter        = 700 * time.Millisecond   // without an answer for this long, a node is isolated
	contactCheckInterval = 100 * time.Millisecond   // between two checks by an owner whether it is isolated
	pauseThreshold       = 3 * contactCheckInterval // a longer time between two checks shows that the process was paused
)

// recordContact records an answer of the owner or of the table service.
func (a *Agent) recordContact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastContact = a.now()
	a.setIsolated(false)
}

// recordNoContact marks the node as isolated if neither the owner nor the table service
// has answered within isolatedAfter.
func (a *Agent) recordNoContact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setIsolated(a.now()-a.lastContact > isolatedAfter)
}

// setIsolated sets isolated. It logs a change and wakes the callers that wait for a
// change of the view. mu is held.
func (a *Agent) setIsolated(isolated bool) {
	if a.isolated == isolated {
		return
	}
	a.isolated = isolated
	a.notifyViewChanged()
	if isolated {
		event.NodeCutOff.Log(a.options.Logger, "owner", a.view.Address, "epoch", a.view.Epoch, "silent_ms", (a.now() - a.lastContact).Milliseconds())
	} else {
		event.NodeReconnected.Log(a.options.Logger)
	}
}

// watchContact checks at intervals whether this node is isolated while it owns the
// cell: no node pings it and the table service does not answer. A pause of the process
// restarts isolatedAfter, so that the other nodes have time to ping again.
func (a *Agent) watchContact(ctx context.Context) {
	lastCheck := a.now()
	for clock.Sleep(ctx, contactCheckInterval) {
		now := a.now()
		paused := now-lastCheck > pauseThreshold
		lastCheck = now
		lastContact := max(a.lastPing(), a.options.LastStoreAnswer())
		if paused {
			lastContact = now
		}
		a.mu.Lock()
		a.lastContact = max(a.lastContact, lastContact)
		a.setIsolated(now-a.lastContact > isolatedAfter)
		a.mu.Unlock()
	}
}

// lastPing returns when another node last pinged this one.
func (a *Agent) lastPing() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := time.Duration(0)
	for _, m := range a.members {
		last = max(last, m.lastPingAt)
	}
	return last
}
