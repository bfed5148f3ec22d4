// Package retry limits retries, so that they do not multiply the load of an overloaded
// system.
package retry

import (
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Refill rates and capacity of a budget. A tenth of the requests may be retried, plus ten
// per second, so that a lightly loaded node can always retry.
const (
	tokensPerRequest = 0.1
	tokensPerSecond  = 10.0
	maxTokens        = 100.0
)

// Budget is a token bucket for retries. It is safe for concurrent use.
type Budget struct {
	clock      clock.Clock
	mu         sync.Mutex
	tokens     float64       // one per retry
	refilledAt time.Duration // clock.Boot at the last time-based refill
}

// NewBudget returns a budget that holds one second's worth of retries.
func NewBudget(c clock.Clock) *Budget {
	return &Budget{clock: c, tokens: tokensPerSecond, refilledAt: c.Boot()}
}

// AddRequest adds the tokens that a new request contributes to the budget.
func (b *Budget) AddRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// TakeRetry consumes a token for one retry. It returns false if the budget has none.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill() {
	now := b.clock.Boot()
	b.tokens = min(maxTokens, b.tokens+(now-b.refilledAt).Seconds()*tokensPerSecond)
	b.refilledAt = now
}
