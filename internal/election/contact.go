package election

import (
	"context"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// A node that reaches neither the owner nor the table service can't serve its callers
// and can't learn of a new owner, while other nodes may do both. So it tells its
// callers to go elsewhere instead of keeping them.
const (
	isolatedAfter   = 700 * time.Millisecond // without an answer, a node counts as isolated
	contactInterval = 100 * time.Millisecond // between two looks of an owner at its own contacts
	pausedAfter     = 3 * contactInterval    // a look that is so late follows a pause of the process
)

// noteContact notes an answer of the owner or of the table service.
func (a *Agent) noteContact() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.contactAt = a.now()
	a.setIsolated(false)
}

// noteSilence notes that neither the owner nor the table service has answered.
func (a *Agent) noteSilence() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setIsolated(a.now()-a.contactAt > isolatedAfter)
}

// setIsolated wakes those that wait for a change of the view. mu is held.
func (a *Agent) setIsolated(isolated bool) {
	if a.isolated == isolated {
		return
	}
	a.isolated = isolated
	a.signal()
	if isolated {
		event.NodeCutOff.Log(a.options.Logger, "owner", a.view.Address, "epoch", a.view.Epoch, "silent_ms", (a.now() - a.contactAt).Milliseconds())
	} else {
		event.NodeReconnected.Log(a.options.Logger)
	}
}

// watchContact watches whether this node is isolated while it owns the cell: no node
// pings it and the table service does not answer it. After a pause of the process, the
// others are given the time to ping again.
func (a *Agent) watchContact(ctx context.Context) {
	looked := a.now()
	for clock.Sleep(ctx, contactInterval) {
		now := a.now()
		paused := now-looked > pausedAfter
		looked = now
		heard := max(a.lastPing(), a.options.StoreSeen())
		if paused {
			heard = now
		}
		a.mu.Lock()
		a.contactAt = max(a.contactAt, heard)
		a.setIsolated(now-a.contactAt > isolatedAfter)
		a.mu.Unlock()
	}
}

// lastPing returns when another node last pinged this one.
func (a *Agent) lastPing() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := time.Duration(0)
	for _, m := range a.members {
		last = max(last, m.seenAt)
	}
	return last
}
