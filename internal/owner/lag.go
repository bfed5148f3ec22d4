package owner

import (
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// Measurement of the lag of the control goroutine.
const (
	lagSmoothingTicks   = 32 // ticks over which the lag is smoothed
	lagWarningThreshold = 5 * time.Millisecond
	lagWarningInterval  = time.Second
)

// A node that runs late sees answers late. Without more time for them it would close the
// connections, and opening new ones costs it more than the calls.
const (
	timeoutLagFactor = 4
	maxLagAllowance  = 600 * time.Millisecond
)

// measureLag measures how late ticks are handled.
func (t *tenure) measureLag() {
	now := t.options.Clock.Boot()
	if t.tickedAt != 0 {
		late := max(0, now-t.tickedAt-tickInterval)
		t.lag += (late - t.lag) / lagSmoothingTicks
		t.publishedLag.Store(int64(t.lag))
		if t.lag > lagWarningThreshold && now-t.lagLoggedAt > lagWarningInterval {
			t.lagLoggedAt = now
			event.OwnerLate.Log(t.options.Logger, "lag_ms", t.lag.Milliseconds(), "pass_us", t.passDuration.Microseconds(), "inbox", len(t.inbox))
		}
	}
	t.tickedAt = now
}

// Lag returns how late the control goroutine handles its ticks, smoothed over about a
// second.
func (o *Owner) Lag() time.Duration { return time.Duration(o.publishedLag.Load()) }

// lagAllowance returns the time that answers of workers get beyond their timeout because
// this node handles them late.
func (o *Owner) lagAllowance() time.Duration { return min(timeoutLagFactor*o.Lag(), maxLagAllowance) }
