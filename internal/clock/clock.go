// Package clock provides a clock that can be replaced in tests. Leases are measured
// with the boot-time clock, which continues while a VM is suspended; the monotonic
// clock of package time may stop meanwhile.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the wall-clock time and the boot time.
type Clock interface {
	// Now returns the wall-clock time. It is used for deadlines given by callers and
	// for stored records.
	Now() time.Time
	// Boot returns the time since an arbitrary start, including time in which the VM
	// was suspended. Only differences between values of the same process are
	// meaningful.
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

// Fake is a clock for tests that moves only when Advance is called.
type Fake struct {
	mu   sync.Mutex
	now  time.Time
	boot time.Duration
}

// NewFake returns a fake clock whose wall-clock time is now.
func NewFake(now time.Time) *Fake { return &Fake{now: now, boot: time.Hour} }

// Now returns the wall-clock time of the fake clock.
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
