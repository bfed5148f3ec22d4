package cell

import (
	"cmp"
	"slices"
	"time"
)

// A step far behind in the ready list could get no advice while the steps ahead of it use
// all nodes. So overdue steps get a fixed share of the advice time of the nodes, the pools
// in turn, and in each pool the step that was served longest ago first.
//
// With N nodes, a step whose tasks find room waits for its next call at most
//
//	overdueAfter + P * A / (overdueShare * N) + L
//
// where P is the number of pools, A the duration of one call for each step of its pool that
// has waited longer, and L the longest call.
const (
	overdueAfter      = 1500 * time.Millisecond // a step is overdue after this time without a call or a placement
	overdueShare      = 0.125                   // share of the advice time of the nodes
	maxOverdueBalance = 250 * time.Millisecond  // unused advice time that overdue steps keep
)

// requestOverdueAdvice emits calls for overdue steps as far as their share of the advice
// time permits.
func (c *Cell) requestOverdueAdvice() {
	c.updateOverdueBalance()
	if c.overdueBalance <= 0 {
		return
	}
	for _, s := range c.overdueSteps() {
		workers := c.workersForCall(s, false)
		if len(workers) == 0 {
			continue
		}
		s.advice.overdueCall = true
		if !c.callForAdvice(s, workers) {
			s.advice.overdueCall = false
			return
		}
		s.advice.overdueCallAt = c.now
		c.overdueServedAt[s.work.queue.Pool] = c.now
		c.overdueBalance -= c.expectedCallTime(s, len(workers))
		if c.overdueBalance <= 0 {
			return
		}
	}
}

// updateOverdueBalance adds the advice time that the overdue steps have earned since the
// last call.
func (c *Cell) updateOverdueBalance() {
	elapsed := c.now - c.overdueBalanceAt
	if c.overdueBalanceAt == 0 {
		elapsed = maxOverdueBalance
	}
	c.overdueBalanceAt = c.now
	earned := overdueShare * float64(c.answeringNodes()) * float64(elapsed)
	c.overdueBalance = min(maxOverdueBalance, c.overdueBalance+time.Duration(earned))
}

// answeringNodes counts the nodes that stay and whose last advice call did not fail. If all of
// these have failed, the cause may be the adviser, so all of them count.
func (c *Cell) answeringNodes() int {
	staying, n := 0, 0
	for _, node := range c.adviceNodes {
		if node.stopsAt != 0 {
			continue
		}
		staying++
		if node.failures == 0 {
			n++
		}
	}
	if n == 0 {
		return staying
	}
	return n
}

// overdueSteps returns the overdue steps: those of the pool that was served longest ago
// first, then by the time since they were served.
func (c *Cell) overdueSteps() []*step {
	var out []*step
	for _, s := range c.ready {
		if s.work.queue.Advice != nil && !s.advice.inFlight && s.waiting > 0 && c.isOverdue(s) {
			out = append(out, s)
		}
	}
	slices.SortStableFunc(out, func(a, b *step) int {
		servedA, servedB := c.overdueServedAt[a.work.queue.Pool], c.overdueServedAt[b.work.queue.Pool]
		return cmp.Or(cmp.Compare(servedA, servedB), cmp.Compare(a.servedAt(), b.servedAt()))
	})
	return out
}

// isOverdue reports whether a step has waited too long without any advice, or with advice
// if it is behind the steps that can meet their deadline.
func (c *Cell) isOverdue(s *step) bool {
	if c.now-s.servedAt() <= overdueAfter {
		return false
	}
	return s.advice.empty() || s.orderKey.rank != rankInTime
}

// servedAt returns when a step last got an overdue call or placed a task, or since when it
// has waited.
func (s *step) servedAt() time.Duration {
	return max(s.waitingSince(), s.advice.overdueCallAt, s.lastPlacedAt)
}

// waitingSince returns the time since which a ready step has waited. For a step without
// dependencies this includes the wait under earlier owners.
func (s *step) waitingSince() time.Duration {
	if len(s.spec.After) == 0 {
		return s.occurrence.due
	}
	return s.readyAt
}
