package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
)

// maxLeaseEnds bounds the number of workers in the result of LeaseEnds.
const maxLeaseEnds = 500

// leaseEndBytes is what a worker takes in an api.LeaseEndsRow at most, without its ID.
var leaseEndBytes = (&api.WorkerLeaseEnd{}).Msgsize()

// Incarnation identifies an incarnation of a worker, whatever its address.
type Incarnation struct {
	Worker      string // ID
	StartUnixMs int    // start time
}

// LeaseEnd is the end of all task leases that this owner or earlier ones may have granted to an
// incarnation of a worker.
type LeaseEnd struct {
	Incarnation
	End      time.Duration // boot time
	Recorded bool          // the stored row has this entry
}

func (w *worker) incarnation() Incarnation {
	return Incarnation{w.info.ID, w.info.IncarnationUnixMs}
}

// LeaseEnds returns the ends of the leases of the workers with runs that do not respond, are not
// listed or were not reached by this owner. They hold only if the owner makes no call that
// carries a lease afterwards.
func (c *Cell) LeaseEnds() []LeaseEnd {
	return c.leaseEndsOf(func(*worker) bool { return true })
}

// leaseEndsOf returns the ends of the leases of those of these workers that belong into a row. They
// hold for as long as the incarnations are granted no further lease.
//
// Calls that are in flight don't move these ends, however late they are carried out: a lease is
// a time on the clock of the incarnation. Left out are workers of which a call may grant a
// lease to another incarnation.
func (c *Cell) leaseEndsOf(included func(*worker) bool) []LeaseEnd {
	var recorded, lost, others []LeaseEnd
	for _, w := range c.fleet {
		if !included(w) {
			continue
		}
		end, ok := c.leaseEndToRecord(w)
		switch {
		case !ok:
		case end.Recorded:
			recorded = append(recorded, end)
		case w.unresponsiveSince != 0:
			lost = append(lost, end)
		default:
			others = append(others, end)
		}
	}
	out := slices.Concat(recorded, lost, others)
	limit := min(maxLeaseEnds, c.maxRowBytes()/(leaseEndBytes+max(usualWorkerID, c.longestWorkerID)))
	return out[:min(limit, len(out))]
}

// leaseEndToRecord returns the end of the leases of a worker; false if it is not to be recorded.
func (c *Cell) leaseEndToRecord(w *worker) (LeaseEnd, bool) {
	responds := w.fenced && w.listed && w.unresponsiveSince == 0
	if responds || w.ended || len(w.runs) == 0 || w.info.IncarnationUnixMs == unknownIncarnation {
		return LeaseEnd{}, false
	}
	if c.now < c.strayLeaseEnd(w) || w.startMayReachNext(c.now) {
		return LeaseEnd{}, false
	}
	if !w.fenced {
		return c.leaseEndBeforeContact(w)
	}
	if end, ok := c.leaseEnds.stored[w.incarnation()]; ok {
		return LeaseEnd{Incarnation: w.incarnation(), End: end, Recorded: true}, true
	}
	end := w.reportedAt + LeaseBound(c.opts.TaskLease)
	if w.leaseUntil != 0 && w.clockKnown {
		end = c.clockReaches(w, w.leaseUntil)
	}
	// A lease that ends later was granted on the clock of another incarnation.
	known := end <= c.now+LeaseBound(c.opts.MaxTaskLease)
	return LeaseEnd{Incarnation: w.incarnation(), End: end}, known
}

// leaseEndBeforeContact returns the end of the leases of a worker that only earlier owners may have
// granted.
func (c *Cell) leaseEndBeforeContact(w *worker) (LeaseEnd, bool) {
	out := LeaseEnd{Incarnation: w.incarnation(), End: max(c.opts.PriorLeasesEnd, c.opts.FirstContactEnd)}
	if end, ok := c.leaseEnds.stored[out.Incarnation]; ok && end <= out.End {
		out.End, out.Recorded = end, true
	}
	return out, w.leaseUntil == 0
}

// runsLostAt returns the end of the leases of a worker that has not answered this owner. A
// recorded end may have passed before the claim, so the list of workers is awaited: the worker
// may be reached, and have ends to report.
func (c *Cell) runsLostAt(w *worker) time.Duration {
	if inherited, _ := c.leaseEndBeforeContact(w); inherited.Recorded && c.fleetListed {
		return inherited.End
	}
	return max(c.opts.PriorLeasesEnd, c.opts.FirstContactEnd)
}

// startMayReachNext reports whether the next incarnation of a worker may still carry out a start
// that was sent to this one. It refuses the ticket of a start.
func (w *worker) startMayReachNext(now time.Duration) bool {
	return slices.ContainsFunc(w.unansweredStarts, func(u unansweredStart) bool { return !u.ticketed && u.until > now }) ||
		slices.ContainsFunc(w.runs, func(r *run) bool { return r.carriedOver || r.startSentAt != 0 && r.ticket == "" })
}
