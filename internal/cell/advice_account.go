package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/endivehill/endivehill/internal/event"
)

// adviceUse is the advice time that the calls for a queue have used.
type adviceUse struct {
	calls     int
	firstTime time.Duration // of calls for steps without advice
	laterTime time.Duration // of renewals and calls for more workers
}

// total returns the advice time of all calls.
func (u *adviceUse) total() time.Duration { return u.firstTime + u.laterTime }

// countAdviceCall adds a call to the use of advice of its queue.
func (c *Cell) countAdviceCall(s *step, callTime time.Duration) {
	u := c.adviceUse[s.work.spec.Queue]
	if u == nil {
		u = &adviceUse{}
		c.adviceUse[s.work.spec.Queue] = u
	}
	u.calls++
	if !s.work.needsLongCalls() {
		c.shortCallsUsedAt = c.now
	}
	if s.advice.empty() {
		u.firstTime += callTime
	} else {
		u.laterTime += callTime
	}
}

// adviceLoad is the part of a queue in the ready list that has no advice.
type adviceLoad struct {
	steps   int
	longest time.Duration // longest wait
}

// logAdviceLoad logs for each queue the advice time that its calls have used since the last
// log, and the steps that wait for advice; then the backlog of the nodes.
func (c *Cell) logAdviceLoad() {
	waiting := map[string]*adviceLoad{}
	for _, s := range c.ready {
		if s.work.queue.Advice == nil || s.waiting == 0 || !s.advice.empty() {
			continue
		}
		queue := s.work.spec.Queue
		if waiting[queue] == nil {
			waiting[queue] = &adviceLoad{}
			if c.adviceUse[queue] == nil {
				c.adviceUse[queue] = &adviceUse{}
			}
		}
		waiting[queue].steps++
		waiting[queue].longest = max(waiting[queue].longest, c.now-s.waitingSince())
	}
	used := time.Duration(0)
	for _, queue := range slices.SortedFunc(maps.Keys(c.adviceUse), cmp.Compare[string]) {
		u := c.adviceUse[queue]
		used += u.total()
		w := waiting[queue]
		if w == nil {
			w = &adviceLoad{}
		}
		c.log(event.QueueAdviceLoad, "queue", queue, "calls", u.calls, "first_ms", u.firstTime.Milliseconds(), "later_ms", u.laterTime.Milliseconds(),
			"waiting_steps", w.steps, "longest_wait_ms", w.longest.Milliseconds())
	}
	if len(c.adviceUse) > 0 {
		c.log(event.AdviceLoad, "nodes", len(c.adviceNodes), "answering", c.answeringNodes(), "used_ms", used.Milliseconds(), "longest_backlog_ms", c.longestAdviceBacklog().Milliseconds())
	}
	clear(c.adviceUse)
}

// longestAdviceBacklog returns the time until the node with the longest backlog has
// handled its calls.
func (c *Cell) longestAdviceBacklog() time.Duration {
	longest := time.Duration(0)
	for _, node := range c.adviceNodes {
		longest = max(longest, node.freeAt-c.now)
	}
	return longest
}
