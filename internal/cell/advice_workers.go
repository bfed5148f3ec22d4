package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/work"
)

// workersForCall returns the workers for the next call for a step. With proactive,
// tickets that are about to expire are renewed even if none is needed now.
func (c *Cell) workersForCall(s *step, proactive bool) []*worker {
	renewals := slices.DeleteFunc(s.advice.renewals, func(w *worker) bool { return w.evacuated || w.ended })
	s.advice.renewals = nil
	switch {
	case !s.advice.answered:
		return c.unqueriedWorkers(s)
	case len(renewals) > 0:
		return renewals
	case len(s.advice.tickets) < s.waiting || c.blockedFor(s):
		if more := c.unqueriedWorkers(s); len(more) > 0 {
			return more
		}
	}
	if proactive {
		return c.expiringTicketHolders(s)
	}
	return nil
}

// blockedFor reports whether the ticket holders have no room for a task of the step, or
// for all members of a gang.
func (c *Cell) blockedFor(s *step) bool {
	needed := 1
	if s.spec.Gang {
		needed = len(s.tasks)
	}
	c.eachTicketHolder(s, func(w *worker, _ string, _ bool) {
		if c.meetsConstraints(s, w) && c.hasRoomFor(s, w) {
			needed -= c.tasksThatFit(s, w)
		}
	})
	return needed > 0
}

// unqueriedWorkers returns candidate workers that no call for the step has included. If
// there are too many, it picks those with the highest queryScore.
func (c *Cell) unqueriedWorkers(s *step) []*worker {
	var out []*worker
	for _, w := range c.fleet {
		if w.info.Pool == s.work.queue.Pool && c.mayUse(s, w) && !s.advice.queried[w] &&
			c.meetsConstraints(s, w) && w.info.Capacity.Covers(s.sizeOnWorker()) {
			out = append(out, w)
		}
	}
	if limit := callWorkerLimit(s, out); len(out) > limit {
		for _, w := range out {
			w.queryScore = c.queryScore(s, w)
		}
		slices.SortStableFunc(out, func(a, b *worker) int { return cmp.Compare(b.queryScore, a.queryScore) })
		out = out[:limit]
	}
	return out
}

// callWorkerLimit returns the maximum number of workers in a call for a step. A step
// with a limit of tasks per worker, or a gang, needs more of the candidates.
func callWorkerLimit(s *step, candidates []*worker) int {
	perWorker := s.spec.MaxPerWorker
	if s.spec.Gang {
		perWorker = meanTasksPerWorker(s, candidates)
	}
	if perWorker == 0 {
		return usualCallWorkers
	}
	needed := (s.waiting + perWorker - 1) / perWorker
	return min(max(usualCallWorkers, callWorkersPerNeeded*needed), maxCallWorkers)
}

// meanTasksPerWorker returns how many tasks of a step fit on an empty worker on average, at
// least 1.
func meanTasksPerWorker(s *step, workers []*worker) int {
	total := 0
	for _, w := range workers {
		total += s.tasksWithin(w.info.Capacity)
	}
	return max(1, total/max(1, len(workers)))
}

// heldPenalty puts the workers without room beside their long-running tasks behind all others in
// queryScore.
const heldPenalty = 4.0

// queryScore ranks workers by how likely they have room for the step, now or once tasks that end
// by themselves have ended or are preempted.
func (c *Cell) queryScore(s *step, w *worker) float64 {
	score := fraction(w.free().CPUMillis, w.info.Capacity.CPUMillis)
	if c.hasRoomFor(s, w) {
		score++
	}
	if s.spec.Affinity != "" && w.hasLabel(s.spec.Affinity) {
		score++
	}
	if !w.roomBesideLongRunning().Covers(s.sizeOnWorker()) {
		score -= heldPenalty
	}
	return score
}

// roomBesideLongRunning returns the capacity of the worker that its long-running tasks leave.
func (w *worker) roomBesideLongRunning() work.Resources {
	room := w.info.Capacity
	for _, r := range w.runs {
		if r.task.step.spec.LongRunning && r.phase != runStopping {
			room = room.Minus(r.size)
		}
	}
	return room
}

// expiringTicketHolders returns the workers with a reservation for the step, in the order
// in which their room becomes available, or nil if a ticket of the step stays valid for
// long enough.
func (c *Cell) expiringTicketHolders(s *step) []*worker {
	type option struct {
		worker      *worker
		availableAt time.Duration
	}
	var options []option
	callTime := c.expectedCallTime(s, maxRenewalWorkers)
	for i := range s.advice.tickets {
		t := &s.advice.tickets[i]
		if !c.mayUse(s, t.worker) {
			continue
		}
		if t.expires > c.now+callTime+ticketExpiryMargin {
			return nil // this ticket is valid for long enough
		}
		for k := range t.worker.reservations {
			if t.worker.reservations[k].step == s {
				options = append(options, option{t.worker, t.worker.reservations[k].availableAt})
			}
		}
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.availableAt, b.availableAt) })
	var out []*worker
	for _, o := range options[:min(len(options), maxRenewalWorkers)] {
		if o.availableAt <= c.now+callTime+time.Second {
			out = append(out, o.worker)
		}
	}
	return out
}
