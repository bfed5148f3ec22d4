package cell

import (
	"maps"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// The ends of the leases of lost workers are recorded in a row, which holds for whichever owner is
// next and however this one ends. So the row is written ahead: from the moment that an entry may
// be in it, its incarnation is granted no lease and gets no start, until a row without the entry
// is known to be stored.

// Times of the row.
const (
	// leaseEndsDelay is how long a worker is lost before its entry is written. Most interruptions
	// are shorter, and need no write.
	leaseEndsDelay = time.Second
	// leaseEndsSpacing is the least time between two writes, so that many workers which are lost
	// or come back together need few.
	leaseEndsSpacing = 100 * time.Millisecond
)

// leaseEndsRow is what this owner knows of the stored row of lease ends.
type leaseEndsRow struct {
	stored  map[Incarnation]time.Duration // ends of the entries, in boot time
	next    map[Incarnation]time.Duration // those of a commit whose outcome is not known yet; nil for none
	unknown bool                          // it could not be read, so it may have any entry
	takenAt time.Duration                 // when it was last taken for a commit; 0 for never
	alone   bool                          // it is committed without works, because a commit with it was rejected
	closed  bool                          // no entries are added, because it was rejected alone
}

// mayName reports whether the row may have an entry of an incarnation.
func (r *leaseEndsRow) mayName(i Incarnation) bool {
	_, stored := r.stored[i]
	_, next := r.next[i]
	return r.unknown || stored || next
}

// leaseEndMayBeRecorded reports whether a worker is granted no lease, because another owner may rely
// on the recorded end of its leases.
func (c *Cell) leaseEndMayBeRecorded(w *worker) bool { return c.leaseEnds.mayName(w.incarnation()) }

// takeLeaseEnds puts the row into a batch if it has to be written.
func (c *Cell) takeLeaseEnds(b *Batch) {
	if c.leaseEnds.takenAt != 0 && c.now < c.leaseEnds.takenAt+leaseEndsSpacing {
		return
	}
	ends := c.leaseEndsOf(c.endIsWritten)
	added, dropped := c.leaseEndsChanges(ends)
	if added+dropped == 0 && !c.leaseEnds.unknown {
		return
	}
	c.log(event.LeaseEndsWritten, "workers", len(ends), "added", added, "answer_again", dropped)
	c.leaseEnds.takenAt = c.now
	c.leaseEnds.next = make(map[Incarnation]time.Duration, len(ends))
	for _, e := range ends {
		c.leaseEnds.next[e.Incarnation] = e.End
	}
	b.LeaseEnds, b.WritesLeaseEnds = ends, true
}

// endIsWritten reports whether the end of the leases of a worker belongs into the row while this
// owner goes on.
func (c *Cell) endIsWritten(w *worker) bool {
	if !w.isLost() {
		return false
	}
	if _, stored := c.leaseEnds.stored[w.incarnation()]; stored {
		return true
	}
	return !c.leaseEnds.closed && c.now-w.lostSince() >= leaseEndsDelay
}

// isLost reports whether a worker does not respond, or was not reached by this owner.
func (w *worker) isLost() bool { return !w.fenced || w.unresponsiveSince != 0 }

// lostSince returns since when a lost worker has not responded, or was not reached.
func (w *worker) lostSince() time.Duration {
	if !w.fenced {
		return w.knownSince
	}
	return w.unresponsiveSince
}

// leaseEndsChanges counts the entries that the stored row lacks, and those that have to be removed
// from it because their workers respond. The entries of workers that are gone may stay.
func (c *Cell) leaseEndsChanges(ends []LeaseEnd) (added, dropped int) {
	for i := range ends {
		if !ends[i].Recorded {
			added++
		}
	}
	for i := range c.leaseEnds.stored {
		if w := c.workers[i.Worker]; w != nil && w.incarnation() == i && !w.isLost() {
			dropped++
		}
	}
	return added, dropped
}

// leaseEndsCommitted notes that the row of a batch, if it has one, is stored.
func (c *Cell) leaseEndsCommitted(b *Batch) {
	if b.WritesLeaseEnds {
		c.leaseEnds.stored, c.leaseEnds.next, c.leaseEnds.unknown = c.leaseEnds.next, nil, false
		c.changed = true
	}
}

// leaseEndsNotCommitted notes that the row of a batch was certainly not stored.
func (c *Cell) leaseEndsNotCommitted(b *Batch) {
	if b.WritesLeaseEnds {
		c.leaseEnds.next = nil
	}
}

// leaseEndsRejected notes that the table service has found a commit with the row invalid. The row
// is committed alone from then on, so that it shows whether the row is the cause; then only
// entries that the service has taken before are written.
func (c *Cell) leaseEndsRejected() {
	c.leaseEnds.closed = c.leaseEnds.alone
	c.leaseEnds.alone = true
}

// newLeaseEndsRow returns the row as the owner has read it.
func newLeaseEndsRow(o *Options) leaseEndsRow {
	return leaseEndsRow{stored: maps.Clone(o.RecordedLeaseEnds), unknown: o.LeaseEndsUnknown}
}
