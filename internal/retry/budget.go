// Package retry limits retries so that they cannot multiply the load of an
// overloaded system.
package retry

import (
	"sync"
	"time"

	"github.com/endivehill/endivehill/internal/clock"
)

// Refill and size of a budget. A tenth of the requests may be retried, and ten
// a second more so that a lightly loaded node can always retry.
const (
	tokensPerRequest = 0.1
	tokensPerSecond  = 10.0
	maxTokens        = 100.0
)

// Budget is a token bucket for retries. It is safe for concurrent use.
type Budget struct {
	clock  clock.Clock
	mu     sync.Mutex
	tokens float64
	filled time.Duration // boot time of the last refill
}

// NewBudget returns a budget that holds one second's worth of retries.
func NewBudget(c clock.Clock) *Budget {
	return &Budget{clock: c, tokens: tokensPerSecond, filled: c.Boot()}
}

// Request adds the part of the budget that a new request brings.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(maxTokens, b.tokens+tokensPerRequest)
}

// Take takes one retry out of the budget and reports whether there was one.
func (b *Budget) Take() bool {
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
	b.tokens = min(maxTokens, b.tokens+(now-b.filled).Seconds()*tokensPerSecond)
	b.filled = now
}
