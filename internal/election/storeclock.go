package election

import (
	"math"
	"time"
)

// minStoreClockRate is the lowest assumed rate of the clock of the table service relative to
// that of a node, and the reverse.
const minStoreClockRate = 0.98

// maxStoreClockAhead bounds how far a recorded reading is ahead of the clock of the table
// service. One that is further ahead was not written by an owner.
const maxStoreClockAhead = time.Hour

// claimClock is the reading of the clock of the table service at a claim, and a boot time that is
// not before it.
type claimClock struct {
	reading    time.Duration // 0 if it is not known
	answeredAt time.Duration
}

// storeClockMs returns a reading that the clock of the table service has not passed at a boot
// time, in milliseconds; 0 if no reading is known.
func (l *Lease) storeClockMs(boot time.Duration) int {
	if l.storeClock == 0 {
		return 0
	}
	return int((l.storeClock + boot - l.storeClockAt).Milliseconds()) + 1
}

// MaxStoreClockAt returns a reading that the clock of the table service will not have passed at
// a boot time to come, in milliseconds; 0 if no reading is known.
func (l *Lease) MaxStoreClockAt(boot time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeClock == 0 {
		return 0
	}
	ahead := max(0, boot-l.storeClockAt)
	return int((l.storeClock + maxElapsed(ahead)).Milliseconds()) + 1
}

// WhenStoreClockReaches returns a boot time by which the clock of the table service has reached a
// reading in milliseconds; false if that can't be told.
func (l *Lease) WhenStoreClockReaches(readingMs int) (time.Duration, bool) {
	ahead := int64(readingMs) - l.claimClock.reading.Milliseconds()
	if l.claimClock.reading == 0 || readingMs <= 0 || ahead > maxStoreClockAhead.Milliseconds() {
		return 0, false
	}
	return l.claimClock.answeredAt + maxElapsed(time.Duration(max(0, ahead))*time.Millisecond), true
}

// MinStoreClockAt returns a reading that the clock of the table service had passed at a boot time of
// the past, in milliseconds; 0 if no reading is known. It is called while no commit is in flight.
func (l *Lease) MinStoreClockAt(boot time.Duration) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.storeClock == 0 {
		return 0
	}
	// The reading was taken before now, it is not known when.
	passed := l.storeClock - maxElapsed(max(0, l.clock.Boot()-boot))
	return int(max(0, passed).Milliseconds())
}

// BootBeforeStoreClock returns a boot time at which the clock of the table service had not yet
// passed a reading in milliseconds that was taken before the claim; false if that can't be told.
func (l *Lease) BootBeforeStoreClock(readingMs int) (time.Duration, bool) {
	if l.claimClock.reading == 0 || readingMs <= 0 || int64(readingMs) > l.claimClock.reading.Milliseconds() {
		return 0, false
	}
	reading := time.Duration(readingMs) * time.Millisecond
	return l.claimedAt - maxElapsed(l.claimClock.reading-reading), true
}

// maxElapsed returns the longest time in which a clock advances by d, on the other one.
func maxElapsed(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d) / minStoreClockRate))
}
