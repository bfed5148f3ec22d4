package election

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

const (
	// maxSuccessors is the number of nodes that an owner which releases the cell may ask to take
	// it over.
	maxSuccessors = 4
	// successorPollInterval is the time between two checks for a fit successor. A node that has
	// started pings the owner at once.
	successorPollInterval = 20 * time.Millisecond
)

// Successors returns the nodes that should take the cell over when this node releases it, the
// preferred first. Those that have used the table service lately precede the others. Unlike the
// standbys they include much weaker nodes, which are asked only if the others don't accept.
func (a *Agent) Successors() []string {
	ownAge := a.now() - a.options.LastStoreAnswer()
	a.mu.Lock()
	defer a.mu.Unlock()
	eligible, handover := a.eligibleNodes(a.need(), ownAge)
	if !handover { // otherwise they are ordered by a stricter rule already
		slices.SortStableFunc(eligible, func(x, y *member) int {
			return cmp.Compare(boolInt(!hasUsedStore(x)), boolInt(!hasUsedStore(y)))
		})
	}
	var out []string
	for _, m := range eligible[:min(len(eligible), maxSuccessors)] {
		out = append(out, m.ping.Address)
	}
	return out
}

// AwaitLoss waits until this node does not own the cell or has lost the table service, or until ctx
// ends.
func (a *Agent) AwaitLoss(ctx context.Context) {
	for a.ownsWithStore() && clock.Sleep(ctx, successorPollInterval) {
	}
}

// AwaitFitSuccessor is called before an owner that is being stopped releases the cell. If the
// owner is fit and no other node is that could take over, it returns once one can, at the
// latest when ctx ends: an owner that isn't fit loads the records slowly and hands over again.
// It returns at once if no other node has pinged lately, and as soon as this node loses the
// cell or the table service.
func (a *Agent) AwaitFitSuccessor(ctx context.Context) {
	if !a.mayExpectFitSuccessor() {
		return
	}
	for a.ownsWithStore() && !a.hasFitSuccessor() {
		if !clock.Sleep(ctx, successorPollInterval) {
			return
		}
	}
}

// mayExpectFitSuccessor reports whether this node is a fit owner of a cell of which other nodes
// run or are being stopped. A node that is being stopped is likely to start again.
func (a *Agent) mayExpectFitSuccessor() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.isOwner || a.size().fitness(a.need()) < fitRatio {
		return false
	}
	for _, m := range a.members {
		if m.ping.Address != a.options.Holder.Address && a.now()-m.lastPingAt <= memberExpiry {
			return true
		}
	}
	return false
}

// hasFitSuccessor reports whether a node that is fit and has used the table service can take
// the cell over.
func (a *Agent) hasFitSuccessor() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	need := a.need()
	for _, m := range a.members {
		if a.mayTakeOver(m) && hasUsedStore(m) && m.size().fitness(need) >= fitRatio {
			return true
		}
	}
	return false
}

// ownsWithStore reports whether this node owns the cell and has not lost the table service.
func (a *Agent) ownsWithStore() bool {
	storeAge := a.now() - a.options.LastStoreAnswer()
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isOwner && storeAge <= storeLostAfter
}
