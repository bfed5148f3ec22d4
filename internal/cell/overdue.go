package cell

import (
	"cmp"
	"slices"
	"time"
)

// A step far behind in the ready list could get no advice while the steps ahead of it use
// all nodes. So a share of the nodes serves the steps without advice that have waited
// longest.
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
	overdue := c.overdueSteps()
	for _, s := range overdue[:min(free, len(overdue))] {
		if !c.callForAdvice(s, c.unqueriedWorkers(s)) {
			return
		}
		s.advice.overdueCall = s.advice.inFlight
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
// call, longest wait first.
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
	slices.SortStableFunc(out, func(a, b *step) int { return cmp.Compare(a.waitingSince(), b.waitingSince()) })
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
