// Package clock provides an injected clock. Leases are judged by the boot-time
// clock, which runs on while a VM is suspended; the monotonic clock of package
// time may stand still then.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time.
type Clock interface {
	// Now returns the wall-clock time, for deadlines given by callers and records.
	Now() time.Time
	// Boot returns the time since an arbitrary start, suspension included. Only
	// differences of two values of the same process have a meaning.
	Boot() time.Duration
}

// System is the clock of the operating system.
type System struct{}

// Now returns the wall-clock time.
func (System) Now() time.Time { return time.Now() }

// Boot returns CLOCK_BOOTTIME.
func (System) Boot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The call cannot fail for a valid clock on Linux 2.6.39 or later.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Fake is a clock for tests that moves only when told to.
type Fake struct {
	mu   sync.Mutex
	now  time.Time
	boot time.Duration
}

// NewFake returns a fake clock that shows now.
func NewFake(now time.Time) *Fake { return &Fake{now: now, boot: time.Hour} }

// Now returns the time of the fake clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Boot returns the boot time of the fake clock.
func (f *Fake) Boot() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boot
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.boot += d
}
