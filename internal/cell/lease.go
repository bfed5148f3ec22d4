package cell

import (
	"math"
	"time"
)

// minClockRate is the lowest assumed rate of a worker's clock, relative to the clock of
// this node.
const minClockRate = 0.98

// leaseEndMargin is added to the computed end of a lease, to allow for the resolution of
// the clocks.
const leaseEndMargin = 100 * time.Millisecond

// lateCallLimit is the longest time after which a worker may still carry out a call that it
// has not answered.
const lateCallLimit = 13 * time.Second

// clockAtLeast returns a reading that the worker's clock has reached now. A lease that is
// granted from it lasts no longer than LeaseBound, however old the last reading is.
func (w *worker) clockAtLeast(now time.Duration) int64 {
	return w.clockMs + int64(minClockRate*float64((now-w.clockAt).Milliseconds()))
}

// updateClock stores a reading of the worker's clock that has just arrived.
func (w *worker) updateClock(now time.Duration, clockMs int64) {
	if clockMs <= 0 {
		return
	}
	w.clockMs, w.clockAt, w.clockKnown = clockMs, now, true
}

// leaseCalls tracks the calls to a worker that carry a lease. A worker that has restarted
// under its ID carries out calls that were meant for its earlier incarnation, so these
// calls tell which leases the next incarnation may hold.
type leaseCalls struct {
	inFlight  int
	settledAt time.Duration // last answer or failure
	lostAt    time.Duration // last failure; the worker may carry the call out later
}

func (l *leaseCalls) sent() { l.inFlight++ }

func (l *leaseCalls) settled(now time.Duration, answered bool) {
	l.inFlight = max(0, l.inFlight-1)
	l.settledAt = now
	if !answered {
		l.lostAt = now
	}
}

// join returns the calls of both.
func (l leaseCalls) join(other leaseCalls) leaseCalls {
	return leaseCalls{
		inFlight:  l.inFlight + other.inFlight,
		settledAt: max(l.settledAt, other.settledAt),
		lostAt:    max(l.lostAt, other.lostAt),
	}
}

// strayLease is a lease that a worker may hold because a call which was meant for an
// earlier incarnation has reached it. Its end is a time on another clock, so it may last
// for MaxTaskLease.
type strayLease struct {
	calls      leaseCalls    // lease calls to the earlier incarnation
	until      int64         // end of the latest lease of those calls; 0 if there is none
	receivedBy time.Duration // all answered calls were carried out by then
}

// inheritLease notes the leases that were sent to the previous incarnation of a worker.
func (w *worker) inheritLease(old *worker, now time.Duration) {
	w.stray = strayLease{
		calls:      old.leaseCalls.join(old.stray.calls),
		until:      max(old.leaseUntil, old.stray.until),
		receivedBy: max(now, old.stray.receivedBy),
	}
	if w.stray.calls.inFlight > 0 {
		w.stray.calls.lostAt = now // their outcome is not awaited
	}
}

// unknownIncarnation is recorded for a run on a worker that may hold a stray lease, or if it
// is not known which incarnation has the run. It is less than any incarnation.
const unknownIncarnation = 0

// incarnationToRecord returns the incarnation that the record names for a run on the worker.
func (c *Cell) incarnationToRecord(w *worker) int {
	if c.now < c.strayLeaseEnd(w) {
		return unknownIncarnation
	}
	return w.info.IncarnationUnixMs
}

// assumePriorStrayLease notes that earlier owners may have sent leases to an earlier
// incarnation of a worker, and this one may hold them.
func (c *Cell) assumePriorStrayLease(w *worker) {
	w.stray.calls.settledAt = max(w.stray.calls.settledAt, c.opts.PriorGrantsEnd)
	w.stray.until = math.MaxInt64
	w.stray.receivedBy = max(w.stray.receivedBy, c.opts.PriorGrantsEnd+lateCallLimit)
}

// dropStrayLease forgets the stray lease if all calls that carried it were settled before
// this incarnation started. The clock of an incarnation starts with it.
func (w *worker) dropStrayLease(pollSent time.Duration) {
	age := time.Duration(float64(w.clockMs)/minClockRate) * time.Millisecond
	if w.stray.calls.inFlight == 0 && w.stray.calls.settledAt < pollSent-age-leaseEndMargin {
		w.stray = strayLease{}
	}
}

// strayLeaseEnd returns the boot time at which the stray lease of a worker has expired.
func (c *Cell) strayLeaseEnd(w *worker) time.Duration {
	if w.stray.until == 0 {
		return 0
	}
	receivedBy := w.stray.receivedBy
	if w.stray.calls.lostAt != 0 {
		receivedBy = max(receivedBy, w.stray.calls.lostAt+lateCallLimit)
	}
	end := receivedBy + LeaseBound(c.opts.MaxTaskLease)
	if w.clockKnown {
		end = min(end, c.clockReaches(w, w.stray.until))
	}
	return end
}

// clockReaches returns a boot time at which the clock of a worker has reached a reading.
func (c *Cell) clockReaches(w *worker, clockMs int64) time.Duration {
	const farFuture = 24 * time.Hour // keeps the sum within the range of a duration
	ahead := min(clockMs-w.clockMs, farFuture.Milliseconds())
	return w.clockAt + LeaseBound(time.Duration(ahead)*time.Millisecond)
}

// extendLease extends the lease of a worker if that is allowed, and returns its end on
// the worker's clock; 0 if the clock is not known.
func (c *Cell) extendLease(w *worker) int64 {
	if !w.clockKnown {
		return 0
	}
	if c.leaseEndMayBeRecorded(w) {
		return w.leaseUntil
	}
	if c.mayExtendLease(w) || w.leaseUntil == 0 {
		lease := min(c.opts.TaskLease, c.leaseLimit-c.now)
		w.leaseUntil = max(w.leaseUntil, w.clockAtLeast(c.now)+lease.Milliseconds())
	}
	return w.leaseUntil
}

// mayExtendLease reports whether the lease of a worker may be extended. That of an
// unresponsive worker has to expire before its tasks can be started elsewhere, and one whose end
// may be recorded must not be extended.
func (c *Cell) mayExtendLease(w *worker) bool {
	return c.now < c.leaseLimit && w.unresponsiveSince == 0 && !c.leaseEndMayBeRecorded(w)
}

// pollLease returns the lease for a poll; 0 for none. A poll repeats no lease: by the time
// that a worker answers again it may have restarted, and its clock with it.
func (c *Cell) pollLease(w *worker) int64 {
	if !c.mayExtendLease(w) {
		return 0
	}
	return c.extendLease(w)
}

// leaseEnd returns the boot time at which all leases of the worker have expired.
func (c *Cell) leaseEnd(w *worker) time.Duration {
	return max(c.grantedLeaseEnd(w), c.strayLeaseEnd(w))
}

// grantedLeaseEnd returns the boot time at which the leases have expired that were granted
// to this incarnation.
func (c *Cell) grantedLeaseEnd(w *worker) time.Duration {
	if !w.fenced {
		return c.runsLostAt(w)
	}
	if w.leaseUntil == 0 || !w.clockKnown {
		return w.reportedAt + LeaseBound(c.opts.TaskLease)
	}
	// A worker that has restarted may have answered with a new clock.
	lastCall := max(w.clockAt, w.leaseCalls.settledAt)
	if w.leaseCalls.inFlight > 0 {
		lastCall = c.now
	}
	return min(c.clockReaches(w, w.leaseUntil), lastCall+LeaseBound(c.opts.MaxTaskLease))
}

// expireLeases declares the runs on unresponsive workers lost once their leases have
// expired.
func (c *Cell) expireLeases() {
	c.pruneLostRuns()
	for _, w := range append([]*worker(nil), c.fleet...) {
		if w.hasLeft() {
			c.endIncarnation(w, lostWithDeparture)
			continue
		}
		unresponsive := w.unresponsiveSince != 0 || !w.listed
		if !unresponsive || c.now < c.leaseEnd(w) {
			continue
		}
		c.expireRuns(w)
		if len(w.runs) == 0 {
			c.removeIfUnlisted(w)
		}
	}
}

// LeaseBound returns the longest time, on the clock of this node, for which a lease that
// is granted now may be valid.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(lease)/minClockRate)) + leaseEndMargin
}

// expireRuns declares the runs on an unresponsive worker lost after its lease has
// expired. That lease does not cover runs carried over from an earlier incarnation: these
// are kept until the worker confirms their stop, or neither responds nor is listed.
func (c *Cell) expireRuns(w *worker) {
	for _, r := range append([]*run(nil), w.runs...) {
		if !r.carriedOver || !w.listed && w.unresponsiveSince != 0 {
			c.lostRuns[lostRunKey{w.ref(), r.taskName, r.attempt}] = r
			c.loseRun(r, lostWithLease)
		}
	}
	w.unknownRuns = map[string]bool{}
}
