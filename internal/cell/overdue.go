package cell

import (
	"cmp"
	"slices"
	"time"
)

// A step far behind in the ready list could get no advice while the steps ahead of it use
// all nodes. So a share of the nodes serves the pools in turn, and in each pool the step
// without advice that has waited longest.
const (
	overdueAfter       = 1500 * time.Millisecond // a step without any advice is overdue after this time
	overdueNodeDivisor = 16                      // one in this many nodes serves overdue steps
)

// requestOverdueAdvice emits calls for overdue steps.
func (c *Cell) requestOverdueAdvice() {
	free := max(1, len(c.adviceNodes)/overdueNodeDivisor) - c.overdueCalls()
	if free <= 0 {
		return
	}
	for _, s := range c.overdueSteps() {
		workers := c.unqueriedWorkers(s)
		if len(workers) == 0 {
			continue
		}
		s.advice.overdueCall = true
		if !c.callForAdvice(s, workers) {
			s.advice.overdueCall = false
			return
		}
		c.overdueServedAt[s.work.queue.Pool] = c.now
		if free--; free == 0 {
			return
		}
	}
}

// overdueCalls counts the calls in flight that were made for overdue steps.
func (c *Cell) overdueCalls() int {
	n := 0
	for _, call := range c.adviceCalls {
		if call.step.advice.overdueCall {
			n++
		}
	}
	return n
}

// overdueSteps returns the ready steps without any advice that have waited too long for a
// call: those of the pool that was served longest ago first, then by their wait.
func (c *Cell) overdueSteps() []*step {
	var out []*step
	for _, s := range c.ready {
		a := &s.advice
		if s.work.queue.Advice == nil || a.inFlight || s.waiting == 0 {
			continue
		}
		if a.empty() && c.now-s.waitingSince() > overdueAfter {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *step) int {
		servedA, servedB := c.overdueServedAt[a.work.queue.Pool], c.overdueServedAt[b.work.queue.Pool]
		return cmp.Or(cmp.Compare(servedA, servedB), cmp.Compare(a.waitingSince(), b.waitingSince()))
	})
	return out
}

// waitingSince returns the time since which a ready step has waited. For a step without
// dependencies this includes the wait under earlier owners.
func (s *step) waitingSince() time.Duration {
	if len(s.spec.After) == 0 {
		return s.occurrence.due
	}
	return s.readyAt
}
