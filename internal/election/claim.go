package election

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// considerClaim claims the cell if the owner is gone and it is this node's turn.
func (a *Agent) considerClaim(ctx context.Context) *Lease {
	a.mu.Lock()
	s, stopping := a.suspect, a.stopping
	a.mu.Unlock()
	if stopping {
		return nil
	}
	if lease := a.takeOver(ctx); lease != nil || s.since == 0 {
		return lease
	}
	a.readRow(ctx)
	a.mu.Lock()
	s = a.suspect
	row, unchanged := a.record, a.now()-a.recordAt
	read := a.recordAt != 0
	a.mu.Unlock()
	if s.since == 0 || !read {
		return nil
	}
	if !s.certain && !a.mayReplace(ctx, row, unchanged) {
		return nil
	}
	if a.now()-s.since < a.turn(row) {
		return nil
	}
	return a.claim(ctx, row)
}

// takeOver claims the cell if its owner has asked this node to. The owner may commit
// between the read and the claim, so it is tried a few times.
func (a *Agent) takeOver(ctx context.Context) *Lease {
	a.mu.Lock()
	asked := a.asked
	a.asked = 0
	a.mu.Unlock()
	if asked == 0 || a.now()-asked > takeOverAge {
		return nil
	}
	for range takeOverTries {
		read, cancel := context.WithTimeout(ctx, readTimeout)
		row, err := readOwner(read, a.options.Store)
		cancel()
		if err != nil {
			return nil
		}
		if lease := a.claim(ctx, row); lease != nil {
			return lease
		}
	}
	return nil
}

// Bounds of a claim that the owner has asked for.
const (
	takeOverAge   = time.Second
	takeOverTries = 4
)

// mayReplace reports whether a silent owner may be replaced. A node that is the only
// one not to hear the owner leaves it alone, and one that is no standby leaves it to
// those for long.
func (a *Agent) mayReplace(ctx context.Context, row ownerRow, unchanged time.Duration) bool {
	if unchanged < stillAfter || !a.isStandby() && unchanged < isolatedStill {
		return false
	}
	hear, reached := a.othersHearOwner(ctx, row.record.Address)
	return !hear && (reached || unchanged >= isolatedStill)
}

// turn returns how long this node waits before it claims the cell.
func (a *Agent) turn(row ownerRow) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if row.record.Released && row.record.Successor != "" {
		if row.record.Successor == a.options.Holder.Address {
			return 0
		}
		return successorWait
	}
	if i := slices.Index(a.standby, a.options.Holder.Address); i >= 0 {
		return time.Duration(i) * rankDelay
	}
	if len(a.standby) == 0 {
		delay := time.Duration(rand.Int64N(int64(rankDelay)))
		if a.options.CPUMilli < weakCPUMillis {
			delay += weakDelay
		}
		return delay
	}
	delay := unrankedDelay + time.Duration(rand.Int64N(int64(rankDelay)))
	if a.options.CPUMilli < weakCPUMillis {
		delay += weakDelay
	}
	return delay
}

func (a *Agent) claim(ctx context.Context, row ownerRow) *Lease {
	for ctx.Err() == nil {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		lease, err := claim(try, a.options.Store, a.options.Holder, row)
		cancel()
		if err == nil {
			return lease
		}
		event.ClaimFailed.Log(a.options.Logger, "epoch", row.record.Epoch+1, "err", err)
		if !ambiguous(err) {
			a.resetSuspicion()
			return nil
		}
		// The claim may have been applied, so the same one is tried again.
	}
	return nil
}

// resetSuspicion starts anew from the row.
func (a *Agent) resetSuspicion() {
	a.mu.Lock()
	a.suspect = suspicion{}
	a.recordAt = 0
	a.mu.Unlock()
	a.setView(View{Epoch: a.view.Epoch})
}
