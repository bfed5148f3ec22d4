package cell

import (
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/api"
	"github.com/endivehill/endivehill/internal/event"
)

// Committed handles the successful commit of a batch: it emits the starts and sends the
// answers that waited for it.
func (c *Cell) Committed(b *Batch) {
	c.leaseEndsCommitted(b)
	for i, aw := range b.works {
		aw.storedParts = len(b.Rows[i].Progress)
		c.workStored(aw, b.states[i], b.Rows[i].Finished != nil)
	}
	for _, r := range b.starts {
		if r.phase == runRecording && !r.ended {
			c.startRecorded(r)
		}
	}
	for _, a := range b.acks {
		a.worker.acknowledge(a.number)
	}
	for _, id := range b.Expired {
		delete(c.finished, id)
	}
	for _, a := range b.answers {
		a.done(nil)
	}
}

// workStored notes that the record of a work has been written with this state.
func (c *Cell) workStored(aw *activeWork, state api.WorkState, finished bool) {
	aw.stored, aw.inBatch = true, false
	aw.storedState = state
	c.singleCommits = max(0, c.singleCommits-1)
	if state == api.WorkStateCanceled {
		c.stopRuns(aw, "the work was canceled")
	}
	if !finished {
		return
	}
	c.finished[aw.spec.Id] = finishedWork{
		state: state, team: aw.spec.Team, queue: aw.spec.Queue,
		until: c.retainedUntil(aw.finishedAt),
	}
	c.finishedOrder = append(c.finishedOrder, aw.spec.Id)
	delete(c.works, aw.spec.Id)
}

// NotCommitted handles a commit that was certainly not applied. Works submitted with it,
// or since, are refused; their submitters may retry.
func (c *Cell) NotCommitted(b *Batch, reason error) {
	c.returnBatch(b)
	c.RefuseUnstored(reason)
}

// CommitAgain handles a commit that was not applied for a reason that is not in the batch.
func (c *Cell) CommitAgain(b *Batch) { c.returnBatch(b) }

// returnBatch puts the changes of a batch that was not applied before the others.
func (c *Cell) returnBatch(b *Batch) {
	c.leaseEndsNotCommitted(b)
	later := c.dirtyList
	c.dirtyList = nil
	for _, aw := range b.works {
		aw.inBatch = false
		c.dirty[aw.spec.Id] = aw
		c.dirtyList = append(c.dirtyList, aw)
	}
	for _, aw := range later {
		if !slices.Contains(b.works, aw) {
			c.dirtyList = append(c.dirtyList, aw)
		}
	}
	c.answers = append(b.answers, c.answers...)
	c.expired = append(b.Expired, c.expired...)
}

// rejectedRecordDelay is the time until a record that the table service has rejected is
// written again. Its work may have changed by then.
const rejectedRecordDelay = time.Second

// CommitRejected handles a commit that the table service has found invalid, so that nothing
// of it was applied. The works of the batch are then committed one by one, so that one of
// them does not hold up the others. A new work that is rejected is refused. A stored one
// keeps its record, and its commands and acknowledgments wait. If the batch has the row of lease
// ends, that may be the cause, so it is committed without the works next.
func (c *Cell) CommitRejected(b *Batch, reason error) {
	c.returnBatch(b)
	if b.WritesLeaseEnds {
		c.leaseEndsRejected()
		return
	}
	c.singleCommits = len(b.works)
	if len(b.works) != 1 {
		return
	}
	aw := b.works[0]
	c.singleCommits = 0
	c.log(event.RecordRejected, "work", aw.spec.Id, "stored", aw.stored, "err", reason)
	if aw.stored {
		aw.recordNotBefore = c.now + rejectedRecordDelay
		return
	}
	c.refuse(reason, func(a pendingAnswer) bool { return a.work == aw })
}

// RefuseUnstored refuses the submitted works that are neither stored nor in a batch in
// flight.
func (c *Cell) RefuseUnstored(reason error) {
	c.refuse(reason, func(a pendingAnswer) bool { return a.submission && !a.work.stored && !a.work.inBatch })
}

// refuse drops the works of some pending answers, and answers with the reason.
func (c *Cell) refuse(reason error, refused func(pendingAnswer) bool) {
	kept := c.answers[:0:0]
	for _, a := range c.answers {
		if !refused(a) {
			kept = append(kept, a)
			continue
		}
		c.dropUnstored(a.work)
		a.done(reason)
	}
	c.answers = kept
}

// dropUnstored removes a work whose record was never written.
func (c *Cell) dropUnstored(aw *activeWork) {
	if c.works[aw.spec.Id] != aw {
		return
	}
	c.stopRuns(aw, "the work could not be stored")
	delete(c.works, aw.spec.Id)
	delete(c.dirty, aw.spec.Id)
	for i := range c.dirtyList {
		if c.dirtyList[i] == aw {
			c.dirtyList = append(c.dirtyList[:i], c.dirtyList[i+1:]...)
			break
		}
	}
	aw.state = api.WorkStateCanceled
}

// FailPendingAnswers fails all pending answers when this node stops being the owner: with
// notStored if the submitted work was certainly not stored, else with unknown. The outcome of
// the batch in flight may still be passed to the core; its answers are not sent again then.
func (c *Cell) FailPendingAnswers(b *Batch, notStored, unknown error) {
	c.RefuseUnstored(notStored)
	answers := c.answers
	c.answers = nil
	if b != nil {
		answers = append(b.answers, answers...)
		b.answers = nil
	}
	for _, a := range answers {
		a.done(unknown)
	}
}

// retentionReserve is added to the retention time of finished works. A work is shown as finished
// some time after its end, and the time of day may step forward by seconds or differ between
// owners.
const retentionReserve = 30 * time.Second

// retainedUntil returns the time of day until which the record of a work is kept.
func (c *Cell) retainedUntil(finishedAt time.Time) time.Time {
	return finishedAt.Add(c.opts.StatusRetention + retentionReserve)
}

// collectExpired finds the finished works whose retention is over.
func (c *Cell) collectExpired() {
	for len(c.finishedOrder) > 0 {
		f, ok := c.finished[c.finishedOrder[0]]
		if ok && c.wall.Before(f.until) {
			return
		}
		if ok {
			c.expired = append(c.expired, c.finishedOrder[0])
		}
		c.finishedOrder = c.finishedOrder[1:]
	}
}
