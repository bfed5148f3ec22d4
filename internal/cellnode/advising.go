package cellnode

import (
	"context"
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/clock"
	"github.com/endivehill/endivehill/internal/owner"
)

// The adviser handles one call at a time for each node, so a node that is being stopped goes
// on making calls while the owner sends it some: works that were accepted with more nodes
// wait for them.
const (
	advisingReserve  = 300 * time.Millisecond // left of the grace time when the last call ends
	advisingIdleTime = 500 * time.Millisecond // a stopping node without a call for this time is not needed
)

// countingAdviser knows when the last call to the adviser ended.
type countingAdviser struct {
	owner.Adviser
	clock clock.Clock

	mu       sync.Mutex
	inFlight int
	endedAt  time.Duration
}

// Advise implements owner.Adviser.
func (a *countingAdviser) Advise(ctx context.Context, call *api.AdviceCall) (*api.AdviceAnswer, error) {
	a.count(1)
	defer a.count(-1)
	return a.Adviser.Advise(ctx, call)
}

func (a *countingAdviser) count(change int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight += change
	a.endedAt = a.clock.Boot()
}

// idle reports whether no call was in flight lately.
func (a *countingAdviser) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.inFlight == 0 && a.clock.Boot()-a.endedAt >= advisingIdleTime
}

// waitIdle waits until no call was in flight lately, or until a boot time.
func (a *countingAdviser) waitIdle(ctx context.Context, until time.Duration) {
	const interval = 50 * time.Millisecond
	for a.clock.Boot() < until && ctx.Err() == nil && !a.idle() {
		clock.Sleep(ctx, interval)
	}
}
