package clock

import (
	"context"
	"time"
)

// minTimerDuration is the shortest duration of a timer.
const minTimerDuration = time.Nanosecond

// NewTimer returns a timer that fires after d, or at once if d is not positive.
//
// In a testing/synctest bubble, Go 1.26 runs an expired timer on the goroutine that
// creates it or reads its channel, with one race context for the whole bubble. If
// two goroutines do so at the same time, the race detector crashes. A timer of at
// least a nanosecond that is waited for at once is run by the bubble itself. For the
// same reason periodic loops use Wait instead of a ticker, which is overdue after a
// slow iteration.
func NewTimer(d time.Duration) *time.Timer { return time.NewTimer(max(d, minTimerDuration)) }

// Sleep waits for d or the end of ctx and reports whether ctx is still active.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx, d, nil) }

// Wait waits for d, a value from wake or the end of ctx, and reports whether ctx is
// still active. wake may be nil.
func Wait(ctx context.Context, d time.Duration, wake <-chan struct{}) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-wake:
	}
	return true
}
