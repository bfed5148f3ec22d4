package cell

import (
	"cmp"
	"slices"
	"time"
)

// The order of the ready steps may keep a step from its first call for advice for as
// long as the steps ahead of it take all calls. So a part of the nodes is kept for the
// steps that have waited longest.
const (
	overdueAfter = 1500 * time.Millisecond // without a first call, a step is overdue
	overdueShare = 16                      // one of so many nodes serves overdue steps
)

// askForOverdue emits the first calls of the steps that have waited longest for one.
func (c *Cell) askForOverdue() {
	free := max(1, len(c.askers)/overdueShare) - c.overdueCalls()
	if free <= 0 {
		return
	}
	overdue := c.overdueSteps()
	for _, s := range overdue[:min(free, len(overdue))] {
		s.advice.overdue = true
		if !c.askFor(s, c.unasked(s)) {
			return
		}
	}
}

// overdueCalls counts the calls in flight for steps that were overdue.
func (c *Cell) overdueCalls() int {
	n := 0
	for _, a := range c.asks {
		if a.step.advice.overdue && !a.step.advice.answered {
			n++
		}
	}
	return n
}

// overdueSteps returns the ready steps that wait too long for their first call, the
// oldest first.
func (c *Cell) overdueSteps() []*step {
	var out []*step
	for _, s := range c.ready {
		a := &s.advice
		if s.job.queue.Advice == nil || a.inFlight || a.answered || s.waiting == 0 {
			continue
		}
		if c.now-s.waitingSince() > overdueAfter {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *step) int { return cmp.Compare(a.waitingSince(), b.waitingSince()) })
	return out
}

// waitingSince returns since when the tasks of a ready step could have been placed.
// That of a first step outlasts a change of the owner.
func (s *step) waitingSince() time.Duration {
	if len(s.spec.After) == 0 {
		return s.occ.due
	}
	return s.readyAt
}
