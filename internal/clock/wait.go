package clock

import (
	"context"
	"time"
)

// minTimer is the shortest time of a timer.
const minTimer = time.Nanosecond

// NewTimer returns a timer that fires after d, and at once if d is not positive.
//
// In a bubble of testing/synctest, Go 1.26 runs a timer that is due on the
// goroutine that makes it or looks at its channel, with one race context for the
// bubble. Two goroutines that do so at a time crash the race detector. A timer of
// at least a nanosecond, waited for at once, is run by the bubble itself. For the
// same reason a loop with an interval uses Wait and no ticker, which is overdue
// after a slow pass.
func NewTimer(d time.Duration) *time.Timer { return time.NewTimer(max(d, minTimer)) }

// Sleep waits for d and reports whether ctx is still running.
func Sleep(ctx context.Context, d time.Duration) bool { return Wait(ctx, d, nil) }

// Wait waits for d or until wake, which may be nil, has a value, and reports whether
// ctx is still running.
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
