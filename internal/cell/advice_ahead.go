package cell

import (
	"cmp"
	"slices"
	"time"
)

// The runs on a worker that does not respond are lost once its leases have expired. Advice
// for their long-running steps is requested ahead of that, so that the tasks are placed
// elsewhere at once.

// ticketUseTime is how long a ticket that was received ahead of a loss has to stay valid after
// it, for the placement and the record of the tasks.
const ticketUseTime = 400 * time.Millisecond

// expectedLoss is a step with runs on workers that do not respond.
type expectedLoss struct {
	step *step
	at   time.Duration // when the first of the runs will be lost
}

// requestAdviceAheadOfLosses emits advice calls for the long-running steps that will soon
// lose runs.
func (c *Cell) requestAdviceAheadOfLosses() {
	for _, loss := range c.expectedLosses() {
		c.forgetRemovedWorkers(loss.step)
		if loss.at > c.now+c.adviceLead(loss.step) {
			continue
		}
		if !c.callForAdvice(loss.step, c.workersAheadOfLoss(loss)) {
			return
		}
	}
}

// expectedLosses returns the long-running steps that may lose runs and have no advice call
// in flight, in the order of the losses.
func (c *Cell) expectedLosses() []expectedLoss {
	first := map[*step]time.Duration{}
	for _, w := range c.fleet {
		if !c.mayBeLost(w) || len(w.runs) == 0 {
			continue
		}
		at := c.leaseEnd(w)
		for _, r := range w.runs {
			s := r.task.step
			if !s.spec.LongRunning || s.work.queue.Advice == nil || s.advice.inFlight {
				continue
			}
			if earlier, ok := first[s]; !ok || at < earlier {
				first[s] = at
			}
		}
	}
	out := make([]expectedLoss, 0, len(first))
	for s, at := range first {
		out = append(out, expectedLoss{s, at})
	}
	slices.SortFunc(out, func(a, b expectedLoss) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.step.work.spec.Id, b.step.work.spec.Id), cmp.Compare(a.step.number, b.step.number))
	})
	return out
}

// mayBeLost reports whether a worker does not respond, or is not listed.
func (c *Cell) mayBeLost(w *worker) bool { return !w.listed || w.unresponsiveSince != 0 }

// bringsBack reports whether a task of a long-running step waits for its next run, or may soon
// lose the one that it has.
func (c *Cell) bringsBack(s *step) bool {
	if !s.spec.LongRunning {
		return false
	}
	for i := range s.tasks {
		t := &s.tasks[i]
		if t.phase == taskWaiting && t.attempt > 0 {
			return true
		}
		for _, r := range t.runs {
			if c.mayBeLost(r.worker) {
				return true
			}
		}
	}
	return false
}

// adviceLead returns how long before a loss advice for a step may be requested. With few nodes
// the calls for several steps follow each other, so it is as long as the tickets permit.
func (c *Cell) adviceLead(s *step) time.Duration {
	return c.expectedCallTime(s, usualCallWorkers) + max(0, s.work.queue.Advice.ValidFor-ticketUseTime)
}

// workersAheadOfLoss returns the workers for an advice call ahead of a loss: none if a worker
// with room has a ticket that outlasts the loss, else those with room whose tickets have to
// be renewed, else those that were not queried.
func (c *Cell) workersAheadOfLoss(loss expectedLoss) []*worker {
	s := loss.step
	outlasts := false
	var renewals []*worker
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if !c.mayUse(s, t.worker) || !c.meetsConstraints(s, t.worker) || !c.hasRoomFor(s, t.worker) {
			continue
		}
		outlasts = outlasts || t.expires > loss.at+ticketExpiryMargin
		renewals = append(renewals, t.worker)
	}
	switch {
	case outlasts:
		return nil
	case len(renewals) > 0:
		return renewals[:min(len(renewals), maxRenewalWorkers)]
	}
	return c.unqueriedWorkers(s)
}
