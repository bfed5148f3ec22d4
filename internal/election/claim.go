package election

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/event"
)

// maybeClaim claims the cell if the owner is lost and the claim delay of this node
// has passed, or if the owner has asked this node to take the cell over.
func (a *Agent) maybeClaim(ctx context.Context) *Lease {
	a.mu.Lock()
	suspicion, stopping := a.suspicion, a.stopping
	a.mu.Unlock()
	if stopping {
		return nil
	}
	if lease := a.claimOnRequest(ctx); lease != nil || suspicion.since == 0 {
		return lease
	}
	if !a.findOwnerInTable(ctx) {
		return nil // a claim would wait for the table service as well, without pings to the owner
	}
	a.mu.Lock()
	suspicion = a.suspicion
	row, unchanged := a.lastRow, a.now()-a.rowChangedAt
	a.mu.Unlock()
	if suspicion.since == 0 {
		return nil
	}
	if !suspicion.confirmed && !a.mayReplaceOwner(ctx, row, unchanged) {
		return nil
	}
	if a.now()-suspicion.since < a.claimDelay(row) {
		return nil
	}
	return a.claim(ctx, row)
}

// claimOnRequest claims the cell if its owner has asked this node to take it over. A
// commit of the owner between the read and the claim makes the claim fail, so the
// claim is tried up to maxTakeOverTries times. A request of an owner that has been replaced
// since is not served.
func (a *Agent) claimOnRequest(ctx context.Context) *Lease {
	a.mu.Lock()
	requestedAt, from := a.takeOverRequestedAt, a.takeOverFrom
	a.takeOverRequestedAt = 0
	a.mu.Unlock()
	asked := requestedAt != 0 && a.now()-requestedAt <= takeOverRequestMaxAge
	a.setAskedToTakeOver(asked)
	if !asked {
		return nil
	}
	for range maxTakeOverTries {
		readCtx, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := readOwnershipRow(readCtx, a.options.Store)
		cancel()
		if err != nil {
			return nil
		}
		if from != 0 && row.record.Epoch != from {
			a.setAskedToTakeOver(false)
			return nil
		}
		if lease := a.claim(ctx, row); lease != nil {
			return lease
		}
	}
	return nil
}

func (a *Agent) setAskedToTakeOver(asked bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.askedToTakeOver = asked
}

func (a *Agent) wasAskedToTakeOver() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.askedToTakeOver
}

// Limits of a claim that the owner has requested.
const (
	takeOverRequestMaxAge = time.Second
	maxTakeOverTries      = 4
)

// mayReplaceOwner reports whether this node may replace an owner that does not answer or
// refuses connections. The row must not have changed for staleAfter, and no peer may still
// reach the owner. If no peer answers, the row must not have changed for
// isolatedCommitStaleAfter.
func (a *Agent) mayReplaceOwner(ctx context.Context, row ownershipRow, unchanged time.Duration) bool {
	a.mu.Lock()
	refused := a.suspicion.refused
	a.mu.Unlock()
	if unchanged < a.staleAfter(refused) {
		return false
	}
	reachedWithin := ownerSeenWithin
	if refused {
		reachedWithin = min(unchanged, ownerSeenWithin) // an answer before the last change shows nothing
	}
	reachOwner, answered := a.peersReachOwner(ctx, row.record.Address, reachedWithin)
	if !reachOwner && (answered || unchanged >= isolatedCommitStaleAfter) {
		return true
	}
	event.OwnerNotReplaced.Log(a.options.Logger, "owner", row.record.Address, "epoch", row.record.Epoch, "refused", refused,
		"row_unchanged_ms", unchanged.Milliseconds(), "peers_answer", answered, "peers_reach_owner", reachOwner)
	return false
}

// staleAfter returns how long the row must not have changed before the owner may be
// replaced. A refused connection is likely, but not certain, to mean that its process has
// ended.
func (a *Agent) staleAfter(refused bool) time.Duration {
	switch {
	case refused:
		return refusedStaleAfter
	case a.isStandby():
		return a.standbyStaleAfter()
	}
	return isolatedCommitStaleAfter
}

// standbyStaleAfter returns the time without a change of its row after which a standby may
// replace an owner that does not answer.
func (a *Agent) standbyStaleAfter() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return min(max(commitStaleAfter, staleAfterPings*a.slowestPing), isolatedCommitStaleAfter)
}

// claimDelay returns how long the owner must be suspected before this node claims the cell. Nodes
// that run when a cell is released claim it in the order of their delays. So a node which starts
// later counts the delays that let others precede it from the release.
func (a *Agent) claimDelay(row ownershipRow) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	unowned := a.unownedBefore(row)
	if row.record.Released && row.record.Successor == a.options.Holder.Address {
		return 0
	}
	if row.record.Released && row.record.Successor != "" && unowned < successorWait {
		return successorWait - unowned
	}
	if rank := a.standbyRank(); rank > 0 {
		return time.Duration(rank-1) * claimRankDelay
	}
	delay := time.Duration(rand.Int64N(int64(claimRankDelay))) + remainingDelay(a.weaknessDelay(row), unowned)
	if len(a.standbyAddresses) > 0 {
		delay += nonStandbyClaimDelay
	}
	return delay
}

// unownedBefore returns how long a released cell has had no owner, at least, when this node first
// read its row. mu is held.
func (a *Agent) unownedBefore(row ownershipRow) time.Duration {
	if !row.record.Released {
		return 0
	}
	return a.rowAge
}

// remainingDelay returns what is left of a claim delay that lets other nodes precede this one, in a
// cell without an owner for some time. Fit nodes that start together with this one still precede
// it: they claim at the first check after a random delay of up to claimRankDelay.
func remainingDelay(delay, unowned time.Duration) time.Duration {
	return max(min(delay, claimRankDelay+standbyPingInterval), delay-unowned)
}

// weaknessDelay returns the additional claim delay of a node that is weak, or that isn't fit for
// the load that the ownership row records.
func (a *Agent) weaknessDelay(row ownershipRow) time.Duration {
	delay := a.size().unfitDelay(needOf(loadOf(row.record), 1+len(a.members)))
	if a.options.CPUMillis < weakCPUMillis {
		delay = max(delay, weakNodeClaimDelay)
	}
	return delay
}

// claimRetryDelay is the time between two attempts of the same claim, and claimRetryLimit the
// time after which a claim is no longer repeated.
const (
	claimRetryDelay = 50 * time.Millisecond
	claimRetryLimit = time.Second
)

// claim claims the cell. A claim that may have been applied is repeated, but not for the
// whole of an outage of the table service: the owner may outlast it too, and this node does
// not ping the owner meanwhile.
func (a *Agent) claim(ctx context.Context, row ownershipRow) *Lease {
	began := a.now()
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		lease, err := claim(tryCtx, a.options.Store, a.options.Clock, a.options.Holder, row)
		cancel()
		if err == nil {
			lease.priorLost = row.version != 0 && !row.record.Released && !a.wasAskedToTakeOver()
			return lease
		}
		event.OwnershipWriteFailed.Log(a.options.Logger, "epoch", nextEpoch(row.record.Epoch), "err", err)
		if !outcomeUnknown(err) || a.now()-began >= claimRetryLimit {
			a.resetSuspicion()
			return nil
		}
		clock.Sleep(ctx, claimRetryDelay)
	}
	return nil
}

// resetSuspicion clears the suspicion and the known owner, and restarts the time for
// which the row has not changed, so that the owner is looked up in the table again.
func (a *Agent) resetSuspicion() {
	a.mu.Lock()
	a.suspicion = ownerSuspicion{}
	a.rowChangedAt = 0
	a.mu.Unlock()
	a.setView(View{Epoch: a.view.Epoch})
}
